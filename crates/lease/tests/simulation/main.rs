//! Seeded simulations on a virtual clock: three replicas that lead in turn, clients with clock drift,
//! messages that are delayed, lost and duplicated, processes that are paused. No effect with a smaller token
//! may follow one with a greater token.
//!
//! The log is ideal: it holds each committed command once, and a former leader commits nothing.
//! `honeyknot-lease-consensus` has the simulations of the consensus engine. `HONEYKNOT_DAYS` sets the number
//! of seeds.

mod clients;
mod event;
mod faults;
mod report;
mod servers;
mod simulator;

use honeyknot_lease::InjectedFault;

use report::Report;
use simulator::{DURATION, LEASE, Simulator};

fn simulate(seed: u64, injected_fault: Option<InjectedFault>) -> Report {
    Simulator::new(seed, injected_fault).run()
}

fn seed_count(default: u64) -> u64 {
    std::env::var("HONEYKNOT_DAYS").ok().and_then(|count| count.parse().ok()).unwrap_or(default)
}

#[test]
fn no_two_holders_act_at_once_with_any_seed() {
    let (mut holder_changes, mut actions) = (0, 0);
    for seed in 0..seed_count(400) {
        let report = simulate(seed, None);
        assert_eq!(report.violation, None, "seed {seed}");
        // After the last fault some client acts until the end, although messages are delayed by up to three
        // leases.
        let last_effect = report.last_effect;
        assert!(last_effect >= DURATION - 10 * LEASE, "seed {seed}: no effect after {last_effect}");
        holder_changes += report.holder_changes;
        actions += report.actions;
    }
    assert!(
        holder_changes > 2_500 && actions > 20_000,
        "{holder_changes} changes of holder, {actions} actions: too few to test the invariant"
    );
}

#[test]
fn every_injected_fault_is_detected() {
    for fault in InjectedFault::ALL {
        let detected = (0..4_000).find(|seed| simulate(*seed, Some(fault)).violation.is_some());
        assert!(detected.is_some(), "{fault:?} is not detected with 4,000 seeds");
        println!("{fault:?}: seed {detected:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    for seed in [3, 77, 1_234] {
        assert_eq!(simulate(seed, None), simulate(seed, None));
    }
}
