//! Values of metric tags that connections record.

use super::graceful_close::CloseKind;
use super::line_relay::ConnectionEnd;
use super::protocol::LastLine;

/// Why a request was rejected without the balancer's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionReason {
    /// The relay shuts down.
    ShuttingDown,
    /// The maximum number of open requests is reached.
    MaxOpenRequests,
    /// No descriptor is free.
    Descriptors,
}

impl RejectionReason {
    pub(super) fn label(self) -> &'static str {
        match self {
            RejectionReason::ShuttingDown => "closing",
            RejectionReason::MaxOpenRequests => "capacity",
            RejectionReason::Descriptors => "descriptors",
        }
    }
}

/// Why a request failed without the balancer's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureCause {
    /// The request is not valid by the line protocol.
    ProtocolError,
    /// The client sent data before its request was answered.
    DataBeforeAnswer,
    /// The request was not answered in time.
    Overdue,
}

impl FailureCause {
    pub(super) fn label(self) -> &'static str {
        match self {
            FailureCause::ProtocolError => "malformed",
            FailureCause::DataBeforeAnswer => "spoke",
            FailureCause::Overdue => "late",
        }
    }
}

/// The label of an established connection's end.
pub(super) fn connection_end_label(end: ConnectionEnd, last_line: LastLine) -> &'static str {
    match (end, last_line) {
        (ConnectionEnd::DownstreamClosed(_), _) => "client",
        (ConnectionEnd::Migrated | ConnectionEnd::EndpointSilent, _) => "moved",
        (ConnectionEnd::Transferred, _) => "passed",
        (ConnectionEnd::UpstreamClosed(_), LastLine::Completed) => "served",
        (ConnectionEnd::UpstreamClosed(CloseKind::Reset), _) => "reset",
        (ConnectionEnd::UpstreamClosed(CloseKind::Graceful), _) => "server",
    }
}
