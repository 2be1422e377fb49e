//! Hot restart: a new process of a relay takes over from the running one, under load and with faults.

#[path = "support/hot_restart.rs"]
mod hot_restart;
#[path = "support/process.rs"]
mod process;

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::sleep;
use std::time::Duration;

use honeyknot_relay::relay::lifecycle::hot_restart::{
    EndedMaintenance, MaintenanceState, OngoingMaintenance,
};
use hot_restart::{
    Load, RelaySetup, admin_command, endpoint_list, open_connection, send_signal, start_endpoint, stat,
    wait_until,
};
use process::{Relay, relay_command, unused_address};

#[test]
fn every_client_is_answered_while_successors_take_over_under_load() {
    let setup = RelaySetup::new("upgrade");
    let (mut predecessor, mut predecessor_admin) = setup.start("0.log");
    let load = Load::start(setup.clients);
    assert_eq!(admin_command(predecessor_admin, "maint-on s-1"), "YES\r\n");
    for round in 1..=4 {
        let (successor, successor_admin) = setup.start(&format!("{round}.log"));
        // The successor takes over the maintenance state, and a change in either process applies to both.
        assert_eq!(stat(successor_admin, "ejected"), 1);
        assert_eq!(admin_command(successor_admin, "maint-on s-2"), "YES\r\n");
        assert_eq!(stat(predecessor_admin, "ejected"), 2);
        assert_eq!(admin_command(predecessor_admin, "maint-off s-2"), "YES\r\n");
        assert_eq!(stat(successor_admin, "ejected"), 1);
        send_signal(&predecessor, "-TERM");
        assert_eq!(
            predecessor.child.wait().expect("the process ends").code(),
            Some(0),
            "{:?}",
            fs::read_to_string(&predecessor.log)
        );
        (predecessor, predecessor_admin) = (successor, successor_admin);
    }
    let (opened, failures) = load.stop_and_collect();
    assert!(
        opened > 100 && failures.is_empty(),
        "{} of {opened} connections failed; the first: {:?}",
        failures.len(),
        failures.first()
    );
}

#[test]
fn a_connection_continues_in_the_successor_when_the_predecessor_stops() {
    let setup = RelaySetup::new("sessions");
    let (mut first, _) = setup.start("old.log");
    let (first_line, client) = open_connection(setup.clients).expect("the connection is answered");
    assert!(first_line.starts_with("UP"), "{first_line}");
    let mut lines = BufReader::new(client.try_clone().expect("the socket is cloned"));
    let mut request = |text: &str| {
        (&client).write_all(text.as_bytes()).expect("the line is sent");
        let mut line = String::new();
        lines.read_line(&mut line).expect("the answer is read");
        line
    };
    let (mut second, admin) = setup.start("new.log");
    assert_eq!(request("card 1\r\n"), "OK\r\n");
    // The first half of a line is sent before the connection is transferred, the second half after that.
    (&client).write_all(b"card ").expect("the bytes are sent");
    send_signal(&first, "-TERM");
    assert_eq!(first.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(request("2\r\n"), "OK\r\n");
    assert_eq!(stat(admin, "outstanding"), 1);
    // The second process transfers the connection to the third. The third has no successor, so it migrates
    // the client.
    let (mut third, _) = setup.start("third.log");
    send_signal(&second, "-TERM");
    assert_eq!(second.child.wait().expect("the process ends").code(), Some(0));
    assert_eq!(request("card 3\r\n"), "OK\r\n");
    send_signal(&third, "-TERM");
    let mut rest = String::new();
    lines.read_to_string(&mut rest).expect("the connection ends without an error");
    assert_eq!(rest, "MOVE\r\n");
    assert_eq!(third.child.wait().expect("the process ends").code(), Some(0));
}

/// Starts a discovery that reports the drain of `s-1` to the first watch after `drain_after`, and answers nothing
/// else.
fn start_discovery_that_reports_a_drain(endpoint: SocketAddr, drain_after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let body = format!(
        r#"{{"version":4,"full":false,"servers":[{{"id":"s-1","addr":"{endpoint}","state":"leaving","weight":1}}]}}"#
    );
    std::thread::spawn(move || {
        let mut unanswered = Vec::new();
        for stream in listener.incoming().flatten() {
            let mut request_line = String::new();
            let read = BufReader::new(&stream).read_line(&mut request_line);
            if read.is_ok() && request_line.contains("index=3&") {
                sleep(drain_after);
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                (&stream).write_all(answer.as_bytes()).expect("the answer is sent");
            }
            unanswered.push(stream);
        }
    });
    address
}

/// Guards against a successor that discovery does not answer and that sends to an endpoint of which its
/// predecessor has heard, while the successor prepared, that it drains.
#[test]
fn a_drain_that_the_predecessor_hears_of_while_its_successor_prepares_comes_with_the_handover() {
    let addresses = [start_endpoint("r-1"), start_endpoint("r-2"), start_endpoint("r-3")];
    let discovery = start_discovery_that_reports_a_drain(addresses[0], Duration::from_millis(1_500));
    let setup = RelaySetup::with_discovery("drain", &endpoint_list(addresses), discovery);
    let (_predecessor, _) = setup.start("old.log");
    let (successor, _) = setup.start("new.log");
    let log = fs::read_to_string(&successor.log).expect("the log is readable");
    assert!(log.contains("took over") && !log.contains("responds"), "{log}");
    for _ in 0..30 {
        let (answer, _connection) = open_connection(setup.clients).expect("the connection is answered");
        assert!(answer.starts_with("UP") && !answer.contains("r-1"), "{answer}");
    }
}

#[test]
fn the_predecessor_continues_to_serve_when_its_successor_is_killed() {
    let setup = RelaySetup::new("dies");
    let (_predecessor, admin) = setup.start("old.log");
    for round in 0..2 {
        let (mut successor, _) = setup.start(&format!("new-{round}.log"));
        send_signal(&successor, "-KILL");
        successor.child.wait().expect("the process ends");
        assert!(
            open_connection(setup.clients).expect("the connection is answered").0.starts_with("UP"),
            "after round {round}"
        );
        assert_eq!(admin_command(admin, "status"), "YES\r\n");
    }
}

#[test]
fn each_of_two_concurrent_successors_serves_or_exits_with_the_reason() {
    let setup = RelaySetup::new("two");
    let (_predecessor, _) = setup.start("old.log");
    let (_successor, _) = setup.start("new.log");
    // The successor is still connected to its predecessor. Only one of two further processes may follow it at
    // a time.
    let admins = [unused_address(), unused_address()];
    let logs = ["third.log", "fourth.log"];
    let mut candidates: Vec<Relay> = (0..2)
        .map(|index| {
            let child = setup.command(admins[index], logs[index]).spawn().expect("the relay starts");
            Relay { child, log: setup.folder.0.join(logs[index]) }
        })
        .collect();
    wait_until("result of both processes", || {
        let stopped = candidates
            .iter_mut()
            .filter_map(|candidate| candidate.child.try_wait().expect("the status is known"))
            .count();
        let serving =
            admins.iter().filter(|admin| admin_command(**admin, "status").starts_with("YES")).count();
        stopped + serving == 2
    });
    for candidate in &mut candidates {
        if let Some(status) = candidate.child.try_wait().expect("the status is known") {
            let log = fs::read_to_string(&candidate.log).expect("the log is readable");
            assert!(status.code() == Some(2) && log.contains("another process is taking over"), "{log}");
        }
    }
    assert!(open_connection(setup.clients).expect("the connection is answered").0.starts_with("UP"));
}

#[test]
fn maintenance_survives_a_killed_process_and_a_torn_maintenance_file_is_ignored() {
    let setup = RelaySetup::new("killed");
    let (mut first, admin) = setup.start("first.log");
    assert_eq!(admin_command(admin, "maint-on s-1"), "YES\r\n");
    send_signal(&first, "-KILL");
    first.child.wait().expect("the process ends");
    // The socket file of the killed process still exists.
    let (mut second, admin) = setup.start("second.log");
    assert_eq!(stat(admin, "ejected"), 1);
    // The third process takes the state from the running second process, not from the torn file.
    let bytes = fs::read(setup.maintenance_file()).expect("the file is readable");
    fs::write(setup.maintenance_file(), &bytes[..bytes.len() / 2]).expect("the file is written");
    let (mut third, admin) = setup.start("third.log");
    assert_eq!(stat(admin, "ejected"), 1);
    for relay in [&mut second, &mut third] {
        send_signal(relay, "-KILL");
        relay.child.wait().expect("the process ends");
    }
    let (fourth, admin) = setup.start("fourth.log");
    assert_eq!(stat(admin, "ejected"), 0);
    fourth.wait_for_log("maintenance file ignored");
}

#[test]
fn call_exits_with_0_on_success_1_on_a_rejected_command_and_2_without_an_answer() {
    let setup = RelaySetup::new("call");
    let (_relay, admin) = setup.start("log");
    let run_call = |arguments: &[&str]| {
        let address = admin.to_string();
        let output = relay_command(&setup.config, &[&["call", &address], arguments].concat())
            .output()
            .expect("the program runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    assert_eq!(run_call(&["status"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(run_call(&["maint-on", "s-1"]), (Some(0), "YES\n".to_owned()));
    assert_eq!(run_call(&["maint-on", "nobody"]).0, Some(1));
    let (code, stats) = run_call(&["stats"]);
    assert!(code == Some(0) && stats.ends_with("\nEND\n"), "{stats}");
    let unreachable = relay_command(&setup.config, &["call", &unused_address().to_string(), "status"])
        .output()
        .expect("the program runs");
    assert_eq!(unreachable.status.code(), Some(2));
}

#[test]
fn a_start_with_an_admin_address_in_use_fails_and_names_the_setting() {
    let setup = RelaySetup::new("taken");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let admin = listener.local_addr().expect("the listener has an address");
    let output = setup.command(admin, "log").output().expect("the program runs");
    let log = fs::read_to_string(setup.folder.0.join("log")).expect("the log is readable");
    assert!(output.status.code() == Some(2) && log.contains("`admin_addr`"), "{log}");
    // A process that already serves is not affected.
    let (_relay, _) = setup.start("serves");
    assert_eq!(setup.command(admin, "again").output().expect("the program runs").status.code(), Some(2));
    assert!(open_connection(setup.clients).expect("the connection is answered").0.starts_with("UP"));
}

#[test]
fn a_truncated_or_corrupted_maintenance_file_is_rejected() {
    let ongoing = |id: &str, since| OngoingMaintenance { id: id.into(), since };
    let state = MaintenanceState {
        ongoing: vec![ongoing("s-1", 5), ongoing("s-2", 7)],
        ended: vec![EndedMaintenance { id: "s-3".into(), from: 9, to: 17 }],
    };
    let bytes = state.to_file_bytes();
    assert_eq!(MaintenanceState::from_file_bytes(&bytes).expect("the file is valid"), state);
    for cut in 0..bytes.len() {
        assert!(
            MaintenanceState::from_file_bytes(&bytes[..cut]).is_err(),
            "accepted when truncated to {cut} bytes"
        );
        let mut flipped = bytes.clone();
        flipped[cut] ^= 1;
        assert!(
            MaintenanceState::from_file_bytes(&flipped).is_err(),
            "accepted with a bit of byte {cut} flipped"
        );
    }
}
