//! A balancer without load reports and health checks, which knows only the outcomes of its own attempts.

mod support;

use honeyknot_balancer::unreported_load::estimate_load;
use honeyknot_balancer::*;
use support::*;

/// Settings of a deployment without load reports and health checks.
fn settings_without_reports(fleet_size: u32) -> Settings {
    let mut settings = settings();
    settings.load_reports = LoadReportSource::Unavailable;
    settings.permissions.health_checks = false;
    settings.permissions.retry_after = false;
    settings.fleet_size = fleet_size;
    settings
}

const NAMES: [&str; 6] = ["a:1", "b:1", "c:1", "d:1", "e:1", "f:1"];

fn harness(fleet_size: u32, seed: u64) -> Harness {
    Harness::new(settings_without_reports(fleet_size), seed, &NAMES.map(|name| (name, None)))
}

/// Regression: a network fault of some seconds ejected endpoints for good.
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
    assert!(harness.balancer.ejected_endpoints().count() >= 4, "the endpoints are ejected");
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

/// An unresponsive endpoint costs no more than one attempt for each trial, and trials become rare.
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
    // In a minute: two failures, then trials 0.5 s and later up to 16 s apart.
    assert!((3..=20).contains(&wasted), "{wasted} attempts at an unresponsive endpoint in a minute");
}

/// Regression: one rejection made the whole fleet look full.
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

/// Placements must not add up for ever where no report takes them off: after some minutes every endpoint
/// would look full.
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

/// Returning clients avoid an endpoint that has just dropped a connection.
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

/// Regression: endpoints in slow start stayed idle while others were overloaded, as no report corrects the
/// load of a connection.
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

/// A fleet with so many endpoints that one balancer's losses tell of a few of them only.
fn large_fleet(settings: Settings, seed: u64) -> Harness {
    let names: Vec<String> = (0..200).map(|n| format!("s{n}:1")).collect();
    let listed: Vec<_> = names.iter().map(|name| (&**name, None)).collect();
    Harness::new(settings, seed, &listed)
}

/// Sends requests of many groups, drops each connection soon after it is established, and returns the
/// rejected ones.
fn overload(harness: &mut Harness, ids: std::ops::Range<u32>, class: impl Fn(u32) -> ClassId) -> Vec<u32> {
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

/// Regression: clients of dropped connections returned and overloaded the next endpoint.
#[test]
fn throttle_rejects_as_much_as_was_lost_and_stops_when_nothing_is() {
    let mut harness = large_fleet(settings_without_reports(100), 8);
    let rejected = overload(&mut harness, 0..200, |_| ClassId(0));
    assert!(rejected.len() > 60, "{} of 200 rejected while all else is lost", rejected.len());
    assert!(rejected.len() < 180, "some are let through to see if it is over");
    // Whole groups: all members get the same answer.
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
    assert!(same >= 36, "{same} of 40 groups get the same answer");
    harness.advance(30 * SECOND);
    for id in 1_000..1_040 {
        harness.handle(Event::Request(request(id)));
        assert!(harness.last_endpoint(id).is_some(), "after the overload: request {id} is placed");
        harness.advance(50_000);
    }
}

/// The endpoint of a request in mid flow still has its connection.
#[test]
fn mid_flow_request_goes_to_its_endpoint_however_much_is_throttled() {
    let mut harness = large_fleet(settings_without_reports(100), 8);
    // Each client has a sticky endpoint from before the overload.
    let at: Vec<EndpointId> = (2_000..2_040).map(|id| harness.connect(request(id))).collect();
    let rejected = overload(&mut harness, 0..200, |_| ClassId(0));
    assert!(rejected.len() > 60, "{} of 200 rejected while all else is lost", rejected.len());
    for (id, endpoint) in (2_000..2_040).zip(at) {
        let again = Request { id: RequestId(id + 1_000), mid_flow: true, reconnecting: true, ..request(id) };
        harness.handle(Event::Request(again));
        assert_eq!(harness.last_endpoint(id + 1_000), Some(endpoint), "request {id}");
    }
}

#[test]
fn class_of_lowest_priority_is_throttled_first() {
    let mut settings = settings_without_reports(100);
    let mut high_priority = settings.classes[0].clone();
    high_priority.priority_weight = settings.classes[0].priority_weight * 4.0;
    settings.classes.push(high_priority);
    let mut harness = large_fleet(settings, 9);
    let rejected = overload(&mut harness, 0..400, |id| ClassId((id / 40 % 2) as usize));
    let high_priority = rejected.iter().filter(|id| *id / 40 % 2 == 1).count();
    assert!(
        high_priority * 3 < rejected.len() * 2 - high_priority,
        "{high_priority} of {} rejected are of the class of high priority",
        rejected.len()
    );
}

/// Regression: endpoints in slow start stayed idle beside overloaded ones, as no group needed them.
#[test]
fn endpoints_in_slow_start_are_used_first_under_pressure() {
    let sent = |is_overloaded: bool| {
        let mut sent = 0;
        for seed in 0..10 {
            let mut harness = large_fleet(settings_without_reports(2), seed);
            if is_overloaded {
                overload(&mut harness, 0..40, |_| ClassId(0));
            }
            let warming_up = ["u:1", "v:1", "w:1"];
            harness.handle(delta_update(
                warming_up.map(|id| Endpoint { started_at: harness.now, ..ready_endpoint(id) }).into(),
            ));
            for id in 1_000..1_060 {
                let request_in_group =
                    Request { affinity_group: affinity_group(&format!("h{id}")), ..request(id) };
                harness.handle(Event::Request(request_in_group));
                sent += u32::from(
                    harness
                        .last_endpoint(id)
                        .is_some_and(|at| warming_up.iter().any(|id| at == endpoint_id(id))),
                );
                harness.advance(50_000);
            }
        }
        sent
    };
    let (normal, overloaded) = (sent(false), sent(true));
    assert!(overloaded > normal * 2, "{overloaded} while overloaded, {normal} otherwise");
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
