//! An upgrade under load: the old process passes its open connections to the new one.

mod common;
use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

const DEADLINE_MS: u64 = 1200;
const SERVERS: usize = 19;
/// The descriptor limit of the configuration. Clients hold at most a third of it.
const SOCKETS: u32 = 256;
/// Connections that stay; a few more come and go.
const STAYING: usize = 80;

fn main() {
    let (folder, root) = folders();
    let record = Record::open(&folder);
    let temp = TempFolder::new();
    let received = Arc::new(Mutex::new(Vec::new()));
    let discovery = Discovery::start(&record);
    let servers: Vec<CardServer> =
        (0..SERVERS).map(|i| CardServer::start(&format!("s{i}"), &record, &received)).collect();
    for server in &servers {
        discovery.set(&server.id, server.address, "active", 0);
    }
    let config = RelayConfig {
        folder: temp.0.clone(),
        listen: free_address(),
        discovery: discovery.address,
        known: discovery.list_json(),
        settings: settings(&SettingsOptions { deadline_ms: DEADLINE_MS, ..Default::default() }),
        sockets: SOCKETS,
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
    for _ in 0..STAYING {
        client(&record, config.listen, DEADLINE_MS, 2000, &leave, &sessions);
        sleep_ms(100);
    }
    // Two new clients a second, each for 2 s: 84 connections of clients at a time, a third of 256 is 85.
    let traffic = Traffic::start(&record, config.listen, DEADLINE_MS, 500, 2000);
    sleep_ms(2000);
    let ended = sessions.lock().unwrap().len();
    if ended > STAYING / 10 {
        finish(&record, relays, temp, 2, &format!("{ended} connections did not stay up before the upgrade"));
    }
    record.line(&format!("{} staying connections are up", STAYING - ended));
    let began_at = record.now();
    if trouble() {
        record.line("the new process is started");
        relays.push(start_relay(&root, &config, &tmpdir, Some(new_admin), "1d2f30d27a5be911", "new.log"));
        let Some(yes_at) = wait_yes(&record, new_admin, 10_000) else {
            finish(&record, relays, temp, 2, "the new process did not say yes");
        };
        record.line(&format!("the new process says yes, {} ms after its start", yes_at - began_at));
        sleep_ms(4000);
        record.line("SIGTERM to the old process");
        relays[0].signal(SIGTERM);
        let term_at = record.now();
        while record.now() < term_at + DEADLINE_MS + 700 && !relays[0].has_exited() {
            sleep_ms(5);
        }
        record.line(&format!("the old process has exited: {}", relays[0].has_exited()));
        if !relays[0].has_exited() {
            relays[0].signal(SIGKILL);
        }
        sleep_ms(3000);
    } else {
        sleep_ms(8000);
    }
    leave.store(true, Ordering::SeqCst);
    traffic.stop();
    let mut all = sessions.lock().unwrap().clone();
    all.extend(traffic.sessions.lock().unwrap().clone());
    let up: Vec<&Session> = all.iter().filter(|s| s.up_at.is_some() && s.ended_at >= began_at).collect();
    let moved = up.iter().filter(|s| s.end == End::Moved).count();
    let cut: Vec<&&Session> = up.iter().filter(|s| matches!(s.end, End::CutOff(_))).collect();
    for s in &cut {
        record.line(&format!("lost: client {} at {}, at {}, {:?}", s.id, s.server, s.ended_at, s.end));
    }
    let text = format!(
        "{} connections were up from the upgrade on: {moved} were sent MOVE, {} were cut off without it",
        up.len(),
        cut.len()
    );
    finish(&record, relays, temp, i32::from(!cut.is_empty()), &text);
}
