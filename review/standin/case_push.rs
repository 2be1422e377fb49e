//! Lists are pushed to the relay's agent, and the agent becomes slow: each call takes 0.3 s. Then a card server
//! begins to drain, and stays for 20 s. Half a second after the relay counts as told nothing new may go to that card
//! server.

#[path = "standin.rs"]
#[allow(dead_code)] // Each case uses a part.
mod standin;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};

use standin::*;

/// How long the slow agent takes for a call.
const CALL_MS: u64 = 300;
/// From the beginning of the trouble to the beginning of the drain.
const DRAIN_AFTER_MS: u64 = 5_000;
/// How long the card server drains.
const DRAIN_MS: u64 = 20_000;
/// 6 s, the latest for any change; then `stopSendingWithinUs` of the settings, and the 50 ms by which every limit
/// is longer on sockets.
const LATEST_MS: f64 = 6_550.0;
const CLASS: &str = "study-session";
const LEAVES: &str = "s-1";

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let record = Record::new();
    let code = play(&record);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

fn play(record: &Record) -> i32 {
    let servers: Vec<CardServer> = (0..3).map(|n| CardServer::start(&format!("s-{n}"), record)).collect();
    let agent = Discovery::start(&servers, record);
    let platform = Platform::with_discovery_mode("pushed", "n1", 1024, &agent, record);
    let code = play_on(record, &servers, &agent, &platform);
    platform.remove();
    code
}

fn play_on(record: &Record, servers: &[CardServer], agent: &Discovery, platform: &Platform) -> i32 {
    let mut relay = platform.start("n1", false);
    if !wait_for_pong(platform.listen) {
        return 2;
    }
    for number in 0..30 {
        let Some(session) = request(platform.listen, &format!("long-{number}"), CLASS, 1200, ms(0)).1 else {
            return 2;
        };
        let (relay, record) = (platform.listen, record.clone());
        spawn(move || stay(relay, session, number, &record));
    }
    let load = Load::start(platform.listen, record);
    sleep(ms(4_000));
    if servers[1].opened.lock().unwrap().is_empty() {
        return 2;
    }

    if trouble() {
        record.add("the agent becomes slow");
        agent.set_crowd(Crowd { failing: 0, too_long: ms(0), turn_after: ms(CALL_MS) });
    }
    sleep(ms(DRAIN_AFTER_MS));
    servers[1].drain(record);
    agent.set_server_state(LEAVES, "leaving");
    let draining_from = record.now();
    // Shows that discovery could be reached all the time.
    if told_of_drain(agent.address, LEAVES, record).is_none() {
        return 2;
    }
    sleep(ms(DRAIN_MS));
    load.stop();
    if relay.has_ended() {
        return 2;
    }

    let opened = servers[1].opened.lock().unwrap().clone();
    let late = opened.iter().filter(|(_, at)| *at > draining_from + LATEST_MS).count();
    let text = format!("{late} requests went to {LEAVES} later than {LATEST_MS} ms after its drain began");
    record.add(&text);
    println!("{text}");
    i32::from(late > 0)
}

/// Keeps a session: a line every 2 s. A client that is sent `MOVE` comes again soon, as BRIEF says.
fn stay(relay: SocketAddr, mut session: TcpStream, number: u64, record: &Record) {
    for times_moved in 1.. {
        let mut lines = BufReader::new(session.try_clone().unwrap());
        loop {
            let mut line = String::new();
            let _ = session.write_all(b"an answer\r\n");
            match lines.read_line(&mut line) {
                Ok(_) if line.starts_with("MOVE") => break,
                Ok(0) | Err(_) => return record.add(format!("long-{number} has ended")),
                Ok(_) => sleep(ms(2_000)),
            }
        }
        record.add(format!("long-{number} is moved"));
        drop(session);
        sleep(ms(60 + 15 * number));
        let id = format!("long-{number}-{times_moved}");
        let (answer, stream) = request(relay, &id, CLASS, 1200, ms(0));
        record.add(format!("{id} is answered: {answer:?}"));
        let Some(stream) = stream else { return };
        session = stream;
    }
}

/// Clients, 10 a second, each of which stays for two seconds.
struct Load {
    stop: Arc<AtomicBool>,
}

impl Load {
    fn start(relay: SocketAddr, record: &Record) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, record) = (stop.clone(), record.clone());
        spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                number += 1;
                let record = record.clone();
                spawn(move || {
                    let id = format!("c{number}");
                    record.add(format!("{id} is sent"));
                    let (answer, stream) = request(relay, &id, CLASS, 1200, ms(0));
                    record.add(format!("{id} is answered: {answer:?}"));
                    sleep(ms(2_000));
                    drop(stream);
                });
                sleep(ms(100));
            }
        });
        Load { stop }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        sleep(ms(2_500));
    }
}
