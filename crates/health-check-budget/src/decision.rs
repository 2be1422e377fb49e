//! The decision on a requested health check.

use honeyknot_balancer::{LoadReport, Outcome};
use honeyknot_gossip::{AggregatedHealth, HealthCheckOutcome};

/// Whether this relay makes a requested health check.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthCheckDecision {
    /// The relay must make the check.
    Check,
    /// The relay must not make the check, and uses this result instead.
    Known {
        /// The known outcome; [`Outcome::Cancelled`] if no result is known.
        outcome: Outcome,
        /// The known load report; `None` if no value was reported.
        report: Option<LoadReport>,
    },
}

impl HealthCheckDecision {
    /// No check is made although no result is known. The outcome does not count as a failure.
    pub(crate) const NOT_CHECKED: HealthCheckDecision =
        HealthCheckDecision::Known { outcome: Outcome::Cancelled, report: None };

    /// Returns the decision to use a known result.
    pub(crate) fn known(outcome: HealthCheckOutcome, load: Option<f64>, latency_ms: Option<f64>) -> Self {
        let outcome = match outcome {
            HealthCheckOutcome::Healthy => Outcome::Ok,
            HealthCheckOutcome::Failing => Outcome::Error,
            HealthCheckOutcome::Unresponsive => Outcome::Timeout,
        };
        let has_report = load.is_some() || latency_ms.is_some();
        let report = has_report.then(|| LoadReport { load, latency_ms, ..LoadReport::default() });
        HealthCheckDecision::Known { outcome, report }
    }
}

impl From<AggregatedHealth> for HealthCheckDecision {
    fn from(health: AggregatedHealth) -> HealthCheckDecision {
        HealthCheckDecision::known(health.outcome, health.load, health.latency_ms)
    }
}
