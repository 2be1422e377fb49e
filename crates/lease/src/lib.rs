#![forbid(unsafe_code)]
//! Leases for fleet-wide tasks, as pure parts: the [`LeaseTable`] that keepers agree on, the [`ExpiryTracker`] of the keeper that leads,
//! the [`AcquireBackoff`] for those who are refused, the [`LeaseHolder`]'s side of one task, and the [`LeaseClient`] of a relay.
//!
//! Commands go into the book in the order of the keepers' log; answers come out. Times go into the other two, each by the steady
//! clock of its own process. Nothing here reads a clock, sends a message or knows the consensus engine. What is promised, and
//! under which assumptions, stands in `docs/design/leases.md`.

mod acquire_backoff;
mod clock_drift;
mod expiry_tracker;
mod lease_client;
mod lease_holder;
mod lease_table;

pub use acquire_backoff::AcquireBackoff;
pub use clock_drift::{ClockDriftChange, ClockDriftMonitor};
pub use expiry_tracker::ExpiryTracker;
pub use lease_client::{CommandResult, LeaseClient, LeaseRequest, TaskOptions};
#[cfg(feature = "injected-faults")]
pub use lease_holder::HolderState;
pub use lease_holder::{LeaseHolder, Permit, PermitError, RequestTime};
pub use lease_table::{
    Answer, Command, FencingToken, Lease, LeaseTable, MAX_LEASES, MAX_NAME_BYTES, MAX_SLOTS, MAX_TASKS,
    MAX_UNANSWERED_REQUESTS, Rejection,
};

/// Microseconds.
pub type Micros = u64;

/// What keepers and holders have in common. Both must be told the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseParameters {
    /// How long a lease lasts.
    pub lease_duration: Micros,
    /// By how much the rate of any clock may differ from the true one, in parts of a million.
    pub drift_ppm: u64,
    /// What a holder leaves unused at the end of a lease.
    pub margin: Micros,
    /// A fault planted on purpose.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

/// Faults that the proofs must see.
#[cfg(feature = "injected-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// The holder counts from the answer.
    CountsFromAnswer,
    /// Nobody takes drift off.
    NoDrift,
    /// The keeper counts from the request.
    #[serde(rename = "keeper-counts-from-request")]
    ServerCountsFromRequest,
    /// A new leader takes tokens up from its memory, which is empty.
    TokenFromMemory,
    /// A new leader forgets the leases.
    ForgetsLeases,
    /// A permit says yes for ever once it was given.
    PermitNotChecked,
    /// A release goes out while an act is under way.
    EarlyRelease,
    /// A release frees whatever lease there is.
    OldRelease,
    /// An expiry ends a lease that was renewed meanwhile.
    ExpiresRenewed,
}

/// A clock that is off, for tests: by an offset, and by so many parts of a million in its rate.
#[cfg(feature = "injected-faults")]
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockDriftError {
    /// What it shows at time 0.
    pub offset: Micros,
    /// By how much it is fast, or slow where negative.
    pub ppm: i64,
}

#[cfg(feature = "injected-faults")]
impl ClockDriftError {
    /// What it shows at a time.
    pub fn at(self, t: Micros) -> Micros {
        (i128::from(t) + i128::from(t) * i128::from(self.ppm) / 1_000_000) as Micros + self.offset
    }
}

#[cfg(feature = "injected-faults")]
impl InjectedFault {
    /// All of them.
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

impl LeaseParameters {
    /// Sound terms with this lease: drift of 1 part in 1,000, a margin of a twentieth.
    pub fn new(lease_duration: Micros) -> LeaseParameters {
        LeaseParameters {
            lease_duration,
            drift_ppm: 1_000,
            margin: lease_duration / 20,
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    /// What a holder may use of a lease, from when it asked.
    pub fn usable(&self) -> Micros {
        self.lease_duration.saturating_sub(self.drift(self.lease_duration)).saturating_sub(self.margin)
    }

    #[cfg(feature = "injected-faults")]
    fn plants(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }

    /// The longest that a clock which runs slow may take for a span of true time, or one that runs fast may need to show it.
    fn drift(&self, span: Micros) -> Micros {
        #[cfg(feature = "injected-faults")]
        if self.plants(InjectedFault::NoDrift) {
            return 0;
        }
        // Twice, as two clocks may differ in both ways, and rounded up.
        span.saturating_mul(2 * self.drift_ppm).div_ceil(1_000_000)
    }
}

/// Whether a fault is planted; never outside of tests.
macro_rules! fault_injected {
    ($parameters:expr, $fault:ident) => {{
        #[cfg(feature = "injected-faults")]
        let it = $parameters.plants($crate::InjectedFault::$fault);
        #[cfg(not(feature = "injected-faults"))]
        let it = {
            let _ = $parameters;
            false
        };
        it
    }};
}
pub(crate) use fault_injected;
