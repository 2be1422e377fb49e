//! A circuit breaker round a balancer's belief that there is no room.
//!
//! What it believes of loads may be old, or a wave of its own making. One that has turned away all that came
//! for [`HALF_OPEN_AFTER`] is *half open*: the next request may go to its group's endpoints up to a load of
//! 1, and that attempt closes the breaker again. So a balancer tries something every few seconds, however
//! full all looks, and never just refuses. No I/O, no clock.

use crate::Micros;

/// For so long all that came may be turned away.
pub const HALF_OPEN_AFTER: Micros = 2_500_000;

/// Since when nothing found room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    no_capacity_since: Option<Micros>,
}

impl CircuitBreaker {
    /// A request found no room.
    pub fn record_no_capacity(&mut self, now: Micros) {
        self.no_capacity_since.get_or_insert(now);
    }

    /// A request was placed.
    pub fn record_placement(&mut self) {
        self.no_capacity_since = None;
    }

    /// Whether the next request is to try wherever there is any room.
    pub fn is_half_open(&self, now: Micros) -> bool {
        self.no_capacity_since.is_some_and(|since| now.saturating_sub(since) >= HALF_OPEN_AFTER)
    }
}
