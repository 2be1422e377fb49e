//! The budget in fleets of relays: which relays check an endpoint, which results the others use, and what
//! happens without gossip.

mod support;

use honeyknot_balancer::Outcome;
use honeyknot_gossip::assigned_probers;
use honeyknot_health_check_budget::HealthCheckDecision;
use support::{Delivery, Fleet, MS, PROBERS, S, START};

/// Time, in microseconds, after which all relays know each other and the assigned probers make checks.
const SETTLE_DURATION: u64 = 9 * S;

fn settled_fleet(relays: usize, endpoints: u32) -> Fleet {
    let mut fleet = Fleet::new(relays, endpoints);
    fleet.run(SETTLE_DURATION, Delivery::All);
    fleet
}

#[test]
fn health_checks_of_an_endpoint_do_not_grow_with_the_number_of_relays() {
    let mut max_checks = Vec::new();
    for relays in [12, 60] {
        let mut fleet = settled_fleet(relays, 8);
        let from = fleet.now;
        (fleet.answered, fleet.unanswered) = (0, 0);
        fleet.run(8 * S, Delivery::All);
        max_checks.push(fleet.max_checks_per_second(from));
        let (unanswered, requests) = (fleet.unanswered, fleet.answered + fleet.unanswered);
        assert!(unanswered * 20 <= requests, "{unanswered} of {requests} requests were not answered");
    }
    let limit = 1.2 * max_checks[0] as f64 + 1.0;
    assert!(max_checks[1] as f64 <= limit, "{max_checks:?} checks per second at 12 and 60 relays");
    assert!(max_checks[1] <= 12, "{max_checks:?}");
}

#[test]
fn probers_that_stop_together_are_replaced_without_a_burst_of_health_checks() {
    let mut fleet = settled_fleet(40, 4);
    let endpoint = 1;
    let stopped = assigned_probers(&fleet.relays[&0].view.alive, endpoint, PROBERS);
    fleet.relays.retain(|_, relay| !stopped.contains(&relay.view.local_member));
    assert_eq!(fleet.relays.len(), 37);
    let from = fleet.now;
    fleet.run(8 * S, Delivery::All);
    let max_checks = fleet.max_checks_per_second(from);
    assert!(max_checks <= 14, "{max_checks} checks per second until the probers were replaced");
    let second = fleet.now / S;
    let checks_in = |second| fleet.checks.get(&(endpoint, second)).copied().unwrap_or(0);
    let checks: usize = (second - 2..second).map(checks_in).sum();
    assert!(checks >= 4, "the new probers made {checks} checks in two seconds");
}

#[test]
fn each_relay_makes_all_of_its_health_checks_without_gossip() {
    let mut fleet = Fleet::new(10, 3);
    fleet.run(5 * S, Delivery::Nothing);
    assert_eq!((fleet.answered, fleet.unanswered), (0, 0));
    assert!(fleet.max_checks_per_second(START + S) >= 9, "each relay makes its own checks");
}

#[test]
fn the_observation_of_a_single_prober_is_not_used() {
    let mut fleet = settled_fleet(12, 1);
    let endpoint = 0;
    let probers = assigned_probers(&fleet.relays[&0].view.alive, endpoint, PROBERS);
    let not_assigned = fleet.relays.iter().find(|(_, relay)| !probers.contains(&relay.view.local_member));
    let not_assigned = *not_assigned.expect("a relay that is not assigned").0;
    // All probers but one stop, and the observations that they published expire.
    fleet.relays.retain(|_, relay| !probers[1..].contains(&relay.view.local_member));
    fleet.run(2_100 * MS, Delivery::All);
    let now = fleet.now;
    let relay = fleet.relays.get_mut(&not_assigned).expect("the relay runs");
    let view = relay.view.clone();
    let health = view.aggregated(now, endpoint, 2 * S);
    assert_eq!(health.map(|health| health.observations), Some(1), "one prober is left");
    let decisions: Vec<HealthCheckDecision> =
        (0..200).map(|_| relay.budget.request(now, &view, endpoint)).collect();
    let not_checked = HealthCheckDecision::Known { outcome: Outcome::Cancelled, report: None };
    let is_used =
        |decision: &HealthCheckDecision| *decision != HealthCheckDecision::Check && *decision != not_checked;
    assert!(!decisions.iter().any(is_used));
    let checks = decisions.iter().filter(|decision| **decision == HealthCheckDecision::Check).count();
    assert!((10..=120).contains(&checks), "{checks} of 200 requests led to a check");
}
