//! The values of metric tags that the relay records.

use honeyknot_balancer::Outcome;

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum RejectionReason {
    /// The balancer rejected it.
    Balancer,
    /// The limit of the endpoints' zone is reached.
    ZoneLimit,
    /// The relay is shutting down.
    ShuttingDown,
    /// The maximum number of open requests is reached.
    MaxOpenRequests,
    /// No file descriptor is available.
    Descriptors,
}

impl RejectionReason {
    /// Returns the value of the tag `reason`.
    pub(in crate::relay) fn label(self) -> &'static str {
        match self {
            RejectionReason::Balancer => "decisions",
            RejectionReason::ZoneLimit => "site_limit",
            RejectionReason::ShuttingDown => "closing",
            RejectionReason::MaxOpenRequests => "capacity",
            RejectionReason::Descriptors => "descriptors",
        }
    }
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum FailureCause {
    /// The balancer gave up on the request.
    Balancer,
    /// The request violates the line protocol.
    ProtocolError,
    /// The client sent data before its request was answered.
    DataBeforeAnswer,
    /// The request was not answered by its deadline.
    Overdue,
}

impl FailureCause {
    /// Returns the value of the tag `cause`.
    pub(in crate::relay) fn label(self) -> &'static str {
        match self {
            FailureCause::Balancer => "decisions",
            FailureCause::ProtocolError => "malformed",
            FailureCause::DataBeforeAnswer => "spoke",
            FailureCause::Overdue => "late",
        }
    }
}

/// How an established connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum ConnectionEndReason {
    /// The endpoint closed or reset it after its last line had reported the connection as completed (`BYE`).
    Completed,
    /// The client closed or reset it.
    Client,
    /// The endpoint closed it without a reset, and its last line was not `BYE`.
    Endpoint,
    /// The endpoint reset it, and its last line was not `BYE`.
    EndpointReset,
    /// The client was asked to migrate.
    Migrated,
    /// It was transferred to another process of this relay.
    Transferred,
}

impl ConnectionEndReason {
    /// Returns the value of the tag `how`.
    pub(in crate::relay) fn label(self) -> &'static str {
        match self {
            ConnectionEndReason::Completed => "served",
            ConnectionEndReason::Client => "client",
            ConnectionEndReason::Endpoint => "server",
            ConnectionEndReason::EndpointReset => "reset",
            ConnectionEndReason::Migrated => "moved",
            ConnectionEndReason::Transferred => "passed",
        }
    }
}

/// The direction in which bytes of a connection are relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::relay) enum Direction {
    /// From the endpoint to the client.
    ToDownstream,
    /// From the client to the endpoint.
    ToUpstream,
}

impl Direction {
    /// Returns the index of the direction's value of the tag `way` in its metric family.
    pub(in crate::relay) fn index(self) -> usize {
        match self {
            Direction::ToDownstream => 0,
            Direction::ToUpstream => 1,
        }
    }
}

/// Returns the value of the tag `outcome` for an attempt.
pub(in crate::relay) fn attempt_outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}

/// Returns the value of the tag `outcome` for a health check.
pub(in crate::relay) fn health_check_outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        other => attempt_outcome_label(other),
    }
}
