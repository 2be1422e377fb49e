//! The relay's statistics for the `stats` admin command, and its gauges.

use honeyknot_balancer::Micros;
use honeyknot_metrics::{MetricFamily, MetricsSnapshot};
use serde_json::json;

use super::recorder::CLASS_FAMILIES;
use crate::relay::Relay;

const MICROS_PER_SECOND: Micros = 1_000_000;

impl Relay {
    /// Returns the answer to the `stats` admin command: one line of JSON.
    pub(in crate::relay) fn stats(&self) -> String {
        let count = |family, class: &String| self.metrics.total_since_start(family, class);
        let class_results = |class: &String| {
            let [succeeded, declined, aborted, forwards] = CLASS_FAMILIES.map(|family| count(family, class));
            let results = json!({"succeeded": succeeded, "declined": declined, "aborted": aborted, "forwards": forwards});
            (class.clone(), results)
        };
        let classes = self.names.classes();
        let results: serde_json::Map<_, _> = classes.iter().map(class_results).collect();
        json!({
            "results": results,
            "forwards": classes.iter().map(|class| count(MetricFamily::AttemptsForwarded, class)).sum::<u64>(),
            "outstanding": self.connection_ids.open_count(),
            "discovered": self.maintenance.endpoint_count(),
            "ejected": self.maintenance.count_excluded(self.balancer.ejected_endpoints()),
            "list": {
                "state": self.discovery_state.as_str(),
                "version": self.endpoint_list_version,
                "answered": self.has_discovery_answered(),
                "heard_ms_ago": self.timers.clock.now().saturating_sub(self.discovery_answered_at) / 1_000,
            },
        })
        .to_string()
    }

    /// Updates the gauges and returns a snapshot of all metrics.
    pub(super) fn metrics_snapshot(&mut self) -> MetricsSnapshot {
        let now = self.timers.clock.now();
        let (established, pending_requests) = self.open_connections();
        let discovery_age = now.saturating_sub(self.discovery_answered_at);
        let gauges = [
            (MetricFamily::EstablishedConnections, established.len() as f64),
            (MetricFamily::PendingRequests, pending_requests as f64),
            (MetricFamily::DescriptorsInUse, self.descriptors_in_use.get() as f64),
            (MetricFamily::IdleConnections, self.idle_connections.len() as f64),
            (MetricFamily::EndpointListVersion, self.endpoint_list_version as f64),
            (MetricFamily::DiscoveryAge, discovery_age as f64 / MICROS_PER_SECOND as f64),
            (MetricFamily::StartedAt, (self.started_at / MICROS_PER_SECOND) as f64),
        ];
        for (family, value) in gauges {
            self.metrics.set(family, value);
        }
        self.metrics.snapshot(now)
    }
}
