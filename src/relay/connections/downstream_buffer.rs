//! A buffer for bytes from an endpoint, which are sent to the client in complete lines.

use bytes::BytesMut;

use super::client_stream::BUFFER_BYTES;
use super::protocol::{MIGRATE, complete_lines_len};

/// A buffer that releases only complete lines, so that the relay can insert its own line between two of them.
///
/// The exception is a line longer than the maximum, which is released in parts.
#[derive(Debug, Default)]
pub(super) struct DownstreamBuffer {
    /// Bytes that can be sent now.
    pub(super) sendable: BytesMut,
    /// The beginning of an incomplete line, which is held back.
    partial_line: BytesMut,
    /// Whether the beginning of an incomplete line has been released, because the line is longer than the
    /// maximum.
    partial_line_released: bool,
}

impl DownstreamBuffer {
    /// Restores the buffer of a transferred connection from the bytes that were not sent, and from whether
    /// the bytes received from the endpoint end with a complete line.
    pub(super) fn restore(unsent: &[u8], between_lines: bool) -> DownstreamBuffer {
        let (sendable, partial_line) = unsent.split_at(complete_lines_len(unsent));
        DownstreamBuffer {
            sendable: BytesMut::from(sendable),
            partial_line: BytesMut::from(partial_line),
            partial_line_released: partial_line.is_empty() && !between_lines,
        }
    }

    /// Returns all bytes that have not been sent to the client.
    pub(super) fn unsent(&self) -> Vec<u8> {
        [&self.sendable[..], &self.partial_line].concat()
    }

    /// Appends bytes received from the endpoint.
    pub(super) fn push(&mut self, bytes: BytesMut) {
        self.partial_line.unsplit(bytes);
        let complete = complete_lines_len(&self.partial_line);
        if complete == self.partial_line.len() || self.partial_line.len() >= BUFFER_BYTES {
            // A line longer than the maximum is not held back until its end.
            self.partial_line_released = complete < self.partial_line.len();
            self.sendable.unsplit(std::mem::take(&mut self.partial_line));
        } else if complete > 0 {
            self.partial_line_released = false;
            self.sendable.unsplit(self.partial_line.split_to(complete));
        }
    }

    /// Releases an incomplete line once the endpoint has closed its side: no more of it will arrive.
    pub(super) fn finish(&mut self) {
        self.sendable.unsplit(self.partial_line.split());
    }

    /// Returns whether there is nothing to send now.
    pub(super) fn is_empty(&self) -> bool {
        self.sendable.is_empty()
    }

    /// Returns the last bytes for a client that is migrated: all complete lines, and the line that tells it to
    /// reconnect.
    ///
    /// The beginning of an incomplete line is dropped if it has been held back. If it has been released, the
    /// client cannot be told.
    pub(super) fn into_final_bytes(self) -> BytesMut {
        let mut bytes = self.sendable;
        if !self.partial_line_released {
            bytes.extend_from_slice(MIGRATE);
        }
        bytes
    }
}
