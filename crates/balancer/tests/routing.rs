//! Tests of the choice of an endpoint and of the timeout of an attempt.

mod support;

use std::collections::BTreeMap;

use honeyknot_balancer::*;
use support::*;

#[test]
fn attempt_timeout_ends_by_the_deadline() {
    let mut harness = Harness::new(settings(), 1, &three_endpoints(0.2));
    harness.handle(Event::Request(Request { time_remaining: 100_000, ..request(1) }));
    harness.advance(SECOND);
    let (at, timeout) = harness
        .actions
        .iter()
        .find_map(
            |(at, action)| {
                if let Action::Forward { timeout, .. } = action { Some((*at, *timeout)) } else { None }
            },
        )
        .expect("the request should be placed");
    assert!(at + timeout <= START + 100_000);
}

#[test]
fn endpoint_with_more_spare_capacity_gets_more_connections() {
    let mut counts = BTreeMap::new();
    for seed in 0..400 {
        let mut harness = Harness::new(settings(), seed, &[("a:1", Some(0.1)), ("b:1", Some(0.55))]);
        harness.handle(Event::Request(Request { session_key: None, ..request(1) }));
        harness.advance(100_000);
        *counts.entry(harness.last_endpoint(1).expect("the request should be placed")).or_insert(0) += 1;
    }
    // The weights are the squares of the spare capacities: 0.81 to 0.2, so a:1 gets about 80%.
    let connections_on_a = counts[&endpoint_id("a:1")];
    assert!((280..=360).contains(&connections_on_a), "{connections_on_a} of 400 connections on a:1");
}
