//! Estimates of the load of one endpoint and of all together.

use crate::admission::FULL_LOAD;
use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::estimates::report_trust;
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{EndpointId, LoadReport, Micros, unreported_load};

/// What a report shows is about this old already when it arrives; own placements since then are added to it.
pub(crate) const REPORT_LAG: Micros = 1_000_000;
/// Reports lag behind the first connections for this long after a start.
pub(crate) const SETTLE_TIME: Micros = 5_000_000;
/// Own connections by which what they tell of the whole fleet's is doubted while there are few.
pub(crate) const SAMPLE_SMOOTHING: f64 = 2.0;
/// How far own placements stand for those that the other balancers made unseen.
pub(crate) const PEER_PLACEMENT_RATIO: f64 = 0.3;
/// ... up to this: of many balancers, one placement of the own tells next to nothing.
pub(crate) const MAX_PEER_PLACEMENTS: f64 = 2.0;
/// Load of one connection on an endpoint of weight 1 until reports tell.
pub(crate) const DEFAULT_CONNECTION_LOAD: f64 = 0.06;

/// What the table says of the fleet as a whole.
#[derive(Default)]
pub(crate) struct FleetEstimate {
    pub(crate) mean_load: f64,
    /// Load of a usual connection on an endpoint of weight 1.
    pub(crate) connection_load: f64,
    pub(crate) ready_endpoints: usize,
    /// Those of the own zone among them, or all where zones cost nothing.
    pub(crate) local_endpoints: usize,
    /// Own connections for each size of endpoint.
    pub(crate) connections_per_capacity: f64,
    /// Usual connections that fit before endpoints are full; none is known where no report is.
    pub(crate) spare_connections: f64,
}

impl Balancer {
    pub(crate) fn record_report(&mut self, now: Micros, id: &EndpointId, report: &LoadReport) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        let load = report.load.or(report.utilization).filter(|l| l.is_finite() && *l >= 0.0);
        if let Some(load) = load {
            record.reported_load = Some((load, now));
        }
        record.reported_inflight = report.inflight.filter(|n| n.is_finite() && *n >= 0.0);
        while record.recent_placements.front().is_some_and(|(sent, _)| sent + REPORT_LAG < now) {
            record.recent_placements.pop_front();
        }
    }

    /// Load over capacity as it probably is now: the report as far as its age lets it be trusted, the fleet's
    /// mean for the rest, and what has been placed since.
    pub(crate) fn estimate(&self, record: &EndpointRecord, now: Micros) -> f64 {
        let warmth = self.warmth(record, now);
        let (mut usual, blind) = (self.fleet_estimate.mean_load, is_unreported(&self.settings));
        if blind {
            usual = unreported_load::estimate_load(
                usual,
                record.connections.len(),
                self.fleet_estimate.connections_per_capacity * record.capacity() * warmth,
            );
        }
        let (reported, at) = record.reported_load.unwrap_or((usual, 0));
        let trust = report_trust(at, now);
        let base = trust * reported + (1.0 - trust) * usual;
        if blind {
            return base;
        }
        let placed: f64 = record
            .recent_placements
            .iter()
            .filter(|(sent, _)| sent + REPORT_LAG > at)
            .map(|(_, units)| units)
            .sum();
        // The slots of a cold endpoint hold the other balancers back already.
        let unseen = if warmth < 1.0 { 0.0 } else { PEER_PLACEMENT_RATIO };
        let peers = ((self.fleet_size() - 1.0) * unseen).min(MAX_PEER_PLACEMENTS);
        let capacity = record.capacity() * warmth;
        base + placed * (1.0 + peers) * self.fleet_estimate.connection_load / capacity
    }

    /// A connection's load in usual connections.
    pub(crate) fn relative_load(&self, state: &RequestState) -> f64 {
        let own = state
            .connection_load
            .or_else(|| self.class_connection_load.get(state.request.class.0).copied().flatten());
        match (own, self.mean_connection_load) {
            (Some(own), Some(mean)) if mean > 0.0 => (own / mean).clamp(0.1, 10.0),
            _ => 1.0,
        }
    }

    /// Sums up what the reports say of the fleet.
    pub(crate) fn update_fleet_estimate(&mut self, now: Micros) {
        let (mut loads, mut sizes, mut inflight, mut inflight_load) = (0.0, 0.0, 0.0, 0.0);
        let (mut ready, mut near, mut own, mut all_sizes, mut room) = (0, 0, 0usize, 0.0, 0.0);
        let blind = is_unreported(&self.settings);
        for record in self.endpoints.values().filter(|s| s.is_ready()) {
            ready += 1;
            near += usize::from(self.is_local(record));
            own += record.connections.len();
            let size = record.capacity() * self.warmth(record, now);
            all_sizes += size;
            // Guards against taking one endpoint that is full for all, where nothing else is ever told.
            let Some((load, at)) = record.reported_load.filter(|_| !blind) else { continue };
            let trust = report_trust(at, now);
            loads += load * size * trust;
            sizes += size * trust;
            if let Some(n) = record.reported_inflight {
                inflight += n * trust;
                inflight_load += load * size * trust;
            }
            room += (FULL_LOAD - load).max(0.0) * size;
        }
        (self.fleet_estimate.ready_endpoints, self.fleet_estimate.local_endpoints) = (ready, near);
        self.fleet_estimate.connections_per_capacity = own as f64 / f64::max(all_sizes, 1e-3);
        if sizes > 0.0 {
            self.fleet_estimate.mean_load = loads / sizes;
        }
        let unit = if inflight >= 1.0 {
            inflight_load / inflight
        } else if own > 0 && (sizes > 0.0 || blind) && now.saturating_sub(self.started_at) >= SETTLE_TIME {
            let own_load = self.fleet_estimate.mean_load * all_sizes / self.fleet_size();
            (own_load
                + unreported_load::initial_connection_load(&self.settings, DEFAULT_CONNECTION_LOAD)
                    * SAMPLE_SMOOTHING)
                / (own as f64 + SAMPLE_SMOOTHING)
        } else {
            self.fleet_estimate.connection_load
        };
        if unit > 0.0 && unit.is_finite() {
            // Connections leave all at once, and reports show them still: it rises slowly. Guards against
            // refusing them as too heavy when they come again.
            let pace = if unit > self.fleet_estimate.connection_load { 0.02 } else { 0.2 };
            self.fleet_estimate.connection_load += (unit - self.fleet_estimate.connection_load) * pace;
        }
        // Endpoints without a report have room like those with one. Guards against taking a fleet that has
        // not reported yet for a full one.
        let known = room / self.fleet_estimate.connection_load * (all_sizes / sizes.max(1e-9)).max(1.0);
        self.fleet_estimate.spare_connections = if sizes > 0.0 { known } else { f64::INFINITY };
    }
}
