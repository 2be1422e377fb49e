//! The balancer: its state, and which handler takes which event. The types that go in and out are in
//! `src/event.rs` and `src/action.rs`.
//!
//! A [`Balancer`] is one of many that share a fleet of endpoints and do not talk to each other. It keeps a
//! record of each endpoint, with its last load report and the report's age, and the state of each request,
//! with the endpoint that it was forwarded to, the client's session key and its affinity group.
//!
//! - A new connection goes to an endpoint by a weighted random choice that favours spare reported capacity
//!   and trusts old reports less (`ranking`, `load_estimate`). The best candidates get a health check first,
//!   while the request is pending for some milliseconds (`health_check`).
//! - The choice is weighted rendezvous hashing of the connection's affinity group, or else of its session
//!   key: all balancers agree without communication where a group goes (`rendezvous`, `affinity`).
//! - A returning client prefers its sticky endpoint. The connections of a draining endpoint migrate at a pace
//!   (`migration`), and their clients go to other endpoints.
//! - An endpoint in slow start gets no more than this balancer's share of what it can bear (`slow_start`).
//! - Endpoints that fail are ejected (`outlier_detection`). Unresponsive and overloaded ones lose connections
//!   at a pace, unless so many are unresponsive that the fault is probably elsewhere
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
use crate::load_estimate::ConnectionLoads;
use crate::migration::MigratedClient;
use crate::request_state::RequestState;
use crate::retry::EndedAttempt;
use crate::settings_check::{self, SettingsError};
use crate::unreported_load::AdaptiveThrottle;
use crate::{
    Action, AffinityGroup, DiscoveryMode, EndpointId, EndpointState, Event, Micros, RequestClass, RequestId,
    SessionKey, Settings, TimerToken,
};

/// Interval of the periodic work; migrations within a drain of a few seconds are paced by it.
pub(crate) const TICK_INTERVAL: Micros = 200_000;
/// Log lines that one balancer writes in its life, at most.
const MAX_LOG_LINES: u32 = 12;

/// Timer of the periodic work.
const TICK_TOKEN: TimerToken = TimerToken(0);
/// Timer after which discovery is asked for the endpoint list.
pub(crate) const DISCOVERY_TOKEN: TimerToken = TimerToken(1);
/// Timers of pending requests have this number and those above it.
pub(crate) const FIRST_REQUEST_TOKEN: u64 = 2;

/// One balancer: it takes events and answers with actions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointRecord>,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Requests that wait for health checks or for a timer.
    pub(crate) pending_requests: BTreeSet<RequestId>,
    pub(crate) sticky_endpoints: BTreeMap<SessionKey, StickyEndpoint>,
    /// Clients whose connection was migrated and that have not returned yet.
    pub(crate) migrated_clients: BTreeMap<SessionKey, MigratedClient>,
    /// Number of this balancer's established connections of each group; no group has 0.
    pub(crate) group_connections: BTreeMap<AffinityGroup, usize>,
    /// Number of this balancer's established connections.
    pub(crate) connection_count: usize,
    pub(crate) throttle: AdaptiveThrottle,
    pub(crate) circuit_breaker: CircuitBreaker,
    pub(crate) recent_placements: RecentPlacements,
    pub(crate) fleet_estimate: FleetEstimate,
    pub(crate) connection_loads: ConnectionLoads,
    /// The shortest drain seen from its beginning to the endpoint's removal.
    pub(crate) shortest_drain: Option<Micros>,
    /// Polls of discovery that failed since the last endpoint list.
    pub(crate) failed_discovery_polls: u32,
    pub(crate) started_at: Micros,
    has_timers: bool,
    log_lines_left: u32,
}

impl Balancer {
    /// Creates a balancer without endpoints; the endpoint list comes as an event.
    ///
    /// Equal seeds and events give equal actions.
    ///
    /// # Errors
    /// [`SettingsError`] if a figure of the settings is out of its range.
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

    /// Takes one event and appends the actions that follow from it, in their order.
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

    /// Endpoints that are ready by the endpoint list and get no new connection, as they are ejected.
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

    /// The periodic work.
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

    /// Writes a line for the operators, unless this balancer has written [`MAX_LOG_LINES`].
    pub(crate) fn log(&mut self, text: String, actions: &mut Vec<Action>) {
        if self.log_lines_left > 0 {
            self.log_lines_left -= 1;
            actions.push(Action::Log(text));
        }
    }

    pub(crate) fn class(&self, state: &RequestState) -> Option<&RequestClass> {
        self.settings.classes.get(state.request.class.0)
    }

    /// Number of balancers, at least 1.
    pub(crate) fn fleet_size(&self) -> f64 {
        f64::from(self.settings.fleet_size.max(1))
    }
}
