//! Card servers out by hand, whatever the roll says of them meanwhile.

use honeyknot_balancer::Withheld;
use honeyknot_balancer::interface::*;
use honeyknot_balancer::maintenance::Unknown;

fn id(name: &str) -> ServerId {
    ServerId(name.into())
}

fn entry(name: &str, state: ServerState, started: Micros) -> ServerEntry {
    ServerEntry { server: id(name), state, started, ..ServerEntry::default() }
}

use ServerState::{Draining, Gone, Ready};

/// State and start of a card server in what the decisions see.
fn seen(entries: &[ServerEntry], name: &str) -> Option<(ServerState, Micros)> {
    entries.iter().find(|e| e.server == id(name)).map(|e| (e.state, e.started))
}

#[test]
fn what_is_out_drains_whatever_the_roll_says() {
    let mut withheld = Withheld::default();
    assert_eq!(withheld.take_out(20, &id("a")), Err(Unknown));
    let first = withheld.news(vec![entry("a", Ready, 0), entry("b", Ready, 0)], true);
    assert_eq!(seen(&first, "a"), Some((Ready, 0)));
    assert_eq!(withheld.take_out(20, &id("a")), Ok(Some(entry("a", Draining, 0))));
    assert_eq!(withheld.take_out(20, &id("a")), Ok(None));
    // A restart, a loss, a list without it, its return: it stays out.
    for news in [vec![entry("a", Ready, 7)], vec![entry("a", Gone, 7)], vec![entry("a", Ready, 9)]] {
        assert_eq!(seen(&withheld.news(news, false), "a").map(|s| s.0), Some(Draining));
    }
    assert_eq!(seen(&withheld.news(vec![entry("b", Ready, 0)], true), "a").map(|s| s.0), Some(Draining));
    assert_eq!((withheld.listed(), withheld.avoided([].into_iter())), (1, 0));
    assert_eq!(withheld.put_back(50, &id("a")).map(|e| e.map(|e| e.state)), Ok(Some(Gone)));
    assert_eq!(withheld.put_back(50, &id("a")), Ok(None));
    assert_eq!(withheld.put_back(50, &id("nobody")), Err(Unknown));
}

#[test]
fn what_comes_back_has_just_started_however_late_the_roll_tells_of_it() {
    let mut withheld = Withheld::default();
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
    let mut withheld = Withheld::default();
    withheld.news(vec![entry("a", Ready, 0), entry("b", Ready, 0), entry("c", Ready, 0)], true);
    assert!(withheld.take_out(20, &id("a")).is_ok());
    let (a, b, gone) = (id("a"), id("b"), id("z"));
    assert_eq!(withheld.avoided([&a, &b, &gone].into_iter()), 2);
    assert_eq!(withheld.withhold(20, &id("z")).map(|e| e.state), Some(Draining));
    assert_eq!(withheld.avoided([&a, &b].into_iter()), 2);
    assert_eq!(withheld.out().collect::<Vec<_>>(), [(&a, 20), (&gone, 20)]);
}
