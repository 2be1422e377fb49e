//! Load of the discovery service by whole fleets, on a simulated clock.

mod simulated_service;

use simulated_service::{S, Scenario, ServiceChange, ServiceStats, simulate};

/// Work of the cheapest sufficient requests, in seconds.
fn least_work(scenario: &Scenario) -> f64 {
    let part = if scenario.held_version == 0 { 1.0 } else { 0.38 };
    scenario.relays as f64 * scenario.full_list_cost as f64 / 1e6 * part
}

/// A scenario with relays that are all configured with the right fleet size.
fn fleet_of(relays: usize) -> Scenario {
    Scenario { relays, configured_fleet_size: relays as u32, ..Scenario::default() }
}

/// Asserts that the last relay holds the list in time, and that at most a twentieth of the work is wasted.
fn assert_listed_in_time(name: &str, scenario: &Scenario, downtime_s: f64) -> ServiceStats {
    let stats = simulate(scenario);
    let most = 1.5 * (least_work(scenario) + downtime_s) + 2.0;
    let last = stats.last_listed().unwrap_or(f64::INFINITY);
    assert!(
        last <= most,
        "{name}, seed {}: the last list after {last:.1} s, {most:.1} wanted",
        scenario.seed
    );
    assert!(
        stats.wasted <= 0.05 * stats.work,
        "{name}, seed {}: {:.1} of {:.1} s wasted",
        scenario.seed,
        stats.wasted,
        stats.work
    );
    stats
}

#[test]
fn every_relay_has_the_list_in_time_for_any_fleet_size_and_held_list() {
    for seed in 1..=5 {
        for relays in [4, 40, 100, 300] {
            for held_version in [0, 3] {
                let scenario = Scenario { held_version, seed, ..fleet_of(relays) };
                let stats = assert_listed_in_time("healthy", &scenario, 0.0);
                // The notification deadline comes first: a watch behind the requests of 300 starts may be abandoned.
                let abandoned = if relays < 300 { 0 } else { relays as u64 / 10 };
                assert!(stats.failed <= abandoned, "{} requests of {relays} relays failed", stats.failed);
                let expected = if held_version == 0 { relays as u64 } else { 0 };
                assert_eq!(stats.full_list_requests, expected, "a relay with a list requests changes only");
            }
        }
    }
}

#[test]
fn request_rate_at_start_does_not_grow_with_the_fleet_size() {
    let rate = |relays| {
        let stats = simulate(&Scenario { held_version: 0, ..fleet_of(relays) });
        stats.by_second.iter().take(4).max().copied().unwrap_or(0)
    };
    let (few, many) = (rate(100), rate(400));
    // First requests, and the watches of relays that were answered.
    assert!(many <= few + few / 4, "{many} a second of 400 relays, {few} of 100");
}

#[test]
fn service_that_returns_gets_no_burst_of_requests() {
    for seed in 1..=3 {
        let changes = vec![(0, ServiceChange::Down), (20 * S, ServiceChange::Up)];
        let scenario = Scenario { held_version: 0, seed, changes, ..fleet_of(300) };
        let stats = assert_listed_in_time("down", &scenario, 20.0);
        let while_down = stats.by_second[..20].iter().max().copied().unwrap_or(0);
        assert!(while_down <= 80, "{while_down} requests in a second while it is down");
        // 45 requests a second return, and the watches of relays that were answered.
        let after = stats.by_second[20..].iter().max().copied().unwrap_or(0);
        assert!(after <= 120, "{after} requests in a second after the return");
        assert!(stats.longest_queue <= 60, "a queue of {}", stats.longest_queue);
        assert_eq!(stats.failed, stats.refused, "none that reached the service failed");
    }
}

#[test]
fn overloaded_service_without_rejection_recovers_with_little_wasted_work() {
    for seed in 1..=3 {
        // Responses come after the relays' timeouts, and nothing is rejected.
        let changes = vec![
            (0, ServiceChange::RejectLate(false)),
            (0, ServiceChange::FullListCost(400_000)),
            (20 * S, ServiceChange::FullListCost(20_000)),
        ];
        let stats = simulate(&Scenario { seed, changes, ..fleet_of(300) });
        let last = stats.last_listed().expect("all have the list");
        assert!(last <= 30.0, "seed {seed}: {last:.1} s");
        let wasted = stats.wasted / stats.work;
        assert!(wasted <= 0.12, "seed {seed}: {wasted:.2} of its work wasted");
        // Three times what the fleet takes with a healthy service.
        let healthy = simulate(&Scenario { seed, ..fleet_of(300) }).last_listed().expect("all have the list");
        assert!(last - 20.0 <= 3.0 * healthy, "{last:.1} s, {healthy:.1} with a healthy service");
    }
}

#[test]
fn rejected_requests_back_off_and_succeed() {
    for seed in 1..=3 {
        // A service four times slower than assumed.
        let scenario =
            Scenario { held_version: 0, full_list_cost: 80_000, seed, length: 120 * S, ..fleet_of(100) };
        let stats = assert_listed_in_time("slow", &scenario, 0.0);
        assert!(stats.failed <= 100, "{} requests failed", stats.failed);
        assert!(stats.full_list_requests <= 200, "{} full lists", stats.full_list_requests);
    }
}

#[test]
fn relays_stopped_together_do_not_stay_synchronized() {
    let changes = vec![(20 * S, ServiceChange::StopRelays(28 * S))];
    let stats = simulate(&Scenario { changes, ..fleet_of(300) });
    assert_eq!(stats.failed, 0);
    let peak = |from: usize| stats.by_second[from..from + 5].iter().max().copied().unwrap_or(0);
    assert!(stats.by_second[28] >= 250, "all timers are due at once: {:?}", &stats.by_second[28..]);
    assert!(peak(50) <= 100, "after some rounds they are not in step: {:?}", &stats.by_second[28..]);
}

#[test]
fn wrong_fleet_size_wastes_no_work_of_the_service() {
    for configured_fleet_size in [0, 30, 3_000] {
        let stats = simulate(&Scenario { configured_fleet_size, held_version: 0, ..fleet_of(300) });
        let last = stats.last_listed().expect("all have the list");
        assert!(last <= 1.5 * 6.0 + 2.0, "configured_fleet_size {configured_fleet_size}: {last:.1} s");
        assert!(
            stats.wasted <= 0.05 * stats.work,
            "configured_fleet_size {configured_fleet_size}: {:.1} of {:.1} s",
            stats.wasted,
            stats.work
        );
    }
}

#[test]
fn list_changes_cause_no_full_list_requests() {
    let changes = (0..20).map(|i| (20 * S + i * S / 5, ServiceChange::EndpointChange)).collect();
    let stats = simulate(&Scenario { changes, ..fleet_of(300) });
    assert_eq!(stats.full_list_requests, 0);
}

/// Ten thousand relays overload a service of 50 lists a second, as the maximum list age bounds the spread of first
/// requests.
#[test]
fn oversized_fleet_gets_the_list_eventually() {
    let scenario = Scenario { full_list_cost: 5_000, length: 240 * S, ..fleet_of(10_000) };
    let stats = simulate(&scenario);
    assert!(stats.last_listed().is_some(), "some never had the list");
    assert!(stats.wasted <= 0.05 * stats.work);
}

/// A relay that restarts each second draws a new delay each time, so the service sees only some of its incarnations.
#[test]
fn relay_that_restarts_each_second_does_not_make_a_request_each_time() {
    let requesting: u64 = (0..200)
        .map(|incarnation| {
            let scenario = Scenario {
                relays: 1,
                configured_fleet_size: 300,
                seed: 1_000 + incarnation,
                length: S,
                ..Scenario::default()
            };
            simulate(&scenario).requests.min(1)
        })
        .sum();
    assert!((30..=90).contains(&requesting), "{requesting} of 200 incarnations made a request");
}

#[test]
fn same_seed_gives_the_same_run() {
    let scenario =
        || Scenario { changes: vec![(S, ServiceChange::Down), (5 * S, ServiceChange::Up)], ..fleet_of(100) };
    assert_eq!(format!("{:?}", simulate(&scenario())), format!("{:?}", simulate(&scenario())));
}
