//! An operator's `maint-on` at the new process, for a card server that only the old process has heard of yet.

mod common;
use common::*;
use std::sync::{Arc, Mutex};

const DEADLINE_MS: u64 = 1200;
/// The ban counts 1 s after the call at the latest.
const CALL_MS: u64 = 1000;
/// The grace of the settings (`stopSendingWithinUs`) and the slack of the rules on sockets.
const GRACE_MS: u64 = 500 + 50;

fn main() {
    let (folder, root) = folders();
    let record = Record::open(&folder);
    let temp = TempFolder::new();
    let received = Arc::new(Mutex::new(Vec::new()));
    let discovery = Discovery::start(&record);
    let servers: Vec<CardServer> =
        (0..4).map(|i| CardServer::start(&format!("s{i}"), &record, &received)).collect();
    for server in &servers[..3] {
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
    // s3 joins after the list in the configuration was written.
    discovery.set("s3", servers[3].address, "active", 0);
    let traffic = Traffic::start(&record, config.listen, DEADLINE_MS, 80, 3000);
    sleep_ms(2000);
    let at_s3 = || received.lock().unwrap().iter().filter(|r| r.server == "s3").count();
    if at_s3() == 0 || !discovery.wait_for_new_watch(10_000) {
        finish(&record, vec![old], temp, 2, "the old process does not use s3, or opened no watch");
    }
    record.line(&format!("the old process has sent {} connections to s3", at_s3()));
    if trouble() {
        discovery.set_crowded(true);
    }
    record.line("the new process is started");
    let new = start_relay(&root, &config, &tmpdir, Some(new_admin), "1d2f30d27a5be911", "new.log");
    let started_at = record.now();
    let Some(yes_at) = wait_yes(&record, new_admin, 10_000) else {
        finish(&record, vec![old, new], temp, 2, "the new process did not say yes");
    };
    record.line(&format!("the new process says yes, {} ms after its start", yes_at - started_at));
    sleep_ms(300);
    let called_at = record.now();
    let answer = admin_call(new_admin, "maint-on s3", 2000);
    record.line(&format!("maint-on s3 at the new process: {answer:?}"));
    // Calls to discovery wait for 5.5 s in all: less than the 6 s after which whatever it tells counts as told.
    let sleep_until = |at: Ms| sleep_ms(at.saturating_sub(record.now()));
    sleep_until(started_at + 5500);
    discovery.set_crowded(false);
    sleep_until(yes_at + 5500);
    record.line("SIGTERM to the old process");
    old.signal(SIGTERM);
    sleep_ms(DEADLINE_MS + 700 + 2000);
    traffic.stop();
    let limit = called_at + CALL_MS + GRACE_MS;
    let late: Vec<Received> =
        received.lock().unwrap().iter().filter(|r| r.server == "s3" && r.at > limit).cloned().collect();
    for r in &late {
        record.line(&format!("late: {} was sent to s3 at {}, the limit was {limit}", r.id, r.at));
    }
    let text = format!(
        "maint-on s3 at {called_at} was answered {answer:?}; {} new connections were sent to s3 after {limit}",
        late.len()
    );
    finish(&record, vec![old, new], temp, i32::from(!late.is_empty()), &text);
}
