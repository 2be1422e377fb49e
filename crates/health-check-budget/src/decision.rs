//! The answer to a requested health check.

use honeyknot_balancer::{LoadReport, Outcome};
use honeyknot_gossip::{AggregatedHealth, HealthCheckOutcome};

/// Whether a requested health check is made.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthCheckDecision {
    /// The relay makes the check.
    Check,
    /// The relay uses this result and makes no check.
    Known {
        /// The outcome; [`Outcome::Cancelled`] if none is known.
        outcome: Outcome,
        /// The load report; `None` without any reported value.
        report: Option<LoadReport>,
    },
}

impl HealthCheckDecision {
    /// Makes no check although no result is known, which does not count as a failure.
    pub(crate) const NOT_CHECKED: HealthCheckDecision =
        HealthCheckDecision::Known { outcome: Outcome::Cancelled, report: None };

    /// Uses this result.
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
