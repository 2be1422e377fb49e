//! Long requests to a service that has not answered for a long time.
//!
//! The timeouts of requests follow from deadlines, so a service that always needs longer than they allow would
//! never be heard. Once no request has been answered for [`MIN_SILENCE`], some requests are left open for longer:
//! each for a share of the time without an answer, so that any response time is reached in the end. They take up
//! at most that share of the time, because a service that was silent and is back answers only a new request.

use honeyknot_balancer::Micros;

/// Time without an answer after which long requests are made, in microseconds.
const MIN_SILENCE: Micros = 30_000_000;
/// The time without an answer is this many times as long as a long request, and so is the interval between the
/// starts of two long requests.
const SILENCE_PER_LONG_REQUEST: Micros = 8;
/// Maximum timeout of a long request, in microseconds.
const MAX_LONG_TIMEOUT: Micros = 30_000_000;

/// Time since the last answer, and when the next long request may be made.
#[derive(Debug)]
pub(crate) struct UnansweredTime {
    since: Micros,
    next_long_request_at: Micros,
}

impl UnansweredTime {
    pub(crate) fn new(now: Micros) -> UnansweredTime {
        UnansweredTime { since: now, next_long_request_at: now + MIN_SILENCE }
    }

    /// Returns the timeout of a long request that is made now, in microseconds; `None` if none is due.
    pub(crate) fn long_timeout(&mut self, now: Micros) -> Option<Micros> {
        if now < self.next_long_request_at {
            return None;
        }
        let timeout = (now.saturating_sub(self.since) / SILENCE_PER_LONG_REQUEST).min(MAX_LONG_TIMEOUT);
        self.next_long_request_at = now + SILENCE_PER_LONG_REQUEST * timeout;
        Some(timeout)
    }
}
