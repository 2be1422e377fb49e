//! The decision module alone: each rule, each effect and outcome, and each fault that was once found.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use honeyknot_balancer::Balancer;
use honeyknot_balancer::*;
use support::*;

fn three(load: f64) -> [(&'static str, Option<f64>); 3] {
    [("a:1", Some(load)), ("b:1", Some(load)), ("c:1", Some(load))]
}

#[test]
fn senseless_settings_are_refused() {
    let mut bad = vec![settings(); 5];
    bad[0].rules.initial_capacity = 1.5;
    bad[1].rules.overload_factor = f64::NAN;
    bad[2].classes[0].priority_weight = -1.0;
    bad[3].prices.cross_zone = f64::NAN;
    bad[4].prices.migration = -0.1;
    for (i, settings) in bad.into_iter().enumerate() {
        assert!(Balancer::new(settings, 1, START).is_err(), "case {i}");
    }
}

#[test]
fn edge_settings_neither_panic_nor_leave_a_request_unanswered() {
    let mut edges = vec![settings(); 6];
    edges[0].fleet_size = 0;
    edges[1].classes.clear();
    edges[2].rules.slow_start_duration = 0;
    edges[3].permissions.max_attempts = 0;
    edges[4].rules.max_list_age = 0;
    edges[4].discovery = DiscoveryMode::OnRequest;
    edges[5].load_reports = LoadReportSource::Unavailable;
    for (i, settings) in edges.into_iter().enumerate() {
        let mut bench = Bench::new(settings, 3, &[("a:1", Some(0.1))]);
        bench.feed(Event::Request(request(1)));
        bench.pass(3 * SECOND);
        assert!(bench.places(1) + usize::from(bench.refused(1) || bench.failed(1)) > 0, "case {i}");
    }
}

#[test]
fn reports_that_are_no_numbers_are_skipped() {
    let mut bench = Bench::new(settings(), 3, &three(0.2));
    for bad in [f64::NAN, f64::INFINITY, -1.0] {
        let report = LoadReport { load: Some(bad), inflight: Some(bad), ..LoadReport::default() };
        let probed = Event::HealthCheckEnded {
            endpoint: sid("a:1"),
            outcome: Outcome::Ok,
            elapsed: 1,
            report: Some(report),
        };
        bench.feed(probed);
    }
    bench.connect(request(1));
}

#[test]
fn without_a_server_every_request_is_refused_in_time() {
    let mut bench = Bench::new(settings(), 1, &[]);
    bench.feed(Event::Request(request(1)));
    bench.pass(2 * SECOND);
    assert!(bench.refused(1));
    assert!(bench.done.iter().all(|(at, _)| *at <= START + 2 * SECOND));
}

#[test]
fn a_request_without_a_server_goes_to_one_that_comes_in_time() {
    let mut bench = Bench::new(settings(), 1, &[]);
    bench.feed(Event::Request(request(1)));
    bench.pass(SECOND / 2);
    bench.loads.insert(sid("a:1"), Some(0.1));
    bench.feed(delta(vec![ready("a:1")]));
    bench.pass(SECOND / 2);
    assert_eq!(bench.placed(1), Some(sid("a:1")));
}

#[test]
fn an_attempt_never_outlasts_the_deadline() {
    let mut bench = Bench::new(settings(), 1, &three(0.2));
    bench.feed(Event::Request(Request { time_remaining: 100_000, ..request(1) }));
    bench.pass(SECOND);
    let (at, timeout) = bench
        .done
        .iter()
        .find_map(
            |(at, a)| if let Action::Forward { timeout, .. } = a { Some((*at, *timeout)) } else { None },
        )
        .expect("a placement");
    assert!(at + timeout <= START + 100_000);
}

/// What may follow an attempt, by the class's effect and the attempt's outcome: another attempt elsewhere is
/// allowed if it proves not to have run or repeats are harmless.
#[test]
fn repeats_follow_effect_and_outcome() {
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: 5 * SECOND };
    let effects = [
        Idempotency::Idempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
        Idempotency::AtMostOnce,
    ];
    let outcomes = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    for effect in effects {
        for outcome in outcomes {
            let mut settings = settings();
            settings.classes = vec![class(effect)];
            let mut bench = Bench::new(settings, 5, &[]);
            // Four servers in zones 0 and 1, cells 0 to 3, so that cells lie within zones.
            let entries: Vec<Endpoint> = (0..4)
                .map(|i| Endpoint {
                    zone: Some(ZoneId(i / 2)),
                    cell: CellId(i as u64),
                    ..ready(&format!("s{i}:1"))
                })
                .collect();
            for entry in &entries {
                bench.loads.insert(entry.id.clone(), Some(0.2));
            }
            bench.feed(full(entries.clone()));
            bench.feed(Event::Request(request(1)));
            bench.pass(50_000);
            let first = bench.placed(1).expect("a first attempt");
            bench.end(1, 0, outcome, false);
            bench.pass(3 * SECOND);
            let zone = |id: &EndpointId| entries.iter().find(|e| e.id == *id).and_then(|e| e.zone);
            let second = (bench.places(1) > 1).then(|| bench.placed(1)).flatten();
            let free = outcome.proves_not_run() || effect == Idempotency::Idempotent;
            let case = format!("{effect:?} {outcome:?}");
            match effect {
                _ if free => assert!(second.is_some(), "{case}"),
                Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                    assert!(second.is_some(), "{case}")
                }
                Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
                    assert_eq!(second.as_ref().and_then(zone), zone(&first), "{case}")
                }
                _ => assert!(second.is_none() && bench.failed(1) && !bench.refused(1), "{case}"),
            }
        }
    }
}

#[test]
fn a_deduplicated_request_is_not_repeated_after_its_window() {
    let mut settings = settings();
    settings.classes =
        vec![class(Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: SECOND / 2 })];
    let mut bench = Bench::new(settings, 5, &three(0.2));
    bench.feed(Event::Request(request(1)));
    bench.pass(SECOND);
    bench.end(1, 0, Outcome::Timeout, false);
    bench.pass(2 * SECOND);
    assert_eq!(bench.places(1), 1);
    assert!(bench.refused(1));
}

#[test]
fn the_answer_owed_after_the_deadlines_time_out_is_given_at_once() {
    let mut bench = Bench::new(settings(), 5, &three(0.2));
    bench.feed(Event::Request(request(1)));
    bench.pass(2 * SECOND);
    bench.end(1, 0, Outcome::Timeout, false);
    assert_eq!(bench.places(1), 1);
    assert!(bench.refused(1));
}

#[test]
fn attempts_end_at_their_limit_and_never_overlap() {
    let mut bench = Bench::new(settings(), 5, &three(0.2));
    bench.loads.insert(sid("d:1"), Some(0.2));
    bench.loads.insert(sid("e:1"), Some(0.2));
    bench.feed(delta(vec![ready("d:1"), ready("e:1")]));
    bench.feed(Event::Request(request(1)));
    for attempt in 0..4 {
        bench.pass(100_000);
        assert_eq!(bench.places(1), attempt as usize + 1, "one attempt at a time");
        bench.end(1, attempt, Outcome::Rejected, false);
    }
    bench.pass(2 * SECOND);
    assert_eq!(bench.places(1), 4);
    assert!(bench.refused(1));
}

#[test]
fn a_moot_attempt_is_not_followed_by_another() {
    let mut bench = Bench::new(settings(), 5, &three(0.2));
    bench.feed(Event::Request(request(1)));
    bench.pass(100_000);
    bench.end(1, 0, Outcome::NotSent, false);
    assert_eq!(bench.places(1), 1);
    assert!(bench.refused(1));
}

#[test]
fn events_for_what_is_over_or_unknown_are_ignored() {
    let mut bench = Bench::new(settings(), 5, &three(0.2));
    bench.feed(Event::Request(request(1)));
    bench.pass(100_000);
    bench.feed(Event::ClientLeft(RequestId(1)));
    bench.feed(Event::ClientLeft(RequestId(1)));
    let before = bench.done.len();
    bench.end(1, 0, Outcome::Timeout, false);
    bench.feed(Event::ClientLeft(RequestId(9)));
    bench.feed(Event::TimerFired(TimerToken(9)));
    bench.pass(3 * SECOND);
    assert_eq!(bench.done.len(), before);
}

#[test]
fn the_split_favours_spare_capacity() {
    let mut counts = BTreeMap::new();
    for seed in 0..400 {
        let mut bench = Bench::new(settings(), seed, &[("a:1", Some(0.1)), ("b:1", Some(0.55))]);
        bench.feed(Event::Request(Request { session_key: None, ..request(1) }));
        bench.pass(100_000);
        *counts.entry(bench.placed(1).expect("placed")).or_insert(0) += 1;
    }
    // Spare capacity squared: 0.81 to 0.2, so about four in five.
    let a = counts[&sid("a:1")];
    assert!((280..=360).contains(&a), "{a} of 400");
}

#[test]
fn an_old_report_is_trusted_less() {
    let share = |age: Micros| {
        let mut settings = settings();
        settings.permissions.health_checks = false;
        let mut count = 0;
        for seed in 0..400 {
            let mut bench = Bench::new(settings.clone(), seed, &[("a:1", None), ("b:1", None)]);
            for (name, l) in [("a:1", 0.1), ("b:1", 0.55)] {
                bench.feed(Event::HealthCheckEnded {
                    endpoint: sid(name),
                    outcome: Outcome::Ok,
                    elapsed: 1_000,
                    report: load(l),
                });
            }
            bench.pass(age);
            bench.feed(Event::Request(Request { session_key: None, ..request(1) }));
            bench.pass(100_000);
            count += usize::from(bench.placed(1) == Some(sid("a:1")));
        }
        count
    };
    let (young, old) = (share(100_000), share(60 * SECOND));
    assert!(young > 270, "{young} of 400");
    assert!((160..=240).contains(&old), "{old} of 400");
}

#[test]
fn a_returning_client_goes_home_while_home_is_ready_and_has_room() {
    let servers: Vec<String> = (0..10).map(|i| format!("s{i}:1")).collect();
    let servers: Vec<(&str, Option<f64>)> = servers.iter().map(|s| (s.as_str(), Some(0.3))).collect();
    let key = request(1).session_key;
    let mut bench = Bench::new(settings(), 7, &servers);
    let home = bench.connect(request(1));
    bench.end(1, 0, Outcome::Cancelled, true);
    // Its race would favour another by now, but home still has room.
    bench.loads.insert(home.clone(), Some(0.6));
    bench.pass(2 * SECOND);
    let back = bench.connect(Request { session_key: key.clone(), reconnecting: true, ..request(2) });
    assert_eq!(back, home);
    bench.end(2, 0, Outcome::Cancelled, true);
    bench.loads.insert(home.clone(), Some(0.93));
    bench.pass(2 * SECOND);
    let away = bench.connect(Request { session_key: key, reconnecting: true, ..request(3) });
    assert_ne!(away, home);
}

#[test]
fn a_mid_flow_connection_goes_to_its_holder_even_while_that_drains_but_not_after_the_grace() {
    for (wait, expect_home) in [(100_000, true), (2 * SECOND, false)] {
        let mut bench = Bench::new(settings(), 7, &three(0.3));
        let home = bench.connect(request(1));
        bench.end(1, 0, Outcome::Cancelled, true);
        bench.feed(delta(vec![draining(&home.0)]));
        bench.pass(wait);
        let again = Request { session_key: request(1).session_key, mid_flow: true, ..request(2) };
        let server = bench.connect(again);
        assert_eq!(server == home, expect_home, "after {wait}");
    }
}

#[test]
fn balancers_agree_unspoken_where_a_group_goes() {
    let names: Vec<String> = (0..30).map(|i| format!("s{i}:1")).collect();
    let servers: Vec<(&str, Option<f64>)> = names.iter().map(|s| (s.as_str(), Some(0.3))).collect();
    let mut used = BTreeMap::new();
    for seed in 0..40 {
        let mut bench = Bench::new(Settings { fleet_size: 40, ..settings() }, seed, &servers);
        *used
            .entry(bench.connect(Request { affinity_group: group("g"), ..request(seed as u32) }))
            .or_insert(0) += 1;
    }
    assert!(used.len() <= 3, "{used:?}");
}

/// A full fleet once spread each group over ever more servers, each of which paid for it.
#[test]
fn a_group_does_not_spill_over_a_full_fleet() {
    let names: Vec<String> = (0..30).map(|i| format!("s{i}:1")).collect();
    let mut servers: Vec<(&str, Option<f64>)> = names.iter().map(|s| (s.as_str(), Some(0.65))).collect();
    let mut used = BTreeMap::new();
    for round in 0..2 {
        for seed in 0..40 {
            let mut bench = Bench::new(Settings { fleet_size: 40, ..settings() }, seed, &servers);
            bench.feed(Event::Request(Request { affinity_group: group("g"), ..request(1) }));
            bench.pass(3 * SECOND);
            if let Some(server) = bench.placed(1) {
                *used.entry(server).or_insert(0) += 1;
            }
        }
        // In the second round all that were used are full.
        for (name, load) in &mut servers {
            if used.contains_key(&sid(name)) {
                *load = Some(1.2);
            }
        }
        assert!(!used.is_empty() && used.len() <= 5, "round {round}: {used:?}");
    }
}

#[test]
fn a_drain_takes_nothing_new_and_its_connections_move_a_few_at_a_time() {
    let mut bench = Bench::new(settings(), 11, &three(0.1));
    let mut on_a = 0;
    for id in 0..60 {
        on_a += usize::from(bench.connect(request(id)) == sid("a:1"));
        bench.pass(300_000);
    }
    assert!(on_a >= 8, "{on_a} connections to move");
    let told = bench.now;
    bench.feed(delta(vec![draining("a:1")]));
    bench.pass(10 * SECOND);
    let moves = bench.moved();
    assert_eq!(moves.len(), on_a);
    assert!(moves.iter().all(|(at, _)| *at <= told + 4 * SECOND));
    let at_once = moves.iter().filter(|(at, _)| *at < told + SECOND / 2).count();
    assert!(at_once < on_a / 2, "{at_once} of {on_a} moved at once");
    for (i, (_, id)) in moves.iter().enumerate() {
        let back = Request {
            session_key: request(id.0).session_key,
            reconnecting: true,
            ..request(1_000 + i as u32)
        };
        assert_ne!(bench.connect(back), sid("a:1"));
    }
}

#[test]
fn a_drain_told_while_a_request_is_held_is_kept() {
    let mut bench = Bench::new(settings(), 11, &[("a:1", Some(0.1))]);
    // The probe is answered only by the hold's end, so the request waits meanwhile.
    let mut out = Vec::new();
    bench.balancer.handle(bench.now, Event::Request(request(1)), &mut out);
    assert!(out.iter().any(|a| matches!(a, Action::CheckHealth(_))), "{out:?}");
    bench.feed(delta(vec![draining("a:1")]));
    let probed = Event::HealthCheckEnded {
        endpoint: sid("a:1"),
        outcome: Outcome::Ok,
        elapsed: 1_000,
        report: load(0.1),
    };
    bench.feed(probed);
    bench.pass(3 * SECOND);
    assert_eq!(bench.places(1), 0);
    assert!(bench.refused(1));
}

#[test]
fn the_pace_of_a_drain_is_learnt() {
    let mut bench = Bench::new(settings(), 13, &three(0.1));
    bench.feed(delta(vec![draining("a:1")]));
    bench.pass(SECOND);
    bench.feed(delta(vec![Endpoint { state: EndpointState::Removed, ..ready("a:1") }]));
    for id in 0..40 {
        bench.connect(request(id));
        bench.pass(300_000);
    }
    let told = bench.now;
    bench.feed(delta(vec![draining("b:1")]));
    bench.pass(10 * SECOND);
    let moves = bench.moved();
    assert!(moves.len() >= 8);
    assert!(
        moves.iter().all(|(at, _)| *at <= told + SECOND),
        "all within the second a drain was seen to last"
    );
}

#[test]
fn a_connection_adopted_at_the_start_is_moved_when_its_server_drains() {
    let mut bench = Bench::new(settings(), 13, &three(0.1));
    bench.feed(Event::ConnectionAdopted(request(1), sid("a:1")));
    assert_eq!(bench.places(1), 0);
    bench.feed(delta(vec![draining("a:1")]));
    bench.pass(5 * SECOND);
    assert_eq!(bench.moved().len(), 1);
}

/// One balancer of many sends no more to a cold server than its share of what that can bear.
#[test]
fn a_cold_server_gets_no_more_than_its_budget() {
    let mut sent = 0;
    let balancers = 20;
    for seed in 0..balancers {
        let settings = Settings { fleet_size: balancers as u32, ..settings() };
        let mut bench = Bench::new(settings, seed, &[("a:1", Some(0.3)), ("b:1", Some(0.3))]);
        for id in 0..3 {
            bench.connect(request(id));
            bench.pass(SECOND);
        }
        bench.loads.insert(sid("cold:1"), Some(0.0));
        bench.feed(delta(vec![Endpoint { started_at: bench.now, ..ready("cold:1") }]));
        for id in 100..140 {
            bench.feed(Event::Request(request(id)));
            bench.pass(50_000);
        }
        bench.pass(SECOND);
        sent += (100..140).filter(|id| bench.placed(*id) == Some(sid("cold:1"))).count();
    }
    // Three seconds: about 50 connections fill it over 20 s; twice that pace, times its warmth, is some four.
    assert!(sent <= 20, "{sent} sent");
    assert!(sent >= 2, "it must fill");
}

#[test]
fn a_silent_servers_connections_are_moved() {
    let mut bench = Bench::new(settings(), 17, &three(0.2));
    let mut held = 0;
    for id in 0..30 {
        held += usize::from(bench.connect(request(id)) == sid("a:1"));
        bench.pass(300_000);
    }
    assert!(held > 3);
    bench.loads.insert(sid("a:1"), None);
    for id in 100..130 {
        bench.feed(Event::Request(request(id)));
        bench.pass(300_000);
    }
    assert_eq!(bench.moved().len(), held);
    let late = (110..130).filter(|id| bench.placed(*id) == Some(sid("a:1"))).count();
    assert_eq!(late, 0, "a suspect gets nothing new");
}

#[test]
fn a_fleet_that_cannot_be_probed_moves_nobody_and_still_serves() {
    let mut bench = Bench::new(settings(), 17, &three(0.2));
    for id in 0..30 {
        bench.connect(request(id));
        bench.pass(300_000);
    }
    for load in bench.loads.values_mut() {
        *load = None;
    }
    for id in 100..130 {
        bench.feed(Event::Request(request(id)));
        bench.pass(300_000);
    }
    let moves = bench.moved().len();
    assert!(moves <= 15, "{moves} of 30 moved: at most one server's");
    assert!((120..130).all(|id| bench.places(id) == 1), "requests are still placed");
}

/// Servers whose load has fallen again but whose piled-up work keeps messages late once drew new connections.
#[test]
fn a_server_with_slow_messages_takes_nothing_new() {
    let mut bench = Bench::new(settings(), 19, &three(0.4));
    let mut id = 0;
    while bench.connect(request(id)) != sid("a:1") {
        id += 1;
    }
    let noted = Event::ConnectionUpdated {
        id: RequestId(id),
        attempt: AttemptId(0),
        endpoint: sid("a:1"),
        update: ConnectionUpdate::MessageLatency(500.0),
    };
    bench.feed(noted);
    let away: Vec<_> = (1_000..1_020).map(|id| bench.connect(request(id))).collect();
    assert!(away.iter().all(|s| *s != sid("a:1")));
}

#[test]
fn a_jammed_server_sheds_a_part_and_the_cheap_class_first() {
    let mut settings = settings();
    settings.classes = vec![
        class(Idempotency::Idempotent),
        RequestClass { priority_weight: 10.0, ..class(Idempotency::Idempotent) },
    ];
    let mut bench = Bench::new(settings, 23, &[("a:1", Some(0.2))]);
    for id in 0..40 {
        bench.connect(Request { class: ClassId(id as usize % 2), ..request(id) });
        bench.pass(200_000);
    }
    bench.feed(Event::HealthCheckEnded {
        endpoint: sid("a:1"),
        outcome: Outcome::Ok,
        elapsed: 1_000,
        report: load(1.1),
    });
    bench.pass(3 * SECOND);
    let moves = bench.moved();
    assert!((6..=20).contains(&moves.len()), "{} of 40", moves.len());
    assert!(moves.iter().all(|(_, id)| id.0 % 2 == 0), "only the cheap class");
}

#[test]
fn a_client_of_a_full_zone_goes_to_its_group_elsewhere() {
    let mut settings = Settings { zone: Some(ZoneId(0)), ..settings() };
    settings.prices.cross_zone = 0.1;
    let mut bench = Bench::new(settings, 47, &[]);
    let entries: Vec<Endpoint> =
        (0..12).map(|i| Endpoint { zone: Some(ZoneId(i % 2)), ..ready(&format!("s{i}:1")) }).collect();
    for entry in &entries {
        let load = if entry.zone == Some(ZoneId(0)) { 1.1 } else { 0.3 };
        bench.loads.insert(entry.id.clone(), Some(load));
    }
    bench.feed(full(entries));
    for id in 0..20 {
        bench.feed(Event::Request(Request { affinity_group: group("g"), ..request(id) }));
        bench.pass(2 * SECOND);
        assert!(!bench.refused(id) && bench.places(id) == 1, "request {id}");
    }
}

#[test]
fn a_full_fleet_refuses_and_says_when_to_come_back() {
    let mut bench = Bench::new(settings(), 29, &three(1.2));
    for id in 0..5 {
        bench.feed(Event::Request(request(id)));
        bench.pass(3 * SECOND);
        assert_eq!(bench.places(id), 0);
    }
    let waits: Vec<Micros> = bench
        .done
        .iter()
        .filter_map(
            |(_, a)| if let Action::Reject { retry_after, .. } = a { Some(*retry_after) } else { None },
        )
        .collect();
    assert_eq!(waits.len(), 5);
    assert!(waits.iter().all(|w| (SECOND / 2..=SECOND).contains(w)));
}

#[test]
fn discovery_is_watched_and_asked_again_later_each_time_it_refuses() {
    let settings = Settings { discovery: DiscoveryMode::OnRequest, ..settings() };
    let mut bench = Bench::new(settings, 31, &three(0.2));
    let mut waits = Vec::new();
    for _ in 0..4 {
        let asked = bench.now;
        let calls = |b: &Bench| b.done.iter().filter(|(_, a)| *a == Action::Watch(true)).count();
        let before = calls(&bench);
        while calls(&bench) == before {
            bench.pass(50_000);
            assert!(bench.now < asked + 10 * SECOND, "it asks within the time that counts as told");
        }
        waits.push(bench.now - asked);
        bench.feed(Event::EndpointsUpdated { version: 0, update: EndpointUpdate::Failed });
    }
    assert!(waits[3] > waits[1], "{waits:?}");
    bench.connect(request(1)); // the last list is kept
}

#[test]
fn a_complete_list_removes_what_it_does_not_name() {
    let mut bench = Bench::new(settings(), 37, &three(0.2));
    bench.feed(full(vec![ready("b:1")]));
    for id in 0..10 {
        assert_eq!(bench.connect(request(id)), sid("b:1"));
    }
}

#[test]
fn a_restarted_balancer_serves_from_its_remembered_list() {
    let mut bench = Bench::new(settings(), 41, &[]);
    bench.loads.insert(sid("a:1"), Some(0.2));
    let cached = EndpointUpdate::Cached(Arc::new(vec![ready("a:1")]));
    bench.feed(Event::EndpointsUpdated { version: 7, update: cached });
    assert_eq!(bench.connect(request(1)), sid("a:1"));
}

#[test]
fn probing_does_not_grow_with_the_fleet() {
    let probes = |n: usize| {
        let names: Vec<String> = (0..n).map(|i| format!("s{i}:1")).collect();
        let servers: Vec<(&str, Option<f64>)> = names.iter().map(|s| (s.as_str(), Some(0.3))).collect();
        let mut bench = Bench::new(settings(), 43, &servers);
        for id in 0..50 {
            bench.connect(request(id));
            bench.pass(SECOND);
        }
        bench.probes
    };
    let (small, large) = (probes(20), probes(200));
    assert!(large <= small + small / 4, "{small} against {large}");
}

#[test]
fn a_request_that_cannot_be_placed_is_refused_while_the_client_has_time_to_come_back() {
    let mut bench = Bench::new(settings(), 3, &[]);
    bench.feed(Event::Request(request(1)));
    bench.pass(3 * SECOND);
    let refused = bench.done.iter().find(|(_, a)| matches!(a, Action::Reject { id, .. } if id.0 == 1));
    let (at, _) = refused.expect("a refusal");
    let (deadline, attempt) = (START + 2 * SECOND, SECOND / 2);
    assert!(*at + attempt <= deadline, "held until {} us before the deadline", deadline - at);
}

/// A connection that stood far away before the start, with one server near and the given load there.
fn far_from_home(load_near: f64) -> Bench {
    let mut settings = settings();
    (settings.zone, settings.prices.cross_zone) = (Some(ZoneId(0)), 0.2);
    let mut bench = Bench::new(settings, 3, &[("a:1", Some(load_near)), ("b:1", Some(0.1))]);
    let at = |name, zone| Endpoint { zone: Some(ZoneId(zone)), ..ready(name) };
    bench.feed(delta(vec![at("a:1", 0), at("b:1", 1)]));
    bench.feed(Event::ConnectionAdopted(request(1), sid("b:1")));
    bench.pass(6 * SECOND);
    bench
}

#[test]
fn a_connection_that_crosses_zones_is_brought_home_once_there_is_room() {
    let mut bench = far_from_home(0.2);
    assert_eq!(bench.moved().iter().map(|(_, id)| id.0).collect::<Vec<_>>(), [1]);
    assert_eq!(bench.connect(request(2)), sid("a:1"));
    bench.pass(6 * SECOND);
    assert_eq!(bench.moved().len(), 1, "at home it stays");
    assert!(far_from_home(0.7).moved().is_empty(), "without room at home it stays where it is");
}

#[test]
fn a_server_that_answers_probes_with_errors_keeps_what_stands_there() {
    let mut bench = Bench::new(settings(), 3, &three(0.2));
    (1..=20).for_each(|id| bench.feed(Event::ConnectionAdopted(request(id), sid("a:1"))));
    bench.errs = Some(sid("a:1"));
    bench.feed(Event::HealthCheckEnded {
        endpoint: sid("a:1"),
        outcome: Outcome::Error,
        elapsed: 1_000,
        report: None,
    });
    (31..=35).for_each(|id| assert_ne!(bench.connect(request(id)), sid("a:1"), "nothing new goes there"));
    bench.pass(3 * SECOND);
    assert!(bench.moved().is_empty());
    assert!(bench.probes < 30, "{} probes", bench.probes);
}

#[test]
fn connections_that_left_all_at_once_are_not_too_heavy_to_come_back() {
    let mut settings = settings();
    settings.fleet_size = 2;
    let mut bench = Bench::new(settings, 3, &three(0.3));
    bench.terse = true;
    for id in 1..=24 {
        bench.connect(request(id));
        bench.pass(SECOND / 2);
    }
    bench.pass(8 * SECOND);
    (1..=24).for_each(|id| bench.end(id, 0, Outcome::Cancelled, true));
    bench.pass(SECOND);
    (31..=33).for_each(|id| drop(bench.connect(request(id))));
    bench.pass(2 * SECOND);
    for id in 41..=61 {
        bench.feed(Event::Request(request(id)));
        bench.pass(5_000);
    }
    bench.pass(2 * SECOND);
    let refused = (41..=61).filter(|id| bench.refused(*id)).count();
    assert_eq!(refused, 0);
}

#[test]
fn a_jammed_server_sheds_most_of_its_load_while_the_others_are_idle() {
    let mut bench = Bench::new(settings(), 3, &[("a:1", Some(1.0)), ("b:1", Some(0.1)), ("c:1", Some(0.1))]);
    (1..=40).for_each(|id| bench.feed(Event::ConnectionAdopted(request(id), sid("a:1"))));
    bench.feed(Event::Request(request(50)));
    let probe = Event::HealthCheckEnded {
        endpoint: sid("a:1"),
        outcome: Outcome::Ok,
        elapsed: 1_000,
        report: load(1.0),
    };
    bench.feed(probe);
    bench.pass(2 * SECOND);
    assert!(bench.moved().len() > 16, "{} of 40", bench.moved().len());
}

/// Where there are many balancers, each sees one or two connections. Each once took two servers a group,
/// brought one home every tick, and took what it had just placed itself for a thirtieth of a wave.
fn many(size: u32, load: f64) -> Vec<Bench> {
    let mut settings = Settings { fleet_size: size, zone: Some(ZoneId(0)), ..settings() };
    settings.prices.cross_zone = 0.2;
    let names: Vec<String> = (0..12).map(|i| format!("s{i}:1")).collect();
    let entries =
        || names.iter().enumerate().map(|(i, n)| Endpoint { zone: Some(ZoneId(i % 4)), ..ready(n) });
    let servers: Vec<(&str, Option<f64>)> = names.iter().map(|s| (s.as_str(), Some(load))).collect();
    let bench = |seed| {
        let mut bench = Bench::new(settings.clone(), seed, &servers);
        bench.terse = true;
        bench.feed(delta(entries().collect()));
        bench
    };
    (0..u64::from(size)).map(bench).collect()
}

#[test]
fn a_group_keeps_to_few_servers_however_many_balancers_see_one_of_it() {
    for size in [100, 400] {
        let mut used = BTreeMap::new();
        for bench in &mut many(size, 0.4) {
            *used.entry(bench.connect(Request { affinity_group: group("g"), ..request(1) })).or_insert(0) +=
                1;
        }
        assert_eq!(used.len(), 1, "{size}: {used:?}");
    }
}

#[test]
fn all_balancers_together_bring_home_a_bounded_number() {
    for size in [4, 100, 400] {
        let mut moved = 0;
        for bench in &mut many(size, 0.2) {
            bench.feed(Event::ConnectionAdopted(request(1), sid("s1:1")));
            bench.feed(Event::ConnectionAdopted(request(2), sid("s2:1")));
            bench.pass(3 * SECOND);
            moved += bench.moved().len();
        }
        assert!((1..=50).contains(&moved), "{size}: {moved} in the first second in which they may move");
    }
}

#[test]
fn one_own_placement_is_no_wave_where_there_are_many_balancers() {
    for bench in &mut many(400, 0.3) {
        let first = bench.connect(Request { affinity_group: group("g"), ..request(1) });
        let second = bench.connect(Request { affinity_group: group("g"), ..request(2) });
        assert_eq!(first, second);
    }
}

#[test]
fn a_suspect_is_probed_at_a_pace_for_all_balancers_together() {
    for size in [4, 100, 400] {
        let mut probes = 0;
        for bench in &mut many(size, 0.3) {
            bench.errs = Some(sid("s1:1"));
            let error = || Event::HealthCheckEnded {
                endpoint: sid("s1:1"),
                outcome: Outcome::Error,
                elapsed: 1_000,
                report: None,
            };
            (0..3).for_each(|_| bench.feed(error()));
            bench.pass(SECOND);
            let before = bench.probes;
            bench.pass(20 * SECOND);
            probes += bench.probes - before;
        }
        assert!((1..=600).contains(&probes), "{size}: {probes} probes in 20 s");
    }
}
