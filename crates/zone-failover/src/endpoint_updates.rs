//! Endpoint lists, signs of life and load reports come in.

use std::collections::BTreeSet;

use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, EndpointUpdate, Micros, ZoneId};

use crate::action::ZoneAction;
use crate::endpoint::{EndpointRecord, EndpointSignal, LoadSample};
use crate::failover::ZoneFailover;
use crate::zone_health::TransitionContext;

/// Least weight of an endpoint.
const MIN_WEIGHT: f64 = 1e-3;
/// Weight of an endpoint whose weight is not finite.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Weights of a zone's ready endpoints.
#[derive(Clone, Default)]
struct StartedWeight {
    recently_started: f64,
    total: f64,
}

impl ZoneFailover {
    /// Takes an endpoint list or its changes. A cached list is from before this relay's start and is not relied on.
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
        self.survey_capacity(now, actions);
        self.detect_restarted_zones(now, actions);
    }

    /// Records an endpoint; what was observed of it stays unless it has restarted.
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
            last_alive_at: known.as_ref().map_or(0, |known| known.last_alive_at),
            load: known.as_ref().and_then(|known| known.load),
            health_check_requested_at: known.as_ref().map_or(0, |known| known.health_check_requested_at),
        };
        self.endpoints.insert(endpoint.id.clone(), record);
    }

    /// Begins the recovery of zones in which most endpoints have just started, though no update showed their loss.
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
                self.zone_changed(now, ZoneId(index), change, actions);
            }
        }
        if any_restarted {
            self.update_claims(now);
        }
    }

    /// Records what an attempt or a health check shows about its endpoint.
    pub fn endpoint_signal_received(
        &mut self, now: Micros, id: &EndpointId, signal: EndpointSignal, actions: &mut Vec<ZoneAction>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let was_silent = endpoint.is_silent();
        endpoint.record_signal(now, signal);
        let zone_answers = signal == EndpointSignal::Responsive && self.zones[endpoint.zone.0].silent;
        if was_silent != endpoint.is_silent() || zone_answers {
            self.survey_capacity(now, actions);
        }
    }

    /// Records an endpoint's load over capacity.
    pub fn load_reported(&mut self, now: Micros, id: &EndpointId, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.load = Some(LoadSample { load, reported_at: now });
        }
    }
}
