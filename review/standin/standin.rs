//! Stand-ins for the platform, discovery, the card servers and the clients of one relay, with the standard
//! library alone. They follow PROTOCOL, DEPLOY and DAYS; where those pages are silent, they behave soundly.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What is sent, answered and run, with the time in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn add(&self, line: impl Display) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.to_string()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:10.1} {line}\n")).collect();
        fs::write(path, text).unwrap();
    }
}

/// A card server: brings connections up, answers probes, and answers each further line at once.
#[derive(Clone)]
pub struct CardServer {
    pub id: String,
    pub address: SocketAddr,
    /// Requests that it got: the client's id, and when.
    pub opened: Arc<Mutex<Vec<(String, f64)>>>,
    /// The connections that it has brought up.
    sessions: Arc<Mutex<Vec<TcpStream>>>,
    draining: Arc<AtomicBool>,
    /// How long a session lasts, where the card server ends it with `BYE`; its answers then hold load reports.
    life: Option<Duration>,
    /// Whether it quickly fails three of five requests.
    failing: Arc<AtomicBool>,
}

impl CardServer {
    pub fn start(id: &str, record: &Record) -> CardServer {
        CardServer::start_with_life(None, id, record)
    }

    /// The same with another end of sessions.
    pub fn start_with_life(life: Option<Duration>, id: &str, record: &Record) -> CardServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = CardServer {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            opened: Arc::default(),
            sessions: Arc::default(),
            draining: Arc::default(),
            life,
            failing: Arc::default(),
        };
        let (this, record) = (server.clone(), record.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record) = (this.clone(), record.clone());
                spawn(move || this.serve(stream, &record));
            }
        });
        server
    }

    /// Begins to drain, as BRIEF says: it sends all its clients away at once, and turns new requests away.
    pub fn drain(&self, record: &Record) {
        record.add(format!("{} begins to drain", self.id));
        self.draining.store(true, Ordering::Relaxed);
        for mut session in self.sessions.lock().unwrap().drain(..) {
            let _ = session.write_all(b"MOVE\r\n");
            let _ = session.shutdown(Shutdown::Write);
        }
    }

    /// Begins or ceases to fail three of five requests.
    pub fn set_failing(&self, failing: bool, record: &Record) {
        record.add(format!("{} {} to fail", self.id, if failing { "begins" } else { "ceases" }));
        self.failing.store(failing, Ordering::Relaxed);
    }

    /// Is restarted by its operators: the connections that it has end, and it is up again at once.
    pub fn restart(&self, record: &Record) {
        record.add(format!("{} is restarted", self.id));
        for session in self.sessions.lock().unwrap().drain(..) {
            let _ = session.shutdown(Shutdown::Both);
        }
    }

    fn with_report(&self, answer: &str) -> String {
        let report = if self.life.is_some() { " util=0.2,latency_ms=5,x0=0.2" } else { "" };
        format!("{answer}{report}\r\n")
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let mut words = line.split(' ');
            let answer = match words.next() {
                Some("OPEN") => {
                    let id = words.next().unwrap_or_default().to_owned();
                    let draining = self.draining.load(Ordering::Relaxed);
                    record.add(format!("{} {} {id}", self.id, if draining { "turns away" } else { "runs" }));
                    self.opened.lock().unwrap().push((id.clone(), record.now()));
                    if draining {
                        let _ = writer.write_all(self.with_report("BUSY").as_bytes());
                        return;
                    }
                    if self.failing.load(Ordering::Relaxed) && self.opened.lock().unwrap().len() % 5 < 3 {
                        record.add(format!("{} fails {id}", self.id));
                        let _ = writer.write_all(self.with_report("ERR").as_bytes());
                        return;
                    }
                    self.sessions.lock().unwrap().push(writer.try_clone().unwrap());
                    if let Some(life) = self.life {
                        let (this, mut writer) = (self.clone(), writer.try_clone().unwrap());
                        spawn(move || {
                            sleep(life);
                            let _ = writer.write_all(this.with_report("BYE").as_bytes());
                            let _ = writer.shutdown(Shutdown::Write);
                        });
                    }
                    format!("UP r-{id}\r\n")
                }
                Some("STATS") => "PONG util=0.2,latency_ms=5,x0=0.2\r\n".to_owned(),
                Some("PING") => "PONG\r\n".to_owned(),
                _ => format!("{line}\r\n"),
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Discovery: one service that works through its calls one after another.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// Held while a call is worked on.
    desk: Arc<Mutex<()>>,
}

struct DiscoveryState {
    version: u64,
    servers: Vec<(String, SocketAddr, String)>,
    /// The time that each call takes.
    call_time: Duration,
    /// How calls fare while other callers crowd the service; `None` while they don't.
    crowd: Option<Crowd>,
}

/// A crowd of other callers: each call waits for its turn among theirs.
#[derive(Clone, Copy)]
pub struct Crowd {
    /// The next calls, as many as this, wait too long: they fail with 503 after `too_long`.
    pub failing: u32,
    pub too_long: Duration,
    /// Each later call is answered so long after it came.
    pub turn_after: Duration,
}

impl Discovery {
    pub fn start(servers: &[CardServer], record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let servers = servers.iter().map(|s| (s.id.clone(), s.address, "active".to_owned())).collect();
        let state = DiscoveryState { version: 41, servers, call_time: ms(2), crowd: None };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            desk: Arc::default(),
        };
        let (this, record) = (discovery.clone(), record.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record) = (this.clone(), record.clone());
                spawn(move || this.serve(stream, &record));
            }
        });
        discovery
    }

    pub fn set_call_time(&self, time: Duration) {
        self.state.0.lock().unwrap().call_time = time;
    }

    pub fn set_crowd(&self, crowd: Crowd) {
        self.state.0.lock().unwrap().crowd = Some(crowd);
    }

    /// Changes the state of a card server in the list, `active`, `leaving` or `left`.
    pub fn set_server_state(&self, id: &str, new_state: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.servers.iter_mut().filter(|server| server.0 == id).for_each(|s| s.2 = new_state.to_owned());
        self.state.1.notify_all();
    }

    /// The whole list as JSON.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let entries: Vec<String> = state
            .servers
            .iter()
            .filter(|(_, _, state)| state != "left")
            .map(|(id, address, state)| {
                format!(
                    "{{\"id\":\"{id}\",\"addr\":\"{address}\",\"zone\":\"tema\",\"kind\":\"fast\",\"cell\":0,\
                     \"state\":\"{state}\",\"weight\":2.0,\"started_ms\":0}}"
                )
            })
            .collect();
        format!("{{\"version\":{},\"full\":true,\"servers\":[{}]}}", state.version, entries.join(","))
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let Ok(from) = stream.peer_addr() else { return };
        let mut call = String::new();
        let mut calls = 0;
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if line.starts_with("GET ") {
                call = line.split(' ').nth(1).unwrap_or_default().to_owned();
            }
            if !line.is_empty() {
                continue;
            }
            calls += 1;
            let port = self.address.port();
            let name = format!("call {calls} on connection {} at :{port}, {call}", from.port());
            record.add(format!("discovery gets {name}"));
            let (status, body) = match self.answer(&call) {
                Some(body) => ("200 OK", body),
                None => ("503 Service Unavailable", String::new()),
            };
            // A caller that gave its call up has closed the connection.
            let _ = writer.set_nonblocking(true);
            let given_up = matches!(writer.peek(&mut [0]), Ok(0));
            let _ = writer.set_nonblocking(false);
            record.add(format!(
                "discovery answers {name}: {status}{}",
                if given_up { " (the caller had given it up)" } else { "" }
            ));
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The body of the answer; `None` for a call that has waited too long for its turn.
    fn answer(&self, call: &str) -> Option<String> {
        let crowd = self.state.0.lock().unwrap().crowd;
        match crowd {
            Some(crowd) if crowd.failing > 0 => {
                self.set_crowd(Crowd { failing: crowd.failing - 1, ..crowd });
                sleep(crowd.too_long);
                return None;
            }
            Some(crowd) => sleep(crowd.turn_after),
            None => {
                let _desk = self.desk.lock().unwrap();
                let time = self.state.0.lock().unwrap().call_time;
                sleep(time);
            }
        }
        let number = |name: &str| {
            let value = call.split(['?', '&']).find_map(|pair| pair.strip_prefix(name))?;
            value.parse::<u64>().ok()
        };
        if let (Some(index), Some(wait)) = (number("index="), number("wait=")) {
            let guard = self.state.0.lock().unwrap();
            let (state, _) =
                self.state.1.wait_timeout_while(guard, ms(wait), |state| state.version <= index).unwrap();
            if state.version <= index {
                return Some(format!("{{\"version\":{},\"full\":false,\"servers\":[]}}", state.version));
            }
        }
        Some(self.list())
    }
}

/// Another caller, which waits for its answer: asks for the whole list until it says that the card server drains.
/// Returns how long that took in milliseconds; `None` if it took more than 5 s.
pub fn told_of_drain(discovery: SocketAddr, id: &str, record: &Record) -> Option<f64> {
    let asked_at = record.now();
    let told = wait_until(ms(5_000), || {
        whole_list(discovery).is_some_and(|list| {
            let entry = list.split('{').find(|entry| entry.contains(&format!("\"id\":\"{id}\"")));
            entry.is_some_and(|entry| entry.contains("\"state\":\"leaving\""))
        })
    });
    let took = record.now() - asked_at;
    let not = if told { "" } else { "not " };
    record.add(format!("another caller, who waits for the answer, is {not}told of the drain in {took:.0} ms"));
    told.then_some(took)
}

/// Asks discovery for the whole list and waits for the answer; `None` if it fails.
fn whole_list(discovery: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(discovery).ok()?;
    stream.set_read_timeout(Some(ms(5_000))).ok()?;
    stream.write_all(b"GET /registry/instances HTTP/1.1\r\nHost: discovery\r\n\r\n").ok()?;
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        if let Some(value) = line.trim().strip_prefix("Content-Length: ") {
            length = value.parse().ok()?;
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut list = vec![0; length];
    reader.read_exact(&mut list).ok()?;
    String::from_utf8(list).ok()
}

/// The platform's files and addresses for one relay.
pub struct Platform {
    name: String,
    root: PathBuf,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    discovery: SocketAddr,
    record: Record,
}

/// A process of the relay, killed when dropped.
pub struct Relay {
    child: Child,
    pub admin: Option<SocketAddr>,
    pub log: PathBuf,
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Platform {
    /// Writes the configuration of a relay of a small deployment that asks for its lists.
    pub fn new(name: &str, sockets: u64, discovery: &Discovery, record: &Record) -> Platform {
        Platform::with_changes(&[], name, sockets, discovery, record)
    }

    /// The same with changes to the settings: texts, and what stands in their place.
    pub fn with_changes(
        changes: &[(&str, &str)], name: &str, sockets: u64, discovery: &Discovery, record: &Record,
    ) -> Platform {
        let root = std::env::current_dir().unwrap();
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let folder = std::env::temp_dir().join(format!("review-{name}-{}-{stamp}", std::process::id()));
        fs::create_dir_all(folder.join("tmp")).unwrap();
        let listen = free_address();
        let mut settings = include_str!("settings.json").to_owned();
        for (from, to) in changes {
            assert!(settings.contains(from), "the settings hold {from}");
            settings = settings.replacen(from, to, 1);
        }
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\
             \"known\":{},\"settings\":{settings}}}",
            discovery.address,
            discovery.list()
        );
        fs::write(folder.join("config.json"), config).unwrap();
        Platform {
            name: name.to_owned(),
            root,
            folder,
            listen,
            discovery: discovery.address,
            record: record.clone(),
        }
    }

    /// Replaces the configuration file: `discovery` names another address.
    pub fn move_discovery(&self, discovery: &Discovery) {
        let path = self.folder.join("config.json");
        let text = fs::read_to_string(&path).unwrap();
        let (old, new) = (self.discovery.to_string(), discovery.address.to_string());
        let new_path = self.folder.join("config.json.new");
        fs::write(&new_path, text.replacen(&old, &new, 1)).unwrap();
        fs::rename(new_path, path).unwrap();
    }

    /// The `run` line of the deploy file.
    fn run_line(&self) -> String {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap();
        line.trim_end().trim_end_matches('"').to_owned()
    }

    /// Starts `run`. All processes of this relay share `$TMPDIR`.
    pub fn start(&self, process: &str, with_admin: bool) -> Relay {
        let log = self.folder.join(format!("{process}.log"));
        let file = fs::File::create(&log).unwrap();
        let admin = with_admin.then(free_address);
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(self.run_line()).current_dir(&self.root);
        command.env("EDGE_NAME", &self.name).env("EDGE_LISTEN", self.listen.to_string());
        command.env("EDGE_DISCOVERY", self.discovery.to_string());
        command.env("EDGE_CONFIG", self.folder.join("config.json")).env("TMPDIR", self.folder.join("tmp"));
        if let Some(admin) = admin {
            command.env("EDGE_ADMIN_ADDR", admin.to_string());
        }
        command.stdin(Stdio::null()).stdout(file.try_clone().unwrap()).stderr(file);
        let child = command.spawn().unwrap();
        self.record.add(format!("the platform starts {process}"));
        Relay { child, admin, log }
    }

    pub fn remove(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Relay {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends an operator's call, one line, and returns the answer; empty if there is none within 1 s.
    pub fn call(&self, line: &str) -> String {
        let mut answer = String::new();
        let Some(admin) = self.admin else { return answer };
        let Ok(mut stream) = TcpStream::connect(admin) else { return answer };
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let _ = stream.write_all(format!("{line}\r\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
        answer.trim().to_owned()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds; false if it does not within the time.
pub fn wait_until(time: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(ms(5));
    }
    true
}

/// Waits until the relay answers `PING` with `PONG`, as the front does.
pub fn wait_for_pong(relay: SocketAddr) -> bool {
    wait_until(ms(10_000), || {
        let Ok(mut stream) = TcpStream::connect(relay) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ = stream.write_all(b"PING\r\n");
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).is_ok() && line == "PONG\r\n"
    })
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    Served,
    Refused,
    Failed,
    /// The connection ended after the whole request was written, with no answer.
    ClosedUnanswered,
    /// Nothing came until the client's time and half a second more were over.
    NeverAnswered,
    /// The relay ended the connection before the whole request was written.
    ClosedUnread,
    /// The relay's machine did not accept the connection.
    NotAccepted,
}

/// Sends a request and returns its end; the stream if it was served. The client's line follows its connection
/// after `pause`.
pub fn request(
    relay: SocketAddr, id: &str, class: &str, wait_ms: u64, pause: Duration,
) -> (Answer, Option<TcpStream>) {
    let Ok(mut stream) = TcpStream::connect_timeout(&relay, ms(1000)) else {
        return (Answer::NotAccepted, None);
    };
    let _ = stream.set_nodelay(true);
    // A client that still writes its line: the relay may end the connection meanwhile.
    if !pause.is_zero() {
        let _ = stream.set_read_timeout(Some(pause));
        match stream.peek(&mut [0]) {
            Ok(_) => return (read_early_answer(stream), None),
            Err(error) if is_timeout(&error) => {}
            Err(_) => return (Answer::ClosedUnread, None),
        }
    }
    if stream.write_all(format!("OPEN {id} k{id} c={class},d={wait_ms}\r\n").as_bytes()).is_err() {
        return (Answer::ClosedUnread, None);
    }
    // On loopback an end that came before the last byte was written shows at once.
    let _ = stream.set_nonblocking(true);
    if matches!(stream.peek(&mut [0]), Ok(0)) {
        return (Answer::ClosedUnread, None);
    }
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(ms(wait_ms + 500)));
    let mut line = String::new();
    let read = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
    match read {
        Ok(0) => (Answer::ClosedUnanswered, None),
        Ok(_) if line.starts_with("UP ") => (Answer::Served, Some(stream)),
        Ok(_) if line.starts_with("BUSY") => (Answer::Refused, None),
        Ok(_) => (Answer::Failed, None),
        Err(error) if is_timeout(&error) => (Answer::NeverAnswered, None),
        Err(_) => (Answer::ClosedUnanswered, None),
    }
}

fn read_early_answer(stream: TcpStream) -> Answer {
    let mut line = String::new();
    match BufReader::new(stream).read_line(&mut line) {
        Ok(count) if count > 0 && line.starts_with("BUSY") => Answer::Refused,
        Ok(count) if count > 0 => Answer::Failed,
        _ => Answer::ClosedUnread,
    }
}

pub fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// Counts of equal values, as text.
pub fn counts(answers: &[Answer]) -> String {
    let mut counts: BTreeMap<Answer, usize> = BTreeMap::new();
    for answer in answers {
        *counts.entry(*answer).or_default() += 1;
    }
    let texts: Vec<String> = counts.iter().map(|(answer, count)| format!("{answer:?} {count}")).collect();
    texts.join(", ")
}
