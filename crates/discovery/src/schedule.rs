//! Delay of the first request, wait of watches, and timeouts of requests.

use honeyknot_balancer::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::config::DiscoveryConfig;
use crate::notification_deadline::{DEADLINE_AFTER_SERVICE_CHANGE, MAX_PAUSE, deadline_after};
use crate::poller::DiscoveryPoller;
use crate::request::DiscoveryRequest;

/// Time that the service is assumed to need for a full list, in microseconds. Requests are spread by this
/// time for each relay of the fleet.
pub(crate) const FULL_LIST_COST: Micros = 20_000;
/// Spread of the first requests of relays that start without a list, in percent of [`FULL_LIST_COST`] per
/// relay.
const EMPTY_START_PERCENT: Micros = 80;
/// Spread of the first requests of relays that start with a cached list, in percent of [`FULL_LIST_COST`] per
/// relay.
const CACHED_START_PERCENT: Micros = 60;
/// Maximum spread of first requests, in microseconds.
pub(crate) const MAX_FIRST_REQUEST_SPREAD: Micros = 8_000_000;
/// Minimum spread of first requests in a fleet of more than one relay, in microseconds.
const MIN_FIRST_REQUEST_SPREAD: Micros = 50_000;

/// Mean wait of a watch, in microseconds.
const WATCH_WAIT: Micros = 5_000_000;
/// Increase of the first watch's mean wait for each relay of the fleet, in microseconds.
const FIRST_WATCH_WAIT_PER_RELAY: Micros = 60_000;
/// Maximum mean wait of the first watch, in microseconds.
const MAX_FIRST_WATCH_WAIT: Micros = 16_600_000;
/// Minimum mean wait of a watch for each relay of the fleet, in microseconds.
const WATCH_WAIT_PER_RELAY: Micros = 20_000;
/// Maximum mean wait of a watch, in microseconds.
const MAX_WATCH_WAIT: Micros = 20_000_000;
/// Minimum wait of any watch, in microseconds.
const MIN_WATCH_WAIT: Micros = 100_000;
/// Unit of a watch's wait on the wire, in microseconds.
const WATCH_WAIT_UNIT: Micros = 1_000;

/// Minimum time that is left for a second request when a stalled one is abandoned, in microseconds.
const MIN_SECOND_REQUEST_TIME: Micros = 600_000;
/// Maximum time that is left for a second request when a stalled one is abandoned, in microseconds.
pub(crate) const MAX_SECOND_REQUEST_TIME: Micros = 1_400_000;
/// Lateness of responses that is assumed at the start for each relay of the fleet, in microseconds.
const INITIAL_LATENESS_PER_RELAY: Micros = 5_000;
/// Minimum timeout of a request to a new service that leaves time for a second request before the deadline, in
/// microseconds. If less is left, the request may take as long as any other.
const MIN_SERVICE_CHANGE_TIMEOUT: Micros = MAX_SECOND_REQUEST_TIME;

/// Spread of first requests to a new service for each relay of the fleet, in microseconds.
const SERVICE_CHANGE_SPREAD_PER_RELAY: Micros = 4_000;
/// Maximum spread of first requests to a new service, in microseconds.
const MAX_SERVICE_CHANGE_SPREAD: Micros = 1_200_000;

/// Draws the delay of the first request after the relay's start, in microseconds.
pub(crate) fn first_request_delay(config: &DiscoveryConfig, has_list: bool, rng: &mut Pcg64Mcg) -> Micros {
    let percent = if has_list { CACHED_START_PERCENT } else { EMPTY_START_PERCENT };
    let mut spread = config.relay_count() * FULL_LIST_COST / 100 * percent;
    if has_list {
        // A relay that serves from a list must make its first request within the notification deadline and
        // the maximum list age, even if that overloads the service.
        let max_delay = if config.max_list_age > 0 { config.max_list_age / 10 * 6 } else { Micros::MAX };
        spread = spread.min(max_delay).min(MAX_PAUSE);
    }
    let spread = match config.is_single_relay() {
        true => 0,
        false => spread.clamp(MIN_FIRST_REQUEST_SPREAD, MAX_FIRST_REQUEST_SPREAD),
    };
    rng.random_range(0..=spread)
}

/// Draws the delay of the first request to a new service, in microseconds.
pub(crate) fn service_change_delay(config: &DiscoveryConfig, rng: &mut Pcg64Mcg) -> Micros {
    let spread = match config.fleet_size {
        0 | 1 => 0,
        relays => (Micros::from(relays) * SERVICE_CHANGE_SPREAD_PER_RELAY).min(MAX_SERVICE_CHANGE_SPREAD),
    };
    rng.random_range(0..=spread)
}

/// Returns the lateness of responses that is assumed before the first one, in microseconds.
pub(crate) fn initial_lateness(config: &DiscoveryConfig) -> Micros {
    (config.relay_count() * INITIAL_LATENESS_PER_RELAY).min(MAX_SECOND_REQUEST_TIME)
}

impl DiscoveryPoller {
    /// Returns the time after which a request made now is abandoned, in microseconds.
    ///
    /// A second request must still be answered before the changes that the first one missed count as
    /// notified. The later responses have been, the less time is left for the second request, so that slow
    /// responses are not cut off.
    ///
    /// After a service change that deadline is earlier. It shortens only requests that are left enough time for
    /// an answer: a deadline that is over, or that only one request can meet, must not cut off the answer.
    pub(crate) fn request_timeout(&self, now: Micros, request: DiscoveryRequest) -> Micros {
        match self.config.agent_timing() {
            Some(timing) => self.agent_response_time.timeout(timing, request.max_wait()),
            None => self.service_timeout(now, request),
        }
    }

    fn service_timeout(&self, now: Micros, request: DiscoveryRequest) -> Micros {
        let second_request_time =
            MAX_SECOND_REQUEST_TIME.saturating_sub(self.lateness).max(MIN_SECOND_REQUEST_TIME);
        let changed_at = self.service_changed_at.filter(|_| self.validator.service_changed());
        let until_deadline = changed_at
            .map(|at| (at + DEADLINE_AFTER_SERVICE_CHANGE).saturating_sub(now + second_request_time));
        until_deadline
            .filter(|timeout| *timeout >= MIN_SERVICE_CHANGE_TIMEOUT)
            .unwrap_or(deadline_after(request) - second_request_time)
    }

    /// Draws how long a watch waits, in microseconds. The jitter keeps the watches of the fleet from
    /// synchronizing.
    pub(crate) fn draw_watch_wait(&mut self, now: Micros) -> Micros {
        if let Some(timing) = self.config.agent_timing() {
            return self.agent_response_time.watch_wait(timing);
        }
        let relays = self.config.relay_count();
        let is_first = !self.answered && self.immediate_retries == 0 && !self.config.is_single_relay();
        let min_mean = match is_first {
            true => (WATCH_WAIT + relays * FIRST_WATCH_WAIT_PER_RELAY).min(MAX_FIRST_WATCH_WAIT),
            false => WATCH_WAIT << self.overload_level.min(1),
        };
        let mean = (relays * WATCH_WAIT_PER_RELAY).clamp(min_mean, MAX_WATCH_WAIT);
        let wait = self.rng.random_range(mean / 4 * 3..=mean / 4 * 5);
        let limit = self.validator.recheck_at().map_or(wait, |at| at.saturating_sub(now));
        wait.min(limit).max(MIN_WATCH_WAIT) / WATCH_WAIT_UNIT * WATCH_WAIT_UNIT
    }
}
