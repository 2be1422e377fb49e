//! Whether the clocks of other processes keep within the bound on drift that leases stand on, as far as messages show it.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// Of the messages in a span of this length the fastest one counts.
const WINDOW: Micros = 5_000_000;
/// Spans that are remembered: what is too slow a drift to show in five minutes hurts no lease.
const WINDOWS: usize = 60;
/// By how much the fastest messages of two spans may differ on their way.
const WAY: i64 = 500_000;

/// Compares clocks by the times that others say in their messages. It can tell that two clocks differ by more than the bound allows,
/// never which of them is wrong.
#[derive(Clone, Debug)]
pub struct ClockDriftMonitor {
    drift_ppm: u64,
    peers: BTreeMap<u64, Peer>,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When a span's fastest message came, by the own clock, and how far that was ahead of the time it said.
    windows: VecDeque<(Micros, i64)>,
    began: Micros,
    beyond: bool,
}

/// What a message has shown anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockDriftChange {
    /// The other clock gains so many parts of a million on the own one (or loses, where negative): beyond the bound.
    Beyond(i64),
    /// It is within the bound again.
    Within,
}

impl ClockDriftMonitor {
    /// Nothing heard yet.
    pub fn new(drift_ppm: u64) -> ClockDriftMonitor {
        ClockDriftMonitor { drift_ppm, peers: BTreeMap::new() }
    }

    /// A message of another process, which said this time of its clock.
    pub fn message_received(&mut self, now: Micros, from: u64, said: Micros) -> Option<ClockDriftChange> {
        let peer = self.peers.entry(from).or_default();
        let ahead = now as i64 - said as i64;
        match peer.windows.back_mut() {
            Some(last) if now < peer.began + WINDOW => {
                if ahead < last.1 {
                    *last = (now, ahead);
                }
                return None;
            }
            _ => {}
        }
        // The span before is over: only now is its fastest message known.
        let shown = peer.judge(self.drift_ppm);
        peer.windows.push_back((now, ahead));
        if peer.windows.len() > WINDOWS {
            peer.windows.pop_front();
        }
        peer.began = now;
        shown
    }

    /// A process has started anew, perhaps on another machine: what its clock said before means nothing.
    pub fn reset_peer(&mut self, from: u64) {
        self.peers.remove(&from);
    }
}

impl Peer {
    fn judge(&mut self, drift_ppm: u64) -> Option<ClockDriftChange> {
        let (first, last) = (*self.windows.front()?, *self.windows.back()?);
        let span = last.0.saturating_sub(first.0);
        let lost = last.1 - first.1;
        // Both clocks may be off by the bound, each to its own side.
        let allowed = (span.saturating_mul(2 * drift_ppm) / 1_000_000) as i64 + WAY;
        let beyond = lost.abs() > allowed;
        if beyond == self.beyond {
            return None;
        }
        self.beyond = beyond;
        Some(if beyond {
            ClockDriftChange::Beyond(-lost * 1_000_000 / span.max(1) as i64)
        } else {
            ClockDriftChange::Within
        })
    }
}
