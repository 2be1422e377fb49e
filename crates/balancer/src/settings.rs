//! Settings of a balancer: request classes, tenants, permissions, rules, prices.

use crate::ids::{Micros, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times, so it may always be retried or rejected.
    Idempotent,
    /// Endpoints recognise repeats by an idempotency key and drop them, for a limited time.
    IdempotencyKey {
        /// The endpoints that share their record of keys.
        scope: DeduplicationScope,
        /// How long repeats are dropped, counted from the first attempt that may have run.
        window: Micros,
    },
    /// The request must not run twice.
    AtMostOnce,
}

/// The set of endpoints that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests that share objectives and a priority.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time has its full value.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's work.
    pub latency_objective_stretch: f64,
    /// How long a client waits in total, across its retries.
    pub deadline: Micros,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// Fraction of its value that an answer keeps between the latency objective and the deadline.
    pub late_value_fraction: f64,
    /// Whether attempts report [`crate::Event::ConnectionEstablished`].
    pub stream: bool,
    /// Value of a request, or of a unit of its work if [`Settings::weight_by_work`] is set.
    pub priority_weight: f64,
    /// How long a message on an established connection may take; 0 if there is no objective.
    pub message_latency_objective: Micros,
}

/// A tenant and its quotas across all balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within the tenant's quota; infinite if unlimited.
    pub quota_per_s: f64,
    /// Established connections within the tenant's quota; infinite if unlimited.
    pub quota_connections: f64,
    /// Fraction of the service that the tenant is entitled to.
    pub fraction: f64,
}

/// How the endpoint list reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without being requested.
    Pushed,
    /// Changes arrive only after [`crate::Action::Watch`] or [`crate::Action::FetchEndpoints`].
    OnRequest,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Load reports come with the outcomes of attempts and of health checks.
    Responses,
    /// Load reports come only with the outcomes of health checks.
    HealthChecks,
    /// Endpoints report no load.
    Unavailable,
}

/// How [`crate::Endpoint::weight`] is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSemantics {
    /// The weight carries no information and is always 1.
    Unspecified,
    /// The weight is the endpoint's registered capacity.
    Nominal,
    /// The weight approximates the endpoint's capacity.
    Approximate,
    /// The weight is the capacity divided by one plus the requests in flight per core, as of some time ago.
    Live,
}

/// Whether connections terminate at the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardMode {
    /// Connections terminate at the balancer and end when it stops.
    Proxy,
    /// Packets pass through the balancer, and another balancer can take over their connections.
    PassThrough,
}

/// What the service permits a balancer to do, and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Whether [`crate::Action::Cancel`] may be used.
    pub cancel: bool,
    /// Whether [`crate::Action::SendPeerMessage`] may be used.
    pub peer_messages: bool,
    /// Whether [`crate::Action::CheckHealth`] may be used.
    pub health_checks: bool,
    /// Whether a rejection tells the client when to retry.
    pub retry_after: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub hedged_requests: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of open requests at one balancer.
    pub max_open_requests: u64,
    /// Longest retry delay that clients honour.
    pub max_retry_after: Micros,
    /// Maximum number of concurrent attempts on one connection to an endpoint.
    pub max_streams_per_connection: u64,
    /// Time after which an idle connection to an endpoint is closed.
    pub idle_timeout: Micros,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Micros,
    /// CPU budget for a request and its outcomes; 0 if there is no limit.
    pub cpu_per_request: f64,
    /// CPU budget of a balancer per second.
    pub cpu_per_second: f64,
}

/// Rules of the service that every balancer must keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long after the deadline a final answer is still accepted.
    pub answer_grace: Micros,
    /// Longest interval between two fetches of the endpoint list by a balancer that does not watch it.
    pub max_list_age: Micros,
    /// Least fraction of its full capacity that an endpoint has right after its start.
    pub initial_capacity: f64,
    /// Longest time from an endpoint's start until it has its full capacity.
    pub slow_start_duration: Micros,
    /// Time after the beginning of a drain within which new attempts at the endpoint must stop.
    pub drain_grace: Micros,
    /// Load, as a multiple of its current capacity, that overloads an endpoint in slow start if it lasts for
    /// [`Rules::overload_duration`].
    pub overload_factor: f64,
    /// How long an endpoint in slow start withstands a load of [`Rules::overload_factor`].
    pub overload_duration: Micros,
}

/// Weights of the measurements that the service is rated by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of the result over the whole time.
    pub overall: f64,
    /// Weight of the class that is served worst.
    pub worst_class: f64,
    /// Weight of the tenant that is served worst.
    pub worst_tenant: f64,
    /// Weight of the time window with the worst result.
    pub worst_window: f64,
}

/// Prices of the resources that a balancer uses, as fractions of the rating.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of the mean number of established connections per endpoint, divided by 100.
    pub connection: f64,
    /// Price of attempts in another zone, per first attempt.
    pub cross_zone: f64,
    /// Price of endpoint list entries received, per 100 first attempts.
    pub discovery: f64,
    /// Price of the mean number of endpoints, relative to the number at the start.
    pub fleet: f64,
    /// Price of new connections to endpoints, per first attempt.
    pub handshake: f64,
    /// Price of requests that failed after their latency objective, by their value.
    pub late_failure: f64,
    /// Price of migrations, per first attempt.
    pub migration: f64,
    /// Price of fetches from the origin, per first attempt.
    pub origin: f64,
    /// Price of 256 bytes sent to another balancer, per first attempt.
    pub peer_message: f64,
    /// Price of health checks, per first attempt.
    pub health_check: f64,
    /// Price of work that served no client, by its fraction of the offered work.
    pub wasted_work: f64,
}

/// Settings of a balancer. They do not change after its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that share the endpoints.
    pub fleet_size: u32,
    /// Index of this balancer among them, from 0.
    pub fleet_index: u32,
    /// Zone of this balancer; `None` if there are no zones.
    pub zone: Option<ZoneId>,
    /// Classes of requests. [`crate::ClassId`] is an index into this list.
    pub classes: Vec<RequestClass>,
    /// Tenants; empty if there are none. [`crate::TenantId`] is an index into this list.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's quota, as a fraction of its value within the quota.
    pub over_quota_weight: f64,
    /// Whether value counts per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// How the endpoint list reaches the balancer.
    pub discovery: DiscoveryMode,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// How the endpoints' weights are derived.
    pub weights: WeightSemantics,
    /// Whether connections terminate at the balancer.
    pub forward_mode: ForwardMode,
    /// Time without packets after which an endpoint closes a connection.
    pub endpoint_idle_timeout: Micros,
    /// Whether connections of an affinity group share work on an endpoint.
    pub affinity_groups: bool,
    /// Whether [`crate::ConnectionUpdate::Load`] is reported.
    pub reports_connection_load: bool,
    /// Whether [`crate::ConnectionUpdate::MessageLatency`] is reported.
    pub reports_message_latency: bool,
    /// Least time between two events.
    pub event_interval: Micros,
    /// Whether the balancer migrates connections in other zones back to its own. If not, the caller that sets
    /// [`crate::Request::allowed_zones`] does so.
    pub rebalancing: bool,
    /// What the service permits, and its limits.
    pub permissions: Permissions,
    /// Rules of the service that every balancer must keep.
    pub rules: Rules,
    /// Weights of the measurements that the service is rated by.
    pub objective_weights: ObjectiveWeights,
    /// Prices of the resources that a balancer uses.
    pub prices: Prices,
}
