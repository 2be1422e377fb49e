//! A relay in this process on real sockets of the loopback, with card servers of a few lines.
#![allow(dead_code)] // each test file uses a part

use std::net::SocketAddr;
use std::time::Duration;

use honeyknot_relay::relay::lifecycle::config::{Config, LoadConfigError};
use honeyknot_relay::relay::{Listeners, ServeError, serve_with_listeners};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

pub type Line = BufReader<TcpStream>;

/// A client, or a card server's end of a session.
pub async fn line(end: &mut Line) -> String {
    let mut text = String::new();
    end.read_line(&mut text).await.expect("a line");
    text
}

pub async fn say(end: &mut Line, text: &str) {
    end.write_all(text.as_bytes()).await.expect("a write");
}

/// Everything up to the end of the connection.
pub async fn rest(mut end: Line) -> String {
    let mut text = String::new();
    end.read_to_string(&mut text).await.expect("an orderly end");
    text
}

pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// A card server's next session; probes are answered on the way.
pub async fn session(server: &TcpListener) -> (Line, String) {
    loop {
        let mut end = BufReader::new(server.accept().await.expect("a connection").0);
        let first = line(&mut end).await;
        if first != "STATS\r\n" {
            return (end, first);
        }
        spawn_local(async move {
            say(&mut end, "PONG util=0.2,latency_ms=4,x0=0.2\r\n").await;
            while !line(&mut end).await.is_empty() {
                say(&mut end, "PONG util=0.2,latency_ms=4,x0=0.2\r\n").await;
            }
        });
    }
}

pub type Servers<'a> = &'a [(&'a str, SocketAddr, &'a str)];

pub fn config_text(servers: Servers, sockets: u64, discovery: SocketAddr) -> String {
    config_value(servers, sockets, discovery).to_string()
}

pub fn config_value(servers: Servers, sockets: u64, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": discovery.to_string(), "seed": "1f",
        "limits": {"sockets": sockets}, "known": list_value(1, true, servers),
        "settings": {
            "family": "conn", "discovery": "on_request", "telemetry": {"source": "pull"},
            "familyInfo": {"messageAimUs": [150000.0], "tellsLoad": true, "tellsDelay": true},
            "services": [{"name": "study", "effect": "idempotent", "aimUs": 25000000,
                "hardLimitUs": 26000000, "stream": true}],
            "permissions": {"probing": true, "maxAttempts": 3, "connectTimeoutUs": 250000,
                "retryAfter": true, "maxRetryAfterUs": 600000, "idleCloseUs": 30000000},
            "rules": {"startCapacity": 0.3, "coldUs": 9000000, "overloadFactor": 3.0,
                "fallUs": 2000000, "stopSendingWithinUs": 500000, "mustAskInUs": 10000000}}})
}

pub fn config(servers: Servers, sockets: u64, discovery: SocketAddr) -> Result<Config, LoadConfigError> {
    read_config(config_text(servers, sockets, discovery).as_bytes())
}

/// Reads a configuration's text as a reload does.
pub fn read_config(text: &[u8]) -> Result<Config, LoadConfigError> {
    let invalid = |source| LoadConfigError::Invalid { path: "config.json".into(), source };
    Config::read(text, |_| None).map_err(invalid)
}

pub struct Relay {
    pub at: SocketAddr,
    /// Where operators call.
    pub admin: SocketAddr,
    pub reloads: UnboundedSender<Result<Config, LoadConfigError>>,
    pub stop: oneshot::Sender<()>,
    pub ended: tokio::task::JoinHandle<Result<(), ServeError>>,
}

impl Relay {
    /// A relay that knows the given card servers and whose discovery is down.
    pub async fn start(servers: Servers<'_>, sockets: u64) -> Relay {
        Relay::with_discovery(servers, sockets, "127.0.0.1:1".parse().expect("an address")).await
    }

    pub async fn with_discovery(servers: Servers<'_>, sockets: u64, discovery: SocketAddr) -> Relay {
        Relay::of(config_value(servers, sockets, discovery)).await
    }

    pub async fn of(config: Value) -> Relay {
        let config = Config::read(config.to_string().as_bytes(), |_| None).expect("a sound configuration");
        let (clients, at) = listen().await;
        let (operators, admin) = listen().await;
        let (stop, stopped) = oneshot::channel();
        let (reloads, reloaded) = unbounded_channel();
        let stopped = async move {
            let _ = stopped.await;
        };
        let ended = spawn_local(serve_with_listeners(
            Listeners { clients, admin: Some(operators), state_directory: None, predecessor: None },
            config,
            stopped,
            reloaded,
        ));
        Relay { at, admin, reloads, stop, ended }
    }

    /// What an operator's call is answered.
    pub async fn call(&self, line: &str) -> String {
        let mut end = BufReader::new(TcpStream::connect(self.admin).await.expect("a connection"));
        say(&mut end, line).await;
        rest(end).await
    }

    pub async fn client(&self, first: &str) -> Line {
        let mut end = BufReader::new(TcpStream::connect(self.at).await.expect("a connection"));
        say(&mut end, first).await;
        end
    }
}

/// Runs a case on the relay's kind of runtime; a case that hangs fails in the end.
pub fn case(run: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let limit = Duration::from_secs(60);
    let done = LocalSet::new().block_on(&runtime, async { tokio::time::timeout(limit, run).await });
    done.expect("the case ends");
}

/// The next call to discovery, up to the end of its head.
pub async fn call(discovery: &TcpListener, wanted: &str) -> Line {
    let mut end = BufReader::new(discovery.accept().await.expect("a call").0);
    let path = line(&mut end).await;
    assert!(path.starts_with(wanted), "{path}");
    while line(&mut end).await != "\r\n" {}
    end
}

pub async fn answer(mut end: Line, status: &str, body: &str) {
    let head = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len());
    say(&mut end, &(head + body)).await;
}

/// A list in discovery's form.
pub fn list(version: u64, whole: bool, servers: Servers) -> String {
    list_value(version, whole, servers).to_string()
}

fn list_value(version: u64, whole: bool, servers: Servers) -> Value {
    let entry = |(id, at, state): &(&str, SocketAddr, &str)| json!({"id": id, "addr": at.to_string(), "state": state});
    let servers: Vec<_> = servers.iter().map(entry).collect();
    json!({"version": version, "full": whole, "servers": servers})
}

/// A client whose session its card server has taken, and the card server's end of it.
pub async fn standing(relay: &Relay, server: &TcpListener) -> (Line, Line) {
    let mut client = relay.client(OPEN).await;
    let (mut held, _) = session(server).await;
    say(&mut held, "UP r1\r\n").await;
    assert_eq!(line(&mut client).await, "UP r1\r\n");
    (client, held)
}

/// A card server whose connections come up late: its queue is full until [`Late::let_in`].
pub struct Late {
    listener: std::net::TcpListener,
    filled: Vec<std::net::TcpStream>,
    pub at: SocketAddr,
}

impl Late {
    pub fn new() -> Late {
        use std::net::TcpStream as Stream;
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("a listener").into_std().expect("a plain listener");
        let at = listener.local_addr().expect("an address");
        let mut filled = Vec::new();
        // The system lets in one more than it is asked to; the first that does not come up tells.
        while let Ok(stream) = Stream::connect_timeout(&at, Duration::from_millis(100)) {
            filled.push(stream);
            assert!(filled.len() < 100, "a queue that never fills");
        }
        Late { listener, filled, at }
    }

    /// Waits until somebody else's dial is under way, as the system's table of connections tells.
    pub async fn dialled(&self) {
        let port = format!(":{:04X} 02 ", self.at.port());
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
            if table.lines().any(|line| line.contains(&port)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Empties the queue. Who dialled meanwhile comes up when the system tries again, a second or so after it began.
    pub fn let_in(&mut self) {
        self.listener.set_nonblocking(false).expect("an option");
        for _ in self.filled.drain(..) {
            self.listener.accept().expect("one that waited");
        }
    }

    /// The next connection, once it comes up, and all that it brings up to its end.
    pub async fn next(self) -> String {
        self.listener.set_nonblocking(true).expect("an option");
        let listener = TcpListener::from_std(self.listener).expect("a listener");
        rest(BufReader::new(listener.accept().await.expect("a connection").0)).await
    }
}

pub const OPEN: &str = "OPEN 9b1f 7f3a c=study,d=26000,g=5c0f,x=1\r\n";

/// Each connection has an id of its own.
pub fn open(id: &str) -> String {
    OPEN.replace("9b1f", id)
}
