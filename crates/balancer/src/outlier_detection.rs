//! Outlier detection: failing endpoints are ejected, checked again and recover gradually.
//!
//! Failures are consecutive if no success lies between them. After [`EJECTION_FAILURES`] consecutive
//! failures, an endpoint is ejected: it gets no new connections until a success. If health checks are
//! permitted, they find out when the endpoint responds again. If not, the endpoint gets a *trial* after some
//! time: it receives new connections at a small fraction of its weight until an attempt succeeds or fails.
//!
//! A success is a successful health check, an established connection, or an attempt that the endpoint
//! answers, even with an error. A rejection is neither a success nor a failure.

use crate::balancer::Balancer;
use crate::{Action, EndpointId, Micros, Settings};

/// Consecutive failures after which an endpoint is ejected.
pub const EJECTION_FAILURES: u32 = 2;
/// Consecutive failures after which an endpoint is unresponsive and its connections migrate.
pub const UNRESPONSIVE_FAILURES: u32 = 4;
/// Least delay before a failed endpoint is checked again. It doubles with each further failure of an
/// unresponsive endpoint.
const RECHECK_INTERVAL: Micros = 500_000;
/// Least delay before a failed endpoint is checked again, per balancer in the fleet, so that the total rate
/// of checks does not grow with the number of balancers.
const RECHECK_INTERVAL_PER_BALANCER: Micros = 40_000;
/// Maximum number of times that the delay before a check doubles.
const MAX_RECHECK_DOUBLINGS: u32 = 5;
/// Longest delay before an endpoint is checked again.
const MAX_RECHECK_INTERVAL: Micros = RECHECK_INTERVAL * 32;
/// Time over which an endpoint regains its full weight after an ejection.
const RECOVERY_RAMP: Micros = 3_000_000;
/// Fraction of its weight that an endpoint has at the beginning of its recovery and during a trial.
const MIN_RECOVERY_WEIGHT: f64 = 0.1;

/// Messages count as slow from this fraction of the strictest message latency objective on.
const SLOW_MESSAGE_FRACTION: f64 = 0.5;

/// Failure state of one endpoint as seen by one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierDetector {
    consecutive_failures: u32,
    /// Whether the endpoint gets new connections although it has reached the failures for an ejection.
    on_trial: bool,
    /// Earliest time of the next check after a failure.
    recheck_at: Micros,
    /// When the last ejection ended or the last trial began; `None` before the first one.
    recovering_since: Option<Micros>,
}

impl OutlierDetector {
    /// Returns whether the endpoint is ejected and gets no new connections.
    pub fn is_ejected(&self) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES && !self.on_trial
    }

    /// Returns whether the endpoint has failed so often that its connections should migrate.
    pub fn is_unresponsive(&self) -> bool {
        self.consecutive_failures >= UNRESPONSIVE_FAILURES
    }

    /// Returns whether the last failure made the endpoint unresponsive.
    pub fn became_unresponsive(&self) -> bool {
        self.consecutive_failures == UNRESPONSIVE_FAILURES
    }

    /// Returns whether the endpoint is unresponsive or would be after one more failure.
    pub fn is_nearly_unresponsive(&self) -> bool {
        self.consecutive_failures + 1 >= UNRESPONSIVE_FAILURES
    }

    /// Records a success, which ends an ejection or a trial.
    pub fn record_success(&mut self, now: Micros) {
        if self.is_ejected() {
            self.recovering_since = Some(now);
        }
        self.consecutive_failures = 0;
        self.on_trial = false;
    }

    /// Records a failure, which ends a trial.
    pub fn record_failure(&mut self, now: Micros, settings: &Settings) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.on_trial = false;
        self.schedule_check(now, settings, self.consecutive_failures);
    }

    /// Records that the endpoint responded with an error. The next check comes after the least delay.
    pub fn record_error_response(&mut self, now: Micros, settings: &Settings) {
        self.schedule_check(now, settings, 0);
    }

    fn schedule_check(&mut self, now: Micros, settings: &Settings, failures: u32) {
        let doublings = failures.saturating_sub(UNRESPONSIVE_FAILURES).min(MAX_RECHECK_DOUBLINGS);
        let fleet_interval = RECHECK_INTERVAL_PER_BALANCER * Micros::from(settings.fleet_size);
        let interval = RECHECK_INTERVAL.max(fleet_interval) << doublings;
        self.recheck_at = now + interval.min(MAX_RECHECK_INTERVAL);
    }

    /// Returns whether the endpoint has failed and should be checked again now.
    pub fn is_check_due(&self, now: Micros) -> bool {
        self.consecutive_failures > 0 && now >= self.recheck_at
    }

    /// Starts a trial if the endpoint is ejected. Without one, an endpoint that may not be checked would stay
    /// ejected.
    pub fn start_trial(&mut self, now: Micros) {
        if self.is_ejected() {
            self.on_trial = true;
            self.recovering_since = Some(now);
        }
    }

    /// Returns the current fraction of the endpoint's weight: less than 1 on trial and during recovery.
    pub fn weight_fraction(&self, now: Micros) -> f64 {
        match self.recovering_since {
            _ if self.on_trial => MIN_RECOVERY_WEIGHT,
            Some(since) => {
                let ramp = now.saturating_sub(since) as f64 / RECOVERY_RAMP as f64;
                ramp.clamp(MIN_RECOVERY_WEIGHT, 1.0)
            }
            None => 1.0,
        }
    }
}

impl Balancer {
    /// Records a success of an endpoint.
    pub(crate) fn record_success(&mut self, now: Micros, id: &EndpointId) {
        if let Some(record) = self.endpoints.get_mut(id) {
            record.outlier_detector.record_success(now);
        }
    }

    /// Records a failure of an endpoint. Checks the endpoint at once, or sheds its load when it becomes
    /// unresponsive.
    pub(crate) fn record_failure(&mut self, now: Micros, id: &EndpointId, actions: &mut Vec<Action>) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        record.outlier_detector.record_failure(now, &self.settings);
        let may_check = self.settings.permissions.health_checks && record.is_ready();
        if may_check && !record.outlier_detector.is_unresponsive() {
            record.check_health(now, actions);
        }
        if record.outlier_detector.became_unresponsive() {
            self.shed_load(now, id, actions);
        }
    }

    /// Records how long messages take at an endpoint. While they are slow, its load is checked and shed.
    pub(crate) fn record_message_latency(
        &mut self, now: Micros, id: &EndpointId, milliseconds: f64, actions: &mut Vec<Action>,
    ) {
        let objectives = self.settings.classes.iter().map(|class| class.message_latency_objective);
        let strictest = objectives.filter(|objective| *objective > 0).min().unwrap_or(Micros::MAX);
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if milliseconds * 1e3 < strictest as f64 * SLOW_MESSAGE_FRACTION {
            record.slow_messages_at = None;
            return;
        }
        record.slow_messages_at = Some(now);
        let may_check = self.settings.permissions.health_checks && record.health_check_sent_at.is_none();
        if may_check && !record.has_fresh_report(now) && record.is_ready() {
            record.check_health(now, actions);
        } else {
            self.shed_load(now, id, actions);
        }
    }
}
