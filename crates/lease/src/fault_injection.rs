//! Faults that tests inject to prove that they detect violations; compiled only with the feature
//! `injected-faults`.

#[cfg(feature = "injected-faults")]
use serde::{Deserialize, Serialize};

#[cfg(feature = "injected-faults")]
use crate::LeaseParameters;

/// A fault to inject.
#[cfg(feature = "injected-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// The holder measures its lease from the response instead of the request.
    CountsFromAnswer,
    /// Clock drift is ignored.
    NoDrift,
    /// The leader measures a lease from the request instead of the commit.
    #[serde(rename = "keeper-counts-from-request")]
    ServerCountsFromRequest,
    /// A new leader restarts fencing tokens at zero.
    TokenFromMemory,
    /// A new leader forgets all leases.
    ForgetsLeases,
    /// A permit stays valid forever.
    PermitNotChecked,
    /// A lease is released while an action is in progress.
    EarlyRelease,
    /// A release frees all leases of the task, whatever their token.
    OldRelease,
    /// An expiry ends a lease that was renewed in the meantime.
    ExpiresRenewed,
}

#[cfg(feature = "injected-faults")]
impl InjectedFault {
    /// All faults.
    pub const ALL: [InjectedFault; 9] = [
        InjectedFault::CountsFromAnswer,
        InjectedFault::NoDrift,
        InjectedFault::ServerCountsFromRequest,
        InjectedFault::TokenFromMemory,
        InjectedFault::ForgetsLeases,
        InjectedFault::PermitNotChecked,
        InjectedFault::EarlyRelease,
        InjectedFault::OldRelease,
        InjectedFault::ExpiresRenewed,
    ];
}

#[cfg(feature = "injected-faults")]
impl LeaseParameters {
    pub(crate) fn injects(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }
}

/// Returns whether a fault is injected; always `false` without the feature `injected-faults`.
macro_rules! fault_injected {
    ($parameters:expr, $fault:ident) => {{
        #[cfg(feature = "injected-faults")]
        let injected = $parameters.injects($crate::InjectedFault::$fault);
        #[cfg(not(feature = "injected-faults"))]
        let injected = {
            let _ = $parameters;
            false
        };
        injected
    }};
}
pub(crate) use fault_injected;
