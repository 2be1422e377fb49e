//! Affinity groups and zones: together on few endpoints without load reports, in their clients' zones with
//! them.

mod support;

use std::collections::BTreeSet;

use honeyknot_balancer::zone_affinity::{GROUP_OVERHEAD_CONNECTIONS, copy_cost, cross_zone_penalty};
use honeyknot_balancer::*;
use support::*;

const ZONES: usize = 4;
const SERVERS: [&str; 12] =
    ["a:1", "b:1", "c:1", "d:1", "e:1", "f:1", "g:1", "h:1", "i:1", "j:1", "k:1", "l:1"];

/// An endpoint's place in the list tells its zone.
fn zone_of(endpoint: &EndpointId) -> usize {
    SERVERS.iter().position(|name| endpoint_id(name) == *endpoint).expect("an endpoint of the fleet") % ZONES
}

fn settings_in(zone: usize, fleet_size: u32, price: f64) -> Settings {
    let mut settings = Settings { fleet_size, zone: Some(ZoneId(zone)), ..settings() };
    settings.prices.cross_zone = price;
    settings
}

fn harness(settings: Settings, seed: u64, load: f64) -> Harness {
    let mut harness = Harness::new(settings, seed, &SERVERS.map(|name| (name, Some(load))));
    harness.omits_inflight = true;
    let at = |i: usize| Endpoint { zone: Some(ZoneId(i % ZONES)), ..ready_endpoint(SERVERS[i]) };
    harness.handle(delta_update((0..SERVERS.len()).map(at).collect()));
    harness
}

/// Where a request goes, which may be pending for a while. One of a group stays open, others end.
fn send_request(harness: &mut Harness, request: Request) -> Option<EndpointId> {
    let (id, keeps) = (request.id.0, request.affinity_group.is_some());
    harness.handle(Event::Request(request));
    harness.advance(2 * SECOND);
    let endpoint = harness.last_endpoint(id);
    if endpoint.is_some() && !keeps {
        harness.end_attempt(id, 0, Outcome::Ok, true);
    }
    endpoint
}

/// Eighty balancers, twenty in each zone, that each see five connections of ten groups: the pairs of a group
/// and an endpoint that holds any of it, and the number of connections that cross zones.
fn pairs_and_crossings(load: f64, change: impl Fn(&mut Settings)) -> (usize, usize) {
    let (mut pairs, mut crossings, mut placed) = (BTreeSet::new(), 0, 0);
    for number in 0..80 {
        let mut settings = settings_in(number % ZONES, 80, 0.1);
        change(&mut settings);
        let mut harness = harness(settings, number as u64, load);
        // Before the first of them, the mean load of the fleet is known from health checks.
        (100..110)
            .for_each(|id| drop(send_request(&mut harness, Request { session_key: None, ..request(id) })));
        for i in 0..5 {
            let of = (number / ZONES + i) % 10;
            let request_in_group =
                Request { affinity_group: affinity_group(&format!("g{of}")), ..request(i as u32) };
            let Some(endpoint) = send_request(&mut harness, request_in_group) else { continue };
            harness.handle(Event::ConnectionEstablished {
                id: RequestId(i as u32),
                attempt: AttemptId(0),
                endpoint: endpoint.clone(),
                elapsed: 5_000,
            });
            crossings += usize::from(zone_of(&endpoint) != number % ZONES);
            placed += 1;
            pairs.insert((of, endpoint));
        }
    }
    assert!(placed > 300, "{placed} of 400 are placed");
    (pairs.len(), crossings)
}

fn disable_reports(settings: &mut Settings) {
    settings.load_reports = LoadReportSource::Unavailable;
    settings.permissions.health_checks = false;
}

/// Regression: each zone held every group anew; the copies took two fifths of an overloaded fleet.
#[test]
fn group_is_not_copied_into_every_zone_without_load_reports() {
    let (pairs, _) = pairs_and_crossings(0.4, disable_reports);
    assert!(pairs <= 20, "{pairs} pairs of ten groups where nothing is reported");
}

/// Where loads are reported, a full zone is seen, and crossing zones otherwise gains nothing.
#[test]
fn clients_stay_in_their_zone_with_load_reports() {
    let (pairs, crossings) = pairs_and_crossings(0.4, |_| ());
    assert!(crossings < 100 && pairs >= 40, "{crossings} of 400 cross zones, {pairs} pairs");
}

#[test]
fn clients_stay_in_their_zone_if_crossing_costs_more_than_a_copy() {
    let (_, crossings) = pairs_and_crossings(0.4, |settings| {
        disable_reports(settings);
        settings.prices.cross_zone = 2.0 * GROUP_OVERHEAD_CONNECTIONS;
    });
    assert!(crossings <= 20, "{crossings} of 400 cross zones");
}

#[test]
fn copy_cost_is_shared_by_the_groups_members() {
    assert_eq!(copy_cost(30.0), GROUP_OVERHEAD_CONNECTIONS / 30.0);
    assert_eq!(copy_cost(0.1), GROUP_OVERHEAD_CONNECTIONS, "nobody shares with a part of a connection");
    let price = GROUP_OVERHEAD_CONNECTIONS / 30.0;
    assert_eq!(
        cross_zone_penalty(price, copy_cost(29.9)),
        1.0,
        "just fewer members than make crossing the dearer"
    );
    assert!(cross_zone_penalty(price, copy_cost(30.1)) > 1.0, "just more");
    assert_eq!(cross_zone_penalty(0.0, 0.0), 1.0, "crossing costs nothing");
}

/// Number of migrations of one connection in zone 1, with spare capacity at one local endpoint, at one of
/// four balancers.
fn migrations_of_connection_in_another_zone(elsewhere: f64, group_of: Option<AffinityGroup>) -> usize {
    // Loads are reported only to health checks, which are permitted.
    let settings = Settings { load_reports: LoadReportSource::Unavailable, ..settings_in(0, 4, 0.1) };
    let mut harness = harness(settings, 3, elsewhere);
    harness.reported_loads.insert(endpoint_id("a:1"), Some(0.5));
    harness.handle(Event::ConnectionAdopted(
        Request { affinity_group: group_of, ..request(1) },
        endpoint_id("b:1"),
    ));
    (100..140).for_each(|id| drop(send_request(&mut harness, Request { session_key: None, ..request(id) })));
    harness.advance(60 * SECOND);
    harness.migrations().len()
}

/// Regression: a connection was rebalanced, placed by its group in the other zone once more, and so on.
#[test]
fn connection_with_its_group_in_another_zone_is_not_rebalanced() {
    let there = |name: &String| {
        let mut harness = harness(settings_in(0, 4, 0.0), 3, 0.2);
        harness.connect(Request { affinity_group: affinity_group(name), ..request(1) }) == endpoint_id("b:1")
    };
    let of_b = (0..200).map(|i| format!("g{i}")).find(there).expect("a group whose first endpoint is b:1");
    assert_eq!(
        migrations_of_connection_in_another_zone(0.66, affinity_group(&of_b)),
        0,
        "its group is together there"
    );
    assert_eq!(migrations_of_connection_in_another_zone(0.66, None), 1, "without a group it is rebalanced");
}

/// Regression: health checks were sent although the settings did not permit them.
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
