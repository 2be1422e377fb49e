//! `Retry-After` delays that spread the retries of rejected clients.

use honeyknot_balancer::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::config::RetryAfterRange;

/// Minimum rate of admitted connections, per second, that is assumed when the interval between slots is
/// computed.
const MIN_RATE: f64 = 0.1;

/// Assigns successive retry slots to rejected clients, so that clients that are rejected together do not
/// retry together.
#[derive(Clone, Debug)]
pub(crate) struct RetryAfterSchedule {
    min: Micros,
    max: Micros,
    /// Time of the last slot that was assigned.
    last_slot: Micros,
}

impl RetryAfterSchedule {
    pub(crate) fn new(range: RetryAfterRange) -> RetryAfterSchedule {
        RetryAfterSchedule { min: range.min.min(range.max), max: range.max, last_slot: 0 }
    }

    /// Returns the delay of the next rejected client, in microseconds, if about `rate` clients a second are
    /// admitted.
    ///
    /// Once the next slot would be later than the maximum delay, slots start again at a random time in the
    /// range.
    pub(crate) fn next_delay(&mut self, now: Micros, rate: f64, rng: &mut Pcg64Mcg) -> Micros {
        let span = self.max - self.min;
        let interval = (1e6 / rate.max(MIN_RATE)).min(span as f64 / 4.0);
        let interval = rng.random_range(0.5..=1.5) * interval;
        let first_slot = now + self.min;
        self.last_slot = self.last_slot.max(first_slot) + interval as Micros;
        if self.last_slot > now + self.max {
            self.last_slot = first_slot + rng.random_range(0..=span);
        }
        self.last_slot - now
    }
}
