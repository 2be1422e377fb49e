//! Tests of the migration of misplaced connections back to their zone.

mod support;

use honeyknot_balancer::*;
use support::*;

/// Returns a balancer in zone 0 with an adopted connection in zone 1 and one local endpoint with
/// `local_load`.
fn connection_in_another_zone(local_load: f64) -> Harness {
    let mut settings = settings();
    (settings.zone, settings.prices.cross_zone) = (Some(ZoneId(0)), 0.2);
    let mut harness = Harness::new(settings, 3, &[("a:1", Some(local_load)), ("b:1", Some(0.1))]);
    let endpoint_in_zone = |name, zone| Endpoint { zone: Some(ZoneId(zone)), ..ready_endpoint(name) };
    harness.handle(delta_update(vec![endpoint_in_zone("a:1", 0), endpoint_in_zone("b:1", 1)]));
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
    assert_eq!(harness.migrations().len(), 1, "a connection in its own zone should not migrate");
    assert!(
        connection_in_another_zone(0.7).migrations().is_empty(),
        "without local capacity it should not migrate"
    );
}

#[test]
fn all_balancers_together_rebalance_a_bounded_number_of_connections() {
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
            "{size} balancers: {migrated} migrations in the first second with rebalancing"
        );
    }
}
