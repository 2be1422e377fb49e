//! Bytes of an endpoint that wait to be sent to the client, held back until a line is complete.

use bytes::BytesMut;

use super::client_stream::BUFFER_BYTES;
use super::protocol::complete_lines_len;

/// A buffer that passes complete lines, so that a line of the relay's own always fits between two of them.
#[derive(Debug, Default)]
pub(super) struct DownstreamBuffer {
    /// What can be sent.
    pub(super) sendable: BytesMut,
    /// The beginning of a line, held back until the line is complete.
    partial_line: BytesMut,
    /// The client has the beginning of a line that is longer than the maximum.
    cut_line: bool,
}

impl DownstreamBuffer {
    /// The buffer of a transferred connection: what waits to be sent, and whether the endpoint is between two lines.
    pub(super) fn restore(unsent: &[u8], between_lines: bool) -> DownstreamBuffer {
        let (sendable, partial_line) = unsent.split_at(complete_lines_len(unsent));
        DownstreamBuffer {
            sendable: BytesMut::from(sendable),
            partial_line: BytesMut::from(partial_line),
            cut_line: partial_line.is_empty() && !between_lines,
        }
    }

    /// Everything that the client has not received.
    pub(super) fn unsent(&self) -> Vec<u8> {
        [&self.sendable[..], &self.partial_line].concat()
    }

    /// Adds bytes of the endpoint.
    pub(super) fn push(&mut self, bytes: BytesMut) {
        self.partial_line.unsplit(bytes);
        let complete = complete_lines_len(&self.partial_line);
        if complete == self.partial_line.len() || self.partial_line.len() >= BUFFER_BYTES {
            // The rest of a line that is longer than the maximum is not waited for.
            self.cut_line = complete < self.partial_line.len();
            self.sendable.unsplit(std::mem::take(&mut self.partial_line));
        } else if complete > 0 {
            self.cut_line = false;
            self.sendable.unsplit(self.partial_line.split_to(complete));
        }
    }

    /// Releases an incomplete line, as the endpoint has closed its side: the client receives what there is of it.
    pub(super) fn finish(&mut self) {
        self.sendable.unsplit(self.partial_line.split());
    }

    /// Whether nothing can be sent now.
    pub(super) fn is_empty(&self) -> bool {
        self.sendable.is_empty()
    }

    /// Whether the client has received complete lines only, and nothing waits to be sent.
    pub(super) fn at_line_boundary(&self) -> bool {
        self.sendable.is_empty() && !self.cut_line
    }
}
