//! Outlier detection: endpoints that fail are ejected, checked again, and recover at a pace.
//!
//! A failure without a sign of life in between is consecutive to the last. [`EJECTION_FAILURES`] of them
//! eject an endpoint: it gets no new connection until any sign of life. Where health checks are permitted,
//! these bring one. Where they are not, the endpoint gets a *trial* after a time: new connections again, at a
//! small fraction of its weight, until one attempt succeeds or fails. No I/O, no clock.

use crate::balancer::Balancer;
use crate::{Action, EndpointId, Micros, Settings};

/// Consecutive failures after which an endpoint is ejected.
pub const EJECTION_FAILURES: u32 = 2;
/// Consecutive failures after which an endpoint is unresponsive and its connections migrate.
pub const UNRESPONSIVE_FAILURES: u32 = 4;
/// Least delay before an endpoint that has failed is checked again; it doubles with each failure of an
/// unresponsive one.
const RECHECK_INTERVAL: Micros = 500_000;
/// The same for each balancer, so that the checks by all together do not grow with their number.
const RECHECK_INTERVAL_PER_BALANCER: Micros = 40_000;
/// The delay before a check doubles at most this many times.
const MAX_RECHECK_DOUBLINGS: u32 = 5;
/// Longest delay before an endpoint is checked again.
const MAX_RECHECK_INTERVAL: Micros = RECHECK_INTERVAL * 32;
/// An endpoint that was ejected regains its full weight over this time.
const RECOVERY_RAMP: Micros = 3_000_000;
/// Fraction of its weight at the beginning of the recovery ramp, and during a trial.
const MIN_RECOVERY_WEIGHT: f64 = 0.1;

/// Messages are slow from this fraction of the strictest latency objective on.
const SLOW_MESSAGE_FRACTION: f64 = 0.5;

/// What one balancer has seen of one endpoint's failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierDetector {
    consecutive_failures: u32,
    /// The endpoint gets new connections although it has failed too often.
    on_trial: bool,
    recheck_at: Micros,
    /// When it was last ejected no more, or its trial began.
    recovering_since: Option<Micros>,
}

impl OutlierDetector {
    /// Whether the endpoint gets no new connection.
    pub fn is_ejected(&self) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES && !self.on_trial
    }

    /// Whether it has failed so often that its connections are to migrate.
    pub fn is_unresponsive(&self) -> bool {
        self.consecutive_failures >= UNRESPONSIVE_FAILURES
    }

    /// Whether the last failure was the one that made it unresponsive.
    pub fn became_unresponsive(&self) -> bool {
        self.consecutive_failures == UNRESPONSIVE_FAILURES
    }

    /// Whether it is unresponsive, or would be after one more failure.
    pub fn is_nearly_unresponsive(&self) -> bool {
        self.consecutive_failures + 1 >= UNRESPONSIVE_FAILURES
    }

    /// Records a sign of life.
    pub fn record_success(&mut self, now: Micros) {
        if self.is_ejected() {
            self.recovering_since = Some(now);
        }
        self.consecutive_failures = 0;
        self.on_trial = false;
    }

    /// Records a failure without a sign of life; it ends a trial.
    pub fn record_failure(&mut self, now: Micros, settings: &Settings) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.on_trial = false;
        self.schedule_check(now, settings, self.consecutive_failures);
    }

    /// Records that it answers, if only with an error: the next check comes after the least delay.
    pub fn record_error_response(&mut self, now: Micros, settings: &Settings) {
        self.schedule_check(now, settings, 0);
    }

    fn schedule_check(&mut self, now: Micros, settings: &Settings, failures: u32) {
        let doublings = failures.saturating_sub(UNRESPONSIVE_FAILURES).min(MAX_RECHECK_DOUBLINGS);
        let fleet_interval = RECHECK_INTERVAL_PER_BALANCER * Micros::from(settings.fleet_size);
        let interval = RECHECK_INTERVAL.max(fleet_interval) << doublings;
        self.recheck_at = now + interval.min(MAX_RECHECK_INTERVAL);
    }

    /// Whether it has failed and is to be checked again now.
    pub fn is_check_due(&self, now: Micros) -> bool {
        self.consecutive_failures > 0 && now >= self.recheck_at
    }

    /// Starts a trial if it is ejected. Without one, an endpoint that may not be checked would stay ejected.
    pub fn start_trial(&mut self, now: Micros) {
        if self.is_ejected() {
            self.on_trial = true;
            self.recovering_since = Some(now);
        }
    }

    /// Fraction of its weight that it has now: 1, or less on trial and while it recovers.
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
    /// Records a sign of life of an endpoint.
    pub(crate) fn record_success(&mut self, now: Micros, id: &EndpointId) {
        if let Some(record) = self.endpoints.get_mut(id) {
            record.outlier_detector.record_success(now);
        }
    }

    /// Records a failure without a sign of life, and checks the endpoint at once.
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

    /// Takes the time that messages take at an endpoint; while they are slow, its load is checked and shed.
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
