//! Estimates of load: of one endpoint, of a connection, and of the fleet as a whole.

use crate::admission::FULL_LOAD;
use crate::balancer::Balancer;
use crate::endpoint_record::{EndpointRecord, ReportedLoad};
use crate::request_state::RequestState;
use crate::unreported_load::{self, is_unreported};
use crate::{ClassId, EndpointId, LoadReport, Micros, RequestId, Settings};

/// Age that a load report has when it arrives; this balancer's placements since then are added to it.
pub(crate) const REPORT_LAG: Micros = 1_000_000;
/// Trust in a load report decays by 1/e over this time, in microseconds.
const TRUST_DECAY_TIME: f64 = 6e6;
/// Time after a balancer's start before its connections are compared with the reported load.
const SETTLE_TIME: Micros = 5_000_000;
/// Added to a number of this balancer's connections when all balancers' are estimated from it, so that few
/// connections count for little.
pub(crate) const SAMPLE_SMOOTHING: f64 = 2.0;
/// Unseen placements of each other balancer for one of this balancer's.
const PEER_PLACEMENT_RATIO: f64 = 0.3;
/// Unseen placements of all other balancers for one of this balancer's, at most: of many balancers, one
/// placement tells little.
const MAX_PEER_PLACEMENTS: f64 = 2.0;
/// Load of one connection on an endpoint of weight 1 until reports tell.
const DEFAULT_CONNECTION_LOAD: f64 = 0.06;
/// Mean load of the fleet until reports tell.
const DEFAULT_MEAN_LOAD: f64 = 0.5;
/// Fraction of the way that the estimated load of a connection goes up, and down, in one update. Connections
/// that leave all at once are still in the reports: by a quick rise they would look heavy when they return.
const CONNECTION_LOAD_RISE: f64 = 0.02;
const CONNECTION_LOAD_FALL: f64 = 0.2;
/// Fraction of the way that a running mean moves to a new value.
const MEAN_UPDATE_FRACTION: f64 = 0.05;
/// Bounds of a connection's load in loads of a mean connection.
const MIN_RELATIVE_LOAD: f64 = 0.1;
const MAX_RELATIVE_LOAD: f64 = 10.0;
/// Least capacities that are divided by.
const MIN_CAPACITY: f64 = 1e-3;
const MIN_TRUSTED_CAPACITY: f64 = 1e-9;

/// How far a report of that time is still trusted, from 0 to 1.
fn report_trust(at: Micros, now: Micros) -> f64 {
    (-(now.saturating_sub(at) as f64) / TRUST_DECAY_TIME).exp()
}

/// Moves a running mean towards a new value; values that are negative or not finite are ignored.
fn update_mean(mean: &mut Option<f64>, value: f64) {
    if value.is_finite() && value >= 0.0 {
        *mean = Some(mean.map_or(value, |mean| mean + (value - mean) * MEAN_UPDATE_FRACTION));
    }
}

/// A load of a report, if it is one.
fn valid(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value >= 0.0)
}

/// Running means of the connections' loads, in microseconds of work a second; none until one is known.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLoads {
    pub(crate) mean: Option<f64>,
    by_class: Vec<Option<f64>>,
}

impl ConnectionLoads {
    pub(crate) fn new(classes: usize) -> ConnectionLoads {
        ConnectionLoads { mean: None, by_class: vec![None; classes] }
    }

    pub(crate) fn of_class(&self, class: ClassId) -> Option<f64> {
        self.by_class.get(class.0).copied().flatten()
    }

    /// Takes the load that a request expects.
    pub(crate) fn record_expected(&mut self, load: f64) {
        update_mean(&mut self.mean, load);
    }

    /// Takes the load of a connection; the overall mean does not change for one that has expected a load.
    fn record_measured(&mut self, class: ClassId, load: f64, has_expected: bool) {
        if let Some(mean) = self.by_class.get_mut(class.0) {
            update_mean(mean, load);
        }
        if !has_expected {
            update_mean(&mut self.mean, load);
        }
    }
}

/// What the load reports and this balancer's connections tell of the fleet as a whole.
#[derive(Debug)]
pub(crate) struct FleetEstimate {
    /// Mean load over capacity, by capacity and by trust in the reports.
    pub(crate) mean_load: f64,
    /// Load of a mean connection on an endpoint of weight 1.
    pub(crate) connection_load: f64,
    pub(crate) ready_endpoints: usize,
    /// Ready endpoints of this balancer's zone, or all where crossing zones is free.
    pub(crate) local_endpoints: usize,
    /// This balancer's connections for each unit of capacity.
    pub(crate) connections_per_capacity: f64,
    /// Mean connections that fit before endpoints are full; infinite where nothing is reported.
    pub(crate) spare_connections: f64,
}

impl FleetEstimate {
    /// The estimate before any report.
    pub(crate) fn new(settings: &Settings) -> FleetEstimate {
        FleetEstimate {
            mean_load: DEFAULT_MEAN_LOAD,
            connection_load: unreported_load::initial_connection_load(settings, DEFAULT_CONNECTION_LOAD),
            ready_endpoints: 0,
            local_endpoints: 0,
            connections_per_capacity: 0.0,
            spare_connections: f64::INFINITY,
        }
    }

    /// Moves the load of a mean connection towards a new value.
    fn update_connection_load(&mut self, load: f64) {
        if load > 0.0 && load.is_finite() {
            let is_rise = load > self.connection_load;
            let fraction = if is_rise { CONNECTION_LOAD_RISE } else { CONNECTION_LOAD_FALL };
            self.connection_load += (load - self.connection_load) * fraction;
        }
    }
}

/// Sums over the ready endpoints.
#[derive(Debug, Default)]
struct FleetTotals {
    endpoints: usize,
    local_endpoints: usize,
    /// This balancer's connections.
    connections: usize,
    capacity: f64,
    /// Reported load and the capacity of the endpoints with a report, by trust in the report.
    trusted_load: f64,
    trusted_capacity: f64,
    /// Reported connections, and the load of the endpoints that report them, by trust in the report.
    inflight: f64,
    inflight_load: f64,
    /// Load that fits before the endpoints with a report are full.
    spare_load: f64,
}

impl FleetTotals {
    fn add_report(&mut self, record: &EndpointRecord, report: ReportedLoad, capacity: f64, now: Micros) {
        let trust = report_trust(report.at, now);
        self.trusted_load += report.load * capacity * trust;
        self.trusted_capacity += capacity * trust;
        if let Some(inflight) = record.reported_inflight {
            self.inflight += inflight * trust;
            self.inflight_load += report.load * capacity * trust;
        }
        self.spare_load += (FULL_LOAD - report.load).max(0.0) * capacity;
    }
}

impl Balancer {
    /// Takes an endpoint's load report; values that are negative or not finite are ignored.
    pub(crate) fn record_report(&mut self, now: Micros, id: &EndpointId, report: &LoadReport) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if let Some(load) = valid(report.load.or(report.utilization)) {
            record.reported_load = Some(ReportedLoad { load, at: now });
        }
        record.reported_inflight = valid(report.inflight);
        let is_shown = |at: Micros| at + REPORT_LAG < now;
        while record.recent_placements.front().is_some_and(|placement| is_shown(placement.at)) {
            record.recent_placements.pop_front();
        }
    }

    /// Takes the load of an established connection, in microseconds of work a second.
    pub(crate) fn record_connection_load(&mut self, id: RequestId, load: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.connection_load = Some(load);
        let has_expected = state.request.expected_load.is_some();
        self.connection_loads.record_measured(state.request.class, load, has_expected);
    }

    /// An endpoint's load over its capacity as it probably is now: the report as far as its age lets it be
    /// trusted, the fleet's mean for the rest, and what has been placed since.
    pub(crate) fn estimate(&self, record: &EndpointRecord, now: Micros) -> f64 {
        let mean = self.expected_load(record, now);
        let report = record.reported_load.unwrap_or(ReportedLoad { load: mean, at: 0 });
        let trust = report_trust(report.at, now);
        let load = trust * report.load + (1.0 - trust) * mean;
        if is_unreported(&self.settings) {
            return load;
        }
        let unshown =
            record.recent_placements.iter().filter(|placement| placement.at + REPORT_LAG > report.at);
        let placed: f64 = unshown.map(|placement| placement.relative_load).sum();
        let warm_up_fraction = self.warm_up_fraction(record, now);
        // In slow start, the budget already holds the other balancers back.
        let peer_ratio = if warm_up_fraction < 1.0 { 0.0 } else { PEER_PLACEMENT_RATIO };
        let peer_placements = ((self.fleet_size() - 1.0) * peer_ratio).min(MAX_PEER_PLACEMENTS);
        let capacity = record.capacity() * warm_up_fraction;
        load + placed * (1.0 + peer_placements) * self.fleet_estimate.connection_load / capacity
    }

    /// An endpoint's load without a report of its own: the fleet's mean, and where nothing is reported also
    /// what this balancer's connections tell.
    fn expected_load(&self, record: &EndpointRecord, now: Micros) -> f64 {
        let mean = self.fleet_estimate.mean_load;
        if !is_unreported(&self.settings) {
            return mean;
        }
        let warm_up_fraction = self.warm_up_fraction(record, now);
        let expected = self.fleet_estimate.connections_per_capacity * record.capacity() * warm_up_fraction;
        unreported_load::estimate_load(mean, record.connections.len(), expected)
    }

    /// A connection's load in loads of a mean connection.
    pub(crate) fn relative_load(&self, state: &RequestState) -> f64 {
        let own = state.connection_load.or_else(|| self.connection_loads.of_class(state.request.class));
        match (own, self.connection_loads.mean) {
            (Some(own), Some(mean)) if mean > 0.0 => (own / mean).clamp(MIN_RELATIVE_LOAD, MAX_RELATIVE_LOAD),
            _ => 1.0,
        }
    }

    /// Updates the fleet's estimate from the endpoints' records.
    pub(crate) fn update_fleet_estimate(&mut self, now: Micros) {
        let totals = self.fleet_totals(now);
        let has_reports = totals.trusted_capacity > 0.0;
        self.fleet_estimate.ready_endpoints = totals.endpoints;
        self.fleet_estimate.local_endpoints = totals.local_endpoints;
        self.fleet_estimate.connections_per_capacity =
            totals.connections as f64 / totals.capacity.max(MIN_CAPACITY);
        if has_reports {
            self.fleet_estimate.mean_load = totals.trusted_load / totals.trusted_capacity;
        }
        if let Some(load) = self.connection_load(&totals, now) {
            self.fleet_estimate.update_connection_load(load);
        }
        self.fleet_estimate.spare_connections = if has_reports {
            let reported = totals.spare_load / self.fleet_estimate.connection_load;
            // Endpoints without a report are taken to have as much spare capacity as those with one.
            reported * (totals.capacity / totals.trusted_capacity.max(MIN_TRUSTED_CAPACITY)).max(1.0)
        } else {
            f64::INFINITY
        };
    }

    fn fleet_totals(&self, now: Micros) -> FleetTotals {
        let mut totals = FleetTotals::default();
        for record in self.endpoints.values().filter(|record| record.is_ready()) {
            totals.endpoints += 1;
            totals.local_endpoints += usize::from(self.is_local(record));
            totals.connections += record.connections.len();
            let capacity = record.capacity() * self.warm_up_fraction(record, now);
            totals.capacity += capacity;
            // Where nothing is reported, an endpoint's load is known only from a failure, and says nothing of
            // the others.
            if let Some(report) = record.reported_load.filter(|_| !is_unreported(&self.settings)) {
                totals.add_report(record, report, capacity, now);
            }
        }
        totals
    }

    /// Load of a mean connection on an endpoint of weight 1: from the reported connections, or else from this
    /// balancer's own, taken as its part of all; `None` if neither tells.
    fn connection_load(&self, totals: &FleetTotals, now: Micros) -> Option<f64> {
        if totals.inflight >= 1.0 {
            return Some(totals.inflight_load / totals.inflight);
        }
        let is_load_known = totals.trusted_capacity > 0.0 || is_unreported(&self.settings);
        let is_settled = now.saturating_sub(self.started_at) >= SETTLE_TIME;
        if totals.connections == 0 || !is_load_known || !is_settled {
            return None;
        }
        let own_load = self.fleet_estimate.mean_load * totals.capacity / self.fleet_size();
        let default = unreported_load::initial_connection_load(&self.settings, DEFAULT_CONNECTION_LOAD);
        Some((own_load + default * SAMPLE_SMOOTHING) / (totals.connections as f64 + SAMPLE_SMOOTHING))
    }
}
