//! All decisions of honeyknot, and all its tunables. The types that go in and out are in `src/event.rs` and `src/action.rs`.
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

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::circuit_breaker::Breaker;
use crate::estimates::{blend, trust};
use crate::outlier_detection::Health;
use crate::rendezvous::{draw, race};
use crate::slow_start::{self, Slots};
use crate::unreported_load::{self, Throttle, is_blind};
use crate::zone_affinity;
use crate::*;

/// Housekeeping interval: fine enough to pace moves within a drain of a few seconds.
const TICK: Micros = 200_000;
/// The longest that a request is held for probe answers; small beside any wait a person notices.
const HOLD: Micros = 30_000;
/// Servers probed for a request: enough that one of them has room, few enough to cost next to nothing.
const SAMPLE: usize = 3;
/// Sampling rounds for a request before the split decides with what it has.
const ROUNDS: u32 = 2;
/// A report younger than this is as good as a probe: servers refresh theirs about as often.
const FRESH: Micros = 800_000;
/// What a report shows is about this old already when it arrives; own placements since then are added to it.
const REPORT_LAG: Micros = 1_000_000;
/// A group takes a further server when its servers' load is this far above the fleet's mean ...
const SPILL_ABOVE: f64 = 0.15;
/// ... within these bounds.
const SPILL_LEAST: f64 = 0.6;
const SPILL_MOST: f64 = 0.68;
/// Servers for a group at the least, as one alone would take all of a wave that no report shows yet; but one
/// where balancers outnumber servers: each sees too little of a group to split it, and every split costs.
const GROUP_SET: usize = 2;
/// What a connection asked for adds to its group's own: one makes a group look large to who sees few.
const GROUP_FIRST: f64 = 0.3;
/// Own connections by which the share of a group is doubted while there are few.
const GROUP_DOUBT: f64 = 8.0;
/// Load of the fleet that is allowed for at the least: at a start the reports have not caught up.
const GROUP_LOAD: f64 = 0.5;
/// Reports lag behind the first connections for this long after a start.
const SETTLE: Micros = 5_000_000;
/// A request that finds more under way than the fleet has room for waits about this long.
const WAVE_WAIT: Micros = 400_000;
/// Own connections by which what they tell of the whole fleet's is doubted while there are few.
const FEW: f64 = 2.0;
/// Load at which the split stops sending: bursts of open connections need the rest.
const FULL: f64 = 0.7;
/// The dearest class is still placed up to this load.
const FULL_DEAREST: f64 = 0.78;
/// A returning client goes back to its server up to this load.
const STICKY_LOAD: f64 = 0.75;
/// How far own placements stand for those that the other balancers made unseen.
const PEER_SHARE: f64 = 0.3;
/// ... up to this: of many balancers, one placement of the own tells next to nothing.
const PEERS_MOST: f64 = 2.0;
/// At most this part of the ready servers may be held silent; beyond it the fault lies elsewhere.
const SILENT_PART: f64 = 0.34;
/// Connections of a silent or jammed server leave over this time.
const SHED_TIME: Micros = 1_500_000;
/// A server whose load exceeds this sheds connections ...
const SHED_LOAD: f64 = 0.9;
/// ... down to this load ...
const SHED_TARGET: f64 = 0.7;
/// ... or this one, and twice as often, where the others have room for all that it holds ...
const SHED_ROOMY: f64 = 0.45;
/// ... and not again before reports can show the effect.
const SHED_AGAIN: Micros = 4_000_000;
/// Slow messages are told of about every second while they last.
const SLOW: Micros = 2_500_000;
/// Part of the connections that a server sheds of which only slow messages tell.
const SHED_BLIND: f64 = 0.15;
/// A stray is brought home while a server there has less load than this: near a spill it crosses again ...
const HOME_LOAD: f64 = 0.55;
/// ... and has stood for this long, so that reports show what came before it.
const STRAY_STAYS: Micros = 2_000_000;
/// So many balancers a tick bring one home, however many there are: reports must keep up with all of them.
const HOMERS: f64 = 4.0;
/// Drain timeout where no drain has been seen to its end.
const DRAIN_TIMEOUT: Micros = 30_000_000;
/// Moves begin as if an unknown drain were this much shorter than the timeout: many are.
const DRAIN_CAUTION: u64 = 10;
/// Part of the expected drain in which the moves are made.
const DRAIN_USE: f64 = 0.7;
/// Longest first wait before the list is asked for, so that balancers started together do not ask together.
const ASK_SPREAD: Micros = 2_000_000;
/// First wait after a refused call; it doubles up to 8 times this.
const ASK_AGAIN: Micros = 500_000;
/// Least time worth another attempt.
const LEAST_TRY: Micros = 30_000;
/// Which groups are turned away first changes so often.
const SALT_TURNS: Micros = 8_000_000;
/// Remembered clients, at most.
const HOMES: usize = 20_000;
/// Log lines of one balancer, at most.
const LOG_LINES: u32 = 12;
/// Load of one connection on a server of weight 1 until reports tell.
const UNIT_GUESS: f64 = 0.06;

const TICK_TOKEN: TimerToken = TimerToken(0);
const ASK_TOKEN: TimerToken = TimerToken(1);
/// Tokens from here on name held requests.
const HOLD_TOKENS: u64 = 2;

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(&'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for SettingsError {}

/// A line of the table, with what this balancer knows of the server.
#[derive(Default)]
struct Server {
    entry: Endpoint,
    hash: u64,
    /// Load over capacity as last reported, and when.
    load: Option<(f64, Micros)>,
    inflight: Option<f64>,
    /// Own placements that the report may not show yet: when, and how many usual connections each is worth.
    recent: VecDeque<(Micros, f64)>,
    /// Own standing connections.
    standing: BTreeSet<RequestId>,
    health: Health,
    probe_sent: Option<Micros>,
    /// When this balancer was told that it leaves.
    leaving: Option<Micros>,
    /// When messages there were last said to be slow.
    slow_at: Option<Micros>,
    shed_after: Micros,
    moves: Option<MovePlan>,
    slots: Slots,
}

/// The connections of a server that are in migration, and when the last of them should have moved.
struct MovePlan {
    flagged: Vec<RequestId>,
    end: Micros,
}

impl Server {
    fn ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Sends a probe unless one is out.
    fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.probe_sent.is_none() {
            self.probe_sent = Some(now);
            out.push(Action::CheckHealth(self.entry.id.clone()));
        }
    }

    fn size(&self) -> f64 {
        if self.entry.weight.is_finite() { self.entry.weight.max(1e-3) } else { 1.0 }
    }

    fn fresh(&self, now: Micros) -> bool {
        self.load.is_some_and(|(_, at)| now.saturating_sub(at) < FRESH)
    }

    /// Its messages were slow a moment ago. Guards against sending to a server whose load has fallen below
    /// its capacity while the work piled up before keeps every message late.
    fn slow(&self, now: Micros) -> bool {
        self.slow_at.is_some_and(|at| now.saturating_sub(at) < SLOW)
    }
}

/// A request, from its arrival to the last word on its attempts.
#[derive(Default)]
struct Flow {
    request: Request,
    deadline: Micros,
    attempts: u32,
    out: Option<EndpointId>,
    /// Servers that failed this request.
    tried: BTreeSet<EndpointId>,
    /// The first server on which it may have run, and when it was sent there.
    may_have_run: Option<(Option<ZoneId>, CellId, Micros)>,
    sent_at: Micros,
    held: Option<Hold>,
    rounds: u32,
    standing: bool,
    /// Load in microseconds a second, where told.
    load: Option<f64>,
    over: bool,
}

/// A held request: until when, and whose probe answers it waits for.
struct Hold {
    until: Micros,
    probes: BTreeSet<EndpointId>,
}

/// A server in the races that decide about a request.
struct Lane<'a> {
    load: f64,
    /// Its place in the group's race as seen from this zone, as seen from anywhere, and in the client's race.
    near: f64,
    wide: f64,
    client: f64,
    warmth: f64,
    id: &'a EndpointId,
}

/// What the table says of the fleet as a whole.
#[derive(Default)]
struct Fleet {
    mean_load: f64,
    /// Load of a usual connection on a server of weight 1.
    unit: f64,
    ready: usize,
    /// Those of the own zone among them, or all where zones cost nothing.
    near: usize,
    /// Own connections for each size of server.
    own: f64,
    /// Usual connections that fit before servers are full; none is known where no report is.
    room: f64,
}

/// The decisions of one balancer.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: BTreeMap<EndpointId, Server>,
    flows: BTreeMap<RequestId, Flow>,
    held: BTreeSet<RequestId>,
    /// Where clients were last seen.
    homes: BTreeMap<SessionKey, (EndpointId, Micros)>,
    /// Clients that were asked to move, and from where.
    moved: BTreeMap<SessionKey, (EndpointId, Micros)>,
    /// Own standing connections of each group.
    groups: BTreeMap<AffinityGroup, usize>,
    /// Own standing connections.
    standing: usize,
    throttle: Throttle,
    breaker: Breaker,
    /// Own placements of late, fading over the lag of reports, and when that was reckoned.
    under_way: (f64, Micros),
    fleet: Fleet,
    /// Mean hint or told load of a connection, over all and for each class.
    mean_work: Option<f64>,
    class_work: Vec<Option<f64>>,
    drain_seen: Option<Micros>,
    asks_failed: u32,
    started: bool,
    born: Micros,
    log_left: u32,
}

/// What seeds the race of the request's group.
fn group_salt(request: &Request) -> Option<u64> {
    request.affinity_group.as_ref().map(|group| xxh3_64_with_seed(group.0.as_bytes(), 2))
}

impl Balancer {
    /// A balancer with nothing but its settings; the list of servers comes as an event.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Balancer, SettingsError> {
        let rules = &settings.rules;
        let sound = |number: f64| number >= 0.0 && number.is_finite();
        if !(0.0..=1.0).contains(&rules.initial_capacity) {
            return Err(SettingsError("start_capacity is not within 0 and 1"));
        }
        if !sound(rules.overload_factor) || rules.overload_factor == 0.0 {
            return Err(SettingsError("overload_factor is not a positive number"));
        }
        if !settings.classes.iter().all(|c| sound(c.priority_weight)) {
            return Err(SettingsError("a class has a worth that is not a number of 0 or more"));
        }
        if !sound(settings.prices.cross_zone) || !sound(settings.prices.migration) {
            return Err(SettingsError("a price is not a number of 0 or more"));
        }
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

    // ---- The table ---------------------------------------------------------------------------------------

    fn take_list(&mut self, now: Micros, update: EndpointUpdate, out: &mut Vec<Action>) {
        let (entries, whole) = match update {
            EndpointUpdate::Failed => {
                // A refused call is a sign that all ask at once: wait longer each time, and not in step.
                let wait = ASK_AGAIN << self.asks_failed.min(3);
                self.asks_failed += 1;
                let delay = self.rng.random_range(wait / 2..=wait + wait / 2);
                out.push(Action::SetTimer { delay, token: ASK_TOKEN });
                return;
            }
            EndpointUpdate::Cached(entries) | EndpointUpdate::Full(entries) => (entries, true),
            EndpointUpdate::Delta(entries) => (entries, false),
        };
        self.asks_failed = 0;
        if whole {
            let named: BTreeSet<&EndpointId> = entries.iter().map(|e| &e.id).collect();
            let lost: Vec<EndpointId> =
                self.servers.keys().filter(|id| !named.contains(id)).cloned().collect();
            for id in lost {
                self.leave(now, &id, EndpointState::Removed);
            }
        }
        for entry in entries.iter() {
            match entry.state {
                EndpointState::Ready => self.join(entry),
                state => {
                    if state == EndpointState::Draining && !self.servers.contains_key(&entry.id) {
                        self.join(entry);
                    }
                    self.leave(now, &entry.id, state);
                }
            }
        }
        self.survey(now);
    }

    fn join(&mut self, entry: &Endpoint) {
        let mut standing = BTreeSet::new();
        if let Some(known) = self.servers.get_mut(&entry.id) {
            if known.entry.started_at == entry.started_at && known.ready() {
                known.entry = entry.clone();
                return;
            }
            // A new process: nothing known of the old one holds, but what stood there still ends.
            standing = std::mem::take(&mut known.standing);
        }
        let server = Server {
            hash: xxh3_64_with_seed(entry.id.0.as_bytes(), 0),
            entry: entry.clone(),
            standing,
            slots: Slots::new(self.rng.random()),
            ..Server::default()
        };
        self.servers.insert(entry.id.clone(), server);
    }

    /// A server drains or is gone: it takes nothing new, and what stands there is flagged and moved.
    fn leave(&mut self, now: Micros, id: &EndpointId, state: EndpointState) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if state == EndpointState::Removed
            && let (EndpointState::Draining, Some(told)) = (server.entry.state, server.leaving)
        {
            // The shortest drain seen sets the pace of the next.
            let lasted = now.saturating_sub(told);
            self.drain_seen = Some(self.drain_seen.map_or(lasted, |seen| seen.min(lasted)));
        }
        let first = server.leaving.is_none();
        server.entry.state = state;
        server.leaving.get_or_insert(now);
        if state == EndpointState::Removed {
            self.plan_moves(now, id, 1.0, SHED_TIME);
        } else if first {
            let lasts = self.drain_seen.unwrap_or(DRAIN_TIMEOUT / DRAIN_CAUTION);
            self.plan_moves(now, id, 1.0, (lasts as f64 * DRAIN_USE) as Micros);
        }
    }

    /// Flags a part of a server's load to move within a time, the least worth for its load first.
    ///
    /// A balancer holds few of the server's connections, so each is drawn: the classes' parts of all its own
    /// load tell which classes have to go, and all balancers together take about the part that is wanted.
    fn plan_moves(&mut self, now: Micros, id: &EndpointId, part: f64, within: Micros) {
        let count = self.settings.classes.len();
        let mut classes: Vec<(f64, f64)> = (0..count).map(|i| (self.dearness(ClassId(i)), 0.0)).collect();
        for flow in self.flows.values().filter(|f| f.standing) {
            if let Some(class) = classes.get_mut(flow.request.class.0) {
                class.1 += self.units(flow);
            }
        }
        let total: f64 = classes.iter().map(|c| c.1).sum();
        let Some(server) = self.servers.get(id) else { return };
        let (mut flagged, mut strays) = (Vec::new(), Vec::new());
        for flow_id in &server.standing {
            let Some(flow) = self.flows.get(flow_id) else { continue };
            let own = classes.get(flow.request.class.0).copied().unwrap_or((0.0, total));
            let cheaper: f64 = classes.iter().filter(|c| c.0 < own.0).map(|c| c.1).sum();
            let chance = (part * total - cheaper) / own.1.max(1e-9);
            // What a group holds far from its own servers costs the most: it goes first.
            if part >= 1.0 || self.stray(&flow.request, server, now) {
                strays.push(*flow_id);
            } else if self.rng.random::<f64>() < chance {
                flagged.push(*flow_id);
            }
        }
        if strays.len() as f64 >= part * server.standing.len() as f64 {
            flagged.clear();
        }
        flagged.append(&mut strays);
        if flagged.is_empty() {
            return;
        }
        for i in (1..flagged.len()).rev() {
            flagged.swap(i, self.rng.random_range(0..=i));
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.moves = Some(MovePlan { flagged, end: now + within });
        }
    }

    /// Moves as many flagged connections as keep each plan on time.
    fn pace_moves(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for server in self.servers.values_mut() {
            let Some(plan) = &mut server.moves else { continue };
            plan.flagged.retain(|id| server.standing.contains(id));
            let share =
                plan.flagged.len() as f64 * TICK as f64 / plan.end.saturating_sub(now).max(TICK) as f64;
            let count = share as usize + usize::from(self.rng.random::<f64>() < share.fract());
            for _ in 0..count {
                due.extend(plan.flagged.pop());
            }
            if plan.flagged.is_empty() {
                server.moves = None;
            }
        }
        for id in due {
            let Some(flow) = self.flows.get(&id) else { continue };
            if let (Some(key), Some(from)) = (&flow.request.session_key, &flow.out) {
                self.moved.insert(key.clone(), (from.clone(), now));
            }
            out.push(Action::Migrate(id));
            self.close(id);
        }
    }

    /// Flags one stray, a connection that crosses zones or stands far from its group's servers, while a
    /// server of the own zone has room by a fresh report; the oldest first, as those have shown to last.
    /// Guards against what was placed before the start, or by need, costing by the second to its end.
    fn bring_home(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.rng.random::<f64>() * self.balancers() >= HOMERS {
            return;
        }
        let near = self.servers.values().filter(|s| self.near(s) && !s.slow(now));
        let near = near.filter(|s| self.weight(s, now) > 0.0).map(|s| (self.estimate(s, now), s));
        let Some((load, near)) = near.min_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let near = near.entry.id.clone();
        let stood = self.flows.iter().rev().filter(|(_, f)| f.standing && now >= f.sent_at + STRAY_STAYS);
        let stood = stood.filter_map(|(id, f)| Some((*id, f, self.servers.get(f.out.as_ref()?)?)));
        let away = |f: &Flow, s: &Server| self.far(s, self.copy_cost(&f.request)) > 1.0;
        let strays =
            stood.filter(
                |(_, f, s)| {
                    if away(f, s) { self.settings.rebalancing } else { self.stray(&f.request, s, now) }
                },
            );
        let strays =
            strays.filter(|(_, _, s)| s.moves.is_none()).map(|(id, _, s)| (self.estimate(s, now), id, s));
        let Some((_, id, from)) = strays.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let from = from.entry.id.clone();
        if let Some(server) = self.servers.get_mut(&near).filter(|s| !s.fresh(now)) {
            // Where it may not be asked, a report that comes with an answer is waited for.
            if self.settings.permissions.health_checks {
                server.probe(now, out);
            }
        } else if let Some(server) = self.servers.get_mut(&from).filter(|_| load < HOME_LOAD) {
            server.moves = Some(MovePlan { flagged: vec![id], end: now });
        }
    }

    // ---- Requests ----------------------------------------------------------------------------------------

    fn flow(&mut self, now: Micros, request: Request) -> Flow {
        if let Some(hint) = request.expected_load {
            blend(&mut self.mean_work, hint);
        }
        Flow {
            deadline: now.saturating_add(request.time_remaining),
            load: request.expected_load,
            request,
            sent_at: now,
            ..Flow::default()
        }
    }

    fn take_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let flow = self.flow(now, request);
        self.flows.insert(id, flow);
        self.route(now, id, out);
    }

    fn adopt(&mut self, now: Micros, request: Request, server: EndpointId) {
        let id = request.id;
        let flow = Flow { attempts: 1, out: Some(server.clone()), ..self.flow(now, request) };
        self.flows.insert(id, flow);
        self.established(now, id, server);
    }

    fn established(&mut self, now: Micros, id: RequestId, at: EndpointId) {
        self.alive(now, &at);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if flow.over {
            return;
        }
        flow.standing = true;
        self.standing += 1;
        if let Some(group) = &flow.request.affinity_group {
            *self.groups.entry(group.clone()).or_insert(0) += 1;
        }
        if let Some(key) = &flow.request.session_key {
            self.homes.insert(key.clone(), (at.clone(), now));
        }
        if let Some(server) = self.servers.get_mut(&at) {
            server.standing.insert(id);
            // It drained while the connection was being set up: the new one is flagged with the rest.
            if server.leaving.is_some() {
                let end = now + SHED_TIME;
                server.moves.get_or_insert(MovePlan { flagged: Vec::new(), end }).flagged.push(id);
            }
        }
    }

    /// The request's reach and the rules of repetition: whether it may be sent to this server now.
    fn may_send(&self, flow: &Flow, entry: &Endpoint, now: Micros) -> bool {
        let reach = flow.request.allowed_zones.contains(entry.zone);
        let Some((zone, cell, since)) = flow.may_have_run.filter(|_| reach) else { return reach };
        match self.class(flow).map(|c| c.idempotency) {
            Some(Idempotency::Idempotent) => true,
            Some(Idempotency::IdempotencyKey { scope, window }) => {
                let within = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => entry.zone == zone,
                    DeduplicationScope::Cell => entry.cell == cell && entry.zone == zone,
                };
                within && now.saturating_sub(since) < window
            }
            _ => false,
        }
    }

    /// Whether a refusal, which tells the client that a repeat is harmless, would be true.
    fn may_refuse(&self, flow: &Flow) -> bool {
        let effect = self.class(flow).map(|c| c.idempotency);
        let harmless = matches!(
            effect,
            Some(
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
            )
        );
        harmless || flow.may_have_run.is_none()
    }

    fn balancers(&self) -> f64 {
        f64::from(self.settings.fleet_size.max(1))
    }

    fn class(&self, flow: &Flow) -> Option<&RequestClass> {
        self.settings.classes.get(flow.request.class.0)
    }

    /// Finds a server for a request that has no attempt out, probing first where that can tell more.
    fn route(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.held.remove(&id);
        let Some(mut flow) = self.flows.remove(&id) else { return };
        flow.held = None;
        let left = flow.deadline.saturating_sub(now);
        let spent = flow.attempts >= self.settings.permissions.max_attempts.max(1);
        if spent || left <= LEAST_TRY.min(flow.request.time_remaining / 2) {
            return self.finish(flow, out);
        }
        let home = self.home(&flow, now);
        if flow.request.mid_flow
            && flow.attempts == 0
            && let Some(home) = &home
        {
            // Its server has it still, even while that drains.
            return self.send(now, flow, home.clone(), out);
        }
        if is_blind(&self.settings) && flow.rounds == 0 && self.throttled(&flow, now) {
            return self.finish(flow, out);
        }
        let home = home.filter(|h| self.servers.get(h).is_some_and(|s| s.ready() && !s.health.suspect()));
        let ranking = self.rank(&flow, now);
        if flow.rounds < ROUNDS && self.sample(now, &mut flow, home.as_ref(), &ranking, out) {
            self.held.insert(id);
            self.flows.insert(id, flow);
            return;
        }
        let at_home = home.filter(|h| {
            self.servers.get(h).is_some_and(|s| {
                self.estimate(s, now) < STICKY_LOAD && !s.slow(now) && self.slot_open(s, now)
            })
        });
        if at_home.is_none() && self.wave(now) && self.wait(now, &mut flow, WAVE_WAIT, out) {
            self.held.insert(id);
            self.flows.insert(id, flow);
            return;
        }
        if let Some(server) = at_home.or_else(|| ranking.into_iter().next()) {
            return self.send(now, flow, server, out);
        }
        self.no_room(now, flow, out);
    }

    /// Whether this request is turned away for what was lost of late: groups whole, and the cheaper a class
    /// for its load, the sooner.
    fn throttled(&mut self, flow: &Flow, now: Micros) -> bool {
        let salt = group_salt(&flow.request).unwrap_or_else(|| self.rng.random());
        let classes = self.settings.classes.len();
        let mean = (0..classes).map(|i| self.dearness(ClassId(i))).sum::<f64>() / classes.max(1) as f64;
        let dear = 1.0 + mean - self.dearness(flow.request.class);
        self.throttle.turns_away(now, draw(now / SALT_TURNS, salt) / dear)
    }

    /// Whether this request should let others go first: all balancers together have placed more of late than
    /// there was room for, which the reports do not show yet. Guards against waves of clients that come back
    /// together and jam one server after another.
    fn wave(&mut self, now: Micros) -> bool {
        let fade = now.saturating_sub(self.under_way.1) as f64 / REPORT_LAG as f64;
        self.under_way = (self.under_way.0 * (-fade).exp(), now);
        let own = self.under_way.0;
        let placed = own * own / (own + FEW) * self.balancers();
        placed > self.fleet.room && self.rng.random::<f64>() > self.fleet.room / placed
    }

    /// Holds a request for about the given time, if a whole attempt still fits after it. Guards against
    /// holding a request that is as good as given up until its deadline: it is refused at once instead.
    fn wait(&mut self, now: Micros, flow: &mut Flow, about: Micros, out: &mut Vec<Action>) -> bool {
        let attempt = self.class(flow).map_or(LEAST_TRY, |c| c.latency_objective).max(LEAST_TRY);
        let delay = self.rng.random_range(about / 2..=about + about / 2);
        if now + delay + attempt > flow.deadline {
            return false;
        }
        flow.rounds = 0;
        flow.held = Some(Hold { until: now + delay, probes: BTreeSet::new() });
        out.push(Action::SetTimer { delay, token: TimerToken(HOLD_TOKENS + u64::from(flow.request.id.0)) });
        true
    }

    /// Probes the best candidates whose report is stale; true if the request now waits for answers.
    fn sample(
        &mut self, now: Micros, flow: &mut Flow, home: Option<&EndpointId>, ranking: &[EndpointId],
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.permissions.health_checks
            || self.settings.load_reports == LoadReportSource::Unavailable
        {
            return false;
        }
        // The second round only asks for a winner that the first round's answers brought up.
        let size = if flow.rounds == 0 { SAMPLE } else { 1 };
        let until = now + HOLD.min(flow.deadline.saturating_sub(now) / 2);
        let mut probes = BTreeSet::new();
        // One of them is any ready server: the ranking alone would never learn of room elsewhere, and the
        // mean would be that of the servers it likes.
        let any = self.rng.random_range(0..self.servers.len().max(1));
        let any =
            self.servers.values().nth(any).filter(|s| flow.rounds == 0 && s.ready() && !s.health.suspect());
        let any = any.map(|s| s.entry.id.clone());
        for id in home.into_iter().chain(ranking).take(size).chain(any.as_ref()) {
            let Some(server) = self.servers.get_mut(id) else { continue };
            if server.fresh(now) {
                continue;
            }
            server.probe(now, out);
            if server.probe_sent.is_some_and(|at| now.saturating_sub(at) >= HOLD) {
                continue;
            }
            probes.insert(id.clone());
        }
        flow.rounds += 1;
        if probes.is_empty() {
            return false;
        }
        flow.held = Some(Hold { until, probes });
        let token = TimerToken(HOLD_TOKENS + u64::from(flow.request.id.0));
        out.push(Action::SetTimer { delay: until - now, token });
        true
    }

    /// Where this client's connection was last, if it may go there.
    fn home(&self, flow: &Flow, now: Micros) -> Option<EndpointId> {
        let key = flow.request.session_key.as_ref().filter(|key| !self.moved.contains_key(*key))?;
        let (id, _) = self.homes.get(key)?;
        let server = self.servers.get(id)?;
        let grace = self.settings.rules.drain_grace / 2;
        let drains_still = flow.request.mid_flow
            && server.entry.state == EndpointState::Draining
            && server.leaving.is_some_and(|told| now.saturating_sub(told) < grace);
        let fit = (server.ready() || drains_still) && !flow.tried.contains(id);
        (fit && self.may_send(flow, &server.entry, now)).then(|| id.clone())
    }

    /// No server has room by the split. Where nothing is known, or all are doubtful, the best guess is tried.
    fn no_room(&mut self, now: Micros, mut flow: Flow, out: &mut Vec<Action>) {
        self.breaker.no_room(now);
        let any_ready = self.servers.values().any(|s| s.ready() && !s.health.suspect());
        let open = self.servers.values().filter(|s| s.ready() && !flow.tried.contains(&s.entry.id));
        let open = open.filter(|s| self.may_send(&flow, &s.entry, now) && self.slot_open(s, now));
        let open = open.map(|s| (self.estimate(s, now), s.entry.id.clone()));
        let (best, blind) = (open.min_by(|a, b| a.0.total_cmp(&b.0)), is_blind(&self.settings));
        match best {
            // Without any report it cannot know that the fleet is full and must not refuse for it.
            Some((load, server))
                if !any_ready
                    || self.servers.values().all(|s| s.load.is_none())
                    || (blind && load < FULL_DEAREST) =>
            {
                self.send(now, flow, server, out);
            }
            // Nothing is ready, or only cold servers whose budget is spent: wait for better, in time.
            None if self.wait(now, &mut flow, TICK, out) => {
                self.held.insert(flow.request.id);
                self.flows.insert(flow.request.id, flow);
            }
            _ => self.finish(flow, out),
        }
    }

    /// Worth of a class for each unit of load, from 0 to 1 over the classes.
    fn dearness(&self, class: ClassId) -> f64 {
        let value = |(i, class): (usize, &RequestClass)| {
            let work = self.class_work.get(i).copied().flatten().filter(|w| *w > 0.0);
            match (self.settings.weight_by_work, work, self.mean_work) {
                (false, Some(work), Some(mean)) => class.priority_weight * mean / work,
                _ => class.priority_weight,
            }
        };
        let values = || self.settings.classes.iter().enumerate().map(value);
        let (most, own) = (values().fold(0.0, f64::max), values().nth(class.0));
        if most > 0.0 { own.unwrap_or(0.0) / most } else { 1.0 }
    }

    fn send(&mut self, now: Micros, mut flow: Flow, id: EndpointId, out: &mut Vec<Action>) {
        let units = self.units(&flow);
        let rate = self.servers.get(&id).map_or(0.0, |s| self.slot_rate(s));
        let told = !is_blind(&self.settings);
        if let Some(server) = self.servers.get_mut(&id) {
            server.recent.extend(told.then_some((now, units)));
            server.slots.take(&self.settings.rules, server.entry.started_at, now, rate);
        }
        self.breaker.placed();
        let _ = flow.request.session_key.as_ref().map(|key| self.moved.remove(key));
        let aim =
            self.class(&flow).map_or(flow.request.time_remaining, |c| c.latency_objective).max(LEAST_TRY);
        let timeout = aim.min(flow.deadline.saturating_sub(now)).max(1);
        self.under_way.0 += units;
        flow.attempts += 1;
        flow.out = Some(id.clone());
        flow.sent_at = now;
        flow.rounds = 0;
        let send_before = match (flow.may_have_run, self.class(&flow).map(|c| c.idempotency)) {
            (Some((.., since)), Some(Idempotency::IdempotencyKey { window, .. })) => Some(since + window),
            _ => None,
        };
        out.push(Action::Forward { id: flow.request.id, endpoint: id, timeout, send_before });
        self.flows.insert(flow.request.id, flow);
    }

    /// The final answer where no attempt is out: a refusal if that is true, else a failure.
    fn finish(&mut self, flow: Flow, out: &mut Vec<Action>) {
        let id = flow.request.id;
        if self.may_refuse(&flow) {
            let permissions = &self.settings.permissions;
            let most = if permissions.retry_after { permissions.max_retry_after } else { 0 };
            let retry_after = self.rng.random_range(most / 2..=most);
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
    }

    /// Forgets what a request holds; it stays known only while an attempt is out.
    fn close(&mut self, id: RequestId) {
        self.held.remove(&id);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.over = true;
        if std::mem::take(&mut flow.standing) {
            self.standing -= 1;
            if let Some(count) = flow.request.affinity_group.as_ref().and_then(|g| self.groups.get_mut(g)) {
                *count -= 1;
            }
            self.groups.retain(|_, count| *count > 0);
        }
        match flow.out.as_ref().map(|at| self.servers.get_mut(at)) {
            None => drop(self.flows.remove(&id)),
            Some(server) => drop(server.map(|s| s.standing.remove(&id))),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn take_outcome(
        &mut self, now: Micros, id: RequestId, outcome: Outcome, closed: bool, at: EndpointId,
        report: Option<LoadReport>, out: &mut Vec<Action>,
    ) {
        if let Some(report) = report {
            self.take_report(now, &at, &report);
        }
        let Some(flow) = self.flows.get(&id) else { return };
        let (stood, over, mid_flow) = (flow.standing, flow.over, flow.request.mid_flow);
        // One that turns away is up, and full. A jammed one drops connections: it is full until a report says
        // otherwise. Guards against clients that bounce between jammed servers, each adding to the jam.
        let dropped = outcome == Outcome::Reset && !mid_flow && !over;
        let blind = is_blind(&self.settings);
        if let Some(server) = self.servers.get_mut(&at).filter(|_| dropped || outcome == Outcome::Rejected) {
            let least = if blind { unreported_load::after_failure(dropped) } else { FULL };
            if blind {
                self.throttle.lost(now);
            }
            server.load = Some((server.load.map_or(least, |(load, _)| load.max(least)), now));
        }
        match outcome {
            Outcome::Ok | Outcome::Error if !stood => self.alive(now, &at),
            Outcome::Timeout | Outcome::ConnectFailed => self.strike(now, &at, out),
            Outcome::Reset if dropped => self.strike(now, &at, out),
            _ => {}
        }
        self.close(id);
        let Some(mut flow) = self.flows.remove(&id) else { return };
        if closed || over {
            return;
        }
        flow.over = false;
        flow.out = None;
        if !outcome.proves_not_run() && flow.may_have_run.is_none() {
            let entry = self.servers.get(&at).map(|s| &s.entry);
            flow.may_have_run =
                Some((entry.and_then(|e| e.zone), entry.map_or(CellId(0), |e| e.cell), flow.sent_at));
        }
        flow.tried.insert(at);
        if outcome == Outcome::NotSent {
            return self.finish(flow, out);
        }
        self.flows.insert(id, flow);
        self.route(now, id, out);
    }

    fn hold_over(&mut self, now: Micros, token: TimerToken, out: &mut Vec<Action>) {
        let Ok(id) = u32::try_from(token.0.saturating_sub(HOLD_TOKENS)).map(RequestId) else { return };
        let due = self.flows.get(&id).and_then(|f| f.held.as_ref()).is_some_and(|h| now >= h.until);
        if due {
            self.route(now, id, out);
        }
    }

    // ---- The split ---------------------------------------------------------------------------------------

    /// Servers that may take this request, best first.
    ///
    /// The race of the group puts the servers in an order that all balancers see alike; as many of the first
    /// that have room as the group seems to need form its set, and within the set the race of the client
    /// decides by spare capacity. Without a group every server with room is in the set.
    fn rank(&mut self, flow: &Flow, now: Micros) -> Vec<EndpointId> {
        let request = &flow.request;
        let moved = request.session_key.as_ref().and_then(|k| self.moved.get(k));
        // A moved client lands at random; only its group, if it has one, still draws it.
        let client = match &request.session_key {
            Some(key) if moved.is_none() => xxh3_64_with_seed(key.0.as_bytes(), 1),
            _ => self.rng.random(),
        };
        let spill = (self.fleet.mean_load + SPILL_ABOVE).clamp(SPILL_LEAST, SPILL_MOST);
        let (salt, copy) = (group_salt(request), self.copy_cost(request));
        let mut lanes = Vec::with_capacity(self.servers.len());
        for (id, server) in &self.servers {
            let weight = self.weight(server, now);
            let open = weight > 0.0 && !flow.tried.contains(id) && moved.is_none_or(|(from, _)| from != id);
            if open && self.may_send(flow, &server.entry, now) {
                let load = if server.slow(now) { f64::INFINITY } else { self.estimate(server, now) };
                let (far, warmth) = (self.far(server, copy), self.warmth(server, now));
                let spare = weight / far * warmth * (1.0 - load).max(0.01).powi(2);
                let wide = salt.map_or(0.0, |salt| race(salt, server.hash, weight));
                let client = race(client, server.hash, spare);
                lanes.push(Lane { load, near: wide * far, wide, client, warmth, id });
            }
        }
        let need = self.group_set(request);
        // Guards against a group that spreads over a full fleet: each server pays for it, and it stays full.
        let reach = need.saturating_add(need / 2).saturating_add(1);
        lanes.sort_unstable_by(|a, b| a.near.total_cmp(&b.near).then(a.id.cmp(b.id)));
        let mut set: Vec<&Lane> = lanes.iter().take(reach).filter(|l| l.load < spill).collect();
        if set.is_empty() && self.settings.prices.cross_zone > 0.0 {
            // Where the own zone is full, the group's servers in all zones: other balancers use them too.
            let mut wide: Vec<&Lane> = lanes.iter().collect();
            wide.sort_by(|a, b| a.wide.total_cmp(&b.wide));
            set = wide.into_iter().take(reach).filter(|l| l.load < spill).collect();
        }
        if set.is_empty() {
            let full = if self.breaker.half_open(now) { 1.0 } else { self.full(flow) };
            set = lanes.iter().take(reach).filter(|l| l.load < full).collect();
        }
        let lead = need.min(set.len());
        set[..lead].sort_by(|a, b| a.client.total_cmp(&b.client));
        // An open slot on a cold server is taken first if that is of the group's, and else before refusing:
        // it lapses, and the server must fill.
        let cold = lanes.iter().find(|l| l.warmth < 1.0 && l.load < spill);
        let pressed = is_blind(&self.settings) && self.throttle.pressed();
        let cold = cold.filter(|c| pressed || set.is_empty() || set.iter().any(|l| std::ptr::eq(*l, *c)));
        let rest = set.iter().copied().filter(|l| cold.is_none_or(|c| !std::ptr::eq(*l, c)));
        cold.into_iter().chain(rest).take(SAMPLE * 2).map(|l| l.id.clone()).collect()
    }

    /// Whether a server comes so late in its group's race that the group has no need of it.
    fn stray(&self, request: &Request, server: &Server, now: Micros) -> bool {
        let Some(salt) = group_salt(request) else { return false };
        let place = |s: &Server| race(salt, s.hash, self.weight(s, now));
        let (copy, need) = (self.copy_cost(request), self.group_set(request));
        let (own, far) = (place(server), self.far(server, copy));
        let (mut before_wide, mut before_near) = (0, 0);
        for other in self.servers.values().filter(|s| s.ready()) {
            let theirs = place(other);
            before_wide += usize::from(theirs < own);
            before_near += usize::from(theirs * self.far(other, copy) < own * far);
        }
        before_wide > need && before_near > need
    }

    /// Load up to which this request is placed: the more it is worth for its load, the higher.
    fn full(&self, flow: &Flow) -> f64 {
        FULL + (FULL_DEAREST - FULL) * self.dearness(flow.request.class)
    }

    /// The part of all connections that a group probably has.
    fn group_share(&self, group: &AffinityGroup) -> f64 {
        let own = self.groups.get(group).copied().unwrap_or(0) as f64 + GROUP_FIRST;
        own / (self.standing as f64 + GROUP_DOUBT)
    }

    /// How many servers a group needs, going by this balancer's share of it.
    fn group_set(&self, request: &Request) -> usize {
        let Some(group) = &request.affinity_group else { return usize::MAX };
        let load = self.fleet.mean_load.max(GROUP_LOAD);
        let servers = self.group_share(group) * self.fleet.near as f64 * load / SPILL_LEAST;
        let many = self.settings.fleet_size as usize > self.fleet.ready;
        (servers.ceil() as usize).max(if many { 1 } else { GROUP_SET })
    }

    /// A server's weight before its load counts: capacity, less where it is doubtful.
    fn weight(&self, server: &Server, now: Micros) -> f64 {
        if !server.ready() || server.health.suspect() || !self.slot_open(server, now) {
            return 0.0;
        }
        // A probe that is not answered when it should be is a bad sign already.
        let doubt =
            if server.probe_sent.is_some_and(|at| now.saturating_sub(at) >= HOLD) { 0.2 } else { 1.0 };
        server.size() * server.health.led_back(now) * doubt
    }

    /// Whether a server is of the own zone, or as good as that where crossing costs nothing.
    fn near(&self, server: &Server) -> bool {
        let zones = self.settings.zone.zip(server.entry.zone);
        zones.is_none_or(|(own, zone)| own == zone) || self.settings.prices.cross_zone == 0.0
    }

    /// How much crossing zones slows a server down in the race of a group whose copy costs so much.
    fn far(&self, server: &Server, copy: f64) -> f64 {
        if self.near(server) { 1.0 } else { zone_affinity::slowdown(self.settings.prices.cross_zone, copy) }
    }

    /// What it costs each connection of the request's group that the own zone has a server of its own for it.
    fn copy_cost(&self, request: &Request) -> f64 {
        // Where loads are reported, the spill to other zones is what spares a full one.
        let Some(group) = request.affinity_group.as_ref().filter(|_| is_blind(&self.settings)) else {
            return 0.0;
        };
        let near = self.fleet.near as f64 / self.fleet.ready.max(1) as f64;
        zone_affinity::copy_cost(self.group_share(group) * self.standing as f64 * self.balancers() * near)
    }

    /// Load over capacity as it probably is now: the report as far as its age lets it be trusted, the fleet's
    /// mean for the rest, and what has been placed since.
    fn estimate(&self, server: &Server, now: Micros) -> f64 {
        let warmth = self.warmth(server, now);
        let (mut usual, blind) = (self.fleet.mean_load, is_blind(&self.settings));
        if blind {
            usual =
                unreported_load::guess(usual, server.standing.len(), self.fleet.own * server.size() * warmth);
        }
        let (reported, at) = server.load.unwrap_or((usual, 0));
        let trust = trust(at, now);
        let base = trust * reported + (1.0 - trust) * usual;
        if blind {
            return base;
        }
        let placed: f64 =
            server.recent.iter().filter(|(sent, _)| sent + REPORT_LAG > at).map(|(_, units)| units).sum();
        // The slots of a cold server hold the other balancers back already.
        let unseen = if warmth < 1.0 { 0.0 } else { PEER_SHARE };
        let peers = ((self.balancers() - 1.0) * unseen).min(PEERS_MOST);
        let capacity = server.size() * warmth;
        base + placed * (1.0 + peers) * self.fleet.unit / capacity
    }

    /// A connection's load in usual connections.
    fn units(&self, flow: &Flow) -> f64 {
        let own = flow.load.or_else(|| self.class_work.get(flow.request.class.0).copied().flatten());
        match (own, self.mean_work) {
            (Some(own), Some(mean)) if mean > 0.0 => (own / mean).clamp(0.1, 10.0),
            _ => 1.0,
        }
    }

    fn warmth(&self, server: &Server, now: Micros) -> f64 {
        slow_start::warmth(&self.settings.rules, server.entry.started_at, now)
    }

    fn slot_rate(&self, server: &Server) -> f64 {
        slow_start::rate(&self.settings.rules, server.size() / self.fleet.unit.max(1e-6), self.balancers())
    }

    /// Whether a cold server can have a connection of this balancer now; a warm one always can.
    fn slot_open(&self, server: &Server, now: Micros) -> bool {
        server.slots.open(&self.settings.rules, server.entry.started_at, now, self.slot_rate(server))
    }

    // ---- Health ------------------------------------------------------------------------------------------

    fn take_report(&mut self, now: Micros, id: &EndpointId, report: &LoadReport) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let load = report.load.or(report.utilization).filter(|l| l.is_finite() && *l >= 0.0);
        if let Some(load) = load {
            server.load = Some((load, now));
        }
        server.inflight = report.inflight.filter(|n| n.is_finite() && *n >= 0.0);
        while server.recent.front().is_some_and(|(sent, _)| sent + REPORT_LAG < now) {
            server.recent.pop_front();
        }
    }

    fn alive(&mut self, now: Micros, id: &EndpointId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.alive(now);
        }
    }

    /// A failure that may mean the server is silent: it is asked at once whether it lives.
    fn strike(&mut self, now: Micros, id: &EndpointId, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.health.strike(now, &self.settings);
        if self.settings.permissions.health_checks && server.ready() && !server.health.silent() {
            server.probe(now, out);
        }
        if server.health.just_silent() {
            self.judge(now, id, out);
        }
    }

    /// A server stays silent, or its messages crawl: move its connections away, all or some.
    fn judge(&mut self, now: Micros, id: &EndpointId, out: &mut Vec<Action>) {
        let silent = self.servers.values().filter(|s| s.ready() && s.health.silent()).count();
        // Guards against moving everybody because this balancer's own link, or all probing, has failed.
        if silent as f64 > (self.fleet.ready as f64 * SILENT_PART).max(1.0) {
            return;
        }
        // Guards against clients left on a jammed server that gets worse, bit by bit, while others are idle.
        let room = self.fleet.room * self.fleet.unit;
        let Some(server) = self.servers.get_mut(id) else { return };
        if !server.ready() || now < server.shed_after {
            return;
        }
        let slow = server.slow(now);
        let held = server.load.map_or(f64::INFINITY, |(load, _)| load) * server.size();
        let (target, again) =
            if room > held { (SHED_ROOMY, SHED_AGAIN / 2) } else { (SHED_TARGET, SHED_AGAIN) };
        let load = server.load.filter(|(_, at)| now.saturating_sub(*at) < REPORT_LAG).map(|(load, _)| load);
        let part = match load {
            Some(load) if load > SHED_LOAD => 1.0 - target / load,
            _ if slow => SHED_BLIND,
            _ if server.health.silent() => 1.0,
            _ => return,
        };
        server.shed_after = now + again;
        self.plan_moves(now, id, part, SHED_TIME);
        self.log(format!("{}: {:.0}% of its load is to move away", id.0, part * 100.0), out);
    }

    fn probed(
        &mut self, now: Micros, id: EndpointId, outcome: Outcome, report: Option<LoadReport>,
        out: &mut Vec<Action>,
    ) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.probe_sent = None;
        }
        match outcome {
            Outcome::Ok => self.alive(now, &id),
            // It answers: guards against moving away what stands there and is served.
            Outcome::Error if self.servers.get(&id).is_some_and(|s| s.health.nearly_silent()) => {
                self.servers.entry(id.clone()).and_modify(|s| s.health.answers(now, &self.settings));
            }
            // Turned away by the cap on probes: no sign of ill health.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
            _ => self.strike(now, &id, out),
        }
        if let Some(report) = report {
            self.take_report(now, &id, &report);
            if self.servers.get(&id).is_some_and(|s| s.load.is_some_and(|(load, _)| load > SHED_LOAD)) {
                self.judge(now, &id, out);
            }
        }
        let mut answered = |held: &RequestId| {
            let hold = self.flows.get_mut(held).and_then(|f| f.held.as_mut());
            hold.is_some_and(|h| h.probes.remove(&id) && h.probes.is_empty())
        };
        let ready: Vec<RequestId> = self.held.iter().filter(|held| answered(held)).copied().collect();
        for request in ready {
            self.route(now, request, out);
        }
    }

    fn noted(
        &mut self, now: Micros, id: RequestId, at: EndpointId, note: ConnectionUpdate, out: &mut Vec<Action>,
    ) {
        match note {
            ConnectionUpdate::Load(load) => {
                let Some(flow) = self.flows.get_mut(&id) else { return };
                flow.load = Some(load);
                if let Some(mean) = self.class_work.get_mut(flow.request.class.0) {
                    blend(mean, load);
                }
                if flow.request.expected_load.is_none() {
                    blend(&mut self.mean_work, load);
                }
            }
            ConnectionUpdate::MessageLatency(ms) => {
                let aims = self.settings.classes.iter().map(|c| c.message_latency_objective);
                let aim = aims.filter(|aim| *aim > 0).min().unwrap_or(Micros::MAX);
                let Some(server) = self.servers.get_mut(&at) else { return };
                if ms * 1e3 < aim as f64 * 0.5 {
                    server.slow_at = None;
                    return;
                }
                server.slow_at = Some(now);
                let may_ask = self.settings.permissions.health_checks && server.probe_sent.is_none();
                if may_ask && !server.fresh(now) && server.ready() {
                    server.probe(now, out);
                } else {
                    self.judge(now, &at, out);
                }
            }
        }
    }

    // ---- Housekeeping ------------------------------------------------------------------------------------

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
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

    /// Sums up what the reports say of the fleet.
    fn survey(&mut self, now: Micros) {
        let (mut loads, mut sizes, mut inflight, mut inflight_load) = (0.0, 0.0, 0.0, 0.0);
        let (mut ready, mut near, mut own, mut all_sizes, mut room) = (0, 0, 0usize, 0.0, 0.0);
        let blind = is_blind(&self.settings);
        for server in self.servers.values().filter(|s| s.ready()) {
            ready += 1;
            near += usize::from(self.near(server));
            own += server.standing.len();
            let size = server.size() * self.warmth(server, now);
            all_sizes += size;
            // Guards against taking one server that is full for all, where nothing else is ever told.
            let Some((load, at)) = server.load.filter(|_| !blind) else { continue };
            let trust = trust(at, now);
            loads += load * size * trust;
            sizes += size * trust;
            if let Some(n) = server.inflight {
                inflight += n * trust;
                inflight_load += load * size * trust;
            }
            room += (FULL - load).max(0.0) * size;
        }
        (self.fleet.ready, self.fleet.near) = (ready, near);
        self.fleet.own = own as f64 / f64::max(all_sizes, 1e-3);
        if sizes > 0.0 {
            self.fleet.mean_load = loads / sizes;
        }
        let unit = if inflight >= 1.0 {
            inflight_load / inflight
        } else if own > 0 && (sizes > 0.0 || blind) && now.saturating_sub(self.born) >= SETTLE {
            let own_load = self.fleet.mean_load * all_sizes / self.balancers();
            (own_load + unreported_load::unit(&self.settings, UNIT_GUESS) * FEW) / (own as f64 + FEW)
        } else {
            self.fleet.unit
        };
        if unit > 0.0 && unit.is_finite() {
            // Connections leave all at once, and reports show them still: it rises slowly. Guards against
            // refusing them as too heavy when they come again.
            let pace = if unit > self.fleet.unit { 0.02 } else { 0.2 };
            self.fleet.unit += (unit - self.fleet.unit) * pace;
        }
        // Servers without a report have room like those with one. Guards against taking a fleet that has not
        // reported yet for a full one.
        let known = room / self.fleet.unit * (all_sizes / sizes.max(1e-9)).max(1.0);
        self.fleet.room = if sizes > 0.0 { known } else { f64::INFINITY };
    }

    fn log(&mut self, text: String, out: &mut Vec<Action>) {
        if self.log_left > 0 {
            self.log_left -= 1;
            out.push(Action::Log(text));
        }
    }
}
