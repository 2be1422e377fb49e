//! Groups and zones: together on few servers where nothing is reported, in their clients' zones where loads
//! are.

mod support;

use std::collections::BTreeSet;

use honeyknot_balancer::zone_affinity::{GROUP_COST, copy_cost, slowdown};
use honeyknot_balancer::*;
use support::*;

const ZONES: usize = 4;
const SERVERS: [&str; 12] =
    ["a:1", "b:1", "c:1", "d:1", "e:1", "f:1", "g:1", "h:1", "i:1", "j:1", "k:1", "l:1"];

/// A server's place in the list tells its zone.
fn zone_of(server: &EndpointId) -> usize {
    SERVERS.iter().position(|name| sid(name) == *server).expect("a server of the fleet") % ZONES
}

fn settings_in(zone: usize, fleet_size: u32, price: f64) -> Settings {
    let mut settings = Settings { fleet_size, zone: Some(ZoneId(zone)), ..settings() };
    settings.prices.cross_zone = price;
    settings
}

fn bench(settings: Settings, seed: u64, load: f64) -> Bench {
    let mut bench = Bench::new(settings, seed, &SERVERS.map(|name| (name, Some(load))));
    bench.terse = true;
    let at = |i: usize| Endpoint { zone: Some(ZoneId(i % ZONES)), ..ready(SERVERS[i]) };
    bench.feed(delta((0..SERVERS.len()).map(at).collect()));
    bench
}

/// Where a request goes, which may be held for a while; one that stands is left to the caller, others end.
fn asks(bench: &mut Bench, request: Request) -> Option<EndpointId> {
    let (id, keeps) = (request.id.0, request.affinity_group.is_some());
    bench.feed(Event::Request(request));
    bench.pass(2 * SECOND);
    let server = bench.placed(id);
    if server.is_some() && !keeps {
        bench.end(id, 0, Outcome::Ok, true);
    }
    server
}

/// Eighty balancers, twenty in each zone, that each see five connections of ten groups: pairs of a group and
/// a server that holds any of it, and how many of the connections cross zones.
fn pairs_and_crossings(load: f64, change: impl Fn(&mut Settings)) -> (usize, usize) {
    let (mut pairs, mut crossings, mut placed) = (BTreeSet::new(), 0, 0);
    for number in 0..80 {
        let mut settings = settings_in(number % ZONES, 80, 0.1);
        change(&mut settings);
        let mut bench = bench(settings, number as u64, load);
        // Probes have told of the fleet, and its mean is known, before the first of them.
        (100..110).for_each(|id| drop(asks(&mut bench, Request { session_key: None, ..request(id) })));
        for i in 0..5 {
            let of = (number / ZONES + i) % 10;
            let asked = Request { affinity_group: group(&format!("g{of}")), ..request(i as u32) };
            let Some(server) = asks(&mut bench, asked) else { continue };
            bench.feed(Event::ConnectionEstablished {
                id: RequestId(i as u32),
                attempt: AttemptId(0),
                endpoint: server.clone(),
                elapsed: 5_000,
            });
            crossings += usize::from(zone_of(&server) != number % ZONES);
            placed += 1;
            pairs.insert((of, server));
        }
    }
    assert!(placed > 300, "{placed} of 400 are placed");
    (pairs.len(), crossings)
}

fn told_nothing(settings: &mut Settings) {
    settings.load_reports = LoadReportSource::Unavailable;
    settings.permissions.health_checks = false;
}

/// Guards against a group that each zone holds anew: its copies once took two fifths of a jammed fleet, and
/// no report told how full it was.
#[test]
fn a_group_is_not_copied_into_every_zone_where_nothing_is_reported() {
    let (pairs, _) = pairs_and_crossings(0.4, told_nothing);
    assert!(pairs <= 20, "{pairs} pairs of ten groups where nothing is reported");
}

/// Guards against crossings that buy nothing: where loads are reported, room is seen.
#[test]
fn clients_stay_in_their_zone_where_loads_are_reported() {
    let (pairs, crossings) = pairs_and_crossings(0.4, |_| ());
    assert!(crossings < 100 && pairs >= 40, "{crossings} of 400 cross zones, {pairs} pairs");
}

/// The same where crossing costs more than any copy.
#[test]
fn clients_stay_in_their_zone_where_crossing_is_dear() {
    let (_, crossings) = pairs_and_crossings(0.4, |settings| {
        told_nothing(settings);
        settings.prices.cross_zone = 2.0 * GROUP_COST;
    });
    assert!(crossings <= 20, "{crossings} of 400 cross zones");
}

#[test]
fn a_copy_is_shared_by_its_members() {
    assert_eq!(copy_cost(30.0), GROUP_COST / 30.0);
    assert_eq!(copy_cost(0.1), GROUP_COST, "nobody shares with a part of a connection");
    let price = GROUP_COST / 30.0;
    assert_eq!(slowdown(price, copy_cost(29.9)), 1.0, "just fewer members than make crossing the dearer");
    assert!(slowdown(price, copy_cost(30.1)) > 1.0, "just more");
    assert_eq!(slowdown(0.0, 0.0), 1.0, "crossing costs nothing");
}

/// A connection that stands in zone 1, of a group of which four balancers see little, with room at one server
/// of the own zone.
fn stands_away(elsewhere: f64, group_of: Option<AffinityGroup>) -> usize {
    // Nothing is reported but to probes, which are allowed.
    let settings = Settings { load_reports: LoadReportSource::Unavailable, ..settings_in(0, 4, 0.1) };
    let mut bench = bench(settings, 3, elsewhere);
    bench.loads.insert(sid("a:1"), Some(0.5));
    bench.feed(Event::ConnectionAdopted(Request { affinity_group: group_of, ..request(1) }, sid("b:1")));
    (100..140).for_each(|id| drop(asks(&mut bench, Request { session_key: None, ..request(id) })));
    bench.pass(60 * SECOND);
    bench.moved().len()
}

/// Guards against a connection that is sent home, comes again, and is placed by its group in the other zone
/// once more, for ever.
#[test]
fn what_stands_with_its_group_is_not_brought_home_from_another_zone() {
    let there = |name: &String| {
        let mut bench = bench(settings_in(0, 4, 0.0), 3, 0.2);
        bench.connect(Request { affinity_group: group(name), ..request(1) }) == sid("b:1")
    };
    let of_b = (0..200).map(|i| format!("g{i}")).find(there).expect("a group whose first server is b:1");
    assert_eq!(stands_away(0.66, group(&of_b)), 0, "its group is together there");
    assert_eq!(stands_away(0.66, None), 1, "without a group it is brought home");
}

/// Guards against probes, and so connections, at card servers whose settings allow none.
#[test]
fn nothing_is_probed_where_probes_are_not_allowed() {
    for reports in [LoadReportSource::Unavailable, LoadReportSource::Responses] {
        let mut settings = settings_in(0, 1, 0.1);
        (settings.load_reports, settings.permissions.health_checks) = (reports, false);
        let mut bench = bench(settings, 3, 0.2);
        bench
            .feed(Event::ConnectionAdopted(Request { affinity_group: group("g"), ..request(1) }, sid("b:1")));
        (2..20).for_each(|id| drop(bench.connect(request(id))));
        bench.pass(10 * SECOND);
        assert_eq!(bench.probes, 0, "{reports:?}");
    }
}
