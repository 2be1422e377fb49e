//! A balancer that rejects all requests tries an endpoint now and then.

mod support;

use honeyknot_balancer::circuit_breaker::{CircuitBreaker, HALF_OPEN_AFTER};
use honeyknot_balancer::*;
use support::*;

#[test]
fn breaker_is_half_open_after_its_time_and_closes_with_a_placement() {
    let mut breaker = CircuitBreaker::default();
    assert!(!breaker.is_half_open(START + HALF_OPEN_AFTER), "no request was without capacity");
    breaker.record_no_capacity(START);
    breaker.record_no_capacity(START + HALF_OPEN_AFTER - 1);
    assert!(!breaker.is_half_open(START + HALF_OPEN_AFTER - 1), "just before");
    assert!(breaker.is_half_open(START + HALF_OPEN_AFTER), "since the first request without capacity");
    breaker.record_placement();
    assert!(!breaker.is_half_open(START + 2 * HALF_OPEN_AFTER), "a request was placed");
}

/// When requests that come every 0.3 s for ten seconds are placed, endpoints reporting this load.
fn placed_at(load: f64) -> Vec<Micros> {
    let endpoints = [("a:1", Some(load)), ("b:1", Some(load)), ("c:1", Some(load))];
    let mut harness = Harness::new(Settings { fleet_size: 100, ..settings() }, 5, &endpoints);
    let mut placed = Vec::new();
    for id in 0..33 {
        let (at, request_in_group) =
            (harness.now - START, Request { affinity_group: affinity_group("g"), ..request(id) });
        // Each has a little more time than one attempt takes, so that none waits for long.
        harness.handle(Event::Request(Request { time_remaining: SECOND * 7 / 10, ..request_in_group }));
        harness.advance(SECOND * 3 / 10);
        if harness.attempt_count(id) > 0 {
            placed.push(at);
            harness.end_attempt(id, 0, Outcome::Rejected, true);
        }
    }
    placed
}

/// Regression: a relay rejected all of its clients for thirteen seconds by its estimate of loads.
#[test]
fn balancer_that_rejects_all_tries_an_endpoint_every_few_seconds() {
    let placed = placed_at(0.85);
    assert!((2..=4).contains(&placed.len()), "{placed:?}");
    assert!(placed[0] >= HALF_OPEN_AFTER && placed[0] < HALF_OPEN_AFTER + SECOND, "{placed:?}");
    assert!(placed.windows(2).all(|two| two[1] - two[0] >= HALF_OPEN_AFTER), "{placed:?}");
}

/// An endpoint that reports a load above its capacity is not tried.
#[test]
fn overloaded_endpoints_get_no_connection_while_the_breaker_is_half_open() {
    assert_eq!(placed_at(1.05), []);
}
