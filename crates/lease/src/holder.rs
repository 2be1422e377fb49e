//! The holder's side of one task: may it act now?

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;

use crate::{Micros, Terms, Token, planted};

/// A request that was sent: when, by the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked(Micros);

/// Why a holder may not act, or not let go, now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotNow {
    /// It holds nothing.
    #[error("the task is not held")]
    NotHeld,
    /// What is left of the lease does not cover the act.
    #[error("what is left of the lease does not cover the act")]
    TooShort,
    /// An act is under way.
    #[error("an act is under way")]
    Acting,
}

/// What a holder knows, as plain data: for a model that copies it.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    /// The token held, and until when.
    pub held: Option<(Token, Micros)>,
    /// The last lease that has ended here.
    pub ended: Token,
    /// Acts under way.
    pub acting: usize,
}

#[cfg(feature = "planted")]
impl Holder {
    /// A holder that knows this.
    pub fn knowing(terms: Terms, known: Known) -> Holder {
        Holder { terms, held: known.held, ended: known.ended, acts: Rc::new(Cell::new(known.acting)) }
    }

    /// What it knows.
    pub fn known(&self) -> Known {
        Known { held: self.held, ended: self.ended, acting: self.acts.get() }
    }
}

#[cfg(feature = "planted")]
impl Permit {
    /// A permit of these parts, of a holder that counts its acts elsewhere.
    pub fn of(terms: Terms, token: Token, until: Micros) -> Permit {
        Permit { token, until, terms, acts: Rc::default() }
    }

    /// Its token, and until when it holds.
    pub fn parts(&self) -> (Token, Micros) {
        (self.token, self.until)
    }
}

/// One relay's hold on a task.
#[derive(Debug)]
pub struct Holder {
    terms: Terms,
    held: Option<(Token, Micros)>,
    /// The last lease that has ended here: an answer about it, or an older one, may still be on its way.
    ended: Token,
    acts: Rc<Cell<usize>>,
}

/// The right to one act. It must be shown before each effect; dropping it ends the act.
#[derive(Debug)]
pub struct Permit {
    token: Token,
    until: Micros,
    #[cfg_attr(not(feature = "planted"), allow(dead_code))]
    terms: Terms,
    acts: Rc<Cell<usize>>,
}

impl Holder {
    /// Holds nothing yet.
    pub fn new(terms: Terms) -> Holder {
        Holder { terms, held: None, ended: Token(0), acts: Rc::default() }
    }

    /// Called *before* a request to acquire or renew is sent: the lease counts from here.
    pub fn asks(now: Micros) -> Asked {
        Asked(now)
    }

    /// The request was granted. A grant whose answer took longer than the lease is worth nothing.
    pub fn granted(&mut self, asked: Asked, now: Micros, token: Token) {
        let from = if planted!(self.terms, CountsFromAnswer) { now } else { asked.0 };
        let until = from.saturating_add(self.terms.usable());
        match self.held {
            // Guards against a renewal that is answered after the lease was released, and acting on it.
            _ if token <= self.ended => {}
            // Answers may come out of order: an older one shortens nothing.
            Some((held, longer)) if held > token || held == token && longer >= until => {}
            _ => self.held = Some((token, until)),
        }
    }

    /// The keepers say that the lease with this token has ended.
    pub fn lost(&mut self, token: Token) {
        self.ended = self.ended.max(token);
        self.held.take_if(|(held, _)| *held == token);
    }

    /// The token held, if what is left of its lease is worth anything.
    pub fn holds(&self, now: Micros) -> Option<Token> {
        self.held.filter(|(_, until)| now < *until).map(|(token, _)| token)
    }

    /// The right to an act that takes `longest` at the most, by this clock.
    pub fn permit(&self, now: Micros, longest: Micros) -> Result<Permit, NotNow> {
        let (token, until) = self.held.ok_or(NotNow::NotHeld)?;
        let end = now.saturating_add(longest);
        if end > until {
            return Err(NotNow::TooShort);
        }
        self.acts.set(self.acts.get() + 1);
        Ok(Permit { token, until: end, terms: self.terms, acts: self.acts.clone() })
    }

    /// Lets go, so that the next holder need not wait: the token to release. Not while an act is under way.
    pub fn release(&mut self) -> Result<Token, NotNow> {
        if self.acts.get() > 0 && !planted!(self.terms, EarlyRelease) {
            return Err(NotNow::Acting);
        }
        let (token, _) = self.held.take().ok_or(NotNow::NotHeld)?;
        self.ended = self.ended.max(token);
        Ok(token)
    }
}

impl Permit {
    /// The token to act under, if the permit still covers this moment. A process may have stood still since it last looked:
    /// it asks before each effect, and gives the act up on a no.
    pub fn shown(&self, now: Micros) -> Option<Token> {
        (now < self.until || planted!(self.terms, PermitNotChecked)).then_some(self.token)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.acts.set(self.acts.get().saturating_sub(1));
    }
}
