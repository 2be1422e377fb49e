//! State machine that schedules the discovery requests of one relay, one at a time.

use std::net::SocketAddr;

use honeyknot_balancer::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::agent::AgentResponseTime;
use crate::backoff::MAX_OVERLOAD_LEVEL;
use crate::config::DiscoveryConfig;
use crate::list_validation::{EndpointList, ListValidator};
use crate::request::{DiscoveryRequest, InFlightRequest, Poll};
use crate::schedule::{
    FULL_LIST_COST, MAX_FIRST_REQUEST_SPREAD, first_request_delay, initial_lateness, service_change_delay,
};
use crate::shared_list::{ListOrigin, ListReport, ListScope, Peer};
use crate::stale_list::StaleListDetector;
use crate::state::DiscoveryState;
use crate::unanswered::UnansweredTime;

/// Minimum pause after a request, in microseconds; well below the 200 ms within which a watch must be
/// continued.
pub(crate) const MIN_PAUSE: Micros = 20_000;
/// Random spread of the requests that follow a change, for each relay of the fleet, in microseconds.
const CHANGE_SPREAD_PER_RELAY: Micros = 500;
/// Maximum random spread of the requests that follow a change, in microseconds.
const MAX_CHANGE_SPREAD: Micros = 130_000;
/// Maximum number of doublings of the pause after early responses without changes.
const MAX_EMPTY_DOUBLINGS: u32 = 7;
/// Lateness of a response above which the service is considered overloaded, in microseconds.
const OVERLOAD_LATENESS: Micros = 400_000;
/// Maximum mean pause after a late response if the configuration sets no maximum list age, in microseconds.
const MAX_OVERLOAD_PAUSE: Micros = 3_000_000;

/// Decides when a relay polls discovery, and validates the lists that it receives.
#[derive(Debug)]
pub struct DiscoveryPoller {
    pub(crate) config: DiscoveryConfig,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) validator: ListValidator,
    /// When the next request is due; `None` while one is in flight.
    pub(crate) next_poll_at: Option<Micros>,
    pub(crate) in_flight: Option<InFlightRequest>,
    /// Whether the next request is for the full list.
    full_list_requested: bool,
    pub(crate) consecutive_failures: u32,
    /// Incremented by each sign that the service is overloaded, up to [`MAX_OVERLOAD_LEVEL`]; decremented by
    /// each timely response.
    pub(crate) overload_level: u32,
    /// Number of consecutive early responses without changes, up to [`MAX_EMPTY_DOUBLINGS`].
    consecutive_empty_responses: u32,
    /// Decaying maximum of the lateness of responses, in microseconds.
    pub(crate) lateness: Micros,
    /// Number of consecutive retries without backoff since a request timed out.
    pub(crate) immediate_retries: u32,
    /// Number of requests that timed out since the last answer.
    pub(crate) consecutive_timeouts: u32,
    /// Time since the last answer.
    pub(crate) unanswered: UnansweredTime,
    /// Response time of the local agent; unused without one.
    pub(crate) agent_response_time: AgentResponseTime,
    /// When another service was last configured; `None` if the service is still the first one.
    pub(crate) service_changed_at: Option<Micros>,
    /// Whether any request has been answered.
    pub(crate) answered: bool,
    /// How the peer must treat the last response.
    response_scope: ListScope,
    stale_list: StaleListDetector,
}

/// What the time at which a response arrived says about the service.
struct ResponseTiming {
    /// Time beyond the wait that the request allowed, in microseconds.
    lateness: Micros,
    /// Whether the response arrived well before the end of the wait and has no changes.
    is_early_and_empty: bool,
}

impl DiscoveryPoller {
    /// Creates the poller of a relay that starts at `now` with the list `initial`, which may be empty.
    pub fn new(config: DiscoveryConfig, initial: &EndpointList, now: Micros) -> DiscoveryPoller {
        // Only its own relay polls a local agent.
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
            overload_level: 0,
            consecutive_empty_responses: 0,
            lateness: initial_lateness(&config),
            immediate_retries: 0,
            consecutive_timeouts: 0,
            unanswered: UnansweredTime::new(now),
            agent_response_time: AgentResponseTime::default(),
            service_changed_at: None,
            answered: false,
            response_scope: ListScope::Unchanged,
            stale_list: StaleListDetector::new(now),
        }
    }

    /// Returns when the next request is due; `None` while one is in flight.
    pub fn next_poll_at(&self) -> Option<Micros> {
        self.next_poll_at
    }

    /// Returns the version of the current list, since which changes are requested.
    pub fn version(&self) -> u64 {
        self.validator.version()
    }

    /// Returns where the current list comes from.
    pub fn origin(&self) -> ListOrigin {
        self.validator.origin
    }

    /// Returns how the peer must treat the list that the last call of [`poll_succeeded`](Self::poll_succeeded)
    /// returned.
    pub fn response_scope(&self) -> ListScope {
        self.response_scope
    }

    /// Sets the service that is polled from now on, whose version numbers are unrelated to those of other services.
    pub fn set_service(&mut self, service: SocketAddr) {
        self.validator.set_service(service);
    }

    /// Handles a list that the other process of this relay has accepted, and returns the part that is accepted here.
    pub fn receive_report(&mut self, peer: Peer, report: ListReport) -> EndpointList {
        self.validator.receive_report(peer, report)
    }

    /// Returns whether the full list must be requested at once, with [`change_service`](Self::change_service), if the
    /// other process of this relay has gone.
    pub fn depends_on_peer(&self) -> bool {
        self.validator.depends_on_peer()
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
    /// Returns true if the caller must abandon the request in flight as timed out: the list is stale and the
    /// watch that should have delivered the change has stalled.
    pub fn connection_refused(&mut self, now: Micros) -> bool {
        let Some(in_flight) = self.in_flight else { return false };
        self.stale_list.record_refusal(now, in_flight)
    }

    /// Makes the next request ask for the full list.
    pub fn request_full_list(&mut self) {
        self.full_list_requested = true;
    }

    /// Switches to another service and schedules a request for its full list. A request in flight is dropped.
    pub fn change_service(&mut self, now: Micros) {
        self.in_flight = None;
        self.service_changed_at = Some(now);
        self.consecutive_failures = 0;
        self.overload_level = 0;
        self.consecutive_empty_responses = 0;
        self.immediate_retries = 0;
        self.consecutive_timeouts = 0;
        self.unanswered = UnansweredTime::new(now);
        self.agent_response_time = AgentResponseTime::default();
        self.validator.change_service();
        self.next_poll_at = Some(now + service_change_delay(&self.config, &mut self.rng));
    }

    /// Starts the request that is due. It is in flight until [`poll_succeeded`](Self::poll_succeeded) or
    /// [`poll_failed`](Self::poll_failed) is called.
    pub fn start_poll(&mut self, now: Micros) -> Poll {
        let long_timeout = match self.consecutive_timeouts {
            0 => None,
            _ => self.unanswered.long_timeout(now),
        };
        // A long request has no wait, so that all of its time is left for the answer.
        let full = std::mem::take(&mut self.full_list_requested)
            || self.validator.needs_full_list(now)
            || long_timeout.is_some();
        let request = match full {
            true => DiscoveryRequest::FullList,
            false => DiscoveryRequest::Watch {
                since_version: self.validator.version(),
                max_wait: self.draw_watch_wait(now),
            },
        };
        self.next_poll_at = None;
        self.validator.start_request();
        self.in_flight = Some(InFlightRequest { request, started_at: now });
        Poll { request, timeout: self.request_timeout(now, request).max(long_timeout.unwrap_or(0)) }
    }

    /// Handles the response to the request in flight and returns the accepted part of its list.
    ///
    /// A list that is not accepted in full is returned as changes, so that endpoints that it does not name
    /// stay listed. If no request is in flight, the list is returned unchanged.
    pub fn poll_succeeded(&mut self, now: Micros, list: EndpointList) -> EndpointList {
        let Some(in_flight) = self.in_flight.take() else { return list };
        let has_changes = !list.endpoints.is_empty() || list.version != self.validator.version();
        self.consecutive_failures = 0;
        self.immediate_retries = 0;
        self.consecutive_timeouts = 0;
        self.unanswered = UnansweredTime::new(now);
        self.stale_list.record_answer();
        self.answered = true;
        let timing = response_timing(in_flight, now, has_changes);
        self.consecutive_empty_responses = match timing.is_early_and_empty {
            true => (self.consecutive_empty_responses + 1).min(MAX_EMPTY_DOUBLINGS),
            false => 0,
        };
        // A change ends a watch early, so the time of the response says nothing about the service's load.
        if !has_changes || in_flight.request == DiscoveryRequest::FullList {
            self.lateness = timing.lateness.max(self.lateness / 4 * 3);
            self.agent_response_time.record_response(timing.lateness);
        }
        self.next_poll_at = Some(now + self.draw_pause(timing.lateness, has_changes));
        let recheck_spread = (self.config.relay_count() * FULL_LIST_COST).min(MAX_FIRST_REQUEST_SPREAD);
        let recheck_delay = self.rng.random_range(0..=recheck_spread);
        let (accepted, scope) = self.validator.validate(now, list, recheck_delay);
        self.response_scope = scope;
        accepted
    }

    /// Draws the pause between a response and the next request, in microseconds.
    fn draw_pause(&mut self, lateness: Micros, has_changes: bool) -> Micros {
        let mut pause = MIN_PAUSE;
        if self.config.fleet_size > 1 && has_changes {
            let spread = (self.config.relay_count() * CHANGE_SPREAD_PER_RELAY).min(MAX_CHANGE_SPREAD);
            pause += self.rng.random_range(0..=spread);
        }
        if self.consecutive_empty_responses > 0 {
            pause = MIN_PAUSE << self.consecutive_empty_responses;
        }
        if lateness > OVERLOAD_LATENESS {
            self.overload_level = (self.overload_level + 1).min(MAX_OVERLOAD_LEVEL);
            pause = pause.max(self.draw_overload_pause(lateness));
        } else {
            self.overload_level = self.overload_level.saturating_sub(1);
        }
        match self.config.agent_timing() {
            Some(timing) => pause.min(timing.max_pause()),
            None => pause,
        }
    }

    /// Draws the pause after a late response: on average its lateness, up to a limit.
    fn draw_overload_pause(&mut self, lateness: Micros) -> Micros {
        let limit =
            if self.config.max_list_age > 0 { self.config.max_list_age / 4 } else { MAX_OVERLOAD_PAUSE };
        let mean = lateness.min(limit);
        self.rng.random_range(mean / 2..=mean / 2 * 3)
    }
}

fn response_timing(in_flight: InFlightRequest, now: Micros, has_changes: bool) -> ResponseTiming {
    let elapsed = now.saturating_sub(in_flight.started_at);
    match in_flight.request {
        DiscoveryRequest::FullList => ResponseTiming { lateness: elapsed, is_early_and_empty: !has_changes },
        DiscoveryRequest::Watch { max_wait, .. } => ResponseTiming {
            lateness: elapsed.saturating_sub(max_wait),
            is_early_and_empty: !has_changes && elapsed < max_wait / 2,
        },
    }
}
