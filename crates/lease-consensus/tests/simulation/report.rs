//! What a simulation has observed.

use honeyknot_lease::Micros;

use crate::simulator::TASKS;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub effects: u64,
    pub holder_changes: u64,
    pub crashes: u64,
    /// The greatest term of any replica.
    pub terms: u64,
    /// True time of the last effect on each task.
    pub last_effects: [Micros; TASKS.len()],
    /// Hash of all committed entries.
    pub log_hash: u64,
    /// The first violation of an invariant.
    pub violation: Option<String>,
}
