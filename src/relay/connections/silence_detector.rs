//! Detects endpoints that no longer respond to a client's lines.

use honeyknot_balancer::Micros;

/// Time without a complete line in response to a client's line after which the endpoint counts as silent, in
/// microseconds.
///
/// A silent connection must be migrated within 7 s of the endpoint's last line. Clients send a line every 2
/// s, so up to 2 s pass before the first line without a response.
const SILENCE_TIMEOUT: Micros = 4_200_000;

/// Tracks when a client's oldest unanswered line was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SilenceDetector {
    unanswered_since: Option<Micros>,
}

impl SilenceDetector {
    /// Restores a detector; `unanswered_since` is the time at which the oldest unanswered line was sent, in
    /// Unix microseconds, or `None` if there is no such line.
    pub(super) fn restore(unanswered_since: Option<Micros>) -> SilenceDetector {
        SilenceDetector { unanswered_since }
    }

    /// Returns the time at which the oldest unanswered line was sent, in Unix microseconds, or `None` if
    /// there is no such line.
    pub(super) fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Records that the client has sent bytes.
    pub(super) fn client_sent(&mut self, now: Micros) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a response of the endpoint. Returns the time at which the oldest unanswered line was sent, or
    /// `None` if there was no such line.
    pub(super) fn endpoint_answered(&mut self) -> Option<Micros> {
        self.unanswered_since.take()
    }

    /// Returns whether the endpoint counts as silent.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + SILENCE_TIMEOUT)
    }
}
