//! All decisions of honeyknot, and all its tunables. The types that go in and out are in `src/event.rs` and
//! `src/action.rs`.
//!
//! A [`Balancer`] is one of many that share a fleet of endpoints and tell each other nothing. It keeps a
//! table of ready endpoints, each with its last report of load over capacity and the report's age, and for
//! each connection that it placed the endpoint, the client's key and whether it is in migration
//! (`MigrationPlan`).
//!
//! - A new connection goes by a randomised split that favours spare reported capacity and trusts old reports
//!   less (`rank`, `weight`, `estimate`). The few endpoints that the split likes best are probed first, while
//!   the request is held for some milliseconds (`route`).
//! - The draw of the split is weighted rendezvous hashing of the connection's group, or else its client: all
//!   agree without a word where a group goes, and where a connection is that reaches them in mid flow.
//! - A returning client leans to its remembered endpoint. A draining endpoint leaves the table; its
//!   connections are flagged and moved a few at a time (`plan_migration`, `run_migrations`). A moved client
//!   lands on a random ready endpoint.
//! - Cold endpoints get no more than this balancer's share of what they can bear (`cold`); silent
//!   and jammed ones lose their connections at a pace, unless the trouble is everywhere (`shed_load`).

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::circuit_breaker::CircuitBreaker;
use crate::discovery::{DEFAULT_DRAIN_TIMEOUT, MAX_INITIAL_DISCOVERY_DELAY};
use crate::endpoint_record::EndpointRecord;
use crate::load_estimate::{DEFAULT_CONNECTION_LOAD, FleetEstimate};
use crate::request_state::RequestState;
use crate::settings_check::{self, SettingsError};
use crate::unreported_load::AdaptiveThrottle;
use crate::{
    Action, AffinityGroup, DiscoveryMode, EndpointId, EndpointState, Event, Micros, RequestClass, RequestId,
    SessionKey, Settings, TimerToken, unreported_load,
};

/// Housekeeping interval: fine enough to pace moves within a drain of a few seconds.
pub(crate) const TICK_INTERVAL: Micros = 200_000;
/// Log lines of one balancer, at most.
pub(crate) const MAX_LOG_LINES: u32 = 12;
/// Remembered clients, at most.
pub(crate) const MAX_STICKY_ENDPOINTS: usize = 20_000;
pub(crate) const TICK_TOKEN: TimerToken = TimerToken(0);
pub(crate) const DISCOVERY_TOKEN: TimerToken = TimerToken(1);
/// Tokens from here on name held requests.
pub(crate) const FIRST_REQUEST_TOKEN: u64 = 2;

/// The decisions of one balancer.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointRecord>,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) pending_requests: BTreeSet<RequestId>,
    /// Where clients were last seen.
    pub(crate) sticky_endpoints: BTreeMap<SessionKey, (EndpointId, Micros)>,
    /// Clients that were asked to move, and from where.
    pub(crate) migrated_clients: BTreeMap<SessionKey, (EndpointId, Micros)>,
    /// Own standing connections of each group.
    pub(crate) group_connections: BTreeMap<AffinityGroup, usize>,
    /// Own standing connections.
    pub(crate) connection_count: usize,
    pub(crate) throttle: AdaptiveThrottle,
    pub(crate) circuit_breaker: CircuitBreaker,
    /// Own placements of late, fading over the lag of reports, and when that was reckoned.
    pub(crate) recent_placements: (f64, Micros),
    pub(crate) fleet_estimate: FleetEstimate,
    /// Mean hint or told load of a connection, over all and for each class.
    pub(crate) mean_connection_load: Option<f64>,
    pub(crate) class_connection_load: Vec<Option<f64>>,
    pub(crate) shortest_drain: Option<Micros>,
    pub(crate) failed_discovery_polls: u32,
    pub(crate) started: bool,
    pub(crate) started_at: Micros,
    pub(crate) log_lines_left: u32,
}

impl Balancer {
    /// A balancer with nothing but its settings; the list of endpoints comes as an event.
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
            recent_placements: (0.0, now),
            started_at: now,
            fleet_estimate: FleetEstimate {
                mean_load: 0.5,
                connection_load: unreported_load::initial_connection_load(&settings, DEFAULT_CONNECTION_LOAD),
                spare_connections: f64::INFINITY,
                ..FleetEstimate::default()
            },
            mean_connection_load: None,
            class_connection_load: vec![None; settings.classes.len()],
            shortest_drain: None,
            failed_discovery_polls: 0,
            started: false,
            log_lines_left: MAX_LOG_LINES,
            settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            out.push(Action::SetTimer { delay: TICK_INTERVAL, token: TICK_TOKEN });
            if self.settings.discovery == DiscoveryMode::OnRequest {
                let spread = MAX_INITIAL_DISCOVERY_DELAY.min(self.settings.rules.max_list_age / 3);
                out.push(Action::SetTimer {
                    delay: self.rng.random_range(0..=spread),
                    token: DISCOVERY_TOKEN,
                });
            }
        }
        match event {
            Event::EndpointsUpdated { update, .. } => self.update_endpoints(now, update, out),
            Event::Request(request) => self.accept_request(now, request, out),
            Event::ConnectionAdopted(request, record) => self.adopt_connection(now, request, record),
            Event::ConnectionEstablished { id, endpoint: record, .. } => {
                self.connection_established(now, id, record)
            }
            Event::AttemptEnded { id, outcome, closed, endpoint: record, report, .. } => {
                self.attempt_ended(now, id, outcome, closed, record, report, out)
            }
            Event::ClientLeft(id) => self.release(id),
            Event::HealthCheckEnded { endpoint: record, outcome, report, .. } => {
                self.health_check_ended(now, record, outcome, report, out)
            }
            Event::ConnectionUpdated { id, endpoint: record, update: note, .. } => {
                self.connection_updated(now, id, record, note, out)
            }
            Event::TimerFired(TICK_TOKEN) => self.tick(now, out),
            Event::TimerFired(DISCOVERY_TOKEN) => out.push(Action::Watch(true)),
            Event::TimerFired(token) => self.pending_timer_fired(now, token, out),
            Event::PeerMessage { .. } => {}
        }
    }

    /// Endpoints that are listed as ready and get nothing new, as they look ill.
    pub fn ejected_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints
            .values()
            .filter(|s| s.is_ready() && s.outlier_detector.is_ejected())
            .map(|s| &s.endpoint.id)
    }

    pub(crate) fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { delay: TICK_INTERVAL, token: TICK_TOKEN });
        self.update_fleet_estimate(now);
        self.rebalance(now, out);
        self.run_migrations(now, out);
        for record in self.endpoints.values_mut() {
            let due = record.is_ready() && record.outlier_detector.check_due(now);
            if due && self.settings.permissions.health_checks {
                record.check_health(now, out);
            } else if due {
                record.outlier_detector.start_trial(now);
            }
        }
        self.endpoints.retain(|_, s| s.endpoint.state != EndpointState::Removed || !s.connections.is_empty());
        if self.sticky_endpoints.len() > MAX_STICKY_ENDPOINTS {
            let middle = self.sticky_endpoints.values().map(|(_, at)| *at).sum::<u64>()
                / self.sticky_endpoints.len() as u64;
            self.sticky_endpoints.retain(|_, (_, at)| *at > middle);
        }
        self.migrated_clients.retain(|_, (_, at)| now.saturating_sub(*at) < DEFAULT_DRAIN_TIMEOUT);
    }

    pub(crate) fn log(&mut self, text: String, out: &mut Vec<Action>) {
        if self.log_lines_left > 0 {
            self.log_lines_left -= 1;
            out.push(Action::Log(text));
        }
    }

    pub(crate) fn class(&self, state: &RequestState) -> Option<&RequestClass> {
        self.settings.classes.get(state.request.class.0)
    }

    pub(crate) fn fleet_size(&self) -> f64 {
        f64::from(self.settings.fleet_size.max(1))
    }
}
