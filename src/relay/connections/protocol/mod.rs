//! The line protocol between clients, the relay and endpoints: parsers and encoders without I/O.
//!
//! The keywords of the protocol (`OPEN`, `UP`, `BUSY`, `MOVE`, the names of fields) occur only in this
//! module; others use its types and constants.

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

/// Conversion factor from the milliseconds of the protocol to the microseconds of the relay.
pub(super) const MICROS_PER_MILLISECOND: Micros = 1_000;
/// Maximum length of a line in bytes, including its CRLF.
pub const MAX_LINE_BYTES: usize = 4096;
/// A client's request to check that the relay is ready, without its CRLF.
pub const PING: &[u8] = b"PING";
/// The response to [`PING`] from a relay that accepts requests.
pub const PONG: &[u8] = b"PONG\r\n";
/// The response to a request that was rejected, without a time after which to retry.
pub const REJECTED: &[u8] = b"BUSY\r\n";
/// The response to a request that failed.
pub const FAILED: &[u8] = b"ERR\r\n";
/// Tells the client to reconnect through the front proxy.
pub const MIGRATE: &[u8] = b"MOVE\r\n";

/// Returns the length of the first line including its CRLF, or `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the line is too long or its line feed is not preceded by a carriage return.
pub fn first_line_end(bytes: &[u8]) -> Result<Option<usize>, ProtocolError> {
    match bytes.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some(end + 1)),
        Some(_) => Err(ProtocolError::LineWithoutCarriageReturn),
        None if bytes.len() >= MAX_LINE_BYTES => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

/// Returns the total length of the complete lines at the start of these bytes.
pub fn complete_lines_len(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1)
}

/// Returns a line without its line end and any other trailing white space.
pub fn without_line_end(line: &[u8]) -> &[u8] {
    line.trim_ascii_end()
}

/// Encodes a rejection with the time in milliseconds after which the client may retry; 0 omits the time.
pub fn encode_rejected(retry_after_ms: u64) -> Vec<u8> {
    match retry_after_ms {
        0 => REJECTED.to_vec(),
        milliseconds => format!("BUSY {milliseconds}\r\n").into_bytes(),
    }
}

/// Parses an IP address with a port; returns `None` if it is not valid or the port is 0.
pub fn parse_socket_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
}
