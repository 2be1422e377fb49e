//! A new version is started under load; an operator takes a card server out at the new process, which says yes.
//! From 0.5 s after the yes nothing new may go to that card server until the call back. Then the operators restart
//! the card server that they believe to be out; the test counts the sessions that this cuts off.

#[path = "standin.rs"]
#[allow(dead_code)] // Each case uses a part.
mod standin;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};

use standin::*;

/// The time that discovery works on a call: ordinary for a single service that answers 3 to 5 calls a second.
const CALL_TIME_MS: u64 = 300;
/// `stopSendingWithinUs` of the settings, and the 50 ms by which every limit is longer on sockets.
const GRACE_MS: f64 = 550.0;
const OUT: &str = "s-1";

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let record = Record::new();
    let code = play(&record);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

fn play(record: &Record) -> i32 {
    let servers: Vec<CardServer> = (0..3).map(|n| CardServer::start(&format!("s-{n}"), record)).collect();
    let discovery = Discovery::start(&servers, record);
    discovery.set_call_time(ms(CALL_TIME_MS));
    let platform = Platform::new("n1", 1024, &discovery, record);
    let code = play_on(record, &servers, &platform);
    platform.remove();
    code
}

fn play_on(record: &Record, servers: &[CardServer], platform: &Platform) -> i32 {
    let mut old = platform.start("old", true);
    if !wait_until(ms(10_000), || old.call("status") == "YES") {
        return 2;
    }
    record.add("old: status YES");
    let load = Load::start(platform.listen, record);
    sleep(ms(3_000));
    if servers[1].opened.lock().unwrap().is_empty() {
        return 2;
    }

    // Without the disruption, the one process of the relay is called.
    let new = trouble().then(|| platform.start("new", true));
    let called = new.as_ref().unwrap_or(&old);
    let mut answer = String::new();
    wait_until(ms(10_000), || {
        answer = called.call(&format!("maint-on {OUT}"));
        !answer.is_empty()
    });
    let answered_at = record.now();
    record.add(format!("the operator's maint-on {OUT} is answered {answer}"));
    if answer != "YES" {
        return 2;
    }
    if let Some(new) = &new {
        if !wait_until(ms(10_000), || new.call("status") == "YES") {
            return 2;
        }
        record.add("new: status YES");
        sleep(ms(3_000));
        record.add("the platform sends SIGTERM to old");
        old.signal("TERM");
        if !wait_until(ms(3_000), || old.has_ended()) {
            record.add("the platform sends SIGKILL to old");
            old.signal("KILL");
        }
    }
    sleep(ms(6_000));
    servers[1].restart(record);
    sleep(ms(500));
    let cut_off = load.stop();

    let opened = servers[1].opened.lock().unwrap().clone();
    let late = opened.iter().filter(|(_, at)| *at > answered_at + GRACE_MS).count();
    let text = format!(
        "{late} requests went to {OUT} later than {GRACE_MS} ms after the yes; sessions cut off when it was \
         restarted: {cut_off}"
    );
    record.add(&text);
    println!("{text}");
    i32::from(late > 0)
}

/// Clients, 20 a second, each of which stays for a second.
struct Load {
    stop: Arc<AtomicBool>,
    cut_off: Arc<AtomicUsize>,
}

impl Load {
    fn start(relay: SocketAddr, record: &Record) -> Load {
        let load = Load { stop: Arc::default(), cut_off: Arc::default() };
        let (stopped, cut_off, record) = (load.stop.clone(), load.cut_off.clone(), record.clone());
        spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                number += 1;
                let (record, cut_off) = (record.clone(), cut_off.clone());
                spawn(move || {
                    let id = format!("c{number}");
                    record.add(format!("{id} is sent"));
                    let (answer, stream) = request(relay, &id, "study-session", 1200, ms(0));
                    record.add(format!("{id} is answered: {answer:?}"));
                    if stream.is_some_and(is_cut_off) {
                        record.add(format!("{id} is cut off"));
                        cut_off.fetch_add(1, Ordering::Relaxed);
                    }
                });
                sleep(ms(50));
            }
        });
        load
    }

    /// Stops the clients and returns how many of their sessions were cut off without `MOVE`.
    fn stop(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        sleep(ms(2_000));
        self.cut_off.load(Ordering::Relaxed)
    }
}

/// Stays for a second; returns whether the session was ended meanwhile without `MOVE`.
fn is_cut_off(mut session: TcpStream) -> bool {
    let _ = session.set_read_timeout(Some(ms(1_000)));
    let mut bytes = [0; 64];
    match session.read(&mut bytes) {
        Ok(count) => !bytes[..count].starts_with(b"MOVE"),
        Err(error) => !is_timeout(&error),
    }
}
