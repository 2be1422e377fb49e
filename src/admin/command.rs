//! The admin protocol's commands, one line each, and their parser.

/// The longest command, in bytes, including its line end.
pub const MAX_COMMAND_BYTES: usize = 256;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Report whether this process accepts clients.
    Status,
    /// Return the statistics.
    Stats,
    /// Start the maintenance of the endpoint with this id.
    MaintOn(String),
    /// End the maintenance of the endpoint with this id.
    MaintOff(String),
}

/// Why a line is not a valid command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminCommandError {
    /// The line is empty or has only spaces.
    #[error("the command is empty")]
    Empty,
    /// There is no line feed within [`MAX_COMMAND_BYTES`] bytes.
    #[error("the command is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    /// The client closed its sending side, or a timeout passed, before a line feed was received.
    #[error("the command does not end with a line feed")]
    Incomplete,
    /// The line has bytes other than printable ASCII, spaces and tabs.
    #[error("the command is not printable ASCII")]
    NotAscii,
    /// The first word is not a command.
    #[error("unknown command; expected status, stats, maint-on ID or maint-off ID")]
    UnknownCommand,
    /// The endpoint's id is missing.
    #[error("the endpoint id is missing")]
    MissingId,
    /// There are more words than the command takes.
    #[error("the command has too many words")]
    ExtraWords,
}

/// Parses a command from the bytes received so far. Returns `None` while its line is incomplete.
///
/// # Errors
///
/// If the line is too long or not a valid command.
pub fn parse_buffered(bytes: &[u8]) -> Option<Result<AdminCommand, AdminCommandError>> {
    match bytes.iter().take(MAX_COMMAND_BYTES).position(|b| *b == b'\n') {
        Some(end) => Some(parse_line(&bytes[..end])),
        None => (bytes.len() >= MAX_COMMAND_BYTES).then_some(Err(AdminCommandError::TooLong)),
    }
}

/// Parses a line without its LF; a CR at its end and spaces around words are ignored.
///
/// # Errors
///
/// If the line is not a valid command.
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
