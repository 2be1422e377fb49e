//! Settings of a balancer: request classes, permissions, rules, prices.

use crate::ids::{Micros, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated and rejected freely.
    Idempotent,
    /// Endpoints drop repeats by their idempotency key, for a time.
    IdempotencyKey {
        /// The endpoints that know of each other's keys.
        scope: DeduplicationScope,
        /// How long repeats are dropped, from the first attempt that may have run.
        window: Micros,
    },
    /// It must not run twice.
    AtMostOnce,
}

/// The endpoints that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time has its full value.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's work.
    pub latency_objective_stretch: f64,
    /// How long a client waits in all, over its tries.
    pub deadline: Micros,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// Fraction of the value that is left between the latency objective and the deadline.
    pub late_value_fraction: f64,
    /// Whether attempts report [`crate::Event::ConnectionEstablished`].
    pub stream: bool,
    /// Value of one request, or of a unit of its work if [`Settings::weight_by_work`] is set.
    pub priority_weight: f64,
    /// How long a message on an established connection may take; 0 where nothing is said.
    pub message_latency_objective: Micros,
}

/// A tenant and what it is entitled to, over all balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share.
    pub quota_per_s: f64,
    /// Established connections within its share; infinite where nothing is said.
    pub quota_connections: f64,
    /// Its fraction of the service.
    pub fraction: f64,
}

/// How the endpoint list reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes come without a request.
    Pushed,
    /// Changes come only after [`crate::Action::Watch`] or [`crate::Action::FetchEndpoints`].
    OnRequest,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With the outcomes of attempts and health checks.
    Responses,
    /// With the outcomes of health checks only.
    HealthChecks,
    /// There are none.
    Unavailable,
}

/// What [`crate::Endpoint::weight`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSemantics {
    /// Nothing: it is always 1.
    Unspecified,
    /// The registered capacity.
    Nominal,
    /// The capacity, roughly.
    Approximate,
    /// The capacity over one plus the requests in flight a core, some time ago.
    Live,
}

/// Whether connections end at the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardMode {
    /// They end at the balancer, and with it.
    Proxy,
    /// Their packets pass through and can move to another balancer.
    PassThrough,
}

/// What the service permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// [`crate::Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`crate::Action::SendPeerMessage`] may be used.
    pub peer_messages: bool,
    /// [`crate::Action::CheckHealth`] may be used.
    pub health_checks: bool,
    /// Rejected clients are told when to retry.
    pub retry_after: bool,
    /// Two attempts of a request may be in flight at once.
    pub hedged_requests: bool,
    /// Attempts of a request, at most.
    pub max_attempts: u32,
    /// Requests that a balancer can hold, at most.
    pub max_open_requests: u64,
    /// Longest time before a retry that a client honours.
    pub max_retry_after: Micros,
    /// Attempts that one connection carries at a time, at most.
    pub max_streams_per_connection: u64,
    /// An idle connection to an endpoint is closed after this time.
    pub idle_timeout: Micros,
    /// A connection that is not established after this time has failed.
    pub connect_timeout: Micros,
    /// CPU for a request with its outcomes; 0 for no limit.
    pub cpu_per_request: f64,
    /// CPU of a balancer each second.
    pub cpu_per_second: f64,
}

/// The rules that no run may break.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer counts until this time after the deadline.
    pub answer_grace: Micros,
    /// Without a watch, the endpoint list must be requested at least this often.
    pub max_list_age: Micros,
    /// Fraction of its capacity with which an endpoint begins, at least.
    pub initial_capacity: f64,
    /// Time after which it has its full capacity, at most.
    pub slow_start_duration: Micros,
    /// Sends to an endpoint that drains must stop within this time.
    pub drain_grace: Micros,
    /// Multiple of its present capacity that overloads an endpoint in slow start if it lasts for
    /// [`Rules::overload_duration`].
    pub overload_factor: f64,
    /// How long an endpoint in slow start bears [`Rules::overload_factor`].
    pub overload_duration: Micros,
}

/// Weights of the parts of the result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// The whole time.
    pub overall: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
    /// The worst window of time.
    pub worst_window: f64,
}

/// Prices of what a balancer uses, as fractions of the result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Mean established connections over 100 for each endpoint.
    pub connection: f64,
    /// Attempts that cross zones, for each first try.
    pub cross_zone: f64,
    /// Entries of endpoint lists, for 100 first tries.
    pub discovery: f64,
    /// Mean number of endpoints over that at the start.
    pub fleet: f64,
    /// New connections to endpoints, for each first try.
    pub handshake: f64,
    /// Value that ended unserved after its latency objective.
    pub late_failure: f64,
    /// Migrations, for each first try.
    pub migration: f64,
    /// Fetches from the origin, for each first try.
    pub origin: f64,
    /// 256 bytes to a peer, for each first try.
    pub peer_message: f64,
    /// Health checks, for each first try.
    pub health_check: f64,
    /// Work that served no client, as a fraction of the work offered.
    pub wasted_work: f64,
}

/// Settings of a balancer, which are fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that share the endpoints.
    pub fleet_size: u32,
    /// Index of this balancer among them.
    pub fleet_index: u32,
    /// The zone of this balancer, where zones exist.
    pub zone: Option<ZoneId>,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's share, as a fraction of the usual.
    pub over_quota_weight: f64,
    /// Value counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// Clients say which requests are repeats.
    pub clients_mark_retries: bool,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// What the endpoints' weights say.
    pub weights: WeightSemantics,
    /// Whether connections end at the balancer.
    pub forward_mode: ForwardMode,
    /// How long an endpoint keeps a connection without packets.
    pub endpoint_idle_timeout: Micros,
    /// Connections of an affinity group share work on an endpoint.
    pub affinity_groups: bool,
    /// [`crate::ConnectionUpdate::Load`] is sent.
    pub reports_connection_load: bool,
    /// [`crate::ConnectionUpdate::MessageLatency`] is sent.
    pub reports_message_latency: bool,
    /// Least time between events.
    pub event_interval: Micros,
    /// The balancer migrates connections back that cross zones; if not, whoever sets
    /// [`crate::Request::allowed_zones`] does.
    pub rebalancing: bool,
    /// What is permitted.
    pub permissions: Permissions,
    /// The rules that no run may break.
    pub rules: Rules,
    /// Weights of the parts of the result.
    pub objective_weights: ObjectiveWeights,
    /// Prices of what a balancer uses.
    pub prices: Prices,
}
