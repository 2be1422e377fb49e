//! Updates of the endpoint list.

mod support;

use std::sync::Arc;

use honeyknot_balancer::*;
use support::*;

#[test]
fn drain_during_a_pending_request_is_respected() {
    let mut harness = Harness::new(settings(), 11, &[("a:1", Some(0.1))]);
    // The probe is answered only by the hold's end, so the request waits meanwhile.
    let mut out = Vec::new();
    harness.balancer.handle(harness.now, Event::Request(request(1)), &mut out);
    assert!(out.iter().any(|a| matches!(a, Action::CheckHealth(_))), "{out:?}");
    harness.handle(delta_update(vec![draining_endpoint("a:1")]));
    let probed = Event::HealthCheckEnded {
        endpoint: endpoint_id("a:1"),
        outcome: Outcome::Ok,
        elapsed: 1_000,
        report: load_report(0.1),
    };
    harness.handle(probed);
    harness.advance(3 * SECOND);
    assert_eq!(harness.attempt_count(1), 0);
    assert!(harness.is_rejected(1));
}

#[test]
fn failed_discovery_polls_are_retried_with_backoff() {
    let settings = Settings { discovery: DiscoveryMode::OnRequest, ..settings() };
    let mut harness = Harness::new(settings, 31, &three_endpoints(0.2));
    let mut waits = Vec::new();
    for _ in 0..4 {
        let asked = harness.now;
        let calls = |b: &Harness| b.actions.iter().filter(|(_, a)| *a == Action::Watch(true)).count();
        let before = calls(&harness);
        while calls(&harness) == before {
            harness.advance(50_000);
            assert!(harness.now < asked + 10 * SECOND, "it asks within the time that counts as told");
        }
        waits.push(harness.now - asked);
        harness.handle(Event::EndpointsUpdated { version: 0, update: EndpointUpdate::Failed });
    }
    assert!(waits[3] > waits[1], "{waits:?}");
    harness.connect(request(1)); // the last list is kept
}

#[test]
fn full_list_removes_endpoints_that_it_does_not_name() {
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
