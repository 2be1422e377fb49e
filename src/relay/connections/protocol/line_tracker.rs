//! Recognizes the lines of a byte stream without buffering them whole.

use serde::{Deserialize, Serialize};

use super::EndpointLine;

/// Bytes kept of each line to parse it: more than any load report has.
const MAX_PARSED_BYTES: usize = 256;

/// Follows the lines that an endpoint sends, in pieces of any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LineTracker {
    /// The first bytes of the incomplete line.
    #[serde(rename = "kept")]
    line_start: Vec<u8>,
    #[serde(rename = "inside")]
    mid_line: bool,
}

impl LineTracker {
    /// Takes the next bytes and calls `on_line` for each line that ends in them.
    pub fn observe(&mut self, mut bytes: &[u8], mut on_line: impl FnMut(EndpointLine<'_>)) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.keep(&bytes[..=end]);
            on_line(EndpointLine::parse(&self.line_start));
            self.line_start.clear();
            self.mid_line = false;
            bytes = &bytes[end + 1..];
        }
        if !bytes.is_empty() {
            self.keep(bytes);
            self.mid_line = true;
        }
    }

    fn keep(&mut self, bytes: &[u8]) {
        let capacity_left = MAX_PARSED_BYTES - self.line_start.len().min(MAX_PARSED_BYTES);
        self.line_start.extend_from_slice(&bytes[..bytes.len().min(capacity_left)]);
    }

    /// Whether the last bytes ended a line.
    pub fn between_lines(&self) -> bool {
        !self.mid_line
    }
}

/// The kind of the last complete line that an endpoint sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(in crate::relay::connections) enum LastLine {
    /// The connection was served to its end.
    #[serde(rename = "Bye")]
    Completed,
    /// The endpoint sends the client away.
    #[serde(rename = "Move")]
    Migrate,
    /// The request failed.
    #[serde(rename = "Err")]
    Failed,
    /// Any other line, or none yet.
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
