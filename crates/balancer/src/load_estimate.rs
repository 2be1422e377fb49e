//! Estimates of load: of one endpoint, and of a connection.

use crate::balancer::Balancer;
use crate::endpoint_record::{EndpointRecord, ReportedLoad};
use crate::request_state::RequestState;
use crate::unreported_load::{self, is_unreported};
use crate::{ClassId, EndpointId, LoadReport, Micros, RequestId};

/// Age that a load report has when it arrives; this balancer's placements since then are added to it.
pub(crate) const REPORT_LAG: Micros = 1_000_000;
/// Trust in a load report decays by 1/e over this time, in microseconds.
const TRUST_DECAY_TIME: f64 = 6e6;
/// Unseen placements of each other balancer for one of this balancer's.
const PEER_PLACEMENT_RATIO: f64 = 0.3;
/// Unseen placements of all other balancers for one of this balancer's, at most: of many balancers, one
/// placement tells little.
const MAX_PEER_PLACEMENTS: f64 = 2.0;
/// Fraction of the way that a running mean moves to a new value.
const MEAN_UPDATE_FRACTION: f64 = 0.05;
/// Least load of a connection, in loads of a mean connection.
const MIN_RELATIVE_LOAD: f64 = 0.1;
/// Highest load of a connection, in loads of a mean connection.
const MAX_RELATIVE_LOAD: f64 = 10.0;

/// How far a report of that time is still trusted, from 0 to 1.
pub(crate) fn report_trust(at: Micros, now: Micros) -> f64 {
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
    pub(crate) fn estimated_load(&self, record: &EndpointRecord, now: Micros) -> f64 {
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
}
