//! Load that whole fleets put on the discovery service, on a simulated clock.

mod simulated_service;

use simulated_service::{S, Scenario, ServiceChange, ServiceStats, simulate};

/// Returns the service's work, in seconds, if each relay makes only the cheapest request that yields the
/// list.
fn min_work(scenario: &Scenario) -> f64 {
    let cost_share = if scenario.initial_version == 0 { 1.0 } else { 0.38 };
    scenario.relays as f64 * scenario.full_list_cost as f64 / 1e6 * cost_share
}

/// Returns a scenario whose relays are configured with the actual fleet size.
fn fleet_of(relays: usize) -> Scenario {
    Scenario { relays, configured_fleet_size: relays as u32, ..Scenario::default() }
}

/// Asserts that the last relay has the list in time and that at most 5 % of the service's work is wasted.
fn assert_listed_in_time(name: &str, scenario: &Scenario, downtime_s: f64) -> ServiceStats {
    let stats = simulate(scenario);
    let max_s = 1.5 * (min_work(scenario) + downtime_s) + 2.0;
    let last = stats.last_listed().unwrap_or(f64::INFINITY);
    assert!(
        last <= max_s,
        "{name}, seed {}: the last relay got the list after {last:.1} s, expected at most {max_s:.1} s",
        scenario.seed
    );
    assert!(
        stats.wasted_work_s <= 0.05 * stats.work_s,
        "{name}, seed {}: {:.1} s of {:.1} s of work wasted",
        scenario.seed,
        stats.wasted_work_s,
        stats.work_s
    );
    stats
}

#[test]
fn every_relay_gets_the_list_in_time_for_any_fleet_size_and_initial_list() {
    for seed in 1..=5 {
        for relays in [4, 40, 100, 300] {
            for initial_version in [0, 3] {
                let scenario = Scenario { initial_version, seed, ..fleet_of(relays) };
                let stats = assert_listed_in_time("healthy", &scenario, 0.0);
                // The notification deadline takes precedence: a watch queued behind the first requests of 300
                // relays may be abandoned.
                let abandoned = if relays < 300 { 0 } else { relays as u64 / 10 };
                assert!(stats.failed <= abandoned, "{} requests of {relays} relays failed", stats.failed);
                let expected = if initial_version == 0 { relays as u64 } else { 0 };
                assert_eq!(
                    stats.full_list_requests, expected,
                    "a relay with a list must request changes only"
                );
            }
        }
    }
}

#[test]
fn request_rate_at_start_does_not_grow_with_the_fleet_size() {
    let rate = |relays| {
        let stats = simulate(&Scenario { initial_version: 0, ..fleet_of(relays) });
        stats.requests_by_second.iter().take(4).max().copied().unwrap_or(0)
    };
    let (few, many) = (rate(100), rate(400));
    // The rate includes first requests and the watches of relays that have been answered.
    assert!(many <= few + few / 4, "{many} requests a second by 400 relays, {few} by 100");
}

#[test]
fn service_back_after_an_outage_gets_no_burst_of_requests() {
    for seed in 1..=3 {
        let changes = vec![(0, ServiceChange::Down), (20 * S, ServiceChange::Up)];
        let scenario = Scenario { initial_version: 0, seed, changes, ..fleet_of(300) };
        let stats = assert_listed_in_time("down", &scenario, 20.0);
        let while_down = stats.requests_by_second[..20].iter().max().copied().unwrap_or(0);
        assert!(while_down <= 80, "{while_down} requests in a second while the service is down");
        // 45 retries a second, and the watches of relays that have been answered.
        let after = stats.requests_by_second[20..].iter().max().copied().unwrap_or(0);
        assert!(after <= 120, "{after} requests in a second after the service is back");
        assert!(stats.longest_queue <= 60, "longest queue: {} requests", stats.longest_queue);
        assert_eq!(stats.failed, stats.refused, "no request that reached the service may fail");
    }
}

#[test]
fn overloaded_service_without_rejection_recovers_with_little_wasted_work() {
    for seed in 1..=3 {
        // Responses arrive after the relays' timeouts, and the service rejects nothing.
        let changes = vec![
            (0, ServiceChange::RejectLate(false)),
            (0, ServiceChange::FullListCost(400_000)),
            (20 * S, ServiceChange::FullListCost(20_000)),
        ];
        let stats = simulate(&Scenario { seed, changes, ..fleet_of(300) });
        let last = stats.last_listed().expect("every relay has the list");
        assert!(last <= 30.0, "seed {seed}: the last relay got the list after {last:.1} s");
        let wasted = stats.wasted_work_s / stats.work_s;
        assert!(wasted <= 0.12, "seed {seed}: {wasted:.2} of the work wasted");
        // Allows three times the time that the fleet needs with a healthy service.
        let healthy =
            simulate(&Scenario { seed, ..fleet_of(300) }).last_listed().expect("every relay has the list");
        assert!(last - 20.0 <= 3.0 * healthy, "after {last:.1} s, with a healthy service {healthy:.1} s");
    }
}

#[test]
fn rejected_requests_back_off_and_succeed() {
    for seed in 1..=3 {
        // The service is four times slower than the relays assume.
        let scenario =
            Scenario { initial_version: 0, full_list_cost: 80_000, seed, length: 120 * S, ..fleet_of(100) };
        let stats = assert_listed_in_time("slow", &scenario, 0.0);
        assert!(stats.failed <= 100, "{} requests failed", stats.failed);
        assert!(stats.full_list_requests <= 200, "{} requests for the full list", stats.full_list_requests);
    }
}

#[test]
fn relays_stopped_together_do_not_stay_synchronized() {
    let changes = vec![(20 * S, ServiceChange::StopRelays(28 * S))];
    let stats = simulate(&Scenario { changes, ..fleet_of(300) });
    assert_eq!(stats.failed, 0);
    let peak = |from: usize| stats.requests_by_second[from..from + 5].iter().max().copied().unwrap_or(0);
    assert!(
        stats.requests_by_second[28] >= 250,
        "all requests are due at once: {:?}",
        &stats.requests_by_second[28..]
    );
    assert!(
        peak(50) <= 100,
        "the relays are still synchronized after some rounds: {:?}",
        &stats.requests_by_second[28..]
    );
}

#[test]
fn wrong_fleet_size_wastes_little_work_of_the_service() {
    for configured_fleet_size in [0, 30, 3_000] {
        let stats = simulate(&Scenario { configured_fleet_size, initial_version: 0, ..fleet_of(300) });
        let last = stats.last_listed().expect("every relay has the list");
        assert!(last <= 1.5 * 6.0 + 2.0, "configured_fleet_size {configured_fleet_size}: {last:.1} s");
        assert!(
            stats.wasted_work_s <= 0.05 * stats.work_s,
            "configured_fleet_size {configured_fleet_size}: {:.1} s of {:.1} s of work wasted",
            stats.wasted_work_s,
            stats.work_s
        );
    }
}

#[test]
fn list_changes_cause_no_full_list_requests() {
    let changes = (0..20).map(|i| (20 * S + i * S / 5, ServiceChange::EndpointChange)).collect();
    let stats = simulate(&Scenario { changes, ..fleet_of(300) });
    assert_eq!(stats.full_list_requests, 0);
}

/// Ten thousand relays overload a service that answers 200 full lists a second, because the maximum list age
/// bounds the spread of first requests.
#[test]
fn oversized_fleet_gets_the_list_eventually() {
    let scenario = Scenario { full_list_cost: 5_000, length: 240 * S, ..fleet_of(10_000) };
    let stats = simulate(&scenario);
    assert!(stats.last_listed().is_some(), "some relay never got the list");
    assert!(stats.wasted_work_s <= 0.05 * stats.work_s);
}

/// A relay that restarts every second draws a new delay after each start, so only some of its starts lead to
/// a request.
#[test]
fn relay_that_restarts_every_second_does_not_make_a_request_after_each_start() {
    let requesting: u64 = (0..200)
        .map(|restart| {
            let scenario = Scenario {
                relays: 1,
                configured_fleet_size: 300,
                seed: 1_000 + restart,
                length: S,
                ..Scenario::default()
            };
            simulate(&scenario).requests.min(1)
        })
        .sum();
    assert!((30..=90).contains(&requesting), "{requesting} of 200 starts led to a request");
}

#[test]
fn same_seed_gives_the_same_run() {
    let scenario =
        || Scenario { changes: vec![(S, ServiceChange::Down), (5 * S, ServiceChange::Up)], ..fleet_of(100) };
    assert_eq!(format!("{:?}", simulate(&scenario())), format!("{:?}", simulate(&scenario())));
}
