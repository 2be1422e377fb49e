//! Sums up the endpoints of each zone and derives the zones' states.

use honeyknot_balancer::{Micros, ZoneId};

use crate::action::{ZoneAction, ZoneEvent};
use crate::endpoint::EndpointRecord;
use crate::failover::ZoneFailover;
use crate::zone::ZoneCapacity;
use crate::zone_health::{StateChange, TransitionContext};

/// Time within which another endpoint of a zone with silent endpoints has to respond, in microseconds.
const SUSPICION_TIMEOUT: Micros = 700_000;
/// Load over capacity that is assumed without reports.
const DEFAULT_LOAD: f64 = 0.5;
/// A zone takes spill again when its load has fallen this far below the threshold at which it stopped.
const RECEIVE_HYSTERESIS: f64 = 0.08;
/// Share of all capacity that seems silent from which on the fault is assumed to be this relay's own.
const LOCAL_FAULT_THRESHOLD: f64 = 0.67;
/// Least share of its capacity that an endpoint is assumed to start with.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// Sums over the endpoints of one zone that are listed as ready.
#[derive(Clone, Default)]
struct ZoneSurvey {
    capacity: ZoneCapacity,
    /// Reported load, weighted by warm capacity.
    weighted_load: f64,
    /// Warm capacity with a report.
    reported_capacity: f64,
    endpoints: u32,
    silent_endpoints: u32,
    /// When an endpoint that is not silent last responded.
    last_alive_at: Micros,
}

impl ZoneSurvey {
    fn add(&mut self, endpoint: &EndpointRecord, warm_share: f64, now: Micros) {
        self.capacity.listed += endpoint.weight;
        self.endpoints += 1;
        if endpoint.is_silent() {
            self.silent_endpoints += 1;
            return;
        }
        self.last_alive_at = self.last_alive_at.max(endpoint.last_alive_at);
        self.capacity.usable += endpoint.weight;
        self.capacity.warm += endpoint.weight * warm_share;
        self.capacity.proven |= endpoint.last_alive_at > 0;
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
    /// Sums up each zone's endpoints and updates the zones' states and claims.
    pub(crate) fn survey_capacity(&mut self, now: Micros, actions: &mut Vec<ZoneAction>) {
        let mut surveys = vec![ZoneSurvey::default(); self.zones.len()];
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.ready) {
            surveys[endpoint.zone.0].add(endpoint, self.warm_share(endpoint, now), now);
        }
        self.detect_local_fault(now, &surveys, actions);
        for (index, mut survey) in surveys.into_iter().enumerate() {
            self.judge_silence(now, index, &mut survey);
            survey.capacity.load = survey.mean_load();
            self.update_zone(now, index, survey.capacity, actions);
        }
        self.update_claims(now);
    }

    /// Suspects a fault of this relay's own where nearly all capacity seems silent.
    fn detect_local_fault(&mut self, now: Micros, surveys: &[ZoneSurvey], actions: &mut Vec<ZoneAction>) {
        let listed: f64 = surveys.iter().map(|survey| survey.capacity.listed).sum();
        let silent: f64 = surveys.iter().map(|survey| survey.capacity.listed - survey.capacity.usable).sum();
        let suspected = listed > 0.0 && self.zones.len() > 1 && silent > listed * LOCAL_FAULT_THRESHOLD;
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
            zone.health.restore(now);
        }
    }

    /// Takes a zone for silent if several of its endpoints are silent and none of the others has responded in time.
    ///
    /// The others need not be found silent one by one, at the cost of a client's timeout each. Under a suspected
    /// local fault no zone is taken for silent.
    fn judge_silence(&mut self, now: Micros, index: usize, survey: &mut ZoneSurvey) {
        let zone = &mut self.zones[index];
        let capacity = &mut survey.capacity;
        if self.local_fault_suspected {
            capacity.usable = capacity.listed;
            capacity.warm = capacity.listed;
            zone.suspected_since = None;
            zone.silent = false;
            return;
        }
        let min_silent = self.config.min_unresponsive_endpoints.min(survey.endpoints);
        let is_suspect = survey.silent_endpoints > 0 && survey.silent_endpoints >= min_silent;
        zone.suspected_since = zone.suspected_since.or(Some(now)).filter(|_| is_suspect);
        zone.silent = zone
            .suspected_since
            .is_some_and(|since| survey.last_alive_at < since && now >= since + SUSPICION_TIMEOUT);
        if zone.silent {
            capacity.usable = 0.0;
            capacity.warm = 0.0;
        }
    }

    /// Updates a zone's capacity, whether it takes spill, and its state.
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
            self.zone_changed(now, ZoneId(index), change, actions);
        }
    }

    /// Logs a zone's change of state; a ramp of the home zone begins without tokens.
    pub(crate) fn zone_changed(
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

    /// Returns the least share of its capacity that an endpoint has by now.
    fn warm_share(&self, endpoint: &EndpointRecord, now: Micros) -> f64 {
        let age = now.saturating_sub(endpoint.started_at);
        if endpoint.started_at == 0 || age >= self.slow_start_duration {
            return 1.0;
        }
        let initial = self.initial_capacity.max(MIN_INITIAL_CAPACITY);
        initial + (1.0 - initial) * age as f64 / self.slow_start_duration as f64
    }
}
