//! The server roll: asks discovery, one call at a time, and hands on what it tells.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

use super::Shared;
use super::lines::address;
use super::wheel::Timers;
use crate::interface::*;
use crate::wire::Names;

/// How long a watch waits at discovery. Short enough that a discovery that went silent is noticed within the
/// time in which the list must be asked for, long enough that watches cost it next to nothing.
const WATCH_WAIT_MS: u64 = 5_000;
/// How long an answer may take beyond a watch's wait: discovery works through its calls in turn.
const ANSWER_WAIT: Micros = 3_000_000;
/// A connection that is not up after this counts as a failed call: one lost packet is sent again after a second.
/// Guards against a reload that spends its whole time on an address where nothing answers.
const CONNECT_WAIT: Micros = 1_200_000;
/// First pause before the whole roll is asked for again after a reload; it doubles up to 8 times this. The news
/// counts as told 4 s after the signal, so the decisions' own longer pauses are not waited for.
const RENEW_AGAIN: Micros = 200_000;
/// Pause after an answer. Well within the time in which a watch goes on; guards against a discovery that answers
/// at once each time.
const PAUSE: Micros = 20_000;
/// The largest answer that is read.
const LARGEST: usize = 4 << 20;

/// News of the server roll.
#[derive(Debug, PartialEq)]
pub struct RollNews {
    /// Its version.
    pub version: u64,
    /// It names all card servers, not only those that changed.
    pub whole: bool,
    /// The card servers.
    pub entries: Vec<ServerEntry>,
    /// Where this relay reaches them.
    pub addresses: Vec<(ServerId, SocketAddr)>,
}

/// Reads the roll in discovery's form.
pub fn read_roll(value: &Value, names: &Names) -> Result<RollNews, String> {
    let version = value.get("version").and_then(Value::as_u64).ok_or("the roll has no version")?;
    let whole = value.get("full").and_then(Value::as_bool).ok_or("the roll does not say if it is whole")?;
    let servers = value.get("servers").and_then(Value::as_array).ok_or("the roll has no servers")?;
    let mut news = RollNews { version, whole, entries: Vec::new(), addresses: Vec::new() };
    for server in servers {
        let entry = read_entry(server, names)?;
        match server.get("addr").and_then(Value::as_str).and_then(address) {
            Some(addr) => news.addresses.push((entry.server.clone(), addr)),
            None if entry.state == ServerState::Gone => {}
            None => return Err("a card server has no address".into()),
        }
        news.entries.push(entry);
    }
    Ok(news)
}

fn read_entry(server: &Value, names: &Names) -> Result<ServerEntry, String> {
    let text = |name: &str| server.get(name).and_then(Value::as_str);
    let id = text("id").filter(|id| !id.is_empty()).ok_or("a card server has no id")?;
    let state = match text("state") {
        Some("active") => ServerState::Ready,
        Some("leaving") => ServerState::Draining,
        Some("left") => ServerState::Gone,
        _ => return Err(format!("{id} has no known state")),
    };
    let number = |name: &str, default: f64| match server.get(name) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v.as_f64().filter(|n| *n >= 0.0).ok_or_else(|| format!("{id}: `{name}` is no number")),
    };
    Ok(ServerEntry {
        server: ServerId(id.into()),
        kind: text("kind").and_then(|k| names.kind(k)),
        weight: number("weight", 1.0)?,
        started: (number("started_ms", 0.0)? * 1e3) as Micros,
        zone: text("zone").and_then(|z| names.zone(z)),
        cell: CellId(number("cell", 0.0)? as u64),
        state,
    })
}

/// What the decisions want of discovery.
pub enum Ask {
    /// Follow the changes, or stop.
    Watch(bool),
    /// The whole roll, once.
    Fetch,
    /// Discovery is at this address from now on.
    Renew(SocketAddr),
}

/// Why a call brought nothing.
type Failure = String;

/// The connection to discovery, kept from call to call.
struct Desk {
    at: SocketAddr,
    line: Option<TcpStream>,
    timers: Rc<Timers>,
}

impl Desk {
    fn new(at: SocketAddr, timers: &Rc<Timers>) -> Desk {
        Desk { at, line: None, timers: timers.clone() }
    }

    /// Leaves the old address for a new one, if there is one.
    fn go_to(&mut self, at: Option<SocketAddr>) {
        if let Some(at) = at {
            (self.at, self.line) = (at, None);
        }
    }

    /// One call, by the connection that stands or else a new one.
    async fn call(&mut self, path: &str, wait: Micros) -> Result<Vec<u8>, Failure> {
        let timers = self.timers.clone();
        tokio::select! {
            answer = self.exchange(path) => {
                if answer.is_err() {
                    self.line = None;
                }
                answer
            }
            () = timers.nap(wait) => {
                self.line = None;
                Err("no answer in time".into())
            }
        }
    }

    async fn connect(&self) -> Result<TcpStream, Failure> {
        tokio::select! {
            line = TcpStream::connect(self.at) => line.map_err(|e| e.to_string()),
            () = self.timers.nap(CONNECT_WAIT) => Err("no connection in time".into()),
        }
    }

    async fn exchange(&mut self, path: &str) -> Result<Vec<u8>, Failure> {
        let ask = format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.at);
        let mut line = match self.line.take().filter(lies_open) {
            Some(line) => line,
            None => self.connect().await?,
        };
        let _ = line.set_nodelay(true);
        line.write_all(ask.as_bytes()).await.map_err(|e| e.to_string())?;
        let mut bytes = BytesMut::new();
        loop {
            if let Some(answer) = take_answer(&mut bytes)? {
                if !answer.closes {
                    self.line = Some(line);
                }
                return if answer.status == 200 {
                    Ok(answer.body)
                } else {
                    Err(format!("status {}", answer.status))
                };
            }
            if line.read_buf(&mut bytes).await.map_err(|e| e.to_string())? == 0 {
                return Err("the answer ends early".into());
            }
        }
    }
}

/// Whether a kept connection is still open: one that was closed while it lay idle is no failed call. Once the
/// call is written, a break is one, and is not tried again at once: discovery may be in trouble.
fn lies_open(line: &TcpStream) -> bool {
    matches!(line.try_read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// A whole HTTP answer.
#[derive(Debug, PartialEq)]
pub struct HttpAnswer {
    /// Its status.
    pub status: u16,
    /// Discovery will close the connection.
    pub closes: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// Takes an answer off the bytes read so far, once it is whole.
pub fn take_answer(bytes: &mut BytesMut) -> Result<Option<HttpAnswer>, Failure> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(start) = head.parse(bytes).map_err(|e| e.to_string())? else {
        return if bytes.len() > LARGEST { Err("the answer is too long".into()) } else { Ok(None) };
    };
    let status = head.code.unwrap_or(0);
    let value = |name: &str| {
        let header = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        header.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let closes = value("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let chunked = value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let (body, end) = if chunked {
        let Some(found) = chunks(&bytes[start..])? else { return Ok(None) };
        (found.0, start + found.1)
    } else {
        let length = value("content-length").map_or(Ok(0), |v| v.parse::<usize>());
        let length = length.ok().filter(|n| *n <= LARGEST).ok_or("the answer's length is no good")?;
        let Some(body) = bytes.get(start..start + length) else { return Ok(None) };
        (body.to_vec(), start + length)
    };
    bytes.advance(end);
    Ok(Some(HttpAnswer { status, closes, body }))
}

/// A chunked body and its length on the wire.
fn chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Failure> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let found = httparse::parse_chunk_size(&bytes[at..]).map_err(|_| "a chunk is malformed")?;
        let httparse::Status::Complete((begin, size)) = found else { return Ok(None) };
        let size = usize::try_from(size).ok().filter(|n| body.len().saturating_add(*n) <= LARGEST);
        let size = size.ok_or("the answer is too long")?;
        at += begin;
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// What is wanted of discovery now.
#[derive(Default)]
struct Wants {
    watch: bool,
    whole: bool,
    /// The whole roll of a new discovery, and how often asking for it failed.
    renewal: Option<u32>,
}

impl Wants {
    fn nothing(&self) -> bool {
        !self.watch && !self.whole && self.renewal.is_none()
    }

    /// Takes a wish; a new address comes back.
    fn note(&mut self, ask: Ask) -> Option<SocketAddr> {
        match ask {
            Ask::Watch(on) => self.watch = on,
            Ask::Fetch => self.whole = true,
            Ask::Renew(at) => {
                (self.watch, self.renewal) = (true, Some(0));
                return Some(at);
            }
        }
        None
    }

    /// Takes wishes until discovery has a new address; none once nobody can wish any more.
    async fn renewed(&mut self, asks: &mut UnboundedReceiver<Ask>) -> Option<SocketAddr> {
        loop {
            if let Some(at) = self.note(asks.recv().await?) {
                return Some(at);
            }
        }
    }

    /// The next call's path and the longest wait for its answer.
    fn next_call(&mut self, version: u64) -> (String, Micros) {
        if std::mem::take(&mut self.whole) || self.renewal.is_some() {
            return ("/registry/instances".to_owned(), ANSWER_WAIT);
        }
        let path = format!("/registry/instances?index={version}&wait={WATCH_WAIT_MS}");
        (path, WATCH_WAIT_MS * 1_000 + ANSWER_WAIT)
    }

    /// The call failed; how long to stay away from discovery before the next.
    fn failed(&mut self) -> Micros {
        match &mut self.renewal {
            Some(failures) => {
                *failures += 1;
                RENEW_AGAIN << (*failures - 1).min(3)
            }
            None => {
                // The decisions ask again in their own time; guards against hammering a discovery in trouble.
                self.watch = false;
                0
            }
        }
    }
}

/// Serves the decisions' wishes until the relay ends. Calls never overlap.
///
/// A reload drops the call that is out and asks the new discovery for the whole roll. Guards against waiting at
/// an address that answers no more while card servers drain unheard of; the roll held stays in use meanwhile.
pub async fn follow(relay: Shared, discovery: SocketAddr, mut asks: UnboundedReceiver<Ask>) {
    let timers = relay.borrow().timers.clone();
    let (mut desk, mut wants) = (Desk::new(discovery, &timers), Wants::default());
    loop {
        if wants.nothing() {
            match asks.recv().await {
                Some(ask) => desk.go_to(wants.note(ask)),
                None => return,
            }
            continue;
        }
        let (path, wait) = wants.next_call(relay.borrow().roll_version());
        let answer = tokio::select! {
            biased;
            at = wants.renewed(&mut asks) => Err(at),
            answer = ask_roll(&mut desk, &relay, &path, wait) => Ok(answer),
        };
        let pause = match answer {
            Ok(Ok(news)) => {
                wants.renewal = None;
                relay.borrow_mut().take_roll(news);
                PAUSE
            }
            Ok(Err(failure)) => {
                relay.borrow_mut().roll_failed(&failure);
                wants.failed()
            }
            Err(None) => return,
            Err(at) => {
                desk.go_to(at);
                continue;
            }
        };
        tokio::select! {
            biased;
            at = wants.renewed(&mut asks) => match at {
                None => return,
                at => desk.go_to(at),
            },
            () = timers.nap(pause) => {}
        }
    }
}

async fn ask_roll(desk: &mut Desk, relay: &Shared, path: &str, wait: Micros) -> Result<RollNews, Failure> {
    let body = desk.call(path, wait).await?;
    let value: Value = serde_json::from_slice(&body).map_err(|e| format!("not JSON: {e}"))?;
    read_roll(&value, &relay.borrow().names)
}
