//! The timer wheel compared with a sorted map, from a fixed seed, and the migration rate of a graceful
//! shutdown.

use std::collections::BTreeMap;

use honeyknot_relay::relay::lifecycle::graceful_shutdown::migrations_due;
use honeyknot_relay::relay::timer_wheel::{TICK, TimerWheel};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn due_entries_are_returned_in_order_and_removed_ones_are_not() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut now = 1_000_000_007;
    let (mut wheel, mut pending) = (TimerWheel::new(now), BTreeMap::new());
    for serial in 0..20_000u64 {
        match rng.random_range(0..4) {
            0 => {
                // Sometimes advances by several turns of the wheel.
                now += rng.random_range(0..if serial % 97 == 0 { 20_000_000 } else { 9_000 });
                let mut due = Vec::new();
                while let Some((&(tick, id), _)) =
                    pending.first_key_value().filter(|((tick, _), _)| *tick <= now / TICK)
                {
                    pending.remove(&(tick, id));
                    due.push(id);
                }
                assert_eq!(wheel.advance(now), due);
            }
            1 if !pending.is_empty() => {
                let index = rng.random_range(0..pending.len());
                let (&(tick, id), &handle) = pending.iter().nth(index).expect("a pending entry");
                pending.remove(&(tick, id));
                assert_eq!((wheel.remove(handle), wheel.remove(handle)), (Some(id), None));
            }
            _ => {
                let due = now + rng.random_range(0..6_000_000);
                let tick = due.div_ceil(TICK).max(now / TICK + 1);
                pending.insert((tick, serial), wheel.insert(due, serial));
            }
        }
    }
}

/// Guards against a busy loop: a next tick that has already passed makes the event loop advance again at once
/// although nothing is due. Tens of thousands of random timers are due at once, long ago or after many turns
/// of the wheel, and the clock jumps at times, as for a process that was stopped.
#[test]
fn next_tick_is_in_the_future_and_never_after_the_first_due_entry() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    for _ in 0..400 {
        let mut now = rng.random_range(1..4_000_000_000);
        let (mut wheel, mut pending) = (TimerWheel::new(now), BTreeMap::new());
        for serial in 0..100u64 {
            for _ in 0..rng.random_range(0..3) {
                // Some entries are overdue, some due at once, some after many turns of the wheel.
                let due = (now + rng.random_range(0..3_000_000)).saturating_sub(rng.random_range(0..500_000));
                let tick = due.div_ceil(TICK).max(now / TICK + 1);
                *pending.entry(tick).or_insert(0) += 1;
                wheel.insert(due, serial);
            }
            let next = wheel.next_tick();
            assert!(next > now / TICK, "the next tick is in the past");
            assert!(
                pending.first_key_value().is_none_or(|(tick, _)| next <= *tick),
                "the next tick is after the first due entry"
            );
            now = next * TICK + if rng.random_bool(0.02) { 8_000_000 } else { rng.random_range(0..TICK) };
            let due: usize = pending.extract_if(..=now / TICK, |_, _| true).map(|(_, count)| count).sum();
            assert_eq!(wheel.advance(now).len(), due);
        }
    }
}

#[test]
fn graceful_shutdown_migrates_every_connection_in_time_at_an_even_rate() {
    let (mut established, mut time_left, mut max_due) = (400, 800_000, 0);
    while time_left > 0 && established > 0 {
        let due = migrations_due(established, time_left);
        (established, time_left, max_due) = (established - due, time_left - 20_000, max_due.max(due));
    }
    assert_eq!((established, max_due), (0, 10));
    assert_eq!(migrations_due(5, 0), 5);
}
