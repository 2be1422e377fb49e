//! Four relays whose card servers report their load in answers and may not be probed. One of six card servers quickly
//! fails three of five requests for 11 s. A relay may not reject all that it gets for 4 s on end without an attempt; at
//! most one in ten may.

#[path = "standin.rs"]
#[allow(dead_code)] // Each case uses a part.
mod standin;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

use standin::*;

const RELAYS: usize = 4;
const CARD_SERVERS: usize = 6;
/// How long a session lasts.
const LIFE_MS: u64 = 5_000;
/// From the start of the clients to the beginning of the trouble.
const FAILS_AFTER_MS: u64 = 20_000;
/// How long the card server fails requests; `len_s = [11, 29]` of the site.
const FAILS_MS: u64 = 11_000;
/// How long the clients go on after that.
const AFTER_MS: u64 = 30_000;
/// The rule: so many requests, for so long, all rejected, without an attempt.
const MIN_REQUESTS: usize = 15;
const MIN_TIME_MS: f64 = 4_000.0;
const CLASS: &str = "study-session";

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let record = Record::new();
    let code = play(&record);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

fn play(record: &Record) -> i32 {
    let life = Some(ms(LIFE_MS));
    let server = |n| CardServer::start_with_life(life, &format!("s-{n}"), record);
    let servers: Vec<CardServer> = (0..CARD_SERVERS).map(server).collect();
    let discovery = Discovery::start(&servers, record);
    let platforms: Vec<Platform> = (0..RELAYS).map(|n| platform(n, &discovery, record)).collect();
    let code = play_on(record, &servers, &platforms);
    platforms.iter().for_each(Platform::remove);
    code
}

fn platform(number: usize, discovery: &Discovery, record: &Record) -> Platform {
    let me = format!("\"me\":{number}");
    let changes = [
        ("\"source\":\"pull\"", "\"source\":\"piggyback\""),
        ("\"probing\":true", "\"probing\":false"),
        ("\"me\":1", me.as_str()),
    ];
    Platform::with_changes(&changes, &format!("n{number}"), 1024, discovery, record)
}

fn play_on(record: &Record, servers: &[CardServer], platforms: &[Platform]) -> i32 {
    let mut relays: Vec<Relay> = platforms.iter().map(|platform| platform.start("relay", false)).collect();
    if !platforms.iter().all(|platform| wait_for_pong(platform.listen)) {
        return 2;
    }
    let clients: Vec<Clients> =
        platforms.iter().enumerate().map(|(n, platform)| Clients::start(n, platform.listen, record)).collect();
    sleep(ms(FAILS_AFTER_MS));
    if trouble() {
        servers[0].set_failing(true, record);
    }
    sleep(ms(FAILS_MS));
    if trouble() {
        servers[0].set_failing(false, record);
    }
    sleep(ms(AFTER_MS));
    let answers: Vec<Vec<Answered>> = clients.into_iter().map(Clients::stop).collect();
    if relays.iter_mut().any(Relay::has_ended) {
        return 2;
    }

    let attempts: Vec<(String, f64)> =
        servers.iter().flat_map(|server| server.opened.lock().unwrap().clone()).collect();
    let mut rejecting = 0;
    for (number, answers) in answers.iter().enumerate() {
        let own = |id: &str| id.starts_with(&format!("n{number}-"));
        let own_attempts: Vec<f64> = attempts.iter().filter(|(id, _)| own(id)).map(|(_, at)| *at).collect();
        let (count, time) = longest_rejection(answers, &own_attempts);
        let breaks = count >= MIN_REQUESTS && time >= MIN_TIME_MS;
        rejecting += usize::from(breaks);
        let text = format!(
            "relay n{number}: {}; longest stretch of rejections without an attempt: {count} requests, {time:.0} ms",
            counts(&answers.iter().map(|answered| answered.answer).collect::<Vec<_>>())
        );
        record.add(&text);
        println!("{text}");
    }
    let text = format!("{rejecting} of {RELAYS} relays rejected all that they got for {MIN_TIME_MS} ms on end");
    record.add(&text);
    println!("{text}");
    i32::from(rejecting * 10 > RELAYS)
}

/// The longest stretch of requests, one after another, that were all rejected while no attempt was made: how many, and
/// how long from the first one's sending to the last one's answer.
fn longest_rejection(answers: &[Answered], attempts: &[f64]) -> (usize, f64) {
    let mut longest = (0, 0.0);
    let (mut count, mut from) = (0, 0.0);
    for answered in answers {
        let attempted = attempts.iter().any(|at| *at >= from && *at <= answered.answered_at);
        if answered.answer != Answer::Refused {
            count = 0;
            continue;
        }
        if count == 0 || attempted {
            (count, from) = (0, answered.sent_at);
        }
        count += 1;
        let time = answered.answered_at - from;
        if time > longest.1 {
            longest = (count, time);
        }
    }
    longest
}

/// A request, and how and when it was answered.
#[derive(Clone)]
struct Answered {
    sent_at: f64,
    answered_at: f64,
    answer: Answer,
}

/// The clients of a relay, 10 a second.
struct Clients {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answered>>>,
}

impl Clients {
    fn start(number: usize, relay: SocketAddr, record: &Record) -> Clients {
        let clients = Clients { stop: Arc::default(), answers: Arc::default() };
        let (stopped, answers, record) = (clients.stop.clone(), clients.answers.clone(), record.clone());
        spawn(move || {
            for client in 1.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let (answers, record) = (answers.clone(), record.clone());
                spawn(move || {
                    let id = format!("n{number}-c{client}");
                    record.add(format!("{id} is sent"));
                    let sent_at = record.now();
                    let (answer, stream) = request(relay, &id, CLASS, 1200, ms(0));
                    record.add(format!("{id} is answered: {answer:?}"));
                    answers.lock().unwrap().push(Answered { sent_at, answered_at: record.now(), answer });
                    if let Some(session) = stream {
                        stay(session);
                    }
                });
                sleep(ms(100));
            }
        });
        clients
    }

    /// Stops the clients and returns how their requests were answered, in the order in which they were sent.
    fn stop(self) -> Vec<Answered> {
        self.stop.store(true, Ordering::Relaxed);
        sleep(ms(2_000));
        let mut answers = self.answers.lock().unwrap().clone();
        answers.sort_by(|a, b| a.sent_at.total_cmp(&b.sent_at));
        answers
    }
}

/// Keeps a session until it ends: a line every 2 s.
fn stay(mut session: TcpStream) {
    let mut lines = BufReader::new(session.try_clone().unwrap());
    let _ = session.set_read_timeout(Some(ms(2_000)));
    let _ = session.write_all(b"an answer\r\n");
    loop {
        let mut line = String::new();
        match lines.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) if line.starts_with("BYE") || line.starts_with("MOVE") => return,
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {
                let _ = session.write_all(b"an answer\r\n");
            }
            Err(_) => return,
        }
    }
}
