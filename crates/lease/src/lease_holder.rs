//! The holder's side of one task: may it act now?

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;

use crate::{FencingToken, LeaseParameters, Micros, fault_injected};

/// A request that was sent: when, by the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTime(Micros);

impl RequestTime {
    /// Taken *before* a request to acquire or renew is sent: the lease counts from here.
    pub fn at(now: Micros) -> RequestTime {
        RequestTime(now)
    }
}

/// Why a holder may not act, or not let go, now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PermitError {
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
#[cfg(feature = "injected-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HolderState {
    /// The token held, and until when.
    pub held: Option<(FencingToken, Micros)>,
    /// The last lease that has ended here.
    pub ended: FencingToken,
    /// Acts under way.
    pub acting: usize,
}

#[cfg(feature = "injected-faults")]
impl LeaseHolder {
    /// A holder that knows this.
    pub fn from_state(parameters: LeaseParameters, known: HolderState) -> LeaseHolder {
        LeaseHolder {
            parameters,
            held: known.held,
            ended: known.ended,
            acts: Rc::new(Cell::new(known.acting)),
        }
    }

    /// What it knows.
    pub fn state(&self) -> HolderState {
        HolderState { held: self.held, ended: self.ended, acting: self.acts.get() }
    }
}

#[cfg(feature = "injected-faults")]
impl Permit {
    /// A permit of these parts, of a holder that counts its acts elsewhere.
    pub fn from_parts(parameters: LeaseParameters, token: FencingToken, until: Micros) -> Permit {
        Permit { token, until, parameters, acts: Rc::default() }
    }

    /// Its token, and until when it holds.
    pub fn parts(&self) -> (FencingToken, Micros) {
        (self.token, self.until)
    }
}

/// One relay's hold on a task.
#[derive(Debug)]
pub struct LeaseHolder {
    parameters: LeaseParameters,
    held: Option<(FencingToken, Micros)>,
    /// The last lease that has ended here: an answer about it, or an older one, may still be on its way.
    ended: FencingToken,
    acts: Rc<Cell<usize>>,
}

/// The right to one act. It must be shown before each effect; dropping it ends the act.
#[derive(Debug)]
pub struct Permit {
    token: FencingToken,
    until: Micros,
    #[cfg_attr(not(feature = "injected-faults"), allow(dead_code))]
    parameters: LeaseParameters,
    acts: Rc<Cell<usize>>,
}

impl LeaseHolder {
    /// Holds nothing yet.
    pub fn new(parameters: LeaseParameters) -> LeaseHolder {
        LeaseHolder { parameters, held: None, ended: FencingToken(0), acts: Rc::default() }
    }

    /// The request was granted. A grant whose answer took longer than the lease is worth nothing.
    pub fn granted(&mut self, asked: RequestTime, now: Micros, token: FencingToken) {
        let from = if fault_injected!(self.parameters, CountsFromAnswer) { now } else { asked.0 };
        let until = from.saturating_add(self.parameters.usable());
        match self.held {
            // Guards against a renewal that is answered after the lease was released, and acting on it.
            _ if token <= self.ended => {}
            // Answers may come out of order: an older one shortens nothing.
            Some((held, longer)) if held > token || held == token && longer >= until => {}
            _ => self.held = Some((token, until)),
        }
    }

    /// The keepers say that the lease with this token has ended.
    pub fn lease_ended(&mut self, token: FencingToken) {
        self.ended = self.ended.max(token);
        self.held.take_if(|(held, _)| *held == token);
    }

    /// The token held, if what is left of its lease is worth anything.
    pub fn held_token(&self, now: Micros) -> Option<FencingToken> {
        self.held.filter(|(_, until)| now < *until).map(|(token, _)| token)
    }

    /// The right to an act that takes `longest` at the most, by this clock.
    pub fn permit(&self, now: Micros, longest: Micros) -> Result<Permit, PermitError> {
        let (token, until) = self.held.ok_or(PermitError::NotHeld)?;
        let end = now.saturating_add(longest);
        if end > until {
            return Err(PermitError::TooShort);
        }
        self.acts.set(self.acts.get() + 1);
        Ok(Permit { token, until: end, parameters: self.parameters, acts: self.acts.clone() })
    }

    /// Lets go, so that the next holder need not wait: the token to release. Not while an act is under way.
    pub fn release(&mut self) -> Result<FencingToken, PermitError> {
        if self.acts.get() > 0 && !fault_injected!(self.parameters, EarlyRelease) {
            return Err(PermitError::Acting);
        }
        let (token, _) = self.held.take().ok_or(PermitError::NotHeld)?;
        self.ended = self.ended.max(token);
        Ok(token)
    }
}

impl Permit {
    /// The token to act under, if the permit still covers this moment. A process may have stood still since it last looked:
    /// it asks before each effect, and gives the act up on a no.
    pub fn valid_token(&self, now: Micros) -> Option<FencingToken> {
        (now < self.until || fault_injected!(self.parameters, PermitNotChecked)).then_some(self.token)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.acts.set(self.acts.get().saturating_sub(1));
    }
}
