//! One process of a relay takes over from another, under load and in trouble.

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
use process::{Folder, Relay, free, honeyknot};
use serde_json::{Value, json};

/// A card server that takes every session and answers probes and lines.
fn card_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
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
    at
}

/// A discovery that tells one roll, to watches after their wait.
fn discovery(roll: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let body = roll.to_string();
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
    at
}

/// A relay's place: its folder, its address, its configuration.
struct World {
    folder: Folder,
    clients: SocketAddr,
    config: PathBuf,
}

impl World {
    fn new(name: &str) -> World {
        let (folder, clients, at) = (Folder::new(name), free(), card_server());
        // Large ones, which no load of a test fills.
        let servers: Vec<Value> = ["s-1", "s-2", "s-3"]
            .map(|id| json!({"id": id, "addr": at.to_string(), "state": "active", "weight": 1e5}))
            .to_vec();
        let roll = json!({"version": 3, "full": true, "servers": servers});
        let config = json!({
            "name": "n0", "listen": clients.to_string(), "discovery": discovery(roll.clone()).to_string(),
            "seed": "1f", "limits": {"sockets": 384}, "known": roll,
            "settings": {
                "family": "conn", "discovery": "on_request", "telemetry": {"source": "pull"},
                "services": [{"name": "study", "effect": "idempotent", "aimUs": 300000, "hardLimitUs": 1200000}],
                "permissions": {"probing": true, "maxAttempts": 6, "connectTimeoutUs": 250000},
                "rules": {"startCapacity": 0.3, "coldUs": 9000000, "overloadFactor": 3.0,
                    "stopSendingWithinUs": 500000, "mustAskInUs": 10000000}}});
        let config = folder.write("config.json", &config.to_string());
        World { folder, clients, config }
    }

    fn command(&self, admin: SocketAddr, log: &str) -> Command {
        let mut command = honeyknot(&self.config, &["serve", "--log-form", "json"]);
        command.env("TMPDIR", &self.folder.0).env("EDGE_ADMIN_ADDR", admin.to_string());
        command.stderr(fs::File::create(self.folder.0.join(log)).expect("a log")).stdout(Stdio::null());
        command
    }

    /// Starts a process and waits until it says that it can serve.
    fn start(&self, log: &str) -> (Relay, SocketAddr) {
        let admin = free();
        let child = self.command(admin, log).spawn().expect("a process");
        let relay = Relay { child, log: self.folder.0.join(log) };
        eventually("a yes", || call(admin, "status").starts_with("YES"));
        (relay, admin)
    }

    /// Where what is out by hand is kept.
    fn kept(&self) -> PathBuf {
        let name = self.clients.to_string().replace(':', "-");
        self.folder.0.join(format!("honeyknot-{name}")).join("by-hand")
    }
}

fn eventually(what: &str, mut held: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !held() {
        assert!(Instant::now() < until, "no {what} in time");
        sleep(Duration::from_millis(10));
    }
}

/// The answer to an operator's call; empty where nobody answers.
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

/// A new client's first answer and its connection; the error if it ended at the door.
fn open(at: SocketAddr) -> std::io::Result<(String, TcpStream)> {
    let mut client = TcpStream::connect(at)?;
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

/// Clients that come one after another until they are told to stop; how many there were, and what went wrong.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<(usize, Vec<String>)>>,
}

impl Load {
    fn start(at: SocketAddr) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let client = || {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let (mut came, mut wrong) = (0, Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    came += 1;
                    match open(at) {
                        Ok((line, _)) if line.starts_with("UP") => {}
                        other => wrong.push(format!("{other:?}")),
                    }
                    sleep(Duration::from_millis(2));
                }
                (came, wrong)
            })
        };
        let threads = (0..4).map(|_| client()).collect();
        Load { stop, threads }
    }

    fn end(self) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let (mut came, mut wrong) = (0, Vec::new());
        for thread in self.threads {
            let (count, told) = thread.join().expect("a client");
            came += count;
            wrong.extend(told);
        }
        (came, wrong)
    }
}

#[test]
fn new_versions_take_over_under_load_and_no_connection_ends_at_the_door() {
    let world = World::new("upgrade");
    let (mut old, mut admin) = world.start("0.log");
    let load = Load::start(world.clients);
    assert_eq!(call(admin, "maint-on s-1"), "YES\r\n");
    for round in 1..=4 {
        let (new, new_admin) = world.start(&format!("{round}.log"));
        // What is out at the old process is out at the new one, and both hold what either is told.
        assert_eq!(figure(new_admin, "ejected"), 1);
        assert_eq!(call(new_admin, "maint-on s-2"), "YES\r\n");
        assert_eq!(figure(admin, "ejected"), 2);
        assert_eq!(call(admin, "maint-off s-2"), "YES\r\n");
        assert_eq!(figure(new_admin, "ejected"), 1);
        signal(&old, "-TERM");
        assert_eq!(old.child.wait().expect("an end").code(), Some(0), "{:?}", fs::read_to_string(&old.log));
        (old, admin) = (new, new_admin);
    }
    let (came, wrong) = load.end();
    assert!(came > 100 && wrong.is_empty(), "{} of {came}: {:?}", wrong.len(), wrong.first());
}

#[test]
fn a_session_goes_on_at_the_new_process_when_the_old_one_is_told_to_stop() {
    let world = World::new("sessions");
    let (mut old, _) = world.start("old.log");
    let (first, client) = open(world.clients).expect("a session");
    assert!(first.starts_with("UP"), "{first}");
    let mut lines = BufReader::new(client.try_clone().expect("the other way"));
    let mut ask = |text: &str| {
        (&client).write_all(text.as_bytes()).expect("a write");
        let mut line = String::new();
        lines.read_line(&mut line).expect("a line");
        line
    };
    let (mut new, admin) = world.start("new.log");
    assert_eq!(ask("card 1\r\n"), "OK\r\n");
    // A line is under way while the session changes hands.
    (&client).write_all(b"card ").expect("a write");
    signal(&old, "-TERM");
    assert_eq!(old.child.wait().expect("an end").code(), Some(0));
    assert_eq!(ask("2\r\n"), "OK\r\n");
    assert_eq!(figure(admin, "outstanding"), 1);
    // A third process gets it from the second. Nobody follows that: its clients are moved.
    let (mut third, _) = world.start("third.log");
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
fn the_old_process_serves_on_when_the_new_one_dies() {
    let world = World::new("dies");
    let (_old, admin) = world.start("old.log");
    for round in 0..2 {
        let (mut new, _) = world.start(&format!("new-{round}.log"));
        signal(&new, "-KILL");
        new.child.wait().expect("an end");
        assert!(open(world.clients).expect("it serves").0.starts_with("UP"), "after {round}");
        assert_eq!(call(admin, "status"), "YES\r\n");
    }
}

#[test]
fn of_two_new_processes_one_takes_over_and_the_other_says_why_not() {
    let world = World::new("two");
    let (_old, _) = world.start("old.log");
    let (_new, _) = world.start("new.log");
    // The first is linked to the old one still: it offers itself, and a third may follow it, but not two at once.
    let admins = [free(), free()];
    let logs = ["third.log", "fourth.log"];
    let mut racers: Vec<Relay> = (0..2)
        .map(|i| {
            let child = world.command(admins[i], logs[i]).spawn().expect("a process");
            Relay { child, log: world.folder.0.join(logs[i]) }
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
    assert!(open(world.clients).expect("it serves").0.starts_with("UP"));
}

#[test]
fn what_is_out_by_hand_outlives_a_process_that_was_killed_and_a_torn_file_is_passed_over() {
    let world = World::new("killed");
    let (mut first, admin) = world.start("first.log");
    assert_eq!(call(admin, "maint-on s-1"), "YES\r\n");
    signal(&first, "-KILL");
    first.child.wait().expect("an end");
    // The socket of the dead process lies there still.
    let (mut second, admin) = world.start("second.log");
    assert_eq!(figure(admin, "ejected"), 1);
    // The living process is asked, not the file.
    let whole = fs::read(world.kept()).expect("a file");
    fs::write(world.kept(), &whole[..whole.len() / 2]).expect("a torn file");
    let (mut third, admin) = world.start("third.log");
    assert_eq!(figure(admin, "ejected"), 1);
    for relay in [&mut second, &mut third] {
        signal(relay, "-KILL");
        relay.child.wait().expect("an end");
    }
    let (fourth, admin) = world.start("fourth.log");
    assert_eq!(figure(admin, "ejected"), 0);
    fourth.logged("maintenance file ignored");
}

#[test]
fn a_call_from_the_command_line_tells_the_answer_by_its_exit_status() {
    let world = World::new("call");
    let (_relay, admin) = world.start("log");
    let told = |words: &[&str]| {
        let at = admin.to_string();
        let output = honeyknot(&world.config, &[&["call", &at], words].concat()).output().expect("a run");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    assert_eq!(told(&["status"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(told(&["maint-on", "s-1"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(told(&["maint-on", "nobody"]).0, Some(1));
    let (code, figures) = told(&["stats"]);
    assert!(code == Some(0) && figures.ends_with("\nEND\n"), "{figures}");
    let nobody = honeyknot(&world.config, &["call", &free().to_string(), "status"]).output().expect("a run");
    assert_eq!(nobody.status.code(), Some(2));
}

#[test]
fn an_operators_address_that_is_taken_ends_the_start_with_its_name() {
    let world = World::new("taken");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let admin = taken.local_addr().expect("an address");
    let output = world.command(admin, "log").output().expect("a run");
    let log = fs::read_to_string(world.folder.0.join("log")).expect("a log");
    assert!(output.status.code() == Some(2) && log.contains("`admin_addr`"), "{log}");
    // The relay that serves is not hurt by it.
    let (_relay, _) = world.start("serves");
    assert_eq!(world.command(admin, "again").output().expect("a run").status.code(), Some(2));
    assert!(open(world.clients).expect("it serves").0.starts_with("UP"));
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
