#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]
//! Leases for fleet-wide tasks, without I/O.
//!
//! On the servers' side the [`LeaseTable`] is the replicated state machine; the leader adds an
//! [`ExpiryTracker`] and an [`AcquireBackoff`]. On the clients' side a [`LeaseHolder`] covers one task and a
//! [`LeaseClient`] all tasks of one process.
//!
//! [`Command`]s are applied to the table in log order and give [`CommandOutcome`]s. All times are
//! microseconds of the local monotonic clock; nothing here reads a clock, sends a message or knows the
//! consensus engine. Guarantees and assumptions are in `docs/design/leases.md`.

mod acquire_backoff;
mod clock_drift;
mod command;
mod expiry_tracker;
mod fault_injection;
mod lease;
mod lease_client;
mod lease_holder;
mod lease_table;
mod parameters;
mod permit;
#[cfg(feature = "injected-faults")]
mod simulated_clock;

pub use acquire_backoff::AcquireBackoff;
pub use clock_drift::{ClockDriftChange, ClockDriftMonitor};
pub use command::{Command, CommandOutcome, Rejection};
pub use expiry_tracker::{ExpiryTracker, LeaseTimes};
#[cfg(feature = "injected-faults")]
pub use fault_injection::InjectedFault;
pub use lease::{FencingToken, Lease};
pub use lease_client::{CommandResult, LeaseClient, LeaseRequest, TaskOptions};
#[cfg(feature = "injected-faults")]
pub use lease_holder::HolderState;
pub use lease_holder::{HeldLease, LeaseHolder, RequestTime};
pub use lease_table::{
    LeaseTable, MAX_LEASES, MAX_NAME_BYTES, MAX_SLOTS, MAX_TASKS, MAX_UNANSWERED_REQUESTS,
};
pub use parameters::{LeaseParameters, Micros};
pub use permit::{Permit, PermitError};
#[cfg(feature = "injected-faults")]
pub use simulated_clock::SimulatedClock;

pub(crate) use fault_injection::fault_injected;
