//! Parameters of the lease servers, tasks and leases of a fleet.

use std::rc::Rc;

use honeyknot_lease::{InjectedFault, SimulatedClock};
use honeyknot_relay::lease_client::{Clock, boot_clock};
use serde::{Deserialize, Serialize};

/// Options of the lease servers and lease holders of a fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseOptions {
    /// Number of lease servers; zero in a fleet without leases.
    pub servers: usize,
    /// Lease duration in milliseconds.
    pub lease_ms: u64,
    /// Number of tasks; the recording server checks the fencing tokens of tasks with an odd number.
    pub tasks: usize,
    /// Configured bound on clock drift, in parts per million.
    pub clock_drift_ppm: u64,
    /// Time before the end of a lease from which on its holder no longer acts, in milliseconds.
    pub margin_ms: u64,
    /// Error of each process's clock rate in parts per million: lease servers first, then holders; missing
    /// entries are zero.
    pub clock_error_ppm: Vec<i64>,
    /// Fault injected into all lease servers and holders.
    pub injected_fault: Option<InjectedFault>,
}

impl LeaseOptions {
    /// Returns the name of a task; the prefix `checked` means that the recording server checks its tokens.
    pub fn task_name(n: usize) -> String {
        if n % 2 == 1 { format!("checked-{n}") } else { format!("plain-{n}") }
    }

    /// Returns the clock of a process; the index counts lease servers first, then holders.
    pub fn clock(&self, process: usize) -> Clock {
        let drift_ppm = self.clock_error_ppm.get(process).copied().unwrap_or(0);
        Rc::new(move || SimulatedClock { offset: 0, drift_ppm }.at(boot_clock()))
    }
}
