//! A fleet of real processes: relays, discovery, endpoints, clients and the fault proxy, each of which can be
//! killed, stopped and started on its own.
//!
//! [`run`] executes a fault [`script`]: it starts the processes, applies the steps, and reads all event logs
//! when the run is over. Each process runs this program (`honeyknot-testbed part KIND`): the first line of
//! its standard input is its [`Plan`], further lines are commands, and it ends with all its children when
//! standard input ends, however the harness ends.
//!
//! Every process appends what it observes to its own event log, one JSON object per line, without buffering,
//! so a process that is killed loses no event. Times are microseconds of the machine's clock, which all
//! processes read. Real processes are not deterministic: a seed replays the script and what is generated from
//! it, not the run.

pub mod analysis;
pub mod clients;
pub mod cold_start;
pub mod discovery;
pub mod endpoints;
pub mod event_log;
pub mod fault_proxy;
mod generated_script;
pub mod lease_options;
pub mod link;
pub mod plan;
pub mod process;
mod relay_history;
pub mod relays;
pub mod report;
pub mod run;
pub mod script;

use std::time::{SystemTime, UNIX_EPOCH};

pub use lease_options::LeaseOptions;
pub use link::Link;
pub use plan::{
    CURRENT_LIST_VERSION, INITIAL_LIST_VERSION, InitialList, MAX_ENDPOINTS, MAX_LINK_GROUPS, MAX_RELAYS, Plan,
};
pub use process::run_process;

/// Returns the machine's clock in Unix microseconds, the time base of all processes.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
