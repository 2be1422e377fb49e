//! The real relay: one [`Balancer`] whose events come from sockets and whose actions are carried out on them.
//!
//! Everything runs on one thread. Each study session is a task (`session`) that talks to the relay by plain
//! calls and gets its orders by a queue of its own; no borrow of the relay is held across an await.

pub mod clock;
mod connection_table;
pub mod connections;
mod descriptors;
mod endpoint_table;
pub mod endpoints;
pub mod lifecycle;
pub mod metrics;
pub mod timer_wheel;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use honeyknot_discovery::{DiscoveryPoller, DiscoveryState};
use honeyknot_gossip::Plan as NeighborPlan;
use honeyknot_metrics::{Book, Family};
use honeyknot_zone_failover::{ZoneDecision, ZoneFailover};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use tracing::{info, trace};

use crate::admin;
use crate::gossip::GossipHandle;
use crate::settings::NameTable;
use clock::Clock;
pub use connection_table::ConnectionIdGuard;
use connection_table::{ConnectionEntry, ConnectionTable, CurrentAttempt, OpenConnectionIds};
use connections::idle::IdleConnections;
use connections::listener;
use connections::protocol::OpenRequest;
pub use descriptors::DescriptorPermit;
use descriptors::{DescriptorCounter, connection_descriptors};
use endpoint_table::EndpointTable;
use endpoints::discovery_client::{self, DiscoveryCommand, EndpointListUpdate};
use endpoints::health_check::{self, HealthCheckCommand};
use endpoints::message_latency::{self, MessageLatencies};
use endpoints::shared_health_check;
use endpoints::zone_failover;
use honeyknot_balancer::*;
use honeyknot_balancer::{Balancer, MaintenanceOverlay};
use lifecycle::config::{Config, OperatorFiles};
use lifecycle::hot_restart::{self, ListenerOwnership, Predecessor, StateDirectory};
use lifecycle::{graceful_shutdown, reload};
use metrics::exporter;
use metrics::recorder::{self, Answer};
use timer_wheel::{TimerEvent, Timers};

/// Sessions from before the run come up within this of the relay's start ...
const ADOPT_START: Micros = 40_000_000;
/// ... and one that names its card server later is owed an answer within 3 s, like any other.
const ADOPT_LATER: Micros = 2_000_000;
/// The relay as its tasks share it.
pub type SharedRelay = Rc<RefCell<Relay>>;

/// What the decisions want of a study session.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Dial this card server.
    Forward(AttemptRequest),
    /// Turn the client away.
    Reject(Micros),
    /// Tell the client that it failed.
    Fail,
    /// Send the client away politely.
    Migrate,
    /// Have another process of this relay go on with the session.
    Transfer,
    /// Give up the attempt of this number.
    Cancel(AttemptId),
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Its number.
    pub attempt: AttemptId,
    /// The card server.
    pub endpoint: EndpointId,
    /// Where this relay reaches it.
    pub address: SocketAddr,
    /// How long the answer may take.
    pub timeout: Micros,
    /// A repeat must be written before this.
    pub send_before: Option<Micros>,
}

/// The one owner of the decisions and of what they need to know of the sockets.
pub struct Relay {
    /// Clock and wheel.
    pub timers: Rc<Timers>,
    /// The settings' names.
    pub names: NameTable,
    settings: Settings,
    balancer: Balancer,
    endpoint_list_version: u64,
    /// What is known of each endpoint.
    endpoints: EndpointTable,
    /// The roll as discovery tells it, and which card servers are out by hand.
    maintenance: MaintenanceOverlay,
    connections: ConnectionTable,
    /// What messages take at the card servers.
    message_latencies: MessageLatencies,
    /// Losing and regaining sites, where the operators have switched it on.
    zone_failover: Option<ZoneFailover>,
    /// The relays nearby, where the operators have switched that on.
    gossip: Option<GossipHandle>,
    /// What is counted.
    metrics: Book,
    /// Where the counts outlast the relay, if anywhere.
    persistent_counters: Option<recorder::Lasting>,
    /// The sinks that are fed, by name.
    exporters: BTreeMap<String, exporter::Running>,
    /// When discovery last answered.
    discovery_answered_at: Micros,
    discovery_commands: UnboundedSender<DiscoveryCommand>,
    discovery_failing: bool,
    /// What the relay is doing about its list.
    list_state: DiscoveryState,
    events: VecDeque<Event>,
    descriptors_in_use: DescriptorCounter,
    max_descriptors: usize,
    idle_connections: IdleConnections,
    /// Ids of the clients' connections that are open.
    open_ids: OpenConnectionIds,
    shutting_down: bool,
    /// Operators can call this relay.
    admin_enabled: bool,
    /// What outlives this process, and who lets clients in.
    listener_ownership: ListenerOwnership,
    started_at: Micros,
    weak_self: Weak<RefCell<Relay>>,
}

impl Relay {
    /// A relay, its caller of discovery, and what the decisions will want of that.
    pub fn new(
        config: Config,
    ) -> Result<(SharedRelay, DiscoveryPoller, UnboundedReceiver<DiscoveryCommand>), String> {
        let timers = Timers::new(Clock::start());
        let born = timers.clock.now();
        let mut settings = config.settings;
        trace!(target: "relay", ?settings, "settings");
        let zone_failover =
            zone_failover::start(config.sites, &mut settings, &config.names, config.seed, born)
                .map_err(|error| error.to_string())?;
        let enter = |plan: &NeighborPlan| {
            GossipHandle::enter(plan, config.listen, settings.fleet_size, config.seed)
                .map_err(|e| e.to_string())
        };
        let neighbors = config.neighbors.as_ref().map(enter).transpose()?;
        let balancer =
            Balancer::new(settings.clone(), config.seed, born).map_err(|e| format!("settings: {e}"))?;
        let (asks, asked) = unbounded_channel();
        let known = config.known.unwrap_or(EndpointListUpdate {
            version: 0,
            whole: true,
            entries: Vec::new(),
            addresses: Vec::new(),
        });
        let caller = discovery_client::caller(&settings, config.seed, &known, born);
        let relay = Rc::new_cyclic(|me| {
            RefCell::new(Relay {
                timers,
                metrics: recorder::open(&config.metrics, &config.names),
                names: config.names,
                balancer,
                endpoint_list_version: 0,
                endpoints: EndpointTable::default(),
                maintenance: MaintenanceOverlay::default(),
                connections: ConnectionTable::default(),
                message_latencies: MessageLatencies::new(&settings),
                settings,
                zone_failover,
                gossip: neighbors,
                persistent_counters: None,
                exporters: BTreeMap::new(),
                discovery_answered_at: born,
                discovery_commands: asks,
                discovery_failing: false,
                list_state: DiscoveryState::Starting,
                events: VecDeque::new(),
                descriptors_in_use: DescriptorCounter::default(),
                max_descriptors: connection_descriptors(config.sockets, config.admin.is_some()),
                admin_enabled: config.admin.is_some(),
                listener_ownership: ListenerOwnership::default(),
                idle_connections: IdleConnections::default(),
                open_ids: OpenConnectionIds::default(),
                shutting_down: false,
                started_at: born,
                weak_self: me.clone(),
            })
        });
        relay.borrow_mut().apply_known_endpoints(known);
        Ok((relay, caller, asked))
    }

    // ---- Events ------------------------------------------------------------------------------------------

    /// Tells the decisions of an event and carries out what they want, in order.
    fn handle_event(&mut self, event: Event) {
        self.events.push_back(event);
        self.process_events();
    }

    /// Tells the decisions of the events that wait.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            trace!(target: "told", ?event);
            self.balancer.handle(self.timers.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                trace!(target: "wanted", ?action);
                self.execute_action(action);
            }
        }
    }

    /// Applies what of a new configuration can change while sessions stand: where discovery is, and how many
    /// descriptors there may be. The roll held stays in use until the new discovery tells its own.
    pub fn reconfigure(&mut self, config: &Config) {
        self.max_descriptors = connection_descriptors(config.sockets, self.admin_enabled);
        self.reconfigure_zone_failover(config);
        self.send_discovery_command(DiscoveryCommand::Renew(config.discovery));
    }

    /// A client asks for a session, of a class that must be known. It gets orders until its seat is left.
    pub fn request_connection(
        &mut self, head: &OpenRequest,
    ) -> Option<(RequestId, UnboundedReceiver<ConnectionCommand>)> {
        let mut request = self.build_request(head)?;
        let seat = self.register_connection(&request);
        self.update_metrics(|book| book.add(Family::Requests, 0, 1));
        match self.zone_decision(&request) {
            ZoneDecision::Allow(reach) => {
                request.allowed_zones = reach;
                self.handle_event(Event::Request(request));
            }
            // The decisions never hear of it: there is nothing to choose.
            ZoneDecision::Reject { retry_after: away } => {
                self.record_rejected("site_limit", Some(0));
                self.send_command(request.id, ConnectionCommand::Reject(away));
            }
        }
        Some(seat)
    }

    /// A session that stood at a card server before this relay started is up again.
    pub fn adopt_connection(
        &mut self, head: &OpenRequest, server: EndpointId,
    ) -> Option<(RequestId, UnboundedReceiver<ConnectionCommand>)> {
        self.record_unregistered_answer(head, Answer::Up);
        self.restore_connection(head, server)
    }

    /// A session stands that this process did not bring up.
    pub fn restore_connection(
        &mut self, head: &OpenRequest, server: EndpointId,
    ) -> Option<(RequestId, UnboundedReceiver<ConnectionCommand>)> {
        let request = self.build_request(head)?;
        let (id, orders) = self.register_connection(&request);
        let now = self.timers.clock.now();
        if let Some(seat) = self.connections.get_mut(id) {
            (seat.attempts, seat.established) = (1, true);
            seat.attempt =
                Some(CurrentAttempt { id: AttemptId(0), endpoint: server.clone(), started_at: now });
        }
        self.zone_connection_adopted(&request, &server);
        self.handle_event(Event::ConnectionAdopted(request, server));
        Some((id, orders))
    }

    fn register_connection(
        &mut self, request: &Request,
    ) -> (RequestId, UnboundedReceiver<ConnectionCommand>) {
        let (orders, queue) = unbounded_channel();
        let asked = self.timers.clock.now();
        let deadline = asked.saturating_add(request.time_remaining);
        let deck = request.affinity_group.clone();
        let (attempts, out, stands, class) = (0, None, false, request.class);
        let seat = ConnectionEntry {
            commands: orders,
            attempts,
            deadline,
            attempt: out,
            established: stands,
            class,
            affinity_group: deck,
            requested_at: asked,
        };
        self.connections.insert(request.id, seat);
        (request.id, queue)
    }

    fn build_request(&mut self, head: &OpenRequest) -> Option<Request> {
        let class = self.names.class(head.class()?)?;
        let deadline = self.settings.classes.get(class.0)?.deadline;
        Some(Request {
            id: self.connections.next_request_id(),
            class,
            session_key: Some(SessionKey(head.session_key().into())),
            affinity_group: head
                .affinity_group()
                .filter(|_| self.settings.affinity_groups)
                .map(|g| AffinityGroup(g.into())),
            tenant: head.tenant().and_then(|t| self.names.tenant(t)),
            expected_load: head.expected_load,
            time_remaining: head.time_remaining(deadline),
            reconnecting: head.reconnecting,
            retry: head.retry,
            mid_flow: false,
            allowed_zones: ZoneSet::ALL,
        })
    }

    /// The card server's `UP` has come: the session stands.
    pub fn connection_established(&mut self, id: RequestId) {
        let Some(seat) = self.connections.get_mut(id) else { return };
        seat.established = true;
        let Some(attempt) = seat.attempt.clone() else { return };
        let (asked, class) = (seat.requested_at, seat.class);
        self.record_answer(Some(class), Answer::Up);
        let took = self.timers.clock.now().saturating_sub(asked);
        self.record_established(took);
        let elapsed = self.timers.clock.now().saturating_sub(attempt.started_at);
        let CurrentAttempt { id: attempt, endpoint, .. } = attempt;
        self.zone_connection_established(id, &endpoint);
        self.handle_event(Event::ConnectionEstablished { id, attempt, endpoint, elapsed });
    }

    /// The attempt that was out has ended; `closed` if the client has its answer by that.
    pub fn attempt_ended(
        &mut self, id: RequestId, outcome: Outcome, closed: bool, report: Option<LoadReport>,
    ) {
        let Some(attempt) = self.connections.get_mut(id).and_then(|entry| entry.attempt.take()) else {
            return;
        };
        let CurrentAttempt { id: attempt, endpoint, started_at } = attempt;
        let elapsed = self.timers.clock.now().saturating_sub(started_at);
        if !self.connections.is_established(id) {
            self.record_attempt_ended(outcome);
        }
        self.zone_attempt_ended(id, &endpoint, outcome);
        self.handle_event(Event::AttemptEnded { id, attempt, outcome, closed, endpoint, elapsed, report });
    }

    /// The client of a session that does not stand gets its answer.
    pub fn request_answered(&mut self, id: RequestId, answer: Answer) {
        let class = self.connections.get(id).map(|seat| seat.class);
        self.record_answer(class, answer);
    }

    /// The session's task ends. Whatever the decisions still hold of it is settled.
    pub fn connection_closed(&mut self, id: RequestId, answered: bool) {
        let Some(seat) = self.connections.get(id) else { return };
        let (out, class) = (seat.attempt.is_some(), seat.class);
        if !answered && !seat.established {
            self.record_answer(Some(class), Answer::Failed);
            self.handle_event(Event::ClientLeft(id));
        }
        if out {
            self.attempt_ended(id, Outcome::Cancelled, true, None);
        }
        self.connections.remove(id);
    }

    /// The card server of a session's attempt.
    pub fn endpoint_of(&self, id: RequestId) -> Option<EndpointId> {
        self.connections.attempt(id).map(|attempt| attempt.endpoint.clone())
    }

    /// The card server told the session's load.
    pub fn connection_load_reported(&mut self, id: RequestId, load: f64) {
        if let Some(zone_failover) = &mut self.zone_failover {
            zone_failover.connection_load_reported(id, load);
        }
        self.connection_updated(id, ConnectionUpdate::Load(load));
    }

    /// A line of the client took this long to be answered.
    pub fn message_latency_measured(&mut self, id: RequestId, took: Micros) {
        if let Some(server) = self.endpoint_of(id) {
            self.update_metrics(|book| book.record(Family::Message, took));
            self.note_message_latency(server, took as f64 / 1e3, false);
        }
    }

    /// A message took this long at a card server.
    fn note_message_latency(&mut self, server: EndpointId, ms: f64, reported: bool) {
        if self.message_latencies.seen(self.timers.clock.now(), &server, ms, reported) {
            self.report_message_latency(&server, ms);
        }
    }

    /// Tells again of the delays that last, as far as they were seen of late.
    fn report_lasting_latencies(&mut self) {
        for (server, ms) in self.message_latencies.due(self.timers.clock.now()) {
            self.report_message_latency(&server, ms);
        }
    }

    /// Asks one of the card servers where sessions of this relay stand, the one that is due for longest.
    fn measure_message_latency(&mut self) {
        if self.shutting_down {
            return;
        }
        let endpoints = self.connections.established_endpoints();
        let candidates = endpoints.filter(|id| !self.endpoints.is_draining(id));
        if let Some(id) = self.message_latencies.next_to_measure(self.timers.clock.now(), candidates) {
            self.request_health_check(id);
            self.process_events();
        }
    }

    /// Tells of a delay on one of the sessions that stand there.
    fn report_message_latency(&mut self, server: &EndpointId, ms: f64) {
        if let Some(id) = self.connections.first_established_at(server) {
            self.connection_updated(id, ConnectionUpdate::MessageLatency(ms));
        }
    }

    fn connection_updated(&mut self, id: RequestId, note: ConnectionUpdate) {
        let Some(CurrentAttempt { id: attempt, endpoint, .. }) = self.connections.attempt(id).cloned() else {
            return;
        };
        self.handle_event(Event::ConnectionUpdated { id, attempt, endpoint, update: note });
    }

    /// A probe has ended.
    pub fn health_check_ended(
        &mut self, server: EndpointId, outcome: Outcome, elapsed: Micros, report: Option<LoadReport>,
    ) {
        let load = report.as_ref().and_then(|r| r.load);
        self.message_latencies.measured(self.timers.clock.now(), &server, load);
        self.zone_health_check_ended(&server, outcome, load);
        self.share_health_check(&server, outcome, report.as_ref());
        self.record_health_check(outcome, elapsed);
        let latency = report.as_ref().and_then(|r| r.latency_ms);
        self.handle_event(Event::HealthCheckEnded { endpoint: server.clone(), outcome, elapsed, report });
        if let Some(ms) = latency {
            self.note_message_latency(server, ms, true);
        }
    }

    // ---- Actions -----------------------------------------------------------------------------------------

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Forward { id, endpoint: server, timeout, send_before } => {
                self.start_attempt(id, server, timeout, send_before)
            }
            Action::Reject { id, retry_after } => {
                let asked = self.connections.get(id).map(|s| s.requested_at);
                let took = asked.map(|at| self.timers.clock.now().saturating_sub(at));
                self.record_rejected("decisions", took);
                self.send_command(id, ConnectionCommand::Reject(retry_after));
            }
            Action::Fail(id) => {
                self.record_failed("decisions");
                self.send_command(id, ConnectionCommand::Fail);
            }
            Action::Migrate(id) => {
                self.update_metrics(|book| book.count(Family::Moves, "decisions"));
                self.send_command(id, ConnectionCommand::Migrate);
            }
            Action::Cancel { id, attempt } => self.send_command(id, ConnectionCommand::Cancel(attempt)),
            Action::CheckHealth(server) => self.request_health_check(server),
            Action::CloseIdleConnections(server) => {
                self.send_health_check_command(server, HealthCheckCommand::Close)
            }
            Action::SetTimer { delay, token } => self.timers.decision(delay, token),
            // On sockets the list is followed from the start to the end: when to call is the caller's choice.
            Action::Watch(_) => {}
            Action::FetchEndpoints => self.send_discovery_command(DiscoveryCommand::Fetch),
            Action::Log(text) => info!(target: "decision", "{text}"),
            // Relays have no way to talk to each other here; the settings tell the decisions so.
            Action::SendPeerMessage { .. } => {}
        }
    }

    fn start_attempt(
        &mut self, id: RequestId, server: EndpointId, timeout: Micros, send_before: Option<Micros>,
    ) {
        let now = self.timers.clock.now();
        let Some(seat) = self.connections.get_mut(id) else { return };
        let attempt = AttemptId(seat.attempts);
        seat.attempts += 1;
        let left = seat.deadline.saturating_sub(now);
        let timeout = if timeout == 0 { left } else { timeout.min(left) };
        let spent = attempt.0 >= self.settings.permissions.max_attempts || left == 0 || seat.established;
        let ends = match self.endpoints.address(&server) {
            _ if spent => Outcome::NotSent,
            None => Outcome::ConnectFailed,
            Some(address) => {
                seat.attempt =
                    Some(CurrentAttempt { id: attempt, endpoint: server.clone(), started_at: now });
                let place =
                    AttemptRequest { attempt, endpoint: server.clone(), address, timeout, send_before };
                let _ = seat.commands.send(ConnectionCommand::Forward(place));
                self.zone_attempt_started(id, &server);
                self.record_attempt_started(attempt, &server);
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

    fn send_command(&mut self, id: RequestId, order: ConnectionCommand) {
        if let Some(seat) = self.connections.get(id) {
            // A session that has just ended no longer listens; its last word settles the request.
            let _ = seat.commands.send(order);
        }
    }

    fn send_health_check_command(&mut self, server: EndpointId, errand: HealthCheckCommand) {
        let Some(me) = self.weak_self.upgrade() else { return };
        let start = || health_check::start(me, server.clone());
        let _ = self.endpoints.health_check(&server, start).send(errand);
    }

    fn send_discovery_command(&self, ask: DiscoveryCommand) {
        let _ = self.discovery_commands.send(ask);
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
    pub fn max_retry_after(&self) -> Micros {
        if self.settings.permissions.retry_after { self.settings.permissions.max_retry_after } else { 0 }
    }

    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// Marks a client's id as open; none if it is open already, or if the class does not exist.
    ///
    /// Each connection has an id of its own. Guards against a client that takes the id of another's open request:
    /// card servers turn it away, which must not be taken for their fault.
    pub fn reserve_connection_id(&self, head: &OpenRequest) -> Option<ConnectionIdGuard> {
        self.names.class(head.class()?)?;
        self.open_ids.reserve(head.connection_id())
    }

    /// Whether a newcomer may be let in.
    pub fn can_admit(&self) -> bool {
        // What was let in before a new process took over still gets its session: nobody else will serve it.
        (!self.shutting_down || self.listener_ownership.handed_over())
            && (self.connections.count() as u64) < self.settings.permissions.max_open_requests
    }

    /// Until when a session from before the run may look for its card server: long at the start, when the roll may
    /// lack it, and short later. Guards against clients that name a card server nobody knows and hold on for long.
    pub fn adoption_deadline(&self) -> Micros {
        (self.started_at + ADOPT_START).max(self.timers.clock.now() + ADOPT_LATER)
    }

    /// Whether clients are let in here and can be placed, or why not.
    pub fn check_ready(&self) -> Result<(), &'static str> {
        match (self.shutting_down, self.maintenance.endpoint_count()) {
            (true, _) => Err("on its way out"),
            (false, 0) => Err("no server roll yet"),
            (false, _)
                if self.listener_ownership.accept_task.is_none()
                    && !self.listener_ownership.handed_over() =>
            {
                Err("not taken over yet")
            }
            (false, _) => Ok(()),
        }
    }

    /// Whether the relay is on its way out.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Sessions that stand, and requests still open.
    fn open_connections(&self) -> (Vec<RequestId>, usize) {
        let standing = self.connections.established();
        let asking = self.connections.count() - standing.len();
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
    let folder = config.admin.and_then(|_| hot_restart::open_state_directory(config.listen)).map(Rc::new);
    let met = match &folder {
        Some(folder) => hot_restart::connect_to_predecessor(folder).await?,
        None => None,
    };
    let (clients, from) = match met {
        Some((listener, from)) => (listener, Some(from)),
        None => {
            let told = |e| format!("{}: {e}", config.listen);
            (listener::bind(config.listen).map_err(told)?, None)
        }
    };
    let admin = config.admin.map(|at| listener::bind(at).map_err(|e| format!("`admin_addr` {at}: {e}")));
    serve_with_listeners(
        Listeners { clients, admin: admin.transpose()?, folder, from },
        config,
        stop,
        reloads,
    )
    .await
}

/// Where a relay is reached.
pub struct Listeners {
    /// By clients.
    pub clients: TcpListener,
    /// By operators, where they can call.
    pub admin: Option<TcpListener>,
    /// Where processes of this relay meet, if they do.
    pub folder: Option<Rc<StateDirectory>>,
    /// The process that has served here so far, if any lives.
    pub from: Option<Predecessor>,
}

/// Serves the connections of its listeners until `stop` resolves, and then empties the relay. It must run on a
/// [`LocalSet`]. Configurations that come by `reloads` are applied as far as they can be while it runs.
pub async fn serve_with_listeners(
    listeners: Listeners, config: Config, stop: impl Future<Output = ()>, reloads: reload::Reloads,
) -> Result<(), String> {
    let (name, listen, discovery) = (config.name.clone(), config.listen, config.discovery);
    let metrics = config.metrics.clone();
    let (relay, caller, asks) = Relay::new(config)?;
    if listeners.from.is_some() {
        // What was told to the old process binds this one: the whole roll, now, and again until it comes.
        relay.borrow_mut().send_discovery_command(DiscoveryCommand::Renew(discovery));
    }
    if let Some(plan) = metrics {
        if let Some(folder) = &plan.state {
            relay.borrow_mut().restore_counters(folder, &name);
        }
        exporter::run(&relay, &plan, &name);
    }
    tokio::task::spawn_local(discovery_client::follow(relay.clone(), discovery, caller, asks));
    tokio::task::spawn_local(turn_wheel(relay.clone()));
    tokio::task::spawn_local(tell_delays(relay.clone()));
    if relay.borrow().gossip.is_some() {
        tokio::task::spawn_local(shared_health_check::run(relay.clone()));
    }
    if let Some(admin) = listeners.admin {
        tokio::task::spawn_local(admin::serve(relay.clone(), admin));
    }
    tokio::task::spawn_local(reload::follow(relay.clone(), reloads));
    let clients = Rc::new(listeners.clients);
    let taken_over = match listeners.folder {
        Some(folder) => {
            tokio::task::spawn_local(hot_restart::run(relay.clone(), folder, clients, listeners.from))
        }
        None => {
            listener::start_accepting(&relay, &clients);
            tokio::task::spawn_local(std::future::pending())
        }
    };
    info!(target: "relay", name, %listen, roll_version = relay.borrow().endpoint_list_version, "serving");
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

async fn turn_wheel(relay: SharedRelay) {
    let timers = relay.borrow().timers.clone();
    loop {
        let lag = timers.rest().await;
        relay.borrow_mut().update_metrics(|book| book.record(Family::LoopLag, lag));
        for alarm in timers.due() {
            match alarm {
                TimerEvent::Wake(task) => task.wake(),
                TimerEvent::Decision(token) => relay.borrow_mut().handle_event(Event::TimerFired(token)),
            }
        }
    }
}

async fn tell_delays(relay: SharedRelay) {
    let timers = relay.borrow().timers.clone();
    loop {
        timers.sleep(message_latency::CHECK_INTERVAL).await;
        relay.borrow_mut().report_lasting_latencies();
        relay.borrow_mut().measure_message_latency();
        relay.borrow_mut().run_zone_failover();
    }
}
