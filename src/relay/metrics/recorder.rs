//! Records the relay's events in its [`MetricsRegistry`].

use honeyknot_balancer::{AttemptId, ClassId, EndpointId, Micros, Outcome};
use honeyknot_metrics::{MetricFamily, MetricsConfig, MetricsRegistry};

use super::labels::{
    ConnectionEndReason, Direction, FailureCause, RejectionReason, attempt_outcome_label,
    health_check_outcome_label,
};
use crate::relay::Relay;
use crate::relay::connections::protocol::OpenRequest;
use crate::settings::NameTable;

/// The largest number of values of a dynamic tag if no operator file sets one.
const DEFAULT_SERIES_CAP: usize = 256;
/// The metric families that are counted by request class.
pub(super) const CLASS_FAMILIES: [MetricFamily; 4] = [
    MetricFamily::ConnectionsSucceeded,
    MetricFamily::ConnectionsRejected,
    MetricFamily::ConnectionsAborted,
    MetricFamily::AttemptsForwarded,
];

/// Creates a relay's registry, with the series of each request class.
pub(in crate::relay) fn new_registry(config: &Option<MetricsConfig>, names: &NameTable) -> MetricsRegistry {
    let mut metrics =
        MetricsRegistry::new(config.as_ref().map_or(DEFAULT_SERIES_CAP, |config| config.series_cap));
    for class in names.classes() {
        CLASS_FAMILIES.iter().for_each(|family| metrics.register_dynamic(*family, class));
    }
    metrics
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum RequestResult {
    /// It was answered with the endpoint's `UP`.
    Established,
    /// It was answered with `BUSY`.
    Rejected,
    /// It got another answer, or none because the client disconnected first.
    Failed,
}

impl Relay {
    /// Applies an update to the registry.
    pub(in crate::relay) fn update_metrics(&mut self, update: impl FnOnce(&mut MetricsRegistry)) {
        update(&mut self.metrics);
    }

    /// Records the answer to a request by its class. A request without a known class is not recorded.
    pub(in crate::relay) fn record_request_result(&mut self, class: Option<ClassId>, result: RequestResult) {
        let family = match result {
            RequestResult::Established => MetricFamily::ConnectionsSucceeded,
            RequestResult::Rejected => MetricFamily::ConnectionsRejected,
            RequestResult::Failed => MetricFamily::ConnectionsAborted,
        };
        self.record_class(class, family);
    }

    /// Records the answer to a request that was never registered at the relay.
    pub(in crate::relay) fn record_unregistered_result(
        &mut self, request: &OpenRequest, result: RequestResult,
    ) {
        self.record_request_result(self.class(request), result);
    }

    /// Records that a request was completely written to an endpoint.
    pub(in crate::relay) fn record_forwarded(&mut self, request: &OpenRequest) {
        self.record_class(self.class(request), MetricFamily::AttemptsForwarded);
    }

    fn class(&self, request: &OpenRequest) -> Option<ClassId> {
        self.names.class(request.class()?)
    }

    fn record_class(&mut self, class: Option<ClassId>, family: MetricFamily) {
        if let Some(name) = class.and_then(|class| self.names.classes().get(class.0)) {
            self.metrics.add_dynamic(family, name, 1);
        }
    }

    /// Records that a request was answered with `BUSY`. `latency` is the time to the answer in microseconds,
    /// if it is known.
    pub(in crate::relay) fn record_rejected(&mut self, reason: RejectionReason, latency: Option<Micros>) {
        self.update_metrics(|metrics| {
            metrics.increment(MetricFamily::RequestsRejected, reason.label());
            latency.iter().for_each(|us| metrics.record(MetricFamily::RejectionLatency, *us));
        });
    }

    /// Records that a request was answered with `ERR`.
    pub(in crate::relay) fn record_failed(&mut self, cause: FailureCause) {
        self.update_metrics(|metrics| metrics.increment(MetricFamily::RequestsFailed, cause.label()));
    }

    /// Records the start of an attempt by the endpoint's zone.
    pub(in crate::relay) fn record_attempt_started(&mut self, attempt: AttemptId, endpoint: &EndpointId) {
        let zone = self.endpoints.zone(endpoint).and_then(|zone| self.names.zones().get(zone.0));
        self.metrics.add(MetricFamily::Retries, 0, u64::from(attempt.0 > 0));
        self.metrics.add_dynamic(MetricFamily::AttemptsByZone, zone.map_or("none", String::as_str), 1);
    }

    /// Records an established connection and its setup latency in microseconds.
    pub(in crate::relay) fn record_established(&mut self, latency: Micros) {
        self.update_metrics(|metrics| {
            metrics.increment(MetricFamily::Attempts, "up");
            metrics.add(MetricFamily::Established, 0, 1);
            metrics.record(MetricFamily::SetupLatency, latency);
        });
    }

    /// Records the end of an attempt that established no connection.
    pub(in crate::relay) fn record_attempt_ended(&mut self, outcome: Outcome) {
        self.update_metrics(|metrics| {
            metrics.increment(MetricFamily::Attempts, attempt_outcome_label(outcome))
        });
    }

    /// Records the end of an established connection.
    pub(in crate::relay) fn record_connection_ended(&mut self, reason: ConnectionEndReason) {
        self.update_metrics(|metrics| metrics.increment(MetricFamily::ConnectionsEnded, reason.label()));
    }

    /// Records relayed bytes of a connection.
    pub(in crate::relay) fn record_bytes(&mut self, direction: Direction, count: usize) {
        self.update_metrics(|metrics| {
            metrics.add(MetricFamily::BytesRelayed, direction.index(), count as u64)
        });
    }

    /// Records that a connection migrated because its endpoint was silent.
    pub(in crate::relay) fn record_silent_migration(&mut self) {
        self.update_metrics(|metrics| metrics.increment(MetricFamily::Migrations, "silent"));
    }

    /// Records a health check and its duration in microseconds.
    pub(in crate::relay) fn record_health_check(&mut self, outcome: Outcome, latency: Micros) {
        self.update_metrics(|metrics| {
            metrics.increment(MetricFamily::HealthChecks, health_check_outcome_label(outcome));
            metrics.record(MetricFamily::HealthCheckLatency, latency);
        });
    }
}
