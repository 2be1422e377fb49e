//! The table of metric families. `docs/operate/metrics.md` lists the same, and a test compares them.

/// The kind of a metric family.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A total that only grows, over all processes of a relay whose counters are persistent.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution, exported as its count and some quantiles.
    Histogram,
}

/// The description of a metric family.
#[derive(Clone, Copy, Debug)]
pub struct MetricDescriptor {
    /// The name: lower case, words joined by `_`.
    pub name: &'static str,
    /// The kind.
    pub kind: MetricKind,
    /// The unit of its values.
    pub unit: &'static str,
    /// The tag by which its series differ; empty where there is one.
    pub tag: &'static str,
    /// The values of that tag; empty where it is dynamic: its values are zones or classes, known when the relay runs.
    pub tag_values: &'static [&'static str],
    /// The meaning, for operators.
    pub help: &'static str,
}

macro_rules! metric_families {
    ($($id:ident = $name:literal, $kind:ident, $unit:literal, $tag:literal, [$($value:literal),*], $help:literal;)*) => {
        /// The descriptors, each at the index of its [`MetricFamily`].
        pub const METRIC_FAMILIES: &[MetricDescriptor] = &[$(MetricDescriptor {
            name: $name,
            kind: MetricKind::$kind,
            unit: $unit,
            tag: $tag,
            tag_values: &[$($value),*],
            help: $help,
        }),*];

        /// A metric family.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(usize)]
        pub enum MetricFamily {
            $(#[doc = $help] $id),*
        }
    };
}

metric_families! {
    Requests = "requests", Counter, "requests", "", [], "Heads of sessions that were understood";
    Established = "served", Counter, "requests", "", [], "Sessions that came up";
    RequestsRejected = "refused", Counter, "requests", "reason",
        ["decisions", "site_limit", "descriptors", "closing", "capacity"], "Requests answered BUSY";
    RequestsFailed = "failed", Counter, "requests", "cause",
        ["decisions", "malformed", "late", "spoke"], "Requests answered ERR";
    Attempts = "attempts", Counter, "attempts", "outcome",
        ["up", "served", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"],
        "Attempts at card servers by how they ended; `up` when the session came up";
    Retries = "retries", Counter, "attempts", "", [], "Attempts after a request's first";
    Migrations = "moves", Counter, "sessions", "reason",
        ["decisions", "site", "restart", "silent"], "Sessions that were sent MOVE";
    ConnectionsEnded = "ended", Counter, "sessions", "how",
        ["served", "client", "server", "moved", "reset", "passed"], "Sessions that stood, by how they ended";
    EndpointDrains = "drains", Counter, "card servers", "", [], "Drains of card servers that this relay was told of";
    HealthChecks = "probes", Counter, "probes", "outcome",
        ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"], "Probes by outcome";
    BytesRelayed = "bytes", Counter, "bytes", "way", ["to_client", "to_server"], "Bytes of sessions that were passed on";
    DiscoveryFailures = "roll_failures", Counter, "calls", "", [], "Calls to discovery that brought nothing";
    DiscoveryRequests = "roll_calls", Counter, "calls", "outcome",
        ["news", "quiet", "refused", "broken", "busy", "silent", "senseless"],
        "Calls to discovery by how they ended; `quiet` when there was nothing new";
    DroppedSamples = "dropped_points", Counter, "points", "", [], "Points that a sink never got";
    AttemptsByZone = "placed", Counter, "attempts", "site", [], "Attempts by the card server's site";
    ConnectionsSucceeded = "succeeded", Counter, "connections", "class", [], "Connections that were brought up";
    ConnectionsRejected = "declined", Counter, "connections", "class", [], "Connections of a known class that were refused";
    ConnectionsAborted = "aborted", Counter, "connections", "class", [], "Connections of a known class that failed, or whose client left first";
    AttemptsForwarded = "forwards", Counter, "attempts", "class", [], "Attempts that were written whole to a card server";
    EstablishedConnections = "sessions", Gauge, "sessions", "", [], "Sessions that stand";
    PendingRequests = "asking", Gauge, "requests", "", [], "Requests without an answer yet";
    DescriptorsInUse = "descriptors", Gauge, "descriptors", "", [], "Descriptors in use";
    IdleConnections = "crowd", Gauge, "connections", "", [], "Connections that have not asked yet";
    EndpointListVersion = "roll_version", Gauge, "version", "", [], "The roll's version that is held";
    DiscoveryAge = "roll_age", Gauge, "seconds", "", [], "Time since discovery last answered";
    StartedAt = "started", Gauge, "Unix seconds", "", [], "When this life of the relay began";
    SetupLatency = "setup", Histogram, "us", "", [], "From a request to its session's UP";
    RejectionLatency = "refusal", Histogram, "us", "", [], "From a request to its refusal";
    MessageLatency = "message", Histogram, "us", "", [], "From a client's line to the next line back";
    HealthCheckLatency = "probe", Histogram, "us", "", [], "What a probe took";
    TimerLag = "loop_lag", Histogram, "us", "", [], "How late the relay's timers ran";
}

impl MetricKind {
    /// Returns the kind's name in `metrics names` and in the operators' table.
    pub fn as_str(self) -> &'static str {
        match self {
            MetricKind::Counter => "total",
            MetricKind::Gauge => "gauge",
            MetricKind::Histogram => "histogram",
        }
    }
}

impl MetricFamily {
    /// Returns the family's descriptor.
    pub fn descriptor(self) -> &'static MetricDescriptor {
        &METRIC_FAMILIES[self as usize]
    }
}
