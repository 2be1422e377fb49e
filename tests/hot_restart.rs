//! Hot restart: a new process of a relay takes over from the running one, under load and with faults.

#[path = "support/process.rs"]
mod process;

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use honeyknot_relay::relay::lifecycle::hot_restart::{
    EndedMaintenance, MaintenanceState, OngoingMaintenance,
};
use process::{Relay, ScratchDirectory, relay_command, unused_address};
use serde_json::{Value, json};

/// Starts an endpoint that accepts every connection and answers requests, health checks and other lines.
fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().expect("the socket is cloned");
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let answer = match line.split(' ').next() {
                        Some("OPEN") => "UP r-1\r\n",
                        Some("STATS") => "PONG util=0.1,latency_ms=3,x0=0.1\r\n",
                        _ => "OK\r\n",
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

/// Starts a discovery that answers every request with the same endpoint list, a watch only after 4 seconds.
fn start_discovery(endpoint_list: Value) -> SocketAddr {
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

/// What the processes of one relay share: their directory, client address and configuration file.
struct RelaySetup {
    folder: ScratchDirectory,
    clients: SocketAddr,
    config: PathBuf,
}

impl RelaySetup {
    fn new(name: &str) -> RelaySetup {
        let (folder, clients, address) = (ScratchDirectory::new(name), unused_address(), start_endpoint());
        // The weights are high enough for the load of every test.
        let endpoints: Vec<Value> = ["s-1", "s-2", "s-3"]
            .map(|id| json!({"id": id, "addr": address.to_string(), "state": "active", "weight": 1e5}))
            .to_vec();
        let endpoint_list = json!({"version": 3, "full": true, "servers": endpoints});
        let config = json!({
            "name": "n0", "listen": clients.to_string(), "discovery": start_discovery(endpoint_list.clone()).to_string(),
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

    fn command(&self, admin: SocketAddr, log: &str) -> Command {
        let mut command = relay_command(&self.config, &["serve", "--log-form", "json"]);
        command.env("TMPDIR", &self.folder.0).env("EDGE_ADMIN_ADDR", admin.to_string());
        command
            .stderr(fs::File::create(self.folder.0.join(log)).expect("the log file is created"))
            .stdout(Stdio::null());
        command
    }

    /// Starts a process and waits until its status is `YES`. Returns its admin address, too.
    fn start(&self, log: &str) -> (Relay, SocketAddr) {
        let admin = unused_address();
        let child = self.command(admin, log).spawn().expect("the relay starts");
        let relay = Relay { child, log: self.folder.0.join(log) };
        wait_until("status YES", || admin_command(admin, "status").starts_with("YES"));
        (relay, admin)
    }

    /// Returns the path of the maintenance file.
    fn maintenance_file(&self) -> PathBuf {
        let name = self.clients.to_string().replace(':', "-");
        self.folder.0.join(format!("honeyknot-{name}")).join("by-hand")
    }
}

/// Waits until a condition holds; panics after 20 seconds.
fn wait_until(expectation: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "no {expectation} in time");
        sleep(Duration::from_millis(10));
    }
}

/// Returns the answer to an admin command, or an empty string if there is none.
fn admin_command(admin: SocketAddr, line: &str) -> String {
    let mut answer = String::new();
    let _ = TcpStream::connect(admin).and_then(|mut connection| {
        connection.write_all(format!("{line}\r\n").as_bytes())?;
        connection.read_to_string(&mut answer)
    });
    answer
}

/// Returns one value of the `stats` command, or null if there is none.
fn stat(admin: SocketAddr, name: &str) -> Value {
    let stats = admin_command(admin, "stats");
    let line = stats.lines().next().unwrap_or_default();
    serde_json::from_str::<Value>(line).map(|values| values[name].clone()).unwrap_or_default()
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// Opens a connection with a new id and returns the first line of the answer.
fn open_connection(address: SocketAddr) -> std::io::Result<(String, TcpStream)> {
    let mut client = TcpStream::connect(address)?;
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    client.write_all(format!("OPEN c{id} k{id} c=study,d=1200\r\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(client.try_clone()?).read_line(&mut line)?;
    Ok((line, client))
}

fn send_signal(relay: &Relay, name: &str) {
    let sent = Command::new("kill").args([name, &relay.child.id().to_string()]).status();
    assert!(sent.expect("`kill` runs").success());
}

/// Four threads that open connections one after another until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<(usize, Vec<String>)>>,
}

impl Load {
    fn start(address: SocketAddr) -> Load {
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
    fn stop_and_collect(self) -> (usize, Vec<String>) {
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

#[test]
fn every_client_is_answered_while_successors_take_over_under_load() {
    let setup = RelaySetup::new("upgrade");
    let (mut predecessor, mut predecessor_admin) = setup.start("0.log");
    let load = Load::start(setup.clients);
    assert_eq!(admin_command(predecessor_admin, "maint-on s-1"), "YES\r\n");
    for round in 1..=4 {
        let (successor, successor_admin) = setup.start(&format!("{round}.log"));
        // The successor takes over the maintenance state, and a change in either process applies to both.
        assert_eq!(stat(successor_admin, "ejected"), 1);
        assert_eq!(admin_command(successor_admin, "maint-on s-2"), "YES\r\n");
        assert_eq!(stat(predecessor_admin, "ejected"), 2);
        assert_eq!(admin_command(predecessor_admin, "maint-off s-2"), "YES\r\n");
        assert_eq!(stat(successor_admin, "ejected"), 1);
        send_signal(&predecessor, "-TERM");
        assert_eq!(
            predecessor.child.wait().expect("the process ends").code(),
            Some(0),
            "{:?}",
            fs::read_to_string(&predecessor.log)
        );
        (predecessor, predecessor_admin) = (successor, successor_admin);
    }
    let (opened, failures) = load.stop_and_collect();
    assert!(opened > 100 && failures.is_empty(), "{} of {opened}: {:?}", failures.len(), failures.first());
}

#[test]
fn a_connection_continues_in_the_successor_when_the_predecessor_stops() {
    let setup = RelaySetup::new("sessions");
    let (mut first, _) = setup.start("old.log");
    let (first_line, client) = open_connection(setup.clients).expect("the connection is answered");
    assert!(first_line.starts_with("UP"), "{first_line}");
    let mut lines = BufReader::new(client.try_clone().expect("the socket is cloned"));
    let mut request = |text: &str| {
        (&client).write_all(text.as_bytes()).expect("the line is sent");
        let mut line = String::new();
        lines.read_line(&mut line).expect("the answer is read");
        line
    };
    let (mut second, admin) = setup.start("new.log");
    assert_eq!(request("card 1\r\n"), "OK\r\n");
    // The first half of a line is sent before the connection is transferred, the second half after that.
    (&client).write_all(b"card ").expect("the bytes are sent");
    send_signal(&first, "-TERM");
    assert_eq!(first.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(request("2\r\n"), "OK\r\n");
    assert_eq!(stat(admin, "outstanding"), 1);
    // The second process transfers the connection to the third. The third has no successor, so it migrates
    // the client.
    let (mut third, _) = setup.start("third.log");
    send_signal(&second, "-TERM");
    assert_eq!(second.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(request("card 3\r\n"), "OK\r\n");
    send_signal(&third, "-TERM");
    let mut rest = String::new();
    lines.read_to_string(&mut rest).expect("the connection ends without an error");
    assert_eq!(rest, "MOVE\r\n");
    assert_eq!(third.child.wait().expect("the process ends").code(), Some(0));
}

#[test]
fn the_predecessor_continues_to_serve_when_its_successor_is_killed() {
    let setup = RelaySetup::new("dies");
    let (_predecessor, admin) = setup.start("old.log");
    for round in 0..2 {
        let (mut successor, _) = setup.start(&format!("new-{round}.log"));
        send_signal(&successor, "-KILL");
        successor.child.wait().expect("the process ends");
        assert!(
            open_connection(setup.clients).expect("the connection is answered").0.starts_with("UP"),
            "after round {round}"
        );
        assert_eq!(admin_command(admin, "status"), "YES\r\n");
    }
}

#[test]
fn of_two_concurrent_successors_one_takes_over_and_a_rejected_one_reports_the_reason() {
    let setup = RelaySetup::new("two");
    let (_predecessor, _) = setup.start("old.log");
    let (_successor, _) = setup.start("new.log");
    // The successor is still connected to its predecessor. Only one of two further processes may follow it at
    // a time.
    let admins = [unused_address(), unused_address()];
    let logs = ["third.log", "fourth.log"];
    let mut candidates: Vec<Relay> = (0..2)
        .map(|index| {
            let child = setup.command(admins[index], logs[index]).spawn().expect("the relay starts");
            Relay { child, log: setup.folder.0.join(logs[index]) }
        })
        .collect();
    wait_until("result of both processes", || {
        let stopped = candidates
            .iter_mut()
            .filter_map(|candidate| candidate.child.try_wait().expect("the status is known"))
            .count();
        let serving =
            admins.iter().filter(|admin| admin_command(**admin, "status").starts_with("YES")).count();
        stopped + serving == 2
    });
    for candidate in &mut candidates {
        if let Some(status) = candidate.child.try_wait().expect("the status is known") {
            let log = fs::read_to_string(&candidate.log).expect("the log is readable");
            assert!(status.code() == Some(2) && log.contains("another process is taking over"), "{log}");
        }
    }
    assert!(open_connection(setup.clients).expect("the connection is answered").0.starts_with("UP"));
}

#[test]
fn maintenance_survives_a_killed_process_and_a_torn_maintenance_file_is_ignored() {
    let setup = RelaySetup::new("killed");
    let (mut first, admin) = setup.start("first.log");
    assert_eq!(admin_command(admin, "maint-on s-1"), "YES\r\n");
    send_signal(&first, "-KILL");
    first.child.wait().expect("the process ends");
    // The socket file of the killed process still exists.
    let (mut second, admin) = setup.start("second.log");
    assert_eq!(stat(admin, "ejected"), 1);
    // The third process takes the state from the running second process, not from the torn file.
    let bytes = fs::read(setup.maintenance_file()).expect("the file is readable");
    fs::write(setup.maintenance_file(), &bytes[..bytes.len() / 2]).expect("the file is written");
    let (mut third, admin) = setup.start("third.log");
    assert_eq!(stat(admin, "ejected"), 1);
    for relay in [&mut second, &mut third] {
        send_signal(relay, "-KILL");
        relay.child.wait().expect("the process ends");
    }
    let (fourth, admin) = setup.start("fourth.log");
    assert_eq!(stat(admin, "ejected"), 0);
    fourth.wait_for_log("maintenance file ignored");
}

#[test]
fn the_call_command_exits_with_a_status_for_the_answer() {
    let setup = RelaySetup::new("call");
    let (_relay, admin) = setup.start("log");
    let run_call = |arguments: &[&str]| {
        let address = admin.to_string();
        let output = relay_command(&setup.config, &[&["call", &address], arguments].concat())
            .output()
            .expect("the program runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    assert_eq!(run_call(&["status"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(run_call(&["maint-on", "s-1"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(run_call(&["maint-on", "nobody"]).0, Some(1));
    let (code, stats) = run_call(&["stats"]);
    assert!(code == Some(0) && stats.ends_with("\nEND\n"), "{stats}");
    let unreachable = relay_command(&setup.config, &["call", &unused_address().to_string(), "status"])
        .output()
        .expect("the program runs");
    assert_eq!(unreachable.status.code(), Some(2));
}

#[test]
fn a_start_with_an_admin_address_in_use_fails_and_names_the_setting() {
    let setup = RelaySetup::new("taken");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let admin = listener.local_addr().expect("the listener has an address");
    let output = setup.command(admin, "log").output().expect("the program runs");
    let log = fs::read_to_string(setup.folder.0.join("log")).expect("the log is readable");
    assert!(output.status.code() == Some(2) && log.contains("`admin_addr`"), "{log}");
    // A process that already serves is not affected.
    let (_relay, _) = setup.start("serves");
    assert_eq!(setup.command(admin, "again").output().expect("the program runs").status.code(), Some(2));
    assert!(open_connection(setup.clients).expect("the connection is answered").0.starts_with("UP"));
}

#[test]
fn a_truncated_or_corrupted_maintenance_file_is_rejected() {
    let ongoing = |id: &str, since| OngoingMaintenance { id: id.into(), since };
    let state = MaintenanceState {
        ongoing: vec![ongoing("s-1", 5), ongoing("s-2", 7)],
        ended: vec![EndedMaintenance { id: "s-3".into(), from: 9, to: 17 }],
    };
    let bytes = state.to_file_bytes();
    assert_eq!(MaintenanceState::from_file_bytes(&bytes).expect("the file is valid"), state);
    for cut in 0..bytes.len() {
        assert!(MaintenanceState::from_file_bytes(&bytes[..cut]).is_err(), "cut at {cut}");
        let mut flipped = bytes.clone();
        flipped[cut] ^= 1;
        assert!(MaintenanceState::from_file_bytes(&flipped).is_err(), "flipped at {cut}");
    }
}
