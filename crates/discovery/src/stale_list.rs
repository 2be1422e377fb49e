//! Detects a stale endpoint list: endpoints that it lists as ready refuse connections.

use honeyknot_balancer::Micros;

use crate::request::{DiscoveryRequest, InFlightRequest};

/// Number of refused connections within [`REFUSAL_WINDOW`] from which the list is considered stale.
const MIN_REFUSALS: u32 = 2;
/// Time within which refused connections are counted together, in microseconds.
const REFUSAL_WINDOW: Micros = 2_000_000;
/// Minimum age of a watch that is abandoned, in microseconds.
const MIN_WATCH_AGE: Micros = 1_000_000;
/// Minimum time between the abandonment of two watches, in microseconds. It doubles with each watch that is
/// abandoned before a request has been answered, so that a slow service is heard in the end.
const MIN_ABANDON_INTERVAL: Micros = 5_000_000;
/// Maximum number of doublings of [`MIN_ABANDON_INTERVAL`].
const MAX_DOUBLINGS: u32 = 4;

/// Counts refused connections and decides whether the watch in flight is abandoned.
#[derive(Debug)]
pub(crate) struct StaleListDetector {
    refusals: u32,
    window_started_at: Micros,
    /// When a watch was last abandoned; `None` if none has been.
    abandoned_at: Option<Micros>,
    /// Number of watches abandoned since the last answer.
    abandoned_unanswered: u32,
}

impl StaleListDetector {
    pub(crate) fn new(now: Micros) -> StaleListDetector {
        StaleListDetector { refusals: 0, window_started_at: now, abandoned_at: None, abandoned_unanswered: 0 }
    }

    /// Counts a refused connection and returns whether the request in flight must be abandoned.
    pub(crate) fn record_refusal(&mut self, now: Micros, in_flight: InFlightRequest) -> bool {
        if now.saturating_sub(self.window_started_at) > REFUSAL_WINDOW {
            self.restart_window(now);
        }
        self.refusals += 1;
        let is_old_watch = matches!(in_flight.request, DiscoveryRequest::Watch { .. })
            && now >= in_flight.started_at + MIN_WATCH_AGE;
        let interval = MIN_ABANDON_INTERVAL << self.abandoned_unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
        let may_abandon = self.abandoned_at.is_none_or(|at| now >= at + interval);
        let stale = is_old_watch && may_abandon && self.refusals >= MIN_REFUSALS;
        if stale {
            self.restart_window(now);
            self.abandoned_at = Some(now);
            self.abandoned_unanswered = self.abandoned_unanswered.saturating_add(1);
        }
        stale
    }

    /// Records that the service has answered a request.
    pub(crate) fn record_answer(&mut self) {
        self.abandoned_unanswered = 0;
    }

    fn restart_window(&mut self, now: Micros) {
        self.refusals = 0;
        self.window_started_at = now;
    }
}
