//! Whether a request may be attempted again after an outcome.

use crate::admission::FULL_LOAD;
use crate::balancer::Balancer;
use crate::request_state::RequestState;
use crate::unreported_load::is_unreported;
use crate::{
    Action, CellId, DeduplicationScope, Endpoint, EndpointId, Idempotency, LoadReport, Micros, Outcome,
    RequestId, unreported_load,
};

impl Balancer {
    /// The request's reach and the rules of repetition: whether it may be sent to this endpoint now.
    pub(crate) fn may_send(&self, state: &RequestState, entry: &Endpoint, now: Micros) -> bool {
        let reach = state.request.allowed_zones.contains(entry.zone);
        let Some((zone, cell, since)) = state.possible_run.filter(|_| reach) else { return reach };
        match self.class(state).map(|c| c.idempotency) {
            Some(Idempotency::Idempotent) => true,
            Some(Idempotency::IdempotencyKey { scope, window }) => {
                let within = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => entry.zone == zone,
                    DeduplicationScope::Cell => entry.cell == cell && entry.zone == zone,
                };
                within && now.saturating_sub(since) < window
            }
            _ => false,
        }
    }

    /// Whether a refusal, which tells the client that a repeat is harmless, would be true.
    pub(crate) fn may_reject(&self, state: &RequestState) -> bool {
        let effect = self.class(state).map(|c| c.idempotency);
        let harmless = matches!(
            effect,
            Some(
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
            )
        );
        harmless || state.possible_run.is_none()
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn attempt_ended(
        &mut self, now: Micros, id: RequestId, outcome: Outcome, closed: bool, at: EndpointId,
        report: Option<LoadReport>, out: &mut Vec<Action>,
    ) {
        if let Some(report) = report {
            self.record_report(now, &at, &report);
        }
        let Some(state) = self.requests.get(&id) else { return };
        let (stood, over, mid_flow) = (state.connection_established, state.finished, state.request.mid_flow);
        // One that turns away is up, and full. A jammed one drops connections: it is full until a report says
        // otherwise. Guards against clients that bounce between jammed endpoints, each adding to the jam.
        let dropped = outcome == Outcome::Reset && !mid_flow && !over;
        let blind = is_unreported(&self.settings);
        if let Some(record) = self.endpoints.get_mut(&at).filter(|_| dropped || outcome == Outcome::Rejected)
        {
            let least = if blind { unreported_load::load_after_failure(dropped) } else { FULL_LOAD };
            if blind {
                self.throttle.record_loss(now);
            }
            record.reported_load =
                Some((record.reported_load.map_or(least, |(load, _)| load.max(least)), now));
        }
        match outcome {
            Outcome::Ok | Outcome::Error if !stood => self.record_success(now, &at),
            Outcome::Timeout | Outcome::ConnectFailed => self.record_failure(now, &at, out),
            Outcome::Reset if dropped => self.record_failure(now, &at, out),
            _ => {}
        }
        self.release(id);
        let Some(mut state) = self.requests.remove(&id) else { return };
        if closed || over {
            return;
        }
        state.finished = false;
        state.attempt_endpoint = None;
        if !outcome.proves_not_run() && state.possible_run.is_none() {
            let entry = self.endpoints.get(&at).map(|s| &s.endpoint);
            state.possible_run =
                Some((entry.and_then(|e| e.zone), entry.map_or(CellId(0), |e| e.cell), state.sent_at));
        }
        state.failed_endpoints.insert(at);
        if outcome == Outcome::NotSent {
            return self.reject_or_fail(state, out);
        }
        self.requests.insert(id, state);
        self.route(now, id, out);
    }
}
