//! A balancer where endpoints report nothing and may not be probed: what it knows, it knows from its own
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

fn harness(fleet_size: u32, seed: u64) -> Harness {
    Harness::new(told_nothing(fleet_size), seed, &NAMES.map(|name| (name, None)))
}

/// Guards against a cut of some seconds that ends an endpoint for good.
#[test]
fn ejected_endpoint_gets_a_trial_if_health_checks_are_not_permitted() {
    let mut harness = harness(5, 3);
    // All attempts time out for some seconds: the network is cut.
    for id in 0..40 {
        harness.handle(Event::Request(request(id)));
        for attempt in 0..4 {
            if harness.attempt_count(id) as u32 == attempt + 1 {
                harness.end_attempt(id, attempt, Outcome::Timeout, false);
            }
        }
        harness.advance(100_000);
    }
    assert!(harness.balancer.ejected_endpoints().count() >= 4, "the cut is seen");
    harness.advance(20 * SECOND);
    let mut served: Vec<EndpointId> = (100..200)
        .map(|id| {
            harness.advance(100_000);
            harness.connect(request(id))
        })
        .collect();
    served.sort();
    served.dedup();
    assert_eq!(served.len(), NAMES.len(), "every endpoint serves again: {served:?}");
    assert_eq!(harness.balancer.ejected_endpoints().count(), 0);
}

/// An endpoint that stays silent costs no more than an attempt a turn, and turns become rare.
#[test]
fn trials_of_an_unresponsive_endpoint_are_rare() {
    let mut harness = harness(5, 4);
    let mut wasted = 0;
    for id in 0..600 {
        harness.handle(Event::Request(request(id)));
        while harness.last_endpoint(id) == Some(endpoint_id("a:1"))
            && !harness.is_rejected(id)
            && !harness.is_failed(id)
        {
            wasted += 1;
            harness.end_attempt(id, harness.attempt_count(id) as u32 - 1, Outcome::Timeout, false);
        }
        harness.advance(100_000);
    }
    // A minute: two strikes, and turns after 0.5 s, later up to 16 s apart.
    assert!((3..=20).contains(&wasted), "{wasted} attempts at a silent endpoint in a minute");
}

/// Guards against a fleet that is taken for full, or jammed by a wave, because one endpoint once turned
/// somebody away.
#[test]
fn rejection_by_one_endpoint_says_nothing_of_the_others() {
    let mut harness = harness(5, 5);
    harness.handle(Event::Request(request(0)));
    let full = harness.last_endpoint(0).expect("an attempt");
    harness.end_attempt(0, 0, Outcome::Rejected, false);
    harness.advance(SECOND);
    for id in 1..60 {
        let before = harness.now;
        harness.handle(Event::Request(request(id)));
        assert!(harness.attempt_count(id) == 1 && harness.now == before, "request {id} is placed at once");
        let at = harness.last_endpoint(id).expect("an attempt");
        assert!(
            at != full || harness.now > START + 2 * SECOND,
            "the full one is left alone for a while: request {id} after {} us",
            harness.now - START
        );
        harness.handle(Event::ConnectionEstablished {
            id: RequestId(id),
            attempt: AttemptId(0),
            endpoint: at,
            elapsed: 5_000,
        });
        harness.advance(100_000);
    }
}

/// Guards against own placements that add up for ever, as no report ever takes them off: after some minutes
/// every endpoint would look full, and groups would be scattered by who had least of all time.
#[test]
fn group_stays_together_over_many_placements() {
    let mut harness = harness(100, 6);
    let mut at: Vec<EndpointId> = Vec::new();
    for id in 0..2_000 {
        let endpoint = harness.connect(Request { affinity_group: affinity_group("g"), ..request(id) });
        harness.end_attempt(id, 0, Outcome::Ok, true);
        if !at.contains(&endpoint) {
            at.push(endpoint);
        }
    }
    assert!(at.len() <= 2, "a group of one member at a time on {at:?}");
}

/// An endpoint that drops its connections is left alone by those that come again.
#[test]
fn endpoint_that_dropped_a_connection_is_avoided_at_first() {
    let mut harness = harness(5, 7);
    let at = harness.connect(request(1));
    harness.end_attempt(1, 0, Outcome::Reset, true);
    let again = harness.connect(Request { id: RequestId(2), reconnecting: true, ..request(1) });
    assert_ne!(at, again);
    harness.advance(20 * SECOND);
    let mut later = request(3);
    later.session_key = request(1).session_key;
    harness.connect(later);
}

/// Guards against cold endpoints that idle while the warm ones jam, as nothing tells how little a session
/// weighs.
#[test]
fn endpoint_in_slow_start_is_filled_at_the_expected_pace_without_reports() {
    let mut sent = 0;
    for seed in 0..20 {
        let mut harness = harness(1, seed);
        harness.handle(delta_update(vec![Endpoint { started_at: harness.now, ..ready_endpoint("cold:1") }]));
        for id in 0..100 {
            harness.handle(Event::Request(request(id)));
            harness.advance(50_000);
            sent += usize::from(harness.last_endpoint(id) == Some(endpoint_id("cold:1")));
        }
    }
    // In 5 of 20 s, from a fifth of its capacity on: some six of the fifty that it is taken to hold, and no
    // more than twice that.
    assert!((60..=260).contains(&sent), "{sent} in 20 days, 120 wanted");
}

/// A fleet of so many endpoints that one balancer's losses tell it of a few of them only.
fn large_fleet(settings: Settings, seed: u64) -> Harness {
    let names: Vec<String> = (0..200).map(|n| format!("s{n}:1")).collect();
    let listed: Vec<_> = names.iter().map(|name| (&**name, None)).collect();
    Harness::new(settings, seed, &listed)
}

/// Requests of many groups, each of which stands for a moment and is dropped; how many were turned away
/// unsent.
fn jam(harness: &mut Harness, ids: std::ops::Range<u32>, class: impl Fn(u32) -> ClassId) -> Vec<u32> {
    let mut turned_away = Vec::new();
    for id in ids {
        let name = format!("g{}", id % 40);
        harness.handle(Event::Request(Request {
            affinity_group: affinity_group(&name),
            class: class(id),
            ..request(id)
        }));
        match harness.last_endpoint(id) {
            Some(endpoint) => {
                let elapsed = 5_000;
                harness.handle(Event::ConnectionEstablished {
                    id: RequestId(id),
                    attempt: AttemptId(0),
                    endpoint,
                    elapsed,
                });
                harness.end_attempt(id, 0, Outcome::Reset, true);
            }
            None => turned_away.push(id),
        }
        harness.advance(50_000);
    }
    turned_away
}

/// Guards against a jam that feeds itself: what is dropped comes again and jams the next endpoint.
#[test]
fn throttle_rejects_as_much_as_was_lost_and_stops_when_nothing_is() {
    let mut harness = large_fleet(told_nothing(100), 8);
    let away = jam(&mut harness, 0..200, |_| ClassId(0));
    assert!(away.len() > 60, "{} of 200 turned away while all else is lost", away.len());
    assert!(away.len() < 180, "some are let through to see if it is over");
    // Whole groups: what one member is told, the next is told too.
    let same = (0..40).filter(|n| {
        let mut placed = |id: u32| {
            harness.handle(Event::Request(Request {
                affinity_group: affinity_group(&format!("h{n}")),
                ..request(id)
            }));
            harness.last_endpoint(id).is_some()
        };
        placed(500 + 2 * n) == placed(501 + 2 * n)
    });
    let same = same.count();
    assert!(same >= 36, "{same} of 40 groups are told alike");
    harness.advance(30 * SECOND);
    for id in 1_000..1_040 {
        harness.handle(Event::Request(request(id)));
        assert!(harness.last_endpoint(id).is_some(), "it is over: request {id} is placed");
        harness.advance(50_000);
    }
}

/// Guards against a connection that is cut off in a jam: its endpoint has it still, and only this balancer has
/// lost sight of it.
#[test]
fn mid_flow_request_goes_to_its_endpoint_however_much_is_throttled() {
    let mut harness = large_fleet(told_nothing(100), 8);
    // Their endpoint is seen by one request each, before the jam.
    let at: Vec<EndpointId> = (2_000..2_040).map(|id| harness.connect(request(id))).collect();
    let away = jam(&mut harness, 0..200, |_| ClassId(0));
    assert!(away.len() > 60, "{} of 200 turned away while all else is lost", away.len());
    for (id, endpoint) in (2_000..2_040).zip(at) {
        let again = Request { id: RequestId(id + 1_000), mid_flow: true, reconnecting: true, ..request(id) };
        harness.handle(Event::Request(again));
        assert_eq!(harness.last_endpoint(id + 1_000), Some(endpoint), "request {id}");
    }
}

#[test]
fn class_of_lowest_priority_is_throttled_first() {
    let mut settings = told_nothing(100);
    let mut dear = settings.classes[0].clone();
    dear.priority_weight = settings.classes[0].priority_weight * 4.0;
    settings.classes.push(dear);
    let mut harness = large_fleet(settings, 9);
    let away = jam(&mut harness, 0..400, |id| ClassId((id / 40 % 2) as usize));
    let dear = away.iter().filter(|id| *id / 40 % 2 == 1).count();
    assert!(dear * 3 < away.len() * 2 - dear, "{dear} of {} turned away are of the dear class", away.len());
}

/// Guards against cold endpoints that idle beside jammed ones, as no group has need of them.
#[test]
fn endpoints_in_slow_start_are_used_first_under_pressure() {
    let sent = |jammed: bool| {
        let mut sent = 0;
        for seed in 0..10 {
            let mut harness = large_fleet(told_nothing(2), seed);
            if jammed {
                jam(&mut harness, 0..40, |_| ClassId(0));
            }
            let cold = ["u:1", "v:1", "w:1"];
            harness.handle(delta_update(
                cold.map(|id| Endpoint { started_at: harness.now, ..ready_endpoint(id) }).into(),
            ));
            for id in 1_000..1_060 {
                let asked = Request { affinity_group: affinity_group(&format!("h{id}")), ..request(id) };
                harness.handle(Event::Request(asked));
                sent += u32::from(
                    harness.last_endpoint(id).is_some_and(|at| cold.iter().any(|c| at == endpoint_id(c))),
                );
                harness.advance(50_000);
            }
        }
        sent
    };
    let (calm, jammed) = (sent(false), sent(true));
    assert!(jammed > calm * 2, "{jammed} in a jam, {calm} else");
}

#[test]
fn few_own_connections_leave_the_mean_and_many_override_it() {
    assert_eq!(estimate_load(0.5, 0, 0.0), 0.5);
    let one_of_few = estimate_load(0.5, 1, 0.05);
    assert!(one_of_few < 0.6, "one connection of a thousand: {one_of_few}");
    let crowded = estimate_load(0.5, 60, 20.0);
    assert!(crowded > 1.2, "three times its share of many: {crowded}");
    let idle = estimate_load(0.5, 0, 20.0);
    assert!(idle < 0.15, "none of many: {idle}");
}
