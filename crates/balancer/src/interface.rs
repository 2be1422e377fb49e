//! What goes into a [`Balancer`](crate::balancer::Balancer) and what comes out of it. All times are whole microseconds:
//! [`Micros`] is a point on a clock of the caller's choice, or a span on it.

use std::sync::Arc;

/// Microseconds: a point on the caller's clock, or a span of time.
pub type Micros = u64;

/// A request for a connection; never used twice by one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// The number of an attempt within its request, counted from 0 in the order of [`Action::Forward`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);
/// A server's address, the same at every balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub Arc<str>);
/// What names a client across its reconnections.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub Arc<str>);
/// What names a group of connections that share work on a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityGroup(pub Arc<str>);
/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
/// A zone; balancers and servers of equal `ZoneId` are near each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
/// The zones within which a request may be placed, for as long as it asks. A connection that stands is not touched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneSet(u128);

impl Default for ZoneSet {
    fn default() -> ZoneSet {
        ZoneSet::ALL
    }
}

impl ZoneSet {
    /// All zones.
    pub const ALL: ZoneSet = ZoneSet(u128::MAX);
    /// No zone.
    pub const EMPTY: ZoneSet = ZoneSet(0);
    /// Zones from this number on cannot be told apart: they are in no reach but [`ZoneSet::ALL`].
    pub const MAX_ZONES: usize = 128;

    /// This reach and one more zone.
    pub fn with(self, zone: ZoneId) -> ZoneSet {
        ZoneSet(self.0 | u32::try_from(zone.0).ok().and_then(|z| 1u128.checked_shl(z)).unwrap_or(0))
    }

    /// Whether a server of that zone is within reach; one without a zone always is.
    pub fn contains(self, zone: Option<ZoneId>) -> bool {
        self == ZoneSet::ALL || zone.is_none_or(|z| z.0 < ZoneSet::MAX_ZONES && self.0 >> z.0 & 1 == 1)
    }
}

/// A machine type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);
/// A cell: servers that share their memory of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);
/// Names a timer that the balancer asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated and refused freely.
    Idempotent,
    /// Repeats are dropped by the servers of a group, for a time.
    IdempotencyKey {
        /// Which servers drop the repeats.
        scope: DeduplicationScope,
        /// For how long, from the first attempt that may have run.
        window: Micros,
    },
    /// Must not run twice.
    AtMostOnce,
}

/// Which servers know of each other's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time has its full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's work.
    pub latency_objective_stretch: f64,
    /// All the time a client waits, over its tries.
    pub deadline: Micros,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// The part of the worth that is left between aim and deadline.
    pub late_value_fraction: f64,
    /// Whether attempts report [`Event::ConnectionEstablished`].
    pub stream: bool,
    /// Worth of one request, or of a unit of its work ([`Settings::worth_by_work`]).
    pub priority_weight: f64,
    /// How long a message on an open connection may take; 0 where nothing is said.
    pub message_latency_objective: Micros,
}

/// A tenant and what it is entitled to, over all balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share.
    pub quota_per_s: f64,
    /// Open connections within its share; infinite where nothing is said.
    pub quota_connections: f64,
    /// Its part of the service.
    pub fraction: f64,
}

/// How the list of servers reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes come unasked.
    Pushed,
    /// Changes come only after [`Action::Watch`] or [`Action::FetchEndpoints`].
    OnRequest,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With outcomes and probe results.
    Responses,
    /// With probe results only.
    HealthChecks,
    /// There are none.
    Unavailable,
}

/// What [`Endpoint::weight`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSemantics {
    /// Nothing: it is always 1.
    Unspecified,
    /// The registered size.
    Nominal,
    /// The size, roughly.
    Approximate,
    /// The size over one plus the requests held a core, some time ago.
    Live,
}

/// Whether connections end at the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardMode {
    /// They end at the balancer and die with it.
    Proxy,
    /// Their packets pass through and can move to another balancer.
    PassThrough,
}

/// What the service permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::SendPeerMessage`] may be used.
    pub peer_messages: bool,
    /// [`Action::CheckHealth`] may be used.
    pub health_checks: bool,
    /// Clients are told when to come back after a refusal.
    pub retry_after: bool,
    /// Two attempts of a request may be out at once.
    pub hedged_requests: bool,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// The most requests a balancer can hold.
    pub max_open_requests: u64,
    /// The longest wait that a client honours.
    pub max_retry_after: Micros,
    /// How many attempts one connection carries at a time.
    pub max_streams_per_connection: u64,
    /// An idle connection to a server is closed after this.
    pub idle_timeout: Micros,
    /// A connection that does not stand after this has failed.
    pub connect_timeout: Micros,
    /// CPU for a request with its outcomes; 0 is no limit.
    pub cpu_per_request: f64,
    /// CPU of a balancer each second.
    pub cpu_per_second: f64,
}

/// The figures of the rules that no run may break.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer counts until this long after the deadline.
    pub answer_grace: Micros,
    /// Without a watch, a balancer must ask for the list within this.
    pub max_list_age: Micros,
    /// A server begins with at least this part of its capacity.
    pub initial_capacity: f64,
    /// It has all of it after this time at the latest.
    pub slow_start_duration: Micros,
    /// Sends to a server that leaves must stop within this.
    pub drain_grace: Micros,
    /// A cold server falls over at this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... borne for this long.
    pub overload_duration: Micros,
}

/// What the parts of the result weigh.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// The whole time.
    pub overall: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
    /// The worst stretch.
    pub worst_window: f64,
}

/// What things cost, as parts of the result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Mean open connections over 100 a server.
    pub connection: f64,
    /// Attempts that cross zones, for each first try.
    pub cross_zone: f64,
    /// List lines over 100 first tries.
    pub discovery: f64,
    /// Mean fleet size over that at the start.
    pub fleet: f64,
    /// New connections to servers, for each first try.
    pub handshake: f64,
    /// Worth that ended unserved after its aim.
    pub late_failure: f64,
    /// Moves, for each first try.
    pub migration: f64,
    /// Fetches from the origin, for each first try.
    pub origin: f64,
    /// 256 bytes to a peer, for each first try.
    pub peer_message: f64,
    /// Probes, for each first try.
    pub health_check: f64,
    /// Work that served nobody, as a part of the work offered.
    pub wasted_work: f64,
}

/// All that a balancer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers share the servers.
    pub fleet_size: u32,
    /// This one's number among them.
    pub fleet_index: u32,
    /// The zone of this balancer, where zones exist.
    pub zone: Option<ZoneId>,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_quota_weight: f64,
    /// Worth counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// Clients mark their repeats.
    pub clients_mark_retries: bool,
    /// How the list arrives.
    pub discovery: DiscoveryMode,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// What the listed weights say.
    pub weights: WeightSemantics,
    /// Where connections end.
    pub forward_mode: ForwardMode,
    /// How long a server keeps a connection whose packets stay away.
    pub park_timeout: Micros,
    /// Connections of a group share work on a server.
    pub affinity_groups: bool,
    /// [`ConnectionUpdate::Load`] is sent.
    pub reports_connection_load: bool,
    /// [`ConnectionUpdate::MessageLatency`] is sent.
    pub reports_message_latency: bool,
    /// Events come at most this often.
    pub event_interval: Micros,
    /// Connections that cross zones are brought home by the decisions; else it is up to who sets the reach.
    pub rebalancing: bool,
    /// What is permitted.
    pub permissions: Permissions,
    /// The rules' figures.
    pub rules: Rules,
    /// What counts.
    pub objective_weights: ObjectiveWeights,
    /// What costs.
    pub prices: Prices,
}

/// A load report; what a server does not report is absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load asked over what the server can do.
    pub load: Option<f64>,
    /// Seconds of work piled up.
    pub backlog_s: Option<f64>,
    /// Requests or connections held.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// The part of its cores in use.
    pub utilization: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub served_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes connections.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Removed,
}

/// A line of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub id: EndpointId,
    /// Its machine type.
    pub kind: Option<KindId>,
    /// Its size against other servers', see [`WeightSemantics`].
    pub weight: f64,
    /// When it last started; 0 is long ago.
    pub started_at: Micros,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
}

/// News of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// All servers; one not named is gone.
    Full(Arc<Vec<Endpoint>>),
    /// All servers as last held before a restart.
    Cached(Arc<Vec<Endpoint>>),
    /// Only the servers that changed.
    Delta(Arc<Vec<Endpoint>>),
    /// A call failed or the watch broke; the list held stays.
    Failed,
}

/// A client's request for a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its client.
    pub session_key: Option<SessionKey>,
    /// Its group.
    pub affinity_group: Option<AffinityGroup>,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Expected load: microseconds of work a second.
    pub expected_load: Option<f64>,
    /// Time until the client gives this try up.
    pub time_remaining: Micros,
    /// The client came back after a break or a move.
    pub reconnecting: bool,
    /// The client marks this as a repeat.
    pub retry: bool,
    /// Packets of an open connection that another balancer placed.
    pub mid_flow: bool,
    /// Where it may be placed.
    pub allowed_zones: ZoneSet,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn, or the client left; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the server never ran the request.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// News of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionUpdate {
    /// The connection's load now: microseconds of work a second.
    Load(f64),
    /// Milliseconds that a message takes at its server now.
    MessageLatency(f64),
}

/// What happens to a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list changed, or a call for it failed.
    EndpointsUpdated {
        /// The list's version.
        version: u64,
        /// What changed.
        update: EndpointUpdate,
    },
    /// A client asks; it is owed exactly one final answer.
    Request(Request),
    /// A connection that stood through this balancer before its start; attempt 0 is made.
    ConnectionAdopted(Request, EndpointId),
    /// The connection stands: no deadline runs any more.
    ConnectionEstablished {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptId,
        /// The server.
        endpoint: EndpointId,
        /// Since it was sent.
        elapsed: Micros,
    },
    /// The one result of an attempt.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// The request is over; if not, the final answer is still owed.
        closed: bool,
        /// The server.
        endpoint: EndpointId,
        /// Since it was sent.
        elapsed: Micros,
        /// The server's report.
        report: Option<LoadReport>,
    },
    /// The client left; nothing is owed.
    ClientLeft(RequestId),
    /// The result of a probe.
    HealthCheckEnded {
        /// The server.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Since it was sent.
        elapsed: Micros,
        /// The server's report.
        report: Option<LoadReport>,
    },
    /// News of an attempt that is out.
    ConnectionUpdated {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptId,
        /// The server.
        endpoint: EndpointId,
        /// The news.
        update: ConnectionUpdate,
    },
    /// A timer's time has come.
    TimerFired(TimerToken),
    /// A peer's message.
    PeerMessage {
        /// The peer's number.
        from: u32,
        /// What it said.
        payload: Vec<u8>,
    },
}

/// What a balancer wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// The attempt's time-out.
        timeout: Micros,
        /// A repeat whose first byte is not written before this is not written at all: the card servers no longer know the first.
        send_before: Option<Micros>,
    },
    /// Final answer: refused, trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 says nothing.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// End an open connection politely; the client comes back.
    Migrate(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// Ask a server how it is.
    CheckHealth(EndpointId),
    /// Send [`Event::TimerFired`] after this.
    SetTimer {
        /// From now.
        delay: Micros,
        /// What to send.
        token: TimerToken,
    },
    /// Follow the list's changes, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    FetchEndpoints,
    /// Close idle connections to a server.
    CloseIdleConnections(EndpointId),
    /// Tell one peer, or all.
    SendPeerMessage {
        /// The peer's number; none is all.
        to: Option<u32>,
        /// At most 256 bytes.
        payload: Vec<u8>,
    },
    /// A line for the operators.
    Log(String),
}
