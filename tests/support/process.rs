//! Runs the relay's program as a child process of a test.
#![allow(dead_code)] // Each test file uses only some of these helpers.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::net::TcpSocket;

/// A temporary directory of one test, removed when dropped.
pub struct ScratchDirectory(pub PathBuf);

impl ScratchDirectory {
    pub fn new(name: &str) -> ScratchDirectory {
        let path = std::env::temp_dir().join(format!("honeyknot-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the directory is created");
        ScratchDirectory(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("the file is written");
        path
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a configuration with two zones, whose discovery refuses connections.
pub fn config(listen: SocketAddr) -> String {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": "127.0.0.1:1", "seed": "1f",
        "limits": {"sockets": 128},
        "settings": {
            "family": "conn", "discovery": "on_request", "zone": "tema", "zones": ["tema", "kasoa"],
            "services": [{"name": "study", "effect": "idempotent", "aimUs": 300000, "hardLimitUs": 1200000}],
            "rules": {"startCapacity": 0.3, "coldUs": 9000000, "overloadFactor": 3.0}}})
    .to_string()
}

pub fn relay_command(config: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_honeyknot-relay"));
    command.args(arguments).env("EDGE_CONFIG", config);
    for name in [
        "EDGE_NAME",
        "EDGE_LISTEN",
        "EDGE_DISCOVERY",
        "HONEYKNOT_SITES",
        "HONEYKNOT_NEIGHBORS",
        "HONEYKNOT_LOG",
    ] {
        command.env_remove(name);
    }
    command
}

/// A relay process, killed when dropped.
pub struct Relay {
    pub child: Child,
    pub log: PathBuf,
}

impl Relay {
    /// Starts a relay that logs to a file of that name in the directory, and waits until it serves.
    pub fn start(folder: &ScratchDirectory, config: &Path, log: &str, arguments: &[&str]) -> Relay {
        let log = folder.0.join(log);
        let mut command = relay_command(config, &["serve", "--log-form", "json"]);
        command
            .args(arguments)
            .stderr(fs::File::create(&log).expect("the log file is created"))
            .stdout(Stdio::null());
        let relay = Relay { child: command.spawn().expect("the relay starts"), log };
        relay.wait_for_log("\"message\":\"serving\"");
        relay
    }

    pub fn send_sighup(&self) {
        let sent = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status();
        assert!(sent.expect("`kill` runs").success());
    }

    /// Waits until the log contains a text.
    pub fn wait_for_log(&self, text: &str) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text)) {
            assert!(Instant::now() < deadline, "no `{text}` in {:?}", fs::read_to_string(&self.log));
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address that nothing listens on, reserved until this process ends.
///
/// The socket stays bound without listening, so the system assigns its port to no other socket that binds
/// port 0. A listener that binds this address with `SO_REUSEADDR`, as relays do, may still use it.
pub fn unused_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("the socket is created");
    socket.set_reuseaddr(true).expect("the socket option is set");
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
    let address = socket.local_addr().expect("the socket has an address");
    std::mem::forget(socket);
    address
}

/// Sends a request to a relay and returns the first line of its answer.
pub fn first_answer_line(relay: SocketAddr, request: &str) -> String {
    let mut client = TcpStream::connect(relay).expect("the relay accepts connections");
    client.write_all(request.as_bytes()).expect("the request is sent");
    let mut line = String::new();
    BufReader::new(client).read_line(&mut line).expect("the answer is read");
    line
}
