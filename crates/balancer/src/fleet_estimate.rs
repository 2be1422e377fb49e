//! Estimates for the whole fleet: its mean load, the load of a mean connection, its spare capacity.

use crate::admission::FULL_LOAD;
use crate::balancer::Balancer;
use crate::endpoint_record::{EndpointRecord, ReportedLoad};
use crate::load_estimate::report_trust;
use crate::unreported_load::{self, is_unreported};
use crate::{Micros, Settings};

/// Time after a balancer's start before it estimates the load of a connection from the number of its own
/// connections, in microseconds.
const SETTLE_TIME: Micros = 5_000_000;
/// Added to the number of this balancer's connections when the fleet's connections are estimated from it, so
/// that a few connections have little effect.
pub(crate) const SAMPLE_SMOOTHING: f64 = 2.0;
/// Load of one connection on an endpoint of weight 1 before any report.
const DEFAULT_CONNECTION_LOAD: f64 = 0.06;
/// Mean load of the fleet before any report.
const DEFAULT_MEAN_LOAD: f64 = 0.5;
/// Fraction of the difference by which the estimated load of a connection rises in one update. When many
/// connections leave at once, reports still include their load. With a fast rise, connections would seem to
/// have a high load when they return.
const CONNECTION_LOAD_RISE: f64 = 0.02;
/// Fraction of the difference by which the estimated load of a connection falls in one update.
const CONNECTION_LOAD_FALL: f64 = 0.2;
/// Lower limit of the ready endpoints' capacity where it is a divisor.
const MIN_CAPACITY: f64 = 1e-3;
/// Lower limit of the trust-weighted capacity of the endpoints with a report where it is a divisor.
const MIN_TRUSTED_CAPACITY: f64 = 1e-9;

/// Estimates for the whole fleet, from load reports and this balancer's connections.
#[derive(Debug)]
pub(crate) struct FleetEstimate {
    /// Mean load as a fraction of capacity, weighted by capacity and by trust in the reports.
    pub(crate) mean_load: f64,
    /// Load of a mean connection on an endpoint of weight 1.
    pub(crate) connection_load: f64,
    /// Number of ready endpoints.
    pub(crate) ready_endpoints: usize,
    /// Number of ready endpoints in this balancer's zone, or in all zones if crossing zones is free.
    pub(crate) local_endpoints: usize,
    /// Number of this balancer's connections per unit of capacity.
    pub(crate) connections_per_capacity: f64,
    /// Number of mean connections that fit before endpoints are full; infinite without load reports.
    pub(crate) spare_connections: f64,
}

impl FleetEstimate {
    /// Returns the estimate before any report.
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

    /// Moves the estimated load of a mean connection towards `load`.
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
    /// Number of this balancer's connections.
    connections: usize,
    capacity: f64,
    /// Reported load and capacity of the endpoints with a report, weighted by trust in the report.
    trusted_load: f64,
    trusted_capacity: f64,
    /// Reported connections, and load of the endpoints that report them, weighted by trust in the report.
    inflight: f64,
    inflight_load: f64,
    /// Load that can be added before the endpoints with a report are full.
    spare_load: f64,
}

impl FleetTotals {
    fn add_report(&mut self, record: &EndpointRecord, report: ReportedLoad, capacity: f64, now: Micros) {
        let trust = report_trust(report.received_at, now);
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
    /// Updates the fleet estimate from the endpoints' records.
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
            // Endpoints without a report are assumed to have as much spare capacity as those with one.
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
            // Without load reports, `reported_load` comes from a failure of this endpoint and says nothing
            // about the others.
            if let Some(report) = record.reported_load.filter(|_| !is_unreported(&self.settings)) {
                totals.add_report(record, report, capacity, now);
            }
        }
        totals
    }

    /// Estimates the load of a mean connection on an endpoint of weight 1.
    ///
    /// The load is divided by the number of connections that endpoints report. If they report none, this
    /// balancer's share of the load is divided by the number of its own connections. Returns `None` if
    /// neither is possible.
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
