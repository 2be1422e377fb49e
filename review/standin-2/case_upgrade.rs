//! An upgrade under load while discovery is crowded: the old process hears of a drain after it has handed over.

mod common;
use common::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

const DEADLINE_MS: u64 = 1200;
/// The grace of the settings (`stopSendingWithinUs`) and the slack of the rules on sockets.
const GRACE_MS: u64 = 500 + 50;
/// What discovery tells is binding so long after the new process's yes.
const BINDING_AFTER_YES_MS: u64 = 2000;

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
    let (old_admin, new_admin) = (free_address(), free_address());
    let old = start_relay(&root, &config, &tmpdir, Some(old_admin), "8c1f30d27a5be964", "old.log");
    if !wait_ready(config.listen, 10_000) {
        finish(&record, vec![old], temp, 2, "the relay did not get ready");
    }
    let traffic = Traffic::start(&record, config.listen, DEADLINE_MS, 50, 3000);
    sleep_ms(3000);
    if !discovery.wait_for_new_watch(10_000) {
        finish(&record, vec![old], temp, 2, "the old process opened no watch");
    }
    if trouble() {
        // The watch of the old process is open; calls that arrive from now on wait.
        discovery.set_crowded(true);
    }
    record.line("the new process is started");
    let new = start_relay(&root, &config, &tmpdir, Some(new_admin), "1d2f30d27a5be911", "new.log");
    let started_at = record.now();
    let Some(yes_at) = wait_yes(&record, new_admin, 10_000) else {
        finish(&record, vec![old, new], temp, 2, "the new process did not say yes");
    };
    record.line(&format!("the new process says yes, {} ms after its start", yes_at - started_at));
    sleep_ms(200);
    record.line("s0 begins to drain");
    let drain_at = record.now();
    discovery.set("s0", servers[0].address, "leaving", 0);
    servers[0].drains.store(true, Ordering::SeqCst);
    // Discovery is crowded until 5 s after the change: less than the 6 s after which whatever it has to tell
    // counts as told.
    let sleep_until = |at: Ms| sleep_ms(at.saturating_sub(record.now()));
    sleep_until(drain_at + 4800);
    discovery.set_crowded(false);
    // The old process gets SIGTERM within 6 s of the yes.
    sleep_until(yes_at + 5500);
    record.line("SIGTERM to the old process");
    old.signal(SIGTERM);
    sleep_ms(DEADLINE_MS + 700);
    traffic.stop();
    let Some(told_at) = discovery.told_at("s0") else {
        finish(&record, vec![old, new], temp, 2, "discovery told nobody of the drain");
    };
    let told_in_time = told_at <= drain_at + 500;
    let limit = (told_at + GRACE_MS).max(yes_at + BINDING_AFTER_YES_MS + GRACE_MS);
    let late: Vec<Received> =
        received.lock().unwrap().iter().filter(|r| r.server == "s0" && r.at > limit).cloned().collect();
    for r in &late {
        record.line(&format!("late: {} was sent to s0 at {}, the limit was {limit}", r.id, r.at));
    }
    if !told_in_time {
        finish(&record, vec![old, new], temp, 2, "the old process's watch was not open at the change");
    }
    let text = format!(
        "yes at {yes_at}, drain told at {told_at}, limit {limit}; {} new connections were sent to s0 after it, the last at {}",
        late.len(),
        late.iter().map(|r| r.at).max().unwrap_or(0)
    );
    finish(&record, vec![old, new], temp, i32::from(!late.is_empty()), &text);
}
