//! The line protocol: parsers and writers, without I/O.

use std::io::IoSlice;
use std::net::SocketAddr;
use std::ops::Range;

use bytes::Bytes;

use honeyknot_balancer::Micros;

/// The longest line, with its end.
pub const MAX_LINE_BYTES: usize = 4096;
/// The answer to a request that failed.
pub const FAILED: &[u8] = b"ERR\r\n";
/// Sends a client away politely.
pub const MOVE: &[u8] = b"MOVE\r\n";

/// Why a line was not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Where the first line ends, past its CRLF; nothing while it is not whole.
pub fn first_line_end(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    match bytes.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') {
        Some(at) if at > 0 && bytes[at - 1] == b'\r' => Ok(Some(at + 1)),
        Some(_) => Err(Malformed("a line ends without CR")),
        None if bytes.len() >= MAX_LINE_BYTES => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// A line without its end.
pub fn bare(line: &[u8]) -> &[u8] {
    line.trim_ascii_end()
}

/// The head of a study session, parsed in place: the places of its values in the line.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    line: Bytes,
    id: Range<usize>,
    key: Range<usize>,
    class: Option<Range<usize>>,
    group: Option<Range<usize>>,
    tenant: Option<Range<usize>>,
    established_endpoint: Option<Range<usize>>,
    patience: Option<(u64, Range<usize>)>,
    /// The expected load, where told.
    pub expected_load: Option<f64>,
    /// The client marks a repeat.
    pub retry: bool,
    /// The client's session was moved or broke.
    pub reconnecting: bool,
}

/// Whether these bytes may be the beginning of a session's first line.
pub fn may_open(bytes: &[u8]) -> bool {
    bytes.iter().zip(b"OPEN ").all(|(a, b)| a == b)
}

impl OpenRequest {
    /// Parses a whole first line, with its CRLF.
    pub fn parse(line: Bytes) -> Result<OpenRequest, Malformed> {
        let whole = line.strip_suffix(b"\r\n").ok_or(Malformed("a line ends without CRLF"))?;
        // Guards against passing on what a card server cannot read: it would close, and look ill for it.
        let plain = whole.iter().all(|b| b.is_ascii_graphic() || *b == b' ');
        let text =
            std::str::from_utf8(whole).ok().filter(|_| plain).ok_or(Malformed("a line is not plain text"))?;
        let mut words = text.split(' ');
        let (open, id, key) = (words.next(), words.next(), words.next());
        let (Some("OPEN"), Some(id), Some(key)) = (open, id, key) else {
            return Err(Malformed("a first line is no OPEN with id and key"));
        };
        let figures = words.next().unwrap_or("");
        if id.is_empty() || key.is_empty() || words.next().is_some() {
            return Err(Malformed("an OPEN has words missing or too many"));
        }
        let key_at = 5 + id.len() + 1;
        let mut head = OpenRequest {
            line: line.clone(),
            id: 5..5 + id.len(),
            key: key_at..key_at + key.len(),
            class: None,
            group: None,
            tenant: None,
            established_endpoint: None,
            patience: None,
            expected_load: None,
            retry: false,
            reconnecting: false,
        };
        let mut at = key_at + key.len() + 1;
        for pair in figures.split(',').filter(|_| !figures.is_empty()) {
            let (name, value) = pair.split_once('=').ok_or(Malformed("a figure has no value"))?;
            head.figure(name, value, at + name.len() + 1)?;
            at += pair.len() + 1;
        }
        Ok(head)
    }

    fn figure(&mut self, name: &str, value: &str, at: usize) -> Result<(), Malformed> {
        let place = at..at + value.len();
        if value.is_empty() {
            return Err(Malformed("a figure has no value"));
        }
        match name {
            "c" => self.class = Some(place),
            "g" => self.group = Some(place),
            "t" => self.tenant = Some(place),
            "at" => self.established_endpoint = Some(place),
            "d" => {
                let digits = value.bytes().all(|b| b.is_ascii_digit());
                let wait = value.parse().ok().filter(|ms| digits && *ms > 0);
                let wait = wait.ok_or(Malformed("a client's wait is no number of 1 or more"))?;
                if self.patience.replace((wait, place)).is_some() {
                    return Err(Malformed("a client's wait is told twice"));
                }
            }
            "h" => {
                let hint = value.parse::<f64>().ok().filter(|h| h.is_finite() && *h >= 0.0);
                self.expected_load = Some(hint.ok_or(Malformed("a guess at the load is no number"))?);
            }
            "r" => self.retry = value == "1",
            "again" => self.reconnecting = value == "1",
            _ => {}
        }
        Ok(())
    }

    fn text(&self, place: &Range<usize>) -> &str {
        std::str::from_utf8(&self.line[place.clone()]).unwrap_or_default()
    }

    /// The id of the client's connection.
    pub fn connection_id(&self) -> &str {
        self.text(&self.id)
    }

    /// The flow's key.
    pub fn session_key(&self) -> &str {
        self.text(&self.key)
    }

    /// The class's name.
    pub fn class(&self) -> Option<&str> {
        self.class.as_ref().map(|p| self.text(p))
    }

    /// The shared deck.
    pub fn affinity_group(&self) -> Option<&str> {
        self.group.as_ref().map(|p| self.text(p))
    }

    /// The tenant's name.
    pub fn tenant(&self) -> Option<&str> {
        self.tenant.as_ref().map(|p| self.text(p))
    }

    /// The card server that held the session before the run.
    pub fn established_endpoint(&self) -> Option<&str> {
        self.established_endpoint.as_ref().map(|p| self.text(p))
    }

    /// How long the client waits, which is never longer than its class's deadline. Guards against a client that
    /// says it has time for ever: its request would be held as long.
    pub fn time_remaining(&self, deadline: Micros) -> Micros {
        self.patience.as_ref().map_or(deadline, |(ms, _)| ms.saturating_mul(1_000).min(deadline))
    }

    /// The line again with another wait, in pieces for a gathered write.
    pub fn with_time_remaining_ms<'a>(&'a self, digits: &'a [u8]) -> [IoSlice<'a>; 3] {
        let (before, digits, after) = match &self.patience {
            Some((_, place)) => (&self.line[..place.start], digits, &self.line[place.end..]),
            None => (&self.line[..], &[][..], &[][..]),
        };
        [IoSlice::new(before), IoSlice::new(digits), IoSlice::new(after)]
    }

    /// The line as it came.
    pub fn as_sent(&self) -> &[u8] {
        &self.line
    }
}

/// What a card server says in a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointLine<'a> {
    /// The session stands.
    Established,
    /// Served to its end.
    Completed(&'a str),
    /// The client is sent away.
    Migrate,
    /// An error.
    Failed(&'a str),
    /// Turned away.
    Rejected(&'a str),
    /// A probe's answer.
    Healthy(&'a str),
    /// Probes are not allowed.
    HealthCheckDisallowed,
    /// The session's load now.
    Load(f64),
    /// Anything else, between client and card server.
    Other,
}

impl<'a> EndpointLine<'a> {
    /// Reads a line, with or without its end.
    pub fn parse(line: &'a [u8]) -> EndpointLine<'a> {
        let Ok(text) = std::str::from_utf8(bare(line)) else { return EndpointLine::Other };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            // Without a receipt no card server made it for this session.
            "UP" if !rest.is_empty() => EndpointLine::Established,
            "BYE" => EndpointLine::Completed(rest),
            "MOVE" => EndpointLine::Migrate,
            "ERR" => EndpointLine::Failed(rest),
            "BUSY" => EndpointLine::Rejected(rest),
            "PONG" => EndpointLine::Healthy(rest),
            "NO" => EndpointLine::HealthCheckDisallowed,
            "LOAD" => match rest.parse::<f64>() {
                Ok(load) if load.is_finite() && load >= 0.0 => EndpointLine::Load(load),
                _ => EndpointLine::Other,
            },
            _ => EndpointLine::Other,
        }
    }
}

/// A value of a load report such as `inflight=7,queue=2`.
pub fn load_report_value(report: &str, name: &str) -> Option<f64> {
    let pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(n, _)| *n == name).find_map(|(_, value)| value.parse().ok())
}

/// A refusal, with the time to come back where one is told.
pub fn busy(retry_after_ms: u64) -> Vec<u8> {
    match retry_after_ms {
        0 => b"BUSY\r\n".to_vec(),
        ms => format!("BUSY {ms}\r\n").into_bytes(),
    }
}

/// Whether an address may be dialled at all.
pub fn socket_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|a: &SocketAddr| a.port() != 0)
}

/// How much of a line is kept to read its word: more than any report needs.
const KEPT: usize = 256;

/// Follows the lines that pass from a card server to a client, whatever pieces they come in.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LineTracker {
    kept: Vec<u8>,
    inside: bool,
}

impl LineTracker {
    /// Takes the next bytes and shows each line that ends in them.
    pub fn pass(&mut self, mut bytes: &[u8], mut seen: impl FnMut(EndpointLine<'_>)) {
        while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            self.keep(&bytes[..=end]);
            seen(EndpointLine::parse(&self.kept));
            self.kept.clear();
            self.inside = false;
            bytes = &bytes[end + 1..];
        }
        if !bytes.is_empty() {
            self.keep(bytes);
            self.inside = true;
        }
    }

    fn keep(&mut self, bytes: &[u8]) {
        let room = KEPT - self.kept.len().min(KEPT);
        self.kept.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Whether the last bytes ended a line.
    pub fn between_lines(&self) -> bool {
        !self.inside
    }
}
