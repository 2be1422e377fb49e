//! A balancer that turns away all that comes tries again now and then.

mod support;

use honeyknot_balancer::circuit_breaker::{CircuitBreaker, HALF_OPEN_AFTER};
use honeyknot_balancer::*;
use support::*;

#[test]
fn it_is_half_open_after_its_time_and_closed_by_a_placement() {
    let mut breaker = CircuitBreaker::default();
    assert!(!breaker.is_half_open(START + HALF_OPEN_AFTER), "nothing was turned away");
    breaker.record_no_capacity(START);
    breaker.record_no_capacity(START + HALF_OPEN_AFTER - 1);
    assert!(!breaker.is_half_open(START + HALF_OPEN_AFTER - 1), "just before");
    assert!(breaker.is_half_open(START + HALF_OPEN_AFTER), "since the first that found no room");
    breaker.record_placement();
    assert!(!breaker.is_half_open(START + 2 * HALF_OPEN_AFTER), "one was placed");
}

/// When requests that come every 0.3 s for ten seconds are placed, card servers reporting this load.
fn placed_at(load: f64) -> Vec<Micros> {
    let servers = [("a:1", Some(load)), ("b:1", Some(load)), ("c:1", Some(load))];
    let mut bench = Bench::new(Settings { fleet_size: 100, ..settings() }, 5, &servers);
    let mut placed = Vec::new();
    for id in 0..33 {
        let (at, asked) = (bench.now - START, Request { affinity_group: group("g"), ..request(id) });
        // Each has a little more time than one attempt takes, so that none waits for long.
        bench.feed(Event::Request(Request { time_remaining: SECOND * 7 / 10, ..asked }));
        bench.pass(SECOND * 3 / 10);
        if bench.places(id) > 0 {
            placed.push(at);
            bench.end(id, 0, Outcome::Rejected, true);
        }
    }
    placed
}

/// Guards against a relay that turned away all of its clients for thirteen seconds on what it believed of
/// loads.
#[test]
fn a_balancer_that_refuses_all_lets_one_try_every_few_seconds() {
    let placed = placed_at(0.85);
    assert!((2..=4).contains(&placed.len()), "{placed:?}");
    assert!(placed[0] >= HALF_OPEN_AFTER && placed[0] < HALF_OPEN_AFTER + SECOND, "{placed:?}");
    assert!(placed.windows(2).all(|two| two[1] - two[0] >= HALF_OPEN_AFTER), "{placed:?}");
}

/// A card server that says it has more than it can do is no place to try.
#[test]
fn nobody_is_sent_to_servers_that_report_more_than_they_can_do() {
    assert_eq!(placed_at(1.05), []);
}
