//! The table of metric families. A test compares it with the table in `docs/operate/metrics.md`.

/// Kind of a metric family.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A total that only increases. With persistent counters it also covers earlier processes of the relay.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution, exported as its count, some quantiles and its maximum.
    Histogram,
}

/// Description of a metric family.
#[derive(Clone, Copy, Debug)]
pub struct MetricDescriptor {
    /// Name, in lower case with `_` between words.
    pub name: &'static str,
    /// Kind of the family.
    pub kind: MetricKind,
    /// Unit of the values.
    pub unit: &'static str,
    /// Name of the tag that distinguishes the series of the family; empty if the family has only one series.
    pub tag: &'static str,
    /// All values of the tag. Empty if there is no tag, or if the tag is dynamic: its values are zones or
    /// classes, which are known only at run time.
    pub tag_values: &'static [&'static str],
    /// Help text for operators.
    pub help: &'static str,
}

macro_rules! metric_families {
    ($($id:ident = $name:literal, $kind:ident, $unit:literal, $tag:literal, [$($value:literal),*], $help:literal;)*) => {
        /// Descriptors of all families, each at the index of its [`MetricFamily`].
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
    Requests = "requests", Counter, "requests", "", [], "Valid requests";
    Established = "served", Counter, "requests", "", [], "Requests whose connection was established";
    RequestsRejected = "refused", Counter, "requests", "reason",
        ["decisions", "site_limit", "descriptors", "closing", "capacity"], "Requests answered BUSY";
    RequestsFailed = "failed", Counter, "requests", "cause",
        ["decisions", "malformed", "late", "spoke"], "Requests answered ERR";
    Attempts = "attempts", Counter, "attempts", "outcome",
        ["up", "served", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"],
        "Attempts by outcome; `up` if the connection was established";
    Retries = "retries", Counter, "attempts", "", [], "Attempts after the first of a request";
    Migrations = "moves", Counter, "sessions", "reason",
        ["decisions", "site", "restart", "silent"], "Connections that were sent MOVE";
    ConnectionsEnded = "ended", Counter, "sessions", "how",
        ["served", "client", "server", "moved", "reset", "passed"],
        "Established connections that ended, by how they ended";
    EndpointDrains = "drains", Counter, "card servers", "", [], "Endpoints that started to drain";
    HealthChecks = "probes", Counter, "probes", "outcome",
        ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"],
        "Health checks by outcome";
    BytesRelayed = "bytes", Counter, "bytes", "way", ["to_client", "to_server"],
        "Bytes relayed on established connections";
    DiscoveryFailures = "roll_failures", Counter, "calls", "", [], "Requests to discovery that failed";
    DiscoveryRequests = "roll_calls", Counter, "calls", "outcome",
        ["news", "quiet", "refused", "broken", "busy", "silent", "senseless"],
        "Requests to discovery by outcome; `quiet` if the endpoint list was unchanged";
    DroppedSamples = "dropped_points", Counter, "points", "", [],
        "Samples that were dropped before a sink received them";
    AttemptsByZone = "placed", Counter, "attempts", "site", [], "Attempts by the zone of the endpoint";
    ConnectionsSucceeded = "succeeded", Counter, "connections", "class", [],
        "Connections of a known class that were established";
    ConnectionsRejected = "declined", Counter, "connections", "class", [],
        "Connections of a known class that were rejected";
    ConnectionsAborted = "aborted", Counter, "connections", "class", [],
        "Connections of a known class that failed, or whose client disconnected first";
    AttemptsForwarded = "forwards", Counter, "attempts", "class", [],
        "Attempts whose request was written completely to an endpoint";
    EstablishedConnections = "sessions", Gauge, "sessions", "", [], "Established connections";
    PendingRequests = "asking", Gauge, "requests", "", [], "Requests that are not answered yet";
    DescriptorsInUse = "descriptors", Gauge, "descriptors", "", [], "File descriptors in use";
    IdleConnections = "crowd", Gauge, "connections", "", [], "Connections that have not sent a request yet";
    EndpointListVersion = "roll_version", Gauge, "version", "", [], "Version of the current endpoint list";
    DiscoveryAge = "roll_age", Gauge, "seconds", "", [], "Time since discovery last answered";
    StartedAt = "started", Gauge, "Unix seconds", "", [], "Start time of the relay process";
    SetupLatency = "setup", Histogram, "us", "", [], "Time from a request to UP";
    RejectionLatency = "refusal", Histogram, "us", "", [], "Time from a request to BUSY";
    MessageLatency = "message", Histogram, "us", "", [],
        "Time from a client's line to the next line from the endpoint";
    HealthCheckLatency = "probe", Histogram, "us", "", [], "Duration of health checks";
    TimerLag = "loop_lag", Histogram, "us", "", [], "Delay with which the relay's timers ran";
}

impl MetricKind {
    /// Returns the name of the kind in the output of `metrics names` and in the operators' table.
    pub fn as_str(self) -> &'static str {
        match self {
            MetricKind::Counter => "total",
            MetricKind::Gauge => "gauge",
            MetricKind::Histogram => "histogram",
        }
    }
}

impl MetricFamily {
    /// Returns the descriptor of the family.
    pub fn descriptor(self) -> &'static MetricDescriptor {
        &METRIC_FAMILIES[self as usize]
    }
}
