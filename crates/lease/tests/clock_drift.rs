//! Clock drift is detected from messages with random delays.

use honeyknot_lease::{ClockDriftChange, ClockDriftMonitor, Micros};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const PEER: u64 = 2;
const MESSAGES_PER_SECOND: u64 = 10;
const MESSAGE_INTERVAL: Micros = 1_000_000 / MESSAGES_PER_SECOND;
/// Reading of the peer's clock at true time 0, in microseconds.
const PEER_CLOCK_OFFSET: Micros = 7_000_000_000;

/// The error of a peer's clock and the delays of the peer's messages.
struct Scenario {
    seconds: u64,
    /// Rate error of the peer's clock in parts per million.
    drift_ppm: i64,
    /// Maximum delay of a message in microseconds.
    max_delay: Micros,
    seed: u64,
}

/// Feeds the scenario's messages to a monitor and returns the detected changes, each with its second of true
/// time.
fn detected_changes(monitor: &mut ClockDriftMonitor, scenario: &Scenario) -> Vec<(u64, ClockDriftChange)> {
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
    let mut changes = Vec::new();
    for message in 0..scenario.seconds * MESSAGES_PER_SECOND {
        let true_time = message * MESSAGE_INTERVAL;
        let drift = true_time as i64 * scenario.drift_ppm / 1_000_000;
        let sent_at = PEER_CLOCK_OFFSET + (true_time as i64 + drift) as u64;
        let received_at = true_time + rng.random_range(0..=scenario.max_delay);
        let change = monitor.message_received(received_at, PEER, sent_at);
        changes.extend(change.map(|change| (message / MESSAGES_PER_SECOND, change)));
    }
    changes
}

#[test]
fn a_drift_of_a_fifth_is_detected_within_fifteen_seconds() {
    for drift_ppm in [200_000, -200_000] {
        let scenario = Scenario { seconds: 60, drift_ppm, max_delay: 50_000, seed: 1 };
        let changes = detected_changes(&mut ClockDriftMonitor::new(10_000), &scenario);
        let [(second, ClockDriftChange::Exceeded(detected_ppm))] = changes[..] else { panic!("{changes:?}") };
        assert!(second <= 15 && (detected_ppm - drift_ppm).abs() < 40_000, "{changes:?}");
    }
}

#[test]
fn a_small_drift_is_detected_within_200_seconds_if_it_exceeds_the_bound_and_never_otherwise() {
    let scenario = Scenario { seconds: 400, drift_ppm: 6_000, max_delay: 20_000, seed: 2 };
    let changes = detected_changes(&mut ClockDriftMonitor::new(1_000), &scenario);
    assert!(matches!(changes[..], [(second, ClockDriftChange::Exceeded(_))] if second < 200), "{changes:?}");
    for (seed, drift_ppm) in [(3, 2_000), (4, -2_000), (5, 0)] {
        let scenario = Scenario { seconds: 3_600, drift_ppm, max_delay: 450_000, seed };
        assert_eq!(detected_changes(&mut ClockDriftMonitor::new(1_000), &scenario), []);
    }
}

#[test]
fn after_a_reset_the_corrected_clock_of_a_peer_is_within_the_bound() {
    let mut monitor = ClockDriftMonitor::new(10_000);
    let wrong = Scenario { seconds: 60, drift_ppm: 100_000, max_delay: 1_000, seed: 6 };
    assert!(matches!(detected_changes(&mut monitor, &wrong)[..], [(_, ClockDriftChange::Exceeded(_))]));
    monitor.reset_peer(PEER);
    let corrected = Scenario { seconds: 60, drift_ppm: 0, max_delay: 1_000, seed: 7 };
    assert_eq!(detected_changes(&mut monitor, &corrected), []);
}
