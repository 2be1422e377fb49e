//! Health checks made by this relay.

use honeyknot_balancer::{LoadReport, Micros, Outcome};
use honeyknot_gossip::{HealthCheckOutcome, HealthObservation};

/// The last health check of an endpoint by this relay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalCheck {
    /// When the last check started, in Unix microseconds.
    pub(crate) started_at: Micros,
    /// Result of the last check that ended; `None` if none has ended.
    pub(crate) result: Option<LocalResult>,
}

impl LocalCheck {
    /// Returns a check that starts now.
    pub(crate) fn started(now: Micros) -> LocalCheck {
        LocalCheck { started_at: now, result: None }
    }

    /// Returns the time since the last check started, in microseconds.
    pub(crate) fn elapsed(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }
}

/// Result of a health check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalResult {
    /// When the check ended, in Unix microseconds.
    pub(crate) ended_at: Micros,
    /// How the check ended.
    pub(crate) outcome: HealthCheckOutcome,
    /// Reported load over capacity; `None` if no load was reported.
    pub(crate) load: Option<f64>,
    /// Reported message latency, in milliseconds; `None` if no latency was reported.
    pub(crate) latency_ms: Option<f64>,
}

impl LocalResult {
    /// Creates the result of a check. Returns `None` if the check was cancelled or never sent.
    pub(crate) fn new(
        ended_at: Micros, outcome: Outcome, report: Option<&LoadReport>,
    ) -> Option<LocalResult> {
        let outcome = match outcome {
            Outcome::Ok | Outcome::Rejected => HealthCheckOutcome::Healthy,
            Outcome::Error => HealthCheckOutcome::Failing,
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => HealthCheckOutcome::Unresponsive,
            Outcome::Cancelled | Outcome::NotSent => return None,
        };
        let load = report.and_then(|report| report.load);
        let latency_ms = report.and_then(|report| report.latency_ms);
        Some(LocalResult { ended_at, outcome, load, latency_ms })
    }

    /// Returns the observation of the endpoint to publish.
    pub(crate) fn observation(&self, now: Micros, endpoint: u32) -> HealthObservation {
        let to_percent = |load: f64| (load * 100.0).round().clamp(0.0, 255.0) as u8;
        let to_whole_ms = |latency_ms: f64| latency_ms.round().clamp(0.0, f64::from(u16::MAX)) as u16;
        HealthObservation {
            endpoint,
            outcome: self.outcome,
            load_percent: self.load.map(to_percent),
            latency_ms: self.latency_ms.map(to_whole_ms),
            age_ms: (self.age(now) / 1_000) as u16,
        }
    }

    /// Returns the time since the check ended, in microseconds.
    pub(crate) fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.ended_at)
    }
}
