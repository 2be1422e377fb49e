//! What the cases share: the relay as a process, and stand-ins for discovery, card servers and clients.
//!
//! Only the standard library is used. Every address is a loopback address, and every port is free when it is taken.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Milliseconds since the case began.
pub type Ms = u64;

/// The record of a case: each line is written at once to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn open(folder: &Path) -> Record {
        let file = std::fs::File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> Ms {
        self.started.elapsed().as_millis() as Ms
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:7} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// A temporary folder, removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        let parent = std::env::temp_dir();
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        let path = parent.join(format!("hk-review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ---------------------------------------------------------------------------------------------- relay process

/// What the settings of a case say where they differ from case to case.
pub struct SettingsOptions {
    pub fleet_size: u32,
    pub effect: &'static str,
    pub deadline_ms: u64,
    pub discovery: &'static str,
    pub probing: bool,
}

impl Default for SettingsOptions {
    fn default() -> SettingsOptions {
        SettingsOptions {
            fleet_size: 1,
            effect: "idempotent",
            deadline_ms: 1200,
            discovery: "on_request",
            probing: true,
        }
    }
}

/// The settings object, with the figures of the brief (one class, `study-session`).
pub fn settings(options: &SettingsOptions) -> String {
    let SettingsOptions { fleet_size, effect, deadline_ms, discovery, probing } = options;
    format!(
        r#"{{"clientHabits":{{"marksRetry":false}},"discovery":"{discovery}","family":"conn",
"familyInfo":{{"groups":false,"messageAimUs":[150000.0],"mode":"proxy","parkUs":0,"tellsDelay":true,"tellsLoad":true,
"tenantQuotaConnections":[]}},"fleetSize":{fleet_size},"me":0,"overShareWorth":0.1,
"permissions":{{"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"idleCloseUs":30000000,"maxAttempts":6,
"maxOpen":1000000,"maxRetryAfterUs":600000,"mayCancel":true,"multiplex":1048576,"peers":false,"probing":{probing},
"retryAfter":true,"secondCopies":false}},
"resultMix":{{"whole":0.95,"worstClass":0.0,"worstTenant":0.0,"worstWindow":0.05}},"roundUs":5000,
"rules":{{"coldUs":9000000,"fallUs":2000000,"graceToAnswerUs":20000,"mustAskInUs":10000000,"overloadFactor":3.0,
"startCapacity":0.32,"stopSendingWithinUs":500000}},
"services":[{{"aimUs":300000,"effect":"{effect}","group":"all","hardLimitUs":{deadline_us},"keyTtlUs":5000000,"lateShare":0.0,
"name":"study-session","stream":true,"worth":1.0}}],"shapes":["fast","standard","small"],
"tariffs":{{"connection":0.0,"crossZone":0.2,"discovery":0.0,"handshake":0.0,"lateFail":0.15,"moves":0.008,"origin":0.0,
"peer":0.0,"probe":0.0032,"waste":0.3}},"telemetry":{{"columns":["util","latency_ms","x0"],"source":"pull"}},"tenants":[],
"tier":0,"tiers":["card-servers"],"weights":"nominal","worthBy":"request","zone":"kasoa","zones":["kasoa"]}}"#,
        deadline_us = deadline_ms * 1000
    )
}

/// The configuration of one relay.
pub struct RelayConfig {
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
    pub sockets: u32,
}

impl RelayConfig {
    pub fn write(&self, seed: &str) -> PathBuf {
        let path = self.folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{},"settings":{}}}"#,
            self.listen, self.discovery, self.sockets, self.known, self.settings
        );
        // Replaced in one step, as a platform would.
        let new = self.folder.join("config.json.new");
        std::fs::write(&new, text).expect("the configuration can be written");
        std::fs::rename(&new, &path).expect("the configuration can be replaced");
        path
    }
}

/// Ids of the relays that this case has started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and the relays that it has started, if it takes longer than a script may.
fn start_watchdog() {
    thread::spawn(|| {
        sleep_ms(110_000);
        for id in RUNNING.lock().unwrap().iter() {
            // SAFETY: a plain system call on a process that this case has started and not waited for.
            unsafe { kill(*id as i32, SIGKILL) };
        }
        println!("COULD NOT RUN: it took too long");
        std::process::exit(2);
    });
}

pub struct Relay {
    pub child: Child,
}

/// Returns the value of `run` in the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("`run` in the deploy file");
    line["run = ".len()..].split('#').next().unwrap().trim().trim_matches('"').to_owned()
}

/// Starts a relay by `run` of the deploy file, through `/bin/sh -c`, from the root of the repository.
pub fn start_relay(
    root: &Path, config: &RelayConfig, tmpdir: &Path, admin: Option<SocketAddr>, seed: &str, log: &str,
) -> Relay {
    let path = config.write(seed);
    let log = std::fs::File::create(config.folder.join(log)).expect("the relay's log");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(run_command(root)).current_dir(root);
    for name in ["HONEYKNOT_SITES", "HONEYKNOT_NEIGHBORS", "HONEYKNOT_METRICS", "HONEYKNOT_LOG"] {
        command.env_remove(name);
    }
    command.env("EDGE_NAME", "n0").env("EDGE_LISTEN", config.listen.to_string());
    command.env("EDGE_DISCOVERY", config.discovery.to_string()).env("EDGE_CONFIG", &path).env("TMPDIR", tmpdir);
    match admin {
        Some(admin) => command.env("EDGE_ADMIN_ADDR", admin.to_string()),
        None => command.env_remove("EDGE_ADMIN_ADDR"),
    };
    command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
    let child = command.spawn().expect("the relay can be started");
    RUNNING.lock().unwrap().push(child.id());
    Relay { child }
}

impl Relay {
    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call on the process that this case has started and not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        let exited = self.child.try_wait().ok().flatten().is_some();
        if exited {
            RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
        }
        exited
    }

    /// Ends the process if it still runs.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits until a relay answers `PING` with `PONG`.
pub fn wait_ready(listen: SocketAddr, limit_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < end {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let mut answer = [0; 16];
            if stream.write_all(b"PING\r\n").is_ok() {
                if let Ok(n) = stream.read(&mut answer) {
                    if &answer[..n] == b"PONG\r\n" {
                        return true;
                    }
                }
            }
        }
        sleep_ms(20);
    }
    false
}

/// Makes an operator's call and returns the answer; `None` if there was none within `limit_ms`.
pub fn admin_call(address: SocketAddr, call: &str, limit_ms: u64) -> Option<String> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(format!("{call}\r\n").as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => answer.extend_from_slice(&buffer[..n]),
            Err(_) => break,
        }
        if call != "stats" && answer.ends_with(b"\n") {
            break;
        }
    }
    if answer.is_empty() { None } else { Some(String::from_utf8_lossy(&answer).trim().to_owned()) }
}

// -------------------------------------------------------------------------------------------------- discovery

/// A call that has waited so long for its turn ends with 503 (`timeout_ms` of the site file).
const CALL_TIMEOUT_MS: u64 = 2000;

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub state: &'static str,
    pub started_ms: u64,
    changed_in: u64,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    entries: BTreeMap<String, Entry>,
    /// Calls that arrive now are not worked on before this is lifted.
    crowded: bool,
    /// For each endpoint that is leaving or has left: when a relay was first told.
    told: BTreeMap<String, Ms>,
    /// Number of calls that wait with `wait`, and when the last of them arrived.
    watches: u64,
    last_watch_at: Ms,
}

/// A stand-in for discovery: the whole list, and a watch on changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    record: Record,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// How long a call waits for its turn before it is worked on.
    pub turn_ms: Arc<AtomicU64>,
}

/// An address at which discovery can be called.
pub struct Door {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Accepts no new connection, and closes the open ones after 1.5 s.
    pub fn retire(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        let open = self.open.clone();
        thread::spawn(move || {
            sleep_ms(1500);
            for stream in open.lock().unwrap().iter() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let mut discovery = Discovery {
            address: "127.0.0.1:0".parse().unwrap(),
            record: record.clone(),
            state: Arc::new((Mutex::new(DiscoveryState { version: 40, ..Default::default() }), Condvar::new())),
            turn_ms: Arc::default(),
        };
        discovery.address = discovery.open_door().address;
        discovery
    }

    /// Opens a further address of the same discovery.
    pub fn open_door(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
        let address = listener.local_addr().unwrap();
        let door = Door { address, closed: Arc::default(), open: Arc::default() };
        let (acceptor, closed, open) = (self.clone(), door.closed.clone(), door.open.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if closed.load(Ordering::SeqCst) {
                    break;
                }
                open.lock().unwrap().extend(stream.try_clone());
                let discovery = acceptor.clone();
                thread::spawn(move || discovery.serve(stream, &format!("{}/{number}", address.port())));
            }
        });
        door
    }

    pub fn set(&self, id: &str, address: SocketAddr, state: &'static str, started_ms: u64) {
        let (lock, changed) = &*self.state;
        let mut inner = lock.lock().unwrap();
        inner.version += 1;
        let entry = Entry { id: id.to_owned(), address, state, started_ms, changed_in: inner.version };
        inner.entries.insert(id.to_owned(), entry);
        self.record.line(&format!("discovery: version {} says {id} is {state}", inner.version));
        changed.notify_all();
    }

    /// While discovery is crowded, calls that arrive wait until it is no longer, or fail after `CALL_TIMEOUT_MS`.
    pub fn set_crowded(&self, crowded: bool) {
        let (lock, changed) = &*self.state;
        lock.lock().unwrap().crowded = crowded;
        self.record.line(&format!("discovery: crowded: {crowded}"));
        changed.notify_all();
    }

    pub fn list_json(&self) -> String {
        render(&self.state.0.lock().unwrap(), None)
    }

    pub fn told_at(&self, id: &str) -> Option<Ms> {
        self.state.0.lock().unwrap().told.get(id).copied()
    }

    /// Waits until a new watch has been opened.
    pub fn wait_for_new_watch(&self, limit_ms: u64) -> bool {
        let (lock, changed) = &*self.state;
        let before = lock.lock().unwrap().watches;
        let end = Instant::now() + Duration::from_millis(limit_ms);
        let mut inner = lock.lock().unwrap();
        while inner.watches == before {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            inner = changed.wait_timeout(inner, left).unwrap().0;
        }
        true
    }

    fn serve(&self, mut stream: TcpStream, number: &str) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let end = loop {
                if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                match stream.read(&mut chunk) {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end);
            let path = head.split(' ').nth(1).unwrap_or("").to_owned();
            let query = path.split_once('?').map_or("", |(_, q)| q).to_owned();
            let number_of = |name: &str| -> Option<u64> {
                query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
            };
            let (since, wait) = (number_of("index"), number_of("wait").unwrap_or(0).min(60_000));
            self.record.line(&format!("discovery: connection {number} calls {path}"));
            let (status, body) = match self.answer(since, wait) {
                Some(body) => ("200 OK", body),
                None => ("503 Service Unavailable", String::new()),
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            self.record.line(&format!("discovery: connection {number} answered {status}, {} bytes", body.len()));
        }
    }

    /// Returns the answer to a call; `None` if it waited too long for its turn.
    fn answer(&self, since: Option<u64>, wait: u64) -> Option<String> {
        sleep_ms(self.turn_ms.load(Ordering::SeqCst));
        let (lock, changed) = &*self.state;
        let mut inner = lock.lock().unwrap();
        let turn_until = Instant::now() + Duration::from_millis(CALL_TIMEOUT_MS);
        while inner.crowded {
            let left = turn_until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            inner = changed.wait_timeout(inner, left).unwrap().0;
        }
        if let Some(since) = since {
            inner.watches += 1;
            inner.last_watch_at = self.record.now();
            changed.notify_all();
            let end = Instant::now() + Duration::from_millis(wait);
            while inner.version <= since {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                inner = changed.wait_timeout(inner, left).unwrap().0;
            }
        }
        let now = self.record.now();
        let told: Vec<String> = inner
            .entries
            .values()
            .filter(|e| since.is_none_or(|since| e.changed_in > since) && e.state != "active")
            .map(|e| e.id.clone())
            .collect();
        for id in told {
            if !inner.told.contains_key(&id) {
                self.record.line(&format!("discovery: a relay is told that {id} leaves"));
            }
            inner.told.entry(id).or_insert(now);
        }
        Some(render(&inner, since))
    }
}

fn render(inner: &DiscoveryState, since: Option<u64>) -> String {
    let changed = |e: &&Entry| since.is_none_or(|since| e.changed_in > since);
    let listed = inner.entries.values().filter(changed).filter(|e| since.is_some() || e.state != "left");
    let servers: Vec<String> = listed
        .map(|e| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"kasoa","kind":"standard","cell":0,"state":"{}","weight":1.0,"started_ms":{}}}"#,
                e.id, e.address, e.state, e.started_ms
            )
        })
        .collect();
    format!(r#"{{"version":{},"full":{},"servers":[{}]}}"#, inner.version, since.is_none(), servers.join(","))
}

// ------------------------------------------------------------------------------------------------ card server

/// A request that a card server has received.
#[derive(Clone, Debug)]
pub struct Received {
    pub server: String,
    pub id: String,
    /// When its first byte was read.
    pub at: Ms,
}

/// A stand-in for a card server.
#[derive(Clone)]
pub struct CardServer {
    pub id: String,
    pub address: SocketAddr,
    pub record: Record,
    pub received: Arc<Mutex<Vec<Received>>>,
    /// Its lines come in two pieces, so many milliseconds apart; 0: in one.
    pub piece_gap_ms: Arc<AtomicU64>,
    /// From now on it hangs: it writes the first piece of its next line on each connection, and nothing after it.
    pub hangs: Arc<AtomicBool>,
    /// Number of connections on which it hangs after half a line.
    pub halves: Arc<AtomicU64>,
    pub open: Arc<AtomicU64>,
    /// It drains: it sends its clients away at once, and turns new ones away.
    pub drains: Arc<AtomicBool>,
    open_ids: Arc<Mutex<BTreeSet<String>>>,
}

impl CardServer {
    pub fn start(id: &str, record: &Record, received: &Arc<Mutex<Vec<Received>>>) -> CardServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a card server");
        let server = CardServer {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            received: received.clone(),
            piece_gap_ms: Arc::default(),
            hangs: Arc::default(),
            halves: Arc::default(),
            open: Arc::default(),
            drains: Arc::default(),
            open_ids: Arc::default(),
        };
        let acceptor = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = acceptor.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        let mut lines = Lines::new();
        let mut session: Option<String> = None;
        loop {
            let Some((line, first_byte_at)) = lines.next(&mut stream, &self.record) else { break };
            if line.is_empty() {
                // Nothing was received for a moment.
                if session.is_some() && self.drains.load(Ordering::SeqCst) {
                    let _ = stream.write_all(b"MOVE\r\n");
                    break;
                }
                continue;
            }
            while self.hangs.load(Ordering::SeqCst) && session.is_none() {
                sleep_ms(10);
            }
            let words: Vec<&str> = line.split(' ').collect();
            let answer = match words[..] {
                ["STATS"] => {
                    let load = self.open.load(Ordering::SeqCst) as f64 * 0.02;
                    format!("PONG util={load:.2},latency_ms=2.0,x0={load:.2}\r\n")
                }
                ["PING"] => "PONG\r\n".to_owned(),
                // An id that is open here is turned away.
                ["OPEN", id, _, _] if session.is_none() && !self.open_ids.lock().unwrap().insert(id.to_owned()) => {
                    let _ = stream.write_all(b"ERR\r\n");
                    break;
                }
                ["OPEN", id, _, _] if session.is_none() && self.drains.load(Ordering::SeqCst) => {
                    self.record.line(&format!("server {}: turns {id} away", self.id));
                    let received = Received { server: self.id.clone(), id: id.to_owned(), at: first_byte_at };
                    self.received.lock().unwrap().push(received);
                    self.open_ids.lock().unwrap().remove(id);
                    let _ = stream.write_all(b"BUSY\r\n");
                    break;
                }
                ["OPEN", id, _, _] if session.is_none() => {
                    session = Some(id.to_owned());
                    self.open.fetch_add(1, Ordering::SeqCst);
                    self.record.line(&format!("server {}: runs {id}", self.id));
                    let received = Received { server: self.id.clone(), id: id.to_owned(), at: first_byte_at };
                    self.received.lock().unwrap().push(received);
                    format!("UP receipt-{}-{id}\r\n", self.id)
                }
                _ if session.is_some() => format!("ok {line}\r\n"),
                _ => "SYNTAX\r\n".to_owned(),
            };
            if !self.write_line(&mut stream, &answer, session.is_some()) {
                break;
            }
        }
        if let Some(id) = session {
            self.open.fetch_sub(1, Ordering::SeqCst);
            self.open_ids.lock().unwrap().remove(&id);
        }
    }

    fn write_line(&self, stream: &mut TcpStream, line: &str, in_session: bool) -> bool {
        let gap = self.piece_gap_ms.load(Ordering::SeqCst);
        let hangs = self.hangs.load(Ordering::SeqCst);
        if !in_session || line.starts_with("UP ") || (gap == 0 && !hangs) {
            return stream.write_all(line.as_bytes()).is_ok();
        }
        let (first, second) = line.as_bytes().split_at(line.len() / 2);
        if stream.write_all(first).is_err() {
            return false;
        }
        if hangs {
            self.halves.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!("server {}: hangs after half a line ({} bytes)", self.id, first.len()));
            while self.hangs.load(Ordering::SeqCst) {
                sleep_ms(10);
            }
        } else {
            sleep_ms(gap);
        }
        stream.write_all(second).is_ok()
    }
}

/// Reads lines that end with CRLF.
pub struct Lines {
    buffer: Vec<u8>,
    first_byte_at: Ms,
}

impl Lines {
    pub fn new() -> Lines {
        Lines { buffer: Vec::new(), first_byte_at: 0 }
    }

    /// Returns the next line without its CRLF and when its first byte was read; an empty line if the socket has a
    /// read timeout that passed with nothing received.
    pub fn next(&mut self, stream: &mut TcpStream, record: &Record) -> Option<(String, Ms)> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Some((String::from_utf8_lossy(&line).trim_end().to_owned(), self.first_byte_at));
            }
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => {
                    if self.buffer.is_empty() {
                        self.first_byte_at = record.now();
                    }
                    self.buffer.extend_from_slice(&chunk[..n]);
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock && self.buffer.is_empty() => {
                    return Some((String::new(), 0));
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                _ => return None,
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------- clients

/// How a client's connection ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// It was never up: the answer, or nothing before the relay closed.
    NotUp(Option<String>),
    /// `MOVE`, then the end of the connection.
    Moved,
    /// The connection ended without `MOVE`.
    CutOff(&'static str),
    /// The client left.
    Left,
}

/// One connection of a client.
#[derive(Clone, Debug)]
pub struct Session {
    pub id: String,
    pub server: String,
    pub sent_at: Ms,
    pub up_at: Option<Ms>,
    pub ended_at: Ms,
    pub end: End,
}

pub type Sessions = Arc<Mutex<Vec<Session>>>;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns the id of a new connection: sixteen hex digits.
pub fn new_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// Opens a connection through the relay and keeps it until it ends or `leave` is set: a line every
/// `line_every_ms`, as a sound client.
pub fn client(
    record: &Record, relay: SocketAddr, deadline_ms: u64, line_every_ms: u64, leave: &Arc<AtomicBool>, sessions: &Sessions,
) {
    let (record, leave, sessions) = (record.clone(), leave.clone(), sessions.clone());
    thread::spawn(move || {
        let id = new_id();
        let mut session = Session {
            id: id.clone(),
            server: String::new(),
            sent_at: record.now(),
            up_at: None,
            ended_at: 0,
            end: End::NotUp(None),
        };
        run_client(&record, relay, deadline_ms, line_every_ms, &leave, &mut session);
        session.ended_at = record.now();
        record.line(&format!("client {id}: server {:?}, end {:?}", session.server, session.end));
        sessions.lock().unwrap().push(session);
    });
}

fn run_client(
    record: &Record, relay: SocketAddr, deadline_ms: u64, line_every_ms: u64, leave: &AtomicBool, session: &mut Session,
) {
    let Ok(mut stream) = TcpStream::connect(relay) else {
        session.end = End::NotUp(Some("connection refused".to_owned()));
        return;
    };
    let _ = stream.set_nodelay(true);
    session.sent_at = record.now();
    let line = format!("OPEN {0} {0} c=study-session,d={deadline_ms}\r\n", session.id);
    if stream.write_all(line.as_bytes()).is_err() {
        return;
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 600)));
    let mut lines = Lines::new();
    let Some((answer, _)) = lines.next(&mut stream, record) else { return };
    if !answer.starts_with("UP ") {
        session.end = End::NotUp(Some(answer));
        return;
    }
    session.up_at = Some(record.now());
    session.server = answer.split('-').nth(1).unwrap_or("").to_owned();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let (mut next_line_at, mut buffer, mut chunk) = (record.now() + line_every_ms, Vec::new(), [0; 4096]);
    session.end = loop {
        if leave.load(Ordering::SeqCst) {
            let _ = stream.shutdown(Shutdown::Both);
            break End::Left;
        }
        if record.now() >= next_line_at {
            next_line_at += line_every_ms;
            let _ = stream.write_all(format!("card {}\r\n", record.now()).as_bytes());
        }
        match stream.read(&mut chunk) {
            Ok(0) => break if buffer_ends_with_move(&buffer) { End::Moved } else { End::CutOff("closed") },
            Ok(n) => {
                buffer.extend_from_slice(&chunk[..n]);
                // The last line, and what may follow it, is all that matters.
                let keep = buffer.len().min(64);
                buffer.drain(..buffer.len() - keep);
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break if buffer_ends_with_move(&buffer) { End::Moved } else { End::CutOff("reset") },
        }
    };
}

fn buffer_ends_with_move(buffer: &[u8]) -> bool {
    buffer.ends_with(b"\nMOVE\r\n") || buffer == b"MOVE\r\n"
}

/// Clients that come one after the other and stay for a while.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    leave: Arc<AtomicBool>,
    pub sessions: Sessions,
}

impl Traffic {
    pub fn start(record: &Record, relay: SocketAddr, deadline_ms: u64, every_ms: u64, stay_ms: u64) -> Traffic {
        let traffic = Traffic { stop: Default::default(), leave: Default::default(), sessions: Default::default() };
        let (record, stop, leave, sessions) =
            (record.clone(), traffic.stop.clone(), traffic.leave.clone(), traffic.sessions.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let end = Arc::new(AtomicBool::new(false));
                client(&record, relay, deadline_ms, 2000, &end, &sessions);
                let leave = leave.clone();
                thread::spawn(move || {
                    for _ in 0..stay_ms / 50 {
                        if leave.load(Ordering::SeqCst) {
                            break;
                        }
                        sleep_ms(50);
                    }
                    end.store(true, Ordering::SeqCst);
                });
                sleep_ms(every_ms);
            }
        });
        traffic
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
        self.leave.store(true, Ordering::SeqCst);
        sleep_ms(500);
    }
}

/// Waits until a process says yes to `status`, and returns when it did.
pub fn wait_yes(record: &Record, admin: SocketAddr, limit_ms: u64) -> Option<Ms> {
    let end = record.now() + limit_ms;
    while record.now() < end {
        if admin_call(admin, "status", 1000).as_deref() == Some("YES") {
            return Some(record.now());
        }
        sleep_ms(20);
    }
    None
}

/// The folder of a case and the root of the repository, from the arguments.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().expect("usage: CASE FOLDER ROOT"));
    let root = PathBuf::from(arguments.next().expect("usage: CASE FOLDER ROOT"));
    start_watchdog();
    (folder, root)
}

/// Ends the case with a status: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn finish(record: &Record, relays: Vec<Relay>, folder: TempFolder, status: i32, text: &str) -> ! {
    drop(relays);
    let word = match status {
        0 => "HELD",
        1 => "BROKEN",
        _ => "COULD NOT RUN",
    };
    record.say(&format!("{word}: {text}"));
    if std::env::var("KEEP").is_err() {
        drop(folder);
    } else {
        println!("kept {}", folder.0.display());
        std::mem::forget(folder);
    }
    std::process::exit(status);
}
