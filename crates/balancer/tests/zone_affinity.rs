//! Tests of affinity groups across zones. Without load reports, a group stays together on few endpoints; with
//! load reports, its connections stay in their clients' zones.

mod support;

use std::collections::BTreeSet;

use honeyknot_balancer::zone_affinity::{GROUP_OVERHEAD_CONNECTIONS, copy_cost, cross_zone_penalty};
use honeyknot_balancer::*;
use support::*;

const ZONES: usize = 4;
const ENDPOINTS: [&str; 12] =
    ["a:1", "b:1", "c:1", "d:1", "e:1", "f:1", "g:1", "h:1", "i:1", "j:1", "k:1", "l:1"];

/// Returns the zone of an endpoint, which follows from its index.
fn zone_of(endpoint: &EndpointId) -> usize {
    ENDPOINTS
        .iter()
        .position(|name| endpoint_id(name) == *endpoint)
        .expect("the endpoint should be in the fleet")
        % ZONES
}

fn settings_in(zone: usize, fleet_size: u32, price: f64) -> Settings {
    let mut settings = Settings { fleet_size, zone: Some(ZoneId(zone)), ..settings() };
    settings.prices.cross_zone = price;
    settings
}

fn harness(settings: Settings, seed: u64, load: f64) -> Harness {
    let mut harness = Harness::new(settings, seed, &ENDPOINTS.map(|name| (name, Some(load))));
    harness.omits_inflight = true;
    let endpoint = |i: usize| Endpoint { zone: Some(ZoneId(i % ZONES)), ..ready_endpoint(ENDPOINTS[i]) };
    harness.handle(delta_update((0..ENDPOINTS.len()).map(endpoint).collect()));
    harness
}

/// Sends a request and returns its endpoint, or `None` if it was not placed. Connections of a group stay
/// open, others end.
fn send_request(harness: &mut Harness, request: Request) -> Option<EndpointId> {
    let (id, stays_open) = (request.id.0, request.affinity_group.is_some());
    harness.handle(Event::Request(request));
    harness.advance(2 * SECOND);
    let endpoint = harness.last_endpoint(id);
    if endpoint.is_some() && !stays_open {
        harness.end_attempt(id, 0, Outcome::Ok, true);
    }
    endpoint
}

/// Places five connections of ten groups at each of eighty balancers, twenty in each zone. Returns the number
/// of pairs of a group and an endpoint with any of its connections, and the number of connections to another
/// zone.
fn pairs_and_crossings(load: f64, change_settings: impl Fn(&mut Settings)) -> (usize, usize) {
    let (mut pairs, mut crossings, mut placed) = (BTreeSet::new(), 0, 0);
    for number in 0..80 {
        let mut settings = settings_in(number % ZONES, 80, 0.1);
        change_settings(&mut settings);
        let mut harness = harness(settings, number as u64, load);
        // These requests make the mean load of the fleet known from health checks.
        (100..110)
            .for_each(|id| drop(send_request(&mut harness, Request { session_key: None, ..request(id) })));
        for i in 0..5 {
            let group = (number / ZONES + i) % 10;
            let request_in_group =
                Request { affinity_group: affinity_group(&format!("g{group}")), ..request(i as u32) };
            let Some(endpoint) = send_request(&mut harness, request_in_group) else { continue };
            harness.handle(Event::ConnectionEstablished {
                id: RequestId(i as u32),
                attempt: AttemptId(0),
                endpoint: endpoint.clone(),
                elapsed: 5_000,
            });
            crossings += usize::from(zone_of(&endpoint) != number % ZONES);
            placed += 1;
            pairs.insert((group, endpoint));
        }
    }
    assert!(placed > 300, "only {placed} of 400 connections placed");
    (pairs.len(), crossings)
}

fn disable_reports(settings: &mut Settings) {
    settings.load_reports = LoadReportSource::Unavailable;
    settings.permissions.health_checks = false;
}

/// Guards against every zone using endpoints of its own for each group: these copies took 40% of the capacity
/// of an overloaded fleet.
#[test]
fn group_is_not_copied_into_every_zone_without_load_reports() {
    let (pairs, _) = pairs_and_crossings(0.4, disable_reports);
    assert!(pairs <= 20, "{pairs} pairs of a group and an endpoint for ten groups");
}

/// With load reports, a full zone is visible, and there is no other reason to use another zone.
#[test]
fn clients_stay_in_their_zone_with_load_reports() {
    let (pairs, crossings) = pairs_and_crossings(0.4, |_| ());
    assert!(
        crossings < 100 && pairs >= 40,
        "{crossings} of 400 connections cross zones, {pairs} pairs of a group and an endpoint"
    );
}

#[test]
fn clients_stay_in_their_zone_if_crossing_costs_more_than_a_copy() {
    let (_, crossings) = pairs_and_crossings(0.4, |settings| {
        disable_reports(settings);
        settings.prices.cross_zone = 2.0 * GROUP_OVERHEAD_CONNECTIONS;
    });
    assert!(crossings <= 20, "{crossings} of 400 connections cross zones");
}

#[test]
fn copy_cost_is_shared_by_the_connections_of_the_group() {
    assert_eq!(copy_cost(30.0), GROUP_OVERHEAD_CONNECTIONS / 30.0);
    assert_eq!(copy_cost(0.1), GROUP_OVERHEAD_CONNECTIONS, "fewer than one connection should count as one");
    let price = GROUP_OVERHEAD_CONNECTIONS / 30.0;
    assert_eq!(
        cross_zone_penalty(price, copy_cost(29.9)),
        1.0,
        "with slightly fewer than 30 connections, crossing zones should cost less than a copy"
    );
    assert!(cross_zone_penalty(price, copy_cost(30.1)) > 1.0, "with slightly more, it should cost more");
    assert_eq!(cross_zone_penalty(0.0, 0.0), 1.0, "crossing zones is free");
}

/// Returns how often a connection in zone 1 is migrated by one of four balancers in zone 0, while one
/// endpoint in zone 0 has spare capacity and all others report `other_load`.
fn migrations_of_connection_in_another_zone(other_load: f64, group: Option<AffinityGroup>) -> usize {
    // Only health checks, which are permitted, return load reports.
    let settings = Settings { load_reports: LoadReportSource::Unavailable, ..settings_in(0, 4, 0.1) };
    let mut harness = harness(settings, 3, other_load);
    harness.reported_loads.insert(endpoint_id("a:1"), Some(0.5));
    harness.handle(Event::ConnectionAdopted(
        Request { affinity_group: group, ..request(1) },
        endpoint_id("b:1"),
    ));
    (100..140).for_each(|id| drop(send_request(&mut harness, Request { session_key: None, ..request(id) })));
    harness.advance(60 * SECOND);
    harness.migrations().len()
}

/// Guards against an endless loop: a connection is rebalanced to its own zone, placed in the other zone again
/// because its group is there, rebalanced again, and so on.
#[test]
fn connection_with_its_group_in_another_zone_is_not_rebalanced() {
    let is_on_b = |name: &String| {
        let mut harness = harness(settings_in(0, 4, 0.0), 3, 0.2);
        harness.connect(Request { affinity_group: affinity_group(name), ..request(1) }) == endpoint_id("b:1")
    };
    let group_on_b = (0..200)
        .map(|i| format!("g{i}"))
        .find(is_on_b)
        .expect("a group should have b:1 as its first endpoint");
    assert_eq!(
        migrations_of_connection_in_another_zone(0.66, affinity_group(&group_on_b)),
        0,
        "a connection should stay with its group"
    );
    assert_eq!(
        migrations_of_connection_in_another_zone(0.66, None),
        1,
        "a connection without a group should be rebalanced"
    );
}

/// Guards against sending health checks that the settings do not permit.
#[test]
fn no_health_check_is_sent_if_not_permitted() {
    for reports in [LoadReportSource::Unavailable, LoadReportSource::Responses] {
        let mut settings = settings_in(0, 1, 0.1);
        (settings.load_reports, settings.permissions.health_checks) = (reports, false);
        let mut harness = harness(settings, 3, 0.2);
        harness.handle(Event::ConnectionAdopted(
            Request { affinity_group: affinity_group("g"), ..request(1) },
            endpoint_id("b:1"),
        ));
        (2..20).for_each(|id| drop(harness.connect(request(id))));
        harness.advance(10 * SECOND);
        assert_eq!(harness.health_check_count, 0, "{reports:?}");
    }
}
