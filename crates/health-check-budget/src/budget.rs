//! Decides which health checks one relay makes.

use std::collections::BTreeMap;

use honeyknot_balancer::{LoadReport, Micros, Outcome};
use honeyknot_gossip::{GossipView, HealthObservation, assigned_probers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::decision::HealthCheckDecision;
use crate::local_check::{LocalCheck, LocalResult};

/// Interval at which an assigned prober checks an endpoint, in microseconds.
const CHECK_INTERVAL_MICROS: Micros = 800_000;
/// Minimum time between two checks by an assigned prober on request, in microseconds. Within it, the last
/// result is the answer.
const MIN_REQUEST_INTERVAL_MICROS: Micros = 300_000;
/// Age at which other members' observations are no longer used, in microseconds.
const MAX_OBSERVATION_AGE_MICROS: Micros = 2_000_000;
/// Minimum number of fresh observations from which a request is answered, because a single one may be wrong.
const MIN_OBSERVATIONS: usize = 2;
/// Time for which an assigned prober keeps publishing a result, in microseconds.
const PUBLISH_DURATION_MICROS: Micros = 2_500_000;
/// Time after its last check for which an endpoint is remembered, in microseconds.
const LOCAL_CHECK_RETENTION_MICROS: Micros = 4 * PUBLISH_DURATION_MICROS;

/// One relay's part of the fleet's budget of health checks. Endpoints are identified by the numbers that
/// gossip uses.
#[derive(Debug)]
pub struct HealthCheckBudget {
    probers_per_endpoint: usize,
    rng: Pcg64Mcg,
    /// The last health check by this relay, by endpoint number.
    checks: BTreeMap<u32, LocalCheck>,
    /// Whether this relay is assigned to an endpoint, by endpoint number. Computed for the members in
    /// `assigned_among`.
    assignments: BTreeMap<u32, bool>,
    /// The living members for which `assignments` was computed.
    assigned_among: Vec<u64>,
}

impl HealthCheckBudget {
    /// Creates a budget for `probers_per_endpoint` probers assigned to each endpoint.
    pub fn new(probers_per_endpoint: usize, seed: u64) -> HealthCheckBudget {
        HealthCheckBudget {
            probers_per_endpoint,
            rng: Pcg64Mcg::seed_from_u64(seed),
            checks: BTreeMap::new(),
            assignments: BTreeMap::new(),
            assigned_among: Vec::new(),
        }
    }

    /// Decides whether this relay makes a requested health check of an endpoint.
    pub fn request(&mut self, now: Micros, view: &GossipView, endpoint: u32) -> HealthCheckDecision {
        if self.makes_all_checks(view) {
            return self.start_requested(now, endpoint);
        }
        if self.is_assigned(view, endpoint) {
            return self.request_of_assigned_prober(now, endpoint);
        }
        let aggregated = view.aggregated(now, endpoint, MAX_OBSERVATION_AGE_MICROS);
        if let Some(health) = aggregated.filter(|health| health.observations >= MIN_OBSERVATIONS) {
            return health.into();
        }
        let probability = self.probers_per_endpoint as f64 / view.alive.len() as f64;
        if self.rng.random_bool(probability.min(1.0)) {
            self.start_requested(now, endpoint)
        } else {
            HealthCheckDecision::NOT_CHECKED
        }
    }

    /// Records the start of the assigned health checks that are due, and returns the endpoints out of
    /// `endpoints` to check.
    pub fn start_due_checks(
        &mut self, now: Micros, view: &GossipView, endpoints: impl Iterator<Item = u32>,
    ) -> Vec<u32> {
        let mut due = Vec::new();
        if self.makes_all_checks(view) {
            return due;
        }
        for endpoint in endpoints {
            if self.is_assigned(view, endpoint) && self.is_due(now, endpoint) {
                self.start(now, endpoint);
                due.push(endpoint);
            }
        }
        due
    }

    /// Records the result of a health check that this relay made.
    pub fn check_ended(&mut self, now: Micros, endpoint: u32, outcome: Outcome, report: Option<&LoadReport>) {
        if let Some(result) = LocalResult::new(now, outcome, report) {
            self.checks.entry(endpoint).or_insert(LocalCheck::started(now)).result = Some(result);
        }
    }

    /// Returns the observations of assigned endpoints to publish, newest first.
    pub fn observations(&mut self, now: Micros, view: &GossipView) -> Vec<HealthObservation> {
        self.checks.retain(|_, check| check.elapsed(now) < LOCAL_CHECK_RETENTION_MICROS);
        let results = self.checks.iter().filter_map(|(endpoint, check)| Some((*endpoint, check.result?)));
        let fresh: Vec<(u32, LocalResult)> =
            results.filter(|(_, result)| result.age(now) < PUBLISH_DURATION_MICROS).collect();
        let mut observations: Vec<HealthObservation> = fresh
            .into_iter()
            .filter(|(endpoint, _)| self.is_assigned(view, *endpoint))
            .map(|(endpoint, result)| result.observation(now, endpoint))
            .collect();
        observations.sort_by_key(|observation| observation.age_ms);
        observations
    }

    fn request_of_assigned_prober(&mut self, now: Micros, endpoint: u32) -> HealthCheckDecision {
        let check = self.checks.get(&endpoint);
        let recent = check.filter(|check| check.elapsed(now) < MIN_REQUEST_INTERVAL_MICROS);
        match recent.and_then(|check| check.result) {
            Some(result) => HealthCheckDecision::known(result.outcome, result.load, result.latency_ms),
            None => self.start_requested(now, endpoint),
        }
    }

    fn start_requested(&mut self, now: Micros, endpoint: u32) -> HealthCheckDecision {
        self.start(now, endpoint);
        HealthCheckDecision::Check
    }

    /// Records the start of a check. The result of the previous check is kept until this one ends.
    fn start(&mut self, now: Micros, endpoint: u32) {
        self.checks.entry(endpoint).or_insert(LocalCheck::started(now)).started_at = now;
    }

    fn is_due(&self, now: Micros, endpoint: u32) -> bool {
        self.checks.get(&endpoint).is_none_or(|check| check.elapsed(now) >= CHECK_INTERVAL_MICROS)
    }

    /// Returns whether there are no more living members than probers, so that each member makes all of its
    /// checks.
    fn makes_all_checks(&self, view: &GossipView) -> bool {
        view.alive.len() <= self.probers_per_endpoint
    }

    /// Returns whether this relay is assigned to an endpoint.
    fn is_assigned(&mut self, view: &GossipView, endpoint: u32) -> bool {
        if self.assigned_among != view.alive {
            self.assignments.clear();
            self.assigned_among.clone_from(&view.alive);
        }
        let probers = self.probers_per_endpoint;
        let compute = || assigned_probers(&view.alive, endpoint, probers).contains(&view.local_member);
        *self.assignments.entry(endpoint).or_insert_with(compute)
    }
}
