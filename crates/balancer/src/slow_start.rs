//! Slow start: what one balancer of many may send to an endpoint that has started lately.
//!
//! An endpoint in slow start bears in any [`Rules::overload_duration`] `d` no more than
//! `N = overload_factor * r * d` new connections. `r` is the rate that fills it over its slow start, at its
//! present [`warm_up_fraction`], as endpoints take new connections no faster than that.
//!
//! All R balancers together may send [`BUDGET_FRACTION`] of `N` in that time. The budget of each grows at 1/R
//! of this rate, from a phase of its own that is uniform on 0 to 1, and allows a connection whenever it
//! passes a whole number. So the number of connections that the budgets allow in a time `t` is a sum of R
//! independent draws: its mean is exactly `BUDGET_FRACTION * N * t / d`, whatever R is, and its variance is
//! at most its mean. A connection that is not used lapses after `d`; what can come in `d` after a lull is
//! what the budgets allow in twice that time, 4/3 N in the mean. No I/O, no clock.

use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::{Micros, Rules};

/// Fraction of what an endpoint bears that all balancers together may send. The rest is for what they cannot
/// know: the load of a connection and the true rate of warming up.
pub const BUDGET_FRACTION: f64 = 2.0 / 3.0;
/// Least warm-up fraction, where the settings allow an initial capacity of 0.
const MIN_WARM_UP_FRACTION: f64 = 0.01;
/// Least rate in connections a microsecond that is divided by.
const MIN_RATE: f64 = 1e-12;
/// Least load of a connection that is divided by.
const MIN_CONNECTION_LOAD: f64 = 1e-6;

/// Fraction of its full capacity that an endpoint has at least; 1 after its slow start.
pub fn warm_up_fraction(rules: &Rules, started_at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= rules.slow_start_duration {
        return 1.0;
    }
    let initial = rules.initial_capacity.max(MIN_WARM_UP_FRACTION);
    initial + (1.0 - initial) * age as f64 / rules.slow_start_duration as f64
}

/// Rate at which one balancer's budget grows, in connections a microsecond, for an endpoint at full capacity
/// that holds `max_connections` then.
pub fn budget_rate(rules: &Rules, max_connections: f64, balancers: f64) -> f64 {
    let duration = rules.slow_start_duration.max(1) as f64;
    BUDGET_FRACTION * rules.overload_factor * max_connections / duration / balancers
}

/// One balancer's budget of connections for one endpoint in slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartBudget {
    phase: f64,
    /// Connections used or lapsed.
    used: u64,
}

impl SlowStartBudget {
    /// Creates a budget with a phase, which must be drawn uniformly from 0 to 1.
    pub fn new(phase: f64) -> SlowStartBudget {
        SlowStartBudget { phase, used: 0 }
    }

    /// The budget grown since the endpoint's start, in connections.
    fn grown(&self, rules: &Rules, started_at: Micros, now: Micros, rate: f64) -> f64 {
        let age = now.saturating_sub(started_at) as f64;
        let initial = rules.initial_capacity;
        let growth = (1.0 - initial) * age / (2.0 * rules.slow_start_duration.max(1) as f64);
        self.phase + rate * age * (initial + growth)
    }

    /// Whether the budget allows a connection now; it always does after the slow start.
    pub fn allows(&self, rules: &Rules, started_at: Micros, now: Micros, rate: f64) -> bool {
        let warm_up_fraction = warm_up_fraction(rules, started_at, now);
        if warm_up_fraction >= 1.0 {
            return true;
        }
        let grown = self.grown(rules, started_at, now, rate);
        let allowed_for = grown.fract() / (rate * warm_up_fraction).max(MIN_RATE);
        grown as u64 > self.used && allowed_for < rules.overload_duration as f64
    }

    /// Uses the connection that is allowed now, and those that have lapsed.
    pub fn consume(&mut self, rules: &Rules, started_at: Micros, now: Micros, rate: f64) {
        self.used = self.used.max(self.grown(rules, started_at, now, rate) as u64);
    }
}

impl Balancer {
    /// Fraction of its full capacity that an endpoint has at least.
    pub(crate) fn warm_up_fraction(&self, record: &EndpointRecord, now: Micros) -> f64 {
        warm_up_fraction(&self.settings.rules, record.endpoint.started_at, now)
    }

    /// Rate at which this balancer's budget for an endpoint grows, in connections a microsecond.
    pub(crate) fn slow_start_rate(&self, record: &EndpointRecord) -> f64 {
        let connection_load = self.fleet_estimate.connection_load.max(MIN_CONNECTION_LOAD);
        let max_connections = record.capacity() / connection_load;
        budget_rate(&self.settings.rules, max_connections, self.fleet_size())
    }

    /// Whether an endpoint's slow start allows a connection of this balancer now.
    pub(crate) fn slow_start_admits(&self, record: &EndpointRecord, now: Micros) -> bool {
        let rate = self.slow_start_rate(record);
        record.slow_start.allows(&self.settings.rules, record.endpoint.started_at, now, rate)
    }
}
