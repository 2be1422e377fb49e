//! The line protocol between clients, the relay and endpoints: parsers and encoders without I/O.
//!
//! The words of the protocol (`OPEN`, `UP`, `BUSY`, `MOVE`, the names of fields) occur in this module only; other
//! modules use its types and constants.

mod endpoint_line;
mod error;
mod line_tracker;
mod open_request;

use std::net::SocketAddr;

use honeyknot_balancer::Micros;

pub use endpoint_line::{EndpointLine, load_report_value};
pub use error::ProtocolError;
pub(super) use line_tracker::LastLine;
pub use line_tracker::LineTracker;
pub use open_request::{OpenRequest, is_open_request_prefix};

/// The protocol counts in milliseconds, the relay in microseconds.
pub(super) const MICROS_PER_MILLISECOND: Micros = 1_000;
/// The maximum length of a line in bytes, with its CRLF.
pub const MAX_LINE_BYTES: usize = 4096;
/// The client's check that the relay is ready, without its CRLF.
pub const PING: &[u8] = b"PING";
/// The answer to [`PING`] of a relay that accepts requests.
pub const PONG: &[u8] = b"PONG\r\n";
/// The answer to a request that was rejected, without a time to retry after.
pub const REJECTED: &[u8] = b"BUSY\r\n";
/// The answer to a request that failed.
pub const FAILED: &[u8] = b"ERR\r\n";
/// Tells the client to reconnect through the front proxy.
pub const MIGRATE: &[u8] = b"MOVE\r\n";

/// The length of the first line with its CRLF, or nothing while it is incomplete.
///
/// # Errors
///
/// Fails if the line is too long or ends without a carriage return.
pub fn first_line_end(bytes: &[u8]) -> Result<Option<usize>, ProtocolError> {
    match bytes.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some(end + 1)),
        Some(_) => Err(ProtocolError::LineWithoutCarriageReturn),
        None if bytes.len() >= MAX_LINE_BYTES => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

/// The length of the complete lines that these bytes begin with.
pub fn complete_lines_len(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1)
}

/// A line without its end and other trailing white space.
pub fn without_line_end(line: &[u8]) -> &[u8] {
    line.trim_ascii_end()
}

/// Encodes a rejection with the time after which the client may retry, in milliseconds; 0 leaves it out.
pub fn encode_rejected(retry_after_ms: u64) -> Vec<u8> {
    match retry_after_ms {
        0 => REJECTED.to_vec(),
        milliseconds => format!("BUSY {milliseconds}\r\n").into_bytes(),
    }
}

/// Parses an address that can be connected to: its port is not 0.
pub fn parse_socket_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
}
