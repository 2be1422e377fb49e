//! A relay with persistent counters exports them to Graphite, and a new version takes over from it under load. A
//! total must not go backwards at the sink.

#[allow(dead_code)] // Each case uses a part.
#[path = "standin.rs"]
mod standin;

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use standin::*;

/// The series that is checked: requests whose connection was established, a total.
const TOTAL: &str = "honeyknot.n1.served";

/// The values of the checked series as they arrived, with their times in Unix seconds.
type Samples = Arc<Mutex<Vec<(u64, u64)>>>;

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
    let platform = Platform::new("n1", 1024, &discovery, record);
    let sink = TcpListener::bind("127.0.0.1:0").unwrap();
    let state = platform.folder.join("state");
    let operators_file = platform.folder.join("metrics.conf");
    let text = format!(
        "state {}\n\nsink graphite {{\n    graphite {}\n    interval 1s\n}}\n",
        state.display(),
        sink.local_addr().unwrap()
    );
    std::fs::write(&operators_file, text).unwrap();
    // The operators' file is named in the environment of `run`. Nothing else runs in this process yet that reads
    // the environment.
    std::env::set_var("HONEYKNOT_METRICS", operators_file);
    let samples: Samples = Arc::default();
    collect(sink, samples.clone(), record);
    let code = play_on(record, &platform, &samples);
    platform.remove();
    code
}

/// Graphite's plaintext protocol: a line for each sample, `NAME VALUE TIME`.
fn collect(sink: TcpListener, samples: Samples, record: &Record) {
    let record = record.clone();
    spawn(move || {
        for stream in sink.incoming().flatten() {
            let (samples, record) = (samples.clone(), record.clone());
            spawn(move || {
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let words: Vec<&str> = line.split(' ').collect();
                    let [TOTAL, value, time] = words[..] else { continue };
                    record.add(format!("the sink gets {line}"));
                    if let (Ok(value), Ok(time)) = (value.parse(), time.parse()) {
                        samples.lock().unwrap().push((time, value));
                    }
                }
            });
        }
    });
}

fn play_on(record: &Record, platform: &Platform, samples: &Samples) -> i32 {
    let mut old = platform.start("old", true);
    if !wait_until(ms(10_000), || old.call("status") == "YES") {
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, relay, served) = (stop.clone(), platform.listen, record.clone());
    let load = spawn(move || {
        let mut number = 0;
        while !stopped.load(Ordering::Relaxed) {
            let (answer, _) = request(relay, &format!("c{number}"), "study-session", 1200, Duration::ZERO);
            served.add(format!("c{number} is answered: {answer:?}"));
            number += 1;
            sleep(ms(50));
        }
    });
    sleep(ms(8_000));
    let before = samples.lock().unwrap().len();

    let mut new = trouble().then(|| platform.start("new", true));
    if let Some(new) = &mut new {
        if !wait_until(ms(10_000), || new.call("status") == "YES") {
            return 2;
        }
        record.add("new: status YES");
        sleep(ms(2_000));
        record.add("the platform sends SIGTERM to old");
        old.signal("TERM");
        if !wait_until(ms(3_000), || old.has_ended()) {
            record.add("the platform sends SIGKILL to old");
            old.signal("KILL");
        }
        record.add("old has ended");
        sleep(ms(500));
    }
    let ended = samples.lock().unwrap().len();
    sleep(ms(8_000));
    stop.store(true, Ordering::Relaxed);
    let _ = load.join();

    // Only samples from after the old process's end count, so that no two processes report at the same time.
    let samples = samples.lock().unwrap().clone();
    if before < 4 || samples.len() < ended + 4 {
        return 2;
    }
    let reported = samples[..before].iter().map(|sample| sample.1).max().unwrap_or(0);
    let later: Vec<u64> = samples[ended..].iter().map(|sample| sample.1).collect();
    let backwards = later.iter().filter(|total| **total < reported).count();
    let text = format!("{TOTAL} was {reported}; {backwards} of {} later samples are below it: {later:?}", later.len());
    record.add(&text);
    println!("{text}");
    i32::from(backwards > 0)
}
