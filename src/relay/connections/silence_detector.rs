//! Detects an endpoint that no longer answers a client's lines.

use honeyknot_balancer::Micros;

/// How long a client's line may stay without a complete line in return until the endpoint counts as silent.
///
/// A client sends a line every 2 s, so its last answer may be older by as much; a silent connection is to be migrated
/// within 7 s.
const SILENCE_TIMEOUT: Micros = 4_200_000;

/// The age of a client's oldest unanswered line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SilenceDetector {
    unanswered_since: Option<Micros>,
}

impl SilenceDetector {
    /// A detector whose oldest unanswered line was sent at this time.
    pub(super) fn restore(unanswered_since: Option<Micros>) -> SilenceDetector {
        SilenceDetector { unanswered_since }
    }

    /// When the oldest unanswered line was sent, in Unix microseconds.
    pub(super) fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Notes that the client has sent bytes.
    pub(super) fn client_sent(&mut self, now: Micros) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes an answer of the endpoint and returns when the line that it answers was sent.
    pub(super) fn endpoint_answered(&mut self) -> Option<Micros> {
        self.unanswered_since.take()
    }

    /// Whether the endpoint counts as silent.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + SILENCE_TIMEOUT)
    }
}
