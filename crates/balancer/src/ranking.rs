//! Ranking of the endpoints for a request.

use rand::Rng;

use crate::admission::{FULL_LOAD, FULL_LOAD_TOP_CLASS};
use crate::affinity::group_salt;
use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::health_check::HEALTH_CHECK_SAMPLE;
use crate::rendezvous::rendezvous_score;
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{EndpointId, Micros, Request, SessionKey};

/// Maximum number of endpoints in a ranking.
const MAX_RANKED_ENDPOINTS: usize = HEALTH_CHECK_SAMPLE * 2;
/// Fraction of its weight that an endpoint keeps while its health check is overdue.
const OVERDUE_HEALTH_CHECK_WEIGHT: f64 = 0.2;
/// Lower limit of the spare capacity by which an endpoint's weight is multiplied, as a fraction of its
/// capacity.
const MIN_SPARE_CAPACITY: f64 = 0.01;
/// Maximum load for placing a request while the circuit breaker is half open.
const HALF_OPEN_LOAD: f64 = 1.0;

/// An endpoint that a request may be sent to, with its rendezvous scores. The lowest score comes first.
#[derive(Debug)]
struct Candidate<'a> {
    id: &'a EndpointId,
    load: f64,
    /// Score for the affinity group, increased for endpoints in other zones.
    local_score: f64,
    /// Score for the affinity group, the same from every zone.
    global_score: f64,
    /// Score for the client, weighted by spare capacity.
    client_score: f64,
    warm_up_fraction: f64,
}

impl Balancer {
    /// Returns the endpoints that a request may be sent to, best first.
    ///
    /// All balancers sort the endpoints by the same group scores. The first ones with spare capacity, as many
    /// as the group needs, are the group's endpoints and are sorted by client score. For a request without a
    /// group, all endpoints with spare capacity are sorted by client score.
    pub(crate) fn rank_endpoints(&mut self, state: &RequestState, now: Micros) -> Vec<EndpointId> {
        let client_salt = self.client_salt(&state.request);
        let candidates = self.candidates(state, client_salt, now);
        let selected = self.select_candidates(&candidates, state, now);
        let warming_up = self.warming_up_candidate(&candidates, &selected);
        let is_other =
            |candidate: &&Candidate| warming_up.is_none_or(|preferred| preferred.id != candidate.id);
        let others = selected.iter().copied().filter(is_other);
        let ranking = warming_up.into_iter().chain(others).take(MAX_RANKED_ENDPOINTS);
        ranking.map(|candidate| candidate.id.clone()).collect()
    }

    /// Returns the rendezvous salt of the client, derived from its session key.
    ///
    /// It is random for a client without a key, and for one whose connection was migrated, so that it goes to
    /// a random endpoint of its group.
    fn client_salt(&mut self, request: &Request) -> u64 {
        match request.session_key.as_ref().map(SessionKey::hash) {
            Some(hash) if !self.migrated_clients.contains_key(&hash) => hash.0,
            _ => self.rng.random(),
        }
    }

    /// Returns all endpoints that a request may be sent to, by ascending local score.
    fn candidates(&self, state: &RequestState, client_salt: u64, now: Micros) -> Vec<Candidate<'_>> {
        let request = &state.request;
        let migrated = request.session_key.as_ref().and_then(|key| self.migrated_clients.get(&key.hash()));
        let salt = group_salt(request);
        let copy_cost = self.group_copy_cost(request);
        let mut candidates = Vec::with_capacity(self.endpoints.len());
        for (id, record) in &self.endpoints {
            let weight = self.endpoint_weight(record, now);
            let may_receive = weight > 0.0
                && !state.failed_endpoints.contains(id)
                && migrated.is_none_or(|client| client.from != *id)
                && self.may_send(state, &record.endpoint, now);
            if !may_receive {
                continue;
            }
            let load =
                if record.has_slow_messages(now) { f64::INFINITY } else { self.estimated_load(record, now) };
            let distance_penalty = self.distance_penalty(record, copy_cost);
            let warm_up_fraction = self.warm_up_fraction(record, now);
            let spare = (1.0 - load).max(MIN_SPARE_CAPACITY).powi(2);
            let client_weight = weight / distance_penalty * warm_up_fraction * spare;
            let global_score = salt.map_or(0.0, |salt| rendezvous_score(salt, record.id_hash, weight));
            candidates.push(Candidate {
                id,
                load,
                local_score: global_score * distance_penalty,
                global_score,
                client_score: rendezvous_score(client_salt, record.id_hash, client_weight),
                warm_up_fraction,
            });
        }
        candidates.sort_unstable_by(|a, b| a.local_score.total_cmp(&b.local_score).then(a.id.cmp(b.id)));
        candidates
    }

    /// Returns the candidates with spare capacity that the request's group may use. If the group needs `n`
    /// endpoints, only the first `n` of them are sorted by client score.
    fn select_candidates<'a>(
        &self, candidates: &'a [Candidate<'a>], state: &RequestState, now: Micros,
    ) -> Vec<&'a Candidate<'a>> {
        let needed = self.group_endpoint_count(&state.request);
        // On a full fleet, spreading the group further would add its overhead to more endpoints and free
        // none.
        let limit = needed.saturating_add(needed / 2).saturating_add(1);
        let spill_load = self.spill_load();
        let mut selected = with_load_below(candidates.iter().take(limit), spill_load);
        if selected.is_empty() && self.settings.prices.cross_zone > 0.0 {
            // This zone is full: use the group's endpoints in all zones, which are the same for all
            // balancers.
            let mut global: Vec<&Candidate> = candidates.iter().collect();
            global.sort_by(|a, b| a.global_score.total_cmp(&b.global_score));
            selected = with_load_below(global.into_iter().take(limit), spill_load);
        }
        if selected.is_empty() {
            let is_half_open = self.circuit_breaker.is_half_open(now);
            let max_load = if is_half_open { HALF_OPEN_LOAD } else { self.max_load(state) };
            selected = with_load_below(candidates.iter().take(limit), max_load);
        }
        let sorted_count = needed.min(selected.len());
        selected[..sorted_count].sort_by(|a, b| a.client_score.total_cmp(&b.client_score));
        selected
    }

    /// Returns an endpoint in slow start that is preferred to others, because its budget expires unless used.
    ///
    /// It is preferred if it is among the selected candidates, if there are none, and for any request while
    /// many requests fail because of overload.
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

    /// Returns an endpoint's weight regardless of its load: its capacity, reduced while it recovers from an
    /// ejection or its health check is overdue. It is 0 if the endpoint may get no new connection.
    pub(crate) fn endpoint_weight(&self, record: &EndpointRecord, now: Micros) -> f64 {
        if !record.is_available() || !self.slow_start_admits(record, now) {
            return 0.0;
        }
        let trust = if record.is_health_check_overdue(now) { OVERDUE_HEALTH_CHECK_WEIGHT } else { 1.0 };
        record.capacity() * record.outlier_detector.weight_fraction(now) * trust
    }

    /// Returns the maximum load for placing a request, which increases with the priority of its class.
    fn max_load(&self, state: &RequestState) -> f64 {
        FULL_LOAD + (FULL_LOAD_TOP_CLASS - FULL_LOAD) * self.class_priority(state.request.class)
    }
}

/// Returns the candidates with less load than `max_load`, in the given order.
fn with_load_below<'a>(
    candidates: impl Iterator<Item = &'a Candidate<'a>>, max_load: f64,
) -> Vec<&'a Candidate<'a>> {
    candidates.filter(|candidate| candidate.load < max_load).collect()
}
