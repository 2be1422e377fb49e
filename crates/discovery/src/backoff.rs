//! Backoff: when the next request is made after one that failed.

use honeyknot_balancer::Micros;
use rand::Rng;

use crate::error::DiscoveryErrorKind;
use crate::notification_deadline::{MAX_PAUSE, NOTIFICATION_DEADLINE};
use crate::poller::{DiscoveryPoller, MIN_PAUSE};
use crate::schedule::{FULL_LIST_COST, MAX_SECOND_REQUEST_TIME};

/// Mean backoff after the first failed request, in microseconds, unless the fleet size requires a longer one.
/// Each further failure doubles it.
const INITIAL_BACKOFF: Micros = 500_000;
/// Maximum backoff, in microseconds, of a relay without a list or in a fleet that is too large for the
/// service to answer every relay within the notification deadline.
const MAX_BACKOFF: Micros = 24_000_000;
/// Maximum number of doublings of the backoff after consecutive failures.
const MAX_DOUBLINGS: u32 = 3;
/// Maximum overload level. Each level above the first doubles the backoff that the fleet size requires.
pub(crate) const MAX_OVERLOAD_LEVEL: u32 = 3;
/// Minimum time that the service needs for any request, in microseconds.
const MIN_REQUEST_COST: Micros = 5_000;
/// Age of a request, in microseconds, below which it is assumed not to have waited in the service's queue
/// when its connection breaks.
const MIN_QUEUED_TIME: Micros = 1_000_000;
/// Maximum number of consecutive retries without backoff after a request timed out.
const MAX_IMMEDIATE_RETRIES: u32 = 4;
/// Random spread of retries without backoff for each relay of the fleet, in microseconds.
const IMMEDIATE_RETRY_SPREAD_PER_RELAY: Micros = 1_000;
/// Maximum random spread of retries without backoff, in microseconds.
const MAX_IMMEDIATE_RETRY_SPREAD: Micros = 150_000;
/// Mean backoff after the first failed request to a new service that has not answered yet, in microseconds.
/// Each further failure doubles it.
const SERVICE_CHANGE_BACKOFF: Micros = 200_000;
/// Maximum `Retry-After` that is honored, in microseconds. The rest of [`MAX_PAUSE`] is left for the random
/// spread of the relays.
const MAX_RETRY_AFTER: Micros = MAX_PAUSE / 2;

impl DiscoveryPoller {
    /// Records that the request in flight failed and schedules the next one.
    pub fn poll_failed(&mut self, now: Micros, error: DiscoveryErrorKind) {
        let in_flight = self.in_flight.take();
        let elapsed = in_flight.map_or(0, |in_flight| now.saturating_sub(in_flight.started_at));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if error == DiscoveryErrorKind::Timeout {
            self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
            let max_wait = in_flight.map_or(0, |in_flight| in_flight.request.max_wait());
            self.agent_response_time.record_timeout(elapsed.saturating_sub(max_wait));
        }
        let pause = match self.config.agent_timing() {
            Some(timing) => timing.failure_pause(),
            None if self.retries_immediately(error, elapsed) => self.draw_immediate_retry_pause(),
            None if self.validator.service_changed() => self.draw_service_change_backoff(error, elapsed),
            None => self.draw_backoff(error, elapsed),
        };
        self.next_poll_at = Some(now + pause);
    }

    /// Decides whether the next request is made without backoff.
    ///
    /// This is the case after a timeout, because the changes that the request missed are about to count as
    /// notified, see [`notification_deadline`](crate::notification_deadline). It is also the case after the
    /// failures that follow, unless they show that the service is down or overloaded.
    fn retries_immediately(&mut self, error: DiscoveryErrorKind, elapsed: Micros) -> bool {
        let immediately = match error {
            DiscoveryErrorKind::Timeout => {
                self.lateness = MAX_SECOND_REQUEST_TIME;
                true
            }
            DiscoveryErrorKind::ConnectionBroken | DiscoveryErrorKind::InvalidResponse => {
                self.immediate_retries > 0 && elapsed < MIN_QUEUED_TIME
            }
            // The service either answered or is down, so the notification deadline starts again.
            DiscoveryErrorKind::ConnectionRefused | DiscoveryErrorKind::Overloaded { .. } => {
                self.immediate_retries = 0;
                false
            }
        };
        self.immediate_retries += u32::from(immediately);
        immediately && self.immediate_retries <= MAX_IMMEDIATE_RETRIES
    }

    fn draw_immediate_retry_pause(&mut self) -> Micros {
        let spread = self.config.relay_count() * IMMEDIATE_RETRY_SPREAD_PER_RELAY;
        MIN_PAUSE + self.rng.random_range(0..=spread.min(MAX_IMMEDIATE_RETRY_SPREAD))
    }

    fn draw_service_change_backoff(&mut self, error: DiscoveryErrorKind, elapsed: Micros) -> Micros {
        let mean = SERVICE_CHANGE_BACKOFF << self.doublings();
        let limit = self.max_backoff_after(error, elapsed);
        self.draw_limited(mean, limit)
    }

    /// Draws a backoff with a mean and a limit. Backoffs at the limit are spread below it.
    fn draw_limited(&mut self, mean: Micros, limit: Micros) -> Micros {
        let range = if mean / 2 * 3 <= limit {
            mean / 2..=mean / 2 * 3
        } else if limit > MAX_PAUSE {
            limit / 3..=limit
        } else {
            limit / 4 * 3..=limit
        };
        self.rng.random_range(range)
    }

    fn doublings(&self) -> u32 {
        (self.consecutive_failures - 1).min(MAX_DOUBLINGS)
    }

    fn draw_backoff(&mut self, error: DiscoveryErrorKind, elapsed: Micros) -> Micros {
        let fleet_backoff = self.fleet_backoff(error, elapsed);
        let max_backoff = self.max_backoff_after(error, elapsed);
        let retry_after = match error {
            DiscoveryErrorKind::Overloaded { retry_after } => {
                retry_after.unwrap_or(0).min(MAX_RETRY_AFTER).min(max_backoff / 2)
            }
            _ => 0,
        };
        let min_mean = if self.config.is_single_relay() { 0 } else { fleet_backoff };
        let mean = (INITIAL_BACKOFF << self.doublings()).max(min_mean);
        retry_after + self.draw_limited(mean, max_backoff - retry_after)
    }

    /// Returns the maximum backoff after a request that failed after `elapsed`, in microseconds.
    ///
    /// A request that the service kept waiting and then rejected has missed every change since its start, and the
    /// next one may take as long to be answered. Both count towards the notification deadline, unless the fleet
    /// is so large that the service could not answer all relays within the rest of it.
    fn max_backoff_after(&self, error: DiscoveryErrorKind, elapsed: Micros) -> Micros {
        let max_backoff = self.max_backoff();
        match error {
            // The service was reached, so a change lost with the invalid response counts as notified soon.
            DiscoveryErrorKind::InvalidResponse => MAX_PAUSE / 2,
            DiscoveryErrorKind::Overloaded { .. } | DiscoveryErrorKind::ConnectionBroken
                if !self.validator.is_empty() =>
            {
                let response_time = elapsed.max(MAX_SECOND_REQUEST_TIME);
                let rest = NOTIFICATION_DEADLINE.saturating_sub(elapsed + response_time);
                let min_backoff = (self.config.relay_count() * FULL_LIST_COST).max(INITIAL_BACKOFF);
                rest.max(min_backoff).min(max_backoff)
            }
            _ => max_backoff,
        }
    }

    /// Returns the minimum mean backoff, in microseconds, that bounds the whole fleet's load on the service.
    /// Also updates the overload level.
    fn fleet_backoff(&mut self, error: DiscoveryErrorKind, elapsed: Micros) -> Micros {
        let fleet_backoff = self.config.relay_count() * FULL_LIST_COST / 5 * 6;
        match error {
            // A refused connection costs the service almost nothing, so it is no sign of overload.
            DiscoveryErrorKind::ConnectionRefused => fleet_backoff,
            DiscoveryErrorKind::ConnectionBroken if elapsed < MIN_QUEUED_TIME => fleet_backoff,
            DiscoveryErrorKind::ConnectionBroken | DiscoveryErrorKind::Overloaded { .. } => {
                self.overload_level = (self.overload_level + 1).min(MAX_OVERLOAD_LEVEL);
                fleet_backoff << self.overload_level.saturating_sub(1)
            }
            // The wait for the timeout has already kept the relay from making requests.
            DiscoveryErrorKind::Timeout | DiscoveryErrorKind::InvalidResponse => 0,
        }
    }

    /// Returns the maximum backoff, in microseconds.
    ///
    /// A relay that serves from a list is bound by the notification deadline, unless the fleet is so large
    /// that the service could not answer all relays within it.
    fn max_backoff(&self) -> Micros {
        if self.validator.is_empty() {
            return MAX_BACKOFF;
        }
        (self.config.relay_count() * MIN_REQUEST_COST).clamp(MAX_PAUSE, MAX_BACKOFF)
    }
}
