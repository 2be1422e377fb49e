//! Hot restart: one process of a relay takes over from another, under load and with faults.

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

/// An endpoint that accepts every connection and answers health checks and lines.
fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut out = stream.try_clone().expect("the other way");
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let answer = match line.split(' ').next() {
                        Some("OPEN") => "UP r-1\r\n",
                        Some("STATS") => "PONG util=0.1,latency_ms=3,x0=0.1\r\n",
                        _ => "OK\r\n",
                    };
                    if out.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A discovery with one endpoint list; it answers a watch after its wait.
fn discovery(endpoint_list: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let body = endpoint_list.to_string();
            std::thread::spawn(move || {
                let mut out = stream.try_clone().expect("the other way");
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    if line.contains("wait=") {
                        sleep(Duration::from_secs(4));
                    }
                    if line.is_empty() {
                        let answer =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        if out.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

/// What the processes of one relay share: folder, address, configuration.
struct RelaySetup {
    folder: ScratchDirectory,
    clients: SocketAddr,
    config: PathBuf,
}

impl RelaySetup {
    fn new(name: &str) -> RelaySetup {
        let (folder, clients, address) = (ScratchDirectory::new(name), unused_address(), start_endpoint());
        // Weights that no test's load exhausts.
        let endpoints: Vec<Value> = ["s-1", "s-2", "s-3"]
            .map(|id| json!({"id": id, "addr": address.to_string(), "state": "active", "weight": 1e5}))
            .to_vec();
        let endpoint_list = json!({"version": 3, "full": true, "servers": endpoints});
        let config = json!({
            "name": "n0", "listen": clients.to_string(), "discovery": discovery(endpoint_list.clone()).to_string(),
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
        command.stderr(fs::File::create(self.folder.0.join(log)).expect("a log")).stdout(Stdio::null());
        command
    }

    /// Starts a process and waits until its status is ready.
    fn start(&self, log: &str) -> (Relay, SocketAddr) {
        let admin = unused_address();
        let child = self.command(admin, log).spawn().expect("a process");
        let relay = Relay { child, log: self.folder.0.join(log) };
        eventually("a ready status", || call(admin, "status").starts_with("YES"));
        (relay, admin)
    }

    /// Returns the path of the maintenance file.
    fn maintenance_file(&self) -> PathBuf {
        let name = self.clients.to_string().replace(':', "-");
        self.folder.0.join(format!("honeyknot-{name}")).join("by-hand")
    }
}

fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < until, "no {what} in time");
        sleep(Duration::from_millis(10));
    }
}

/// Returns the answer to an admin command; empty if there is none.
fn call(admin: SocketAddr, line: &str) -> String {
    let mut answer = String::new();
    let _ = TcpStream::connect(admin).and_then(|mut caller| {
        caller.write_all(format!("{line}\r\n").as_bytes())?;
        caller.read_to_string(&mut answer)
    });
    answer
}

fn figure(admin: SocketAddr, name: &str) -> Value {
    let stats = call(admin, "stats");
    let line = stats.lines().next().unwrap_or_default();
    serde_json::from_str::<Value>(line).map(|figures| figures[name].clone()).unwrap_or_default()
}

static IDS: AtomicUsize = AtomicUsize::new(0);

/// Opens a connection and returns its first line; an error if it was not answered.
fn open(address: SocketAddr) -> std::io::Result<(String, TcpStream)> {
    let mut client = TcpStream::connect(address)?;
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    client.write_all(format!("OPEN c{id} k{id} c=study,d=1200\r\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(client.try_clone()?).read_line(&mut line)?;
    Ok((line, client))
}

fn signal(relay: &Relay, name: &str) {
    let sent = Command::new("kill").args([name, &relay.child.id().to_string()]).status();
    assert!(sent.expect("a signal").success());
}

/// Clients that connect one after another until stopped; counts them and records failures.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<(usize, Vec<String>)>>,
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
                    match open(address) {
                        Ok((line, _)) if line.starts_with("UP") => {}
                        other => failures.push(format!("{other:?}")),
                    }
                    sleep(Duration::from_millis(2));
                }
                (opened, failures)
            })
        };
        let threads = (0..4).map(|_| client()).collect();
        Load { stop, threads }
    }

    fn end(self) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let (mut opened, mut failures) = (0, Vec::new());
        for thread in self.threads {
            let (count, failed) = thread.join().expect("a client");
            opened += count;
            failures.extend(failed);
        }
        (opened, failures)
    }
}

#[test]
fn successors_take_over_under_load_and_every_client_is_answered() {
    let setup = RelaySetup::new("upgrade");
    let (mut old, mut admin) = setup.start("0.log");
    let load = Load::start(setup.clients);
    assert_eq!(call(admin, "maint-on s-1"), "YES\r\n");
    for round in 1..=4 {
        let (new, new_admin) = setup.start(&format!("{round}.log"));
        // Maintenance at the predecessor holds at the successor, and a change at either holds at both.
        assert_eq!(figure(new_admin, "ejected"), 1);
        assert_eq!(call(new_admin, "maint-on s-2"), "YES\r\n");
        assert_eq!(figure(admin, "ejected"), 2);
        assert_eq!(call(admin, "maint-off s-2"), "YES\r\n");
        assert_eq!(figure(new_admin, "ejected"), 1);
        signal(&old, "-TERM");
        assert_eq!(old.child.wait().expect("an end").code(), Some(0), "{:?}", fs::read_to_string(&old.log));
        (old, admin) = (new, new_admin);
    }
    let (opened, failures) = load.end();
    assert!(opened > 100 && failures.is_empty(), "{} of {opened}: {:?}", failures.len(), failures.first());
}

#[test]
fn a_connection_continues_in_the_successor_when_the_predecessor_stops() {
    let setup = RelaySetup::new("sessions");
    let (mut old, _) = setup.start("old.log");
    let (first, client) = open(setup.clients).expect("a session");
    assert!(first.starts_with("UP"), "{first}");
    let mut lines = BufReader::new(client.try_clone().expect("the other way"));
    let mut ask = |text: &str| {
        (&client).write_all(text.as_bytes()).expect("a write");
        let mut line = String::new();
        lines.read_line(&mut line).expect("a line");
        line
    };
    let (mut new, admin) = setup.start("new.log");
    assert_eq!(ask("card 1\r\n"), "OK\r\n");
    // Half a line is sent while the connection is transferred.
    (&client).write_all(b"card ").expect("a write");
    signal(&old, "-TERM");
    assert_eq!(old.child.wait().expect("an end").code(), Some(0));
    assert_eq!(ask("2\r\n"), "OK\r\n");
    assert_eq!(figure(admin, "outstanding"), 1);
    // A third process receives it from the second; without a successor the third has its client migrate.
    let (mut third, _) = setup.start("third.log");
    signal(&new, "-TERM");
    assert_eq!(new.child.wait().expect("an end").code(), Some(0));
    assert_eq!(ask("card 3\r\n"), "OK\r\n");
    signal(&third, "-TERM");
    let mut rest = String::new();
    lines.read_to_string(&mut rest).expect("an orderly end");
    assert_eq!(rest, "MOVE\r\n");
    assert_eq!(third.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn the_predecessor_serves_on_when_the_successor_dies() {
    let setup = RelaySetup::new("dies");
    let (_old, admin) = setup.start("old.log");
    for round in 0..2 {
        let (mut new, _) = setup.start(&format!("new-{round}.log"));
        signal(&new, "-KILL");
        new.child.wait().expect("an end");
        assert!(open(setup.clients).expect("it serves").0.starts_with("UP"), "after {round}");
        assert_eq!(call(admin, "status"), "YES\r\n");
    }
}

#[test]
fn of_two_successors_one_takes_over_and_the_other_reports_why_not() {
    let setup = RelaySetup::new("two");
    let (_old, _) = setup.start("old.log");
    let (_new, _) = setup.start("new.log");
    // The successor is still linked to its predecessor; of two further successors only one may follow it.
    let admins = [unused_address(), unused_address()];
    let logs = ["third.log", "fourth.log"];
    let mut racers: Vec<Relay> = (0..2)
        .map(|i| {
            let child = setup.command(admins[i], logs[i]).spawn().expect("a process");
            Relay { child, log: setup.folder.0.join(logs[i]) }
        })
        .collect();
    eventually("an answer", || {
        let ended = racers.iter_mut().filter_map(|r| r.child.try_wait().expect("a state")).count();
        let serving = admins.iter().filter(|a| call(**a, "status").starts_with("YES")).count();
        ended + serving == 2
    });
    for racer in &mut racers {
        if let Some(status) = racer.child.try_wait().expect("a state") {
            let log = fs::read_to_string(&racer.log).expect("a log");
            assert!(status.code() == Some(2) && log.contains("another process is taking over"), "{log}");
        }
    }
    assert!(open(setup.clients).expect("it serves").0.starts_with("UP"));
}

#[test]
fn maintenance_outlives_a_killed_process_and_a_torn_file_is_ignored() {
    let setup = RelaySetup::new("killed");
    let (mut first, admin) = setup.start("first.log");
    assert_eq!(call(admin, "maint-on s-1"), "YES\r\n");
    signal(&first, "-KILL");
    first.child.wait().expect("an end");
    // The dead process's socket still exists.
    let (mut second, admin) = setup.start("second.log");
    assert_eq!(figure(admin, "ejected"), 1);
    // The running process is asked, not the file.
    let whole = fs::read(setup.maintenance_file()).expect("a file");
    fs::write(setup.maintenance_file(), &whole[..whole.len() / 2]).expect("a torn file");
    let (mut third, admin) = setup.start("third.log");
    assert_eq!(figure(admin, "ejected"), 1);
    for relay in [&mut second, &mut third] {
        signal(relay, "-KILL");
        relay.child.wait().expect("an end");
    }
    let (fourth, admin) = setup.start("fourth.log");
    assert_eq!(figure(admin, "ejected"), 0);
    fourth.wait_for_log("maintenance file ignored");
}

#[test]
fn an_admin_command_reports_its_answer_by_the_exit_status() {
    let setup = RelaySetup::new("call");
    let (_relay, admin) = setup.start("log");
    let admin_command = |words: &[&str]| {
        let address = admin.to_string();
        let output =
            relay_command(&setup.config, &[&["call", &address], words].concat()).output().expect("a run");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    assert_eq!(admin_command(&["status"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(admin_command(&["maint-on", "s-1"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(admin_command(&["maint-on", "nobody"]).0, Some(1));
    let (code, figures) = admin_command(&["stats"]);
    assert!(code == Some(0) && figures.ends_with("\nEND\n"), "{figures}");
    let nobody = relay_command(&setup.config, &["call", &unused_address().to_string(), "status"])
        .output()
        .expect("a run");
    assert_eq!(nobody.status.code(), Some(2));
}

#[test]
fn a_start_with_an_admin_address_in_use_fails_and_names_it() {
    let setup = RelaySetup::new("taken");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let admin = taken.local_addr().expect("an address");
    let output = setup.command(admin, "log").output().expect("a run");
    let log = fs::read_to_string(setup.folder.0.join("log")).expect("a log");
    assert!(output.status.code() == Some(2) && log.contains("`admin_addr`"), "{log}");
    // A process that serves is not affected.
    let (_relay, _) = setup.start("serves");
    assert_eq!(setup.command(admin, "again").output().expect("a run").status.code(), Some(2));
    assert!(open(setup.clients).expect("it serves").0.starts_with("UP"));
}

#[test]
fn a_maintenance_file_is_read_whole_or_not_at_all() {
    let ongoing = |id: &str, since| OngoingMaintenance { id: id.into(), since };
    let state = MaintenanceState {
        ongoing: vec![ongoing("s-1", 5), ongoing("s-2", 7)],
        ended: vec![EndedMaintenance { id: "s-3".into(), from: 9, to: 17 }],
    };
    let bytes = state.to_file_bytes();
    assert_eq!(MaintenanceState::from_file_bytes(&bytes).expect("a whole file"), state);
    for cut in 0..bytes.len() {
        assert!(MaintenanceState::from_file_bytes(&bytes[..cut]).is_err(), "cut at {cut}");
        let mut flipped = bytes.clone();
        flipped[cut] ^= 1;
        assert!(MaintenanceState::from_file_bytes(&flipped).is_err(), "flipped at {cut}");
    }
}
