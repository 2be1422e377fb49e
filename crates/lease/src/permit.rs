//! The permission to perform one action under a lease.

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;

use crate::{FencingToken, LeaseParameters, Micros, fault_injected};

/// Why a permit or a release is refused for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PermitError {
    /// No lease of the task is held.
    #[error("no lease of the task is held")]
    NotHeld,
    /// The lease could expire before the action is complete.
    #[error("the lease could expire before the action is complete")]
    LeaseTooShort,
    /// An action is in progress.
    #[error("an action is in progress")]
    ActionInProgress,
}

/// The permission to perform one action. [`Permit::valid_token`] must be called before each effect of the
/// action; dropping the permit ends the action.
#[derive(Debug)]
pub struct Permit {
    token: FencingToken,
    valid_until: Micros,
    #[cfg_attr(not(feature = "injected-faults"), allow(dead_code))]
    parameters: LeaseParameters,
    actions_in_progress: Rc<Cell<usize>>,
}

impl Permit {
    /// Creates a permit, whose action is in progress until the permit is dropped.
    pub(crate) fn begin(
        parameters: LeaseParameters, token: FencingToken, valid_until: Micros,
        actions_in_progress: &Rc<Cell<usize>>,
    ) -> Permit {
        actions_in_progress.set(actions_in_progress.get() + 1);
        Permit { token, valid_until, parameters, actions_in_progress: actions_in_progress.clone() }
    }

    /// Returns the fencing token to act with, or `None` if the permit is no longer valid. As the process may
    /// have been suspended since the last check, this must be called before each effect, and the action must
    /// be abandoned on `None`.
    pub fn valid_token(&self, now: Micros) -> Option<FencingToken> {
        (now < self.valid_until || fault_injected!(self.parameters, PermitNotChecked)).then_some(self.token)
    }

    /// Creates a permit whose action is not counted as in progress, for the model checker, which counts it
    /// itself.
    #[cfg(feature = "injected-faults")]
    pub fn from_parts(parameters: LeaseParameters, token: FencingToken, valid_until: Micros) -> Permit {
        Permit { token, valid_until, parameters, actions_in_progress: Rc::default() }
    }

    /// Returns the token and until when the permit is valid, for the model checker.
    #[cfg(feature = "injected-faults")]
    pub fn parts(&self) -> (FencingToken, Micros) {
        (self.token, self.valid_until)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.actions_in_progress.set(self.actions_in_progress.get().saturating_sub(1));
    }
}
