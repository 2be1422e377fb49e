//! Which endpoint a request goes to.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::{MAX_STICKY_LOAD, SURGE_WAIT};
use crate::affinity::{MAX_SPILL_LOAD, MIN_SPILL_LOAD, SPILL_MARGIN, group_salt};
use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::health_check::MAX_HEALTH_CHECK_WAIT;
use crate::rendezvous::rendezvous_order;
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{Action, EndpointId, Idempotency, Micros, RequestId};

/// Endpoints probed for a request: enough that one of them has room, few enough to cost next to nothing.
pub(crate) const HEALTH_CHECK_SAMPLE: usize = 3;
/// Sampling rounds for a request before the split decides with what it has.
pub(crate) const MAX_HEALTH_CHECK_ROUNDS: u32 = 2;
/// Least time worth another attempt.
pub(crate) const MIN_ATTEMPT_TIME: Micros = 30_000;

/// An endpoint in the races that decide about a request.
pub(crate) struct Candidate<'a> {
    pub(crate) load: f64,
    /// Its place in the group's race as seen from this zone, as seen from anywhere, and in the client's race.
    pub(crate) local_order: f64,
    pub(crate) global_order: f64,
    pub(crate) client_order: f64,
    pub(crate) warmth: f64,
    pub(crate) id: &'a EndpointId,
}

impl Balancer {
    /// Finds an endpoint for a request that has no attempt out, probing first where that can tell more.
    pub(crate) fn route(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.pending_requests.remove(&id);
        let Some(mut state) = self.requests.remove(&id) else { return };
        state.pending = None;
        let left = state.deadline.saturating_sub(now);
        let spent = state.attempts >= self.settings.permissions.max_attempts.max(1);
        if spent || left <= MIN_ATTEMPT_TIME.min(state.request.time_remaining / 2) {
            return self.reject_or_fail(state, out);
        }
        let home = self.sticky_endpoint(&state, now);
        if state.request.mid_flow
            && state.attempts == 0
            && let Some(home) = &home
        {
            // Its endpoint has it still, even while that drains.
            return self.forward(now, state, home.clone(), out);
        }
        if is_unreported(&self.settings) && state.health_check_rounds == 0 && self.is_throttled(&state, now) {
            return self.reject_or_fail(state, out);
        }
        let home = home.filter(|h| {
            self.endpoints.get(h).is_some_and(|s| s.is_ready() && !s.outlier_detector.is_ejected())
        });
        let ranking = self.rank_endpoints(&state, now);
        if state.health_check_rounds < MAX_HEALTH_CHECK_ROUNDS
            && self.check_candidates(now, &mut state, home.as_ref(), &ranking, out)
        {
            self.pending_requests.insert(id);
            self.requests.insert(id, state);
            return;
        }
        let at_home = home.filter(|h| {
            self.endpoints.get(h).is_some_and(|s| {
                self.estimate(s, now) < MAX_STICKY_LOAD
                    && !s.has_slow_messages(now)
                    && self.slow_start_admits(s, now)
            })
        });
        if at_home.is_none() && self.is_surge(now) && self.defer(now, &mut state, SURGE_WAIT, out) {
            self.pending_requests.insert(id);
            self.requests.insert(id, state);
            return;
        }
        if let Some(record) = at_home.or_else(|| ranking.into_iter().next()) {
            return self.forward(now, state, record, out);
        }
        self.place_without_capacity(now, state, out);
    }

    /// Endpoints that may take this request, best first.
    ///
    /// The race of the group puts the endpoints in an order that all balancers see alike; as many of the
    /// first that have room as the group seems to need form its set, and within the set the race of the
    /// client decides by spare capacity. Without a group every endpoint with room is in the set.
    pub(crate) fn rank_endpoints(&mut self, state: &RequestState, now: Micros) -> Vec<EndpointId> {
        let request = &state.request;
        let moved = request.session_key.as_ref().and_then(|k| self.migrated_clients.get(k));
        // A moved client lands at random; only its group, if it has one, still draws it.
        let client = match &request.session_key {
            Some(key) if moved.is_none() => xxh3_64_with_seed(key.0.as_bytes(), 1),
            _ => self.rng.random(),
        };
        let spill = (self.fleet_estimate.mean_load + SPILL_MARGIN).clamp(MIN_SPILL_LOAD, MAX_SPILL_LOAD);
        let (salt, copy) = (group_salt(request), self.group_copy_cost(request));
        let mut candidates = Vec::with_capacity(self.endpoints.len());
        for (id, record) in &self.endpoints {
            let weight = self.endpoint_weight(record, now);
            let open = weight > 0.0
                && !state.failed_endpoints.contains(id)
                && moved.is_none_or(|(from, _)| from != id);
            if open && self.may_send(state, &record.endpoint, now) {
                let load =
                    if record.has_slow_messages(now) { f64::INFINITY } else { self.estimate(record, now) };
                let (far, warmth) = (self.distance_penalty(record, copy), self.warmth(record, now));
                let spare = weight / far * warmth * (1.0 - load).max(0.01).powi(2);
                let wide = salt.map_or(0.0, |salt| rendezvous_order(salt, record.id_hash, weight));
                let client = rendezvous_order(client, record.id_hash, spare);
                candidates.push(Candidate {
                    load,
                    local_order: wide * far,
                    global_order: wide,
                    client_order: client,
                    warmth,
                    id,
                });
            }
        }
        let need = self.group_endpoint_count(request);
        // Guards against a group that spreads over a full fleet: each endpoint pays for it, and it stays
        // full.
        let reach = need.saturating_add(need / 2).saturating_add(1);
        candidates.sort_unstable_by(|a, b| a.local_order.total_cmp(&b.local_order).then(a.id.cmp(b.id)));
        let mut set: Vec<&Candidate> = candidates.iter().take(reach).filter(|l| l.load < spill).collect();
        if set.is_empty() && self.settings.prices.cross_zone > 0.0 {
            // Where the own zone is full, the group's endpoints in all zones: other balancers use them too.
            let mut wide: Vec<&Candidate> = candidates.iter().collect();
            wide.sort_by(|a, b| a.global_order.total_cmp(&b.global_order));
            set = wide.into_iter().take(reach).filter(|l| l.load < spill).collect();
        }
        if set.is_empty() {
            let full = if self.circuit_breaker.is_half_open(now) { 1.0 } else { self.max_load(state) };
            set = candidates.iter().take(reach).filter(|l| l.load < full).collect();
        }
        let lead = need.min(set.len());
        set[..lead].sort_by(|a, b| a.client_order.total_cmp(&b.client_order));
        // An open slot on a cold endpoint is taken first if that is of the group's, and else before refusing:
        // it lapses, and the endpoint must fill.
        let cold = candidates.iter().find(|l| l.warmth < 1.0 && l.load < spill);
        let is_under_pressure = is_unreported(&self.settings) && self.throttle.is_under_pressure();
        let cold =
            cold.filter(|c| is_under_pressure || set.is_empty() || set.iter().any(|l| std::ptr::eq(*l, *c)));
        let rest = set.iter().copied().filter(|l| cold.is_none_or(|c| !std::ptr::eq(*l, c)));
        cold.into_iter().chain(rest).take(HEALTH_CHECK_SAMPLE * 2).map(|l| l.id.clone()).collect()
    }

    /// An endpoint's weight before its load counts: capacity, less where it is doubtful.
    pub(crate) fn endpoint_weight(&self, record: &EndpointRecord, now: Micros) -> f64 {
        if !record.is_ready() || record.outlier_detector.is_ejected() || !self.slow_start_admits(record, now)
        {
            return 0.0;
        }
        // A probe that is not answered when it should be is a bad sign already.
        let doubt = if record
            .health_check_sent_at
            .is_some_and(|at| now.saturating_sub(at) >= MAX_HEALTH_CHECK_WAIT)
        {
            0.2
        } else {
            1.0
        };
        record.capacity() * record.outlier_detector.weight_fraction(now) * doubt
    }

    pub(crate) fn forward(
        &mut self, now: Micros, mut state: RequestState, id: EndpointId, out: &mut Vec<Action>,
    ) {
        let units = self.relative_load(&state);
        let rate = self.endpoints.get(&id).map_or(0.0, |s| self.slow_start_rate(s));
        let told = !is_unreported(&self.settings);
        if let Some(record) = self.endpoints.get_mut(&id) {
            record.recent_placements.extend(told.then_some((now, units)));
            record.slow_start.consume(&self.settings.rules, record.endpoint.started_at, now, rate);
        }
        self.circuit_breaker.record_placement();
        let _ = state.request.session_key.as_ref().map(|key| self.migrated_clients.remove(key));
        let aim = self
            .class(&state)
            .map_or(state.request.time_remaining, |c| c.latency_objective)
            .max(MIN_ATTEMPT_TIME);
        let timeout = aim.min(state.deadline.saturating_sub(now)).max(1);
        self.recent_placements.0 += units;
        state.attempts += 1;
        state.attempt_endpoint = Some(id.clone());
        state.sent_at = now;
        state.health_check_rounds = 0;
        let send_before = match (state.possible_run, self.class(&state).map(|c| c.idempotency)) {
            (Some((.., since)), Some(Idempotency::IdempotencyKey { window, .. })) => Some(since + window),
            _ => None,
        };
        out.push(Action::Forward { id: state.request.id, endpoint: id, timeout, send_before });
        self.requests.insert(state.request.id, state);
    }
}
