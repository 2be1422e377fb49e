//! Admission control: throttling, deferral during surges of requests, and rejection.

use std::collections::BTreeSet;

use rand::Rng;

use crate::affinity::group_salt;
use crate::balancer::{Balancer, TICK_INTERVAL};
use crate::fleet_estimate::SAMPLE_SMOOTHING;
use crate::load_estimate::REPORT_LAG;
use crate::rendezvous::uniform_draw;
use crate::request_state::{PendingRequest, RequestState, pending_token};
use crate::routing::MIN_ATTEMPT_TIME;
use crate::{Action, ClassId, Micros, RequestClass};

/// Mean time by which a request is deferred during a surge.
pub(crate) const MEAN_SURGE_DELAY: Micros = 400_000;
/// Load from which endpoints get no new connections. The rest is reserved for bursts of established ones.
pub(crate) const FULL_LOAD: f64 = 0.7;
/// Load from which endpoints get no new connections of the highest-priority class.
pub(crate) const FULL_LOAD_TOP_CLASS: f64 = 0.78;
/// Interval after which other affinity groups are the first to be throttled.
const THROTTLE_ROTATION_INTERVAL: Micros = 8_000_000;

/// Sum of the relative loads of this balancer's recent placements. It decays to 1/e over [`REPORT_LAG`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentPlacements {
    relative_load: f64,
    updated_at: Micros,
}

impl RecentPlacements {
    pub(crate) fn new(now: Micros) -> RecentPlacements {
        RecentPlacements { relative_load: 0.0, updated_at: now }
    }

    pub(crate) fn add(&mut self, relative_load: f64) {
        self.relative_load += relative_load;
    }

    /// Returns the sum decayed to the current time.
    fn decayed(&mut self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64 / REPORT_LAG as f64;
        self.relative_load *= (-age).exp();
        self.updated_at = now;
        self.relative_load
    }
}

impl Balancer {
    /// Returns whether a request is rejected because of recent losses. Affinity groups are rejected as a
    /// whole, and low-priority classes first.
    pub(crate) fn is_throttled(&mut self, state: &RequestState, now: Micros) -> bool {
        let salt = group_salt(&state.request).unwrap_or_else(|| self.rng.random());
        let classes = self.settings.classes.len();
        let priorities = (0..classes).map(|index| self.class_priority(ClassId(index)));
        let mean = priorities.sum::<f64>() / classes.max(1) as f64;
        let relative_priority = 1.0 + mean - self.class_priority(state.request.class);
        let draw = uniform_draw(now / THROTTLE_ROTATION_INTERVAL, salt);
        self.throttle.should_reject(now, draw / relative_priority)
    }

    /// Returns whether a request should be deferred because the recent placements of all balancers together
    /// probably exceed the spare capacity. Load reports do not show these placements yet.
    ///
    /// Otherwise clients that reconnect all at once would overload one endpoint after another.
    pub(crate) fn is_surge(&mut self, now: Micros) -> bool {
        let own = self.recent_placements.decayed(now);
        let placed = own * own / (own + SAMPLE_SMOOTHING) * self.fleet_size();
        let spare = self.fleet_estimate.spare_connections;
        placed > spare && self.rng.random::<f64>() > spare / placed
    }

    /// Sets a timer to route a request again after a random delay of 0.5 to 1.5 times `mean_delay`.
    ///
    /// Returns false and sets no timer if no complete attempt would fit between that time and the deadline.
    /// The request is then better rejected, while the client still has time to try elsewhere.
    pub(crate) fn defer(
        &mut self, now: Micros, state: &mut RequestState, mean_delay: Micros, actions: &mut Vec<Action>,
    ) -> bool {
        let objective = self.class(state).map_or(MIN_ATTEMPT_TIME, |class| class.latency_objective);
        let attempt_time = objective.max(MIN_ATTEMPT_TIME);
        let delay = self.rng.random_range(mean_delay / 2..=mean_delay + mean_delay / 2);
        if now + delay + attempt_time > state.deadline {
            return false;
        }
        state.health_check_rounds = 0;
        state.pending = Some(PendingRequest { until: now + delay, health_checks: BTreeSet::new() });
        actions.push(Action::SetTimer { delay, token: pending_token(state.request.id) });
        true
    }

    /// Handles a request for which no endpoint has spare capacity. It goes to the least loaded endpoint if
    /// that may have capacity after all, waits if it may not be sent to any endpoint, or is rejected.
    pub(crate) fn place_without_capacity(
        &mut self, now: Micros, mut state: RequestState, actions: &mut Vec<Action>,
    ) {
        self.circuit_breaker.record_no_capacity(now);
        match self.least_loaded_endpoint(&state, now) {
            Some((load, endpoint)) if self.may_place_without_capacity(load) => {
                self.forward(now, state, endpoint, actions);
            }
            None if self.defer(now, &mut state, TICK_INTERVAL, actions) => self.enqueue_pending(state),
            _ => self.reject_or_fail(state, actions),
        }
    }

    /// Gives the final answer to a request that has no attempt in flight.
    pub(crate) fn reject_or_fail(&mut self, state: RequestState, actions: &mut Vec<Action>) {
        let id = state.request.id;
        if self.may_reject(&state) {
            let permissions = &self.settings.permissions;
            let max_delay = if permissions.retry_after { permissions.max_retry_after } else { 0 };
            let retry_after = self.rng.random_range(max_delay / 2..=max_delay);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
    }

    /// Returns the priority weight of a class per unit of load, as a fraction of the highest one.
    pub(crate) fn class_priority(&self, class: ClassId) -> f64 {
        let weights = || {
            let classes = self.settings.classes.iter().enumerate();
            classes.map(|(index, class)| self.weight_for_load(index, class))
        };
        let highest = weights().fold(0.0, f64::max);
        let own = weights().nth(class.0);
        if highest > 0.0 { own.unwrap_or(0.0) / highest } else { 1.0 }
    }

    /// Returns a class's priority weight, scaled to the load of a mean connection.
    fn weight_for_load(&self, index: usize, class: &RequestClass) -> f64 {
        let load = self.connection_loads.of_class(ClassId(index)).filter(|load| *load > 0.0);
        match (self.settings.weight_by_work, load, self.connection_loads.mean) {
            (false, Some(load), Some(mean)) => class.priority_weight * mean / load,
            _ => class.priority_weight,
        }
    }
}
