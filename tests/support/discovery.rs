//! A discovery whose list a test changes, and which answers only some of its connections.

#![allow(dead_code)] // Each test file uses only some of these helpers.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Which connections are answered, by the order in which they were opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    All,
    Only(usize),
}

struct State {
    version: u64,
    endpoints: BTreeMap<String, Value>,
    /// The version of each endpoint's last change.
    changed_at: BTreeMap<String, u64>,
    answered: Answered,
    connections: usize,
    /// The newest version that was written to each connection.
    told: BTreeMap<usize, u64>,
}

/// A running discovery; clones refer to the same one.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Starts a discovery with this list, whose version is that of the list.
    pub fn start(list: &Value) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let servers = list["servers"].as_array().expect("the list has endpoints");
        let id = |server: &Value| server["id"].as_str().expect("the endpoint has an id").to_owned();
        let state = State {
            version: list["version"].as_u64().expect("the list has a version"),
            endpoints: servers.iter().map(|server| (id(server), server.clone())).collect(),
            changed_at: BTreeMap::new(),
            answered: Answered::All,
            connections: 0,
            told: BTreeMap::new(),
        };
        let discovery = Discovery { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    /// Changes fields of an endpoint, or adds it, and returns the list's new version. An endpoint with the state `left`
    /// is reported to watches and no longer listed.
    pub fn change(&self, id: &str, fields: Value) -> u64 {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let endpoint =
            state.endpoints.entry(id.to_owned()).or_insert_with(|| json!({"id": id, "weight": 1e5}));
        for (name, value) in fields.as_object().expect("the fields are an object") {
            endpoint[name] = value.clone();
        }
        state.changed_at.insert(id.to_owned(), version);
        drop(state);
        self.state.1.notify_all();
        version
    }

    /// Sets which connections are answered from now on.
    pub fn answer(&self, answered: Answered) {
        self.lock().answered = answered;
        self.state.1.notify_all();
    }

    /// Returns the number of connections so far.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Returns the newest version that was written to a connection.
    pub fn told(&self, connection: usize) -> u64 {
        self.lock().told.get(&connection).copied().unwrap_or_default()
    }

    fn serve(&self, stream: TcpStream) {
        let connection = {
            let mut state = self.lock();
            state.connections += 1;
            state.connections - 1
        };
        let mut writer = stream.try_clone().expect("the socket is cloned");
        let lines = BufReader::new(stream).lines().map_while(Result::ok);
        for line in lines.filter(|line| line.starts_with("GET")) {
            let parameter = |name: &str| -> Option<u64> {
                let (_, rest) = line.split_once(&format!("{name}="))?;
                rest.split(['&', ' ']).next()?.parse().ok()
            };
            let (version, body) = self.answer_to(connection, parameter("index"), parameter("wait"));
            let body = body.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if is_closed(&writer) || writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            self.lock().told.insert(connection, version);
        }
    }

    /// Waits until a request must be answered, and returns the version and the body of the answer.
    fn answer_to(&self, connection: usize, index: Option<u64>, wait_ms: Option<u64>) -> (u64, Value) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.unwrap_or_default());
        let mut state = self.lock();
        loop {
            let is_answered = state.answered == Answered::All || state.answered == Answered::Only(connection);
            let is_due = index.is_none_or(|index| state.version > index) || Instant::now() >= deadline;
            if is_answered && is_due {
                return (state.version, state.body(index));
            }
            let timeout = Duration::from_millis(20);
            state = self.state.1.wait_timeout(state, timeout).expect("no thread panics with the lock").0;
        }
    }
}

impl State {
    fn body(&self, index: Option<u64>) -> Value {
        let is_listed = |id: &String, server: &Value| match index {
            Some(index) => self.changed_at.get(id).is_some_and(|version| *version > index),
            None => server["state"] != "left",
        };
        let servers: Vec<&Value> = self
            .endpoints
            .iter()
            .filter(|(id, server)| is_listed(id, server))
            .map(|(_, server)| server)
            .collect();
        json!({"version": self.version, "full": index.is_none(), "servers": servers})
    }
}

/// Returns whether the other end has closed the connection, so that what is written now tells nobody.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the socket option is set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("the socket option is set");
    !matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
