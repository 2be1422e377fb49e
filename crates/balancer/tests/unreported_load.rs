//! Tests of a balancer without load reports and health checks, which knows only the outcomes of its attempts.

mod support;

use honeyknot_balancer::unreported_load::estimate_load;
use honeyknot_balancer::*;
use support::*;

/// Returns the settings of a deployment without load reports, health checks and retry delays for clients.
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

/// Guards against endpoints that stay ejected for good after a network fault of some seconds.
#[test]
fn ejected_endpoint_gets_a_trial_if_health_checks_are_not_permitted() {
    let mut harness = harness(5, 3);
    // During a network fault of some seconds, all attempts time out.
    for id in 0..40 {
        harness.handle(Event::Request(request(id)));
        for attempt in 0..4 {
            if harness.attempt_count(id) as u32 == attempt + 1 {
                harness.end_attempt(id, attempt, Outcome::Timeout, false);
            }
        }
        harness.advance(100_000);
    }
    assert!(harness.balancer.ejected_endpoints().count() >= 4, "the endpoints should be ejected");
    harness.advance(20 * SECOND);
    let mut used: Vec<EndpointId> = (100..200)
        .map(|id| {
            harness.advance(100_000);
            harness.connect(request(id))
        })
        .collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), NAMES.len(), "only these endpoints are used again: {used:?}");
    assert_eq!(harness.balancer.ejected_endpoints().count(), 0);
}

/// Each trial of an unresponsive endpoint costs at most one attempt, and trials become rarer over time.
#[test]
fn trials_of_an_unresponsive_endpoint_are_rare() {
    let mut harness = harness(5, 4);
    let mut wasted_attempts = 0;
    for id in 0..600 {
        harness.handle(Event::Request(request(id)));
        while harness.last_endpoint(id) == Some(endpoint_id("a:1"))
            && !harness.is_rejected(id)
            && !harness.is_failed(id)
        {
            wasted_attempts += 1;
            harness.end_attempt(id, harness.attempt_count(id) as u32 - 1, Outcome::Timeout, false);
        }
        harness.advance(100_000);
    }
    // In a minute, there are two failures and then trials at intervals of 0.5 s that grow up to 16 s.
    assert!(
        (3..=20).contains(&wasted_attempts),
        "{wasted_attempts} attempts at an unresponsive endpoint in a minute"
    );
}

/// Guards against treating the whole fleet as full after one rejection.
#[test]
fn rejection_by_one_endpoint_does_not_affect_the_others() {
    let mut harness = harness(5, 5);
    harness.handle(Event::Request(request(0)));
    let full_endpoint = harness.last_endpoint(0).expect("the request should have an attempt");
    harness.end_attempt(0, 0, Outcome::Rejected, false);
    harness.advance(SECOND);
    for id in 1..60 {
        let before = harness.now;
        harness.handle(Event::Request(request(id)));
        assert!(
            harness.attempt_count(id) == 1 && harness.now == before,
            "request {id} should be placed at once"
        );
        let used_endpoint = harness.last_endpoint(id).expect("the request should have an attempt");
        assert!(
            used_endpoint != full_endpoint || harness.now > START + 2 * SECOND,
            "request {id} goes to the full endpoint {} us after its rejection",
            harness.now - START
        );
        harness.handle(Event::ConnectionEstablished {
            id: RequestId(id),
            attempt: AttemptId(0),
            endpoint: used_endpoint,
            elapsed: 5_000,
        });
        harness.advance(100_000);
    }
}

/// Without load reports, nothing would remove recent placements from the estimate. If they added up, every
/// endpoint would seem full after some minutes, and the group would spread.
#[test]
fn group_stays_together_over_many_placements() {
    let mut harness = harness(100, 6);
    let mut used: Vec<EndpointId> = Vec::new();
    for id in 0..2_000 {
        let endpoint = harness.connect(Request { affinity_group: affinity_group("g"), ..request(id) });
        harness.end_attempt(id, 0, Outcome::Ok, true);
        if !used.contains(&endpoint) {
            used.push(endpoint);
        }
    }
    assert!(used.len() <= 2, "a group with one connection at a time used {used:?}");
}

/// A returning client avoids the endpoint that has just dropped its connection.
#[test]
fn endpoint_that_dropped_a_connection_is_avoided_at_first() {
    let mut harness = harness(5, 7);
    let first = harness.connect(request(1));
    harness.end_attempt(1, 0, Outcome::Reset, true);
    let second = harness.connect(Request { id: RequestId(2), reconnecting: true, ..request(1) });
    assert_ne!(first, second);
    harness.advance(20 * SECOND);
    let mut later = request(3);
    later.session_key = request(1).session_key;
    harness.connect(later);
}

/// Guards against endpoints in slow start that stay idle while others are overloaded, because the estimated
/// load of a connection is too high and no report corrects it.
#[test]
fn endpoint_in_slow_start_is_filled_at_the_expected_rate_without_reports() {
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
    // In 5 s of its slow start of 20 s, which begins at a fifth of its capacity, the endpoint should get
    // about six of the 50 connections that it is assumed to hold, and no more than about twice that.
    assert!((60..=260).contains(&sent), "{sent} connections in 20 runs instead of about 120");
}

/// Returns a balancer with so many endpoints that its losses affect only a few of them.
fn large_fleet(settings: Settings, seed: u64) -> Harness {
    let names: Vec<String> = (0..200).map(|n| format!("s{n}:1")).collect();
    let listed: Vec<_> = names.iter().map(|name| (&**name, None)).collect();
    Harness::new(settings, seed, &listed)
}

/// Sends requests of many groups, drops each connection soon after it is established, and returns the
/// rejected requests.
fn overload(harness: &mut Harness, ids: std::ops::Range<u32>, class: impl Fn(u32) -> ClassId) -> Vec<u32> {
    let mut rejected = Vec::new();
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
            None => rejected.push(id),
        }
        harness.advance(50_000);
    }
    rejected
}

/// Guards against clients of dropped connections that return and overload the next endpoint.
#[test]
fn throttle_rejects_the_fraction_that_was_lost_and_stops_after_the_overload() {
    let mut harness = large_fleet(settings_without_reports(100), 8);
    let rejected = overload(&mut harness, 0..200, |_| ClassId(0));
    assert!(rejected.len() > 60, "{} of 200 rejected while all others are lost", rejected.len());
    assert!(rejected.len() < 180, "some requests should be sent, to detect the end of the overload");
    // Two requests of the same group should both be placed or both be rejected.
    let groups_with_same_answer = (0..40).filter(|n| {
        let mut placed = |id: u32| {
            harness.handle(Event::Request(Request {
                affinity_group: affinity_group(&format!("h{n}")),
                ..request(id)
            }));
            harness.last_endpoint(id).is_some()
        };
        placed(500 + 2 * n) == placed(501 + 2 * n)
    });
    let groups_with_same_answer = groups_with_same_answer.count();
    assert!(
        groups_with_same_answer >= 36,
        "both requests get the same answer in {groups_with_same_answer} of 40 groups"
    );
    harness.advance(30 * SECOND);
    for id in 1_000..1_040 {
        harness.handle(Event::Request(request(id)));
        assert!(harness.last_endpoint(id).is_some(), "request {id} should be placed after the overload");
        harness.advance(50_000);
    }
}

/// The endpoint of a mid-flow request still has its connection.
#[test]
fn mid_flow_request_goes_to_its_endpoint_despite_throttling() {
    let mut harness = large_fleet(settings_without_reports(100), 8);
    // Each client has a sticky endpoint from before the overload.
    let sticky_endpoints: Vec<EndpointId> = (2_000..2_040).map(|id| harness.connect(request(id))).collect();
    let rejected = overload(&mut harness, 0..200, |_| ClassId(0));
    assert!(rejected.len() > 60, "{} of 200 rejected while all others are lost", rejected.len());
    for (id, endpoint) in (2_000..2_040).zip(sticky_endpoints) {
        let mid_flow_request =
            Request { id: RequestId(id + 1_000), mid_flow: true, reconnecting: true, ..request(id) };
        harness.handle(Event::Request(mid_flow_request));
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
        "{high_priority} of {} rejected requests are of the high-priority class",
        rejected.len()
    );
}

/// Guards against endpoints in slow start that stay idle beside overloaded ones because no group needs them.
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
                        .is_some_and(|endpoint| warming_up.iter().any(|id| endpoint == endpoint_id(id))),
                );
                harness.advance(50_000);
            }
        }
        sent
    };
    let (normal, overloaded) = (sent(false), sent(true));
    assert!(overloaded > normal * 2, "{overloaded} connections during an overload, {normal} otherwise");
}

#[test]
fn load_estimate_stays_near_the_mean_with_few_own_connections_and_follows_many() {
    assert_eq!(estimate_load(0.5, 0, 0.0), 0.5);
    let one_of_few = estimate_load(0.5, 1, 0.05);
    assert!(one_of_few < 0.6, "one own connection, where 0.05 are expected: {one_of_few}");
    let many = estimate_load(0.5, 60, 20.0);
    assert!(many > 1.2, "60 own connections, where 20 are expected: {many}");
    let none = estimate_load(0.5, 0, 20.0);
    assert!(none < 0.15, "no own connection, where 20 are expected: {none}");
}
