//! The poller of one relay: requests go out and results come in, one at a time.

use honeyknot_balancer::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::backoff::MAX_OVERLOADS;
use crate::config::DiscoveryConfig;
use crate::list_validation::{EndpointList, ListValidator};
use crate::request::{DiscoveryRequest, InFlightRequest, Poll};
use crate::schedule::{
    FULL_LIST_COST, MAX_FIRST_REQUEST_SPREAD, first_request_delay, initial_lateness, service_change_delay,
};
use crate::stale_list::StaleListDetector;
use crate::state::DiscoveryState;

/// Least pause after a request, in microseconds: well below the 200 ms within which a watch goes on.
pub(crate) const MIN_PAUSE: Micros = 20_000;
/// Spread per relay of the requests that follow a change, in microseconds.
const CHANGE_SPREAD_PER_RELAY: Micros = 500;
/// Longest spread of the requests that follow a change, in microseconds.
const MAX_CHANGE_SPREAD: Micros = 130_000;
/// Most doublings of the pause after responses that came at once without a change.
const MAX_EMPTY_DOUBLINGS: u32 = 7;
/// Lateness of a response from which on the service counts as overloaded, in microseconds.
const OVERLOAD_LATENESS: Micros = 400_000;
/// Longest lateness by which the pause is lengthened where no list age bounds it, in microseconds.
const MAX_OVERLOAD_PAUSE: Micros = 3_000_000;

/// Decides when one relay polls discovery, and validates the lists that it receives.
#[derive(Debug)]
pub struct DiscoveryPoller {
    pub(crate) config: DiscoveryConfig,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) validator: ListValidator,
    /// When the next request is due; none while one is in flight.
    pub(crate) next_poll_at: Option<Micros>,
    pub(crate) in_flight: Option<InFlightRequest>,
    /// The next request is for the full list.
    full_list_requested: bool,
    pub(crate) consecutive_failures: u32,
    /// Signs of overload that have not been outweighed by timely responses.
    pub(crate) overloads: u32,
    /// Consecutive responses that came at once without a change.
    consecutive_empty: u32,
    /// Decaying maximum of the time by which responses came late, in microseconds.
    pub(crate) lateness: Micros,
    /// Consecutive requests made without backoff since one timed out.
    pub(crate) immediate_retries: u32,
    /// When another service was last configured.
    pub(crate) service_changed_at: Option<Micros>,
    pub(crate) answered: bool,
    stale_list: StaleListDetector,
}

/// What the arrival of a response says about the service.
struct ResponseTiming {
    /// Time beyond what the request allowed the service, in microseconds.
    late: Micros,
    /// It came at once and without a change.
    is_empty: bool,
}

impl DiscoveryPoller {
    /// Creates the poller of a relay that starts now with this list, which may be empty.
    pub fn new(config: DiscoveryConfig, initial: &EndpointList, now: Micros) -> DiscoveryPoller {
        // An agent is asked by its own relay only.
        let fleet_size = if config.agent_drain_grace.is_some() { 1 } else { config.fleet_size };
        let config = DiscoveryConfig { fleet_size, ..config };
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let delay = first_request_delay(&config, !initial.endpoints.is_empty(), &mut rng);
        DiscoveryPoller {
            config,
            rng,
            validator: ListValidator::new(initial),
            next_poll_at: Some(now + delay),
            in_flight: None,
            full_list_requested: false,
            consecutive_failures: 0,
            overloads: 0,
            consecutive_empty: 0,
            lateness: initial_lateness(&config),
            immediate_retries: 0,
            service_changed_at: None,
            answered: false,
            stale_list: StaleListDetector::new(now),
        }
    }

    /// Returns when the next request is due; none while one is in flight.
    pub fn next_poll_at(&self) -> Option<Micros> {
        self.next_poll_at
    }

    /// Returns the version since which changes are requested.
    pub fn version(&self) -> u64 {
        self.validator.version()
    }

    /// Returns the state that operators see.
    pub fn state(&self) -> DiscoveryState {
        if self.consecutive_failures > 0 {
            DiscoveryState::Failing
        } else if self.validator.holds_older_list() {
            DiscoveryState::ValidatingOlderList
        } else if self.answered {
            DiscoveryState::Following
        } else {
            DiscoveryState::Starting
        }
    }

    /// Records that an endpoint listed as ready refused a connection.
    ///
    /// Returns true if the request in flight is to be abandoned as timed out: the list is stale and the watch that
    /// should have brought the change has gone silent.
    pub fn connection_refused(&mut self, now: Micros) -> bool {
        let Some(in_flight) = self.in_flight else { return false };
        self.stale_list.record_refusal(now, in_flight)
    }

    /// Makes the next request one for the full list.
    pub fn request_full_list(&mut self) {
        self.full_list_requested = true;
    }

    /// Switches to another service, whose full list is requested soon; a request in flight is forgotten.
    pub fn change_service(&mut self, now: Micros) {
        self.in_flight = None;
        self.service_changed_at = Some(now);
        self.consecutive_failures = 0;
        self.overloads = 0;
        self.consecutive_empty = 0;
        self.immediate_retries = 0;
        self.validator.change_service();
        self.next_poll_at = Some(now + service_change_delay(&self.config, &mut self.rng));
    }

    /// Starts the request that is due. It is in flight until [`poll_succeeded`](Self::poll_succeeded) or
    /// [`poll_failed`](Self::poll_failed).
    pub fn start_poll(&mut self, now: Micros) -> Poll {
        let full = std::mem::take(&mut self.full_list_requested) || self.validator.needs_full_list(now);
        let request = match full {
            true => DiscoveryRequest::FullList,
            false => DiscoveryRequest::Watch {
                since_version: self.validator.version(),
                max_wait: self.draw_watch_wait(now),
            },
        };
        self.next_poll_at = None;
        self.in_flight = Some(InFlightRequest { request, started_at: now });
        Poll { request, timeout: self.request_timeout(now, request) }
    }

    /// Takes the response to the request in flight and returns the part of it that is accepted.
    ///
    /// A list that is not accepted in full is returned as changes, so that endpoints that it does not name stay
    /// listed. Without a request in flight the list is returned as it is.
    pub fn poll_succeeded(&mut self, now: Micros, list: EndpointList) -> EndpointList {
        let Some(in_flight) = self.in_flight.take() else { return list };
        let has_changes = !list.endpoints.is_empty() || list.version != self.validator.version();
        self.consecutive_failures = 0;
        self.immediate_retries = 0;
        self.answered = true;
        let timing = response_timing(in_flight, now, has_changes);
        self.consecutive_empty = match timing.is_empty {
            true => (self.consecutive_empty + 1).min(MAX_EMPTY_DOUBLINGS),
            false => 0,
        };
        // A change ends a watch early, so its time says nothing about the service.
        if !has_changes || in_flight.request == DiscoveryRequest::FullList {
            self.lateness = timing.late.max(self.lateness / 4 * 3);
        }
        self.next_poll_at = Some(now + self.draw_pause(timing.late, has_changes));
        let check_spread = (self.config.relay_count() * FULL_LIST_COST).min(MAX_FIRST_REQUEST_SPREAD);
        let check_delay = self.rng.random_range(0..=check_spread);
        self.validator.validate(now, list, check_delay)
    }

    /// Draws the pause between a response and the next request.
    fn draw_pause(&mut self, late: Micros, has_changes: bool) -> Micros {
        let mut pause = MIN_PAUSE;
        if self.config.fleet_size > 1 && has_changes {
            let spread = (self.config.relay_count() * CHANGE_SPREAD_PER_RELAY).min(MAX_CHANGE_SPREAD);
            pause += self.rng.random_range(0..=spread);
        }
        if self.consecutive_empty > 0 {
            pause = MIN_PAUSE << self.consecutive_empty;
        }
        if late > OVERLOAD_LATENESS {
            self.overloads = (self.overloads + 1).min(MAX_OVERLOADS);
            pause = pause.max(self.draw_overload_pause(late));
        } else {
            self.overloads = self.overloads.saturating_sub(1);
        }
        match self.config.agent_watch_wait() {
            Some(wait) => pause.min(wait / 2),
            None => pause,
        }
    }

    /// Draws the pause after a late response: about as long as it was late.
    fn draw_overload_pause(&mut self, late: Micros) -> Micros {
        let limit =
            if self.config.max_list_age > 0 { self.config.max_list_age / 4 } else { MAX_OVERLOAD_PAUSE };
        let mean = late.min(limit);
        self.rng.random_range(mean / 2..=mean / 2 * 3)
    }
}

fn response_timing(in_flight: InFlightRequest, now: Micros, has_changes: bool) -> ResponseTiming {
    let elapsed = now.saturating_sub(in_flight.started_at);
    match in_flight.request {
        DiscoveryRequest::FullList => ResponseTiming { late: elapsed, is_empty: !has_changes },
        DiscoveryRequest::Watch { max_wait, .. } => ResponseTiming {
            late: elapsed.saturating_sub(max_wait),
            is_empty: !has_changes && elapsed < max_wait / 2,
        },
    }
}
