//! A bad client sends the id of another client's open connection, before and during an upgrade.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const DEADLINE_MS: u64 = 1200;
const CLIENTS: usize = 12;

fn main() {
    let (folder, root) = folders();
    let record = Record::open(&folder);
    let temp = TempFolder::new();
    let received = Arc::new(Mutex::new(Vec::new()));
    let discovery = Discovery::start(&record);
    let servers: Vec<CardServer> =
        (0..4).map(|i| CardServer::start(&format!("s{i}"), &record, &received)).collect();
    for server in &servers {
        discovery.set(&server.id, server.address, "active", 0);
    }
    let effect = "at_most_once";
    let config = RelayConfig {
        folder: temp.0.clone(),
        listen: free_address(),
        discovery: discovery.address,
        known: discovery.list_json(),
        settings: settings(&SettingsOptions { effect, deadline_ms: DEADLINE_MS, ..Default::default() }),
        sockets: 1024,
    };
    let tmpdir = temp.0.join("tmp");
    std::fs::create_dir_all(&tmpdir).unwrap();
    let (old_admin, new_admin) = (free_address(), free_address());
    let mut relays = vec![start_relay(&root, &config, &tmpdir, Some(old_admin), "8c1f30d27a5be964", "old.log")];
    if !wait_ready(config.listen, 10_000) {
        finish(&record, relays, temp, 2, "the relay did not get ready");
    }
    let leave = Arc::new(AtomicBool::new(false));
    let sessions: Sessions = Default::default();
    for _ in 0..CLIENTS {
        client(&record, config.listen, DEADLINE_MS, 2000, &leave, &sessions);
        sleep_ms(60);
    }
    sleep_ms(1000);
    let open: Vec<Received> = received.lock().unwrap().clone();
    if open.len() != CLIENTS {
        finish(&record, relays, temp, 2, "not all connections are up");
    }
    if trouble() {
        record.line("the new process is started");
        relays.push(start_relay(&root, &config, &tmpdir, Some(new_admin), "1d2f30d27a5be911", "new.log"));
        if wait_yes(&record, new_admin, 10_000).is_none() {
            finish(&record, relays, temp, 2, "the new process did not say yes");
        }
        record.line("the new process says yes");
    }
    // One bad client: it sends the id of one open connection after the other.
    let mut answers = Vec::new();
    for r in &open {
        let answer = bad_client(&record, config.listen, &r.id);
        record.line(&format!("bad client with the id of {} (open at {}): {answer:?}", r.id, r.server));
        answers.push(answer);
        sleep_ms(100);
    }
    if trouble() {
        record.line("SIGTERM to the old process");
        relays[0].signal(SIGTERM);
        sleep_ms(DEADLINE_MS + 700);
    }
    let still_open = CLIENTS - sessions.lock().unwrap().len();
    leave.store(true, Ordering::SeqCst);
    sleep_ms(500);
    let served = answers.iter().flatten().filter(|a| a.starts_with("UP ")).count();
    let twice = open
        .iter()
        .filter(|r| received.lock().unwrap().iter().filter(|other| other.id == r.id).count() > 1)
        .count();
    let text = format!(
        "of {CLIENTS} requests with the id of an open one, {served} were answered UP and {twice} ids ran twice; \
         {still_open} of the {CLIENTS} clients still have their connection"
    );
    finish(&record, relays, temp, i32::from(served > 0 || twice > 0), &text);
}

fn bad_client(record: &Record, relay: std::net::SocketAddr, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(relay).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 600))).ok()?;
    let key = new_id();
    stream.write_all(format!("OPEN {id} {key} c=study-session,d={DEADLINE_MS}\r\n").as_bytes()).ok()?;
    Lines::new().next(&mut stream, record).map(|(line, _)| line)
}
