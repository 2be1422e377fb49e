//! What a balancer knows of one endpoint.

use std::collections::{BTreeSet, VecDeque};

use crate::migration::MovePlan;
use crate::outlier_detection::Health;
use crate::slow_start::Slots;
use crate::{Action, Endpoint, EndpointState, Micros, RequestId};

/// A report younger than this is as good as a probe: servers refresh theirs about as often.
pub(crate) const FRESH: Micros = 800_000;
/// Slow messages are told of about every second while they last.
pub(crate) const SLOW: Micros = 2_500_000;

/// A line of the table, with what this balancer knows of the server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: Endpoint,
    pub(crate) hash: u64,
    /// Load over capacity as last reported, and when.
    pub(crate) load: Option<(f64, Micros)>,
    pub(crate) inflight: Option<f64>,
    /// Own placements that the report may not show yet: when, and how many usual connections each is worth.
    pub(crate) recent: VecDeque<(Micros, f64)>,
    /// Own standing connections.
    pub(crate) standing: BTreeSet<RequestId>,
    pub(crate) health: Health,
    pub(crate) probe_sent: Option<Micros>,
    /// When this balancer was told that it leaves.
    pub(crate) leaving: Option<Micros>,
    /// When messages there were last said to be slow.
    pub(crate) slow_at: Option<Micros>,
    pub(crate) shed_after: Micros,
    pub(crate) moves: Option<MovePlan>,
    pub(crate) slots: Slots,
}

impl Server {
    pub(crate) fn ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Sends a probe unless one is out.
    pub(crate) fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.probe_sent.is_none() {
            self.probe_sent = Some(now);
            out.push(Action::CheckHealth(self.entry.id.clone()));
        }
    }

    pub(crate) fn size(&self) -> f64 {
        if self.entry.weight.is_finite() { self.entry.weight.max(1e-3) } else { 1.0 }
    }

    pub(crate) fn fresh(&self, now: Micros) -> bool {
        self.load.is_some_and(|(_, at)| now.saturating_sub(at) < FRESH)
    }

    /// Its messages were slow a moment ago. Guards against sending to a server whose load has fallen below
    /// its capacity while the work piled up before keeps every message late.
    pub(crate) fn slow(&self, now: Micros) -> bool {
        self.slow_at.is_some_and(|at| now.saturating_sub(at) < SLOW)
    }
}
