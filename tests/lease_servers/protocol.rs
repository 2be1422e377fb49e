//! Connections that a lease server rejects.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::cluster::{ANSWER_TIMEOUT, Cluster, request};

const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Connects to a server, which may not listen yet.
fn connect(address: SocketAddr) -> TcpStream {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends bytes to a server and returns all that it sends back.
fn response(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the timeout is set");
    stream.write_all(bytes).expect("the server takes the bytes");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

fn frame(payload: &[u8]) -> Vec<u8> {
    [&(payload.len() as u32).to_be_bytes()[..], payload].concat()
}

#[test]
fn a_rejected_connection_receives_the_reason() {
    let mut cluster = Cluster::new("rejected");
    cluster.start(1, Some(0));
    let address = cluster.config.servers[&1];
    let reason = response(address, &frame(b"honeyknot leases\0\0\0\x09whatever"));
    assert!(
        reason.contains("the greeting has version 9 of the lease protocol; this side has version 1"),
        "{reason}"
    );
    let reason = response(address, &frame(b"GET / HTTP/1.1 and so on"));
    assert!(reason.contains("the first frame is not a greeting of the lease protocol"), "{reason}");
    // A length beyond the limit of a greeting is rejected as well, and the server continues.
    let reason = response(address, &[0xff; 64]);
    assert!(!reason.is_empty());
    let mut other_config = cluster.config.clone();
    other_config.parameters.lease_duration *= 2;
    let error = request(&other_config, Vec::new()).expect_err("the parameters differ").to_string();
    assert!(
        error.contains("lease 3000 ms") && error.contains("this lease server has lease 1500 ms"),
        "{error}"
    );
    assert!(cluster.folder.exists());
}
