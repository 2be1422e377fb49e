//! Runs a relay within the test process on loopback sockets. The tests play its clients, endpoints and
//! discovery.
#![allow(dead_code)] // Each test file uses only some of these helpers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_relay::relay::lifecycle::config::{Config, LoadConfigError};
use honeyknot_relay::relay::lifecycle::hot_restart::{Predecessor, StateDirectory};
use honeyknot_relay::relay::{Listeners, ServeError, serve_with_listeners};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

pub type Connection = BufReader<TcpStream>;

/// Receives one line, with its line ending. Returns an empty string at the end of the connection.
pub async fn receive_line(connection: &mut Connection) -> String {
    let mut text = String::new();
    connection.read_line(&mut text).await.expect("the line is read");
    text
}

pub async fn send(connection: &mut Connection, text: &str) {
    connection.write_all(text.as_bytes()).await.expect("the text is sent");
}

/// Receives everything up to the end of the connection.
pub async fn receive_to_end(mut connection: Connection) -> String {
    let mut text = String::new();
    connection.read_to_string(&mut text).await.expect("the connection ends without an error");
    text
}

pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// Accepts connections of an endpoint until one is not a health check, and returns it with its first line.
/// Health checks are answered in the background.
pub async fn accept_connection(endpoint: &TcpListener) -> (Connection, String) {
    loop {
        let mut connection = BufReader::new(endpoint.accept().await.expect("the connection is accepted").0);
        let first_line = receive_line(&mut connection).await;
        if first_line != "STATS\r\n" {
            return (connection, first_line);
        }
        spawn_local(async move {
            send(&mut connection, "PONG util=0.2,latency_ms=4,x0=0.2\r\n").await;
            while !receive_line(&mut connection).await.is_empty() {
                send(&mut connection, "PONG util=0.2,latency_ms=4,x0=0.2\r\n").await;
            }
        });
    }
}

/// Id, address and state of each endpoint.
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
    /// Address for clients.
    pub address: SocketAddr,
    /// Address for admin commands.
    pub admin: SocketAddr,
    pub reloads: UnboundedSender<Result<Config, LoadConfigError>>,
    pub stop: oneshot::Sender<()>,
    pub serve_task: tokio::task::JoinHandle<Result<(), ServeError>>,
}

impl Relay {
    /// Starts a relay that knows the given endpoints and whose discovery refuses connections.
    pub async fn start(endpoints: Endpoints<'_>, max_descriptors: u64) -> Relay {
        Relay::with_discovery(endpoints, max_descriptors, "127.0.0.1:1".parse().expect("a valid address"))
            .await
    }

    pub async fn with_discovery(
        endpoints: Endpoints<'_>, max_descriptors: u64, discovery: SocketAddr,
    ) -> Relay {
        Relay::with_config(config_value(endpoints, max_descriptors, discovery)).await
    }

    pub async fn with_config(config: Value) -> Relay {
        let config = Config::read(config.to_string().as_bytes(), |_| None).expect("a valid configuration");
        Relay::with_directory(config, None).await
    }

    /// Starts a relay that other processes of it find in a state directory, if one is given.
    pub async fn with_directory(config: Config, directory: Option<StateDirectory>) -> Relay {
        let clients = listen().await.0;
        Relay::in_place_of(None, clients, config, directory).await
    }

    /// Starts a relay that accepts clients with this listener, once its predecessor, if there is one, has handed over.
    pub async fn in_place_of(
        predecessor: Option<Predecessor>, clients: TcpListener, config: Config,
        directory: Option<StateDirectory>,
    ) -> Relay {
        let address = clients.local_addr().expect("the listener has an address");
        let (operators, admin) = listen().await;
        let (stop, stop_signal) = oneshot::channel();
        let (reloads, reloaded) = unbounded_channel();
        let stop_signal = async move {
            let _ = stop_signal.await;
        };
        let state_directory = directory.map(Rc::new);
        let listeners = Listeners { clients, admin: Some(operators), state_directory, predecessor };
        let serve_task = spawn_local(serve_with_listeners(listeners, config, stop_signal, reloaded));
        Relay { address, admin, reloads, stop, serve_task }
    }

    /// Sends an admin command and returns the answer.
    pub async fn admin_command(&self, line: &str) -> String {
        let mut connection = BufReader::new(
            TcpStream::connect(self.admin).await.expect("the admin address accepts connections"),
        );
        send(&mut connection, line).await;
        receive_to_end(connection).await
    }

    /// Connects a client and sends its first line, or a part of one.
    pub async fn client(&self, first_line: &str) -> Connection {
        let mut connection =
            BufReader::new(TcpStream::connect(self.address).await.expect("the relay accepts connections"));
        send(&mut connection, first_line).await;
        connection
    }
}

/// Runs a test case on a single-threaded runtime, which the relay needs. A case that hangs fails after a
/// timeout.
pub fn run_case(test_case: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let time_limit = Duration::from_secs(60);
    let result =
        LocalSet::new().block_on(&runtime, async { tokio::time::timeout(time_limit, test_case).await });
    result.expect("the test case ends within its time limit");
}

/// Accepts the next HTTP request to discovery, whose request line must start as given, and reads its headers.
pub async fn accept_request(discovery: &TcpListener, expected_start: &str) -> Connection {
    let mut connection = BufReader::new(discovery.accept().await.expect("the connection is accepted").0);
    let request_line = receive_line(&mut connection).await;
    assert!(request_line.starts_with(expected_start), "{request_line}");
    while receive_line(&mut connection).await != "\r\n" {}
    connection
}

/// Sends an HTTP response and closes the connection.
pub async fn respond(mut connection: Connection, status: &str, body: &str) {
    let head = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len());
    send(&mut connection, &(head + body)).await;
}

/// Returns an endpoint list as discovery's JSON. A list that is not full holds only the changed endpoints.
pub fn endpoint_list(version: u64, full: bool, endpoints: Endpoints) -> String {
    endpoint_list_value(version, full, endpoints).to_string()
}

fn endpoint_list_value(version: u64, full: bool, endpoints: Endpoints) -> Value {
    let entry = |(id, address, state): &(&str, SocketAddr, &str)| json!({"id": id, "addr": address.to_string(), "state": state});
    let endpoints: Vec<_> = endpoints.iter().map(entry).collect();
    json!({"version": version, "full": full, "servers": endpoints})
}

/// Establishes a connection through the relay and returns its client side and its endpoint side.
pub async fn establish_connection(relay: &Relay, endpoint: &TcpListener) -> (Connection, Connection) {
    let mut client = relay.client(OPEN).await;
    let (mut upstream, _) = accept_connection(endpoint).await;
    send(&mut upstream, "UP r1\r\n").await;
    assert_eq!(receive_line(&mut client).await, "UP r1\r\n");
    (client, upstream)
}

/// An endpoint on which connection attempts stay pending: its accept queue is full until
/// [`LateListener::accept_pending`].
pub struct LateListener {
    listener: std::net::TcpListener,
    queued: Vec<std::net::TcpStream>,
    pub address: SocketAddr,
}

impl LateListener {
    pub fn new() -> LateListener {
        use std::net::TcpStream as Stream;
        let socket = tokio::net::TcpSocket::new_v4().expect("the socket is created");
        socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("a free port");
        let listener =
            socket.listen(1).expect("the socket listens").into_std().expect("the listener is converted");
        let address = listener.local_addr().expect("the listener has an address");
        let mut queued = Vec::new();
        // The kernel queues more than the backlog; the queue is full when a connection times out.
        while let Ok(stream) = Stream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
            assert!(queued.len() < 100, "the accept queue does not fill");
        }
        LateListener { listener, queued, address }
    }

    /// Waits until the kernel's table of connections shows a pending attempt (state 02, `SYN_SENT`) to this
    /// address.
    pub async fn wait_for_connection_attempt(&self) {
        let pending = format!(":{:04X} 02 ", self.address.port());
        loop {
            let table =
                std::fs::read_to_string("/proc/net/tcp").expect("the table of connections is readable");
            if table.lines().any(|line| line.contains(&pending)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Empties the accept queue. Pending attempts connect when the kernel retries, about a second after they
    /// began.
    pub fn accept_pending(&mut self) {
        self.listener.set_nonblocking(false).expect("the socket option is set");
        for _ in self.queued.drain(..) {
            self.listener.accept().expect("a queued connection is accepted");
        }
    }

    /// Accepts the next connection and receives everything up to its end.
    pub async fn next_connection(self) -> String {
        self.listener.set_nonblocking(true).expect("the socket option is set");
        let listener = TcpListener::from_std(self.listener).expect("the listener is converted");
        receive_to_end(BufReader::new(listener.accept().await.expect("the connection is accepted").0)).await
    }
}

/// A request for a connection, with id `9b1f`.
pub const OPEN: &str = "OPEN 9b1f 7f3a c=study,d=26000,g=5c0f,x=1\r\n";

/// Returns the request [`OPEN`] with another connection id.
pub fn open_request(id: &str) -> String {
    OPEN.replace("9b1f", id)
}
