//! The report of a simulation.

use serde::Serialize;

use super::Simulation;

/// The results of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Random seed.
    pub seed: u64,
    /// Number of zones.
    #[serde(rename = "sites")]
    pub zones: usize,
    /// Number of endpoints.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// Number of relays.
    pub relays: usize,
    /// Number of connection requests, repeated ones included.
    #[serde(rename = "clients_asked")]
    pub requests: u64,
    /// Number of requests that got a connection.
    pub served: u64,
    /// Number of requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Maximum number of simultaneous connections.
    #[serde(rename = "most_sessions")]
    pub max_connections: usize,
    /// Configured spill limit, as a share of a receiving zone's capacity.
    pub spill_limit: f64,
    /// Maximum share of a zone's capacity that was used by connections from other zones.
    pub worst_spill: f64,
    /// Number of endpoints that collapsed under load while they warmed up.
    #[serde(rename = "servers_pushed_over")]
    pub endpoints_collapsed: u64,
    /// Maximum rate of new work sent to an endpoint that warmed up, as a multiple of the rate it could take.
    pub worst_return_multiple: f64,
    /// Number of migrated connections.
    #[serde(rename = "moves")]
    pub migrations: u64,
    /// Maximum number of migrations in one second.
    #[serde(rename = "worst_moves_per_s")]
    pub max_migrations_per_second: u64,
    /// Share of the connection time wanted by clients in which their endpoint answered in time.
    pub well_served: f64,
    /// Median time of an admission decision, in nanoseconds.
    #[serde(rename = "ask_p50_ns")]
    pub decision_p50_ns: u64,
    /// 99th percentile of the time of an admission decision, in nanoseconds.
    #[serde(rename = "ask_p99_ns")]
    pub decision_p99_ns: u64,
    /// Simulated time in seconds.
    pub simulated_s: f64,
    /// Real time that the simulation took, in seconds.
    pub wall_s: f64,
    /// Peak memory of this process so far, in MiB; 0 if unknown.
    pub peak_mib: u64,
}

impl SimulationReport {
    /// Creates the report of a simulation that has not started yet.
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

/// Returns the peak memory of this process in MiB, or 0 if the system does not report it.
pub(super) fn peak_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).map_or(0, |kib| kib / 1024)
}
