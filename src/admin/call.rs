//! The operators' calls: one line each, read without I/O.

use std::fmt;

/// The longest call that is read, with its end.
pub const LONGEST: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
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
pub enum Bad {
    /// Nothing but spaces.
    Empty,
    /// No end of the line within [`LONGEST`] bytes.
    TooLong,
    /// The connection's sending side ended before the line did.
    CutShort,
    /// Bytes that are no printable ASCII.
    NotPlain,
    /// The first word is no call.
    Unknown,
    /// The call needs the id of a card server.
    NoId,
    /// Words beyond those that the call has.
    Surplus,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Bad::Empty => "an empty call",
            Bad::TooLong => "a call of over 256 bytes",
            Bad::CutShort => "a call without an end of its line",
            Bad::NotPlain => "a call that is not plain text",
            Bad::Unknown => "no such call; there are status, stats, maint-on ID, maint-off ID",
            Bad::NoId => "the id of a card server is missing",
            Bad::Surplus => "words beyond the call",
        })
    }
}

/// Reads a call off what has come so far; none while its line may still be whole.
pub fn take(bytes: &[u8]) -> Option<Result<Call, Bad>> {
    match bytes.iter().take(LONGEST).position(|b| *b == b'\n') {
        Some(end) => Some(read(&bytes[..end])),
        None => (bytes.len() >= LONGEST).then_some(Err(Bad::TooLong)),
    }
}

/// Reads a whole line without its LF; a CR before it, and spaces around words, count for nothing.
pub fn read(line: &[u8]) -> Result<Call, Bad> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let plain = line.iter().all(|b| b.is_ascii_graphic() || matches!(b, b' ' | b'\t'));
    let text = std::str::from_utf8(line).ok().filter(|_| plain).ok_or(Bad::NotPlain)?;
    let mut words = text.split_ascii_whitespace();
    let name = words.next().ok_or(Bad::Empty)?;
    let mut id = || words.next().map(str::to_owned).ok_or(Bad::NoId);
    let call = match name {
        "status" => Call::Status,
        "stats" => Call::Stats,
        "maint-on" => Call::MaintOn(id()?),
        "maint-off" => Call::MaintOff(id()?),
        _ => return Err(Bad::Unknown),
    };
    if words.next().is_some() { Err(Bad::Surplus) } else { Ok(call) }
}
