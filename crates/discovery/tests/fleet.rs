//! Sums at the list service over whole fleets, on a simulated clock: what all callers together do to it.

mod service;

use service::{Book, Day, S, Step, play};

/// Work of the cheapest sufficient calls, in seconds.
fn ideal(day: &Day) -> f64 {
    let part = if day.held == 0 { 1.0 } else { 0.38 };
    day.callers as f64 * day.call as f64 / 1e6 * part
}

/// A day of so many callers, all told the truth.
fn of(callers: usize) -> Day {
    Day { callers, told: callers as u32, ..Day::default() }
}

/// The last caller holds the list in time, and no more than a twentieth of the work is for nobody.
fn holds(name: &str, day: &Day, down_s: f64) -> Book {
    let book = play(day);
    let most = 1.5 * (ideal(day) + down_s) + 2.0;
    let last = book.last().unwrap_or(f64::INFINITY);
    assert!(last <= most, "{name}, seed {}: the last list after {last:.1} s, {most:.1} wanted", day.seed);
    assert!(
        book.wasted <= 0.05 * book.work,
        "{name}, seed {}: {:.1} of {:.1} s for nobody",
        day.seed,
        book.wasted,
        book.work
    );
    book
}

#[test]
fn all_have_the_list_soon_whatever_they_hold_and_how_many_they_are() {
    for seed in 1..=5 {
        for callers in [4, 40, 100, 300] {
            for held in [0, 3] {
                let day = Day { held, seed, ..of(callers) };
                let book = holds("healthy", &day, 0.0);
                // The rule's clock goes first: a watch that begins in the queue of 300 starts may be given up before its answer.
                let given_up = if callers < 300 { 0 } else { callers as u64 / 10 };
                assert!(book.failed <= given_up, "{} calls of {callers} callers failed", book.failed);
                let whole = if held == 0 { callers as u64 } else { 0 };
                assert_eq!(book.whole, whole, "changes are asked for where a version is held");
            }
        }
    }
}

#[test]
fn what_a_service_is_offered_at_a_start_does_not_grow_with_the_callers() {
    let rate = |callers| {
        let book = play(&Day { held: 0, ..of(callers) });
        book.by_second.iter().take(4).max().copied().unwrap_or(0)
    };
    let (few, many) = (rate(100), rate(400));
    // First calls, and the watches of those that were answered.
    assert!(many <= few + few / 4, "{many} a second of 400 callers, {few} of 100");
}

#[test]
fn a_return_draws_no_second_wave() {
    for seed in 1..=3 {
        let steps = vec![(0, Step::Down), (20 * S, Step::Up)];
        let day = Day { held: 0, seed, steps, ..of(300) };
        let book = holds("down", &day, 20.0);
        let while_down = book.by_second[..20].iter().max().copied().unwrap_or(0);
        assert!(while_down <= 80, "{while_down} calls in a second at a closed door");
        // 45 calls a second come back, and the watches of those that were answered.
        let after = book.by_second[20..].iter().max().copied().unwrap_or(0);
        assert!(after <= 120, "{after} calls in a second after the return");
        assert!(book.longest_queue <= 60, "a queue of {}", book.longest_queue);
        assert_eq!(book.failed, book.refused, "none that reached the service failed");
    }
}

#[test]
fn a_service_that_works_for_nobody_is_left_alone_until_it_is_well_again() {
    for seed in 1..=3 {
        // Answers come after the callers' patience, and nothing is turned away.
        let steps = vec![(0, Step::Patient(true)), (0, Step::Cost(400_000)), (20 * S, Step::Cost(20_000))];
        let book = play(&Day { seed, steps, ..of(300) });
        let last = book.last().expect("all have the list");
        assert!(last <= 30.0, "seed {seed}: {last:.1} s");
        // It was 0.48 while a first call was given up after 8 s.
        let wasted = book.wasted / book.work;
        assert!(wasted <= 0.12, "seed {seed}: {wasted:.2} of its work for nobody");
        // Three times what the fleet takes when all is well.
        let well = play(&Day { seed, ..of(300) }).last().expect("all have the list");
        assert!(last - 20.0 <= 3.0 * well, "{last:.1} s, {well:.1} when all is well");
    }
}

#[test]
fn calls_that_are_turned_away_come_back_slower_and_get_through() {
    for seed in 1..=3 {
        // A service four times slower than it is taken for.
        let day = Day { held: 0, call: 80_000, seed, length: 120 * S, ..of(100) };
        let book = holds("slow", &day, 0.0);
        assert!(book.failed <= 100, "{} calls failed", book.failed);
        assert!(book.whole <= 200, "{} whole lists", book.whole);
    }
}

#[test]
fn callers_that_were_all_stopped_do_not_stay_in_step() {
    let steps = vec![(20 * S, Step::Stop(28 * S))];
    let book = play(&Day { steps, ..of(300) });
    assert_eq!(book.failed, 0);
    let peak = |from: usize| book.by_second[from..from + 5].iter().max().copied().unwrap_or(0);
    assert!(book.by_second[28] >= 250, "all timers are due at once: {:?}", &book.by_second[28..]);
    assert!(peak(50) <= 100, "after some rounds they are not in step: {:?}", &book.by_second[28..]);
}

#[test]
fn a_wrong_number_of_relays_costs_time_and_not_the_service() {
    for told in [0, 30, 3_000] {
        let book = play(&Day { told, held: 0, ..of(300) });
        let last = book.last().expect("all have the list");
        assert!(last <= 1.5 * 6.0 + 2.0, "told {told}: {last:.1} s");
        assert!(book.wasted <= 0.05 * book.work, "told {told}: {:.1} of {:.1} s", book.wasted, book.work);
    }
}

#[test]
fn changes_of_the_list_draw_no_whole_lists() {
    let steps = (0..20).map(|i| (20 * S + i * S / 5, Step::Change)).collect();
    let book = play(&Day { steps, ..of(300) });
    assert_eq!(book.whole, 0);
}

/// Ten thousand callers are more than a service of 50 lists a second can bear: they must not stand in each other's way for
/// good. The rule on asking in time holds the windows short.
#[test]
fn far_too_many_callers_get_through_in_the_end() {
    let day = Day { call: 5_000, length: 240 * S, ..of(10_000) };
    let book = play(&day);
    assert!(book.last().is_some(), "some never had the list");
    assert!(book.wasted <= 0.05 * book.work);
}

/// A relay that dies each second starts its window anew each time; the service sees a part of its lives only.
#[test]
fn relays_that_die_each_second_are_not_callers_each_second() {
    let calls: u64 = (0..200)
        .map(|life| {
            let day = Day { callers: 1, told: 300, seed: 1_000 + life, length: S, ..Day::default() };
            play(&day).calls.min(1)
        })
        .sum();
    assert!((30..=90).contains(&calls), "{calls} of 200 lives of a second called");
}

#[test]
fn a_day_replays() {
    let day = || Day { steps: vec![(S, Step::Down), (5 * S, Step::Up)], ..of(100) };
    assert_eq!(format!("{:?}", play(&day())), format!("{:?}", play(&day())));
}
