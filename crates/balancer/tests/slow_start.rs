//! What all balancers together send to a cold server: sums over instances that know nothing of each other.

use honeyknot_balancer::slow_start::{self, SlowStartBudget};
use honeyknot_balancer::{Micros, Rules};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn rules(overload_factor: f64, fall: Micros, cold: Micros, start_capacity: f64) -> Rules {
    Rules {
        answer_grace: 0,
        max_list_age: 0,
        initial_capacity: start_capacity,
        slow_start_duration: cold,
        drain_grace: 500 * MS,
        overload_factor,
        overload_duration: fall,
    }
}

/// The settings of three deployments, and of one that bears little for long.
fn kinds() -> [(Rules, f64); 4] {
    [
        (rules(3.0, 2_000 * MS, 9_000 * MS, 0.32), 33.0),
        (rules(3.0, 2_000 * MS, 24_000 * MS, 0.13), 90.0),
        (rules(2.5, 1_500 * MS, 8_500 * MS, 0.3), 50.0),
        (rules(1.4, 4_000 * MS, 12_000 * MS, 0.2), 60.0),
    ]
}

/// When each call of all balancers came, if every one of them uses every slot that is open from `from` on.
fn calls(rules: &Rules, holds: f64, balancers: usize, from: Micros, seed: u64) -> Vec<Micros> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rate = slow_start::rate(rules, holds, balancers as f64);
    let mut slots: Vec<SlowStartBudget> =
        (0..balancers).map(|_| SlowStartBudget::new(rng.random())).collect();
    let mut calls = Vec::new();
    for step in from / (20 * MS)..rules.slow_start_duration / (20 * MS) {
        let now = START + step * 20 * MS;
        for slots in &mut slots {
            if slots.is_open(rules, START, now, rate) {
                slots.consume(rules, START, now, rate);
                calls.push(now);
            }
        }
    }
    calls
}

/// The fullest time of `fall`, as a part of N + k x root of N + k, N by the capacity at its end.
fn fullest(rules: &Rules, holds: f64, calls: &[Micros], k: f64) -> f64 {
    let part = |(i, from): (usize, &Micros)| {
        let there = calls[i..].iter().take_while(|at| **at < from + rules.overload_duration).count() as f64;
        let capacity = slow_start::warmth(rules, START, from + rules.overload_duration) * holds
            / rules.slow_start_duration as f64;
        let n = rules.overload_factor * capacity * rules.overload_duration as f64;
        there / (n + k * n.sqrt() + k)
    };
    calls.iter().enumerate().map(part).fold(0.0, f64::max)
}

/// Under steady demand the sum keeps the stricter limit in every draw.
#[test]
fn all_balancers_together_stay_under_the_limit_however_many_they_are() {
    for (rules, holds) in kinds() {
        for balancers in [4, 20, 30, 300] {
            let mut worst: f64 = 0.0;
            for seed in 0..60 {
                let calls = calls(&rules, holds, balancers, 0, seed);
                worst = worst.max(fullest(&rules, holds, &calls, 2.0));
            }
            assert!(worst < 1.0, "{balancers} balancers, {rules:?}: {worst:.2} of the limit");
            // Parts below one are not rounded down either.
            assert!(worst > 0.35, "{balancers} balancers, {rules:?}: {worst:.2} of the limit");
        }
    }
}

/// After a lull everything that waits comes at once. The page's limit holds in all but one of a hundred
/// draws, whatever the moment; the stricter one in nine of ten.
#[test]
fn what_was_saved_up_in_a_lull_is_bounded() {
    for (rules, holds) in kinds() {
        for balancers in [4, 30, 300] {
            let (mut strict, mut page, draws) = (0, 0, 200);
            for seed in 0..draws {
                let from = rules.slow_start_duration / 10 * (seed % 8);
                let calls = calls(&rules, holds, balancers, from, seed);
                strict += u32::from(fullest(&rules, holds, &calls, 2.0) >= 1.0);
                page += u32::from(fullest(&rules, holds, &calls, 3.0) >= 1.0);
            }
            assert!(page <= 2, "{balancers} balancers, {rules:?}: {page} of {draws} over the page's limit");
            assert!(
                strict <= 20,
                "{balancers} balancers, {rules:?}: {strict} of {draws} over the stricter one"
            );
        }
    }
}
