//! What happens to a balancer: requests, outcomes of attempts, endpoint updates, timers.

use std::sync::Arc;

use crate::ids::{
    AffinityGroup, AttemptId, CellId, ClassId, EndpointId, KindId, Micros, RequestId, SessionKey, TenantId,
    TimerToken, ZoneId, ZoneSet,
};

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
