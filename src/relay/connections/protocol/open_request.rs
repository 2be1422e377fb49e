//! The request that opens a connection: `OPEN ID KEY name=value,...`.

use std::io::IoSlice;
use std::ops::Range;

use bytes::Bytes;
use honeyknot_balancer::Micros;

use super::{MICROS_PER_MILLISECOND, ProtocolError};

/// The word that a request begins with, and the space after it.
const OPEN_PREFIX: &str = "OPEN ";

/// A parsed request that opens a connection; it refers to its values by their position in the line.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    line: Bytes,
    connection_id: Range<usize>,
    session_key: Range<usize>,
    class: Option<Range<usize>>,
    affinity_group: Option<Range<usize>>,
    tenant: Option<Range<usize>>,
    established_endpoint: Option<Range<usize>>,
    time_remaining: Option<TimeRemaining>,
    /// The load that the client expects to cause, if it says so.
    pub expected_load: Option<f64>,
    /// The client marks the request as a retry.
    pub retry: bool,
    /// The client's previous connection was migrated or broke.
    pub reconnecting: bool,
}

/// The time that the client waits for an answer.
#[derive(Clone, Debug)]
struct TimeRemaining {
    milliseconds: u64,
    /// The position of its digits in the line.
    digits: Range<usize>,
}

/// A field of a request that the relay reads.
#[derive(Clone, Copy, Debug)]
enum Field {
    Class,
    AffinityGroup,
    Tenant,
    EstablishedEndpoint,
    TimeRemaining,
    ExpectedLoad,
    Retry,
    Reconnecting,
}

impl Field {
    /// The field of a name on the wire, unless it is one that only endpoints read.
    fn from_wire(name: &str) -> Option<Field> {
        match name {
            "c" => Some(Field::Class),
            "g" => Some(Field::AffinityGroup),
            "t" => Some(Field::Tenant),
            "at" => Some(Field::EstablishedEndpoint),
            "d" => Some(Field::TimeRemaining),
            "h" => Some(Field::ExpectedLoad),
            "r" => Some(Field::Retry),
            "again" => Some(Field::Reconnecting),
            _ => None,
        }
    }
}

/// Whether these bytes may be the beginning of a request that opens a connection.
pub fn is_open_request_prefix(bytes: &[u8]) -> bool {
    bytes.iter().zip(OPEN_PREFIX.as_bytes()).all(|(received, expected)| received == expected)
}

impl OpenRequest {
    /// Parses a complete line with its CRLF.
    ///
    /// # Errors
    ///
    /// Fails if the line is not valid by the protocol.
    pub fn parse(line: Bytes) -> Result<OpenRequest, ProtocolError> {
        let text = plain_text(&line)?;
        let mut words = text.split(' ');
        let (open, id, key) = (words.next(), words.next(), words.next());
        let (Some("OPEN"), Some(id), Some(key)) = (open, id, key) else {
            return Err(ProtocolError::NotAnOpenRequest);
        };
        let fields = words.next().unwrap_or("");
        if id.is_empty() || key.is_empty() || words.next().is_some() {
            return Err(ProtocolError::WrongWordCount);
        }
        let id_start = OPEN_PREFIX.len();
        let key_start = id_start + id.len() + 1;
        let mut request = OpenRequest {
            line: line.clone(),
            connection_id: id_start..id_start + id.len(),
            session_key: key_start..key_start + key.len(),
            class: None,
            affinity_group: None,
            tenant: None,
            established_endpoint: None,
            time_remaining: None,
            expected_load: None,
            retry: false,
            reconnecting: false,
        };
        request.parse_fields(fields, key_start + key.len() + 1)?;
        Ok(request)
    }

    /// Parses a comma-separated list of fields that starts at this position in the line.
    fn parse_fields(&mut self, fields: &str, start: usize) -> Result<(), ProtocolError> {
        let mut position = start;
        for field in fields.split(',').filter(|_| !fields.is_empty()) {
            let (name, value) = field.split_once('=').ok_or(ProtocolError::FieldWithoutValue)?;
            self.set_field(name, value, position + name.len() + 1)?;
            position += field.len() + 1;
        }
        Ok(())
    }

    fn set_field(&mut self, name: &str, value: &str, start: usize) -> Result<(), ProtocolError> {
        let position = start..start + value.len();
        if value.is_empty() {
            return Err(ProtocolError::FieldWithoutValue);
        }
        match Field::from_wire(name) {
            Some(Field::Class) => self.class = Some(position),
            Some(Field::AffinityGroup) => self.affinity_group = Some(position),
            Some(Field::Tenant) => self.tenant = Some(position),
            Some(Field::EstablishedEndpoint) => self.established_endpoint = Some(position),
            Some(Field::TimeRemaining) => {
                let milliseconds = parse_time_remaining(value)?;
                let time_remaining = TimeRemaining { milliseconds, digits: position };
                if self.time_remaining.replace(time_remaining).is_some() {
                    return Err(ProtocolError::RepeatedTimeRemaining);
                }
            }
            Some(Field::ExpectedLoad) => {
                let load = value.parse::<f64>().ok().filter(|load| load.is_finite() && *load >= 0.0);
                self.expected_load = Some(load.ok_or(ProtocolError::InvalidExpectedLoad)?);
            }
            Some(Field::Retry) => self.retry = value == "1",
            Some(Field::Reconnecting) => self.reconnecting = value == "1",
            None => {}
        }
        Ok(())
    }

    fn text(&self, position: &Range<usize>) -> &str {
        std::str::from_utf8(&self.line[position.clone()]).unwrap_or_default()
    }

    fn optional_text(&self, position: &Option<Range<usize>>) -> Option<&str> {
        position.as_ref().map(|position| self.text(position))
    }

    /// The id of the client's connection.
    pub fn connection_id(&self) -> &str {
        self.text(&self.connection_id)
    }

    /// The key by which sessions stick to an endpoint.
    pub fn session_key(&self) -> &str {
        self.text(&self.session_key)
    }

    /// The class's name.
    pub fn class(&self) -> Option<&str> {
        self.optional_text(&self.class)
    }

    /// The affinity group's name.
    pub fn affinity_group(&self) -> Option<&str> {
        self.optional_text(&self.affinity_group)
    }

    /// The tenant's name.
    pub fn tenant(&self) -> Option<&str> {
        self.optional_text(&self.tenant)
    }

    /// The id of the endpoint at which the connection was established before this relay started.
    pub fn established_endpoint(&self) -> Option<&str> {
        self.optional_text(&self.established_endpoint)
    }

    /// How long the client waits, in microseconds, at most its class's deadline.
    ///
    /// The deadline bounds it so that a client with an excessive value does not occupy the relay for as long.
    pub fn time_remaining(&self, deadline: Micros) -> Micros {
        let time_remaining = self.time_remaining.as_ref();
        time_remaining
            .map_or(deadline, |time| time.milliseconds.saturating_mul(MICROS_PER_MILLISECOND).min(deadline))
    }

    /// The line with another time remaining, given as digits, in pieces for a vectored write.
    pub fn with_time_remaining_ms<'a>(&'a self, digits: &'a [u8]) -> [IoSlice<'a>; 3] {
        let (before, digits, after) = match &self.time_remaining {
            Some(time) => (&self.line[..time.digits.start], digits, &self.line[time.digits.end..]),
            None => (&self.line[..], &[][..], &[][..]),
        };
        [IoSlice::new(before), IoSlice::new(digits), IoSlice::new(after)]
    }

    /// The line as the client sent it, with its CRLF.
    pub fn as_bytes(&self) -> &[u8] {
        &self.line
    }
}

/// The text of a line without its CRLF.
///
/// Other bytes than printable ASCII are rejected here: an endpoint that cannot read a forwarded request closes the
/// connection, which would count as its failure.
fn plain_text(line: &[u8]) -> Result<&str, ProtocolError> {
    let line = line.strip_suffix(b"\r\n").ok_or(ProtocolError::LineWithoutCrlf)?;
    let is_plain = line.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    std::str::from_utf8(line).ok().filter(|_| is_plain).ok_or(ProtocolError::NotPlainText)
}

fn parse_time_remaining(value: &str) -> Result<u64, ProtocolError> {
    let is_decimal = value.bytes().all(|byte| byte.is_ascii_digit());
    let milliseconds = value.parse().ok().filter(|milliseconds| is_decimal && *milliseconds > 0);
    milliseconds.ok_or(ProtocolError::InvalidTimeRemaining)
}
