//! All decisions of honeyknot, and all its tunables. The types that go in and out are in `src/event.rs` and
//! `src/action.rs`.
//!
//! A [`Balancer`] is one of many that share a fleet of servers and tell each other nothing. It keeps a table
//! of ready servers, each with its last report of load over capacity and the report's age, and for each
//! connection that it placed the server, the client's key and whether it is in migration (`MovePlan`).
//!
//! - A new connection goes by a randomised split that favours spare reported capacity and trusts old reports
//!   less (`rank`, `weight`, `estimate`). The few servers that the split likes best are probed first, while
//!   the request is held for some milliseconds (`route`).
//! - The draw of the split is weighted rendezvous hashing of the connection's group, or else its client: all
//!   agree without a word where a group goes, and where a connection is that reaches them in mid flow.
//! - A returning client leans to its remembered server. A draining server leaves the table; its connections
//!   are flagged and moved a few at a time (`plan_moves`, `pace_moves`). A moved client lands on a random
//!   ready server.
//! - Cold servers get no more than this balancer's share of what they can bear (`cold`); silent
//!   and jammed ones lose their connections at a pace, unless the trouble is everywhere (`judge`).

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::circuit_breaker::Breaker;
use crate::discovery::{ASK_SPREAD, DRAIN_TIMEOUT};
use crate::endpoint_record::Server;
use crate::load_estimate::{Fleet, UNIT_GUESS};
use crate::request_state::Flow;
use crate::settings_check::{self, SettingsError};
use crate::unreported_load::Throttle;
use crate::{
    Action, AffinityGroup, DiscoveryMode, EndpointId, EndpointState, Event, Micros, RequestClass, RequestId,
    SessionKey, Settings, TimerToken, unreported_load,
};

/// Housekeeping interval: fine enough to pace moves within a drain of a few seconds.
pub(crate) const TICK: Micros = 200_000;
/// Log lines of one balancer, at most.
pub(crate) const LOG_LINES: u32 = 12;
/// Remembered clients, at most.
pub(crate) const HOMES: usize = 20_000;
pub(crate) const TICK_TOKEN: TimerToken = TimerToken(0);
pub(crate) const ASK_TOKEN: TimerToken = TimerToken(1);
/// Tokens from here on name held requests.
pub(crate) const HOLD_TOKENS: u64 = 2;

/// The decisions of one balancer.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) servers: BTreeMap<EndpointId, Server>,
    pub(crate) flows: BTreeMap<RequestId, Flow>,
    pub(crate) held: BTreeSet<RequestId>,
    /// Where clients were last seen.
    pub(crate) homes: BTreeMap<SessionKey, (EndpointId, Micros)>,
    /// Clients that were asked to move, and from where.
    pub(crate) moved: BTreeMap<SessionKey, (EndpointId, Micros)>,
    /// Own standing connections of each group.
    pub(crate) groups: BTreeMap<AffinityGroup, usize>,
    /// Own standing connections.
    pub(crate) standing: usize,
    pub(crate) throttle: Throttle,
    pub(crate) breaker: Breaker,
    /// Own placements of late, fading over the lag of reports, and when that was reckoned.
    pub(crate) under_way: (f64, Micros),
    pub(crate) fleet: Fleet,
    /// Mean hint or told load of a connection, over all and for each class.
    pub(crate) mean_work: Option<f64>,
    pub(crate) class_work: Vec<Option<f64>>,
    pub(crate) drain_seen: Option<Micros>,
    pub(crate) asks_failed: u32,
    pub(crate) started: bool,
    pub(crate) born: Micros,
    pub(crate) log_left: u32,
}

impl Balancer {
    /// A balancer with nothing but its settings; the list of servers comes as an event.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Balancer, SettingsError> {
        settings_check::check(&settings)?;
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            flows: BTreeMap::new(),
            held: BTreeSet::new(),
            homes: BTreeMap::new(),
            moved: BTreeMap::new(),
            groups: BTreeMap::new(),
            standing: 0,
            throttle: Throttle::default(),
            breaker: Breaker::default(),
            under_way: (0.0, now),
            born: now,
            fleet: Fleet {
                mean_load: 0.5,
                unit: unreported_load::unit(&settings, UNIT_GUESS),
                room: f64::INFINITY,
                ..Fleet::default()
            },
            mean_work: None,
            class_work: vec![None; settings.classes.len()],
            drain_seen: None,
            asks_failed: 0,
            started: false,
            log_left: LOG_LINES,
            settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            out.push(Action::SetTimer { delay: TICK, token: TICK_TOKEN });
            if self.settings.discovery == DiscoveryMode::OnRequest {
                let spread = ASK_SPREAD.min(self.settings.rules.max_list_age / 3);
                out.push(Action::SetTimer { delay: self.rng.random_range(0..=spread), token: ASK_TOKEN });
            }
        }
        match event {
            Event::EndpointsUpdated { update, .. } => self.take_list(now, update, out),
            Event::Request(request) => self.take_request(now, request, out),
            Event::ConnectionAdopted(request, server) => self.adopt(now, request, server),
            Event::ConnectionEstablished { id, endpoint: server, .. } => self.established(now, id, server),
            Event::AttemptEnded { id, outcome, closed, endpoint: server, report, .. } => {
                self.take_outcome(now, id, outcome, closed, server, report, out)
            }
            Event::ClientLeft(id) => self.close(id),
            Event::HealthCheckEnded { endpoint: server, outcome, report, .. } => {
                self.probed(now, server, outcome, report, out)
            }
            Event::ConnectionUpdated { id, endpoint: server, update: note, .. } => {
                self.noted(now, id, server, note, out)
            }
            Event::TimerFired(TICK_TOKEN) => self.tick(now, out),
            Event::TimerFired(ASK_TOKEN) => out.push(Action::Watch(true)),
            Event::TimerFired(token) => self.hold_over(now, token, out),
            Event::PeerMessage { .. } => {}
        }
    }

    /// Servers that are listed as ready and get nothing new, as they look ill.
    pub fn ejected_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.servers.values().filter(|s| s.ready() && s.health.suspect()).map(|s| &s.entry.id)
    }

    pub(crate) fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { delay: TICK, token: TICK_TOKEN });
        self.survey(now);
        self.bring_home(now, out);
        self.pace_moves(now, out);
        for server in self.servers.values_mut() {
            let due = server.ready() && server.health.due(now);
            if due && self.settings.permissions.health_checks {
                server.probe(now, out);
            } else if due {
                server.health.take_turn(now);
            }
        }
        self.servers.retain(|_, s| s.entry.state != EndpointState::Removed || !s.standing.is_empty());
        if self.homes.len() > HOMES {
            let middle = self.homes.values().map(|(_, at)| *at).sum::<u64>() / self.homes.len() as u64;
            self.homes.retain(|_, (_, at)| *at > middle);
        }
        self.moved.retain(|_, (_, at)| now.saturating_sub(*at) < DRAIN_TIMEOUT);
    }

    pub(crate) fn log(&mut self, text: String, out: &mut Vec<Action>) {
        if self.log_left > 0 {
            self.log_left -= 1;
            out.push(Action::Log(text));
        }
    }

    pub(crate) fn class(&self, flow: &Flow) -> Option<&RequestClass> {
        self.settings.classes.get(flow.request.class.0)
    }

    pub(crate) fn balancers(&self) -> f64 {
        f64::from(self.settings.fleet_size.max(1))
    }
}
