//! Tests of the gradual migration of connections.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn draining_endpoint_gets_no_connections_and_its_own_migrate_gradually() {
    let mut harness = Harness::new(settings(), 11, &three_endpoints(0.1));
    let mut connections_on_a = 0;
    for id in 0..60 {
        connections_on_a += usize::from(harness.connect(request(id)) == endpoint_id("a:1"));
        harness.advance(300_000);
    }
    assert!(connections_on_a >= 8, "only {connections_on_a} connections to migrate");
    let drain_start = harness.now;
    harness.handle(delta_update(vec![draining_endpoint("a:1")]));
    harness.advance(10 * SECOND);
    let migrations = harness.migrations();
    assert_eq!(migrations.len(), connections_on_a);
    assert!(migrations.iter().all(|(at, _)| *at <= drain_start + 4 * SECOND));
    let early_migrations = migrations.iter().filter(|(at, _)| *at < drain_start + SECOND / 2).count();
    assert!(
        early_migrations < connections_on_a / 2,
        "{early_migrations} of {connections_on_a} migrated in the first half second"
    );
    for (i, (_, id)) in migrations.iter().enumerate() {
        let reconnect_request = Request {
            session_key: request(id.0).session_key,
            reconnecting: true,
            ..request(1_000 + i as u32)
        };
        assert_ne!(harness.connect(reconnect_request), endpoint_id("a:1"));
    }
}

#[test]
fn migrations_complete_within_the_shortest_drain_seen() {
    let mut harness = Harness::new(settings(), 13, &three_endpoints(0.1));
    harness.handle(delta_update(vec![draining_endpoint("a:1")]));
    harness.advance(SECOND);
    harness.handle(delta_update(vec![Endpoint { state: EndpointState::Removed, ..ready_endpoint("a:1") }]));
    for id in 0..40 {
        harness.connect(request(id));
        harness.advance(300_000);
    }
    let drain_start = harness.now;
    harness.handle(delta_update(vec![draining_endpoint("b:1")]));
    harness.advance(10 * SECOND);
    let migrations = harness.migrations();
    assert!(migrations.len() >= 8);
    assert!(
        migrations.iter().all(|(at, _)| *at <= drain_start + SECOND),
        "all connections should migrate within the one second of the earlier drain"
    );
}

#[test]
fn adopted_connection_migrates_when_its_endpoint_drains() {
    let mut harness = Harness::new(settings(), 13, &three_endpoints(0.1));
    harness.handle(Event::ConnectionAdopted(request(1), endpoint_id("a:1")));
    assert_eq!(harness.attempt_count(1), 0);
    harness.handle(delta_update(vec![draining_endpoint("a:1")]));
    harness.advance(5 * SECOND);
    assert_eq!(harness.migrations().len(), 1);
}
