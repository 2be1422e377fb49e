//! A balancer where card servers report nothing and may not be probed: what it knows, it knows from its own
//! attempts.

mod support;

use honeyknot_balancer::unreported_load::estimate_load;
use honeyknot_balancer::*;
use support::*;

/// Settings of a deployment with no reports and no probes; times and costs are another's than the usual ones.
fn told_nothing(fleet_size: u32) -> Settings {
    let mut settings = settings();
    settings.load_reports = LoadReportSource::Unavailable;
    settings.permissions.health_checks = false;
    settings.permissions.retry_after = false;
    settings.fleet_size = fleet_size;
    settings
}

const NAMES: [&str; 6] = ["a:1", "b:1", "c:1", "d:1", "e:1", "f:1"];

fn bench(fleet_size: u32, seed: u64) -> Bench {
    Bench::new(told_nothing(fleet_size), seed, &NAMES.map(|name| (name, None)))
}

/// Guards against a cut of some seconds that ends a card server for good.
#[test]
fn a_suspect_that_may_not_be_probed_gets_its_turn_again() {
    let mut bench = bench(5, 3);
    // All attempts time out for some seconds: the network is cut.
    for id in 0..40 {
        bench.feed(Event::Request(request(id)));
        for attempt in 0..4 {
            if bench.places(id) as u32 == attempt + 1 {
                bench.end(id, attempt, Outcome::Timeout, false);
            }
        }
        bench.pass(100_000);
    }
    assert!(bench.balancer.ejected_endpoints().count() >= 4, "the cut is seen");
    bench.pass(20 * SECOND);
    let mut served: Vec<EndpointId> = (100..200)
        .map(|id| {
            bench.pass(100_000);
            bench.connect(request(id))
        })
        .collect();
    served.sort();
    served.dedup();
    assert_eq!(served.len(), NAMES.len(), "every card server serves again: {served:?}");
    assert_eq!(bench.balancer.ejected_endpoints().count(), 0);
}

/// A card server that stays silent costs no more than an attempt a turn, and turns become rare.
#[test]
fn turns_of_a_silent_server_are_few() {
    let mut bench = bench(5, 4);
    let mut wasted = 0;
    for id in 0..600 {
        bench.feed(Event::Request(request(id)));
        while bench.placed(id) == Some(sid("a:1")) && !bench.refused(id) && !bench.failed(id) {
            wasted += 1;
            bench.end(id, bench.places(id) as u32 - 1, Outcome::Timeout, false);
        }
        bench.pass(100_000);
    }
    // A minute: two strikes, and turns after 0.5 s, later up to 16 s apart.
    assert!((3..=20).contains(&wasted), "{wasted} attempts at a silent card server in a minute");
}

/// Guards against a fleet that is taken for full, or jammed by a wave, because one card server once turned
/// somebody away.
#[test]
fn one_full_server_says_nothing_of_the_others() {
    let mut bench = bench(5, 5);
    bench.feed(Event::Request(request(0)));
    let full = bench.placed(0).expect("an attempt");
    bench.end(0, 0, Outcome::Rejected, false);
    bench.pass(SECOND);
    for id in 1..60 {
        let before = bench.now;
        bench.feed(Event::Request(request(id)));
        assert!(bench.places(id) == 1 && bench.now == before, "request {id} is placed at once");
        let at = bench.placed(id).expect("an attempt");
        assert!(
            at != full || bench.now > START + 2 * SECOND,
            "the full one is left alone for a while: request {id} after {} us",
            bench.now - START
        );
        bench.feed(Event::ConnectionEstablished {
            id: RequestId(id),
            attempt: AttemptId(0),
            endpoint: at,
            elapsed: 5_000,
        });
        bench.pass(100_000);
    }
}

/// Guards against own placements that add up for ever, as no report ever takes them off: after some minutes
/// every card server would look full, and groups would be scattered by who had least of all time.
#[test]
fn a_long_day_keeps_groups_together() {
    let mut bench = bench(100, 6);
    let mut at: Vec<EndpointId> = Vec::new();
    for id in 0..2_000 {
        let server = bench.connect(Request { affinity_group: group("g"), ..request(id) });
        bench.end(id, 0, Outcome::Ok, true);
        if !at.contains(&server) {
            at.push(server);
        }
    }
    assert!(at.len() <= 2, "a group of one member at a time on {at:?}");
}

/// A card server that drops its connections is left alone by those that come again.
#[test]
fn a_server_that_drops_is_not_gone_back_to_at_once() {
    let mut bench = bench(5, 7);
    let at = bench.connect(request(1));
    bench.end(1, 0, Outcome::Reset, true);
    let again = bench.connect(Request { id: RequestId(2), reconnecting: true, ..request(1) });
    assert_ne!(at, again);
    bench.pass(20 * SECOND);
    let mut later = request(3);
    later.session_key = request(1).session_key;
    bench.connect(later);
}

/// Guards against cold servers that idle while the warm ones jam, as nothing tells how little a session
/// weighs.
#[test]
fn a_cold_server_is_filled_at_a_pace_that_nothing_has_to_correct() {
    let mut sent = 0;
    for seed in 0..20 {
        let mut bench = bench(1, seed);
        bench.feed(delta(vec![Endpoint { started_at: bench.now, ..ready("cold:1") }]));
        for id in 0..100 {
            bench.feed(Event::Request(request(id)));
            bench.pass(50_000);
            sent += usize::from(bench.placed(id) == Some(sid("cold:1")));
        }
    }
    // In 5 of 20 s, from a fifth of its capacity on: some six of the fifty that it is taken to hold, and no
    // more than twice that.
    assert!((60..=260).contains(&sent), "{sent} in 20 days, 120 wanted");
}

/// A fleet of so many servers that one balancer's losses tell it of a few of them only.
fn large_fleet(settings: Settings, seed: u64) -> Bench {
    let names: Vec<String> = (0..200).map(|n| format!("s{n}:1")).collect();
    let listed: Vec<_> = names.iter().map(|name| (&**name, None)).collect();
    Bench::new(settings, seed, &listed)
}

/// Requests of many groups, each of which stands for a moment and is dropped; how many were turned away
/// unsent.
fn jam(bench: &mut Bench, ids: std::ops::Range<u32>, class: impl Fn(u32) -> ClassId) -> Vec<u32> {
    let mut turned_away = Vec::new();
    for id in ids {
        let name = format!("g{}", id % 40);
        bench.feed(Event::Request(Request { affinity_group: group(&name), class: class(id), ..request(id) }));
        match bench.placed(id) {
            Some(server) => {
                let elapsed = 5_000;
                bench.feed(Event::ConnectionEstablished {
                    id: RequestId(id),
                    attempt: AttemptId(0),
                    endpoint: server,
                    elapsed,
                });
                bench.end(id, 0, Outcome::Reset, true);
            }
            None => turned_away.push(id),
        }
        bench.pass(50_000);
    }
    turned_away
}

/// Guards against a jam that feeds itself: what is dropped comes again and jams the next server.
#[test]
fn as_much_is_turned_away_as_was_lost_and_no_more_once_nothing_is() {
    let mut bench = large_fleet(told_nothing(100), 8);
    let away = jam(&mut bench, 0..200, |_| ClassId(0));
    assert!(away.len() > 60, "{} of 200 turned away while all else is lost", away.len());
    assert!(away.len() < 180, "some are let through to see if it is over");
    // Whole groups: what one member is told, the next is told too.
    let same = (0..40).filter(|n| {
        let mut placed = |id: u32| {
            bench.feed(Event::Request(Request { affinity_group: group(&format!("h{n}")), ..request(id) }));
            bench.placed(id).is_some()
        };
        placed(500 + 2 * n) == placed(501 + 2 * n)
    });
    let same = same.count();
    assert!(same >= 36, "{same} of 40 groups are told alike");
    bench.pass(30 * SECOND);
    for id in 1_000..1_040 {
        bench.feed(Event::Request(request(id)));
        assert!(bench.placed(id).is_some(), "it is over: request {id} is placed");
        bench.pass(50_000);
    }
}

/// Guards against a connection that is cut off in a jam: its server has it still, and only this balancer has
/// lost sight of it.
#[test]
fn a_connection_in_mid_flow_goes_back_to_its_server_however_much_is_turned_away() {
    let mut bench = large_fleet(told_nothing(100), 8);
    // Their server is seen by one request each, before the jam.
    let at: Vec<EndpointId> = (2_000..2_040).map(|id| bench.connect(request(id))).collect();
    let away = jam(&mut bench, 0..200, |_| ClassId(0));
    assert!(away.len() > 60, "{} of 200 turned away while all else is lost", away.len());
    for (id, server) in (2_000..2_040).zip(at) {
        let again = Request { id: RequestId(id + 1_000), mid_flow: true, reconnecting: true, ..request(id) };
        bench.feed(Event::Request(again));
        assert_eq!(bench.placed(id + 1_000), Some(server), "request {id}");
    }
}

#[test]
fn the_class_that_is_cheapest_for_its_load_is_turned_away_first() {
    let mut settings = told_nothing(100);
    let mut dear = settings.classes[0].clone();
    dear.priority_weight = settings.classes[0].priority_weight * 4.0;
    settings.classes.push(dear);
    let mut bench = large_fleet(settings, 9);
    let away = jam(&mut bench, 0..400, |id| ClassId((id / 40 % 2) as usize));
    let dear = away.iter().filter(|id| *id / 40 % 2 == 1).count();
    assert!(dear * 3 < away.len() * 2 - dear, "{dear} of {} turned away are of the dear class", away.len());
}

/// Guards against cold servers that idle beside jammed ones, as no group has need of them.
#[test]
fn cold_servers_are_filled_first_in_a_jam() {
    let sent = |jammed: bool| {
        let mut sent = 0;
        for seed in 0..10 {
            let mut bench = large_fleet(told_nothing(2), seed);
            if jammed {
                jam(&mut bench, 0..40, |_| ClassId(0));
            }
            let cold = ["u:1", "v:1", "w:1"];
            bench.feed(delta(cold.map(|id| Endpoint { started_at: bench.now, ..ready(id) }).into()));
            for id in 1_000..1_060 {
                let asked = Request { affinity_group: group(&format!("h{id}")), ..request(id) };
                bench.feed(Event::Request(asked));
                sent += u32::from(bench.placed(id).is_some_and(|at| cold.iter().any(|c| at == sid(c))));
                bench.pass(50_000);
            }
        }
        sent
    };
    let (calm, jammed) = (sent(false), sent(true));
    assert!(jammed > calm * 2, "{jammed} in a jam, {calm} else");
}

#[test]
fn few_own_connections_leave_the_mean_and_many_tell() {
    assert_eq!(estimate_load(0.5, 0, 0.0), 0.5);
    let one_of_few = estimate_load(0.5, 1, 0.05);
    assert!(one_of_few < 0.6, "one connection of a thousand: {one_of_few}");
    let crowded = estimate_load(0.5, 60, 20.0);
    assert!(crowded > 1.2, "three times its share of many: {crowded}");
    let idle = estimate_load(0.5, 0, 20.0);
    assert!(idle < 0.15, "none of many: {idle}");
}
