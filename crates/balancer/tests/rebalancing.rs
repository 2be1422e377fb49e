//! Connections that migrate back to where they belong.

mod support;

use honeyknot_balancer::*;
use support::*;

/// A balancer with a connection in another zone from before its start, and one local endpoint of this load.
fn connection_in_another_zone(local_load: f64) -> Harness {
    let mut settings = settings();
    (settings.zone, settings.prices.cross_zone) = (Some(ZoneId(0)), 0.2);
    let mut harness = Harness::new(settings, 3, &[("a:1", Some(local_load)), ("b:1", Some(0.1))]);
    let at = |name, zone| Endpoint { zone: Some(ZoneId(zone)), ..ready_endpoint(name) };
    harness.handle(delta_update(vec![at("a:1", 0), at("b:1", 1)]));
    harness.handle(Event::ConnectionAdopted(request(1), endpoint_id("b:1")));
    harness.advance(6 * SECOND);
    harness
}

#[test]
fn connection_in_another_zone_migrates_back_once_a_local_endpoint_has_capacity() {
    let mut harness = connection_in_another_zone(0.2);
    assert_eq!(harness.migrations().iter().map(|(_, id)| id.0).collect::<Vec<_>>(), [1]);
    assert_eq!(harness.connect(request(2)), endpoint_id("a:1"));
    harness.advance(6 * SECOND);
    assert_eq!(harness.migrations().len(), 1, "in its own zone it stays");
    assert!(connection_in_another_zone(0.7).migrations().is_empty(), "without local capacity it stays");
}

#[test]
fn all_balancers_together_rebalance_a_bounded_number() {
    for size in [4, 100, 400] {
        let mut migrated = 0;
        for harness in &mut large_fleet(size, 0.2) {
            harness.handle(Event::ConnectionAdopted(request(1), endpoint_id("s1:1")));
            harness.handle(Event::ConnectionAdopted(request(2), endpoint_id("s2:1")));
            harness.advance(3 * SECOND);
            migrated += harness.migrations().len();
        }
        assert!(
            (1..=50).contains(&migrated),
            "{size}: {migrated} in the first second in which they may migrate"
        );
    }
}
