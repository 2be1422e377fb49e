//! Whether a request is admitted, waits, or is rejected.

use std::collections::BTreeSet;

use rand::Rng;

use crate::affinity::group_salt;
use crate::balancer::{Balancer, HOLD_TOKENS, TICK};
use crate::load_estimate::{FEW, REPORT_LAG};
use crate::rendezvous::draw;
use crate::request_state::{Flow, Hold};
use crate::routing::LEAST_TRY;
use crate::unreported_load::is_blind;
use crate::{Action, ClassId, Micros, RequestClass, RequestId, TimerToken};

/// A request that finds more under way than the fleet has room for waits about this long.
pub(crate) const WAVE_WAIT: Micros = 400_000;
/// Load at which the split stops sending: bursts of open connections need the rest.
pub(crate) const FULL: f64 = 0.7;
/// The dearest class is still placed up to this load.
pub(crate) const FULL_DEAREST: f64 = 0.78;
/// A returning client goes back to its server up to this load.
pub(crate) const STICKY_LOAD: f64 = 0.75;
/// Which groups are turned away first changes so often.
pub(crate) const SALT_TURNS: Micros = 8_000_000;

impl Balancer {
    /// Whether this request is turned away for what was lost of late: groups whole, and the cheaper a class
    /// for its load, the sooner.
    pub(crate) fn throttled(&mut self, flow: &Flow, now: Micros) -> bool {
        let salt = group_salt(&flow.request).unwrap_or_else(|| self.rng.random());
        let classes = self.settings.classes.len();
        let mean = (0..classes).map(|i| self.dearness(ClassId(i))).sum::<f64>() / classes.max(1) as f64;
        let dear = 1.0 + mean - self.dearness(flow.request.class);
        self.throttle.turns_away(now, draw(now / SALT_TURNS, salt) / dear)
    }

    /// Whether this request should let others go first: all balancers together have placed more of late than
    /// there was room for, which the reports do not show yet. Guards against waves of clients that come back
    /// together and jam one server after another.
    pub(crate) fn wave(&mut self, now: Micros) -> bool {
        let fade = now.saturating_sub(self.under_way.1) as f64 / REPORT_LAG as f64;
        self.under_way = (self.under_way.0 * (-fade).exp(), now);
        let own = self.under_way.0;
        let placed = own * own / (own + FEW) * self.balancers();
        placed > self.fleet.room && self.rng.random::<f64>() > self.fleet.room / placed
    }

    /// Holds a request for about the given time, if a whole attempt still fits after it. Guards against
    /// holding a request that is as good as given up until its deadline: it is refused at once instead.
    pub(crate) fn wait(
        &mut self, now: Micros, flow: &mut Flow, about: Micros, out: &mut Vec<Action>,
    ) -> bool {
        let attempt = self.class(flow).map_or(LEAST_TRY, |c| c.latency_objective).max(LEAST_TRY);
        let delay = self.rng.random_range(about / 2..=about + about / 2);
        if now + delay + attempt > flow.deadline {
            return false;
        }
        flow.rounds = 0;
        flow.held = Some(Hold { until: now + delay, probes: BTreeSet::new() });
        out.push(Action::SetTimer { delay, token: TimerToken(HOLD_TOKENS + u64::from(flow.request.id.0)) });
        true
    }

    /// No server has room by the split. Where nothing is known, or all are doubtful, the best guess is tried.
    pub(crate) fn no_room(&mut self, now: Micros, mut flow: Flow, out: &mut Vec<Action>) {
        self.breaker.no_room(now);
        let any_ready = self.servers.values().any(|s| s.ready() && !s.health.suspect());
        let open = self.servers.values().filter(|s| s.ready() && !flow.tried.contains(&s.entry.id));
        let open = open.filter(|s| self.may_send(&flow, &s.entry, now) && self.slot_open(s, now));
        let open = open.map(|s| (self.estimate(s, now), s.entry.id.clone()));
        let (best, blind) = (open.min_by(|a, b| a.0.total_cmp(&b.0)), is_blind(&self.settings));
        match best {
            // Without any report it cannot know that the fleet is full and must not refuse for it.
            Some((load, server))
                if !any_ready
                    || self.servers.values().all(|s| s.load.is_none())
                    || (blind && load < FULL_DEAREST) =>
            {
                self.send(now, flow, server, out);
            }
            // Nothing is ready, or only cold servers whose budget is spent: wait for better, in time.
            None if self.wait(now, &mut flow, TICK, out) => {
                self.held.insert(flow.request.id);
                self.flows.insert(flow.request.id, flow);
            }
            _ => self.finish(flow, out),
        }
    }

    /// Worth of a class for each unit of load, from 0 to 1 over the classes.
    pub(crate) fn dearness(&self, class: ClassId) -> f64 {
        let value = |(i, class): (usize, &RequestClass)| {
            let work = self.class_work.get(i).copied().flatten().filter(|w| *w > 0.0);
            match (self.settings.weight_by_work, work, self.mean_work) {
                (false, Some(work), Some(mean)) => class.priority_weight * mean / work,
                _ => class.priority_weight,
            }
        };
        let values = || self.settings.classes.iter().enumerate().map(value);
        let (most, own) = (values().fold(0.0, f64::max), values().nth(class.0));
        if most > 0.0 { own.unwrap_or(0.0) / most } else { 1.0 }
    }

    /// Load up to which this request is placed: the more it is worth for its load, the higher.
    pub(crate) fn full(&self, flow: &Flow) -> f64 {
        FULL + (FULL_DEAREST - FULL) * self.dearness(flow.request.class)
    }

    /// The final answer where no attempt is out: a refusal if that is true, else a failure.
    pub(crate) fn finish(&mut self, flow: Flow, out: &mut Vec<Action>) {
        let id = flow.request.id;
        if self.may_refuse(&flow) {
            let permissions = &self.settings.permissions;
            let most = if permissions.retry_after { permissions.max_retry_after } else { 0 };
            let retry_after = self.rng.random_range(most / 2..=most);
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
    }

    pub(crate) fn hold_over(&mut self, now: Micros, token: TimerToken, out: &mut Vec<Action>) {
        let Ok(id) = u32::try_from(token.0.saturating_sub(HOLD_TOKENS)).map(RequestId) else { return };
        let due = self.flows.get(&id).and_then(|f| f.held.as_ref()).is_some_and(|h| now >= h.until);
        if due {
            self.route(now, id, out);
        }
    }
}
