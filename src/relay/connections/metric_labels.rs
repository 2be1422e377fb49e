//! Tag values of the metrics that connections record.

use super::graceful_close::CloseKind;
use super::line_relay::ConnectionEnd;
use super::protocol::LastLine;
use crate::relay::metrics::labels::ConnectionEndReason;

/// Returns the reason for which an established connection ended, as it is recorded.
pub(super) fn connection_end_reason(end: ConnectionEnd, last_line: LastLine) -> ConnectionEndReason {
    match (end, last_line) {
        (ConnectionEnd::DownstreamClosed(_), _) => ConnectionEndReason::Client,
        (ConnectionEnd::Migrated | ConnectionEnd::EndpointSilent, _) => ConnectionEndReason::Migrated,
        (ConnectionEnd::Transferred, _) => ConnectionEndReason::Transferred,
        (ConnectionEnd::UpstreamClosed(_), LastLine::Completed) => ConnectionEndReason::Completed,
        (ConnectionEnd::UpstreamClosed(CloseKind::Reset), _) => ConnectionEndReason::EndpointReset,
        (ConnectionEnd::UpstreamClosed(CloseKind::Graceful), _) => ConnectionEndReason::Endpoint,
    }
}
