//! The holder's view of its lease of one task.

use std::cell::Cell;
use std::rc::Rc;

use crate::{FencingToken, LeaseParameters, Micros, Permit, PermitError, fault_injected};

/// When a request was sent, by the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTime(Micros);

impl RequestTime {
    /// Creates the time of a request to acquire or renew. `now` must be read *before* the request is sent,
    /// because the lease is measured from it.
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
    /// Greatest token whose lease has ended at this holder. Later responses about this token or a smaller one
    /// are ignored.
    last_ended: FencingToken,
    actions_in_progress: Rc<Cell<usize>>,
}

impl LeaseHolder {
    /// Creates a holder without a lease.
    pub fn new(parameters: LeaseParameters) -> LeaseHolder {
        LeaseHolder {
            parameters,
            held: None,
            last_ended: FencingToken(0),
            actions_in_progress: Rc::default(),
        }
    }

    /// Records that a request was granted. Responses may arrive late and out of order.
    pub fn granted(&mut self, requested_at: RequestTime, now: Micros, token: FencingToken) {
        let measured_from =
            if fault_injected!(self.parameters, CountsFromAnswer) { now } else { requested_at.0 };
        let usable_until = measured_from.saturating_add(self.parameters.usable_duration());
        match self.held {
            // The response to a renewal may arrive after the release and must not restore the lease.
            _ if token <= self.last_ended => {}
            // A response about an older lease or an earlier request must not shorten the lease.
            Some(held) if held.token > token || held.token == token && held.usable_until >= usable_until => {}
            _ => self.held = Some(HeldLease { token, usable_until }),
        }
    }

    /// Records that the lease with this token has ended at the lease servers.
    pub fn lease_ended(&mut self, token: FencingToken) {
        self.last_ended = self.last_ended.max(token);
        self.held.take_if(|held| held.token == token);
    }

    /// Returns the token of the held lease, or `None` if no lease is held or usable any longer.
    pub fn held_token(&self, now: Micros) -> Option<FencingToken> {
        self.held.filter(|held| now < held.usable_until).map(|held| held.token)
    }

    /// Permits one action of at most `max_duration` microseconds.
    ///
    /// # Errors
    /// [`PermitError::NotHeld`] without a lease, [`PermitError::LeaseTooShort`] if the lease could expire
    /// before the action is complete.
    pub fn permit(&self, now: Micros, max_duration: Micros) -> Result<Permit, PermitError> {
        let held = self.held.ok_or(PermitError::NotHeld)?;
        let valid_until = now.saturating_add(max_duration);
        if valid_until > held.usable_until {
            return Err(PermitError::LeaseTooShort);
        }
        Ok(Permit::begin(self.parameters, held.token, valid_until, &self.actions_in_progress))
    }

    /// Gives up the lease and returns its token, which the caller must then release at the lease servers.
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
    /// Greatest token whose lease has ended at this holder.
    pub last_ended: FencingToken,
    /// Number of actions in progress.
    pub actions_in_progress: usize,
}

#[cfg(feature = "injected-faults")]
impl LeaseHolder {
    /// Creates a holder with this state.
    pub fn from_state(parameters: LeaseParameters, state: HolderState) -> LeaseHolder {
        let actions_in_progress = Rc::new(Cell::new(state.actions_in_progress));
        LeaseHolder { parameters, held: state.held, last_ended: state.last_ended, actions_in_progress }
    }

    /// Returns the holder's state.
    pub fn state(&self) -> HolderState {
        let actions_in_progress = self.actions_in_progress.get();
        HolderState { held: self.held, last_ended: self.last_ended, actions_in_progress }
    }
}
