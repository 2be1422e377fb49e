//! Model checking of the lease table, expiry tracker, holder and permit: explores every order of requests,
//! deliveries, losses, duplicates, expiries, changes of leader, actions, effects and releases within the
//! bounds, with clocks as far apart as the drift bound allows. A paused holder is one that takes no step
//! while all others do.
//!
//! `HONEYKNOT_MODEL` sets the number of ticks of true time.

mod lease_model;
mod state;
mod transitions;

use std::time::Instant;

use honeyknot_lease::{InjectedFault, LeaseParameters};
use stateright::{Checker, HasDiscoveries, Model};

use lease_model::{LEASE, LeaseModel, NO_OVERLAP, TOKENS_INCREASE};

const DEFAULT_TICKS: u8 = 4;

/// Bounds of the explored states.
#[derive(Clone, Copy)]
struct Bounds {
    ticks: u8,
    leader_changes: u8,
    duplicates: u8,
}

/// A model of two holders, the first with two requests, the second with one.
fn model(injected_fault: Option<InjectedFault>, bounds: Bounds) -> LeaseModel {
    let parameters =
        LeaseParameters { injected_fault, drift_ppm: 100_000, margin: 0, ..LeaseParameters::new(LEASE) };
    LeaseModel {
        parameters,
        ticks: bounds.ticks,
        requests: vec![2, 1],
        leader_changes: bounds.leader_changes,
        duplicates: bounds.duplicates,
    }
}

fn assert_properties_hold(leader_changes: u8, duplicates: u8) {
    let ticks =
        std::env::var("HONEYKNOT_MODEL").ok().and_then(|ticks| ticks.parse().ok()).unwrap_or(DEFAULT_TICKS);
    let bounds = Bounds { ticks, leader_changes, duplicates };
    let started_at = Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model(None, bounds).checker().threads(threads).spawn_bfs().join();
    println!(
        "{leader_changes} changes of leader, {duplicates} duplicates, {ticks} ticks: {} states, {} of them unique, \
         depth {}, {:.1} s",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started_at.elapsed().as_secs_f64()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn no_two_holders_act_at_once_in_any_order_of_steps_with_a_change_of_leader() {
    assert_properties_hold(1, 0);
}

#[test]
fn no_two_holders_act_at_once_in_any_order_of_steps_with_a_duplicated_request() {
    assert_properties_hold(0, 1);
}

#[test]
#[ignore = "needs 12 GB of memory and several minutes; run it when the lease rules change"]
fn no_two_holders_act_at_once_in_any_order_of_steps_with_a_change_of_leader_and_a_duplicated_request() {
    assert_properties_hold(1, 1);
}

#[test]
fn every_injected_fault_is_detected() {
    let bounds = |ticks, leader_changes, duplicates| Bounds { ticks, leader_changes, duplicates };
    let faults = [
        (InjectedFault::CountsFromAnswer, bounds(5, 0, 0)),
        (InjectedFault::NoDrift, bounds(5, 0, 0)),
        (InjectedFault::ServerCountsFromRequest, bounds(5, 0, 1)),
        (InjectedFault::TokenFromMemory, bounds(2, 1, 0)),
        (InjectedFault::ForgetsLeases, bounds(2, 1, 0)),
        (InjectedFault::PermitNotChecked, bounds(5, 0, 0)),
        (InjectedFault::EarlyRelease, bounds(2, 0, 0)),
        (InjectedFault::OldRelease, bounds(2, 0, 1)),
        (InjectedFault::ExpiresRenewed, bounds(6, 0, 0)),
    ];
    assert!(InjectedFault::ALL.iter().all(|fault| faults.iter().any(|(known, _)| known == fault)));
    let properties = [NO_OVERLAP, TOKENS_INCREASE];
    for (fault, bounds) in faults {
        let started_at = Instant::now();
        let any_violation = HasDiscoveries::AnyOf(properties.into_iter().collect());
        let checker =
            model(Some(fault), bounds).checker().threads(4).finish_when(any_violation).spawn_bfs().join();
        let path = properties.iter().find_map(|property| checker.discovery(property));
        let steps = path.as_ref().map(|path| path.clone().into_actions());
        println!("{fault:?} in {:.1} s: {steps:?}", started_at.elapsed().as_secs_f64());
        assert!(path.is_some(), "{fault:?} is not detected in {} states", checker.unique_state_count());
    }
}
