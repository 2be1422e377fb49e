//! Clocks compared by messages that take their time.

use honeyknot_lease::{ClockDriftChange, ClockDriftMonitor, Micros};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What is shown in so many seconds of a clock that is off by so many parts of a million, ten messages a second on ways that take
/// up to so long.
fn hear(
    clock_drift: &mut ClockDriftMonitor, seconds: u64, ppm: i64, way: Micros, seed: u64,
) -> Vec<(u64, ClockDriftChange)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut shown = Vec::new();
    for step in 0..seconds * 10 {
        let sent = step * 100_000;
        let said = 7_000_000_000 + (sent as i64 + sent as i64 * ppm / 1_000_000) as u64;
        let came = sent + rng.random_range(0..=way);
        shown.extend(clock_drift.message_received(came, 2, said).map(|it| (step / 10, it)));
    }
    shown
}

#[test]
fn a_clock_that_is_a_fifth_fast_is_noticed_within_a_quarter_of_a_minute() {
    for ppm in [200_000, -200_000] {
        let shown = hear(&mut ClockDriftMonitor::new(10_000), 60, ppm, 50_000, 1);
        let [(at, ClockDriftChange::Exceeded(seen))] = shown[..] else { panic!("{shown:?}") };
        assert!(at <= 15 && (seen - ppm).abs() < 40_000, "{shown:?}");
    }
}

#[test]
fn a_small_drift_beyond_the_bound_is_noticed_in_minutes_and_one_within_it_never() {
    let shown = hear(&mut ClockDriftMonitor::new(1_000), 400, 6_000, 20_000, 2);
    assert!(matches!(shown[..], [(at, ClockDriftChange::Exceeded(_))] if at < 200), "{shown:?}");
    for (seed, ppm) in [(3, 2_000), (4, -2_000), (5, 0)] {
        // Ways that take up to half a second, for an hour.
        assert_eq!(hear(&mut ClockDriftMonitor::new(1_000), 3_600, ppm, 450_000, seed), []);
    }
}

#[test]
fn a_clock_that_was_put_right_is_within_the_bound_again() {
    let mut clock_drift = ClockDriftMonitor::new(10_000);
    assert!(matches!(
        hear(&mut clock_drift, 60, 100_000, 1_000, 6)[..],
        [(_, ClockDriftChange::Exceeded(_))]
    ));
    // Its process started anew.
    clock_drift.reset_peer(2);
    assert_eq!(hear(&mut clock_drift, 60, 0, 1_000, 7), []);
}
