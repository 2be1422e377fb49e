//! Slow start: limits what one of many balancers may send to an endpoint that started recently.
//!
//! In any period `d` of [`Rules::overload_duration`], an endpoint in slow start withstands at most
//! `N = overload_factor * r * d` new connections. `r` is the rate that would fill it over its slow start at
//! its current [`warm_up_fraction`], because endpoints accept new connections no faster than that.
//!
//! All R balancers together may send [`BUDGET_FRACTION`] of `N` in that period. Each balancer's budget grows
//! at 1/R of this rate, starting from a random phase that is uniform on 0 to 1, and allows a connection
//! whenever it passes a whole number. The number of connections that the budgets allow in a time `t` is thus
//! a sum of R independent draws: its mean is exactly `BUDGET_FRACTION * N * t / d` for any R, and its
//! variance is at most its mean. An unused connection expires after `d`. After a lull, the budgets of twice
//! that period can therefore be used within `d`: a mean of 4/3 N.

use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::{Micros, Rules};

/// All balancers together may send this fraction of the connections that an endpoint withstands. The rest is
/// a margin for what they cannot know: the load of a connection and the real rate of warming up.
pub const BUDGET_FRACTION: f64 = 2.0 / 3.0;
/// Lower limit of the warm-up fraction, because the settings allow an initial capacity of 0.
const MIN_WARM_UP_FRACTION: f64 = 0.01;
/// Lower limit of a rate where it is a divisor, in connections per microsecond.
const MIN_RATE: f64 = 1e-12;
/// Lower limit of the load of a mean connection on an endpoint of weight 1 where it is a divisor.
const MIN_CONNECTION_LOAD: f64 = 1e-6;

/// Returns the least fraction of its full capacity that an endpoint has now; 1 after its slow start.
pub fn warm_up_fraction(rules: &Rules, started_at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= rules.slow_start_duration {
        return 1.0;
    }
    let initial = rules.initial_capacity.max(MIN_WARM_UP_FRACTION);
    initial + (1.0 - initial) * age as f64 / rules.slow_start_duration as f64
}

/// Returns the rate at which one balancer's budget would grow at full capacity, in connections per
/// microsecond.
///
/// `max_connections` is the number of connections that the endpoint holds at full capacity.
pub fn budget_rate(rules: &Rules, max_connections: f64, balancers: f64) -> f64 {
    let duration = rules.slow_start_duration.max(1) as f64;
    BUDGET_FRACTION * rules.overload_factor * max_connections / duration / balancers
}

/// One balancer's budget of connections for one endpoint in slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartBudget {
    /// Budget at the endpoint's start, from 0 to 1.
    phase: f64,
    /// Number of connections used or expired.
    used: u64,
}

impl SlowStartBudget {
    /// Creates a budget with a phase, which must be drawn uniformly from 0 to 1.
    pub fn new(phase: f64) -> SlowStartBudget {
        SlowStartBudget { phase, used: 0 }
    }

    /// Returns the budget accrued since the endpoint's start, in connections.
    fn accrued(&self, rules: &Rules, started_at: Micros, now: Micros, rate: f64) -> f64 {
        let age = now.saturating_sub(started_at) as f64;
        let initial = rules.initial_capacity;
        let growth = (1.0 - initial) * age / (2.0 * rules.slow_start_duration.max(1) as f64);
        self.phase + rate * age * (initial + growth)
    }

    /// Returns whether the budget allows a connection now. After the slow start, it always does.
    pub fn allows(&self, rules: &Rules, started_at: Micros, now: Micros, rate: f64) -> bool {
        let warm_up_fraction = warm_up_fraction(rules, started_at, now);
        if warm_up_fraction >= 1.0 {
            return true;
        }
        let accrued = self.accrued(rules, started_at, now, rate);
        let time_since_allowed = accrued.fract() / (rate * warm_up_fraction).max(MIN_RATE);
        accrued as u64 > self.used && time_since_allowed < rules.overload_duration as f64
    }

    /// Uses the connection that is allowed now, and discards those that have expired.
    pub fn consume(&mut self, rules: &Rules, started_at: Micros, now: Micros, rate: f64) {
        self.used = self.used.max(self.accrued(rules, started_at, now, rate) as u64);
    }
}

impl Balancer {
    /// Returns the least fraction of its full capacity that an endpoint has now.
    pub(crate) fn warm_up_fraction(&self, record: &EndpointRecord, now: Micros) -> f64 {
        warm_up_fraction(&self.settings.rules, record.endpoint.started_at, now)
    }

    /// Returns the rate at which this balancer's budget for an endpoint would grow at full capacity, in
    /// connections per microsecond.
    pub(crate) fn slow_start_rate(&self, record: &EndpointRecord) -> f64 {
        let connection_load = self.fleet_estimate.connection_load.max(MIN_CONNECTION_LOAD);
        let max_connections = record.capacity() / connection_load;
        budget_rate(&self.settings.rules, max_connections, self.fleet_size())
    }

    /// Returns whether an endpoint's slow start allows a connection from this balancer now.
    pub(crate) fn slow_start_admits(&self, record: &EndpointRecord, now: Micros) -> bool {
        let rate = self.slow_start_rate(record);
        record.slow_start.allows(&self.settings.rules, record.endpoint.started_at, now, rate)
    }
}
