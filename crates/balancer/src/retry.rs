//! Whether a request may be attempted again after an outcome.

use crate::admission::FULL;
use crate::balancer::Balancer;
use crate::request_state::Flow;
use crate::unreported_load::is_blind;
use crate::{
    Action, CellId, DeduplicationScope, Endpoint, EndpointId, Idempotency, LoadReport, Micros, Outcome,
    RequestId, unreported_load,
};

impl Balancer {
    /// The request's reach and the rules of repetition: whether it may be sent to this server now.
    pub(crate) fn may_send(&self, flow: &Flow, entry: &Endpoint, now: Micros) -> bool {
        let reach = flow.request.allowed_zones.contains(entry.zone);
        let Some((zone, cell, since)) = flow.may_have_run.filter(|_| reach) else { return reach };
        match self.class(flow).map(|c| c.idempotency) {
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
    pub(crate) fn may_refuse(&self, flow: &Flow) -> bool {
        let effect = self.class(flow).map(|c| c.idempotency);
        let harmless = matches!(
            effect,
            Some(
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
            )
        );
        harmless || flow.may_have_run.is_none()
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn take_outcome(
        &mut self, now: Micros, id: RequestId, outcome: Outcome, closed: bool, at: EndpointId,
        report: Option<LoadReport>, out: &mut Vec<Action>,
    ) {
        if let Some(report) = report {
            self.take_report(now, &at, &report);
        }
        let Some(flow) = self.flows.get(&id) else { return };
        let (stood, over, mid_flow) = (flow.standing, flow.over, flow.request.mid_flow);
        // One that turns away is up, and full. A jammed one drops connections: it is full until a report says
        // otherwise. Guards against clients that bounce between jammed servers, each adding to the jam.
        let dropped = outcome == Outcome::Reset && !mid_flow && !over;
        let blind = is_blind(&self.settings);
        if let Some(server) = self.servers.get_mut(&at).filter(|_| dropped || outcome == Outcome::Rejected) {
            let least = if blind { unreported_load::after_failure(dropped) } else { FULL };
            if blind {
                self.throttle.lost(now);
            }
            server.load = Some((server.load.map_or(least, |(load, _)| load.max(least)), now));
        }
        match outcome {
            Outcome::Ok | Outcome::Error if !stood => self.alive(now, &at),
            Outcome::Timeout | Outcome::ConnectFailed => self.strike(now, &at, out),
            Outcome::Reset if dropped => self.strike(now, &at, out),
            _ => {}
        }
        self.close(id);
        let Some(mut flow) = self.flows.remove(&id) else { return };
        if closed || over {
            return;
        }
        flow.over = false;
        flow.out = None;
        if !outcome.proves_not_run() && flow.may_have_run.is_none() {
            let entry = self.servers.get(&at).map(|s| &s.entry);
            flow.may_have_run =
                Some((entry.and_then(|e| e.zone), entry.map_or(CellId(0), |e| e.cell), flow.sent_at));
        }
        flow.tried.insert(at);
        if outcome == Outcome::NotSent {
            return self.finish(flow, out);
        }
        self.flows.insert(id, flow);
        self.route(now, id, out);
    }
}
