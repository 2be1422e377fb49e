//! Splits a byte stream into lines without buffering whole lines.

use serde::{Deserialize, Serialize};

use super::EndpointLine;

/// Maximum number of bytes of each line that are kept for parsing; load reports are shorter.
const MAX_PARSED_BYTES: usize = 256;

/// Tracks the lines that an endpoint sends in chunks of any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LineTracker {
    /// First bytes of the incomplete line, at most `MAX_PARSED_BYTES`.
    #[serde(rename = "kept")]
    line_start: Vec<u8>,
    #[serde(rename = "inside")]
    mid_line: bool,
}

impl LineTracker {
    /// Processes the next bytes and calls `on_line` for each line that ends within them.
    pub fn observe(&mut self, mut bytes: &[u8], mut on_line: impl FnMut(EndpointLine<'_>)) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.keep_line_start(&bytes[..=end]);
            on_line(EndpointLine::parse(&self.line_start));
            self.line_start.clear();
            self.mid_line = false;
            bytes = &bytes[end + 1..];
        }
        if !bytes.is_empty() {
            self.keep_line_start(bytes);
            self.mid_line = true;
        }
    }

    fn keep_line_start(&mut self, bytes: &[u8]) {
        let capacity_left = MAX_PARSED_BYTES - self.line_start.len().min(MAX_PARSED_BYTES);
        self.line_start.extend_from_slice(&bytes[..bytes.len().min(capacity_left)]);
    }

    /// Returns whether no line is incomplete.
    pub fn between_lines(&self) -> bool {
        !self.mid_line
    }
}

/// The kind of the last complete line that an endpoint sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(in crate::relay::connections) enum LastLine {
    /// The connection was completed.
    #[serde(rename = "Bye")]
    Completed,
    /// The endpoint asked the client to reconnect.
    #[serde(rename = "Move")]
    Migrate,
    /// The request failed.
    #[serde(rename = "Err")]
    Failed,
    /// Any other line, or no line yet.
    Other,
}

impl From<EndpointLine<'_>> for LastLine {
    fn from(line: EndpointLine<'_>) -> LastLine {
        match line {
            EndpointLine::Completed(_) => LastLine::Completed,
            EndpointLine::Migrate => LastLine::Migrate,
            EndpointLine::Failed(_) => LastLine::Failed,
            _ => LastLine::Other,
        }
    }
}
