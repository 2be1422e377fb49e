//! The balancer's state, and the dispatch of events to their handlers. The input and output types are in
//! `src/event.rs` and `src/action.rs`.
//!
//! A [`Balancer`] is one of many that share a fleet of endpoints and do not communicate with each other. It
//! keeps a record of each endpoint, with its last load report and the report's age, and the state of each
//! request, with the endpoint that it was forwarded to, the client's session key and its affinity group.
//!
//! - New connections are placed by a weighted random choice that favours spare reported capacity and trusts
//!   old reports less (`ranking`, `load_estimate`). The best candidates get a health check first, while the
//!   request is pending for some milliseconds (`health_check`).
//! - The choice is weighted rendezvous hashing of the connection's affinity group, or else of its session
//!   key, so all balancers agree on a group's endpoints without communication (`rendezvous`, `affinity`).
//! - A returning client prefers its sticky endpoint. The connections of a draining endpoint migrate
//!   gradually (`migration`), and their clients go to other endpoints.
//! - An endpoint in slow start gets no more than this balancer's share of what it can handle (`slow_start`).
//! - Failing endpoints are ejected (`outlier_detection`). Unresponsive and overloaded ones lose connections
//!   gradually, unless so many are unresponsive that this balancer's network is probably at fault
//!   (`connection_shedding`).

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::admission::RecentPlacements;
use crate::affinity::StickyEndpoint;
use crate::circuit_breaker::CircuitBreaker;
use crate::discovery::MAX_INITIAL_DISCOVERY_DELAY;
use crate::endpoint_record::EndpointRecord;
use crate::fleet_estimate::FleetEstimate;
use crate::ids::SessionKeyHash;
use crate::load_estimate::ConnectionLoads;
use crate::migration::MigratedClient;
use crate::request_state::RequestState;
use crate::retry::EndedAttempt;
use crate::settings_check::{self, SettingsError};
use crate::unreported_load::AdaptiveThrottle;
use crate::{
    Action, AffinityGroup, DiscoveryMode, EndpointId, EndpointState, Event, Micros, RequestClass, RequestId,
    Settings, TimerToken,
};

/// Interval of the periodic work. It is short enough to pace migrations within a drain of a few seconds.
pub(crate) const TICK_INTERVAL: Micros = 200_000;
/// Maximum number of log lines that one balancer writes.
const MAX_LOG_LINES: u32 = 12;

/// Timer of the periodic work.
const TICK_TOKEN: TimerToken = TimerToken(0);
/// Timer after which the balancer starts to watch the endpoint list.
pub(crate) const DISCOVERY_TOKEN: TimerToken = TimerToken(1);
/// Timer tokens from this number on belong to pending requests.
pub(crate) const FIRST_REQUEST_TOKEN: u64 = 2;

/// A load balancer that turns events into actions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointRecord>,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Requests that wait for health checks or a timer.
    pub(crate) pending_requests: BTreeSet<RequestId>,
    pub(crate) sticky_endpoints: BTreeMap<SessionKeyHash, StickyEndpoint>,
    /// Clients whose connection was migrated and that have not reconnected yet.
    pub(crate) migrated_clients: BTreeMap<SessionKeyHash, MigratedClient>,
    /// Number of this balancer's established connections per affinity group; groups without any are absent.
    pub(crate) group_connections: BTreeMap<AffinityGroup, usize>,
    /// Number of this balancer's established connections.
    pub(crate) connection_count: usize,
    pub(crate) throttle: AdaptiveThrottle,
    pub(crate) circuit_breaker: CircuitBreaker,
    pub(crate) recent_placements: RecentPlacements,
    pub(crate) fleet_estimate: FleetEstimate,
    pub(crate) connection_loads: ConnectionLoads,
    /// Shortest time from the beginning of a drain to the endpoint's removal; `None` if none has completed.
    pub(crate) shortest_drain: Option<Micros>,
    /// Number of discovery polls that have failed since the last endpoint list.
    pub(crate) failed_discovery_polls: u32,
    pub(crate) started_at: Micros,
    has_timers: bool,
    log_lines_left: u32,
}

impl Balancer {
    /// Creates a balancer without endpoints. The endpoint list arrives as an event.
    ///
    /// The same seed and events give the same actions.
    ///
    /// # Errors
    /// [`SettingsError`] if a number in the settings is out of its range.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Balancer, SettingsError> {
        settings_check::check(&settings)?;
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            pending_requests: BTreeSet::new(),
            sticky_endpoints: BTreeMap::new(),
            migrated_clients: BTreeMap::new(),
            group_connections: BTreeMap::new(),
            connection_count: 0,
            throttle: AdaptiveThrottle::default(),
            circuit_breaker: CircuitBreaker::default(),
            recent_placements: RecentPlacements::new(now),
            fleet_estimate: FleetEstimate::new(&settings),
            connection_loads: ConnectionLoads::new(settings.classes.len()),
            shortest_drain: None,
            failed_discovery_polls: 0,
            started_at: now,
            has_timers: false,
            log_lines_left: MAX_LOG_LINES,
            settings,
        })
    }

    /// Handles an event and appends the resulting actions to `actions`, in the order to carry them out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.has_timers {
            self.has_timers = true;
            self.set_first_timers(actions);
        }
        match event {
            Event::EndpointsUpdated { update, .. } => self.update_endpoints(now, update, actions),
            Event::Request(request) => self.accept_request(now, request, actions),
            Event::ConnectionAdopted(request, endpoint) => self.adopt_connection(now, request, endpoint),
            Event::ConnectionEstablished { id, endpoint, .. } => {
                self.connection_established(now, id, endpoint);
            }
            Event::AttemptEnded { id, outcome, closed, endpoint, report, .. } => {
                let attempt = EndedAttempt { id, outcome, closed, endpoint, report };
                self.attempt_ended(now, attempt, actions);
            }
            Event::ClientLeft(id) => self.release(id),
            Event::HealthCheckEnded { endpoint, outcome, report, .. } => {
                self.health_check_ended(now, endpoint, outcome, report, actions);
            }
            Event::ConnectionUpdated { id, endpoint, update, .. } => {
                self.connection_updated(now, id, endpoint, update, actions);
            }
            Event::TimerFired(TICK_TOKEN) => self.tick(now, actions),
            Event::TimerFired(DISCOVERY_TOKEN) => actions.push(Action::Watch(true)),
            Event::TimerFired(token) => self.pending_timer_fired(now, token, actions),
            Event::PeerMessage { .. } => {}
        }
    }

    /// Returns the endpoints that are ready in the endpoint list but get no new connections because they are
    /// ejected.
    pub fn ejected_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        let ejected = |record: &&EndpointRecord| record.is_ready() && record.outlier_detector.is_ejected();
        self.endpoints.values().filter(ejected).map(|record| &record.endpoint.id)
    }

    fn set_first_timers(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { delay: TICK_INTERVAL, token: TICK_TOKEN });
        if self.settings.discovery == DiscoveryMode::OnRequest {
            let max_delay = MAX_INITIAL_DISCOVERY_DELAY.min(self.settings.rules.max_list_age / 3);
            let delay = self.rng.random_range(0..=max_delay);
            actions.push(Action::SetTimer { delay, token: DISCOVERY_TOKEN });
        }
    }

    /// Does the periodic work.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { delay: TICK_INTERVAL, token: TICK_TOKEN });
        self.update_fleet_estimate(now);
        self.rebalance(now, actions);
        self.run_migrations(now, actions);
        self.check_due_endpoints(now, actions);
        self.endpoints.retain(|_, record| {
            record.endpoint.state != EndpointState::Removed || !record.connections.is_empty()
        });
        self.forget_old_clients(now);
    }

    /// Writes a log line unless this balancer has already written [`MAX_LOG_LINES`].
    pub(crate) fn log(&mut self, text: String, actions: &mut Vec<Action>) {
        if self.log_lines_left > 0 {
            self.log_lines_left -= 1;
            actions.push(Action::Log(text));
        }
    }

    pub(crate) fn class(&self, state: &RequestState) -> Option<&RequestClass> {
        self.settings.classes.get(state.request.class.0)
    }

    /// Returns the number of balancers, at least 1.
    pub(crate) fn fleet_size(&self) -> f64 {
        f64::from(self.settings.fleet_size.max(1))
    }
}
