//! Every client is told to reconnect before the relay ends its connection, whatever ends it.

#[path = "support/hot_restart.rs"]
mod hot_restart;
#[path = "support/process.rs"]
mod process;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use hot_restart::{RelaySetup, endpoint_list, send_signal};
use process::unused_address;
use serde_json::Value;

/// Opens connections that must be established, and returns readers of what follows.
fn establish(setup: &RelaySetup, count: usize) -> Vec<BufReader<TcpStream>> {
    (0..count).map(|id| open(setup, &format!("OPEN c{id} k{id} c=study,d=1200\r\n"))).collect()
}

/// Sends a request, which must establish a connection, and returns a reader of what follows.
fn open(setup: &RelaySetup, request: &str) -> BufReader<TcpStream> {
    let mut client = TcpStream::connect(setup.clients).expect("the relay accepts connections");
    client.write_all(request.as_bytes()).expect("the request is sent");
    client.set_read_timeout(Some(Duration::from_secs(10))).expect("the socket option is set");
    let mut client = BufReader::new(client);
    let mut answer = String::new();
    client.read_line(&mut answer).expect("the answer is read");
    assert!(answer.starts_with("UP"), "{answer}");
    client
}

/// Returns the clients' next lines; an empty line stands for a connection that ended without one.
fn next_lines(clients: Vec<BufReader<TcpStream>>) -> Vec<String> {
    let next_line = |mut client: BufReader<TcpStream>| {
        let mut line = String::new();
        let _ = client.read_line(&mut line);
        line
    };
    clients.into_iter().map(next_line).collect()
}

/// Guards against transferred connections that the successor has no descriptors for and that it cuts off without
/// telling the client: the sockets are new to its runtime, so a write that does not wait writes nothing.
#[test]
fn clients_that_the_successor_has_no_descriptors_for_are_told_to_reconnect() {
    let setup = RelaySetup::new("cannot-serve");
    let (mut predecessor, _) = setup.start("old.log");
    let clients = establish(&setup, 40);
    let config = fs::read_to_string(&setup.config).expect("the configuration is readable");
    let mut config: Value = serde_json::from_str(&config).expect("the configuration is valid");
    config["limits"]["sockets"] = 48.into();
    setup.folder.write("config.json", &config.to_string());
    let (_successor, _) = setup.start("new.log");
    send_signal(&predecessor, "-TERM");
    assert_eq!(predecessor.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(next_lines(clients), vec!["MOVE\r\n"; 40]);
}

/// Guards against a transferred connection whose id is open at the successor: its client is told to reconnect, and
/// nothing of it stays in the successor, whose shutdown would wait for it.
#[test]
fn a_client_whose_id_is_open_at_the_successor_is_told_to_reconnect_and_leaves_no_entry() {
    let setup = RelaySetup::new("open-at-both");
    let request = "OPEN same ksame c=study,d=1200\r\n";
    let (mut predecessor, _) = setup.start("old.log");
    let first = open(&setup, request);
    let (mut successor, _) = setup.start("new.log");
    let second = open(&setup, request);
    send_signal(&predecessor, "-TERM");
    assert_eq!(predecessor.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(next_lines(vec![first]), ["MOVE\r\n"]);
    drop(second);
    send_signal(&successor, "-TERM");
    assert_eq!(successor.child.wait().expect("the process ends").code(), Some(0));
    let log = fs::read_to_string(&successor.log).expect("the log is readable");
    let finished =
        log.lines().find(|line| line.contains("draining finished")).expect("a shutdown in the log");
    let finished: Value = serde_json::from_str(finished).expect("the line is JSON");
    assert_eq!(finished["connections"], 0, "{finished}");
}

/// Starts an endpoint that accepts every connection and then hangs in the middle of a line.
fn start_endpoint_that_hangs_in_a_line() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let mut hanging = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let _ = stream.write_all(b"UP r1\r\ncard 1, the first ha");
            hanging.push(stream);
        }
    });
    address
}

/// Guards against clients of a hanging endpoint that are cut off at a shutdown: one that waited for the end of a
/// line took the turn of all others, and the process exited before the wait was over.
#[test]
fn clients_of_an_endpoint_that_hangs_in_a_line_are_told_to_reconnect_at_a_shutdown() {
    let endpoints = endpoint_list([start_endpoint_that_hangs_in_a_line(); 3]);
    let setup = RelaySetup::with_discovery("hangs", &endpoints, unused_address());
    let (mut relay, _) = setup.start("log");
    let clients = establish(&setup, 60);
    send_signal(&relay, "-TERM");
    assert_eq!(relay.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(next_lines(clients), vec!["MOVE\r\n"; 60]);
}

/// Guards against connections that are queued for a successor that hangs, and that end with the predecessor.
#[test]
fn clients_that_a_hanging_successor_does_not_receive_are_told_to_reconnect() {
    let setup = RelaySetup::new("hanging-successor");
    let (mut predecessor, _) = setup.start("old.log");
    // Long requests, so that the link's socket holds only some of the connections.
    let padding = "p".repeat(3_900);
    let request = |id| format!("OPEN h{id} k{id} c=study,d=1200,x={padding}\r\n");
    let mut clients: Vec<_> = (0..60).map(|id| open(&setup, &request(id))).collect();
    let (successor, _) = setup.start("new.log");
    send_signal(&successor, "-STOP");
    send_signal(&predecessor, "-TERM");
    assert_eq!(predecessor.child.wait().expect("the process ends").code(), Some(0));
    send_signal(&successor, "-CONT");
    // Those that were sent before the link was full continue.
    for client in &mut clients {
        let _ = client.get_mut().write_all(b"card 1\r\n");
    }
    let lines = next_lines(clients);
    let count = |expected: &str| lines.iter().filter(|line| *line == expected).count();
    assert_eq!(count("OK\r\n") + count("MOVE\r\n"), 60, "{lines:?}");
    assert!(count("MOVE\r\n") > 0, "the link held all connections");
}

/// Guards against a client that waits for its connection to be adopted and that a shutdown leaves unanswered.
#[test]
fn a_client_that_waits_for_its_endpoint_to_return_is_answered_at_a_shutdown() {
    let setup = RelaySetup::new("adoption");
    let (mut relay, _) = setup.start("log");
    let mut client = TcpStream::connect(setup.clients).expect("the relay accepts connections");
    client.write_all(b"OPEN a1 k1 c=study,d=1200,at=s-9\r\n").expect("the request is sent");
    std::thread::sleep(Duration::from_millis(200));
    send_signal(&relay, "-TERM");
    assert_eq!(relay.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(next_lines(vec![BufReader::new(client)]), ["ERR\r\n"]);
}
