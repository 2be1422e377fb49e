//! Tests of requests that wait, are admitted or are rejected.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn request_without_endpoints_is_rejected_before_its_deadline() {
    let mut harness = Harness::new(settings(), 1, &[]);
    harness.handle(Event::Request(request(1)));
    harness.advance(2 * SECOND);
    assert!(harness.is_rejected(1));
    assert!(harness.actions.iter().all(|(at, _)| *at <= START + 2 * SECOND));
}

#[test]
fn pending_request_is_forwarded_to_an_endpoint_that_is_added_in_time() {
    let mut harness = Harness::new(settings(), 1, &[]);
    harness.handle(Event::Request(request(1)));
    harness.advance(SECOND / 2);
    harness.reported_loads.insert(endpoint_id("a:1"), Some(0.1));
    harness.handle(delta_update(vec![ready_endpoint("a:1")]));
    harness.advance(SECOND / 2);
    assert_eq!(harness.last_endpoint(1), Some(endpoint_id("a:1")));
}

#[test]
fn request_that_cannot_be_placed_is_rejected_while_the_client_has_time_for_another_attempt() {
    let mut harness = Harness::new(settings(), 3, &[]);
    harness.handle(Event::Request(request(1)));
    harness.advance(3 * SECOND);
    let rejection =
        harness.actions.iter().find(|(_, action)| matches!(action, Action::Reject { id, .. } if id.0 == 1));
    let (at, _) = rejection.expect("the request should be rejected");
    let (deadline, attempt_time) = (START + 2 * SECOND, SECOND / 2);
    assert!(*at + attempt_time <= deadline, "rejected only {} us before the deadline", deadline - at);
}

#[test]
fn full_fleet_rejects_with_retry_after() {
    let mut harness = Harness::new(settings(), 29, &three_endpoints(1.2));
    for id in 0..5 {
        harness.handle(Event::Request(request(id)));
        harness.advance(3 * SECOND);
        assert_eq!(harness.attempt_count(id), 0);
    }
    let delays: Vec<Micros> =
        harness
            .actions
            .iter()
            .filter_map(|(_, action)| {
                if let Action::Reject { retry_after, .. } = action { Some(*retry_after) } else { None }
            })
            .collect();
    assert_eq!(delays.len(), 5);
    assert!(delays.iter().all(|delay| (SECOND / 2..=SECOND).contains(delay)));
}

#[test]
fn one_placement_is_not_a_surge_in_a_large_fleet() {
    for harness in &mut large_fleet(400, 0.3) {
        let first = harness.connect(Request { affinity_group: affinity_group("g"), ..request(1) });
        let second = harness.connect(Request { affinity_group: affinity_group("g"), ..request(2) });
        assert_eq!(first, second);
    }
}
