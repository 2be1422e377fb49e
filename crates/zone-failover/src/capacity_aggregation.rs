//! Aggregates the endpoints of each zone and updates the zones' states.

use honeyknot_balancer::{Micros, ZoneId};

use crate::action::{ZoneAction, ZoneEvent};
use crate::endpoint::EndpointRecord;
use crate::failover::ZoneFailover;
use crate::zone::ZoneCapacity;
use crate::zone_health::{StateChange, TransitionContext};

/// Time within which another endpoint of a zone with unresponsive endpoints must respond, in microseconds.
/// Otherwise the whole zone is considered unresponsive.
const SUSPICION_TIMEOUT: Micros = 700_000;
/// Load, as a share of capacity, that is assumed for a zone without load reports.
const DEFAULT_LOAD: f64 = 0.5;
/// Hysteresis of the receive threshold: a zone accepts spill again when its load has fallen this far below
/// the threshold at which it stopped.
const RECEIVE_HYSTERESIS: f64 = 0.08;
/// Share of all capacity above which unresponsiveness is assumed to be a fault local to this relay.
const LOCAL_FAULT_THRESHOLD: f64 = 0.67;
/// Minimum share of its capacity that an endpoint is assumed to start with.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// Sums over those endpoints of a zone that are listed as ready.
#[derive(Clone, Default)]
struct ZoneAggregate {
    capacity: ZoneCapacity,
    /// Sum of the reported loads, weighted by warm capacity.
    weighted_load: f64,
    /// Warm capacity of the endpoints with a recent load report.
    reported_capacity: f64,
    endpoints: u32,
    unresponsive_endpoints: u32,
    /// When any responsive endpoint last responded; 0 if none has.
    last_responded_at: Micros,
}

impl ZoneAggregate {
    fn add(&mut self, endpoint: &EndpointRecord, warm_share: f64, now: Micros) {
        self.capacity.listed += endpoint.weight;
        self.endpoints += 1;
        if endpoint.is_unresponsive() {
            self.unresponsive_endpoints += 1;
            return;
        }
        self.last_responded_at = self.last_responded_at.max(endpoint.last_responded_at);
        self.capacity.usable += endpoint.weight;
        self.capacity.warm += endpoint.weight * warm_share;
        self.capacity.has_responded |= endpoint.last_responded_at > 0;
        if let Some(load) = endpoint.recent_load(now) {
            self.weighted_load += load * endpoint.weight * warm_share;
            self.reported_capacity += endpoint.weight * warm_share;
        }
    }

    fn mean_load(&self) -> f64 {
        if self.reported_capacity > 0.0 { self.weighted_load / self.reported_capacity } else { DEFAULT_LOAD }
    }
}

impl ZoneFailover {
    /// Aggregates the endpoints of each zone and updates the zones' states and spill demand.
    pub(crate) fn aggregate_capacity(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        let mut aggregates = vec![ZoneAggregate::default(); self.zones.len()];
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.ready) {
            aggregates[endpoint.zone.0].add(endpoint, self.warm_share(endpoint, now), now);
        }
        self.detect_local_fault(now, &aggregates, actions);
        for (index, mut aggregate) in aggregates.into_iter().enumerate() {
            self.detect_unresponsive_zone(now, index, &mut aggregate);
            aggregate.capacity.load = aggregate.mean_load();
            self.update_zone(now, index, aggregate.capacity, actions);
        }
        self.update_spill_demand(now);
    }

    /// Suspects a fault local to this relay if nearly all capacity is unresponsive, and then marks all zones
    /// as up.
    fn detect_local_fault(
        &mut self, now: Micros, aggregates: &[ZoneAggregate], actions: &mut Vec<ZoneAction>,
    ) {
        let listed: f64 = aggregates.iter().map(|aggregate| aggregate.capacity.listed).sum();
        let unresponsive: f64 =
            aggregates.iter().map(|aggregate| aggregate.capacity.listed - aggregate.capacity.usable).sum();
        let suspected = listed > 0.0 && self.zones.len() > 1 && unresponsive > listed * LOCAL_FAULT_THRESHOLD;
        if suspected == self.local_fault_suspected {
            return;
        }
        self.local_fault_suspected = suspected;
        if !suspected {
            actions.push(ZoneAction::Log(ZoneEvent::LocalFaultCleared));
            return;
        }
        actions.push(ZoneAction::Log(ZoneEvent::LocalFaultSuspected));
        for zone in self.zones.iter_mut().filter(|zone| zone.capacity.listed > 0.0) {
            zone.health.mark_up(now);
        }
    }

    /// Marks a zone as unresponsive if several of its endpoints are unresponsive and none of the others has
    /// responded in time.
    ///
    /// It does not wait until each endpoint is known to be unresponsive, because that would cost a client
    /// timeout for each. While a local fault is suspected, no zone is marked.
    fn detect_unresponsive_zone(&mut self, now: Micros, index: usize, aggregate: &mut ZoneAggregate) {
        let zone = &mut self.zones[index];
        let capacity = &mut aggregate.capacity;
        if self.local_fault_suspected {
            capacity.usable = capacity.listed;
            capacity.warm = capacity.listed;
            zone.suspected_since = None;
            zone.unresponsive = false;
            return;
        }
        let min_unresponsive = self.config.min_unresponsive_endpoints.min(aggregate.endpoints);
        let is_suspected =
            aggregate.unresponsive_endpoints > 0 && aggregate.unresponsive_endpoints >= min_unresponsive;
        zone.suspected_since = zone.suspected_since.or(Some(now)).filter(|_| is_suspected);
        zone.unresponsive = zone
            .suspected_since
            .is_some_and(|since| aggregate.last_responded_at < since && now >= since + SUSPICION_TIMEOUT);
        if zone.unresponsive {
            capacity.usable = 0.0;
            capacity.warm = 0.0;
        }
    }

    /// Updates a zone's capacity, whether it accepts spill, and its state.
    fn update_zone(
        &mut self, now: Micros, index: usize, capacity: ZoneCapacity, actions: &mut Vec<ZoneAction>,
    ) {
        let zone = &mut self.zones[index];
        let hysteresis = if zone.spill_suspended { RECEIVE_HYSTERESIS } else { 0.0 };
        zone.spill_suspended = capacity.load >= self.config.receive_threshold - hysteresis;
        let (usable, listed) = (capacity.usable, capacity.listed);
        zone.capacity = capacity;
        let mut context = TransitionContext {
            now,
            config: &self.config,
            ramp_duration: self.ramp_duration,
            rng: &mut self.rng,
        };
        if let Some(change) = zone.health.update_capacity(usable, listed, &mut context) {
            self.zone_state_changed(now, ZoneId(index), change, actions);
        }
    }

    /// Logs a change of a zone's state. If the home zone is lost or recovers, its ramp starts without tokens.
    pub(crate) fn zone_state_changed(
        &mut self, now: Micros, id: ZoneId, change: StateChange, actions: &mut Vec<ZoneAction>,
    ) {
        let zone = &self.zones[id.0];
        let usual_capacity = zone.health.usual_capacity();
        let capacity_share = if usual_capacity > 0.0 { zone.capacity.usable / usual_capacity } else { 0.0 };
        let event = match change {
            StateChange::Lost => ZoneEvent::Lost { zone: id, capacity_share },
            StateChange::HeldDown(hold_down) => {
                let flaps = zone.health.flaps(now, &self.config);
                ZoneEvent::HeldDown { zone: id, capacity_share, hold_down, flaps }
            }
            StateChange::Recovering => ZoneEvent::Recovering { zone: id, capacity_share },
            StateChange::Up => ZoneEvent::Up { zone: id },
        };
        actions.push(ZoneAction::Log(event));
        if id == self.home_zone && matches!(change, StateChange::Recovering | StateChange::Lost) {
            self.ramp_bucket.clear(now);
        }
    }

    /// Returns the share of its capacity that an endpoint has at least, considering its slow start.
    fn warm_share(&self, endpoint: &EndpointRecord, now: Micros) -> f64 {
        let age = now.saturating_sub(endpoint.started_at);
        if endpoint.started_at == 0 || age >= self.slow_start_duration {
            return 1.0;
        }
        let initial = self.initial_capacity.max(MIN_INITIAL_CAPACITY);
        initial + (1.0 - initial) * age as f64 / self.slow_start_duration as f64
    }
}
