//! What all balancers together send to an endpoint in slow start, without knowing of each other.

mod support;

use honeyknot_balancer::slow_start::{self, SlowStartBudget};
use honeyknot_balancer::{Endpoint, Event, Micros, Rules, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Harness, SECOND, delta_update, endpoint_id, ready_endpoint, request, settings};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn rules(
    overload_factor: f64, overload_duration: Micros, slow_start_duration: Micros, initial_capacity: f64,
) -> Rules {
    Rules {
        answer_grace: 0,
        max_list_age: 0,
        initial_capacity,
        slow_start_duration,
        drain_grace: 500 * MS,
        overload_factor,
        overload_duration,
    }
}

/// Rules of three deployments, and of one where endpoints bear little for long; with the connections that an
/// endpoint holds.
fn deployments() -> [(Rules, f64); 4] {
    [
        (rules(3.0, 2_000 * MS, 9_000 * MS, 0.32), 33.0),
        (rules(3.0, 2_000 * MS, 24_000 * MS, 0.13), 90.0),
        (rules(2.5, 1_500 * MS, 8_500 * MS, 0.3), 50.0),
        (rules(1.4, 4_000 * MS, 12_000 * MS, 0.2), 60.0),
    ]
}

/// When connections are sent if every balancer uses all of its budget from `from` on.
fn calls(rules: &Rules, max_connections: f64, balancers: usize, from: Micros, seed: u64) -> Vec<Micros> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rate = slow_start::budget_rate(rules, max_connections, balancers as f64);
    let mut budgets: Vec<SlowStartBudget> =
        (0..balancers).map(|_| SlowStartBudget::new(rng.random())).collect();
    let mut calls = Vec::new();
    for step in from / (20 * MS)..rules.slow_start_duration / (20 * MS) {
        let now = START + step * 20 * MS;
        for budget in &mut budgets {
            if budget.allows(rules, START, now, rate) {
                budget.consume(rules, START, now, rate);
                calls.push(now);
            }
        }
    }
    calls
}

/// The most connections in any `overload_duration`, as a fraction of `N + k * sqrt(N) + k`, where N is what
/// the endpoint bears by its capacity at the end of that time.
fn highest_fraction(rules: &Rules, max_connections: f64, calls: &[Micros], k: f64) -> f64 {
    let part = |(i, from): (usize, &Micros)| {
        let there = calls[i..].iter().take_while(|at| **at < from + rules.overload_duration).count() as f64;
        let capacity = slow_start::warm_up_fraction(rules, START, from + rules.overload_duration)
            * max_connections
            / rules.slow_start_duration as f64;
        let n = rules.overload_factor * capacity * rules.overload_duration as f64;
        there / (n + k * n.sqrt() + k)
    };
    calls.iter().enumerate().map(part).fold(0.0, f64::max)
}

/// Under steady demand the sum stays under the stricter limit for every seed.
#[test]
fn budgets_of_any_number_of_balancers_stay_under_the_limit() {
    for (rules, max_connections) in deployments() {
        for balancers in [4, 20, 30, 300] {
            let mut worst: f64 = 0.0;
            for seed in 0..60 {
                let calls = calls(&rules, max_connections, balancers, 0, seed);
                worst = worst.max(highest_fraction(&rules, max_connections, &calls, 2.0));
            }
            assert!(worst < 1.0, "{balancers} balancers, {rules:?}: {worst:.2} of the limit");
            // Parts below one are not rounded down either.
            assert!(worst > 0.35, "{balancers} balancers, {rules:?}: {worst:.2} of the limit");
        }
    }
}

/// After a lull all pending requests come at once. The rule's limit holds for all but one of a hundred seeds,
/// whatever the time; the stricter one for nine of ten.
#[test]
fn burst_after_a_lull_is_bounded() {
    for (rules, max_connections) in deployments() {
        for balancers in [4, 30, 300] {
            let (mut strict, mut rule, draws) = (0, 0, 200);
            for seed in 0..draws {
                let from = rules.slow_start_duration / 10 * (seed % 8);
                let calls = calls(&rules, max_connections, balancers, from, seed);
                strict += u32::from(highest_fraction(&rules, max_connections, &calls, 2.0) >= 1.0);
                rule += u32::from(highest_fraction(&rules, max_connections, &calls, 3.0) >= 1.0);
            }
            assert!(rule <= 2, "{balancers} balancers, {rules:?}: {rule} of {draws} over the rule's limit");
            assert!(
                strict <= 20,
                "{balancers} balancers, {rules:?}: {strict} of {draws} over the stricter one"
            );
        }
    }
}

/// One balancer of many sends no more to an endpoint in slow start than its share of what that bears.
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
    // Three seconds: about 50 connections fill it over 20 s; twice that pace, times its warmth, is some four.
    assert!(sent <= 20, "{sent} sent");
    assert!(sent >= 2, "it must fill");
}
