//! The timer wheel against a sorted list, from a fixed seed, and the pace of a planned restart.

use std::collections::BTreeMap;

use honeyknot_relay::relay::lifecycle::graceful_shutdown::migrations_due;
use honeyknot_relay::relay::timer_wheel::{TICK, TimerWheel};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn what_is_due_comes_out_in_order_and_what_is_taken_back_does_not() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut now = 1_000_000_007;
    let (mut wheel, mut waiting) = (TimerWheel::new(now), BTreeMap::new());
    for serial in 0..20_000u64 {
        match rng.random_range(0..4) {
            0 => {
                // Sometimes a pause of several turns.
                now += rng.random_range(0..if serial % 97 == 0 { 20_000_000 } else { 9_000 });
                let mut due = Vec::new();
                while let Some((&(tick, id), _)) =
                    waiting.first_key_value().filter(|((t, _), _)| *t <= now / TICK)
                {
                    waiting.remove(&(tick, id));
                    due.push(id);
                }
                assert_eq!(wheel.turn(now), due);
            }
            1 if !waiting.is_empty() => {
                let at = rng.random_range(0..waiting.len());
                let (&(tick, id), &place) = waiting.iter().nth(at).expect("an entry");
                waiting.remove(&(tick, id));
                assert_eq!((wheel.take(place), wheel.take(place)), (Some(id), None));
            }
            _ => {
                let due = now + rng.random_range(0..6_000_000);
                let tick = due.div_ceil(TICK).max(now / TICK + 1);
                waiting.insert((tick, serial), wheel.put(due, serial));
            }
        }
    }
}

/// Guards against a turn that finds nothing due and is wanted again at once, for ever: tens of thousands of restarts' worth of
/// timers, with pauses as of a process that was stopped.
#[test]
fn every_turn_moves_on_and_nothing_comes_late_by_a_rest() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    for _ in 0..400 {
        let mut now = rng.random_range(1..4_000_000_000);
        let (mut wheel, mut waiting) = (TimerWheel::new(now), BTreeMap::new());
        for serial in 0..100u64 {
            for _ in 0..rng.random_range(0..3) {
                // Some are due at once, some long ago, some after many turns.
                let due = (now + rng.random_range(0..3_000_000)).saturating_sub(rng.random_range(0..500_000));
                let tick = due.div_ceil(TICK).max(now / TICK + 1);
                *waiting.entry(tick).or_insert(0) += 1;
                wheel.put(due, serial);
            }
            let next = wheel.next_turn();
            assert!(next > now / TICK, "a turn that is due already");
            assert!(
                waiting.first_key_value().is_none_or(|(tick, _)| next <= *tick),
                "a rest beyond what is due"
            );
            now = next * TICK + if rng.random_bool(0.02) { 8_000_000 } else { rng.random_range(0..TICK) };
            let due: usize = waiting.extract_if(..=now / TICK, |_, _| true).map(|(_, count)| count).sum();
            assert_eq!(wheel.turn(now).len(), due);
        }
    }
}

#[test]
fn a_restart_moves_everybody_in_time_and_not_at_once() {
    let (mut standing, mut left, mut most) = (400, 800_000, 0);
    while left > 0 && standing > 0 {
        let due = migrations_due(standing, left);
        (standing, left, most) = (standing - due, left - 20_000, most.max(due));
    }
    assert_eq!((standing, most), (0, 10));
    assert_eq!(migrations_due(5, 0), 5);
}
