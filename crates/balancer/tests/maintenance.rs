//! Card servers out by hand, whatever the roll says of them meanwhile.

use honeyknot_balancer::MaintenanceOverlay;
use honeyknot_balancer::maintenance::UnknownEndpoint;
use honeyknot_balancer::*;

fn id(name: &str) -> EndpointId {
    EndpointId(name.into())
}

fn entry(name: &str, state: EndpointState, started: Micros) -> Endpoint {
    Endpoint { id: id(name), state, started_at: started, ..Endpoint::default() }
}

use EndpointState::{Draining, Ready, Removed};

/// State and start of a card server in what the decisions see.
fn seen(entries: &[Endpoint], name: &str) -> Option<(EndpointState, Micros)> {
    entries.iter().find(|e| e.id == id(name)).map(|e| (e.state, e.started_at))
}

#[test]
fn what_is_out_drains_whatever_the_roll_says() {
    let mut withheld = MaintenanceOverlay::default();
    assert_eq!(withheld.take_out(20, &id("a")), Err(UnknownEndpoint));
    let first = withheld.news(vec![entry("a", Ready, 0), entry("b", Ready, 0)], true);
    assert_eq!(seen(&first, "a"), Some((Ready, 0)));
    assert_eq!(withheld.take_out(20, &id("a")), Ok(Some(entry("a", Draining, 0))));
    assert_eq!(withheld.take_out(20, &id("a")), Ok(None));
    // A restart, a loss, a list without it, its return: it stays out.
    for news in [vec![entry("a", Ready, 7)], vec![entry("a", Removed, 7)], vec![entry("a", Ready, 9)]] {
        assert_eq!(seen(&withheld.news(news, false), "a").map(|s| s.0), Some(Draining));
    }
    assert_eq!(seen(&withheld.news(vec![entry("b", Ready, 0)], true), "a").map(|s| s.0), Some(Draining));
    assert_eq!((withheld.listed(), withheld.avoided([].into_iter())), (1, 0));
    assert_eq!(withheld.put_back(50, &id("a")).map(|e| e.map(|e| e.state)), Ok(Some(Removed)));
    assert_eq!(withheld.put_back(50, &id("a")), Ok(None));
    assert_eq!(withheld.put_back(50, &id("nobody")), Err(UnknownEndpoint));
}

#[test]
fn what_comes_back_has_just_started_however_late_the_roll_tells_of_it() {
    let mut withheld = MaintenanceOverlay::default();
    withheld.news(vec![entry("a", Ready, 0), entry("b", Ready, 5)], true);
    assert!(withheld.take_out(20, &id("a")).is_ok());
    assert_eq!(withheld.put_back(100, &id("a")), Ok(Some(entry("a", Ready, 100))));
    // News of a start before it was out tell nothing; those of one while it was out are the truth.
    assert_eq!(seen(&withheld.news(vec![entry("a", Ready, 0)], true), "a"), Some((Ready, 100)));
    assert_eq!(seen(&withheld.news(vec![entry("a", Ready, 20)], false), "a"), Some((Ready, 100)));
    assert_eq!(seen(&withheld.news(vec![entry("a", Ready, 60)], false), "a"), Some((Ready, 60)));
    // It has started again since, and drains as any other.
    assert_eq!(seen(&withheld.news(vec![entry("a", Ready, 150)], false), "a"), Some((Ready, 150)));
    assert_eq!(seen(&withheld.news(vec![entry("a", Draining, 150)], false), "a"), Some((Draining, 150)));
}

#[test]
fn the_avoided_are_counted_once_and_only_while_listed() {
    let mut withheld = MaintenanceOverlay::default();
    withheld.news(vec![entry("a", Ready, 0), entry("b", Ready, 0), entry("c", Ready, 0)], true);
    assert!(withheld.take_out(20, &id("a")).is_ok());
    let (a, b, gone) = (id("a"), id("b"), id("z"));
    assert_eq!(withheld.avoided([&a, &b, &gone].into_iter()), 2);
    assert_eq!(withheld.withhold(20, &id("z")).map(|e| e.state), Some(Draining));
    assert_eq!(withheld.avoided([&a, &b].into_iter()), 2);
    assert_eq!(withheld.out().collect::<Vec<_>>(), [(&a, 20), (&gone, 20)]);
}
