//! The holder's view of its lease of one task.

use std::cell::Cell;
use std::rc::Rc;

use crate::{FencingToken, LeaseParameters, Micros, Permit, PermitError, fault_injected};

/// When a request was sent, by the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTime(Micros);

impl RequestTime {
    /// To be taken *before* a request to acquire or renew is sent: the lease counts from here.
    pub fn at(now: Micros) -> RequestTime {
        RequestTime(now)
    }
}

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// Fencing token of the lease.
    pub token: FencingToken,
    /// Until when the holder may act, by its own clock in microseconds.
    pub usable_until: Micros,
}

/// One client's lease of one task, if it holds one.
#[derive(Debug)]
pub struct LeaseHolder {
    parameters: LeaseParameters,
    held: Option<HeldLease>,
    /// Greatest token whose lease has ended here: answers about it or an older one may still arrive.
    last_ended: FencingToken,
    actions_in_progress: Rc<Cell<usize>>,
}

impl LeaseHolder {
    /// A holder without a lease.
    pub fn new(parameters: LeaseParameters) -> LeaseHolder {
        LeaseHolder {
            parameters,
            held: None,
            last_ended: FencingToken(0),
            actions_in_progress: Rc::default(),
        }
    }

    /// Takes note of a granted request. Answers may arrive late and out of order.
    pub fn granted(&mut self, requested_at: RequestTime, now: Micros, token: FencingToken) {
        let from = if fault_injected!(self.parameters, CountsFromAnswer) { now } else { requested_at.0 };
        let usable_until = from.saturating_add(self.parameters.usable_duration());
        match self.held {
            // A renewal that is answered after the release must not bring the lease back.
            _ if token <= self.last_ended => {}
            // An older answer shortens nothing.
            Some(held) if held.token > token || held.token == token && held.usable_until >= usable_until => {}
            _ => self.held = Some(HeldLease { token, usable_until }),
        }
    }

    /// Takes note that the lease with this token has ended at the servers.
    pub fn lease_ended(&mut self, token: FencingToken) {
        self.last_ended = self.last_ended.max(token);
        self.held.take_if(|held| held.token == token);
    }

    /// The token of the held lease while it is usable.
    pub fn held_token(&self, now: Micros) -> Option<FencingToken> {
        self.held.filter(|held| now < held.usable_until).map(|held| held.token)
    }

    /// Permits one action of at most `max_duration` microseconds.
    ///
    /// # Errors
    /// [`PermitError::NotHeld`] without a lease, [`PermitError::LeaseTooShort`] if it ends before the action.
    pub fn permit(&self, now: Micros, max_duration: Micros) -> Result<Permit, PermitError> {
        let held = self.held.ok_or(PermitError::NotHeld)?;
        let valid_until = now.saturating_add(max_duration);
        if valid_until > held.usable_until {
            return Err(PermitError::LeaseTooShort);
        }
        Ok(Permit::begin(self.parameters, held.token, valid_until, &self.actions_in_progress))
    }

    /// Gives the lease up and returns its token, which is then to be released at the servers.
    ///
    /// # Errors
    /// [`PermitError::ActionInProgress`] during an action, [`PermitError::NotHeld`] without a lease.
    pub fn release(&mut self) -> Result<FencingToken, PermitError> {
        if self.actions_in_progress.get() > 0 && !fault_injected!(self.parameters, EarlyRelease) {
            return Err(PermitError::ActionInProgress);
        }
        let held = self.held.take().ok_or(PermitError::NotHeld)?;
        self.last_ended = self.last_ended.max(held.token);
        Ok(held.token)
    }
}

/// A holder's state as plain data, for the model checker.
#[cfg(feature = "injected-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HolderState {
    /// The held lease.
    pub held: Option<HeldLease>,
    /// Greatest token whose lease has ended here.
    pub last_ended: FencingToken,
    /// Number of actions in progress.
    pub actions_in_progress: usize,
}

#[cfg(feature = "injected-faults")]
impl LeaseHolder {
    /// A holder with this state.
    pub fn from_state(parameters: LeaseParameters, state: HolderState) -> LeaseHolder {
        let actions_in_progress = Rc::new(Cell::new(state.actions_in_progress));
        LeaseHolder { parameters, held: state.held, last_ended: state.last_ended, actions_in_progress }
    }

    /// The holder's state.
    pub fn state(&self) -> HolderState {
        let actions_in_progress = self.actions_in_progress.get();
        HolderState { held: self.held, last_ended: self.last_ended, actions_in_progress }
    }
}
