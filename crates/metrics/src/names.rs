//! The names of all series, in one table: `docs/operate/metrics.md` lists the same, and a test compares them.

/// What a series is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A total that only grows, over all lives of the relay where its state lasts.
    Total,
    /// A value now.
    Gauge,
    /// A distribution, told by its count and some quantiles.
    Histogram,
}

/// A family of series.
#[derive(Clone, Copy, Debug)]
pub struct Name {
    /// Its name: lower case, words joined by `_`.
    pub name: &'static str,
    /// What it is.
    pub kind: Kind,
    /// The unit of its values.
    pub unit: &'static str,
    /// The tag by which its series differ; empty where there is one.
    pub tag: &'static str,
    /// The values of that tag; empty where they are sites or card servers, known only as the relay runs.
    pub values: &'static [&'static str],
    /// What it tells.
    pub help: &'static str,
}

macro_rules! names {
    ($($id:ident = $name:literal, $kind:ident, $unit:literal, $tag:literal, [$($value:literal),*], $help:literal;)*) => {
        /// The families, each at the place of its [`Family`].
        pub const NAMES: &[Name] = &[$(Name {
            name: $name,
            kind: Kind::$kind,
            unit: $unit,
            tag: $tag,
            values: &[$($value),*],
            help: $help,
        }),*];

        /// A family of series, named in code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(usize)]
        pub enum Family {
            $(#[doc = $help] $id),*
        }
    };
}

names! {
    Requests = "requests", Total, "requests", "", [], "Heads of sessions that were understood";
    Served = "served", Total, "requests", "", [], "Sessions that came up";
    Refused = "refused", Total, "requests", "reason",
        ["decisions", "site_limit", "descriptors", "closing", "capacity"], "Requests answered BUSY";
    Failed = "failed", Total, "requests", "cause",
        ["decisions", "malformed", "late", "spoke"], "Requests answered ERR";
    Attempts = "attempts", Total, "attempts", "outcome",
        ["up", "served", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"],
        "Attempts at card servers by how they ended; `up` when the session came up";
    Retries = "retries", Total, "attempts", "", [], "Attempts after a request's first";
    Moves = "moves", Total, "sessions", "reason",
        ["decisions", "site", "restart", "silent"], "Sessions that were sent MOVE";
    Ended = "ended", Total, "sessions", "how",
        ["served", "client", "server", "moved", "reset", "passed"], "Sessions that stood, by how they ended";
    Drains = "drains", Total, "card servers", "", [], "Drains of card servers that this relay was told of";
    Probes = "probes", Total, "probes", "outcome",
        ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"], "Probes by outcome";
    Bytes = "bytes", Total, "bytes", "way", ["to_client", "to_server"], "Bytes of sessions that were passed on";
    RollFailures = "roll_failures", Total, "calls", "", [], "Calls to discovery that brought nothing";
    RollCalls = "roll_calls", Total, "calls", "outcome",
        ["news", "quiet", "refused", "broken", "busy", "silent", "senseless"],
        "Calls to discovery by how they ended; `quiet` when there was nothing new";
    Dropped = "dropped_points", Total, "points", "", [], "Points that a sink never got";
    Placed = "placed", Total, "attempts", "site", [], "Attempts by the card server's site";
    Succeeded = "succeeded", Total, "connections", "class", [], "Connections that were brought up";
    Declined = "declined", Total, "connections", "class", [], "Connections of a known class that were refused";
    Aborted = "aborted", Total, "connections", "class", [], "Connections of a known class that failed, or whose client left first";
    Forwards = "forwards", Total, "attempts", "class", [], "Attempts that were written whole to a card server";
    Sessions = "sessions", Gauge, "sessions", "", [], "Sessions that stand";
    Asking = "asking", Gauge, "requests", "", [], "Requests without an answer yet";
    Descriptors = "descriptors", Gauge, "descriptors", "", [], "Descriptors in use";
    Crowd = "crowd", Gauge, "connections", "", [], "Connections that have not asked yet";
    RollVersion = "roll_version", Gauge, "version", "", [], "The roll's version that is held";
    RollAge = "roll_age", Gauge, "seconds", "", [], "Time since discovery last answered";
    Started = "started", Gauge, "Unix seconds", "", [], "When this life of the relay began";
    Setup = "setup", Histogram, "us", "", [], "From a request to its session's UP";
    Refusal = "refusal", Histogram, "us", "", [], "From a request to its refusal";
    Message = "message", Histogram, "us", "", [], "From a client's line to the next line back";
    Probe = "probe", Histogram, "us", "", [], "What a probe took";
    LoopLag = "loop_lag", Histogram, "us", "", [], "How late the relay's timers ran";
}

impl Family {
    /// The family's line of the table.
    pub fn name(self) -> &'static Name {
        &NAMES[self as usize]
    }
}
