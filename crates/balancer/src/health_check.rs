//! Health checks before a request is placed, and their results.

use std::collections::BTreeSet;

use rand::Rng;

use crate::balancer::{Balancer, FIRST_REQUEST_TOKEN};
use crate::estimates::update_mean;
use crate::outlier_detection::SHED_THRESHOLD;
use crate::request_state::{PendingRequest, RequestState};
use crate::routing::HEALTH_CHECK_SAMPLE;
use crate::{
    Action, ConnectionUpdate, EndpointId, LoadReport, LoadReportSource, Micros, Outcome, RequestId,
    TimerToken,
};

/// The longest that a request is held for probe answers; small beside any wait a person notices.
pub(crate) const MAX_HEALTH_CHECK_WAIT: Micros = 30_000;

impl Balancer {
    /// Probes the best candidates whose report is stale; true if the request now waits for answers.
    pub(crate) fn check_candidates(
        &mut self, now: Micros, state: &mut RequestState, home: Option<&EndpointId>, ranking: &[EndpointId],
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.permissions.health_checks
            || self.settings.load_reports == LoadReportSource::Unavailable
        {
            return false;
        }
        // The second round only asks for a winner that the first round's answers brought up.
        let size = if state.health_check_rounds == 0 { HEALTH_CHECK_SAMPLE } else { 1 };
        let until = now + MAX_HEALTH_CHECK_WAIT.min(state.deadline.saturating_sub(now) / 2);
        let mut health_checks = BTreeSet::new();
        // One of them is any ready endpoint: the ranking alone would never learn of room elsewhere, and the
        // mean would be that of the endpoints it likes.
        let any = self.rng.random_range(0..self.endpoints.len().max(1));
        let any =
            self.endpoints.values().nth(any).filter(|s| {
                state.health_check_rounds == 0 && s.is_ready() && !s.outlier_detector.is_ejected()
            });
        let any = any.map(|s| s.endpoint.id.clone());
        for id in home.into_iter().chain(ranking).take(size).chain(any.as_ref()) {
            let Some(record) = self.endpoints.get_mut(id) else { continue };
            if record.has_fresh_report(now) {
                continue;
            }
            record.check_health(now, out);
            if record.health_check_sent_at.is_some_and(|at| now.saturating_sub(at) >= MAX_HEALTH_CHECK_WAIT) {
                continue;
            }
            health_checks.insert(id.clone());
        }
        state.health_check_rounds += 1;
        if health_checks.is_empty() {
            return false;
        }
        state.pending = Some(PendingRequest { until, health_checks });
        let token = TimerToken(FIRST_REQUEST_TOKEN + u64::from(state.request.id.0));
        out.push(Action::SetTimer { delay: until - now, token });
        true
    }

    pub(crate) fn health_check_ended(
        &mut self, now: Micros, id: EndpointId, outcome: Outcome, report: Option<LoadReport>,
        out: &mut Vec<Action>,
    ) {
        if let Some(record) = self.endpoints.get_mut(&id) {
            record.health_check_sent_at = None;
        }
        match outcome {
            Outcome::Ok => self.record_success(now, &id),
            // It answers: guards against moving away what stands there and is served.
            Outcome::Error
                if self.endpoints.get(&id).is_some_and(|s| s.outlier_detector.is_nearly_unresponsive()) =>
            {
                self.endpoints
                    .entry(id.clone())
                    .and_modify(|s| s.outlier_detector.record_error_response(now, &self.settings));
            }
            // Turned away by the cap on probes: no sign of ill health.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
            _ => self.record_failure(now, &id, out),
        }
        if let Some(report) = report {
            self.record_report(now, &id, &report);
            if self
                .endpoints
                .get(&id)
                .is_some_and(|s| s.reported_load.is_some_and(|(load, _)| load > SHED_THRESHOLD))
            {
                self.shed_load(now, &id, out);
            }
        }
        let mut answered = |held: &RequestId| {
            let hold = self.requests.get_mut(held).and_then(|f| f.pending.as_mut());
            hold.is_some_and(|h| h.health_checks.remove(&id) && h.health_checks.is_empty())
        };
        let ready: Vec<RequestId> =
            self.pending_requests.iter().filter(|held| answered(held)).copied().collect();
        for request in ready {
            self.route(now, request, out);
        }
    }

    pub(crate) fn connection_updated(
        &mut self, now: Micros, id: RequestId, at: EndpointId, note: ConnectionUpdate, out: &mut Vec<Action>,
    ) {
        match note {
            ConnectionUpdate::Load(load) => {
                let Some(state) = self.requests.get_mut(&id) else { return };
                state.connection_load = Some(load);
                if let Some(mean) = self.class_connection_load.get_mut(state.request.class.0) {
                    update_mean(mean, load);
                }
                if state.request.expected_load.is_none() {
                    update_mean(&mut self.mean_connection_load, load);
                }
            }
            ConnectionUpdate::MessageLatency(ms) => {
                let aims = self.settings.classes.iter().map(|c| c.message_latency_objective);
                let aim = aims.filter(|aim| *aim > 0).min().unwrap_or(Micros::MAX);
                let Some(record) = self.endpoints.get_mut(&at) else { return };
                if ms * 1e3 < aim as f64 * 0.5 {
                    record.slow_messages_at = None;
                    return;
                }
                record.slow_messages_at = Some(now);
                let may_ask =
                    self.settings.permissions.health_checks && record.health_check_sent_at.is_none();
                if may_ask && !record.has_fresh_report(now) && record.is_ready() {
                    record.check_health(now, out);
                } else {
                    self.shed_load(now, &at, out);
                }
            }
        }
    }
}
