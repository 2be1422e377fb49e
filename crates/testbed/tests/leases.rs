//! Lease servers and holders as processes, with faults between them. The checks rest on the recording
//! server's event log; injected faults must be detected.

use std::path::PathBuf;
use std::time::Duration;

use honeyknot_lease::InjectedFault;
use honeyknot_testbed::fleet::run::LoopbackNetwork;
use honeyknot_testbed::fleet::{LeaseOptions, Plan};
use honeyknot_testbed::leases::report::Report;
use honeyknot_testbed::leases::run::{Scenario, run_scenario};

/// Runs a scenario with three lease servers, eight holders and leases of 1 s.
fn run(scenario: Scenario, fault: Option<InjectedFault>, seed: u64, seconds: u64) -> Report {
    let testbed = PathBuf::from(env!("CARGO_BIN_EXE_honeyknot-testbed"));
    let program = testbed.with_file_name("honeyknot-relay");
    assert!(program.is_file(), "build the whole workspace first: cargo build --workspace");
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let network = LoopbackNetwork::reserve(seed).expect("a loopback network is free");
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
            injected_fault: fault,
            ..LeaseOptions::default()
        },
        ..Plan::default()
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let scenario_run =
        run_scenario(plan, scenario, Duration::from_secs(seconds), testbed, std::future::pending());
    runtime.block_on(scenario_run).expect("the scenario runs to its end")
}

/// Asserts that a scenario without an injected fault causes no violation, unless the machine was overloaded.
fn assert_no_violation(scenario: Scenario, seed: u64) {
    let report = run(scenario, None, seed, 15);
    assert!(report.violations.is_empty() || report.machine_overloaded, "{report:?}");
    assert!(report.operations > 50 && report.holder_changes > 3 && report.injected_faults > 0, "{report:?}");
}

/// Asserts that an injected fault causes a violation in at least one of five runs: in a single run the timing
/// may hide it.
fn assert_detected(scenario: Scenario, fault: InjectedFault, violation_text: &str) {
    let mut reports = Vec::new();
    for seed in [1, 3, 5, 7, 9] {
        let report = run(scenario, Some(fault), seed, 15);
        if report.violations.iter().any(|violation| violation.contains(violation_text)) {
            return;
        }
        reports.push(report);
    }
    panic!("{fault:?} was not detected: {reports:?}");
}

#[test]
fn paused_holder_does_not_act_after_its_lease_expires() {
    assert_no_violation(Scenario::Pause, 11);
}

#[test]
fn paused_or_killed_leader_grants_no_lease_twice() {
    assert_no_violation(Scenario::Leader, 12);
}

#[test]
fn one_way_links_cause_no_overlapping_operations() {
    assert_no_violation(Scenario::OneWay, 13);
}

#[test]
fn only_one_process_acts_during_an_upgrade() {
    assert_no_violation(Scenario::Upgrade, 14);
}

#[test]
fn injected_unchecked_permit_is_detected() {
    assert_detected(Scenario::Pause, InjectedFault::PermitNotChecked, "overlapped");
}

#[test]
fn injected_forgotten_leases_are_detected() {
    assert_detected(Scenario::Leader, InjectedFault::ForgetsLeases, "overlapped");
}

#[test]
fn injected_ignored_clock_drift_is_detected() {
    assert_detected(Scenario::ClockSkew, InjectedFault::NoDrift, "overlapped");
}
