//! Routing of requests without an attempt in flight: to an endpoint, to a wait, or to a rejection.

use crate::admission::{FULL_LOAD_TOP_CLASS, MEAN_SURGE_DELAY};
use crate::balancer::Balancer;
use crate::endpoint_record::{EndpointRecord, Placement};
use crate::health_check::MAX_HEALTH_CHECK_ROUNDS;
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{Action, EndpointId, Micros, RequestId};

/// Least timeout of an attempt, unless the deadline comes first. A request gets no further attempt once its
/// remaining time is below both this and half of its initial time.
pub(crate) const MIN_ATTEMPT_TIME: Micros = 30_000;

impl Balancer {
    /// Routes a request that has no attempt in flight. It may first wait for health checks of the best
    /// endpoints.
    pub(crate) fn route(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.pending_requests.remove(&id);
        let Some(mut state) = self.requests.remove(&id) else { return };
        state.pending = None;
        if self.is_exhausted(&state, now) {
            return self.reject_or_fail(state, actions);
        }
        let sticky = self.sticky_endpoint(&state, now);
        if let Some(endpoint) = sticky.as_ref().filter(|_| state.request.mid_flow && state.attempts == 0) {
            // The endpoint still has the connection, even if it is draining.
            return self.forward(now, state, endpoint.clone(), actions);
        }
        let is_first_round = state.health_check_rounds == 0;
        if is_unreported(&self.settings) && is_first_round && self.is_throttled(&state, now) {
            return self.reject_or_fail(state, actions);
        }
        let sticky = sticky.filter(|id| self.endpoints.get(id).is_some_and(|record| record.is_available()));
        let ranking = self.rank_endpoints(&state, now);
        if state.health_check_rounds < MAX_HEALTH_CHECK_ROUNDS
            && self.check_candidates(now, &mut state, sticky.as_ref(), &ranking, actions)
        {
            return self.enqueue_pending(state);
        }
        let sticky = sticky.filter(|id| self.has_sticky_capacity(id, now));
        if sticky.is_none() && self.is_surge(now) && self.defer(now, &mut state, MEAN_SURGE_DELAY, actions) {
            return self.enqueue_pending(state);
        }
        match sticky.or_else(|| ranking.into_iter().next()) {
            Some(endpoint) => self.forward(now, state, endpoint, actions),
            None => self.place_without_capacity(now, state, actions),
        }
    }

    /// Returns whether a request has no attempts left or too little time for one.
    fn is_exhausted(&self, state: &RequestState, now: Micros) -> bool {
        let time_left = state.deadline.saturating_sub(now);
        state.attempts >= self.settings.permissions.max_attempts.max(1)
            || time_left <= MIN_ATTEMPT_TIME.min(state.request.time_remaining / 2)
    }

    /// Starts an attempt of a request at an endpoint.
    pub(crate) fn forward(
        &mut self, now: Micros, mut state: RequestState, endpoint: EndpointId, actions: &mut Vec<Action>,
    ) {
        self.record_placement(now, &state, &endpoint);
        if let Some(key) = &state.request.session_key {
            self.migrated_clients.remove(&key.hash());
        }
        let objective =
            self.class(&state).map_or(state.request.time_remaining, |class| class.latency_objective);
        let time_left = state.deadline.saturating_sub(now);
        let timeout = objective.max(MIN_ATTEMPT_TIME).min(time_left).max(1);
        let send_before = self.send_before(&state);
        state.attempts += 1;
        state.attempt_endpoint = Some(endpoint.clone());
        state.sent_at = now;
        state.health_check_rounds = 0;
        actions.push(Action::Forward { id: state.request.id, endpoint, timeout, send_before });
        self.requests.insert(state.request.id, state);
    }

    fn record_placement(&mut self, now: Micros, state: &RequestState, endpoint: &EndpointId) {
        let relative_load = self.relative_load(state);
        let rate = self.endpoints.get(endpoint).map_or(0.0, |record| self.slow_start_rate(record));
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            if !is_unreported(&self.settings) {
                record.recent_placements.push_back(Placement { placed_at: now, relative_load });
            }
            record.slow_start.consume(&self.settings.rules, record.endpoint.started_at, now, rate);
        }
        self.circuit_breaker.record_placement();
        self.recent_placements.add(relative_load);
    }

    /// Returns the endpoint with the lowest estimated load of those that a request may be sent to, even if
    /// they are full.
    pub(crate) fn least_loaded_endpoint(
        &self, state: &RequestState, now: Micros,
    ) -> Option<(f64, EndpointId)> {
        let may_receive = |record: &&EndpointRecord| {
            record.is_ready()
                && !state.failed_endpoints.contains(&record.endpoint.id)
                && self.may_send(state, &record.endpoint, now)
                && self.slow_start_admits(record, now)
        };
        let usable = self.endpoints.values().filter(may_receive);
        let loads = usable.map(|record| (self.estimated_load(record, now), record));
        let (load, record) = loads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((load, record.endpoint.id.clone()))
    }

    /// Returns whether a request may be placed on an endpoint with `load` although none has spare capacity.
    ///
    /// That is the case if all endpoints are unavailable, if no load is known, or if endpoints report no load
    /// and the real one may be lower than the estimate.
    pub(crate) fn may_place_without_capacity(&self, load: f64) -> bool {
        !self.endpoints.values().any(EndpointRecord::is_available)
            || self.endpoints.values().all(|record| record.reported_load.is_none())
            || (is_unreported(&self.settings) && load < FULL_LOAD_TOP_CLASS)
    }
}
