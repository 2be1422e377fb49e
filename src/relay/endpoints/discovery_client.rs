//! The server roll: carries out the calls to discovery that [`Caller`] wants, one at a time, and hands on what it believes.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use honeyknot_discovery::{
    DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, DiscoveryState, EndpointList,
    Poll,
};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{info, warn};

use crate::relay::SharedRelay;
use crate::relay::connections::protocol::socket_address;
use crate::relay::timer_wheel::Timers;
use crate::settings::NameTable;
use honeyknot_balancer::*;

/// A connection that is not up after this counts as a failed call: one lost packet is sent again after a second.
/// Guards against a reload that spends its whole time on an address where nothing answers.
const CONNECT_WAIT: Micros = 1_200_000;
/// The largest answer that is read.
const LARGEST: usize = 4 << 20;

/// News of the server roll.
#[derive(Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// Its version.
    pub version: u64,
    /// It names all card servers, not only those that changed.
    pub whole: bool,
    /// The card servers.
    pub entries: Vec<Endpoint>,
    /// Where this relay reaches them.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// Reads the roll in discovery's form.
pub fn read_roll(value: &Value, names: &NameTable) -> Result<EndpointListUpdate, String> {
    let version = value.get("version").and_then(Value::as_u64).ok_or("the roll has no version")?;
    let whole = value.get("full").and_then(Value::as_bool).ok_or("the roll does not say if it is whole")?;
    let servers = value.get("servers").and_then(Value::as_array).ok_or("the roll has no servers")?;
    let mut news = EndpointListUpdate { version, whole, entries: Vec::new(), addresses: Vec::new() };
    for server in servers {
        let entry = read_entry(server, names)?;
        match server.get("addr").and_then(Value::as_str).and_then(socket_address) {
            Some(addr) => news.addresses.push((entry.id.clone(), addr)),
            None if entry.state == EndpointState::Removed => {}
            None => return Err("a card server has no address".into()),
        }
        news.entries.push(entry);
    }
    Ok(news)
}

fn read_entry(server: &Value, names: &NameTable) -> Result<Endpoint, String> {
    let text = |name: &str| server.get(name).and_then(Value::as_str);
    let id = text("id").filter(|id| !id.is_empty()).ok_or("a card server has no id")?;
    let state = match text("state") {
        Some("active") => EndpointState::Ready,
        Some("leaving") => EndpointState::Draining,
        Some("left") => EndpointState::Removed,
        _ => return Err(format!("{id} has no known state")),
    };
    let number = |name: &str, default: f64| match server.get(name) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v.as_f64().filter(|n| *n >= 0.0).ok_or_else(|| format!("{id}: `{name}` is no number")),
    };
    Ok(Endpoint {
        id: EndpointId(id.into()),
        kind: text("kind").and_then(|k| names.kind(k)),
        weight: number("weight", 1.0)?,
        started_at: (number("started_ms", 0.0)? * 1e3) as Micros,
        zone: text("zone").and_then(|z| names.zone(z)),
        cell: CellId(number("cell", 0.0)? as u64),
        state,
    })
}

/// What the decisions want of discovery.
pub enum DiscoveryCommand {
    /// The whole roll, once.
    Fetch,
    /// Discovery is at this address from now on.
    Renew(SocketAddr),
    /// A card server that is listed as ready refused a connection.
    Refused,
}

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// What kind of trouble it was.
    pub trouble: DiscoveryErrorKind,
    /// In words.
    pub why: String,
}

impl Failure {
    fn new(trouble: DiscoveryErrorKind, why: impl ToString) -> Failure {
        Failure { trouble, why: why.to_string() }
    }

    fn io(e: io::Error) -> Failure {
        let refused = e.kind() == io::ErrorKind::ConnectionRefused;
        Failure::new(
            if refused {
                DiscoveryErrorKind::ConnectionRefused
            } else {
                DiscoveryErrorKind::ConnectionBroken
            },
            e,
        )
    }
}

impl From<&str> for Failure {
    fn from(why: &str) -> Failure {
        Failure::new(DiscoveryErrorKind::InvalidResponse, why)
    }
}

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

    /// Leaves the old address for a new one.
    fn go_to(&mut self, at: SocketAddr) {
        (self.at, self.line) = (at, None);
    }

    /// One call, by the connection that stands or else a new one.
    async fn call(&mut self, path: &str, wait: Micros) -> Result<Vec<u8>, Failure> {
        let timers = self.timers.clone();
        // Guards against taking an answer that is there for none, when the whole process stood still meanwhile.
        tokio::select! {
            biased;
            answer = self.exchange(path) => {
                if answer.is_err() {
                    self.line = None;
                }
                answer
            }
            () = timers.sleep(wait) => {
                self.line = None;
                Err(Failure::new(DiscoveryErrorKind::Timeout, "no answer in time"))
            }
        }
    }

    async fn connect(&self) -> Result<TcpStream, Failure> {
        tokio::select! {
            biased;
            line = TcpStream::connect(self.at) => line.map_err(Failure::io),
            () = self.timers.sleep(CONNECT_WAIT) => Err(Failure::new(DiscoveryErrorKind::Timeout, "no connection in time")),
        }
    }

    async fn exchange(&mut self, path: &str) -> Result<Vec<u8>, Failure> {
        let ask = format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.at);
        let mut line = match self.line.take().filter(lies_open) {
            Some(line) => line,
            None => self.connect().await?,
        };
        let _ = line.set_nodelay(true);
        line.write_all(ask.as_bytes()).await.map_err(Failure::io)?;
        let mut bytes = BytesMut::new();
        loop {
            if let Some(answer) = take_answer(&mut bytes)? {
                if !answer.closes {
                    self.line = Some(line);
                }
                let why = format!("status {}", answer.status);
                return match answer.status {
                    200 => Ok(answer.body),
                    429 | 503 => Err(Failure::new(
                        DiscoveryErrorKind::Overloaded { retry_after: answer.retry_after },
                        why,
                    )),
                    _ => Err(Failure::new(DiscoveryErrorKind::InvalidResponse, why)),
                };
            }
            if line.read_buf(&mut bytes).await.map_err(Failure::io)? == 0 {
                return Err(Failure::new(DiscoveryErrorKind::ConnectionBroken, "the answer ends early"));
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
    /// When to come again, where it says so in seconds.
    pub retry_after: Option<Micros>,
    /// Its body.
    pub body: Vec<u8>,
}

/// Takes an answer off the bytes read so far, once it is whole.
pub fn take_answer(bytes: &mut BytesMut) -> Result<Option<HttpAnswer>, Failure> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(start) =
        head.parse(bytes).map_err(|e| Failure::new(DiscoveryErrorKind::InvalidResponse, e))?
    else {
        return if bytes.len() > LARGEST { Err("the answer is too long".into()) } else { Ok(None) };
    };
    let status = head.code.unwrap_or(0);
    let value = |name: &str| {
        let header = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        header.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let closes = value("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let retry_after = value("retry-after").and_then(|v| v.parse::<u64>().ok());
    let retry_after = retry_after.map(|seconds| seconds.saturating_mul(1_000_000));
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
    Ok(Some(HttpAnswer { status, closes, retry_after, body }))
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

/// Why a call that is out is not waited for.
enum Interruption {
    /// Discovery has a new address.
    Renewed(SocketAddr),
    /// The list held shows to be old: the call must have fallen silent.
    Stale,
}

/// Takes a wish; why the call that is out is not waited for any more, if so.
fn heed(ask: DiscoveryCommand, poller: &mut DiscoveryPoller, now: Micros) -> Option<Interruption> {
    match ask {
        DiscoveryCommand::Fetch => {
            poller.request_full_list();
            None
        }
        DiscoveryCommand::Refused => poller.connection_refused(now).then_some(Interruption::Stale),
        DiscoveryCommand::Renew(at) => Some(Interruption::Renewed(at)),
    }
}

/// Takes wishes until one ends the call that is out; none once nobody can wish any more.
async fn interrupted(
    asks: &mut UnboundedReceiver<DiscoveryCommand>, poller: &mut DiscoveryPoller, timers: &Timers,
) -> Option<Interruption> {
    loop {
        let ask = asks.recv().await?;
        if let Some(why) = heed(ask, poller, timers.clock.now()) {
            return Some(why);
        }
    }
}

/// The path that makes a call.
fn path(request: DiscoveryRequest) -> String {
    match request {
        DiscoveryRequest::FullList => "/registry/instances".to_owned(),
        DiscoveryRequest::Watch { since_version, max_wait } => {
            format!("/registry/instances?index={since_version}&wait={}", max_wait / 1_000)
        }
    }
}

/// Makes the calls that [`Caller`] wants until the relay ends. Calls never overlap.
///
/// When to call is not the decisions' choice on sockets: the roll is followed from the start, also where the settings say that it
/// comes unasked, as it then lies ready at an agent and counts as told there. A reload drops the call that is out and asks the new
/// discovery for the whole roll. Guards against waiting at an address that answers no more while card servers drain unheard of;
/// the roll held stays in use meanwhile.
pub async fn follow(
    relay: SharedRelay, discovery: SocketAddr, mut poller: DiscoveryPoller,
    mut asks: UnboundedReceiver<DiscoveryCommand>,
) {
    let timers = relay.borrow().timers.clone();
    let mut desk = Desk::new(discovery, &timers);
    loop {
        relay.borrow_mut().list_state = poller.state();
        let due = poller.next_poll_at();
        tokio::select! {
            biased;
            ask = asks.recv() => {
                let Some(ask) = ask else { return };
                if let Some(Interruption::Renewed(at)) = heed(ask, &mut poller, timers.clock.now()) {
                    desk.go_to(at);
                    poller.change_service(timers.clock.now());
                }
                continue;
            }
            () = timers.sleep_until(due.unwrap_or(0)), if due.is_some() => {}
        }
        let Poll { request, timeout } = poller.start_poll(timers.clock.now());
        let path = path(request);
        let answer = tokio::select! {
            biased;
            why = interrupted(&mut asks, &mut poller, &timers) => Err(why),
            answer = ask_roll(&mut desk, &relay, &path, timeout) => Ok(answer),
        };
        match answer {
            Ok(Ok(news)) => {
                let doubted = poller.state() == DiscoveryState::ValidatingOlderList;
                let news = believed(&mut poller, timers.clock.now(), news);
                if !doubted && poller.state() == DiscoveryState::ValidatingOlderList {
                    warn!(target: "roll", version = news.version, "an older list: what it lacks stays for now");
                } else if doubted && poller.state() == DiscoveryState::Following {
                    info!(target: "roll", version = news.version, "the list is believed in whole again");
                }
                relay.borrow_mut().apply_endpoint_list(news);
            }
            Ok(Err(failure)) => {
                poller.poll_failed(timers.clock.now(), failure.trouble);
                relay.borrow_mut().discovery_failed(&failure);
            }
            Err(None) => return,
            Err(Some(Interruption::Stale)) => {
                desk.line = None;
                poller.poll_failed(timers.clock.now(), DiscoveryErrorKind::Timeout);
                let why = "listed card servers are gone and no news came";
                relay.borrow_mut().discovery_failed(&Failure::new(DiscoveryErrorKind::Timeout, why));
            }
            Err(Some(Interruption::Renewed(at))) => {
                desk.go_to(at);
                poller.change_service(timers.clock.now());
            }
        }
    }
}

/// What is believed of an answer.
fn believed(poller: &mut DiscoveryPoller, now: Micros, news: EndpointListUpdate) -> EndpointListUpdate {
    let told = news.entries.len();
    let answer = EndpointList { version: news.version, full: news.whole, endpoints: news.entries };
    let EndpointList { version, full: whole, endpoints: entries } = poller.poll_succeeded(now, answer);
    let mut addresses = news.addresses;
    if entries.len() < told {
        let known: BTreeSet<&EndpointId> = entries.iter().map(|entry| &entry.id).collect();
        addresses.retain(|(id, _)| known.contains(id));
    }
    EndpointListUpdate { version, whole, entries, addresses }
}

/// The poller of a relay that starts with this roll.
pub fn caller(settings: &Settings, seed: u64, known: &EndpointListUpdate, now: Micros) -> DiscoveryPoller {
    let held = EndpointList { version: known.version, full: true, endpoints: known.entries.clone() };
    // A seed of its own: the decisions draw from the same one.
    let seed = seed.rotate_left(32) ^ 0x115_7e4;
    let agent_drain_grace =
        (settings.discovery == DiscoveryMode::Pushed).then_some(settings.rules.drain_grace);
    let told = DiscoveryConfig {
        fleet_size: settings.fleet_size,
        max_list_age: settings.rules.max_list_age,
        agent_drain_grace,
        seed,
    };
    DiscoveryPoller::new(told, &held, now)
}

async fn ask_roll(
    desk: &mut Desk, relay: &SharedRelay, path: &str, wait: Micros,
) -> Result<EndpointListUpdate, Failure> {
    let body = desk.call(path, wait).await?;
    let senseless = |why: String| Failure::new(DiscoveryErrorKind::InvalidResponse, why);
    let value: Value = serde_json::from_slice(&body).map_err(|e| senseless(format!("not JSON: {e}")))?;
    read_roll(&value, &relay.borrow().names).map_err(senseless)
}
