//! When the next request is made after one that failed.

use honeyknot_balancer::Micros;
use rand::Rng;

use crate::error::DiscoveryErrorKind;
use crate::notification_deadline::MAX_PAUSE;
use crate::poller::{DiscoveryPoller, MIN_PAUSE};
use crate::schedule::{FULL_LIST_COST, MAX_SECOND_REQUEST_TIME};

/// Least mean backoff after a failed request, in microseconds; doubled by further failures.
const INITIAL_BACKOFF: Micros = 500_000;
/// Longest backoff of relays without a list and of fleets too large for the notification deadline, in microseconds.
const MAX_BACKOFF: Micros = 24_000_000;
/// Most doublings of the backoff after consecutive failures.
const MAX_DOUBLINGS: u32 = 3;
/// Most signs of overload that are counted; each doubles the fleet's part of the backoff.
pub(crate) const MAX_OVERLOADS: u32 = 3;
/// Least cost of any request to the service, in microseconds.
const MIN_REQUEST_COST: Micros = 5_000;
/// Age of a request below which a broken connection was not waiting in a queue, in microseconds.
const MIN_QUEUED_TIME: Micros = 1_000_000;
/// Most consecutive requests without backoff after one that timed out.
const MAX_IMMEDIATE_RETRIES: u32 = 4;
/// Spread per relay of requests without backoff, in microseconds.
const IMMEDIATE_RETRY_SPREAD_PER_RELAY: Micros = 1_000;
/// Longest spread of requests without backoff, in microseconds.
const MAX_IMMEDIATE_RETRY_SPREAD: Micros = 150_000;
/// Initial mean backoff while a new service has not answered yet, in microseconds.
const SERVICE_CHANGE_BACKOFF: Micros = 200_000;
/// Longest `Retry-After` that is heeded, in microseconds: the rest of the longest pause spreads the relays.
const MAX_RETRY_AFTER: Micros = MAX_PAUSE / 2;

impl DiscoveryPoller {
    /// Takes the failure of the request in flight and schedules the next one.
    pub fn poll_failed(&mut self, now: Micros, error: DiscoveryErrorKind) {
        let elapsed = self.in_flight.take().map_or(0, |in_flight| now.saturating_sub(in_flight.started_at));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let pause = match self.config.agent_watch_wait() {
            Some(wait) => MIN_PAUSE.max(wait / 4),
            None if self.retries_immediately(error, elapsed) => self.draw_immediate_retry_pause(),
            None if self.validator.service_changed() => self.draw_service_change_backoff(),
            None => self.draw_backoff(error, elapsed),
        };
        self.next_poll_at = Some(now + pause);
    }

    /// Decides whether the next request is made without backoff.
    ///
    /// That is so after a request that timed out, as the changes that it missed are about to count as notified, and
    /// after requests since then that failed without a sign that the service is down or overloaded.
    fn retries_immediately(&mut self, error: DiscoveryErrorKind, elapsed: Micros) -> bool {
        let immediately = match error {
            DiscoveryErrorKind::Timeout => {
                self.lateness = MAX_SECOND_REQUEST_TIME;
                true
            }
            DiscoveryErrorKind::ConnectionBroken | DiscoveryErrorKind::InvalidResponse => {
                self.immediate_retries > 0 && elapsed < MIN_QUEUED_TIME
            }
            // The service was reached or is down: the notification deadline starts anew.
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

    fn draw_service_change_backoff(&mut self) -> Micros {
        let mean = SERVICE_CHANGE_BACKOFF << self.doublings();
        self.rng.random_range(mean / 2..=mean / 2 * 3)
    }

    fn doublings(&self) -> u32 {
        (self.consecutive_failures - 1).min(MAX_DOUBLINGS)
    }

    fn draw_backoff(&mut self, error: DiscoveryErrorKind, elapsed: Micros) -> Micros {
        let fleet_backoff = self.fleet_backoff(error, elapsed);
        let retry_after = match error {
            DiscoveryErrorKind::Overloaded { retry_after } => retry_after.unwrap_or(0).min(MAX_RETRY_AFTER),
            _ => 0,
        };
        let limit = match error {
            // The service was reached, so a change held back by the invalid response counts as notified soon.
            DiscoveryErrorKind::InvalidResponse => MAX_PAUSE / 2,
            _ => self.max_backoff() - retry_after,
        };
        let least_mean = if self.config.is_single_relay() { 0 } else { fleet_backoff };
        let mean = (INITIAL_BACKOFF << self.doublings()).max(least_mean);
        let range = if mean / 2 * 3 <= limit {
            mean / 2..=mean / 2 * 3
        } else if limit > MAX_PAUSE {
            limit / 3..=limit
        } else {
            limit / 4 * 3..=limit
        };
        retry_after + self.rng.random_range(range)
    }

    /// Returns the least mean backoff that bounds the whole fleet's requests, and counts signs of overload.
    fn fleet_backoff(&mut self, error: DiscoveryErrorKind, elapsed: Micros) -> Micros {
        let fleet_backoff = self.config.relay_count() * FULL_LIST_COST / 5 * 6;
        match error {
            // Such a request costs the service next to nothing.
            DiscoveryErrorKind::ConnectionRefused => fleet_backoff,
            DiscoveryErrorKind::ConnectionBroken if elapsed < MIN_QUEUED_TIME => fleet_backoff,
            DiscoveryErrorKind::ConnectionBroken | DiscoveryErrorKind::Overloaded { .. } => {
                self.overloads = (self.overloads + 1).min(MAX_OVERLOADS);
                fleet_backoff << self.overloads.saturating_sub(1)
            }
            // The timeout itself has kept the relay from making requests.
            DiscoveryErrorKind::Timeout | DiscoveryErrorKind::InvalidResponse => 0,
        }
    }

    /// Returns the longest backoff in microseconds.
    ///
    /// A relay that serves from a list is bound by the notification deadline, unless the fleet is so large that the
    /// service could not answer all relays within it.
    fn max_backoff(&self) -> Micros {
        if self.validator.is_empty() {
            return MAX_BACKOFF;
        }
        (self.config.relay_count() * MIN_REQUEST_COST).clamp(MAX_PAUSE, MAX_BACKOFF)
    }
}
