//! Connections that migrate back to where they belong.

mod support;

use honeyknot_balancer::*;
use support::*;

/// A connection that stood far away before the start, with one endpoint near and the given load there.
fn connection_in_another_zone(load_near: f64) -> Harness {
    let mut settings = settings();
    (settings.zone, settings.prices.cross_zone) = (Some(ZoneId(0)), 0.2);
    let mut harness = Harness::new(settings, 3, &[("a:1", Some(load_near)), ("b:1", Some(0.1))]);
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
    assert_eq!(harness.migrations().len(), 1, "at home it stays");
    assert!(
        connection_in_another_zone(0.7).migrations().is_empty(),
        "without room at home it stays where it is"
    );
}

#[test]
fn all_balancers_together_rebalance_a_bounded_number() {
    for size in [4, 100, 400] {
        let mut moved = 0;
        for harness in &mut large_fleet(size, 0.2) {
            harness.handle(Event::ConnectionAdopted(request(1), endpoint_id("s1:1")));
            harness.handle(Event::ConnectionAdopted(request(2), endpoint_id("s2:1")));
            harness.advance(3 * SECOND);
            moved += harness.migrations().len();
        }
        assert!((1..=50).contains(&moved), "{size}: {moved} in the first second in which they may move");
    }
}
