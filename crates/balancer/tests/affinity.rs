//! Tests of sticky endpoints and affinity groups.

mod support;

use std::collections::BTreeMap;

use honeyknot_balancer::*;
use support::*;

#[test]
fn returning_client_goes_to_its_sticky_endpoint_while_that_has_capacity() {
    let endpoints: Vec<String> = (0..10).map(|i| format!("s{i}:1")).collect();
    let endpoints: Vec<(&str, Option<f64>)> =
        endpoints.iter().map(|name| (name.as_str(), Some(0.3))).collect();
    let key = request(1).session_key;
    let mut harness = Harness::new(settings(), 7, &endpoints);
    let sticky = harness.connect(request(1));
    harness.end_attempt(1, 0, Outcome::Cancelled, true);
    // Rendezvous hashing would prefer another endpoint now, but the sticky endpoint still has capacity.
    harness.reported_loads.insert(sticky.clone(), Some(0.6));
    harness.advance(2 * SECOND);
    let second_endpoint =
        harness.connect(Request { session_key: key.clone(), reconnecting: true, ..request(2) });
    assert_eq!(second_endpoint, sticky);
    harness.end_attempt(2, 0, Outcome::Cancelled, true);
    harness.reported_loads.insert(sticky.clone(), Some(0.93));
    harness.advance(2 * SECOND);
    let third_endpoint = harness.connect(Request { session_key: key, reconnecting: true, ..request(3) });
    assert_ne!(third_endpoint, sticky);
}

#[test]
fn mid_flow_request_goes_to_its_draining_endpoint_only_within_the_grace_period() {
    for (wait, expects_sticky) in [(100_000, true), (2 * SECOND, false)] {
        let mut harness = Harness::new(settings(), 7, &three_endpoints(0.3));
        let sticky = harness.connect(request(1));
        harness.end_attempt(1, 0, Outcome::Cancelled, true);
        harness.handle(delta_update(vec![draining_endpoint(&sticky.0)]));
        harness.advance(wait);
        let mid_flow_request = Request { session_key: request(1).session_key, mid_flow: true, ..request(2) };
        let endpoint = harness.connect(mid_flow_request);
        assert_eq!(endpoint == sticky, expects_sticky, "{wait} us after the beginning of the drain");
    }
}

#[test]
fn balancers_place_a_group_on_the_same_endpoints_without_communication() {
    let names: Vec<String> = (0..30).map(|i| format!("s{i}:1")).collect();
    let endpoints: Vec<(&str, Option<f64>)> = names.iter().map(|name| (name.as_str(), Some(0.3))).collect();
    let mut used = BTreeMap::new();
    for seed in 0..40 {
        let mut harness = Harness::new(Settings { fleet_size: 40, ..settings() }, seed, &endpoints);
        *used
            .entry(harness.connect(Request { affinity_group: affinity_group("g"), ..request(seed as u32) }))
            .or_insert(0) += 1;
    }
    assert!(used.len() <= 3, "connections per endpoint: {used:?}");
}

/// Guards against spreading a group over more and more endpoints of a full fleet, each of which bears the
/// group's overhead.
#[test]
fn group_does_not_spread_over_a_full_fleet() {
    let names: Vec<String> = (0..30).map(|i| format!("s{i}:1")).collect();
    let mut endpoints: Vec<(&str, Option<f64>)> =
        names.iter().map(|name| (name.as_str(), Some(0.65))).collect();
    let mut used = BTreeMap::new();
    for round in 0..2 {
        for seed in 0..40 {
            let mut harness = Harness::new(Settings { fleet_size: 40, ..settings() }, seed, &endpoints);
            harness.handle(Event::Request(Request { affinity_group: affinity_group("g"), ..request(1) }));
            harness.advance(3 * SECOND);
            if let Some(endpoint) = harness.last_endpoint(1) {
                *used.entry(endpoint).or_insert(0) += 1;
            }
        }
        // In the second round, all endpoints that were used are full.
        for (name, load) in &mut endpoints {
            if used.contains_key(&endpoint_id(name)) {
                *load = Some(1.2);
            }
        }
        assert!(!used.is_empty() && used.len() <= 5, "round {round}: {used:?}");
    }
}

#[test]
fn request_in_a_full_zone_goes_to_its_group_in_another_zone() {
    let mut settings = Settings { zone: Some(ZoneId(0)), ..settings() };
    settings.prices.cross_zone = 0.1;
    let mut harness = Harness::new(settings, 47, &[]);
    let entries: Vec<Endpoint> = (0..12)
        .map(|i| Endpoint { zone: Some(ZoneId(i % 2)), ..ready_endpoint(&format!("s{i}:1")) })
        .collect();
    for entry in &entries {
        let load = if entry.zone == Some(ZoneId(0)) { 1.1 } else { 0.3 };
        harness.reported_loads.insert(entry.id.clone(), Some(load));
    }
    harness.handle(full_update(entries));
    for id in 0..20 {
        harness.handle(Event::Request(Request { affinity_group: affinity_group("g"), ..request(id) }));
        harness.advance(2 * SECOND);
        assert!(!harness.is_rejected(id) && harness.attempt_count(id) == 1, "request {id}");
    }
}

#[test]
fn group_uses_one_endpoint_even_if_many_balancers_see_one_connection_each() {
    for size in [100, 400] {
        let mut used = BTreeMap::new();
        for harness in &mut large_fleet(size, 0.4) {
            *used
                .entry(harness.connect(Request { affinity_group: affinity_group("g"), ..request(1) }))
                .or_insert(0) += 1;
        }
        assert_eq!(used.len(), 1, "{size} balancers, connections per endpoint: {used:?}");
    }
}
