//! The operators' calls: one line each, read without I/O.

use std::fmt;

/// The longest call that is read, with its end.
pub const MAX_COMMAND_BYTES: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process can serve.
    Status,
    /// The figures.
    Stats,
    /// Nothing more to this card server.
    MaintOn(String),
    /// Put this card server back.
    MaintOff(String),
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommandError {
    /// Nothing but spaces.
    Empty,
    /// No end of the line within [`MAX_COMMAND_BYTES`] bytes.
    TooLong,
    /// The connection's sending side ended before the line did.
    Incomplete,
    /// Bytes that are no printable ASCII.
    NotAscii,
    /// The first word is no call.
    UnknownCommand,
    /// The call needs the id of a card server.
    MissingId,
    /// Words beyond those that the call has.
    ExtraWords,
}

impl fmt::Display for AdminCommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdminCommandError::Empty => "an empty call",
            AdminCommandError::TooLong => "a call of over 256 bytes",
            AdminCommandError::Incomplete => "a call without an end of its line",
            AdminCommandError::NotAscii => "a call that is not plain text",
            AdminCommandError::UnknownCommand => {
                "no such call; there are status, stats, maint-on ID, maint-off ID"
            }
            AdminCommandError::MissingId => "the id of a card server is missing",
            AdminCommandError::ExtraWords => "words beyond the call",
        })
    }
}

/// Reads a call off what has come so far; none while its line may still be whole.
pub fn parse_buffered(bytes: &[u8]) -> Option<Result<AdminCommand, AdminCommandError>> {
    match bytes.iter().take(MAX_COMMAND_BYTES).position(|b| *b == b'\n') {
        Some(end) => Some(parse_line(&bytes[..end])),
        None => (bytes.len() >= MAX_COMMAND_BYTES).then_some(Err(AdminCommandError::TooLong)),
    }
}

/// Reads a whole line without its LF; a CR before it, and spaces around words, count for nothing.
pub fn parse_line(line: &[u8]) -> Result<AdminCommand, AdminCommandError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let plain = line.iter().all(|b| b.is_ascii_graphic() || matches!(b, b' ' | b'\t'));
    let text = std::str::from_utf8(line).ok().filter(|_| plain).ok_or(AdminCommandError::NotAscii)?;
    let mut words = text.split_ascii_whitespace();
    let name = words.next().ok_or(AdminCommandError::Empty)?;
    let mut id = || words.next().map(str::to_owned).ok_or(AdminCommandError::MissingId);
    let call = match name {
        "status" => AdminCommand::Status,
        "stats" => AdminCommand::Stats,
        "maint-on" => AdminCommand::MaintOn(id()?),
        "maint-off" => AdminCommand::MaintOff(id()?),
        _ => return Err(AdminCommandError::UnknownCommand),
    };
    if words.next().is_some() { Err(AdminCommandError::ExtraWords) } else { Ok(call) }
}
