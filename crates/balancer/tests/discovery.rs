//! Tests of endpoint list updates.

mod support;

use std::sync::Arc;

use honeyknot_balancer::*;
use support::*;

#[test]
fn pending_request_is_not_sent_to_an_endpoint_that_begins_to_drain() {
    let mut harness = Harness::new(settings(), 11, &[("a:1", Some(0.1))]);
    // The health check is not answered yet, so the request is pending.
    let mut actions = Vec::new();
    harness.balancer.handle(harness.now, Event::Request(request(1)), &mut actions);
    assert!(actions.iter().any(|action| matches!(action, Action::CheckHealth(_))), "{actions:?}");
    harness.handle(delta_update(vec![draining_endpoint("a:1")]));
    let health_check_ended = Event::HealthCheckEnded {
        endpoint: endpoint_id("a:1"),
        outcome: Outcome::Ok,
        elapsed: 1_000,
        report: load_report(0.1),
    };
    harness.handle(health_check_ended);
    harness.advance(3 * SECOND);
    assert_eq!(harness.attempt_count(1), 0);
    assert!(harness.is_rejected(1));
}

#[test]
fn failed_discovery_polls_are_retried_with_backoff() {
    let settings = Settings { discovery: DiscoveryMode::OnRequest, ..settings() };
    let mut harness = Harness::new(settings, 31, &three_endpoints(0.2));
    let mut delays = Vec::new();
    for _ in 0..4 {
        let failed_at = harness.now;
        let polls = |harness: &Harness| {
            harness.actions.iter().filter(|(_, action)| *action == Action::Watch(true)).count()
        };
        let before = polls(&harness);
        while polls(&harness) == before {
            harness.advance(50_000);
            assert!(harness.now < failed_at + 10 * SECOND, "discovery should be polled within 10 s");
        }
        delays.push(harness.now - failed_at);
        harness.handle(Event::EndpointsUpdated { version: 0, update: EndpointUpdate::Failed });
    }
    assert!(delays[3] > delays[1], "delays in us: {delays:?}");
    harness.connect(request(1)); // the last list stays in use
}

#[test]
fn full_list_removes_endpoints_that_it_does_not_contain() {
    let mut harness = Harness::new(settings(), 37, &three_endpoints(0.2));
    harness.handle(full_update(vec![ready_endpoint("b:1")]));
    for id in 0..10 {
        assert_eq!(harness.connect(request(id)), endpoint_id("b:1"));
    }
}

#[test]
fn cached_list_is_used_after_a_restart() {
    let mut harness = Harness::new(settings(), 41, &[]);
    harness.reported_loads.insert(endpoint_id("a:1"), Some(0.2));
    let cached = EndpointUpdate::Cached(Arc::new(vec![ready_endpoint("a:1")]));
    harness.handle(Event::EndpointsUpdated { version: 7, update: cached });
    assert_eq!(harness.connect(request(1)), endpoint_id("a:1"));
}
