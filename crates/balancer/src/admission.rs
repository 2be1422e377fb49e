//! Whether a request is admitted, waits, or is rejected.

use std::collections::BTreeSet;

use rand::Rng;

use crate::affinity::group_salt;
use crate::balancer::{Balancer, FIRST_REQUEST_TOKEN, TICK_INTERVAL};
use crate::load_estimate::{REPORT_LAG, SAMPLE_SMOOTHING};
use crate::rendezvous::uniform_draw;
use crate::request_state::{PendingRequest, RequestState};
use crate::routing::MIN_ATTEMPT_TIME;
use crate::unreported_load::is_unreported;
use crate::{Action, ClassId, Micros, RequestClass, RequestId, TimerToken};

/// A request that finds more under way than the fleet has room for waits about this long.
pub(crate) const SURGE_WAIT: Micros = 400_000;
/// Load at which the split stops sending: bursts of open connections need the rest.
pub(crate) const FULL_LOAD: f64 = 0.7;
/// The dearest class is still placed up to this load.
pub(crate) const FULL_LOAD_TOP_CLASS: f64 = 0.78;
/// A returning client goes back to its endpoint up to this load.
pub(crate) const MAX_STICKY_LOAD: f64 = 0.75;
/// Which groups are turned away first changes so often.
pub(crate) const THROTTLE_ROTATION_INTERVAL: Micros = 8_000_000;

impl Balancer {
    /// Whether this request is turned away for what was lost of late: groups whole, and the cheaper a class
    /// for its load, the sooner.
    pub(crate) fn is_throttled(&mut self, state: &RequestState, now: Micros) -> bool {
        let salt = group_salt(&state.request).unwrap_or_else(|| self.rng.random());
        let classes = self.settings.classes.len();
        let mean = (0..classes).map(|i| self.class_priority(ClassId(i))).sum::<f64>() / classes.max(1) as f64;
        let dear = 1.0 + mean - self.class_priority(state.request.class);
        self.throttle.should_reject(now, uniform_draw(now / THROTTLE_ROTATION_INTERVAL, salt) / dear)
    }

    /// Whether this request should let others go first: all balancers together have placed more of late than
    /// there was room for, which the reports do not show yet. Guards against waves of clients that come back
    /// together and jam one endpoint after another.
    pub(crate) fn is_surge(&mut self, now: Micros) -> bool {
        let fade = now.saturating_sub(self.recent_placements.1) as f64 / REPORT_LAG as f64;
        self.recent_placements = (self.recent_placements.0 * (-fade).exp(), now);
        let own = self.recent_placements.0;
        let placed = own * own / (own + SAMPLE_SMOOTHING) * self.fleet_size();
        placed > self.fleet_estimate.spare_connections
            && self.rng.random::<f64>() > self.fleet_estimate.spare_connections / placed
    }

    /// Holds a request for about the given time, if a whole attempt still fits after it. Guards against
    /// holding a request that is as good as given up until its deadline: it is refused at once instead.
    pub(crate) fn defer(
        &mut self, now: Micros, state: &mut RequestState, about: Micros, out: &mut Vec<Action>,
    ) -> bool {
        let attempt =
            self.class(state).map_or(MIN_ATTEMPT_TIME, |c| c.latency_objective).max(MIN_ATTEMPT_TIME);
        let delay = self.rng.random_range(about / 2..=about + about / 2);
        if now + delay + attempt > state.deadline {
            return false;
        }
        state.health_check_rounds = 0;
        state.pending = Some(PendingRequest { until: now + delay, health_checks: BTreeSet::new() });
        out.push(Action::SetTimer {
            delay,
            token: TimerToken(FIRST_REQUEST_TOKEN + u64::from(state.request.id.0)),
        });
        true
    }

    /// No endpoint has room by the split. Where nothing is known, or all are doubtful, the best guess is
    /// tried.
    pub(crate) fn place_without_capacity(
        &mut self, now: Micros, mut state: RequestState, out: &mut Vec<Action>,
    ) {
        self.circuit_breaker.record_no_capacity(now);
        let any_ready = self.endpoints.values().any(|s| s.is_ready() && !s.outlier_detector.is_ejected());
        let open = self
            .endpoints
            .values()
            .filter(|s| s.is_ready() && !state.failed_endpoints.contains(&s.endpoint.id));
        let open = open.filter(|s| self.may_send(&state, &s.endpoint, now) && self.slow_start_admits(s, now));
        let open = open.map(|s| (self.estimate(s, now), s.endpoint.id.clone()));
        let (best, blind) = (open.min_by(|a, b| a.0.total_cmp(&b.0)), is_unreported(&self.settings));
        match best {
            // Without any report it cannot know that the fleet is full and must not refuse for it.
            Some((load, record))
                if !any_ready
                    || self.endpoints.values().all(|s| s.reported_load.is_none())
                    || (blind && load < FULL_LOAD_TOP_CLASS) =>
            {
                self.forward(now, state, record, out);
            }
            // Nothing is ready, or only cold endpoints whose budget is spent: wait for better, in time.
            None if self.defer(now, &mut state, TICK_INTERVAL, out) => {
                self.pending_requests.insert(state.request.id);
                self.requests.insert(state.request.id, state);
            }
            _ => self.reject_or_fail(state, out),
        }
    }

    /// Worth of a class for each unit of load, from 0 to 1 over the classes.
    pub(crate) fn class_priority(&self, class: ClassId) -> f64 {
        let value = |(i, class): (usize, &RequestClass)| {
            let work = self.class_connection_load.get(i).copied().flatten().filter(|w| *w > 0.0);
            match (self.settings.weight_by_work, work, self.mean_connection_load) {
                (false, Some(work), Some(mean)) => class.priority_weight * mean / work,
                _ => class.priority_weight,
            }
        };
        let values = || self.settings.classes.iter().enumerate().map(value);
        let (most, own) = (values().fold(0.0, f64::max), values().nth(class.0));
        if most > 0.0 { own.unwrap_or(0.0) / most } else { 1.0 }
    }

    /// Load up to which this request is placed: the more it is worth for its load, the higher.
    pub(crate) fn max_load(&self, state: &RequestState) -> f64 {
        FULL_LOAD + (FULL_LOAD_TOP_CLASS - FULL_LOAD) * self.class_priority(state.request.class)
    }

    /// The final answer where no attempt is out: a refusal if that is true, else a failure.
    pub(crate) fn reject_or_fail(&mut self, state: RequestState, out: &mut Vec<Action>) {
        let id = state.request.id;
        if self.may_reject(&state) {
            let permissions = &self.settings.permissions;
            let most = if permissions.retry_after { permissions.max_retry_after } else { 0 };
            let retry_after = self.rng.random_range(most / 2..=most);
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
    }

    pub(crate) fn pending_timer_fired(&mut self, now: Micros, token: TimerToken, out: &mut Vec<Action>) {
        let Ok(id) = u32::try_from(token.0.saturating_sub(FIRST_REQUEST_TOKEN)).map(RequestId) else {
            return;
        };
        let due = self.requests.get(&id).and_then(|f| f.pending.as_ref()).is_some_and(|h| now >= h.until);
        if due {
            self.route(now, id, out);
        }
    }
}
