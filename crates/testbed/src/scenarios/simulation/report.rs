//! The figures of a simulation.

use serde::Serialize;

use super::Simulation;

/// The figures of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationReport {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Zones.
    #[serde(rename = "sites")]
    pub zones: usize,
    /// Endpoints.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// Relays.
    pub relays: usize,
    /// Requests.
    #[serde(rename = "clients_asked")]
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The most connections at any time.
    #[serde(rename = "most_sessions")]
    pub max_connections: usize,
    /// The configured limit of spill, as a part of a receiving zone's capacity.
    pub spill_limit: f64,
    /// The largest share of a zone's capacity that connections of other zones held.
    pub worst_spill: f64,
    /// Endpoints that collapsed while they warmed up.
    #[serde(rename = "servers_pushed_over")]
    pub endpoints_collapsed: u64,
    /// The largest multiple of its present capacity that a warming endpoint was sent.
    pub worst_return_multiple: f64,
    /// Migrated connections.
    #[serde(rename = "moves")]
    pub migrations: u64,
    /// The most migrations in any second.
    #[serde(rename = "worst_moves_per_s")]
    pub max_migrations_per_second: u64,
    /// Share of the wanted seconds that were well served.
    pub well_served: f64,
    /// Median time of an admission decision, in nanoseconds.
    #[serde(rename = "ask_p50_ns")]
    pub decision_p50_ns: u64,
    /// 99th percentile of the time of an admission decision, in nanoseconds.
    #[serde(rename = "ask_p99_ns")]
    pub decision_p99_ns: u64,
    /// Simulated seconds.
    pub simulated_s: f64,
    /// Real seconds.
    pub wall_s: f64,
    /// The most memory that this process has held so far, in MiB; 0 where it is not known.
    pub peak_mib: u64,
}

impl SimulationReport {
    /// Creates the report of a simulation in which nothing has happened yet.
    pub(super) fn new(simulation: &Simulation) -> SimulationReport {
        SimulationReport {
            scenario: format!("{:?}", simulation.scenario).to_lowercase(),
            seed: simulation.seed,
            zones: simulation.zones,
            endpoints: simulation.endpoints,
            relays: simulation.relays,
            requests: 0,
            served: 0,
            rejected: 0,
            max_connections: 0,
            spill_limit: simulation.config.spill_limit,
            worst_spill: 0.0,
            endpoints_collapsed: 0,
            worst_return_multiple: 0.0,
            migrations: 0,
            max_migrations_per_second: 0,
            well_served: 0.0,
            decision_p50_ns: 0,
            decision_p99_ns: 0,
            simulated_s: 0.0,
            wall_s: 0.0,
            peak_mib: 0,
        }
    }
}

/// Returns the most memory that this process has held, in MiB; 0 where the system does not say.
pub(super) fn peak_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).map_or(0, |kib| kib / 1024)
}
