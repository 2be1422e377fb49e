//! Keepers and holders as processes, with faults between them. The far side's book is the judge; planted faults must show.

use std::path::PathBuf;
use std::time::Duration;

use honeyknot_lease::InjectedFault;
use honeyknot_testbed::fleet::run::LoopbackNetwork;
use honeyknot_testbed::fleet::{LeaseOptions, Plan};
use honeyknot_testbed::leases::report::Report;
use honeyknot_testbed::leases::run::{Scenario, run_scenario};

/// A day of three keepers and eight holders with leases of a second.
fn day(scenario: Scenario, planted: Option<InjectedFault>, seed: u64, seconds: u64) -> Report {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_honeyknot-testbed"));
    let program = lab.with_file_name("honeyknot-relay");
    assert!(program.is_file(), "build the whole workspace first: cargo build --workspace");
    let folder = tempfile::tempdir().expect("a folder");
    let network = LoopbackNetwork::reserve(seed).expect("free addresses");
    let plan = Plan {
        network: network.number,
        seed,
        relays: 8,
        folder: folder.path().to_owned(),
        program,
        leases: LeaseOptions {
            servers: 3,
            lease_ms: 1_000,
            tasks: 6,
            injected_fault: planted,
            ..LeaseOptions::default()
        },
        ..Plan::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let day = run_scenario(plan, scenario, Duration::from_secs(seconds), lab, std::future::pending());
    runtime.block_on(day).expect("a day is played")
}

fn holds(scenario: Scenario, seed: u64) {
    let report = day(scenario, None, seed, 15);
    assert!(report.violations.is_empty() || report.machine_overloaded, "{report:?}");
    assert!(report.operations > 50 && report.holder_changes > 3 && report.injected_faults > 0, "{report:?}");
}

/// A planted fault shows on one of a few days: when it meets its moment is the machine's to say.
fn shows(scenario: Scenario, planted: InjectedFault, broken: &str) {
    let mut seen = Vec::new();
    for seed in [1, 3, 5, 7, 9] {
        let report = day(scenario, Some(planted), seed, 15);
        if report.violations.iter().any(|what| what.contains(broken)) {
            return;
        }
        seen.push(report);
    }
    panic!("{planted:?} does not show: {seen:?}");
}

#[test]
fn paused_holder_does_not_act_after_its_lease_expires() {
    holds(Scenario::Pause, 11);
}

#[test]
fn paused_or_killed_leader_grants_no_lease_twice() {
    holds(Scenario::Leader, 12);
}

#[test]
fn one_way_links_cause_no_overlapping_operations() {
    holds(Scenario::OneWay, 13);
}

#[test]
fn only_one_process_acts_during_an_upgrade() {
    holds(Scenario::Upgrade, 14);
}

#[test]
fn injected_unchecked_permit_is_detected() {
    shows(Scenario::Pause, InjectedFault::PermitNotChecked, "overlapped");
}

#[test]
fn injected_forgotten_leases_are_detected() {
    shows(Scenario::Leader, InjectedFault::ForgetsLeases, "overlapped");
}

#[test]
fn injected_ignored_clock_drift_is_detected() {
    shows(Scenario::ClockSkew, InjectedFault::NoDrift, "overlapped");
}
