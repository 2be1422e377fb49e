//! The estimate of the fleet as a whole: its load, the load of a mean connection, its spare capacity.

use crate::admission::FULL_LOAD;
use crate::balancer::Balancer;
use crate::endpoint_record::{EndpointRecord, ReportedLoad};
use crate::load_estimate::report_trust;
use crate::unreported_load::{self, is_unreported};
use crate::{Micros, Settings};

/// Time after a balancer's start before its connections are compared with the reported load.
const SETTLE_TIME: Micros = 5_000_000;
/// Added to a number of this balancer's connections when all balancers' are estimated from it, so that few
/// connections count for little.
pub(crate) const SAMPLE_SMOOTHING: f64 = 2.0;
/// Load of one connection on an endpoint of weight 1 until reports tell.
const DEFAULT_CONNECTION_LOAD: f64 = 0.06;
/// Mean load of the fleet until reports tell.
const DEFAULT_MEAN_LOAD: f64 = 0.5;
/// Fraction of the way that the estimated load of a connection goes up in one update. Connections that leave
/// all at once are still in the reports: by a quick rise they would look heavy when they return.
const CONNECTION_LOAD_RISE: f64 = 0.02;
/// Fraction of the way that the estimated load of a connection goes down in one update.
const CONNECTION_LOAD_FALL: f64 = 0.2;
/// Least capacity of the ready endpoints that is divided by.
const MIN_CAPACITY: f64 = 1e-3;
/// Least capacity of the endpoints with a report, by trust in it, that is divided by.
const MIN_TRUSTED_CAPACITY: f64 = 1e-9;

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
