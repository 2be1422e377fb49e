//! Tests of endpoints in maintenance, whatever the endpoint list says about them.

use EndpointState::{Draining, Ready, Removed};
use honeyknot_balancer::MaintenanceOverlay;
use honeyknot_balancer::maintenance::UnknownEndpoint;
use honeyknot_balancer::*;

fn id(name: &str) -> EndpointId {
    EndpointId(name.into())
}

fn endpoint(name: &str, state: EndpointState, started_at: Micros) -> Endpoint {
    Endpoint { id: id(name), state, started_at, ..Endpoint::default() }
}

/// Returns the state and start time of an endpoint as the balancer sees it; `None` if it is not included.
fn state_and_start(endpoints: &[Endpoint], name: &str) -> Option<(EndpointState, Micros)> {
    endpoints
        .iter()
        .find(|endpoint| endpoint.id == id(name))
        .map(|endpoint| (endpoint.state, endpoint.started_at))
}

#[test]
fn endpoint_in_maintenance_is_draining_whatever_discovery_reports() {
    let mut overlay = MaintenanceOverlay::default();
    assert_eq!(overlay.start_maintenance(20, &id("a")), Err(UnknownEndpoint));
    let visible = overlay.apply_update(vec![endpoint("a", Ready, 0), endpoint("b", Ready, 0)], true);
    assert_eq!(state_and_start(&visible, "a"), Some((Ready, 0)));
    assert_eq!(overlay.start_maintenance(20, &id("a")), Ok(Some(endpoint("a", Draining, 0))));
    assert_eq!(overlay.start_maintenance(20, &id("a")), Ok(None));
    // The endpoint restarts, is removed and comes back; then a full list omits it.
    for update in [endpoint("a", Ready, 7), endpoint("a", Removed, 7), endpoint("a", Ready, 9)] {
        let visible = overlay.apply_update(vec![update], false);
        assert_eq!(state_and_start(&visible, "a").map(|s| s.0), Some(Draining));
    }
    let visible = overlay.apply_update(vec![endpoint("b", Ready, 0)], true);
    assert_eq!(state_and_start(&visible, "a").map(|s| s.0), Some(Draining));
    assert_eq!((overlay.endpoint_count(), overlay.count_excluded([].into_iter())), (1, 0));
    assert_eq!(overlay.end_maintenance(50, &id("a")).map(|e| e.map(|e| e.state)), Ok(Some(Removed)));
    assert_eq!(overlay.end_maintenance(50, &id("a")), Ok(None));
    assert_eq!(overlay.end_maintenance(50, &id("unknown")), Err(UnknownEndpoint));
}

#[test]
fn endpoint_after_maintenance_counts_as_restarted_even_if_discovery_reports_the_restart_late() {
    let mut overlay = MaintenanceOverlay::default();
    overlay.apply_update(vec![endpoint("a", Ready, 0), endpoint("b", Ready, 5)], true);
    assert!(overlay.start_maintenance(20, &id("a")).is_ok());
    assert_eq!(overlay.end_maintenance(100, &id("a")), Ok(Some(endpoint("a", Ready, 100))));
    let mut visible_after_update = |state, started_at, is_full| {
        let visible = overlay.apply_update(vec![endpoint("a", state, started_at)], is_full);
        state_and_start(&visible, "a")
    };
    // A reported start before the maintenance is outdated. One during the maintenance is used.
    assert_eq!(visible_after_update(Ready, 0, true), Some((Ready, 100)));
    assert_eq!(visible_after_update(Ready, 20, false), Some((Ready, 100)));
    assert_eq!(visible_after_update(Ready, 60, false), Some((Ready, 60)));
    // After a later restart, it is handled like any other endpoint.
    assert_eq!(visible_after_update(Ready, 150, false), Some((Ready, 150)));
    assert_eq!(visible_after_update(Draining, 150, false), Some((Draining, 150)));
}

#[test]
fn excluded_endpoints_are_counted_once_and_only_while_listed() {
    let mut overlay = MaintenanceOverlay::default();
    let listed = ["a", "b", "c"].map(|name| endpoint(name, Ready, 0));
    overlay.apply_update(listed.into(), true);
    assert!(overlay.start_maintenance(20, &id("a")).is_ok());
    let (a, b, unlisted) = (id("a"), id("b"), id("z"));
    assert_eq!(overlay.count_excluded([&a, &b, &unlisted].into_iter()), 2);
    assert_eq!(overlay.restore_maintenance(20, &id("z")).map(|e| e.state), Some(Draining));
    assert_eq!(overlay.count_excluded([&a, &b].into_iter()), 2);
    assert_eq!(overlay.in_maintenance().collect::<Vec<_>>(), [(&a, 20), (&unlisted, 20)]);
}
