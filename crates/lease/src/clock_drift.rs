//! Detects drift between the local clock and the clocks of peers from the timestamps in their messages.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// Length of a window in microseconds. Of each window only the message with the shortest delay is compared.
const WINDOW: Micros = 5_000_000;
/// Maximum number of windows that are kept for each peer.
const MAX_WINDOWS: usize = 60;
/// Maximum difference between the delays of the fastest messages of two windows, in microseconds.
const MAX_DELAY_DIFFERENCE: i64 = 500_000;

/// A change in whether a peer's clock is within the drift bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockDriftChange {
    /// The rates of the two clocks differ by more than the bound: by how many parts per million the peer's
    /// clock is faster than the local one, negative if it is slower.
    Exceeded(i64),
    /// The peer's clock is within the bound again.
    WithinBound,
}

/// Detects that the rates of a peer's clock and of the local one differ by more than the drift bound. It
/// cannot tell which of the two is wrong.
#[derive(Clone, Debug)]
pub struct ClockDriftMonitor {
    drift_ppm: u64,
    peers: BTreeMap<u64, Peer>,
}

/// The fastest message of a window.
#[derive(Clone, Copy, Debug)]
struct FastestMessage {
    /// When it arrived, by the local clock.
    received_at: Micros,
    /// The local clock at the arrival minus the peer's timestamp, in microseconds.
    offset: i64,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// The fastest message of each window, the oldest window first.
    windows: VecDeque<FastestMessage>,
    /// Start of the current window, by the local clock.
    window_started_at: Micros,
    /// Whether the last comparison found a drift beyond the bound.
    exceeded: bool,
}

impl ClockDriftMonitor {
    /// Creates a monitor without peers, for a drift bound in parts per million.
    pub fn new(drift_ppm: u64) -> ClockDriftMonitor {
        ClockDriftMonitor { drift_ppm, peers: BTreeMap::new() }
    }

    /// Records a peer's message that was sent at `sent_at` by the peer's clock. Returns `Some` when the drift
    /// of that clock begins or ceases to exceed the bound.
    pub fn message_received(&mut self, now: Micros, peer: u64, sent_at: Micros) -> Option<ClockDriftChange> {
        let peer = self.peers.entry(peer).or_default();
        let message = FastestMessage { received_at: now, offset: now as i64 - sent_at as i64 };
        match peer.windows.back_mut() {
            Some(fastest) if now < peer.window_started_at + WINDOW => {
                if message.offset < fastest.offset {
                    *fastest = message;
                }
                return None;
            }
            _ => {}
        }
        // The last window is over: only now is its fastest message known.
        let change = peer.compare_windows(self.drift_ppm);
        peer.windows.push_back(message);
        if peer.windows.len() > MAX_WINDOWS {
            peer.windows.pop_front();
        }
        peer.window_started_at = now;
        change
    }

    /// Drops the measurements of a peer, which may have restarted on another machine.
    pub fn reset_peer(&mut self, peer: u64) {
        self.peers.remove(&peer);
    }
}

impl Peer {
    fn compare_windows(&mut self, drift_ppm: u64) -> Option<ClockDriftChange> {
        let (first, last) = (*self.windows.front()?, *self.windows.back()?);
        let span = last.received_at.saturating_sub(first.received_at);
        let offset_change = last.offset - first.offset;
        // Both clocks may be off by the bound, in opposite directions.
        let allowed = (span.saturating_mul(2 * drift_ppm) / 1_000_000) as i64 + MAX_DELAY_DIFFERENCE;
        let exceeded = offset_change.abs() > allowed;
        if exceeded == self.exceeded {
            return None;
        }
        self.exceeded = exceeded;
        if !exceeded {
            return Some(ClockDriftChange::WithinBound);
        }
        Some(ClockDriftChange::Exceeded(-offset_change * 1_000_000 / span.max(1) as i64))
    }
}
