//! What one client sends takes neither time nor memory from the others.

#[path = "support/hot_restart.rs"]
mod hot_restart;
#[path = "support/process.rs"]
mod process;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use hot_restart::{RelaySetup, endpoint_list, open_connection, wait_until};
use process::{first_answer_line, unused_address};

/// Time that the clients of [`open_connection`] wait for an answer.
const CLIENT_DEADLINE: Duration = Duration::from_millis(1_200);

/// Starts an endpoint that accepts every connection and then reads as fast as it can, without answering.
fn start_fast_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut reader = BufReader::new(stream);
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
                    if line.starts_with("OPEN") {
                        let _ = reader.get_mut().write_all(b"UP r1\r\n");
                        let mut buffer = vec![0; 1 << 18];
                        while reader.get_mut().read(&mut buffer).is_ok_and(|length| length > 0) {}
                        return;
                    }
                    let _ = reader.get_mut().write_all(b"PONG util=0.1,latency_ms=3,x0=0.1\r\n");
                    line.clear();
                }
            });
        }
    });
    address
}

/// Guards against a client that sends lines at full speed and occupies the relay's thread, so that all other
/// clients are answered late.
#[test]
fn clients_are_answered_in_time_while_another_one_sends_at_full_speed() {
    let endpoints = endpoint_list([start_fast_endpoint(); 3]);
    let setup = RelaySetup::with_discovery("flood", &endpoints, unused_address());
    let (_relay, _) = setup.start("log");
    let (answer, mut flooding) = open_connection(setup.clients).expect("the connection is answered");
    assert!(answer.starts_with("UP"), "{answer}");
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let flood = spawn(move || {
        let lines = "abc\r\n".repeat(1 << 14);
        while !stopped.load(Ordering::Relaxed) && flooding.write_all(lines.as_bytes()).is_ok() {}
    });
    sleep(Duration::from_millis(200));
    let neighbor = |number: u64| {
        let address = setup.clients;
        spawn(move || {
            sleep(Duration::from_millis(50 * number));
            let started_at = Instant::now();
            let (answer, _connection) = open_connection(address).expect("the connection is answered");
            (answer, started_at.elapsed())
        })
    };
    let neighbors: Vec<_> = (0..30).map(neighbor).collect();
    for neighbor in neighbors {
        let (answer, elapsed) = neighbor.join().expect("the client does not panic");
        assert!(answer.starts_with("UP") && elapsed < CLIENT_DEADLINE, "{answer} after {elapsed:?}");
    }
    stop.store(true, Ordering::Relaxed);
    flood.join().expect("the client does not panic");
}

/// Returns the resident memory of a process in KiB.
fn resident_kib(process_id: u32) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("the status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a resident size");
    line.split_whitespace().nth(1).and_then(|size| size.parse().ok()).expect("a size in KiB")
}

/// Guards against memory that grows with the length of the names that clients choose.
#[test]
fn memory_does_not_grow_with_long_names_that_are_new_on_every_connection() {
    const CONNECTIONS: u64 = 4_000;
    /// What may be remembered of a client, in KiB.
    const KIB_PER_CLIENT: u64 = 1;
    /// Buffers of the connections that are open at a time, in KiB.
    const BUFFERS_KIB: u64 = 4_096;
    let endpoints = endpoint_list([start_fast_endpoint(); 3]);
    let setup = RelaySetup::with_discovery("names", &endpoints, unused_address());
    let (relay, _) = setup.start("log");
    let resident_at_start = resident_kib(relay.child.id());
    for number in 0..CONNECTIONS {
        let request = format!("OPEN n{number} k{number:0>3900} c=study,d=1200,g=g{number}\r\n");
        // The balancer may reject some of so many requests; what matters here is what established ones leave.
        wait_until("established connection", || first_answer_line(setup.clients, &request).starts_with("UP"));
    }
    let growth = resident_kib(relay.child.id()).saturating_sub(resident_at_start);
    assert!(growth < CONNECTIONS * KIB_PER_CLIENT + BUFFERS_KIB, "grew by {growth} KiB");
}
