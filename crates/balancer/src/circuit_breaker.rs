//! A circuit breaker round a balancer's estimate that no endpoint has capacity.
//!
//! The estimate may be old, or follow from the balancer's own surge. After [`HALF_OPEN_AFTER`] without a
//! placement the breaker is *half open*: the next request may go to its group's endpoints up to a load of 1,
//! and that attempt closes the breaker again. So a balancer tries an endpoint every few seconds, however full
//! all look. No I/O, no clock.

use crate::Micros;

/// Time without a placement after which the breaker is half open.
pub const HALF_OPEN_AFTER: Micros = 2_500_000;

/// The circuit breaker's state: since when no request has found capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    no_capacity_since: Option<Micros>,
}

impl CircuitBreaker {
    /// Records that a request found no endpoint with capacity.
    pub fn record_no_capacity(&mut self, now: Micros) {
        self.no_capacity_since.get_or_insert(now);
    }

    /// Records that a request was placed.
    pub fn record_placement(&mut self) {
        self.no_capacity_since = None;
    }

    /// Whether the next request may go to an endpoint that looks full.
    pub fn is_half_open(&self, now: Micros) -> bool {
        self.no_capacity_since.is_some_and(|since| now.saturating_sub(since) >= HALF_OPEN_AFTER)
    }
}
