//! The model of an endpoint: what it can do, what it holds, when it collapses. Pure: time is passed in.
//!
//! Loads are in usual connections: an endpoint of capacity 40 is full with 40 connections of usual load, each affinity group that is
//! held there counting as some connections more. All times are Unix microseconds.

use std::collections::{BTreeMap, VecDeque};

/// Microseconds.
pub type Micros = u64;

/// Multiple of its present rate of new connections above which a warming endpoint collapses.
pub const COLLAPSE_OVERLOAD: f64 = 3.0;
/// Window over which that rate is taken, in microseconds.
pub const COLLAPSE_WINDOW: Micros = 2_000_000;
/// Work within the window up to which no endpoint collapses, in usual connections.
const MIN_COLLAPSE_WORK: f64 = 4.0;
/// Load over capacity at which messages begin to be late.
const FIRST_LATE_LOAD: f64 = 0.85;
/// Load over capacity at which all messages are late.
const ALL_LATE_LOAD: f64 = 1.15;
/// Load over capacity at which new connections are rejected.
const REJECT_LOAD: f64 = 1.5;

/// The parameters of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointParameters {
    /// Its size in discovery.
    pub weight: f64,
    /// Usual connections that fill it once it is warm.
    pub capacity: f64,
    /// The part of its capacity that it starts with.
    pub cold_capacity_fraction: f64,
    /// The time that it takes to warm up evenly.
    pub warm_up: Micros,
    /// What each affinity group costs that it holds, in usual connections.
    pub affinity_group_cost: f64,
    /// How often its load reports are refreshed.
    pub report_interval: Micros,
    /// How late reports are.
    pub report_delay: Micros,
}

/// A connection as its endpoint knows it.
#[derive(Clone, Debug)]
pub struct ConnectionLoad {
    /// Its load in usual connections.
    pub load: f64,
    /// Its affinity group.
    pub affinity_group: u64,
    /// It came by a relay of another zone.
    pub is_cross_zone: bool,
    /// The zone of that relay.
    pub relay_zone: usize,
}

/// The endpoint's answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is established.
    Accepted,
    /// It is rejected.
    Rejected,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The part of its cores in use.
    pub cpu_utilization: f64,
    /// Milliseconds of work a message takes.
    pub latency_ms: f64,
    /// Load asked over what it can do.
    pub utilization: f64,
}

/// The connections of an affinity group at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct AffinityGroupUse {
    connections: u32,
    /// Connections that came by relays of other zones.
    cross_zone_connections: u32,
}

/// The model of one endpoint.
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
    /// An endpoint that has just started, or long ago (`started_at` 0).
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

    /// Returns its parameters.
    pub fn parameters(&self) -> &EndpointParameters {
        &self.parameters
    }

    /// Returns when it started, in Unix microseconds; 0 is long ago.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns the part of its capacity that it has now.
    pub fn warm_fraction(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= self.parameters.warm_up {
            return 1.0;
        }
        self.parameters.cold_capacity_fraction
            + (1.0 - self.parameters.cold_capacity_fraction) * age as f64 / self.parameters.warm_up as f64
    }

    /// Returns the usual connections that it can carry now.
    pub fn capacity(&self, now: Micros) -> f64 {
        if self.collapsed { 0.0 } else { self.parameters.capacity * self.warm_fraction(now) }
    }

    /// Returns the load that it holds, affinity groups included, in usual connections.
    pub fn total_load(&self) -> f64 {
        self.load + self.affinity_groups.len() as f64 * self.parameters.affinity_group_cost
    }

    /// Returns what connections of other zones hold: their load, and the affinity groups that no other connection here has.
    pub fn cross_zone_load(&self) -> f64 {
        let load: f64 = self.connections.values().filter(|s| s.is_cross_zone).map(|s| s.load).sum();
        let affinity_groups = self
            .affinity_groups
            .values()
            .filter(|group| group.connections == group.cross_zone_connections)
            .count();
        load + affinity_groups as f64 * self.parameters.affinity_group_cost
    }

    /// Returns the number of connections of relays of a zone.
    pub fn connections_from(&self, zone: usize) -> usize {
        self.connections.values().filter(|s| s.relay_zone == zone).count()
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the load asked over what it can do.
    pub fn utilization(&self, now: Micros) -> f64 {
        self.total_load() / self.capacity(now).max(1e-9)
    }

    /// Returns the share of messages that it answers in time.
    pub fn in_time_fraction(&self, now: Micros) -> f64 {
        if self.collapsed {
            return 0.0;
        }
        ((ALL_LATE_LOAD - self.utilization(now)) / (ALL_LATE_LOAD - FIRST_LATE_LOAD)).clamp(0.0, 1.0)
    }

    /// Handles a new connection's opening line. Every one is work that was sent, whether it is accepted or not.
    pub fn open(&mut self, now: Micros, id: u64, connection: ConnectionLoad) -> Admission {
        if self.collapsed {
            return Admission::Rejected;
        }
        self.record_work(now, connection.load);
        if self.collapsed || self.utilization(now) >= REJECT_LOAD {
            return Admission::Rejected;
        }
        let affinity_group = self.affinity_groups.entry(connection.affinity_group).or_default();
        affinity_group.connections += 1;
        affinity_group.cross_zone_connections += u32::from(connection.is_cross_zone);
        self.load += connection.load;
        self.connections.insert(id, connection);
        Admission::Accepted
    }

    /// Applies the rule on warming endpoints: the work sent within the window against present capacity, which is the rate of
    /// new connections that fills it over its warm-up, times the part of its capacity that it has.
    fn record_work(&mut self, now: Micros, load: f64) {
        if self.warm_fraction(now) >= 1.0 {
            return;
        }
        self.recent_work.push_back((now, load));
        while self.recent_work.front().is_some_and(|(at, _)| at + COLLAPSE_WINDOW <= now) {
            self.recent_work.pop_front();
        }
        let recent_work: f64 = self.recent_work.iter().map(|(_, load)| load).sum();
        let pace =
            self.parameters.capacity / (self.parameters.warm_up as f64 / 1e6) * self.warm_fraction(now);
        let multiple = recent_work / (pace * COLLAPSE_WINDOW as f64 / 1e6);
        self.max_overload = self.max_overload.max(multiple);
        self.collapsed |= recent_work > MIN_COLLAPSE_WORK && multiple > COLLAPSE_OVERLOAD;
    }

    /// Returns the largest multiple of its present rate that it was sent while it warmed up.
    pub fn max_overload(&self) -> f64 {
        self.max_overload
    }

    /// Returns whether it has collapsed; it stays down.
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

    /// Returns the load report that a health check gets: refreshed at intervals, and late.
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
        self.reports.front().map(|r| r.1).unwrap_or_default()
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
        let mut server = EndpointModel::new(parameters(), 0);
        for (id, affinity_group, is_cross_zone) in [(1, 7, true), (2, 7, false), (3, 8, true), (4, 8, true)] {
            assert_eq!(server.open(1, id, connection(affinity_group, is_cross_zone)), Admission::Accepted);
        }
        assert_eq!((server.total_load(), server.cross_zone_load()), (10.0, 6.0));
        server.close(2);
        assert_eq!(server.cross_zone_load(), 9.0);
        (1..=4).for_each(|id| server.close(id));
        assert_eq!((server.total_load(), server.cross_zone_load(), server.connections()), (0.0, 0.0, 0));
    }

    #[test]
    fn cold_endpoint_collapses_at_three_times_its_rate_and_warm_one_does_not() {
        // It fills at 4 connections a second times the part of its capacity that it has of a half: 4 in 2 s, and 12 are too many.
        let start = 1_000_000_000;
        let mut warm_up = EndpointModel::new(parameters(), start);
        let stood = (0..20)
            .filter(|id| warm_up.open(start, *id, connection(1, false)) == Admission::Accepted)
            .count();
        assert_eq!((stood, warm_up.collapsed()), (12, true));
        let mut warm = EndpointModel::new(parameters(), 0);
        assert!((0..20).all(|id| warm.open(start, id, connection(1, false)) == Admission::Accepted));
        let mut slow = EndpointModel::new(parameters(), start);
        let at = |id: u64| start + id * 250_000;
        assert!((0..20).all(|id| slow.open(at(id), id, connection(1, false)) == Admission::Accepted));
    }

    #[test]
    fn load_report_is_delayed() {
        let mut server = EndpointModel::new(parameters(), 0);
        assert_eq!(server.report(1_000_000).utilization, 0.0);
        assert!((0..9).all(|id| server.open(1_000_000, id, connection(1, false)) == Admission::Accepted));
        assert_eq!(server.report(1_400_000).utilization, 0.0);
        assert_eq!(server.report(1_600_000).utilization, 0.0);
        assert!(server.report(1_950_000).utilization > 0.3);
    }
}
