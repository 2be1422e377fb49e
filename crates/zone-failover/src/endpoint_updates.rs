//! Processes endpoint lists, endpoint signals and load reports.

use std::collections::BTreeSet;

use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, EndpointUpdate, Micros, ZoneId};

use crate::action::ZoneAction;
use crate::endpoint::{EndpointRecord, EndpointSignal, LoadSample};
use crate::failover::ZoneFailover;
use crate::zone_health::TransitionContext;

/// Minimum weight of an endpoint.
const MIN_WEIGHT: f64 = 1e-3;
/// Weight that is assumed for an endpoint whose listed weight is not finite.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Sums of the weights of a zone's ready endpoints.
#[derive(Clone, Default)]
struct StartedWeight {
    recently_started: f64,
    total: f64,
}

impl ZoneFailover {
    /// Applies an endpoint list or its changes.
    ///
    /// A cached list is from before this relay's start. It may be outdated, so connections are admitted
    /// cautiously until discovery has responded.
    pub fn endpoints_updated(&mut self, now: Micros, update: &EndpointUpdate, actions: &mut Vec<ZoneAction>) {
        let (endpoints, is_full) = match update {
            EndpointUpdate::Failed => return,
            EndpointUpdate::Full(endpoints) | EndpointUpdate::Cached(endpoints) => (endpoints, true),
            EndpointUpdate::Delta(endpoints) => (endpoints, false),
        };
        if is_full {
            let listed: BTreeSet<&EndpointId> = endpoints.iter().map(|endpoint| &endpoint.id).collect();
            self.endpoints.retain(|id, _| listed.contains(id));
        }
        for endpoint in endpoints.iter() {
            if let Some(zone) = endpoint.zone.filter(|zone| zone.0 < self.zones.len()) {
                self.update_endpoint(zone, endpoint);
            }
        }
        if !matches!(update, EndpointUpdate::Cached(_)) {
            self.list_is_cached = false;
        }
        self.aggregate_capacity(now, actions);
        self.detect_restarted_zones(now, actions);
    }

    /// Records a listed endpoint. Earlier observations of it are kept unless it has restarted.
    fn update_endpoint(&mut self, zone: ZoneId, endpoint: &Endpoint) {
        let known = self.endpoints.remove(&endpoint.id);
        if endpoint.state == EndpointState::Removed {
            return;
        }
        let known = known.filter(|known| known.started_at == endpoint.started_at);
        let weight =
            if endpoint.weight.is_finite() { endpoint.weight.max(MIN_WEIGHT) } else { DEFAULT_WEIGHT };
        let record = EndpointRecord {
            zone,
            weight,
            started_at: endpoint.started_at,
            ready: endpoint.state == EndpointState::Ready,
            consecutive_failures: known.as_ref().map_or(0, |known| known.consecutive_failures),
            last_responded_at: known.as_ref().map_or(0, |known| known.last_responded_at),
            load: known.as_ref().and_then(|known| known.load),
            health_check_requested_at: known.as_ref().map_or(0, |known| known.health_check_requested_at),
        };
        self.endpoints.insert(endpoint.id.clone(), record);
    }

    /// Begins the recovery of zones in which most endpoints have just started although no update showed a
    /// loss.
    fn detect_restarted_zones(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        let mut weights = vec![StartedWeight::default(); self.zones.len()];
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.ready) {
            let weight = &mut weights[endpoint.zone.0];
            weight.total += endpoint.weight;
            let age = now.saturating_sub(endpoint.started_at);
            if endpoint.started_at > 0 && age < self.ramp_duration / 2 {
                weight.recently_started += endpoint.weight;
            }
        }
        let mut any_restarted = false;
        for (index, weight) in weights.into_iter().enumerate() {
            if weight.recently_started <= weight.total / 2.0 {
                continue;
            }
            let mut context = TransitionContext {
                now,
                config: &self.config,
                ramp_duration: self.ramp_duration,
                rng: &mut self.rng,
            };
            if let Some(change) = self.zones[index].health.endpoints_restarted(&mut context) {
                any_restarted = true;
                self.zone_state_changed(now, ZoneId(index), change, actions);
            }
        }
        if any_restarted {
            self.update_spill_demand(now);
        }
    }

    /// Records what an attempt or a health check shows about its endpoint.
    pub fn endpoint_signal_received(
        &mut self, now: Micros, id: &EndpointId, signal: EndpointSignal, actions: &mut Vec<ZoneAction>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let was_unresponsive = endpoint.is_unresponsive();
        endpoint.record_signal(now, signal);
        let zone_responds = signal == EndpointSignal::Responsive && self.zones[endpoint.zone.0].unresponsive;
        if was_unresponsive != endpoint.is_unresponsive() || zone_responds {
            self.aggregate_capacity(now, actions);
        }
    }

    /// Records the load of an endpoint, as a share of its capacity.
    pub fn load_reported(&mut self, now: Micros, id: &EndpointId, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.load = Some(LoadSample { load, reported_at: now });
        }
    }
}
