//! Circuit breaker that opens while a balancer estimates that no endpoint has capacity.
//!
//! The estimate may be outdated, or caused by a surge of the balancer's own placements. After
//! [`HALF_OPEN_AFTER`] without a placement, the breaker is *half open*: the next request may go to an
//! endpoint of its group with a load of up to 1, and that placement closes the breaker. A balancer therefore
//! tries an endpoint every few seconds, even if all of them seem full.

use crate::Micros;

/// Time from the first request that finds no capacity until the breaker is half open.
pub const HALF_OPEN_AFTER: Micros = 2_500_000;

/// State of the circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    /// When the first request since the last placement found no capacity; `None` if none did.
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

    /// Returns whether the next request may go to an endpoint that seems full.
    pub fn is_half_open(&self, now: Micros) -> bool {
        self.no_capacity_since.is_some_and(|since| now.saturating_sub(since) >= HALF_OPEN_AFTER)
    }
}
