//! Estimates of the load of one endpoint and of a connection.

use crate::balancer::Balancer;
use crate::endpoint_record::{EndpointRecord, ReportedLoad};
use crate::request_state::RequestState;
use crate::unreported_load::{self, is_unreported};
use crate::{ClassId, EndpointId, LoadReport, Micros, RequestId};

/// Assumed age of a load report on arrival. This balancer's placements since then are added to it.
pub(crate) const REPORT_LAG: Micros = 1_000_000;
/// Time in microseconds over which trust in a load report falls to 1/e.
const TRUST_DECAY_MICROS: f64 = 6e6;
/// Assumed placements of each other balancer for one of this balancer's that reports do not include yet.
const PEER_PLACEMENT_RATIO: f64 = 0.3;
/// Upper limit of the assumed placements of all other balancers for one of this balancer's. In a large fleet,
/// one placement says little about the others.
const MAX_PEER_PLACEMENTS: f64 = 2.0;
/// Fraction of the difference by which a running mean moves towards a new value.
const MEAN_UPDATE_FRACTION: f64 = 0.05;
/// Lower limit of a connection's load, as a multiple of a mean connection's load.
const MIN_RELATIVE_LOAD: f64 = 0.1;
/// Upper limit of a connection's load, as a multiple of a mean connection's load.
const MAX_RELATIVE_LOAD: f64 = 10.0;

/// Returns how far a report received at `received_at` is still trusted, from 0 to 1.
pub(crate) fn report_trust(received_at: Micros, now: Micros) -> f64 {
    (-(now.saturating_sub(received_at) as f64) / TRUST_DECAY_MICROS).exp()
}

/// Moves a running mean towards a new value. Values that are negative or not finite are ignored.
fn update_mean(mean: &mut Option<f64>, value: f64) {
    if value.is_finite() && value >= 0.0 {
        *mean = Some(mean.map_or(value, |mean| mean + (value - mean) * MEAN_UPDATE_FRACTION));
    }
}

/// Returns a reported value if it is a finite number of 0 or more.
fn valid_load(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value >= 0.0)
}

/// Running means of the connections' loads in microseconds of work per second; `None` until one is known.
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

    /// Records the load that a request is expected to have.
    pub(crate) fn record_expected(&mut self, load: f64) {
        update_mean(&mut self.mean, load);
    }

    /// Records the measured load of a connection. The overall mean does not change if it already includes the
    /// connection's expected load.
    fn record_measured(&mut self, class: ClassId, load: f64, has_expected_load: bool) {
        if let Some(mean) = self.by_class.get_mut(class.0) {
            update_mean(mean, load);
        }
        if !has_expected_load {
            update_mean(&mut self.mean, load);
        }
    }
}

impl Balancer {
    /// Records an endpoint's load report. Values that are negative or not finite are ignored.
    pub(crate) fn record_report(&mut self, now: Micros, id: &EndpointId, report: &LoadReport) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if let Some(load) = valid_load(report.load.or(report.utilization)) {
            record.reported_load = Some(ReportedLoad { load, received_at: now });
        }
        record.reported_inflight = valid_load(report.inflight);
        let is_in_report = |placed_at: Micros| placed_at + REPORT_LAG < now;
        while record.recent_placements.front().is_some_and(|placement| is_in_report(placement.placed_at)) {
            record.recent_placements.pop_front();
        }
    }

    /// Records the load of an established connection, in microseconds of work per second.
    pub(crate) fn record_connection_load(&mut self, id: RequestId, load: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.connection_load = Some(load);
        let has_expected_load = state.request.expected_load.is_some();
        self.connection_loads.record_measured(state.request.class, load, has_expected_load);
    }

    /// Estimates an endpoint's current load as a fraction of its capacity.
    ///
    /// The estimate is the mean of the last report and the expected load, weighted by the trust in the
    /// report, plus the connections placed since the report.
    pub(crate) fn estimated_load(&self, record: &EndpointRecord, now: Micros) -> f64 {
        let mean = self.expected_load(record, now);
        let report = record.reported_load.unwrap_or(ReportedLoad { load: mean, received_at: 0 });
        let trust = report_trust(report.received_at, now);
        let load = trust * report.load + (1.0 - trust) * mean;
        if is_unreported(&self.settings) {
            return load;
        }
        let not_in_report = record
            .recent_placements
            .iter()
            .filter(|placement| placement.placed_at + REPORT_LAG > report.received_at);
        let placed: f64 = not_in_report.map(|placement| placement.relative_load).sum();
        let warm_up_fraction = self.warm_up_fraction(record, now);
        // In slow start, the other balancers are already limited by their budgets.
        let peer_ratio = if warm_up_fraction < 1.0 { 0.0 } else { PEER_PLACEMENT_RATIO };
        let peer_placements = ((self.fleet_size() - 1.0) * peer_ratio).min(MAX_PEER_PLACEMENTS);
        let capacity = record.capacity() * warm_up_fraction;
        load + placed * (1.0 + peer_placements) * self.fleet_estimate.connection_load / capacity
    }

    /// Returns the load of an endpoint to expect without a report: the fleet's mean, and if endpoints report
    /// no load at all, an estimate from this balancer's connections.
    fn expected_load(&self, record: &EndpointRecord, now: Micros) -> f64 {
        let mean = self.fleet_estimate.mean_load;
        if !is_unreported(&self.settings) {
            return mean;
        }
        let warm_up_fraction = self.warm_up_fraction(record, now);
        let expected = self.fleet_estimate.connections_per_capacity * record.capacity() * warm_up_fraction;
        unreported_load::estimate_load(mean, record.connections.len(), expected)
    }

    /// Returns a connection's load as a multiple of a mean connection's load.
    pub(crate) fn relative_load(&self, state: &RequestState) -> f64 {
        let own = state.connection_load.or_else(|| self.connection_loads.of_class(state.request.class));
        match (own, self.connection_loads.mean) {
            (Some(own), Some(mean)) if mean > 0.0 => (own / mean).clamp(MIN_RELATIVE_LOAD, MAX_RELATIVE_LOAD),
            _ => 1.0,
        }
    }
}
