//! What a balancer knows of one endpoint.

use std::collections::{BTreeSet, VecDeque};

use crate::migration::MigrationPlan;
use crate::outlier_detection::OutlierDetector;
use crate::slow_start::SlowStartBudget;
use crate::{Action, Endpoint, EndpointState, Micros, RequestId};

/// A report younger than this is as good as a probe: endpoints refresh theirs about as often.
pub(crate) const MAX_FRESH_REPORT_AGE: Micros = 800_000;
/// Slow messages are told of about every second while they last.
pub(crate) const SLOW_MESSAGES_MEMORY: Micros = 2_500_000;

/// A line of the table, with what this balancer knows of the endpoint.
#[derive(Default)]
pub(crate) struct EndpointRecord {
    pub(crate) endpoint: Endpoint,
    pub(crate) id_hash: u64,
    /// Load over capacity as last reported, and when.
    pub(crate) reported_load: Option<(f64, Micros)>,
    pub(crate) reported_inflight: Option<f64>,
    /// Own placements that the report may not show yet: when, and how many usual connections each is worth.
    pub(crate) recent_placements: VecDeque<(Micros, f64)>,
    /// Own standing connections.
    pub(crate) connections: BTreeSet<RequestId>,
    pub(crate) outlier_detector: OutlierDetector,
    pub(crate) health_check_sent_at: Option<Micros>,
    /// When this balancer was told that it leaves.
    pub(crate) leaving_since: Option<Micros>,
    /// When messages there were last said to be slow.
    pub(crate) slow_messages_at: Option<Micros>,
    pub(crate) next_shed_at: Micros,
    pub(crate) migration: Option<MigrationPlan>,
    pub(crate) slow_start: SlowStartBudget,
}

impl EndpointRecord {
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Sends a probe unless one is out.
    pub(crate) fn check_health(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.health_check_sent_at.is_none() {
            self.health_check_sent_at = Some(now);
            out.push(Action::CheckHealth(self.endpoint.id.clone()));
        }
    }

    pub(crate) fn capacity(&self) -> f64 {
        if self.endpoint.weight.is_finite() { self.endpoint.weight.max(1e-3) } else { 1.0 }
    }

    pub(crate) fn has_fresh_report(&self, now: Micros) -> bool {
        self.reported_load.is_some_and(|(_, at)| now.saturating_sub(at) < MAX_FRESH_REPORT_AGE)
    }

    /// Its messages were slow a moment ago. Guards against sending to an endpoint whose load has fallen below
    /// its capacity while the work piled up before keeps every message late.
    pub(crate) fn has_slow_messages(&self, now: Micros) -> bool {
        self.slow_messages_at.is_some_and(|at| now.saturating_sub(at) < SLOW_MESSAGES_MEMORY)
    }
}
