//! A model of an endpoint: its capacity, its load, and when it collapses. It reads no clock: callers pass the
//! time.
//!
//! Loads and capacities are measured in average connections: 40 connections of average load use the full
//! capacity of an endpoint of capacity 40. Each affinity group with connections at the endpoint adds a fixed
//! load. All times are in Unix microseconds.

use std::collections::{BTreeMap, VecDeque};

/// A time or duration in microseconds.
pub type Micros = u64;

/// Overload above which an endpoint that warms up collapses: the rate of new work, as a multiple of the rate
/// that the endpoint can take at present.
pub const COLLAPSE_OVERLOAD: f64 = 3.0;
/// Window over which the rate of new work is measured, in microseconds.
pub const COLLAPSE_WINDOW: Micros = 2_000_000;
/// Work within the window up to which no endpoint collapses, in average connections.
const MIN_COLLAPSE_WORK: f64 = 4.0;
/// Utilization above which some messages are late.
const FIRST_LATE_UTILIZATION: f64 = 0.85;
/// Utilization from which all messages are late.
const ALL_LATE_UTILIZATION: f64 = 1.15;
/// Utilization from which new connections are rejected.
const REJECT_UTILIZATION: f64 = 1.5;

/// The parameters of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointParameters {
    /// Weight in discovery.
    pub weight: f64,
    /// Capacity when warm, in average connections.
    pub capacity: f64,
    /// Share of the capacity that is available right after the start.
    pub cold_capacity_fraction: f64,
    /// Time in which the available capacity rises linearly to the full capacity.
    pub warm_up: Micros,
    /// Load of each affinity group that has connections here, in average connections.
    pub affinity_group_cost: f64,
    /// Interval at which the load report is refreshed.
    pub report_interval: Micros,
    /// Delay until a refreshed load report is returned to health checks.
    pub report_delay: Micros,
}

/// A connection at an endpoint.
#[derive(Clone, Debug)]
pub struct ConnectionLoad {
    /// Load in average connections.
    pub load: f64,
    /// Affinity group.
    pub affinity_group: u64,
    /// Whether it comes from a relay of another zone.
    pub is_cross_zone: bool,
    /// Index of the relay's zone.
    pub relay_zone: usize,
}

/// The endpoint's answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is established.
    Accepted,
    /// The connection is rejected.
    Rejected,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the CPU in use, 0 to 1.
    pub cpu_utilization: f64,
    /// Time to process a message, in milliseconds.
    pub latency_ms: f64,
    /// Load divided by the present capacity; above 1 if the endpoint is overloaded.
    pub utilization: f64,
}

/// The connections of an affinity group at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct AffinityGroupUse {
    connections: u32,
    /// Number of these connections that come from relays of other zones.
    cross_zone_connections: u32,
}

/// A model of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    parameters: EndpointParameters,
    started_at: Micros,
    connections: BTreeMap<u64, ConnectionLoad>,
    affinity_groups: BTreeMap<u64, AffinityGroupUse>,
    load: f64,
    recent_work: VecDeque<(Micros, f64)>,
    collapsed: bool,
    max_overload: f64,
    reports: VecDeque<(Micros, LoadReport)>,
}

impl EndpointModel {
    /// Creates an endpoint without connections. `started_at` 0 means that it has been running for a long time
    /// and is warm.
    pub fn new(parameters: EndpointParameters, started_at: Micros) -> EndpointModel {
        EndpointModel {
            parameters,
            started_at,
            connections: BTreeMap::new(),
            affinity_groups: BTreeMap::new(),
            load: 0.0,
            recent_work: VecDeque::new(),
            collapsed: false,
            max_overload: 0.0,
            reports: VecDeque::new(),
        }
    }

    /// Returns the parameters of the endpoint.
    pub fn parameters(&self) -> &EndpointParameters {
        &self.parameters
    }

    /// Returns when the endpoint started, in Unix microseconds; 0 if it has been running for a long time.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns the share of the capacity that is available at `now`: below 1 while the endpoint warms up.
    pub fn warm_fraction(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= self.parameters.warm_up {
            return 1.0;
        }
        self.parameters.cold_capacity_fraction
            + (1.0 - self.parameters.cold_capacity_fraction) * age as f64 / self.parameters.warm_up as f64
    }

    /// Returns the available capacity in average connections; 0 if the endpoint has collapsed.
    pub fn capacity(&self, now: Micros) -> f64 {
        if self.collapsed { 0.0 } else { self.parameters.capacity * self.warm_fraction(now) }
    }

    /// Returns the load of all connections and affinity groups, in average connections.
    pub fn total_load(&self) -> f64 {
        self.load + self.affinity_groups.len() as f64 * self.parameters.affinity_group_cost
    }

    /// Returns the load of connections from other zones, including that of affinity groups which only such
    /// connections use.
    pub fn cross_zone_load(&self) -> f64 {
        let load: f64 = self
            .connections
            .values()
            .filter(|connection| connection.is_cross_zone)
            .map(|connection| connection.load)
            .sum();
        let affinity_groups = self
            .affinity_groups
            .values()
            .filter(|group| group.connections == group.cross_zone_connections)
            .count();
        load + affinity_groups as f64 * self.parameters.affinity_group_cost
    }

    /// Returns the number of connections from relays of a zone.
    pub fn connections_from(&self, zone: usize) -> usize {
        self.connections.values().filter(|connection| connection.relay_zone == zone).count()
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the load divided by the available capacity.
    pub fn utilization(&self, now: Micros) -> f64 {
        self.total_load() / self.capacity(now).max(1e-9)
    }

    /// Returns the share of messages that are answered in time.
    pub fn in_time_fraction(&self, now: Micros) -> f64 {
        if self.collapsed {
            return 0.0;
        }
        ((ALL_LATE_UTILIZATION - self.utilization(now)) / (ALL_LATE_UTILIZATION - FIRST_LATE_UTILIZATION))
            .clamp(0.0, 1.0)
    }

    /// Handles a request for a new connection. Every request counts as work, also one that is rejected.
    pub fn open(&mut self, now: Micros, id: u64, connection: ConnectionLoad) -> Admission {
        if self.collapsed {
            return Admission::Rejected;
        }
        self.record_work(now, connection.load);
        if self.collapsed || self.utilization(now) >= REJECT_UTILIZATION {
            return Admission::Rejected;
        }
        let affinity_group = self.affinity_groups.entry(connection.affinity_group).or_default();
        affinity_group.connections += 1;
        affinity_group.cross_zone_connections += u32::from(connection.is_cross_zone);
        self.load += connection.load;
        self.connections.insert(id, connection);
        Admission::Accepted
    }

    /// Adds work to the window and lets an endpoint that warms up collapse if it is overloaded. The rate of
    /// new work that it can take is the rate that fills its capacity over its warm-up time, times the share
    /// of the capacity that is available.
    fn record_work(&mut self, now: Micros, load: f64) {
        if self.warm_fraction(now) >= 1.0 {
            return;
        }
        self.recent_work.push_back((now, load));
        while self.recent_work.front().is_some_and(|(at, _)| at + COLLAPSE_WINDOW <= now) {
            self.recent_work.pop_front();
        }
        let recent_work: f64 = self.recent_work.iter().map(|(_, load)| load).sum();
        let sustainable_rate =
            self.parameters.capacity / (self.parameters.warm_up as f64 / 1e6) * self.warm_fraction(now);
        let overload = recent_work / (sustainable_rate * COLLAPSE_WINDOW as f64 / 1e6);
        self.max_overload = self.max_overload.max(overload);
        self.collapsed |= recent_work > MIN_COLLAPSE_WORK && overload > COLLAPSE_OVERLOAD;
    }

    /// Returns the maximum overload during the warm-up: the rate of new work, as a multiple of the rate that
    /// the endpoint could take at that time.
    pub fn max_overload(&self) -> f64 {
        self.max_overload
    }

    /// Returns whether the endpoint has collapsed. It does not recover unless it is restarted.
    pub fn collapsed(&self) -> bool {
        self.collapsed
    }

    /// Handles the end of a connection.
    pub fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.load = if self.connections.is_empty() { 0.0 } else { self.load - connection.load };
        if let Some(affinity_group) = self.affinity_groups.get_mut(&connection.affinity_group) {
            affinity_group.connections -= 1;
            affinity_group.cross_zone_connections -= u32::from(connection.is_cross_zone);
            if affinity_group.connections == 0 {
                self.affinity_groups.remove(&connection.affinity_group);
            }
        }
    }

    /// Returns the load report for a health check. It is refreshed at intervals, and returned with a delay.
    pub fn report(&mut self, now: Micros) -> LoadReport {
        if self.reports.back().is_none_or(|(at, _)| now >= at + self.parameters.report_interval) {
            let utilization = self.utilization(now).min(99.0);
            let latency_ms = 4.0 / (1.05 - utilization.min(1.0)) + (utilization - 1.0).max(0.0) * 400.0;
            self.reports.push_back((
                now,
                LoadReport { cpu_utilization: utilization.min(1.0), latency_ms, utilization },
            ));
        }
        let due = |at: Micros| at + self.parameters.report_delay <= now;
        while self.reports.len() > 1 && due(self.reports[1].0) {
            self.reports.pop_front();
        }
        self.reports.front().map(|entry| entry.1).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parameters() -> EndpointParameters {
        EndpointParameters {
            weight: 1.0,
            capacity: 36.0,
            cold_capacity_fraction: 0.5,
            warm_up: 9_000_000,
            affinity_group_cost: 3.0,
            report_interval: 500_000,
            report_delay: 300_000,
        }
    }

    fn connection(affinity_group: u64, is_cross_zone: bool) -> ConnectionLoad {
        ConnectionLoad { load: 1.0, affinity_group, is_cross_zone, relay_zone: 0 }
    }

    #[test]
    fn affinity_group_cost_counts_once_and_cross_zone_load_is_separate() {
        let mut endpoint = EndpointModel::new(parameters(), 0);
        for (id, affinity_group, is_cross_zone) in [(1, 7, true), (2, 7, false), (3, 8, true), (4, 8, true)] {
            assert_eq!(endpoint.open(1, id, connection(affinity_group, is_cross_zone)), Admission::Accepted);
        }
        assert_eq!((endpoint.total_load(), endpoint.cross_zone_load()), (10.0, 6.0));
        endpoint.close(2);
        assert_eq!(endpoint.cross_zone_load(), 9.0);
        (1..=4).for_each(|id| endpoint.close(id));
        assert_eq!(
            (endpoint.total_load(), endpoint.cross_zone_load(), endpoint.connections()),
            (0.0, 0.0, 0)
        );
    }

    #[test]
    fn cold_endpoint_collapses_above_three_times_its_rate_and_warm_one_does_not() {
        // The endpoint can take 36 connections / 9 s times half its capacity: 4 in the window of 2 s. It
        // collapses above 12.
        let start = 1_000_000_000;
        let mut cold = EndpointModel::new(parameters(), start);
        let accepted =
            (0..20).filter(|id| cold.open(start, *id, connection(1, false)) == Admission::Accepted).count();
        assert_eq!((accepted, cold.collapsed()), (12, true));
        let mut warm = EndpointModel::new(parameters(), 0);
        assert!((0..20).all(|id| warm.open(start, id, connection(1, false)) == Admission::Accepted));
        let mut slowly_loaded = EndpointModel::new(parameters(), start);
        let at = |id: u64| start + id * 250_000;
        assert!(
            (0..20).all(|id| slowly_loaded.open(at(id), id, connection(1, false)) == Admission::Accepted)
        );
    }

    #[test]
    fn load_report_is_delayed() {
        let mut endpoint = EndpointModel::new(parameters(), 0);
        assert_eq!(endpoint.report(1_000_000).utilization, 0.0);
        assert!((0..9).all(|id| endpoint.open(1_000_000, id, connection(1, false)) == Admission::Accepted));
        assert_eq!(endpoint.report(1_400_000).utilization, 0.0);
        assert_eq!(endpoint.report(1_600_000).utilization, 0.0);
        assert!(endpoint.report(1_950_000).utilization > 0.3);
    }
}
