//! Ranking of the endpoints for one request.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::{FULL_LOAD, FULL_LOAD_TOP_CLASS};
use crate::affinity::group_salt;
use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::health_check::HEALTH_CHECK_SAMPLE;
use crate::rendezvous::{SESSION_KEY_HASH_SEED, rendezvous_order};
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{EndpointId, Micros, Request};

/// Endpoints in a ranking, at most.
const MAX_RANKED_ENDPOINTS: usize = HEALTH_CHECK_SAMPLE * 2;
/// Fraction of its weight that an endpoint keeps while a health check is overdue.
const OVERDUE_HEALTH_CHECK_WEIGHT: f64 = 0.2;
/// Least spare capacity that an endpoint's weight is multiplied with, as a fraction of its capacity.
const MIN_SPARE_CAPACITY: f64 = 0.01;
/// Load up to which requests are placed while the circuit breaker is half open.
const HALF_OPEN_LOAD: f64 = 1.0;

/// An endpoint that may take a request, with its place in the rendezvous orders; the lowest comes first.
#[derive(Debug)]
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
    /// Endpoints that may take a request, best first.
    ///
    /// The affinity group's order of the endpoints is the same at all balancers. As many of the first with
    /// spare capacity as the group needs are its endpoints, and among these the client's order decides. For a
    /// request without a group, all endpoints with spare capacity are in the second order.
    pub(crate) fn rank_endpoints(&mut self, state: &RequestState, now: Micros) -> Vec<EndpointId> {
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
            let may_take = weight > 0.0
                && !state.failed_endpoints.contains(id)
                && migrated.is_none_or(|client| client.from != *id)
                && self.may_send(state, &record.endpoint, now);
            if !may_take {
                continue;
            }
            let load =
                if record.has_slow_messages(now) { f64::INFINITY } else { self.estimated_load(record, now) };
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

    /// Load up to which a request is placed: the higher its class's priority, the higher.
    fn max_load(&self, state: &RequestState) -> f64 {
        FULL_LOAD + (FULL_LOAD_TOP_CLASS - FULL_LOAD) * self.class_priority(state.request.class)
    }
}

/// The candidates with less load than `max_load`, in their order.
fn with_load_below<'a>(
    candidates: impl Iterator<Item = &'a Candidate<'a>>, max_load: f64,
) -> Vec<&'a Candidate<'a>> {
    candidates.filter(|candidate| candidate.load < max_load).collect()
}
