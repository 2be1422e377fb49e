//! Admin commands of one line each, parsed without I/O.

/// The longest command in bytes, with its end of line.
pub const MAX_COMMAND_BYTES: usize = 256;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Return whether this process can serve.
    Status,
    /// Return the statistics.
    Stats,
    /// Put an endpoint in maintenance.
    MaintOn(String),
    /// End an endpoint's maintenance.
    MaintOff(String),
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminCommandError {
    /// Nothing but spaces.
    #[error("an empty call")]
    Empty,
    /// No end of the line within [`MAX_COMMAND_BYTES`] bytes.
    #[error("a call of over 256 bytes")]
    TooLong,
    /// The connection's sending side ended before the line did.
    #[error("a call without an end of its line")]
    Incomplete,
    /// Bytes that are no printable ASCII.
    #[error("a call that is not plain text")]
    NotAscii,
    /// The first word is not a command.
    #[error("no such call; there are status, stats, maint-on ID, maint-off ID")]
    UnknownCommand,
    /// The endpoint's id is missing.
    #[error("the id of a card server is missing")]
    MissingId,
    /// There are more words than the command takes.
    #[error("words beyond the call")]
    ExtraWords,
}

/// Parses a command from what was received so far; none while its line is incomplete.
///
/// # Errors
///
/// If the line is not a command or too long.
pub fn parse_buffered(bytes: &[u8]) -> Option<Result<AdminCommand, AdminCommandError>> {
    match bytes.iter().take(MAX_COMMAND_BYTES).position(|b| *b == b'\n') {
        Some(end) => Some(parse_line(&bytes[..end])),
        None => (bytes.len() >= MAX_COMMAND_BYTES).then_some(Err(AdminCommandError::TooLong)),
    }
}

/// Parses a whole line without its LF; a CR before it and spaces around words are ignored.
///
/// # Errors
///
/// If the line is not a command.
pub fn parse_line(line: &[u8]) -> Result<AdminCommand, AdminCommandError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let plain = line.iter().all(|b| b.is_ascii_graphic() || matches!(b, b' ' | b'\t'));
    let text = std::str::from_utf8(line).ok().filter(|_| plain).ok_or(AdminCommandError::NotAscii)?;
    let mut words = text.split_ascii_whitespace();
    let name = words.next().ok_or(AdminCommandError::Empty)?;
    let mut id = || words.next().map(str::to_owned).ok_or(AdminCommandError::MissingId);
    let command = match name {
        "status" => AdminCommand::Status,
        "stats" => AdminCommand::Stats,
        "maint-on" => AdminCommand::MaintOn(id()?),
        "maint-off" => AdminCommand::MaintOff(id()?),
        _ => return Err(AdminCommandError::UnknownCommand),
    };
    if words.next().is_some() { Err(AdminCommandError::ExtraWords) } else { Ok(command) }
}
