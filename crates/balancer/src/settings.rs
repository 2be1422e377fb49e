//! What a balancer is configured with: request classes, permissions, rules, prices.

use crate::ids::{Micros, ZoneId};

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
