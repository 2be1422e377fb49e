//! `Retry-After` delays that spread rejected clients.

use honeyknot_balancer::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::config::RetryAfterRange;

/// Least rate of admitted connections a second that is assumed for the distance of slots.
const MIN_RATE: f64 = 0.1;

/// Assigns rejected clients retry slots one after another, so that clients that are rejected together do not return
/// together.
#[derive(Clone, Debug)]
pub(crate) struct RetryAfterSchedule {
    min: Micros,
    max: Micros,
    /// The last slot that was assigned.
    last_slot: Micros,
}

impl RetryAfterSchedule {
    pub(crate) fn new(range: RetryAfterRange) -> RetryAfterSchedule {
        RetryAfterSchedule { min: range.min.min(range.max), max: range.max, last_slot: 0 }
    }

    /// Returns the delay of one more client, in microseconds, where `rate` clients a second can be admitted.
    ///
    /// Slots start anew once the last one is further away than the longest delay.
    pub(crate) fn next_delay(&mut self, now: Micros, rate: f64, rng: &mut Pcg64Mcg) -> Micros {
        let span = self.max - self.min;
        let distance = (1e6 / rate.max(MIN_RATE)).min(span as f64 / 4.0);
        let distance = rng.random_range(0.5..=1.5) * distance;
        let first_slot = now + self.min;
        self.last_slot = self.last_slot.max(first_slot) + distance as Micros;
        if self.last_slot > now + self.max {
            self.last_slot = first_slot + rng.random_range(0..=span);
        }
        self.last_slot - now
    }
}
