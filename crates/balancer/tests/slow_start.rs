//! Tests of what all balancers together send to an endpoint in slow start, without communication.

mod support;

use honeyknot_balancer::slow_start::{self, SlowStartBudget};
use honeyknot_balancer::{Endpoint, Event, Micros, Rules, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Harness, SECOND, delta_update, endpoint_id, ready_endpoint, request, settings};

const MILLISECOND: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn rules(
    overload_factor: f64, overload_duration: Micros, slow_start_duration: Micros, initial_capacity: f64,
) -> Rules {
    Rules {
        answer_grace: 0,
        max_list_age: 0,
        initial_capacity,
        slow_start_duration,
        drain_grace: 500 * MILLISECOND,
        overload_factor,
        overload_duration,
    }
}

/// Returns the rules of three deployments, and of one whose endpoints withstand only a small overload but for
/// a long time, each with the number of connections that an endpoint holds at full capacity.
fn deployments() -> [(Rules, f64); 4] {
    [
        (rules(3.0, 2_000 * MILLISECOND, 9_000 * MILLISECOND, 0.32), 33.0),
        (rules(3.0, 2_000 * MILLISECOND, 24_000 * MILLISECOND, 0.13), 90.0),
        (rules(2.5, 1_500 * MILLISECOND, 8_500 * MILLISECOND, 0.3), 50.0),
        (rules(1.4, 4_000 * MILLISECOND, 12_000 * MILLISECOND, 0.2), 60.0),
    ]
}

/// Returns the times of the connections if every balancer uses all of its budget from `from` after the start
/// on.
fn connection_times(
    rules: &Rules, max_connections: f64, balancers: usize, from: Micros, seed: u64,
) -> Vec<Micros> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rate = slow_start::budget_rate(rules, max_connections, balancers as f64);
    let mut budgets: Vec<SlowStartBudget> =
        (0..balancers).map(|_| SlowStartBudget::new(rng.random())).collect();
    let mut connection_times = Vec::new();
    for step in from / (20 * MILLISECOND)..rules.slow_start_duration / (20 * MILLISECOND) {
        let now = START + step * 20 * MILLISECOND;
        for budget in &mut budgets {
            if budget.allows(rules, START, now, rate) {
                budget.consume(rules, START, now, rate);
                connection_times.push(now);
            }
        }
    }
    connection_times
}

/// Returns the highest number of connections in any `overload_duration`, as a fraction of the limit
/// `N + k * sqrt(N) + k`, where N is what the endpoint withstands at its capacity at the end of that period.
fn highest_fraction(rules: &Rules, max_connections: f64, connection_times: &[Micros], k: f64) -> f64 {
    let fraction_of_limit = |(i, from): (usize, &Micros)| {
        let count =
            connection_times[i..].iter().take_while(|time| **time < from + rules.overload_duration).count()
                as f64;
        let capacity = slow_start::warm_up_fraction(rules, START, from + rules.overload_duration)
            * max_connections
            / rules.slow_start_duration as f64;
        let n = rules.overload_factor * capacity * rules.overload_duration as f64;
        count / (n + k * n.sqrt() + k)
    };
    connection_times.iter().enumerate().map(fraction_of_limit).fold(0.0, f64::max)
}

/// Under steady demand, all balancers together stay below the stricter limit with every seed.
#[test]
fn budgets_of_any_number_of_balancers_together_stay_below_the_limit() {
    for (rules, max_connections) in deployments() {
        for balancers in [4, 20, 30, 300] {
            let mut worst: f64 = 0.0;
            for seed in 0..60 {
                let connection_times = connection_times(&rules, max_connections, balancers, 0, seed);
                worst = worst.max(highest_fraction(&rules, max_connections, &connection_times, 2.0));
            }
            assert!(worst < 1.0, "{balancers} balancers, {rules:?}: {worst:.2} of the limit");
            // Budgets of less than one connection must not be rounded down to none.
            assert!(worst > 0.35, "{balancers} balancers, {rules:?}: {worst:.2} of the limit");
        }
    }
}

/// After a lull, all pending requests arrive at once. Whenever that is, the limit of the rules must hold for
/// 99% of the seeds, and the stricter one for 90%.
#[test]
fn burst_after_a_lull_is_bounded() {
    for (rules, max_connections) in deployments() {
        for balancers in [4, 30, 300] {
            let (mut over_strict_limit, mut over_rule_limit, seeds) = (0, 0, 200);
            for seed in 0..seeds {
                let from = rules.slow_start_duration / 10 * (seed % 8);
                let connection_times = connection_times(&rules, max_connections, balancers, from, seed);
                over_strict_limit +=
                    u32::from(highest_fraction(&rules, max_connections, &connection_times, 2.0) >= 1.0);
                over_rule_limit +=
                    u32::from(highest_fraction(&rules, max_connections, &connection_times, 3.0) >= 1.0);
            }
            assert!(
                over_rule_limit <= 2,
                "{balancers} balancers, {rules:?}: {over_rule_limit} of {seeds} over the limit of the rules"
            );
            assert!(
                over_strict_limit <= 20,
                "{balancers} balancers, {rules:?}: {over_strict_limit} of {seeds} over the stricter limit"
            );
        }
    }
}

/// A balancer sends no more to an endpoint in slow start than its share of what the endpoint withstands.
#[test]
fn endpoint_in_slow_start_gets_no_more_than_its_budget() {
    let mut sent = 0;
    let balancers = 20;
    for seed in 0..balancers {
        let settings = Settings { fleet_size: balancers as u32, ..settings() };
        let mut harness = Harness::new(settings, seed, &[("a:1", Some(0.3)), ("b:1", Some(0.3))]);
        for id in 0..3 {
            harness.connect(request(id));
            harness.advance(SECOND);
        }
        harness.reported_loads.insert(endpoint_id("cold:1"), Some(0.0));
        harness.handle(delta_update(vec![Endpoint { started_at: harness.now, ..ready_endpoint("cold:1") }]));
        for id in 100..140 {
            harness.handle(Event::Request(request(id)));
            harness.advance(50_000);
        }
        harness.advance(SECOND);
        sent += (100..140).filter(|id| harness.last_endpoint(*id) == Some(endpoint_id("cold:1"))).count();
    }
    // The endpoint holds about 50 connections and fills over 20 s. Twice that rate, times its warm-up
    // fraction, is about four connections in three seconds.
    assert!(sent <= 20, "{sent} connections sent");
    assert!(sent >= 2, "the endpoint should get connections during its slow start");
}
