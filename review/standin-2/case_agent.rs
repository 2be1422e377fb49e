//! Pushed lists: the agent becomes slow, and a card server begins to drain.

mod common;
use common::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

const DEADLINE_MS: u64 = 1200;
/// The grace of the settings (`stopSendingWithinUs`) and the slack of the rules on sockets.
const GRACE_MS: u64 = 500 + 50;
/// How long each call waits for its turn at the agent: less than the grace.
const TURN_MS: u64 = 450;
const DRAIN_MS: u64 = 20_000;

fn main() {
    let (folder, root) = folders();
    let record = Record::open(&folder);
    let temp = TempFolder::new();
    let received = Arc::new(Mutex::new(Vec::new()));
    let agent = Discovery::start(&record);
    let servers: Vec<CardServer> =
        (0..4).map(|i| CardServer::start(&format!("s{i}"), &record, &received)).collect();
    for server in &servers {
        agent.set(&server.id, server.address, "active", 0);
    }
    let config = RelayConfig {
        folder: temp.0.clone(),
        listen: free_address(),
        discovery: agent.address,
        known: agent.list_json(),
        settings: settings(&SettingsOptions { discovery: "pushed", deadline_ms: DEADLINE_MS, ..Default::default() }),
        sockets: 1024,
    };
    let tmpdir = temp.0.join("tmp");
    std::fs::create_dir_all(&tmpdir).unwrap();
    let relay = start_relay(&root, &config, &tmpdir, None, "8c1f30d27a5be964", "relay.log");
    if !wait_ready(config.listen, 10_000) {
        finish(&record, vec![relay], temp, 2, "the relay did not get ready");
    }
    let traffic = Traffic::start(&record, config.listen, DEADLINE_MS, 100, 3000);
    sleep_ms(5000);
    if trouble() {
        agent.turn_ms.store(TURN_MS, Ordering::SeqCst);
        record.line(&format!("each call to the agent now waits {TURN_MS} ms for its turn"));
    }
    sleep_ms(5000);
    let drain_at = record.now();
    agent.set("s0", servers[0].address, "leaving", 0);
    servers[0].drains.store(true, Ordering::SeqCst);
    // Another caller, who asks now and waits for the answer.
    let asked_at = record.now();
    let other = get(agent.address, "/registry/instances?index=44&wait=1000");
    let heard_after = record.now() - asked_at;
    record.line(&format!("another caller hears of it after {heard_after} ms: {}", other.contains("leaving")));
    if !other.contains("leaving") || heard_after > GRACE_MS {
        finish(&record, vec![relay], temp, 2, "the agent was slower than the case wants");
    }
    sleep_ms(DRAIN_MS);
    traffic.stop();
    let limit = drain_at + GRACE_MS;
    let late: Vec<Received> =
        received.lock().unwrap().iter().filter(|r| r.server == "s0" && r.at > limit).cloned().collect();
    for r in &late {
        record.line(&format!("late: {} was sent to s0 at {}, the limit was {limit}", r.id, r.at));
    }
    let text = format!(
        "drain at {drain_at}, heard by another caller after {heard_after} ms; {} new connections were sent to s0 after \
         {limit}, the last at {}",
        late.len(),
        late.iter().map(|r| r.at).max().unwrap_or(0)
    );
    finish(&record, vec![relay], temp, i32::from(!late.is_empty()), &text);
}

fn get(address: std::net::SocketAddr, path: &str) -> String {
    use std::io::{Read, Write};
    let Ok(mut stream) = std::net::TcpStream::connect(address) else { return String::new() };
    let _ = stream.set_read_timeout(Some(std::time::Duration::from_millis(2000)));
    let _ = stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n").as_bytes());
    let mut buffer = [0; 8192];
    match stream.read(&mut buffer) {
        Ok(n) => String::from_utf8_lossy(&buffer[..n]).into_owned(),
        Err(_) => String::new(),
    }
}
