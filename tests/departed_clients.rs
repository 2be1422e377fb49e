//! Nothing is sent for a client that has left.

#[path = "support/hot_restart.rs"]
mod hot_restart;
#[path = "support/process.rs"]
mod process;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use hot_restart::{RelaySetup, endpoint_list};
use process::unused_address;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// When an endpoint received each request, by connection id.
type Arrivals = Arc<Mutex<HashMap<String, Instant>>>;

/// Time that a request may be under way between the relay's last look at its client and the endpoint's clock.
const TIME_UNDER_WAY: Duration = Duration::from_millis(50);
const SEED: u64 = 53;
const CLIENTS: usize = 400;
const CLIENTS_AT_ONCE: usize = 100;

/// Starts an endpoint that records requests and accepts them.
fn start_recording_endpoint(arrivals: &Arrivals) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let arrivals = arrivals.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let arrivals = arrivals.clone();
            spawn(move || {
                let mut writer = stream.try_clone().expect("the socket is cloned");
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let arrived_at = Instant::now();
                    let mut words = line.split(' ');
                    let answer = if words.next() == Some("OPEN") {
                        let id = words.next().unwrap_or_default().to_owned();
                        arrivals.lock().expect("no thread panics").insert(id, arrived_at);
                        "UP r-1\r\n"
                    } else {
                        "PONG util=0.1,latency_ms=3,x0=0.1\r\n"
                    };
                    if writer.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a client that sends a request and leaves soon after, by closing its connection with or without unread
/// bytes. Returns its id and when it left.
fn start_leaving_client(
    relay: SocketAddr, number: usize, with_unread: bool, stay: Duration,
) -> JoinHandle<(String, Instant)> {
    spawn(move || {
        let id = format!("c{number}");
        let mut client = TcpStream::connect(relay).expect("the relay accepts connections");
        if with_unread {
            // The answer stays unread, so that closing resets the connection.
            client.write_all(b"PING\r\n").expect("the line is sent");
            sleep(Duration::from_millis(2));
        }
        let _ = client.write_all(format!("OPEN {id} k{id} c=study,d=1200\r\n").as_bytes());
        sleep(stay);
        drop(client);
        (id, Instant::now())
    })
}

/// Guards against requests that are sent on for clients that have left, with hundreds that leave at any moment.
#[test]
fn no_request_is_sent_after_its_client_has_left() {
    let arrivals = Arrivals::default();
    let endpoints = endpoint_list([start_recording_endpoint(&arrivals); 3]);
    let setup = RelaySetup::with_discovery("departed", &endpoints, unused_address());
    let (_relay, _) = setup.start("log");
    let mut random = Pcg64::seed_from_u64(SEED);
    let mut left = HashMap::new();
    for batch in 0..CLIENTS / CLIENTS_AT_ONCE {
        let mut start = |index| {
            let stay = Duration::from_micros(random.random_range(0..40_000));
            let number = batch * CLIENTS_AT_ONCE + index;
            start_leaving_client(setup.clients, number, random.random(), stay)
        };
        let clients: Vec<_> = (0..CLIENTS_AT_ONCE).map(&mut start).collect();
        left.extend(clients.into_iter().map(|client| client.join().expect("the client does not panic")));
    }
    sleep(Duration::from_millis(1_500));
    let arrivals = arrivals.lock().expect("no thread panics");
    let late: Vec<_> = arrivals
        .iter()
        .filter_map(|(id, arrived_at)| Some((id, arrived_at.checked_duration_since(*left.get(id)?)?)))
        .filter(|(_, delay)| *delay > TIME_UNDER_WAY)
        .collect();
    println!("{} of {CLIENTS} requests were sent", arrivals.len());
    assert!(late.is_empty(), "sent after their clients had left: {late:?}");
}
