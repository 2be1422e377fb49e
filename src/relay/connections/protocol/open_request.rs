//! The request that opens a connection: `OPEN ID KEY name=value,...`.

use std::io::IoSlice;
use std::ops::Range;

use bytes::Bytes;
use honeyknot_balancer::Micros;

use super::{MICROS_PER_MILLISECOND, ProtocolError};

/// The keyword at the start of a request, with the space after it.
const OPEN_PREFIX: &str = "OPEN ";

/// A parsed request that opens a connection. Text values are stored as their byte ranges in the line.
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
    /// Load that the client expects to cause, if it has sent an estimate.
    pub expected_load: Option<f64>,
    /// Whether the client marks the request as a retry.
    pub retry: bool,
    /// Whether the client's previous connection was migrated or broke.
    pub reconnecting: bool,
}

/// The time for which the client waits for a response.
#[derive(Clone, Debug)]
struct TimeRemaining {
    milliseconds: u64,
    /// Byte range of the digits in the line.
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
    /// Returns the field with this name on the wire, or `None` if the relay does not read it.
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

/// Returns whether these bytes can be the beginning of a request that opens a connection.
pub fn is_open_request_prefix(bytes: &[u8]) -> bool {
    bytes.iter().zip(OPEN_PREFIX.as_bytes()).all(|(received, expected)| received == expected)
}

impl OpenRequest {
    /// Parses a complete line, including its CRLF.
    ///
    /// # Errors
    ///
    /// Fails if the line is not a valid request.
    pub fn parse(line: Bytes) -> Result<OpenRequest, ProtocolError> {
        let text = parse_plain_text(&line)?;
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

    /// Parses a comma-separated list of fields; `start` is its position in the line.
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

    /// Returns the client's id for the connection.
    pub fn connection_id(&self) -> &str {
        self.text(&self.connection_id)
    }

    /// Returns the session key, by which the balancer assigns sessions to the same endpoint.
    pub fn session_key(&self) -> &str {
        self.text(&self.session_key)
    }

    /// Returns the name of the class, if the request contains one.
    pub fn class(&self) -> Option<&str> {
        self.optional_text(&self.class)
    }

    /// Returns the name of the affinity group, if the request contains one.
    pub fn affinity_group(&self) -> Option<&str> {
        self.optional_text(&self.affinity_group)
    }

    /// Returns the name of the tenant, if the request contains one.
    pub fn tenant(&self) -> Option<&str> {
        self.optional_text(&self.tenant)
    }

    /// Returns the id of the endpoint at which the connection was established before this relay started, if
    /// the request contains one.
    pub fn established_endpoint(&self) -> Option<&str> {
        self.optional_text(&self.established_endpoint)
    }

    /// Returns how long the client waits for a response in microseconds, at most `deadline`, which is also
    /// the default.
    ///
    /// Without the limit a client could occupy the relay for as long as it likes with an excessive value.
    pub fn time_remaining(&self, deadline: Micros) -> Micros {
        let time_remaining = self.time_remaining.as_ref();
        time_remaining
            .map_or(deadline, |time| time.milliseconds.saturating_mul(MICROS_PER_MILLISECOND).min(deadline))
    }

    /// Returns the line as slices for a vectored write, with the client's time remaining in milliseconds
    /// replaced by these digits. The line is unchanged if the client has sent no time.
    pub fn with_time_remaining_ms<'a>(&'a self, digits: &'a [u8]) -> [IoSlice<'a>; 3] {
        let (before, digits, after) = match &self.time_remaining {
            Some(time) => (&self.line[..time.digits.start], digits, &self.line[time.digits.end..]),
            None => (&self.line[..], &[][..], &[][..]),
        };
        [IoSlice::new(before), IoSlice::new(digits), IoSlice::new(after)]
    }

    /// Returns the line as the client sent it, including its CRLF.
    pub fn as_bytes(&self) -> &[u8] {
        &self.line
    }
}

/// Returns the text of a line without its CRLF.
///
/// Bytes other than printable ASCII and spaces are rejected here. An endpoint that cannot read a forwarded
/// request closes the connection, which would be counted as a failure of the endpoint.
fn parse_plain_text(line: &[u8]) -> Result<&str, ProtocolError> {
    let line = line.strip_suffix(b"\r\n").ok_or(ProtocolError::LineWithoutCrlf)?;
    let is_plain = line.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    std::str::from_utf8(line).ok().filter(|_| is_plain).ok_or(ProtocolError::NotPlainText)
}

fn parse_time_remaining(value: &str) -> Result<u64, ProtocolError> {
    let is_decimal = value.bytes().all(|byte| byte.is_ascii_digit());
    let milliseconds = value.parse().ok().filter(|milliseconds| is_decimal && *milliseconds > 0);
    milliseconds.ok_or(ProtocolError::InvalidTimeRemaining)
}
