//! Estimates of the load of one endpoint and of all together.

use crate::admission::FULL;
use crate::balancer::Balancer;
use crate::endpoint_record::Server;
use crate::estimates::trust;
use crate::request_state::Flow;
use crate::unreported_load::is_blind;
use crate::{EndpointId, LoadReport, Micros, unreported_load};

/// What a report shows is about this old already when it arrives; own placements since then are added to it.
pub(crate) const REPORT_LAG: Micros = 1_000_000;
/// Reports lag behind the first connections for this long after a start.
pub(crate) const SETTLE: Micros = 5_000_000;
/// Own connections by which what they tell of the whole fleet's is doubted while there are few.
pub(crate) const FEW: f64 = 2.0;
/// How far own placements stand for those that the other balancers made unseen.
pub(crate) const PEER_SHARE: f64 = 0.3;
/// ... up to this: of many balancers, one placement of the own tells next to nothing.
pub(crate) const PEERS_MOST: f64 = 2.0;
/// Load of one connection on a server of weight 1 until reports tell.
pub(crate) const UNIT_GUESS: f64 = 0.06;

/// What the table says of the fleet as a whole.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) mean_load: f64,
    /// Load of a usual connection on a server of weight 1.
    pub(crate) unit: f64,
    pub(crate) ready: usize,
    /// Those of the own zone among them, or all where zones cost nothing.
    pub(crate) near: usize,
    /// Own connections for each size of server.
    pub(crate) own: f64,
    /// Usual connections that fit before servers are full; none is known where no report is.
    pub(crate) room: f64,
}

impl Balancer {
    pub(crate) fn take_report(&mut self, now: Micros, id: &EndpointId, report: &LoadReport) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let load = report.load.or(report.utilization).filter(|l| l.is_finite() && *l >= 0.0);
        if let Some(load) = load {
            server.load = Some((load, now));
        }
        server.inflight = report.inflight.filter(|n| n.is_finite() && *n >= 0.0);
        while server.recent.front().is_some_and(|(sent, _)| sent + REPORT_LAG < now) {
            server.recent.pop_front();
        }
    }

    /// Load over capacity as it probably is now: the report as far as its age lets it be trusted, the fleet's
    /// mean for the rest, and what has been placed since.
    pub(crate) fn estimate(&self, server: &Server, now: Micros) -> f64 {
        let warmth = self.warmth(server, now);
        let (mut usual, blind) = (self.fleet.mean_load, is_blind(&self.settings));
        if blind {
            usual =
                unreported_load::guess(usual, server.standing.len(), self.fleet.own * server.size() * warmth);
        }
        let (reported, at) = server.load.unwrap_or((usual, 0));
        let trust = trust(at, now);
        let base = trust * reported + (1.0 - trust) * usual;
        if blind {
            return base;
        }
        let placed: f64 =
            server.recent.iter().filter(|(sent, _)| sent + REPORT_LAG > at).map(|(_, units)| units).sum();
        // The slots of a cold server hold the other balancers back already.
        let unseen = if warmth < 1.0 { 0.0 } else { PEER_SHARE };
        let peers = ((self.balancers() - 1.0) * unseen).min(PEERS_MOST);
        let capacity = server.size() * warmth;
        base + placed * (1.0 + peers) * self.fleet.unit / capacity
    }

    /// A connection's load in usual connections.
    pub(crate) fn units(&self, flow: &Flow) -> f64 {
        let own = flow.load.or_else(|| self.class_work.get(flow.request.class.0).copied().flatten());
        match (own, self.mean_work) {
            (Some(own), Some(mean)) if mean > 0.0 => (own / mean).clamp(0.1, 10.0),
            _ => 1.0,
        }
    }

    /// Sums up what the reports say of the fleet.
    pub(crate) fn survey(&mut self, now: Micros) {
        let (mut loads, mut sizes, mut inflight, mut inflight_load) = (0.0, 0.0, 0.0, 0.0);
        let (mut ready, mut near, mut own, mut all_sizes, mut room) = (0, 0, 0usize, 0.0, 0.0);
        let blind = is_blind(&self.settings);
        for server in self.servers.values().filter(|s| s.ready()) {
            ready += 1;
            near += usize::from(self.near(server));
            own += server.standing.len();
            let size = server.size() * self.warmth(server, now);
            all_sizes += size;
            // Guards against taking one server that is full for all, where nothing else is ever told.
            let Some((load, at)) = server.load.filter(|_| !blind) else { continue };
            let trust = trust(at, now);
            loads += load * size * trust;
            sizes += size * trust;
            if let Some(n) = server.inflight {
                inflight += n * trust;
                inflight_load += load * size * trust;
            }
            room += (FULL - load).max(0.0) * size;
        }
        (self.fleet.ready, self.fleet.near) = (ready, near);
        self.fleet.own = own as f64 / f64::max(all_sizes, 1e-3);
        if sizes > 0.0 {
            self.fleet.mean_load = loads / sizes;
        }
        let unit = if inflight >= 1.0 {
            inflight_load / inflight
        } else if own > 0 && (sizes > 0.0 || blind) && now.saturating_sub(self.born) >= SETTLE {
            let own_load = self.fleet.mean_load * all_sizes / self.balancers();
            (own_load + unreported_load::unit(&self.settings, UNIT_GUESS) * FEW) / (own as f64 + FEW)
        } else {
            self.fleet.unit
        };
        if unit > 0.0 && unit.is_finite() {
            // Connections leave all at once, and reports show them still: it rises slowly. Guards against
            // refusing them as too heavy when they come again.
            let pace = if unit > self.fleet.unit { 0.02 } else { 0.2 };
            self.fleet.unit += (unit - self.fleet.unit) * pace;
        }
        // Servers without a report have room like those with one. Guards against taking a fleet that has not
        // reported yet for a full one.
        let known = room / self.fleet.unit * (all_sizes / sizes.max(1e-9)).max(1.0);
        self.fleet.room = if sizes > 0.0 { known } else { f64::INFINITY };
    }
}
