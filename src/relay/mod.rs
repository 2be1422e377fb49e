//! The real relay: one [`Balancer`] whose events come from sockets and whose actions are carried out on them.
//!
//! Everything runs on one thread. Each study session is a task (`session`) that talks to the relay by plain
//! calls and gets its orders by a queue of its own; no borrow of the relay is held across an await.

pub mod clock;
pub mod connections;
pub mod endpoints;
pub mod lifecycle;
pub mod metrics;
pub mod timer_wheel;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use honeyknot_discovery::{Caller, State};
use honeyknot_gossip::Plan as NeighborPlan;
use honeyknot_metrics::{Book, Family};
use honeyknot_zone_failover::{Sites, Verdict};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use tracing::{info, trace};

use crate::admin;
use crate::gossip::Neighborhood;
use crate::settings::NameTable;
use clock::Clock;
use connections::idle::Crowd;
use connections::listener;
use connections::protocol::SessionHead;
use endpoints::discovery_client::{self, Ask, RollNews};
use endpoints::health_check::{self, Errand};
use endpoints::message_latency::{self, Delays};
use endpoints::shared_health_check;
use endpoints::zone_failover;
use honeyknot_balancer::*;
use honeyknot_balancer::{Balancer, MaintenanceOverlay};
use lifecycle::config::{Config, OperatorFiles};
use lifecycle::hot_restart::{self, Folder, Incumbent, Tenure};
use lifecycle::{graceful_shutdown, reload};
use metrics::exporter;
use metrics::recorder::{self, Answer};
use timer_wheel::{Alarm, Timers};

/// Descriptors kept for all that is no session: standard streams, the runtime's own, listener and discovery.
const RESERVE: usize = 32;
/// Of these, what is left when accepting pauses.
const LAST_RESERVE: usize = 12;
/// The crowd at the door holds one descriptor in so many: sessions take two for each client, and need the rest.
const CROWD_PART: usize = 4;
/// Sessions from before the run come up within this of the relay's start ...
const ADOPT_START: Micros = 40_000_000;
/// ... and one that names its card server later is owed an answer within 3 s, like any other.
const ADOPT_LATER: Micros = 2_000_000;
/// The relay as its tasks share it.
pub type Shared = Rc<RefCell<Relay>>;

/// What the decisions want of a study session.
#[derive(Debug)]
pub enum Order {
    /// Dial this card server.
    Place(Placement),
    /// Turn the client away.
    Refuse(Micros),
    /// Tell the client that it failed.
    Fail,
    /// Send the client away politely.
    Move,
    /// Have another process of this relay go on with the session.
    PassOn,
    /// Give up the attempt of this number.
    Cancel(AttemptId),
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Its number.
    pub attempt: AttemptId,
    /// The card server.
    pub server: EndpointId,
    /// Where this relay reaches it.
    pub address: SocketAddr,
    /// How long the answer may take.
    pub timeout: Micros,
    /// A repeat must be written before this.
    pub send_before: Option<Micros>,
}

/// A study session as the relay knows it.
struct Seat {
    orders: UnboundedSender<Order>,
    attempts: u32,
    deadline: Micros,
    out: Option<(AttemptId, EndpointId, Micros)>,
    stands: bool,
    class: ClassId,
    deck: Option<AffinityGroup>,
    asked: Micros,
}

/// A descriptor in the count; dropping it gives it back.
pub struct Held(Rc<Cell<usize>>);

impl Held {
    fn new(count: &Rc<Cell<usize>>) -> Held {
        count.set(count.get() + 1);
        Held(count.clone())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

type OpenIds = Rc<RefCell<BTreeSet<Rc<str>>>>;

/// The id of a client's connection, open until this is dropped.
pub struct OpenId {
    ids: OpenIds,
    id: Rc<str>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The one owner of the decisions and of what they need to know of the sockets.
pub struct Relay {
    /// Clock and wheel.
    pub timers: Rc<Timers>,
    /// The settings' names.
    pub names: NameTable,
    settings: Settings,
    balancer: Balancer,
    version: u64,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    /// The roll as discovery tells it, and which card servers are out by hand.
    withheld: MaintenanceOverlay,
    /// Card servers that leave or are gone.
    leaving: BTreeSet<EndpointId>,
    seats: BTreeMap<RequestId, Seat>,
    last_id: u32,
    probes: BTreeMap<EndpointId, UnboundedSender<Errand>>,
    /// What messages take at the card servers.
    delays: Delays,
    /// Losing and regaining sites, where the operators have switched it on.
    sites: Option<Sites>,
    /// The relays nearby, where the operators have switched that on.
    neighbors: Option<Neighborhood>,
    /// What is counted.
    book: Book,
    /// Where the counts outlast the relay, if anywhere.
    lasting: Option<recorder::Lasting>,
    /// The sinks that are fed, by name.
    sinks: BTreeMap<String, exporter::Running>,
    /// The sites of the card servers.
    zones: BTreeMap<EndpointId, ZoneId>,
    /// When discovery last answered.
    roll_heard: Micros,
    asks: UnboundedSender<Ask>,
    roll_trouble: bool,
    /// What the relay is doing about its list.
    list_state: State,
    events: VecDeque<Event>,
    descriptors: Rc<Cell<usize>>,
    most_descriptors: usize,
    crowd: Crowd,
    /// Ids of the clients' connections that are open.
    open_ids: OpenIds,
    closing: bool,
    /// Operators can call this relay.
    operated: bool,
    /// What outlives this process, and who lets clients in.
    tenure: Tenure,
    born: Micros,
    me: Weak<RefCell<Relay>>,
}

/// Descriptors for sessions, the crowd and probes, the reserve included.
fn descriptors(limit: usize, operated: bool) -> usize {
    limit.saturating_sub(if operated { admin::DESCRIPTORS } else { 0 })
}

impl Relay {
    /// A relay, its caller of discovery, and what the decisions will want of that.
    pub fn new(config: Config) -> Result<(Shared, Caller, UnboundedReceiver<Ask>), String> {
        let timers = Timers::new(Clock::start());
        let born = timers.clock.now();
        let mut settings = config.settings;
        trace!(target: "relay", ?settings, "settings");
        let sites = zone_failover::start(config.sites, &mut settings, &config.names, config.seed, born)?;
        let enter = |plan: &NeighborPlan| {
            Neighborhood::enter(plan, config.listen, settings.fleet_size, config.seed)
                .map_err(|e| e.to_string())
        };
        let neighbors = config.neighbors.as_ref().map(enter).transpose()?;
        let balancer =
            Balancer::new(settings.clone(), config.seed, born).map_err(|e| format!("settings: {e}"))?;
        let (asks, asked) = unbounded_channel();
        let known = config.known.unwrap_or(RollNews {
            version: 0,
            whole: true,
            entries: Vec::new(),
            addresses: Vec::new(),
        });
        let caller = discovery_client::caller(&settings, config.seed, &known, born);
        let relay = Rc::new_cyclic(|me| {
            RefCell::new(Relay {
                timers,
                book: recorder::open(&config.metrics, &config.names),
                names: config.names,
                balancer,
                version: 0,
                addresses: BTreeMap::new(),
                withheld: MaintenanceOverlay::default(),
                leaving: BTreeSet::new(),
                seats: BTreeMap::new(),
                last_id: 0,
                probes: BTreeMap::new(),
                delays: Delays::new(&settings),
                settings,
                sites,
                neighbors,
                lasting: None,
                sinks: BTreeMap::new(),
                zones: BTreeMap::new(),
                roll_heard: born,
                asks,
                roll_trouble: false,
                list_state: State::Starting,
                events: VecDeque::new(),
                descriptors: Rc::default(),
                most_descriptors: descriptors(config.sockets, config.admin.is_some()),
                operated: config.admin.is_some(),
                tenure: Tenure::default(),
                crowd: Crowd::default(),
                open_ids: OpenIds::default(),
                closing: false,
                born,
                me: me.clone(),
            })
        });
        relay.borrow_mut().take_known(known);
        Ok((relay, caller, asked))
    }

    // ---- Events ------------------------------------------------------------------------------------------

    /// Tells the decisions of an event and carries out what they want, in order.
    fn feed(&mut self, event: Event) {
        self.events.push_back(event);
        self.feed_rest();
    }

    /// Tells the decisions of the events that wait.
    fn feed_rest(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            trace!(target: "told", ?event);
            self.balancer.handle(self.timers.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                trace!(target: "wanted", ?action);
                self.carry_out(action);
            }
        }
    }

    /// Applies what of a new configuration can change while sessions stand: where discovery is, and how many
    /// descriptors there may be. The roll held stays in use until the new discovery tells its own.
    pub fn reconfigure(&mut self, config: &Config) {
        self.most_descriptors = descriptors(config.sockets, self.operated);
        self.site_plan(config);
        self.ask_discovery(Ask::Renew(config.discovery));
    }

    /// A client asks for a session, of a class that must be known. It gets orders until its seat is left.
    pub fn ask(&mut self, head: &SessionHead) -> Option<(RequestId, UnboundedReceiver<Order>)> {
        let mut request = self.request(head)?;
        let seat = self.seat(&request);
        self.meter(|book| book.add(Family::Requests, 0, 1));
        match self.site_verdict(&request) {
            Verdict::Within(reach) => {
                request.allowed_zones = reach;
                self.feed(Event::Request(request));
            }
            // The decisions never hear of it: there is nothing to choose.
            Verdict::Refuse(away) => {
                self.meter_refused("site_limit", Some(0));
                self.order(request.id, Order::Refuse(away));
            }
        }
        Some(seat)
    }

    /// A session that stood at a card server before this relay started is up again.
    pub fn adopt(
        &mut self, head: &SessionHead, server: EndpointId,
    ) -> Option<(RequestId, UnboundedReceiver<Order>)> {
        self.meter_head(head, Answer::Up);
        self.take_up(head, server)
    }

    /// A session stands that this process did not bring up.
    pub fn take_up(
        &mut self, head: &SessionHead, server: EndpointId,
    ) -> Option<(RequestId, UnboundedReceiver<Order>)> {
        let request = self.request(head)?;
        let (id, orders) = self.seat(&request);
        let now = self.timers.clock.now();
        if let Some(seat) = self.seats.get_mut(&id) {
            (seat.attempts, seat.stands) = (1, true);
            seat.out = Some((AttemptId(0), server.clone(), now));
        }
        self.site_adopted(&request, &server);
        self.feed(Event::ConnectionAdopted(request, server));
        Some((id, orders))
    }

    fn seat(&mut self, request: &Request) -> (RequestId, UnboundedReceiver<Order>) {
        let (orders, queue) = unbounded_channel();
        let asked = self.timers.clock.now();
        let deadline = asked.saturating_add(request.time_remaining);
        let deck = request.affinity_group.clone();
        let (attempts, out, stands, class) = (0, None, false, request.class);
        let seat = Seat { orders, attempts, deadline, out, stands, class, deck, asked };
        self.seats.insert(request.id, seat);
        (request.id, queue)
    }

    fn request(&mut self, head: &SessionHead) -> Option<Request> {
        let class = self.names.class(head.class()?)?;
        let deadline = self.settings.classes.get(class.0)?.deadline;
        self.last_id = self.last_id.wrapping_add(1);
        Some(Request {
            id: RequestId(self.last_id),
            class,
            session_key: Some(SessionKey(head.key().into())),
            affinity_group: head
                .group()
                .filter(|_| self.settings.affinity_groups)
                .map(|g| AffinityGroup(g.into())),
            tenant: head.tenant().and_then(|t| self.names.tenant(t)),
            expected_load: head.hint,
            time_remaining: head.patience(deadline),
            reconnecting: head.returning,
            retry: head.retry,
            mid_flow: false,
            allowed_zones: ZoneSet::ALL,
        })
    }

    /// The card server's `UP` has come: the session stands.
    pub fn stands(&mut self, id: RequestId) {
        let Some(seat) = self.seats.get_mut(&id) else { return };
        seat.stands = true;
        let Some((attempt, server, sent)) = seat.out.clone() else { return };
        let (asked, class) = (seat.asked, seat.class);
        self.meter_answer(Some(class), Answer::Up);
        let took = self.timers.clock.now().saturating_sub(asked);
        self.meter_stands(took);
        let elapsed = self.timers.clock.now().saturating_sub(sent);
        self.site_stands(id, &server);
        self.feed(Event::ConnectionEstablished { id, attempt, endpoint: server, elapsed });
    }

    /// The attempt that was out has ended; `closed` if the client has its answer by that.
    pub fn attempt_ended(
        &mut self, id: RequestId, outcome: Outcome, closed: bool, report: Option<LoadReport>,
    ) {
        let Some((attempt, server, sent)) = self.seats.get_mut(&id).and_then(|s| s.out.take()) else {
            return;
        };
        let elapsed = self.timers.clock.now().saturating_sub(sent);
        let stood = self.seats.get(&id).is_some_and(|s| s.stands);
        if !stood {
            self.meter_attempt(outcome);
        }
        self.site_ended(id, &server, outcome);
        self.feed(Event::AttemptEnded { id, attempt, outcome, closed, endpoint: server, elapsed, report });
    }

    /// The client of a session that does not stand gets its answer.
    pub fn answered(&mut self, id: RequestId, answer: Answer) {
        let class = self.seats.get(&id).map(|seat| seat.class);
        self.meter_answer(class, answer);
    }

    /// The session's task ends. Whatever the decisions still hold of it is settled.
    pub fn left(&mut self, id: RequestId, answered: bool) {
        let Some(seat) = self.seats.get(&id) else { return };
        let (out, class) = (seat.out.is_some(), seat.class);
        if !answered && !seat.stands {
            self.meter_answer(Some(class), Answer::Failed);
            self.feed(Event::ClientLeft(id));
        }
        if out {
            self.attempt_ended(id, Outcome::Cancelled, true, None);
        }
        self.seats.remove(&id);
    }

    /// The card server of a session's attempt.
    pub fn server_of(&self, id: RequestId) -> Option<EndpointId> {
        self.seats.get(&id).and_then(|seat| seat.out.as_ref()).map(|(_, server, _)| server.clone())
    }

    /// The card server told the session's load.
    pub fn load_told(&mut self, id: RequestId, load: f64) {
        if let Some(sites) = &mut self.sites {
            sites.load_told(id, load);
        }
        self.noted(id, ConnectionUpdate::Load(load));
    }

    /// A line of the client took this long to be answered.
    pub fn message_took(&mut self, id: RequestId, took: Micros) {
        if let Some(server) = self.server_of(id) {
            self.meter(|book| book.record(Family::Message, took));
            self.delay_seen(server, took as f64 / 1e3, false);
        }
    }

    /// A message took this long at a card server.
    fn delay_seen(&mut self, server: EndpointId, ms: f64, reported: bool) {
        if self.delays.seen(self.timers.clock.now(), &server, ms, reported) {
            self.tell_delay(&server, ms);
        }
    }

    /// Tells again of the delays that last, as far as they were seen of late.
    fn tell_delays(&mut self) {
        for (server, ms) in self.delays.due(self.timers.clock.now()) {
            self.tell_delay(&server, ms);
        }
    }

    /// Asks one of the card servers where sessions of this relay stand, the one that is due for longest.
    fn measure_delay(&mut self) {
        if self.closing {
            return;
        }
        let standing = self.seats.values().filter(|s| s.stands).filter_map(|s| s.out.as_ref());
        let standing = standing.map(|(_, id, _)| id).filter(|id| !self.leaving.contains(*id));
        if let Some(id) = self.delays.next_to_measure(self.timers.clock.now(), standing) {
            self.wish_probe(id);
            self.feed_rest();
        }
    }

    /// Tells of a delay on one of the sessions that stand there.
    fn tell_delay(&mut self, server: &EndpointId, ms: f64) {
        let there = |s: &Seat| s.stands && s.out.as_ref().is_some_and(|(_, at, _)| at == server);
        let one = self.seats.iter().find(|(_, s)| there(s)).map(|(id, _)| *id);
        if let Some(id) = one {
            self.noted(id, ConnectionUpdate::MessageLatency(ms));
        }
    }

    fn noted(&mut self, id: RequestId, note: ConnectionUpdate) {
        let Some((attempt, server, _)) = self.seats.get(&id).and_then(|s| s.out.clone()) else { return };
        self.feed(Event::ConnectionUpdated { id, attempt, endpoint: server, update: note });
    }

    /// A probe has ended.
    pub fn probed(
        &mut self, server: EndpointId, outcome: Outcome, elapsed: Micros, report: Option<LoadReport>,
    ) {
        let load = report.as_ref().and_then(|r| r.load);
        self.delays.measured(self.timers.clock.now(), &server, load);
        self.site_probed(&server, outcome, load);
        self.witnessed(&server, outcome, report.as_ref());
        self.meter_probed(outcome, elapsed);
        let latency = report.as_ref().and_then(|r| r.latency_ms);
        self.feed(Event::HealthCheckEnded { endpoint: server.clone(), outcome, elapsed, report });
        if let Some(ms) = latency {
            self.delay_seen(server, ms, true);
        }
    }

    // ---- Actions -----------------------------------------------------------------------------------------

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward { id, endpoint: server, timeout, send_before } => {
                self.place(id, server, timeout, send_before)
            }
            Action::Reject { id, retry_after } => {
                let asked = self.seats.get(&id).map(|s| s.asked);
                let took = asked.map(|at| self.timers.clock.now().saturating_sub(at));
                self.meter_refused("decisions", took);
                self.order(id, Order::Refuse(retry_after));
            }
            Action::Fail(id) => {
                self.meter_failed("decisions");
                self.order(id, Order::Fail);
            }
            Action::Migrate(id) => {
                self.meter(|book| book.count(Family::Moves, "decisions"));
                self.order(id, Order::Move);
            }
            Action::Cancel { id, attempt } => self.order(id, Order::Cancel(attempt)),
            Action::CheckHealth(server) => self.wish_probe(server),
            Action::CloseIdleConnections(server) => self.errand(server, Errand::Close),
            Action::SetTimer { delay, token } => self.timers.decision(delay, token),
            // On sockets the list is followed from the start to the end: when to call is the caller's choice.
            Action::Watch(_) => {}
            Action::FetchEndpoints => self.ask_discovery(Ask::Fetch),
            Action::Log(text) => info!(target: "decision", "{text}"),
            // Relays have no way to talk to each other here; the settings tell the decisions so.
            Action::SendPeerMessage { .. } => {}
        }
    }

    fn place(&mut self, id: RequestId, server: EndpointId, timeout: Micros, send_before: Option<Micros>) {
        let now = self.timers.clock.now();
        let Some(seat) = self.seats.get_mut(&id) else { return };
        let attempt = AttemptId(seat.attempts);
        seat.attempts += 1;
        let left = seat.deadline.saturating_sub(now);
        let timeout = if timeout == 0 { left } else { timeout.min(left) };
        let spent = attempt.0 >= self.settings.permissions.max_attempts || left == 0 || seat.stands;
        let ends = match self.addresses.get(&server) {
            _ if spent => Outcome::NotSent,
            None => Outcome::ConnectFailed,
            Some(&address) => {
                seat.out = Some((attempt, server.clone(), now));
                let place = Placement { attempt, server: server.clone(), address, timeout, send_before };
                let _ = seat.orders.send(Order::Place(place));
                self.site_placed(id, &server);
                self.meter_placed(attempt, &server);
                return;
            }
        };
        let (outcome, closed, report) = (ends, false, None);
        self.events.push_back(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            closed,
            endpoint: server,
            elapsed: 0,
            report,
        });
    }

    fn order(&mut self, id: RequestId, order: Order) {
        if let Some(seat) = self.seats.get(&id) {
            // A session that has just ended no longer listens; its last word settles the request.
            let _ = seat.orders.send(order);
        }
    }

    fn errand(&mut self, server: EndpointId, errand: Errand) {
        let Some(me) = self.me.upgrade() else { return };
        let probe = self.probes.entry(server.clone()).or_insert_with(|| health_check::start(me, server));
        let _ = probe.send(errand);
    }

    fn ask_discovery(&self, ask: Ask) {
        let _ = self.asks.send(ask);
    }

    // ---- What tasks need to know --------------------------------------------------------------------------

    /// A connection that is not up after this has failed.
    pub fn connect_timeout(&self) -> Micros {
        match self.settings.permissions.connect_timeout {
            0 => 1_000_000,
            limit => limit,
        }
    }

    /// A connection without use is closed after this.
    pub fn idle_close(&self) -> Micros {
        self.settings.permissions.idle_timeout.max(1_000_000)
    }

    /// A request is overdue this long after its deadline.
    pub fn answer_grace(&self) -> Micros {
        self.settings.rules.answer_grace
    }

    /// The longest that a client is to stay away.
    pub fn longest_away(&self) -> Micros {
        if self.settings.permissions.retry_after { self.settings.permissions.max_retry_after } else { 0 }
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// What this process may hold: all processes of a relay live within one limit.
    fn most_descriptors(&self) -> usize {
        let least = self.most_descriptors / 4;
        self.most_descriptors.saturating_sub(self.tenure.lent()).max(least)
    }

    /// A further descriptor, unless they would run out. The crowd at the door makes room for those who ask.
    pub fn hold_descriptor(&self) -> Option<Held> {
        let held = self.descriptors.get();
        let most = self.most_descriptors();
        let short = held >= most.saturating_sub(RESERVE);
        let spare = held < most.saturating_sub(LAST_RESERVE);
        (!short || spare && self.crowd.turn_one_out()).then(|| Held::new(&self.descriptors))
    }

    /// Marks a client's id as open; none if it is open already, or if the class does not exist.
    ///
    /// Each connection has an id of its own. Guards against a client that takes the id of another's open request:
    /// card servers turn it away, which must not be taken for their fault.
    pub fn open_id(&self, head: &SessionHead) -> Option<OpenId> {
        self.names.class(head.class()?)?;
        let id: Rc<str> = head.id().into();
        let fresh = self.open_ids.borrow_mut().insert(id.clone());
        fresh.then(|| OpenId { ids: self.open_ids.clone(), id })
    }

    /// Makes room for one more at the door; false while there is none.
    fn room_at_the_door(&self) -> bool {
        let most = self.most_descriptors();
        if self.crowd.len() >= most / CROWD_PART {
            self.crowd.turn_one_out();
        }
        let full = self.descriptors.get() >= most.saturating_sub(LAST_RESERVE);
        if full {
            self.crowd.turn_one_out();
        }
        !full
    }

    /// Whether a newcomer may be let in.
    pub fn may_let_in(&self) -> bool {
        // What was let in before a new process took over still gets its session: nobody else will serve it.
        (!self.closing || self.tenure.handed_over())
            && (self.seats.len() as u64) < self.settings.permissions.max_open_requests
    }

    /// Until when a session from before the run may look for its card server: long at the start, when the roll may
    /// lack it, and short later. Guards against clients that name a card server nobody knows and hold on for long.
    pub fn adopts_until(&self) -> Micros {
        (self.born + ADOPT_START).max(self.timers.clock.now() + ADOPT_LATER)
    }

    /// Whether clients are let in here and can be placed, or why not.
    pub fn can_serve(&self) -> Result<(), &'static str> {
        match (self.closing, self.withheld.listed()) {
            (true, _) => Err("on its way out"),
            (false, 0) => Err("no server roll yet"),
            (false, _) if self.tenure.door.is_none() && !self.tenure.handed_over() => {
                Err("not taken over yet")
            }
            (false, _) => Ok(()),
        }
    }

    /// Whether the relay is on its way out.
    pub fn closing(&self) -> bool {
        self.closing
    }

    /// Sessions that stand, and requests still open.
    fn open(&self) -> (Vec<RequestId>, usize) {
        let standing: Vec<RequestId> =
            self.seats.iter().filter(|(_, s)| s.stands).map(|(id, _)| *id).collect();
        let asking = self.seats.len() - standing.len();
        (standing, asking)
    }
}

/// Serves until it is told to stop.
///
/// The files are read again at SIGHUP.
pub fn serve(files: OperatorFiles) -> Result<(), String> {
    let config = Config::from_environment(&files)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
    LocalSet::new().block_on(&runtime, serve_here(config, files))
}

async fn serve_here(config: Config, files: OperatorFiles) -> Result<(), String> {
    let stop = graceful_shutdown::signal()?;
    let reloads = reload::signal(move || Config::again(&files))?;
    let folder = config.admin.and_then(|_| hot_restart::folder(config.listen)).map(Rc::new);
    let met = match &folder {
        Some(folder) => hot_restart::knock(folder).await?,
        None => None,
    };
    let (clients, from) = match met {
        Some((listener, from)) => (listener, Some(from)),
        None => {
            let told = |e| format!("{}: {e}", config.listen);
            (listener::open_listener(config.listen).map_err(told)?, None)
        }
    };
    let admin =
        config.admin.map(|at| listener::open_listener(at).map_err(|e| format!("`admin_addr` {at}: {e}")));
    serve_on(Listeners { clients, admin: admin.transpose()?, folder, from }, config, stop, reloads).await
}

/// Where a relay is reached.
pub struct Listeners {
    /// By clients.
    pub clients: TcpListener,
    /// By operators, where they can call.
    pub admin: Option<TcpListener>,
    /// Where processes of this relay meet, if they do.
    pub folder: Option<Rc<Folder>>,
    /// The process that has served here so far, if any lives.
    pub from: Option<Incumbent>,
}

/// Serves the connections of its listeners until `stop` resolves, and then empties the relay. It must run on a
/// [`LocalSet`]. Configurations that come by `reloads` are applied as far as they can be while it runs.
pub async fn serve_on(
    listeners: Listeners, config: Config, stop: impl Future<Output = ()>, reloads: reload::Reloads,
) -> Result<(), String> {
    let (name, listen, discovery) = (config.name.clone(), config.listen, config.discovery);
    let metrics = config.metrics.clone();
    let (relay, caller, asks) = Relay::new(config)?;
    if listeners.from.is_some() {
        // What was told to the old process binds this one: the whole roll, now, and again until it comes.
        relay.borrow_mut().ask_discovery(Ask::Renew(discovery));
    }
    if let Some(plan) = metrics {
        if let Some(folder) = &plan.state {
            relay.borrow_mut().take_up_counts(folder, &name);
        }
        exporter::run(&relay, &plan, &name);
    }
    tokio::task::spawn_local(discovery_client::follow(relay.clone(), discovery, caller, asks));
    tokio::task::spawn_local(turn_wheel(relay.clone()));
    tokio::task::spawn_local(tell_delays(relay.clone()));
    if relay.borrow().neighbors.is_some() {
        tokio::task::spawn_local(shared_health_check::bear(relay.clone()));
    }
    if let Some(admin) = listeners.admin {
        tokio::task::spawn_local(admin::serve(relay.clone(), admin));
    }
    tokio::task::spawn_local(reload::follow(relay.clone(), reloads));
    let clients = Rc::new(listeners.clients);
    let taken_over = match listeners.folder {
        Some(folder) => {
            tokio::task::spawn_local(hot_restart::enter(relay.clone(), folder, clients, listeners.from))
        }
        None => {
            listener::open(&relay, &clients);
            tokio::task::spawn_local(std::future::pending())
        }
    };
    info!(target: "relay", name, %listen, roll_version = relay.borrow().version, "serving");
    tokio::select! {
        () = stop => {}
        ended = taken_over => if let Ok(Err(why)) = ended {
            return Err(why);
        },
    }
    graceful_shutdown::drain(relay).await;
    info!(target: "relay", name, "stopped");
    Ok(())
}

async fn turn_wheel(relay: Shared) {
    let timers = relay.borrow().timers.clone();
    loop {
        let lag = timers.rest().await;
        relay.borrow_mut().meter(|book| book.record(Family::LoopLag, lag));
        for alarm in timers.due() {
            match alarm {
                Alarm::Wake(task) => task.wake(),
                Alarm::Decision(token) => relay.borrow_mut().feed(Event::TimerFired(token)),
            }
        }
    }
}

async fn tell_delays(relay: Shared) {
    let timers = relay.borrow().timers.clone();
    loop {
        timers.nap(message_latency::LOOK).await;
        relay.borrow_mut().tell_delays();
        relay.borrow_mut().measure_delay();
        relay.borrow_mut().tend_sites();
    }
}
