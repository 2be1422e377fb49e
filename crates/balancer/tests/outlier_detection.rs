//! Tests of unresponsive and slow endpoints.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn connections_of_an_unresponsive_endpoint_migrate() {
    let mut harness = Harness::new(settings(), 17, &three_endpoints(0.2));
    let mut connections_on_a = 0;
    for id in 0..30 {
        connections_on_a += usize::from(harness.connect(request(id)) == endpoint_id("a:1"));
        harness.advance(300_000);
    }
    assert!(connections_on_a > 3);
    harness.reported_loads.insert(endpoint_id("a:1"), None);
    for id in 100..130 {
        harness.handle(Event::Request(request(id)));
        harness.advance(300_000);
    }
    assert_eq!(harness.migrations().len(), connections_on_a);
    let late_connections =
        (110..130).filter(|id| harness.last_endpoint(*id) == Some(endpoint_id("a:1"))).count();
    assert_eq!(late_connections, 0, "an ejected endpoint should get no new connection");
}

#[test]
fn unresponsive_fleet_keeps_its_connections_and_still_gets_requests() {
    let mut harness = Harness::new(settings(), 17, &three_endpoints(0.2));
    for id in 0..30 {
        harness.connect(request(id));
        harness.advance(300_000);
    }
    for load in harness.reported_loads.values_mut() {
        *load = None;
    }
    for id in 100..130 {
        harness.handle(Event::Request(request(id)));
        harness.advance(300_000);
    }
    let migrated = harness.migrations().len();
    assert!(migrated <= 15, "{migrated} of 30 migrated, more than those of one endpoint");
    assert!((120..130).all(|id| harness.attempt_count(id) == 1), "requests should still be forwarded");
}

/// Guards against new connections to an endpoint whose load has fallen while queued work still delays
/// messages.
#[test]
fn endpoint_with_slow_messages_gets_no_new_connection() {
    let mut harness = Harness::new(settings(), 19, &three_endpoints(0.4));
    let mut id = 0;
    while harness.connect(request(id)) != endpoint_id("a:1") {
        id += 1;
    }
    let latency = Event::ConnectionUpdated {
        id: RequestId(id),
        attempt: AttemptId(0),
        endpoint: endpoint_id("a:1"),
        update: ConnectionUpdate::MessageLatency(500.0),
    };
    harness.handle(latency);
    let endpoints: Vec<_> = (1_000..1_020).map(|id| harness.connect(request(id))).collect();
    assert!(endpoints.iter().all(|endpoint| *endpoint != endpoint_id("a:1")));
}
