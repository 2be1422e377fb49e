//! Seeded simulations of replicas with the real engine and of fifty clients on a virtual clock: messages that
//! are delayed, lost, duplicated and reordered, links cut in one direction, processes that are paused,
//! replicas that crash between a write and the messages that depend on it, clocks as far apart as the drift
//! bound allows. No effect with a smaller token may follow one with a greater token, no more clients may act
//! than a task has slots, and no committed entry may differ between replicas.
//!
//! `HONEYKNOT_DAYS` sets the number of seeds.

mod action_history;
mod clients;
mod event;
mod faults;
mod replicas;
mod report;
mod simulator;

use honeyknot_lease::InjectedFault;

use report::Report;
use simulator::{DURATION, LEASE, SimulatedFault, Simulator, TASKS};

fn simulate(seed: u64, fault: Option<SimulatedFault>) -> Report {
    Simulator::new(seed, fault).run()
}

fn seed_count(default: u64) -> u64 {
    std::env::var("HONEYKNOT_DAYS").ok().and_then(|count| count.parse().ok()).unwrap_or(default)
}

/// Runs the simulations of all seeds on all cores.
fn simulate_all(seeds: u64) -> Vec<(u64, Report)> {
    let threads = std::thread::available_parallelism().map_or(1, |threads| threads.get() as u64).min(seeds);
    let worker = move |first| {
        let seeds = (first..seeds).step_by(threads as usize);
        seeds.map(|seed| (seed, simulate(seed, None))).collect::<Vec<_>>()
    };
    let workers: Vec<_> = (0..threads).map(|first| std::thread::spawn(move || worker(first))).collect();
    workers.into_iter().flat_map(|worker| worker.join().expect("a simulation ends")).collect()
}

#[test]
fn replicas_agree_and_no_two_holders_act_at_once_with_any_seed() {
    let seeds = seed_count(60);
    let mut total = Report::default();
    for (seed, report) in simulate_all(seeds) {
        assert_eq!(report.violation, None, "seed {seed}");
        for (task, last_effect) in TASKS.iter().zip(report.last_effects) {
            assert!(
                last_effect >= DURATION - 4 * LEASE,
                "seed {seed}: no effect on {} after {last_effect}",
                task.name
            );
        }
        total.effects += report.effects;
        total.holder_changes += report.holder_changes;
        total.crashes += report.crashes;
        total.terms += report.terms;
    }
    println!(
        "{seeds} seeds: {} effects, {} changes of holder, {} crashes, {} terms",
        total.effects, total.holder_changes, total.crashes, total.terms
    );
    assert!(
        total.holder_changes > 20 * seeds && total.crashes > 2 * seeds && total.terms > 3 * seeds,
        "too few events to test the invariants: {total:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    for seed in [3, 77] {
        assert_eq!(simulate(seed, None), simulate(seed, None));
    }
}

#[test]
fn every_injected_fault_is_detected() {
    let lease_faults = InjectedFault::ALL.map(SimulatedFault::Lease);
    let replica_faults = [SimulatedFault::LosesPersistedState, SimulatedFault::RespondsBeforePersisting];
    let faults = lease_faults.into_iter().chain(replica_faults);
    let workers: Vec<_> = faults
        .map(|fault| {
            let first_violation = move || {
                (0..3_000)
                    .find_map(|seed| simulate(seed, Some(fault)).violation.map(|violation| (seed, violation)))
            };
            (fault, std::thread::spawn(first_violation))
        })
        .collect();
    for (fault, worker) in workers {
        let detected = worker.join().expect("a simulation ends");
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?} is not detected with 3,000 seeds");
    }
}
