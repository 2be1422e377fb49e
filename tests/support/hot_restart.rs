//! Processes of one relay that share a directory, with an endpoint, a discovery and clients played by the test.
#![allow(dead_code)] // Each test file uses only some of these helpers.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::process::{Relay, ScratchDirectory, relay_command, unused_address};

/// Starts an endpoint that accepts every connection and answers requests with this receipt, health checks and
/// other lines.
pub fn start_endpoint(receipt: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().expect("the socket is cloned");
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let answer = match line.split(' ').next() {
                        Some("OPEN") => format!("UP {receipt}\r\n"),
                        Some("STATS") => "PONG util=0.1,latency_ms=3,x0=0.1\r\n".to_owned(),
                        _ => "OK\r\n".to_owned(),
                    };
                    if writer.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a discovery that answers every request with the same endpoint list: a request for the full list after
/// `delay`, a watch only after 4 seconds.
fn start_discovery(endpoint_list: Value, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let body = endpoint_list.to_string();
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().expect("the socket is cloned");
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    if line.contains("wait=") {
                        sleep(Duration::from_secs(4));
                    } else if line.starts_with("GET") {
                        sleep(delay);
                    }
                    if line.is_empty() {
                        let answer =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        if writer.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

/// Returns an endpoint list with the endpoints `s-1`, `s-2` and `s-3` at these addresses.
pub fn endpoint_list(addresses: [SocketAddr; 3]) -> Value {
    // The weights are high enough for the load of every test.
    let endpoint = |(id, address): (&str, SocketAddr)| json!({"id": id, "addr": address.to_string(), "state": "active", "weight": 1e5});
    let endpoints: Vec<Value> = ["s-1", "s-2", "s-3"].into_iter().zip(addresses).map(endpoint).collect();
    json!({"version": 3, "full": true, "servers": endpoints})
}

/// What the processes of one relay share: their directory, client address and configuration file.
pub struct RelaySetup {
    pub folder: ScratchDirectory,
    pub clients: SocketAddr,
    pub config: PathBuf,
}

impl RelaySetup {
    pub fn new(name: &str) -> RelaySetup {
        RelaySetup::with_discovery_delay(name, Duration::ZERO)
    }

    /// Creates a setup whose discovery takes this long for the full list, which a successor waits for before it
    /// takes over.
    pub fn with_discovery_delay(name: &str, delay: Duration) -> RelaySetup {
        let endpoint_list = endpoint_list([start_endpoint("r-1"); 3]);
        let discovery = start_discovery(endpoint_list.clone(), delay);
        RelaySetup::with_discovery(name, &endpoint_list, discovery)
    }

    /// Creates a setup whose processes know this endpoint list and use the discovery at this address.
    pub fn with_discovery(name: &str, endpoint_list: &Value, discovery: SocketAddr) -> RelaySetup {
        let (folder, clients) = (ScratchDirectory::new(name), unused_address());
        let config = json!({
            "name": "n0", "listen": clients.to_string(), "discovery": discovery.to_string(),
            "seed": "1f", "limits": {"sockets": 384}, "known": endpoint_list,
            "settings": {
                "family": "conn", "discovery": "on_request", "telemetry": {"source": "pull"},
                "services": [{"name": "study", "effect": "idempotent", "aimUs": 300000, "hardLimitUs": 1200000}],
                "permissions": {"probing": true, "maxAttempts": 6, "connectTimeoutUs": 250000},
                "rules": {"startCapacity": 0.3, "coldUs": 9000000, "overloadFactor": 3.0,
                    "stopSendingWithinUs": 500000, "mustAskInUs": 10000000}}});
        let config = folder.write("config.json", &config.to_string());
        RelaySetup { folder, clients, config }
    }

    /// Replaces the address of discovery in the configuration file, which SIGHUP makes a process read again.
    pub fn set_discovery(&self, address: SocketAddr) {
        let text = fs::read_to_string(&self.config).expect("the configuration is readable");
        let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
        config["discovery"] = address.to_string().into();
        fs::write(&self.config, config.to_string()).expect("the configuration is written");
    }

    pub fn command(&self, admin: SocketAddr, log: &str) -> Command {
        let mut command = relay_command(&self.config, &["serve", "--log-form", "json"]);
        command.env("TMPDIR", &self.folder.0).env("EDGE_ADMIN_ADDR", admin.to_string());
        command
            .stderr(fs::File::create(self.folder.0.join(log)).expect("the log file is created"))
            .stdout(Stdio::null());
        command
    }

    /// Starts a process and waits until its status is `YES`. Returns its admin address, too.
    pub fn start(&self, log: &str) -> (Relay, SocketAddr) {
        let admin = unused_address();
        let child = self.command(admin, log).spawn().expect("the relay starts");
        let relay = Relay { child, log: self.folder.0.join(log) };
        wait_until("status YES", || admin_command(admin, "status").starts_with("YES"));
        (relay, admin)
    }

    /// Returns the path of the maintenance file.
    pub fn maintenance_file(&self) -> PathBuf {
        let name = self.clients.to_string().replace(':', "-");
        self.folder.0.join(format!("honeyknot-{name}")).join("by-hand")
    }
}

/// Waits until a condition holds; panics after 20 seconds.
pub fn wait_until(expectation: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "no {expectation} in time");
        sleep(Duration::from_millis(10));
    }
}

/// Returns the answer to an admin command, or an empty string if there is none.
pub fn admin_command(admin: SocketAddr, line: &str) -> String {
    let mut answer = String::new();
    let _ = TcpStream::connect(admin).and_then(|mut connection| {
        connection.write_all(format!("{line}\r\n").as_bytes())?;
        connection.read_to_string(&mut answer)
    });
    answer
}

/// Returns one value of the `stats` command, or null if there is none.
pub fn stat(admin: SocketAddr, name: &str) -> Value {
    let stats = admin_command(admin, "stats");
    let line = stats.lines().next().unwrap_or_default();
    serde_json::from_str::<Value>(line).map(|values| values[name].clone()).unwrap_or_default()
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// Opens a connection with a new id and returns the first line of the answer.
pub fn open_connection(address: SocketAddr) -> std::io::Result<(String, TcpStream)> {
    let mut client = TcpStream::connect(address)?;
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    client.write_all(format!("OPEN c{id} k{id} c=study,d=1200\r\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(client.try_clone()?).read_line(&mut line)?;
    Ok((line, client))
}

pub fn send_signal(relay: &Relay, name: &str) {
    let sent = Command::new("kill").args([name, &relay.child.id().to_string()]).status();
    assert!(sent.expect("`kill` runs").success());
}

/// Four threads that open connections one after another until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<(usize, Vec<String>)>>,
}

impl Load {
    pub fn start(address: SocketAddr) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let client = || {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let (mut opened, mut failures) = (0, Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    opened += 1;
                    match open_connection(address) {
                        Ok((line, _)) if line.starts_with("UP") => {}
                        other => failures.push(format!("{other:?}")),
                    }
                    sleep(Duration::from_millis(2));
                }
                (opened, failures)
            })
        };
        let clients = (0..4).map(|_| client()).collect();
        Load { stop, clients }
    }

    /// Stops the threads. Returns how many connections they opened, and which of them failed and how.
    pub fn stop_and_collect(self) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let (mut opened, mut failures) = (0, Vec::new());
        for thread in self.clients {
            let (count, failed) = thread.join().expect("the client thread does not panic");
            opened += count;
            failures.extend(failed);
        }
        (opened, failures)
    }
}
