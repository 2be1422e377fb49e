//! Whether an endpoint looks ill to one balancer: strikes, the time to ask again, the way back.
//!
//! Failures without a sign of life are strikes. [`EJECTION_FAILURES`] in a row make a suspect, which gets
//! nothing new. It comes back by any sign of life. Where it may be probed, a probe brings that; where it may
//! not, it gets a *turn* once its time is up: newcomers again, at a small part of its weight, until one
//! attempt tells. No I/O, no clock; the caller says what happened.

use crate::balancer::Balancer;
use crate::load_estimate::REPORT_LAG;
use crate::migration::SHED_DURATION;
use crate::{Action, EndpointId, Micros, Settings};

/// Time-outs and failures in a row after which an endpoint gets nothing new.
pub const EJECTION_FAILURES: u32 = 2;
/// Strikes in a row after which its connections are moved.
pub const UNRESPONSIVE_FAILURES: u32 = 4;
/// First wait before a suspect is asked again; it doubles up to 32 times this.
const RECHECK_INTERVAL: Micros = 500_000;
/// ... or after this for each balancer: all together ask a suspect at a pace that does not grow with them.
const RECHECK_INTERVAL_PER_BALANCER: Micros = 40_000;
/// An endpoint that answers again is led back to its full weight over this time.
const RECOVERY_RAMP: Micros = 3_000_000;

/// What one balancer has seen of one endpoint's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierDetector {
    /// Failures in a row without a sign of life.
    consecutive_failures: u32,
    /// A suspect that has its turn, as it may not be probed.
    on_trial: bool,
    recheck_at: Micros,
    recovering_since: Option<Micros>,
}

impl OutlierDetector {
    /// It gets nothing new.
    pub fn is_ejected(&self) -> bool {
        self.consecutive_failures >= EJECTION_FAILURES && !self.on_trial
    }

    /// It has failed so often that what stands there is to move.
    pub fn is_unresponsive(&self) -> bool {
        self.consecutive_failures >= UNRESPONSIVE_FAILURES
    }

    /// The last strike was the one that made it silent.
    pub fn became_unresponsive(&self) -> bool {
        self.consecutive_failures == UNRESPONSIVE_FAILURES
    }

    /// One more strike would make it silent, or it is.
    pub fn is_nearly_unresponsive(&self) -> bool {
        self.consecutive_failures + 1 >= UNRESPONSIVE_FAILURES
    }

    /// A sign of life.
    pub fn record_success(&mut self, now: Micros) {
        if self.is_ejected() {
            self.recovering_since = Some(now);
        }
        (self.consecutive_failures, self.on_trial) = (0, false);
    }

    /// A failure that may mean that it is silent. It ends a turn.
    pub fn record_failure(&mut self, now: Micros, settings: &Settings) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.on_trial = false;
        self.schedule_check(now, settings);
    }

    /// It is asked again later, the later the longer it has been silent.
    pub fn schedule_check(&mut self, now: Micros, settings: &Settings) {
        let doubled = self.consecutive_failures.saturating_sub(UNRESPONSIVE_FAILURES).min(5);
        let all = RECHECK_INTERVAL_PER_BALANCER * Micros::from(settings.fleet_size);
        self.recheck_at = now + (RECHECK_INTERVAL.max(all) << doubled).min(RECHECK_INTERVAL * 32);
    }

    /// It answers, if only with errors: it is asked again after the first wait.
    pub fn record_error_response(&mut self, now: Micros, settings: &Settings) {
        let consecutive_failures = std::mem::take(&mut self.consecutive_failures);
        self.schedule_check(now, settings);
        self.consecutive_failures = consecutive_failures;
    }

    /// Whether it is to be asked whether it lives.
    pub fn check_due(&self, now: Micros) -> bool {
        self.consecutive_failures > 0 && now >= self.recheck_at
    }

    /// Lets a suspect that may not be probed have its turn. Guards against two failures that end an endpoint
    /// for good.
    pub fn start_trial(&mut self, now: Micros) {
        if self.is_ejected() {
            (self.on_trial, self.recovering_since) = (true, Some(now));
        }
    }

    /// The part of its weight that it has: all, or less after it came back.
    pub fn weight_fraction(&self, now: Micros) -> f64 {
        let part = |at| (now.saturating_sub(at) as f64 / RECOVERY_RAMP as f64).clamp(0.1, 1.0);
        // What a turn brings is not known yet: it stays at the least.
        if self.on_trial { 0.1 } else { self.recovering_since.map_or(1.0, part) }
    }
}

/// At most this part of the ready endpoints may be held silent; beyond it the fault lies elsewhere.
pub(crate) const MAX_UNRESPONSIVE_FRACTION: f64 = 0.34;
/// An endpoint whose load exceeds this sheds connections ...
pub(crate) const SHED_THRESHOLD: f64 = 0.9;
/// ... down to this load ...
pub(crate) const SHED_TARGET: f64 = 0.7;
/// ... or this one, and twice as often, where the others have room for all that it holds ...
pub(crate) const SHED_TARGET_WITH_SPARE_CAPACITY: f64 = 0.45;
/// ... and not again before reports can show the effect.
pub(crate) const SHED_INTERVAL: Micros = 4_000_000;
/// Part of the connections that an endpoint sheds of which only slow messages tell.
pub(crate) const SHED_FRACTION_UNREPORTED: f64 = 0.15;

impl Balancer {
    pub(crate) fn record_success(&mut self, now: Micros, id: &EndpointId) {
        if let Some(record) = self.endpoints.get_mut(id) {
            record.outlier_detector.record_success(now);
        }
    }

    /// A failure that may mean the endpoint is silent: it is asked at once whether it lives.
    pub(crate) fn record_failure(&mut self, now: Micros, id: &EndpointId, out: &mut Vec<Action>) {
        let Some(record) = self.endpoints.get_mut(id) else { return };
        record.outlier_detector.record_failure(now, &self.settings);
        if self.settings.permissions.health_checks
            && record.is_ready()
            && !record.outlier_detector.is_unresponsive()
        {
            record.check_health(now, out);
        }
        if record.outlier_detector.became_unresponsive() {
            self.shed_load(now, id, out);
        }
    }

    /// An endpoint stays silent, or its messages crawl: move its connections away, all or some.
    pub(crate) fn shed_load(&mut self, now: Micros, id: &EndpointId, out: &mut Vec<Action>) {
        let is_unresponsive =
            self.endpoints.values().filter(|s| s.is_ready() && s.outlier_detector.is_unresponsive()).count();
        // Guards against moving everybody because this balancer's own link, or all probing, has failed.
        if is_unresponsive as f64
            > (self.fleet_estimate.ready_endpoints as f64 * MAX_UNRESPONSIVE_FRACTION).max(1.0)
        {
            return;
        }
        // Guards against clients left on a jammed endpoint that gets worse, bit by bit, while others are
        // idle.
        let room = self.fleet_estimate.spare_connections * self.fleet_estimate.connection_load;
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if !record.is_ready() || now < record.next_shed_at {
            return;
        }
        let slow = record.has_slow_messages(now);
        let held = record.reported_load.map_or(f64::INFINITY, |(load, _)| load) * record.capacity();
        let (target, again) = if room > held {
            (SHED_TARGET_WITH_SPARE_CAPACITY, SHED_INTERVAL / 2)
        } else {
            (SHED_TARGET, SHED_INTERVAL)
        };
        let load =
            record.reported_load.filter(|(_, at)| now.saturating_sub(*at) < REPORT_LAG).map(|(load, _)| load);
        let part = match load {
            Some(load) if load > SHED_THRESHOLD => 1.0 - target / load,
            _ if slow => SHED_FRACTION_UNREPORTED,
            _ if record.outlier_detector.is_unresponsive() => 1.0,
            _ => return,
        };
        record.next_shed_at = now + again;
        self.plan_migration(now, id, part, SHED_DURATION);
        self.log(format!("{}: {:.0}% of its load is to move away", id.0, part * 100.0), out);
    }
}
