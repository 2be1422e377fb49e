//! A relay in this process on real sockets of the loopback, with small endpoints in the test.
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

pub type Connection = BufReader<TcpStream>;

/// Receives one line.
pub async fn receive_line(end: &mut Connection) -> String {
    let mut text = String::new();
    end.read_line(&mut text).await.expect("a line");
    text
}

pub async fn send(end: &mut Connection, text: &str) {
    end.write_all(text.as_bytes()).await.expect("a write");
}

/// Receives everything up to the end of the connection.
pub async fn receive_to_end(mut end: Connection) -> String {
    let mut text = String::new();
    end.read_to_string(&mut text).await.expect("an orderly end");
    text
}

pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Accepts an endpoint's next connection and returns its first line; health checks before it are answered.
pub async fn accept_connection(endpoint: &TcpListener) -> (Connection, String) {
    loop {
        let mut end = BufReader::new(endpoint.accept().await.expect("a connection").0);
        let first = receive_line(&mut end).await;
        if first != "STATS\r\n" {
            return (end, first);
        }
        spawn_local(async move {
            send(&mut end, "PONG util=0.2,latency_ms=4,x0=0.2\r\n").await;
            while !receive_line(&mut end).await.is_empty() {
                send(&mut end, "PONG util=0.2,latency_ms=4,x0=0.2\r\n").await;
            }
        });
    }
}

pub type Endpoints<'a> = &'a [(&'a str, SocketAddr, &'a str)];

pub fn config_text(endpoints: Endpoints, max_descriptors: u64, discovery: SocketAddr) -> String {
    config_value(endpoints, max_descriptors, discovery).to_string()
}

pub fn config_value(endpoints: Endpoints, max_descriptors: u64, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": discovery.to_string(), "seed": "1f",
        "limits": {"sockets": max_descriptors}, "known": endpoint_list_value(1, true, endpoints),
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

pub fn config(
    endpoints: Endpoints, max_descriptors: u64, discovery: SocketAddr,
) -> Result<Config, LoadConfigError> {
    read_config(config_text(endpoints, max_descriptors, discovery).as_bytes())
}

/// Reads a configuration's text as a reload does.
pub fn read_config(text: &[u8]) -> Result<Config, LoadConfigError> {
    let invalid = |source| LoadConfigError::Invalid { path: "config.json".into(), source };
    Config::read(text, |_| None).map_err(invalid)
}

pub struct Relay {
    pub address: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    pub reloads: UnboundedSender<Result<Config, LoadConfigError>>,
    pub stop: oneshot::Sender<()>,
    pub ended: tokio::task::JoinHandle<Result<(), ServeError>>,
}

impl Relay {
    /// Starts a relay that knows the given endpoints and whose discovery is down.
    pub async fn start(endpoints: Endpoints<'_>, max_descriptors: u64) -> Relay {
        Relay::with_discovery(endpoints, max_descriptors, "127.0.0.1:1".parse().expect("an address")).await
    }

    pub async fn with_discovery(
        endpoints: Endpoints<'_>, max_descriptors: u64, discovery: SocketAddr,
    ) -> Relay {
        Relay::of(config_value(endpoints, max_descriptors, discovery)).await
    }

    pub async fn of(config: Value) -> Relay {
        let config = Config::read(config.to_string().as_bytes(), |_| None).expect("a sound configuration");
        let (clients, address) = listen().await;
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
        Relay { address, admin, reloads, stop, ended }
    }

    /// Sends an admin command and returns the answer.
    pub async fn admin_command(&self, line: &str) -> String {
        let mut end = BufReader::new(TcpStream::connect(self.admin).await.expect("a connection"));
        send(&mut end, line).await;
        receive_to_end(end).await
    }

    pub async fn client(&self, first: &str) -> Connection {
        let mut end = BufReader::new(TcpStream::connect(self.address).await.expect("a connection"));
        send(&mut end, first).await;
        end
    }
}

/// Runs a test case on a single-threaded runtime, as the relay's; a case that hangs fails by a timeout.
pub fn run_case(run: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let limit = Duration::from_secs(60);
    let done = LocalSet::new().block_on(&runtime, async { tokio::time::timeout(limit, run).await });
    done.expect("the case ends");
}

/// Accepts the next request to discovery and reads its head.
pub async fn accept_request(discovery: &TcpListener, wanted: &str) -> Connection {
    let mut end = BufReader::new(discovery.accept().await.expect("a call").0);
    let path = receive_line(&mut end).await;
    assert!(path.starts_with(wanted), "{path}");
    while receive_line(&mut end).await != "\r\n" {}
    end
}

pub async fn respond(mut end: Connection, status: &str, body: &str) {
    let head = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len());
    send(&mut end, &(head + body)).await;
}

/// Returns an endpoint list in discovery's JSON.
pub fn endpoint_list(version: u64, whole: bool, endpoints: Endpoints) -> String {
    endpoint_list_value(version, whole, endpoints).to_string()
}

fn endpoint_list_value(version: u64, whole: bool, endpoints: Endpoints) -> Value {
    let entry = |(id, address, state): &(&str, SocketAddr, &str)| json!({"id": id, "addr": address.to_string(), "state": state});
    let endpoints: Vec<_> = endpoints.iter().map(entry).collect();
    json!({"version": version, "full": whole, "servers": endpoints})
}

/// Establishes a connection and returns the client's and the endpoint's end.
pub async fn establish_connection(relay: &Relay, endpoint: &TcpListener) -> (Connection, Connection) {
    let mut client = relay.client(OPEN).await;
    let (mut upstream, _) = accept_connection(endpoint).await;
    send(&mut upstream, "UP r1\r\n").await;
    assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
    (client, upstream)
}

/// An endpoint that connects late: its accept queue is full until [`LateListener::accept_waiting`].
pub struct LateListener {
    listener: std::net::TcpListener,
    filled: Vec<std::net::TcpStream>,
    pub address: SocketAddr,
}

impl LateListener {
    pub fn new() -> LateListener {
        use std::net::TcpStream as Stream;
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("a listener").into_std().expect("a plain listener");
        let address = listener.local_addr().expect("an address");
        let mut filled = Vec::new();
        // The kernel queues more than the backlog; the queue is full when a connection times out.
        while let Ok(stream) = Stream::connect_timeout(&address, Duration::from_millis(100)) {
            filled.push(stream);
            assert!(filled.len() < 100, "a queue that never fills");
        }
        LateListener { listener, filled, address }
    }

    /// Waits until another connection attempt is in progress, by the kernel's table of connections.
    pub async fn wait_for_dial(&self) {
        let port = format!(":{:04X} 02 ", self.address.port());
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
            if table.lines().any(|line| line.contains(&port)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Empties the queue. Pending attempts connect when the kernel retries, about a second after they began.
    pub fn accept_waiting(&mut self) {
        self.listener.set_nonblocking(false).expect("an option");
        for _ in self.filled.drain(..) {
            self.listener.accept().expect("one that waited");
        }
    }

    /// Accepts the next connection and receives everything up to its end.
    pub async fn next_connection(self) -> String {
        self.listener.set_nonblocking(true).expect("an option");
        let listener = TcpListener::from_std(self.listener).expect("a listener");
        receive_to_end(BufReader::new(listener.accept().await.expect("a connection").0)).await
    }
}

pub const OPEN: &str = "OPEN 9b1f 7f3a c=study,d=26000,g=5c0f,x=1\r\n";

/// Returns a request whose connection has this id.
pub fn open_request(id: &str) -> String {
    OPEN.replace("9b1f", id)
}
