//! Which endpoint a request goes to.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::{FULL_LOAD, FULL_LOAD_TOP_CLASS, SURGE_WAIT};
use crate::affinity::group_salt;
use crate::balancer::Balancer;
use crate::endpoint_record::{EndpointRecord, Placement};
use crate::health_check::{HEALTH_CHECK_SAMPLE, MAX_HEALTH_CHECK_ROUNDS};
use crate::rendezvous::{SESSION_KEY_HASH_SEED, rendezvous_order};
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{Action, EndpointId, Micros, Request, RequestId};

/// Least time that an attempt gets, and that must remain for another one.
pub(crate) const MIN_ATTEMPT_TIME: Micros = 30_000;
/// Endpoints in a ranking, at most.
const MAX_RANKED_ENDPOINTS: usize = HEALTH_CHECK_SAMPLE * 2;
/// Fraction of its weight that an endpoint keeps while a health check is overdue.
const OVERDUE_HEALTH_CHECK_WEIGHT: f64 = 0.2;
/// Least spare capacity that an endpoint's weight is multiplied with, as a fraction of its capacity.
const MIN_SPARE_CAPACITY: f64 = 0.01;
/// Load up to which requests are placed while the circuit breaker is half open.
const HALF_OPEN_LOAD: f64 = 1.0;

/// An endpoint that may take a request, with its place in the rendezvous orders; the lowest comes first.
struct Candidate<'a> {
    id: &'a EndpointId,
    load: f64,
    /// Place in the affinity group's order as seen from this balancer's zone.
    local_order: f64,
    /// Place in the affinity group's order that all zones see alike.
    global_order: f64,
    /// Place in the client's order, by spare capacity.
    client_order: f64,
    warm_up_fraction: f64,
}

impl Balancer {
    /// Finds an endpoint for a request that has no attempt in flight, after health checks where they can tell
    /// more.
    pub(crate) fn route(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.pending_requests.remove(&id);
        let Some(mut state) = self.requests.remove(&id) else { return };
        state.pending = None;
        if self.is_exhausted(&state, now) {
            return self.reject_or_fail(state, actions);
        }
        let sticky = self.sticky_endpoint(&state, now);
        if let Some(endpoint) = sticky.as_ref().filter(|_| state.request.mid_flow && state.attempts == 0) {
            // The endpoint still has the connection, even while it drains.
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
        if sticky.is_none() && self.is_surge(now) && self.defer(now, &mut state, SURGE_WAIT, actions) {
            return self.enqueue_pending(state);
        }
        match sticky.or_else(|| ranking.into_iter().next()) {
            Some(endpoint) => self.forward(now, state, endpoint, actions),
            None => self.place_without_capacity(now, state, actions),
        }
    }

    /// Whether a request has no attempt left, or too little time for one.
    fn is_exhausted(&self, state: &RequestState, now: Micros) -> bool {
        let time_left = state.deadline.saturating_sub(now);
        state.attempts >= self.settings.permissions.max_attempts.max(1)
            || time_left <= MIN_ATTEMPT_TIME.min(state.request.time_remaining / 2)
    }

    /// Endpoints that may take a request, best first.
    ///
    /// The affinity group's order of the endpoints is the same at all balancers. As many of the first with
    /// spare capacity as the group needs are its endpoints, and among these the client's order decides. For a
    /// request without a group, all endpoints with spare capacity are in the second order.
    fn rank_endpoints(&mut self, state: &RequestState, now: Micros) -> Vec<EndpointId> {
        let client_salt = self.client_salt(&state.request);
        let candidates = self.candidates(state, client_salt, now);
        let selected = self.select_candidates(&candidates, state, now);
        let warming_up = self.warming_up_candidate(&candidates, &selected);
        let is_other = |candidate: &&Candidate| warming_up.is_none_or(|first| first.id != candidate.id);
        let others = selected.iter().copied().filter(is_other);
        let ranking = warming_up.into_iter().chain(others).take(MAX_RANKED_ENDPOINTS);
        ranking.map(|candidate| candidate.id.clone()).collect()
    }

    /// Seed of the client's order: the session key, or a random number for a client without one and for one
    /// whose connection was migrated, which goes to a random endpoint of its group.
    fn client_salt(&mut self, request: &Request) -> u64 {
        match &request.session_key {
            Some(key) if !self.migrated_clients.contains_key(key) => {
                xxh3_64_with_seed(key.0.as_bytes(), SESSION_KEY_HASH_SEED)
            }
            _ => self.rng.random(),
        }
    }

    /// All endpoints that may take a request, in their local order.
    fn candidates(&self, state: &RequestState, client_salt: u64, now: Micros) -> Vec<Candidate<'_>> {
        let request = &state.request;
        let migrated = request.session_key.as_ref().and_then(|key| self.migrated_clients.get(key));
        let salt = group_salt(request);
        let copy_cost = self.group_copy_cost(request);
        let mut candidates = Vec::with_capacity(self.endpoints.len());
        for (id, record) in &self.endpoints {
            let weight = self.endpoint_weight(record, now);
            let is_excluded = state.failed_endpoints.contains(id)
                || migrated.is_some_and(|client| client.from == *id)
                || !self.may_send(state, &record.endpoint, now);
            if weight <= 0.0 || is_excluded {
                continue;
            }
            let load = if record.has_slow_messages(now) { f64::INFINITY } else { self.estimate(record, now) };
            let distance_penalty = self.distance_penalty(record, copy_cost);
            let warm_up_fraction = self.warm_up_fraction(record, now);
            let spare = (1.0 - load).max(MIN_SPARE_CAPACITY).powi(2);
            let client_weight = weight / distance_penalty * warm_up_fraction * spare;
            let global_order = salt.map_or(0.0, |salt| rendezvous_order(salt, record.id_hash, weight));
            candidates.push(Candidate {
                id,
                load,
                local_order: global_order * distance_penalty,
                global_order,
                client_order: rendezvous_order(client_salt, record.id_hash, client_weight),
                warm_up_fraction,
            });
        }
        candidates.sort_unstable_by(|a, b| a.local_order.total_cmp(&b.local_order).then(a.id.cmp(b.id)));
        candidates
    }

    /// The candidates with spare capacity that the request's group may use; as many as the group needs are in
    /// the client's order.
    fn select_candidates<'a>(
        &self, candidates: &'a [Candidate<'a>], state: &RequestState, now: Micros,
    ) -> Vec<&'a Candidate<'a>> {
        let needed = self.group_endpoint_count(&state.request);
        // A group that spread over a full fleet would cost each endpoint and leave the fleet full.
        let limit = needed.saturating_add(needed / 2).saturating_add(1);
        let spill_load = self.spill_load();
        let mut selected = with_load_below(candidates.iter().take(limit), spill_load);
        if selected.is_empty() && self.settings.prices.cross_zone > 0.0 {
            // This zone is full: the group's endpoints in all zones, which other balancers use too.
            let mut global: Vec<&Candidate> = candidates.iter().collect();
            global.sort_by(|a, b| a.global_order.total_cmp(&b.global_order));
            selected = with_load_below(global.into_iter().take(limit), spill_load);
        }
        if selected.is_empty() {
            let is_half_open = self.circuit_breaker.is_half_open(now);
            let max_load = if is_half_open { HALF_OPEN_LOAD } else { self.max_load(state) };
            selected = with_load_below(candidates.iter().take(limit), max_load);
        }
        let first = needed.min(selected.len());
        selected[..first].sort_by(|a, b| a.client_order.total_cmp(&b.client_order));
        selected
    }

    /// An endpoint in slow start that is to be used before others.
    ///
    /// Its budget lapses unless used. It is used first if it is selected, if nothing else is, and for any
    /// request while many are lost to overload.
    fn warming_up_candidate<'a>(
        &self, candidates: &'a [Candidate<'a>], selected: &[&Candidate<'a>],
    ) -> Option<&'a Candidate<'a>> {
        let spill_load = self.spill_load();
        let is_under_pressure = is_unreported(&self.settings) && self.throttle.is_under_pressure();
        let is_warming_up =
            |candidate: &&Candidate| candidate.warm_up_fraction < 1.0 && candidate.load < spill_load;
        let first = candidates.iter().find(is_warming_up)?;
        let is_selected = selected.iter().any(|candidate| candidate.id == first.id);
        (is_under_pressure || selected.is_empty() || is_selected).then_some(first)
    }

    /// An endpoint's weight before its load counts: its capacity, reduced while it recovers or a health check
    /// is overdue, and 0 if it may get no connection.
    pub(crate) fn endpoint_weight(&self, record: &EndpointRecord, now: Micros) -> f64 {
        if !record.is_available() || !self.slow_start_admits(record, now) {
            return 0.0;
        }
        let trust = if record.is_health_check_overdue(now) { OVERDUE_HEALTH_CHECK_WEIGHT } else { 1.0 };
        record.capacity() * record.outlier_detector.weight_fraction(now) * trust
    }

    /// Starts an attempt of a request at an endpoint.
    pub(crate) fn forward(
        &mut self, now: Micros, mut state: RequestState, endpoint: EndpointId, actions: &mut Vec<Action>,
    ) {
        self.record_placement(now, &state, &endpoint);
        if let Some(key) = &state.request.session_key {
            self.migrated_clients.remove(key);
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
                record.recent_placements.push_back(Placement { at: now, relative_load });
            }
            record.slow_start.consume(&self.settings.rules, record.endpoint.started_at, now, rate);
        }
        self.circuit_breaker.record_placement();
        self.recent_placements.add(relative_load);
    }

    /// The endpoint with the lowest estimated load that may take a request at all, full or not.
    pub(crate) fn least_loaded_endpoint(
        &self, state: &RequestState, now: Micros,
    ) -> Option<(f64, EndpointId)> {
        let may_take = |record: &&EndpointRecord| {
            record.is_ready()
                && !state.failed_endpoints.contains(&record.endpoint.id)
                && self.may_send(state, &record.endpoint, now)
                && self.slow_start_admits(record, now)
        };
        let usable = self.endpoints.values().filter(may_take);
        let loads = usable.map(|record| (self.estimate(record, now), record));
        let (load, record) = loads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((load, record.endpoint.id.clone()))
    }

    /// Whether a request may be placed at `load` although no endpoint has spare capacity: nothing is known of
    /// the fleet's load, or nothing of it is reported and the load may be lower than estimated.
    pub(crate) fn may_place_without_capacity(&self, load: f64) -> bool {
        !self.endpoints.values().any(EndpointRecord::is_available)
            || self.endpoints.values().all(|record| record.reported_load.is_none())
            || (is_unreported(&self.settings) && load < FULL_LOAD_TOP_CLASS)
    }

    /// Load up to which a request is placed: the higher its class's priority, the higher.
    fn max_load(&self, state: &RequestState) -> f64 {
        FULL_LOAD + (FULL_LOAD_TOP_CLASS - FULL_LOAD) * self.class_priority(state.request.class)
    }
}

fn with_load_below<'a>(
    candidates: impl Iterator<Item = &'a Candidate<'a>>, max_load: f64,
) -> Vec<&'a Candidate<'a>> {
    candidates.filter(|candidate| candidate.load < max_load).collect()
}
