//! A sum that decays exponentially.

use honeyknot_balancer::Micros;

/// A sum that decays by a factor of 1/e over its time constant.
#[derive(Clone, Debug)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Micros,
    /// Time in which the sum decays by a factor of 1/e, in microseconds.
    time_constant: f64,
}

impl DecayingSum {
    /// Creates a sum of 0 with a time constant in microseconds.
    pub(crate) fn new(time_constant: f64, now: Micros) -> DecayingSum {
        DecayingSum { value: 0.0, updated_at: now, time_constant }
    }

    /// Returns the decayed sum.
    pub(crate) fn value(&self, now: Micros) -> f64 {
        self.value * (-(now.saturating_sub(self.updated_at) as f64) / self.time_constant).exp()
    }

    /// Adds 1 to the sum.
    pub(crate) fn increment(&mut self, now: Micros) {
        self.value = self.value(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the rate of increments, per second, that would keep the sum at its present value.
    pub(crate) fn rate_per_second(&self, now: Micros) -> f64 {
        self.value(now) / (self.time_constant / 1e6)
    }
}
