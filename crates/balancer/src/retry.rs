//! Handling of attempt outcomes, and the rules for retrying or rejecting a request.

use crate::admission::FULL_LOAD;
use crate::balancer::Balancer;
use crate::request_state::{PossibleRun, RequestState};
use crate::unreported_load::{is_unreported, load_after_failure};
use crate::{
    Action, CellId, DeduplicationScope, Endpoint, EndpointId, Idempotency, LoadReport, Micros, Outcome,
    RequestId,
};

/// The result of an attempt, from [`crate::Event::AttemptEnded`].
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) id: RequestId,
    pub(crate) outcome: Outcome,
    pub(crate) closed: bool,
    pub(crate) endpoint: EndpointId,
    pub(crate) report: Option<LoadReport>,
}

impl Balancer {
    /// Returns whether a request may be sent to an endpoint now, given its allowed zones and the idempotency
    /// of its class.
    pub(crate) fn may_send(&self, state: &RequestState, endpoint: &Endpoint, now: Micros) -> bool {
        if !state.request.allowed_zones.contains(endpoint.zone) {
            return false;
        }
        let Some(run) = state.possible_run else { return true };
        match self.idempotency(state) {
            Some(Idempotency::Idempotent) => true,
            Some(Idempotency::IdempotencyKey { scope, window }) => {
                let is_in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => endpoint.zone == run.zone,
                    DeduplicationScope::Cell => endpoint.cell == run.cell && endpoint.zone == run.zone,
                };
                is_in_scope && now.saturating_sub(run.sent_at) < window
            }
            Some(Idempotency::AtMostOnce) | None => false,
        }
    }

    /// Returns whether a request may be rejected. A rejection tells the client that a retry is safe.
    pub(crate) fn may_reject(&self, state: &RequestState) -> bool {
        match self.idempotency(state) {
            Some(Idempotency::Idempotent)
            | Some(Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }) => true,
            _ => state.possible_run.is_none(),
        }
    }

    /// Returns the point in time before which the next attempt must be sent, because endpoints recognise
    /// repeats only for a limited time. Returns `None` if there is no limit.
    pub(crate) fn send_before(&self, state: &RequestState) -> Option<Micros> {
        match (state.possible_run, self.idempotency(state)) {
            (Some(run), Some(Idempotency::IdempotencyKey { window, .. })) => Some(run.sent_at + window),
            _ => None,
        }
    }

    fn idempotency(&self, state: &RequestState) -> Option<Idempotency> {
        self.class(state).map(|class| class.idempotency)
    }

    /// Records the outcome of an attempt. If the request is still owed an answer, retries, rejects or fails
    /// it.
    pub(crate) fn attempt_ended(&mut self, now: Micros, attempt: EndedAttempt, actions: &mut Vec<Action>) {
        let EndedAttempt { id, outcome, closed, endpoint, report } = attempt;
        if let Some(report) = report {
            self.record_report(now, &endpoint, &report);
        }
        let Some(state) = self.requests.get(&id) else { return };
        let (was_established, was_finished) = (state.established, state.finished);
        let was_dropped = outcome == Outcome::Reset && !state.request.mid_flow && !was_finished;
        if was_dropped || outcome == Outcome::Rejected {
            self.record_overload(now, &endpoint, was_dropped);
        }
        match outcome {
            Outcome::Ok | Outcome::Error if !was_established => self.record_success(now, &endpoint),
            Outcome::Timeout | Outcome::ConnectFailed => self.record_failure(now, &endpoint, actions),
            Outcome::Reset if was_dropped => self.record_failure(now, &endpoint, actions),
            _ => {}
        }
        self.release(id);
        let Some(mut state) = self.requests.remove(&id) else { return };
        if closed || was_finished {
            return;
        }
        self.reset_after_attempt(&mut state, endpoint, outcome);
        if outcome == Outcome::NotSent {
            return self.reject_or_fail(state, actions);
        }
        self.requests.insert(id, state);
        self.route(now, id, actions);
    }

    /// Treats an endpoint that rejected an attempt or dropped a connection as full until its next report.
    ///
    /// Otherwise clients would move back and forth between overloaded endpoints and overload them further.
    fn record_overload(&mut self, now: Micros, endpoint: &EndpointId, was_dropped: bool) {
        let Some(record) = self.endpoints.get_mut(endpoint) else { return };
        if is_unreported(&self.settings) {
            self.throttle.record_loss(now);
            record.raise_load(now, load_after_failure(was_dropped));
        } else {
            record.raise_load(now, FULL_LOAD);
        }
    }

    /// Prepares a request for its next attempt after one has failed.
    fn reset_after_attempt(&self, state: &mut RequestState, endpoint: EndpointId, outcome: Outcome) {
        state.finished = false;
        state.attempt_endpoint = None;
        if !outcome.proves_not_run() && state.possible_run.is_none() {
            let known = self.endpoints.get(&endpoint).map(|record| &record.endpoint);
            state.possible_run = Some(PossibleRun {
                zone: known.and_then(|known| known.zone),
                cell: known.map_or(CellId(0), |known| known.cell),
                sent_at: state.sent_at,
            });
        }
        state.failed_endpoints.insert(endpoint);
    }
}
