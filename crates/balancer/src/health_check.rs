//! Health checks of the candidates for a request and of failed endpoints, and handling of the results.

use std::collections::BTreeSet;

use rand::Rng;

use crate::balancer::Balancer;
use crate::connection_shedding::SHED_THRESHOLD;
use crate::endpoint_record::EndpointRecord;
use crate::request_state::{PendingRequest, RequestState, pending_token};
use crate::{Action, EndpointId, LoadReport, LoadReportSource, Micros, Outcome, RequestId};

/// Maximum number of ranked candidates that get a health check in a request's first round.
pub(crate) const HEALTH_CHECK_SAMPLE: usize = 3;
/// Number of health check rounds after which a request is placed with the information available.
pub(crate) const MAX_HEALTH_CHECK_ROUNDS: u32 = 2;
/// Longest time that a request waits for health checks.
pub(crate) const MAX_HEALTH_CHECK_WAIT: Micros = 30_000;

impl Balancer {
    /// Sends health checks to the best candidates that have no fresh report. Returns whether the request now
    /// waits for results.
    pub(crate) fn check_candidates(
        &mut self, now: Micros, state: &mut RequestState, sticky: Option<&EndpointId>,
        ranking: &[EndpointId], actions: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.permissions.health_checks
            || self.settings.load_reports == LoadReportSource::Unavailable
        {
            return false;
        }
        let is_first_round = state.health_check_rounds == 0;
        // After the first round, only the first candidate is checked, in case the results have changed which
        // one that is.
        let sample = if is_first_round { HEALTH_CHECK_SAMPLE } else { 1 };
        let until = now + MAX_HEALTH_CHECK_WAIT.min(state.deadline.saturating_sub(now) / 2);
        let random = self.random_available_endpoint().filter(|_| is_first_round);
        let mut awaited = BTreeSet::new();
        for id in sticky.into_iter().chain(ranking).take(sample).chain(random.as_ref()) {
            if self.check_candidate(now, id, actions) {
                awaited.insert(id.clone());
            }
        }
        state.health_check_rounds += 1;
        if awaited.is_empty() {
            return false;
        }
        state.pending = Some(PendingRequest { until, health_checks: awaited });
        let token = pending_token(state.request.id);
        actions.push(Action::SetTimer { delay: until - now, token });
        true
    }

    /// Draws a random endpoint. Returns `None` if the drawn endpoint is not available.
    ///
    /// If only ranked endpoints were checked, spare capacity elsewhere would never be found, and the
    /// estimated mean load would be that of the highly ranked endpoints.
    fn random_available_endpoint(&mut self) -> Option<EndpointId> {
        let index = self.rng.random_range(0..self.endpoints.len().max(1));
        let record = self.endpoints.values().nth(index)?;
        record.is_available().then(|| record.endpoint.id.clone())
    }

    /// Sends a health check to a candidate unless its report is fresh. Returns whether the request should
    /// wait for the result.
    fn check_candidate(&mut self, now: Micros, id: &EndpointId, actions: &mut Vec<Action>) -> bool {
        let Some(record) = self.endpoints.get_mut(id) else { return false };
        if record.has_fresh_report(now) {
            return false;
        }
        record.check_health(now, actions);
        !record.is_health_check_overdue(now)
    }

    /// Sends health checks to the failed endpoints that are due for one. If health checks are not permitted,
    /// starts a trial of these endpoints instead.
    pub(crate) fn check_due_endpoints(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_due =
            |record: &&mut EndpointRecord| record.is_ready() && record.outlier_detector.is_check_due(now);
        for record in self.endpoints.values_mut().filter(is_due) {
            if self.settings.permissions.health_checks {
                record.check_health(now, actions);
            } else {
                record.outlier_detector.start_trial(now);
            }
        }
    }

    /// Records the result of a health check and routes the requests that waited for no other result.
    pub(crate) fn health_check_ended(
        &mut self, now: Micros, id: EndpointId, outcome: Outcome, report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.record_health_check(now, &id, outcome, actions);
        if let Some(report) = report {
            self.record_report(now, &id, &report);
            let load = self.endpoints.get(&id).and_then(|record| record.reported_load);
            if load.is_some_and(|report| report.load > SHED_THRESHOLD) {
                self.shed_load(now, &id, actions);
            }
        }
        for request in self.requests_awaiting_only(&id) {
            self.route(now, request, actions);
        }
    }

    fn record_health_check(
        &mut self, now: Micros, id: &EndpointId, outcome: Outcome, actions: &mut Vec<Action>,
    ) {
        let mut is_nearly_unresponsive = false;
        if let Some(record) = self.endpoints.get_mut(id) {
            record.health_check_sent_at = None;
            is_nearly_unresponsive = record.outlier_detector.is_nearly_unresponsive();
        }
        match outcome {
            Outcome::Ok => self.record_success(now, id),
            // The endpoint responds and still serves its connections, so they must not migrate.
            Outcome::Error if is_nearly_unresponsive => {
                if let Some(record) = self.endpoints.get_mut(id) {
                    record.outlier_detector.record_error_response(now, &self.settings);
                }
            }
            // The limit on health checks prevented this one, so the endpoint's health is still unknown.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
            _ => self.record_failure(now, id, actions),
        }
    }

    /// Removes an endpoint from the health checks that requests wait for, and returns the requests that now
    /// wait for none.
    fn requests_awaiting_only(&mut self, id: &EndpointId) -> Vec<RequestId> {
        let requests = &mut self.requests;
        let mut was_last_awaited = |request: &&RequestId| {
            let pending = requests.get_mut(*request).and_then(|state| state.pending.as_mut());
            pending
                .is_some_and(|pending| pending.health_checks.remove(id) && pending.health_checks.is_empty())
        };
        self.pending_requests.iter().filter(|request| was_last_awaited(request)).copied().collect()
    }
}
