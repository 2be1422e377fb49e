//! Tests of the circuit breaker: a balancer that rejects all requests tries an endpoint from time to time.

mod support;

use honeyknot_balancer::circuit_breaker::{CircuitBreaker, HALF_OPEN_AFTER};
use honeyknot_balancer::*;
use support::*;

#[test]
fn breaker_is_half_open_after_the_timeout_and_closes_with_a_placement() {
    let mut breaker = CircuitBreaker::default();
    assert!(!breaker.is_half_open(START + HALF_OPEN_AFTER), "no request has found a lack of capacity");
    breaker.record_no_capacity(START);
    breaker.record_no_capacity(START + HALF_OPEN_AFTER - 1);
    assert!(!breaker.is_half_open(START + HALF_OPEN_AFTER - 1), "just before the timeout");
    assert!(
        breaker.is_half_open(START + HALF_OPEN_AFTER),
        "the timeout should count from the first request without capacity"
    );
    breaker.record_placement();
    assert!(!breaker.is_half_open(START + 2 * HALF_OPEN_AFTER), "a placement should close the breaker");
}

/// Sends a request every 0.3 s for ten seconds to endpoints that report `load`. Returns the times since the
/// start at which requests were placed.
fn placed_at(load: f64) -> Vec<Micros> {
    let endpoints = [("a:1", Some(load)), ("b:1", Some(load)), ("c:1", Some(load))];
    let mut harness = Harness::new(Settings { fleet_size: 100, ..settings() }, 5, &endpoints);
    let mut placed = Vec::new();
    for id in 0..33 {
        let (sent_at, request_in_group) =
            (harness.now - START, Request { affinity_group: affinity_group("g"), ..request(id) });
        // Each request has little more time than one attempt takes, so that none waits for long.
        harness.handle(Event::Request(Request { time_remaining: SECOND * 7 / 10, ..request_in_group }));
        harness.advance(SECOND * 3 / 10);
        if harness.attempt_count(id) > 0 {
            placed.push(sent_at);
            harness.end_attempt(id, 0, Outcome::Rejected, true);
        }
    }
    placed
}

/// Guards against a balancer that rejects all clients for many seconds because of its own load estimate: a
/// relay did so for 13 s.
#[test]
fn balancer_that_rejects_all_tries_an_endpoint_every_few_seconds() {
    let placed = placed_at(0.85);
    assert!((2..=4).contains(&placed.len()), "{placed:?}");
    assert!(placed[0] >= HALF_OPEN_AFTER && placed[0] < HALF_OPEN_AFTER + SECOND, "{placed:?}");
    assert!(placed.windows(2).all(|pair| pair[1] - pair[0] >= HALF_OPEN_AFTER), "{placed:?}");
}

/// An endpoint that reports a load above its capacity is not tried.
#[test]
fn overloaded_endpoints_get_no_connection_while_the_breaker_is_half_open() {
    assert_eq!(placed_at(1.05), []);
}
