//! Health checks before a request is placed, and their results.

use std::collections::BTreeSet;

use rand::Rng;

use crate::balancer::{Balancer, HOLD_TOKENS};
use crate::estimates::blend;
use crate::outlier_detection::SHED_LOAD;
use crate::request_state::{Flow, Hold};
use crate::routing::SAMPLE;
use crate::{
    Action, ConnectionUpdate, EndpointId, LoadReport, LoadReportSource, Micros, Outcome, RequestId,
    TimerToken,
};

/// The longest that a request is held for probe answers; small beside any wait a person notices.
pub(crate) const HOLD: Micros = 30_000;

impl Balancer {
    /// Probes the best candidates whose report is stale; true if the request now waits for answers.
    pub(crate) fn sample(
        &mut self, now: Micros, flow: &mut Flow, home: Option<&EndpointId>, ranking: &[EndpointId],
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.permissions.health_checks
            || self.settings.load_reports == LoadReportSource::Unavailable
        {
            return false;
        }
        // The second round only asks for a winner that the first round's answers brought up.
        let size = if flow.rounds == 0 { SAMPLE } else { 1 };
        let until = now + HOLD.min(flow.deadline.saturating_sub(now) / 2);
        let mut probes = BTreeSet::new();
        // One of them is any ready server: the ranking alone would never learn of room elsewhere, and the
        // mean would be that of the servers it likes.
        let any = self.rng.random_range(0..self.servers.len().max(1));
        let any =
            self.servers.values().nth(any).filter(|s| flow.rounds == 0 && s.ready() && !s.health.suspect());
        let any = any.map(|s| s.entry.id.clone());
        for id in home.into_iter().chain(ranking).take(size).chain(any.as_ref()) {
            let Some(server) = self.servers.get_mut(id) else { continue };
            if server.fresh(now) {
                continue;
            }
            server.probe(now, out);
            if server.probe_sent.is_some_and(|at| now.saturating_sub(at) >= HOLD) {
                continue;
            }
            probes.insert(id.clone());
        }
        flow.rounds += 1;
        if probes.is_empty() {
            return false;
        }
        flow.held = Some(Hold { until, probes });
        let token = TimerToken(HOLD_TOKENS + u64::from(flow.request.id.0));
        out.push(Action::SetTimer { delay: until - now, token });
        true
    }

    pub(crate) fn probed(
        &mut self, now: Micros, id: EndpointId, outcome: Outcome, report: Option<LoadReport>,
        out: &mut Vec<Action>,
    ) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.probe_sent = None;
        }
        match outcome {
            Outcome::Ok => self.alive(now, &id),
            // It answers: guards against moving away what stands there and is served.
            Outcome::Error if self.servers.get(&id).is_some_and(|s| s.health.nearly_silent()) => {
                self.servers.entry(id.clone()).and_modify(|s| s.health.answers(now, &self.settings));
            }
            // Turned away by the cap on probes: no sign of ill health.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
            _ => self.strike(now, &id, out),
        }
        if let Some(report) = report {
            self.take_report(now, &id, &report);
            if self.servers.get(&id).is_some_and(|s| s.load.is_some_and(|(load, _)| load > SHED_LOAD)) {
                self.judge(now, &id, out);
            }
        }
        let mut answered = |held: &RequestId| {
            let hold = self.flows.get_mut(held).and_then(|f| f.held.as_mut());
            hold.is_some_and(|h| h.probes.remove(&id) && h.probes.is_empty())
        };
        let ready: Vec<RequestId> = self.held.iter().filter(|held| answered(held)).copied().collect();
        for request in ready {
            self.route(now, request, out);
        }
    }

    pub(crate) fn noted(
        &mut self, now: Micros, id: RequestId, at: EndpointId, note: ConnectionUpdate, out: &mut Vec<Action>,
    ) {
        match note {
            ConnectionUpdate::Load(load) => {
                let Some(flow) = self.flows.get_mut(&id) else { return };
                flow.load = Some(load);
                if let Some(mean) = self.class_work.get_mut(flow.request.class.0) {
                    blend(mean, load);
                }
                if flow.request.expected_load.is_none() {
                    blend(&mut self.mean_work, load);
                }
            }
            ConnectionUpdate::MessageLatency(ms) => {
                let aims = self.settings.classes.iter().map(|c| c.message_latency_objective);
                let aim = aims.filter(|aim| *aim > 0).min().unwrap_or(Micros::MAX);
                let Some(server) = self.servers.get_mut(&at) else { return };
                if ms * 1e3 < aim as f64 * 0.5 {
                    server.slow_at = None;
                    return;
                }
                server.slow_at = Some(now);
                let may_ask = self.settings.permissions.health_checks && server.probe_sent.is_none();
                if may_ask && !server.fresh(now) && server.ready() {
                    server.probe(now, out);
                } else {
                    self.judge(now, &at, out);
                }
            }
        }
    }
}
