//! A planned restart while one of four card servers hangs in the middle of a line.

mod common;
use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

const CLIENTS: usize = 40;
const DEADLINE_MS: u64 = 1200;
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER_MS: u64 = DEADLINE_MS + 700;

fn main() {
    let (folder, root) = folders();
    let record = Record::open(&folder);
    let temp = TempFolder::new();
    let received = Arc::new(Mutex::new(Vec::new()));
    let discovery = Discovery::start(&record);
    let servers: Vec<CardServer> =
        (0..4).map(|i| CardServer::start(&format!("s{i}"), &record, &received)).collect();
    for server in &servers {
        server.piece_gap_ms.store(30, Ordering::SeqCst);
        discovery.set(&server.id, server.address, "active", 0);
    }
    let config = RelayConfig {
        folder: temp.0.clone(),
        listen: free_address(),
        discovery: discovery.address,
        known: discovery.list_json(),
        settings: settings(&SettingsOptions { deadline_ms: DEADLINE_MS, ..Default::default() }),
        sockets: 1024,
    };
    let tmpdir = temp.0.join("tmp");
    std::fs::create_dir_all(&tmpdir).unwrap();
    let mut relay = start_relay(&root, &config, &tmpdir, None, "8c1f30d27a5be964", "relay.log");
    if !wait_ready(config.listen, 10_000) {
        finish(&record, vec![relay], temp, 2, "the relay did not get ready");
    }
    let leave = Arc::new(AtomicBool::new(false));
    let sessions: Sessions = Default::default();
    for _ in 0..CLIENTS {
        client(&record, config.listen, DEADLINE_MS, 2000, &leave, &sessions);
        sleep_ms(60);
    }
    sleep_ms(1500);
    let open: u64 = servers.iter().map(|s| s.open.load(Ordering::SeqCst)).sum();
    let on_first = servers[0].open.load(Ordering::SeqCst);
    record.line(&format!("{open} connections are up, {on_first} of them at s0"));
    if open < CLIENTS as u64 * 8 / 10 || on_first < 3 {
        finish(&record, vec![relay], temp, 2, "too few connections are up");
    }
    if trouble() {
        // Each client sends a line every 2 s, so within 2 s the card server hangs in a line of each connection.
        servers[0].hangs.store(true, Ordering::SeqCst);
        record.line("s0 hangs");
        sleep_ms(2050);
    }
    record.line("SIGTERM");
    let term_at = record.now();
    relay.signal(SIGTERM);
    while record.now() < term_at + KILL_AFTER_MS && !relay.has_exited() {
        sleep_ms(5);
    }
    let exited = relay.has_exited();
    record.line(&format!("{} ms after SIGTERM: exited: {exited}", record.now() - term_at));
    if !exited {
        relay.signal(SIGKILL);
    }
    sleep_ms(500);
    leave.store(true, Ordering::SeqCst);
    sleep_ms(300);
    let sessions = sessions.lock().unwrap().clone();
    let up: Vec<&Session> = sessions.iter().filter(|s| s.up_at.is_some()).collect();
    let moved = up.iter().filter(|s| s.end == End::Moved).count();
    let cut: Vec<&&Session> = up.iter().filter(|s| matches!(s.end, End::CutOff(_))).collect();
    for s in &cut {
        let after = s.ended_at.saturating_sub(term_at);
        record.line(&format!("lost: client {} at {}, {after} ms after SIGTERM, {:?}", s.id, s.server, s.end));
    }
    let at_hung = cut.iter().filter(|s| s.server == "s0").count();
    let text = format!(
        "{} connections were up at SIGTERM, {moved} were sent MOVE, {} were cut off without it ({at_hung} at s0)",
        up.len(),
        cut.len()
    );
    finish(&record, vec![relay], temp, i32::from(!cut.is_empty()), &text);
}
