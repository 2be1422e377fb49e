//! What one balancer of many may send to an endpoint that is still cold: *slots*, opened at a pace from a
//! random phase.
//!
//! The rule: an endpoint that starts bears, in the settings' time `fall`, no more than N = multiple x present
//! capacity x `fall`. Its present capacity is [`warmth`] of the pace that fills it over its warm-up, `holds /
//! cold`, as endpoints take new connections no faster than that. All R balancers together open slots at
//! [`BUDGET_FRACTION`] of the multiple times that pace, each 1/R of it from a phase of its own, uniform on 0
//! to 1. So the slots that open in a time `t` are a sum of R independent draws whose mean is exactly
//! BUDGET_FRACTION x N x t / `fall` whatever R is, and whose variance is at most that mean: parts below one
//! are drawn and never rounded up. A slot that is not used lapses after `fall`: what can come in `fall` after
//! a lull is what opens in twice that time, 4/3 N in the mean. No I/O, no clock.

use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::{Micros, Rules};

/// All balancers together send this part of what the rule bears: the rest is for what they cannot know, the
/// size of a connection and the true pace of warming up.
pub const BUDGET_FRACTION: f64 = 2.0 / 3.0;

/// The part of its capacity that an endpoint which started then surely has by now.
pub fn warmth(rules: &Rules, started: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started);
    if started == 0 || age >= rules.slow_start_duration {
        return 1.0;
    }
    let start = rules.initial_capacity.max(0.01);
    start + (1.0 - start) * age as f64 / rules.slow_start_duration as f64
}

/// One balancer's part of the pace at which an endpoint is filled while it is cold, in connections a
/// microsecond at full warmth. A warm one holds so many connections.
pub fn rate(rules: &Rules, holds: f64, balancers: f64) -> f64 {
    BUDGET_FRACTION * rules.overload_factor * holds / rules.slow_start_duration.max(1) as f64 / balancers
}

/// One balancer's slots on one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartBudget {
    phase: f64,
    used: u64,
}

impl SlowStartBudget {
    /// Slots from a phase, which is to be drawn from 0 to 1.
    pub fn new(phase: f64) -> SlowStartBudget {
        SlowStartBudget { phase, used: 0 }
    }

    /// How many have opened by now.
    fn opened(&self, rules: &Rules, started: Micros, now: Micros, rate: f64) -> f64 {
        let age = now.saturating_sub(started) as f64;
        let start = rules.initial_capacity;
        let grown = (1.0 - start) * age / (2.0 * rules.slow_start_duration.max(1) as f64);
        self.phase + rate * age * (start + grown)
    }

    /// Whether one is open now; on a warm endpoint always.
    pub fn is_open(&self, rules: &Rules, started: Micros, now: Micros, rate: f64) -> bool {
        let warmth = warmth(rules, started, now);
        if warmth >= 1.0 {
            return true;
        }
        let opened = self.opened(rules, started, now, rate);
        let since = opened.fract() / (rate * warmth).max(1e-12);
        opened as u64 > self.used && since < rules.overload_duration as f64
    }

    /// Uses the one that is open, and those that have lapsed.
    pub fn consume(&mut self, rules: &Rules, started: Micros, now: Micros, rate: f64) {
        self.used = self.used.max(self.opened(rules, started, now, rate) as u64);
    }
}

impl Balancer {
    pub(crate) fn warmth(&self, record: &EndpointRecord, now: Micros) -> f64 {
        warmth(&self.settings.rules, record.endpoint.started_at, now)
    }

    pub(crate) fn slow_start_rate(&self, record: &EndpointRecord) -> f64 {
        rate(
            &self.settings.rules,
            record.capacity() / self.fleet_estimate.connection_load.max(1e-6),
            self.fleet_size(),
        )
    }

    /// Whether a cold endpoint can have a connection of this balancer now; a warm one always can.
    pub(crate) fn slow_start_admits(&self, record: &EndpointRecord, now: Micros) -> bool {
        record.slow_start.is_open(
            &self.settings.rules,
            record.endpoint.started_at,
            now,
            self.slow_start_rate(record),
        )
    }
}
