//! Paced migration of connections.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn draining_endpoint_gets_no_connection_and_its_own_migrate_at_a_pace() {
    let mut harness = Harness::new(settings(), 11, &three_endpoints(0.1));
    let mut on_a = 0;
    for id in 0..60 {
        on_a += usize::from(harness.connect(request(id)) == endpoint_id("a:1"));
        harness.advance(300_000);
    }
    assert!(on_a >= 8, "{on_a} connections to migrate");
    let drain_start = harness.now;
    harness.handle(delta_update(vec![draining_endpoint("a:1")]));
    harness.advance(10 * SECOND);
    let migrations = harness.migrations();
    assert_eq!(migrations.len(), on_a);
    assert!(migrations.iter().all(|(at, _)| *at <= drain_start + 4 * SECOND));
    let at_once = migrations.iter().filter(|(at, _)| *at < drain_start + SECOND / 2).count();
    assert!(at_once < on_a / 2, "{at_once} of {on_a} migrated at once");
    for (i, (_, id)) in migrations.iter().enumerate() {
        let back = Request {
            session_key: request(id.0).session_key,
            reconnecting: true,
            ..request(1_000 + i as u32)
        };
        assert_ne!(harness.connect(back), endpoint_id("a:1"));
    }
}

#[test]
fn migration_pace_follows_the_shortest_drain_seen() {
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
        "all within the one second of the earlier drain"
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
