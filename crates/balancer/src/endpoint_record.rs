//! What a balancer knows of one endpoint.

use std::collections::{BTreeSet, VecDeque};

use crate::health_check::MAX_HEALTH_CHECK_WAIT;
use crate::migration::MigrationPlan;
use crate::outlier_detection::OutlierDetector;
use crate::slow_start::SlowStartBudget;
use crate::{Action, Endpoint, EndpointState, Micros, RequestId};

/// A load report younger than this makes a health check needless; endpoints refresh theirs about as often.
const MAX_FRESH_REPORT_AGE: Micros = 800_000;
/// An endpoint counts as slow for this long after a report of slow messages. While messages stay slow, such
/// reports come about every second.
const SLOW_MESSAGES_MEMORY: Micros = 2_500_000;
/// Least weight of an endpoint, whatever discovery says.
const MIN_WEIGHT: f64 = 1e-3;

/// An endpoint's load over its capacity at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) load: f64,
    pub(crate) at: Micros,
}

/// A connection that this balancer has placed on an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) at: Micros,
    /// The connection's load in loads of a mean connection.
    pub(crate) relative_load: f64,
}

/// An endpoint of the endpoint list, with what this balancer has seen of it.
#[derive(Debug, Default)]
pub(crate) struct EndpointRecord {
    /// The endpoint as discovery last reported it.
    pub(crate) endpoint: Endpoint,
    /// Hash of the endpoint's id, for rendezvous hashing.
    pub(crate) id_hash: u64,
    pub(crate) reported_load: Option<ReportedLoad>,
    /// Requests or connections that it holds, by its last report.
    pub(crate) reported_inflight: Option<f64>,
    /// This balancer's placements that the last report may not show yet, oldest first.
    pub(crate) recent_placements: VecDeque<Placement>,
    /// This balancer's established connections.
    pub(crate) connections: BTreeSet<RequestId>,
    pub(crate) outlier_detector: OutlierDetector,
    /// When the health check that is in flight was sent.
    pub(crate) health_check_sent_at: Option<Micros>,
    /// When this balancer learnt that the endpoint drains or is removed.
    pub(crate) leaving_since: Option<Micros>,
    /// When its messages were last reported to be slow.
    pub(crate) slow_messages_at: Option<Micros>,
    /// It sheds no load before this time.
    pub(crate) next_shed_at: Micros,
    pub(crate) migration: Option<MigrationPlan>,
    pub(crate) slow_start: SlowStartBudget,
}

impl EndpointRecord {
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Whether it is ready and not ejected.
    pub(crate) fn is_available(&self) -> bool {
        self.is_ready() && !self.outlier_detector.is_ejected()
    }

    /// Sends a health check unless one is in flight.
    pub(crate) fn check_health(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.health_check_sent_at.is_none() {
            self.health_check_sent_at = Some(now);
            actions.push(Action::CheckHealth(self.endpoint.id.clone()));
        }
    }

    /// Whether a health check has been in flight for longer than a request waits for one.
    pub(crate) fn is_health_check_overdue(&self, now: Micros) -> bool {
        self.health_check_sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) >= MAX_HEALTH_CHECK_WAIT)
    }

    /// Its capacity against that of other endpoints, always positive.
    pub(crate) fn capacity(&self) -> f64 {
        if self.endpoint.weight.is_finite() { self.endpoint.weight.max(MIN_WEIGHT) } else { 1.0 }
    }

    pub(crate) fn has_fresh_report(&self, now: Micros) -> bool {
        self.reported_load.is_some_and(|report| now.saturating_sub(report.at) < MAX_FRESH_REPORT_AGE)
    }

    /// Whether its messages were slow a moment ago.
    ///
    /// An endpoint's load may have fallen below its capacity while work that piled up before still keeps
    /// every message late.
    pub(crate) fn has_slow_messages(&self, now: Micros) -> bool {
        self.slow_messages_at.is_some_and(|at| now.saturating_sub(at) < SLOW_MESSAGES_MEMORY)
    }

    /// Takes its load to be `load` or more from now on, until a report says otherwise.
    pub(crate) fn raise_load(&mut self, now: Micros, load: f64) {
        let raised = self.reported_load.map_or(load, |report| report.load.max(load));
        self.reported_load = Some(ReportedLoad { load: raised, at: now });
    }
}
