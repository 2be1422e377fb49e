//! State that a balancer keeps for one endpoint.

use std::collections::{BTreeSet, VecDeque};

use crate::health_check::MAX_HEALTH_CHECK_WAIT;
use crate::migration::MigrationPlan;
use crate::outlier_detection::OutlierDetector;
use crate::slow_start::SlowStartBudget;
use crate::{Action, Endpoint, EndpointState, Micros, RequestId};

/// A load report younger than this makes a health check unnecessary. It is about the interval at which
/// endpoints refresh their reports.
const MAX_FRESH_REPORT_AGE: Micros = 800_000;
/// An endpoint counts as slow for this long after slow messages were reported. While messages stay slow, such
/// reports arrive about once a second.
const SLOW_MESSAGES_TIMEOUT: Micros = 2_500_000;
/// Lower limit of an endpoint's weight, whatever discovery reports.
const MIN_WEIGHT: f64 = 1e-3;

/// An endpoint's load as a fraction of its capacity, and when it was reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) load: f64,
    pub(crate) received_at: Micros,
}

/// A connection that this balancer has placed on an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) placed_at: Micros,
    /// Load of the connection as a multiple of a mean connection's load.
    pub(crate) relative_load: f64,
}

/// An endpoint of the endpoint list and this balancer's observations of it.
#[derive(Debug, Default)]
pub(crate) struct EndpointRecord {
    /// The endpoint as discovery last reported it.
    pub(crate) endpoint: Endpoint,
    /// Hash of the endpoint's id, for rendezvous hashing.
    pub(crate) id_hash: u64,
    /// Load from the last report, possibly raised after a failure; `None` before the first report or failure.
    pub(crate) reported_load: Option<ReportedLoad>,
    /// Number of requests or connections in flight in the last report; `None` if not reported.
    pub(crate) reported_inflight: Option<f64>,
    /// This balancer's placements that the last report may not include yet, oldest first.
    pub(crate) recent_placements: VecDeque<Placement>,
    /// This balancer's established connections to the endpoint.
    pub(crate) connections: BTreeSet<RequestId>,
    pub(crate) outlier_detector: OutlierDetector,
    /// When the health check in flight was sent; `None` if none is in flight.
    pub(crate) health_check_sent_at: Option<Micros>,
    /// When this balancer learned that the endpoint is draining or removed; `None` while it is neither.
    pub(crate) leaving_since: Option<Micros>,
    /// When slow messages were last reported; `None` if none were, or if messages have been fast since.
    pub(crate) slow_messages_at: Option<Micros>,
    /// The endpoint sheds no load before this time.
    pub(crate) next_shed_at: Micros,
    /// Connections still to migrate away; `None` if no migration is in progress.
    pub(crate) migration: Option<MigrationPlan>,
    pub(crate) slow_start: SlowStartBudget,
}

impl EndpointRecord {
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Returns whether the endpoint is ready and not ejected.
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

    /// Returns whether the health check in flight has taken longer than a request waits for one.
    pub(crate) fn is_health_check_overdue(&self, now: Micros) -> bool {
        self.health_check_sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) >= MAX_HEALTH_CHECK_WAIT)
    }

    /// Returns the endpoint's capacity relative to other endpoints, which is always positive.
    pub(crate) fn capacity(&self) -> f64 {
        if self.endpoint.weight.is_finite() { self.endpoint.weight.max(MIN_WEIGHT) } else { 1.0 }
    }

    pub(crate) fn has_fresh_report(&self, now: Micros) -> bool {
        self.reported_load.is_some_and(|report| now.saturating_sub(report.received_at) < MAX_FRESH_REPORT_AGE)
    }

    /// Returns whether the endpoint's messages were slow recently.
    ///
    /// Messages can still be late after the load has fallen below capacity, because work that queued up
    /// before delays them.
    pub(crate) fn has_slow_messages(&self, now: Micros) -> bool {
        self.slow_messages_at
            .is_some_and(|reported_at| now.saturating_sub(reported_at) < SLOW_MESSAGES_TIMEOUT)
    }

    /// Assumes a load of at least `load` until the next report.
    pub(crate) fn raise_load(&mut self, now: Micros, load: f64) {
        let raised = self.reported_load.map_or(load, |report| report.load.max(load));
        self.reported_load = Some(ReportedLoad { load: raised, received_at: now });
    }
}
