//! No request that must not run twice is sent again with its id, and nothing is sent for a client that has left.

#[path = "support/hot_restart.rs"]
mod hot_restart;
#[path = "support/process.rs"]
mod process;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use honeyknot_relay::relay::used_ids::{ConnectionIdHash, MAX_USED_IDS, UsedIds};
use hot_restart::RelaySetup;
use serde_json::Value;

/// Time after which a client comes again.
const RETURN_DELAY: Duration = Duration::from_millis(50);

/// Creates a setup whose requests have this effect.
fn setup_with_effect(name: &str, effect: &str) -> RelaySetup {
    let setup = RelaySetup::new(name);
    let config = fs::read_to_string(&setup.config).expect("the configuration is readable");
    let mut config: Value = serde_json::from_str(&config).expect("the configuration is valid");
    config["settings"]["services"][0]["effect"] = effect.into();
    config["settings"]["services"][0]["keyTtlUs"] = 400_000.into();
    setup.folder.write("config.json", &config.to_string());
    setup
}

/// Sends a request with this id on a connection, and returns the first line of the answer.
fn request(connection: &TcpStream, id: &str) -> String {
    let mut writer = connection;
    writer.write_all(format!("OPEN {id} k{id} c=study,d=1200\r\n").as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    BufReader::new(connection).read_line(&mut answer).expect("the answer is read");
    answer
}

fn connect(setup: &RelaySetup) -> TcpStream {
    TcpStream::connect(setup.clients).expect("the relay accepts connections")
}

/// Guards against a request that must not run twice and that runs again when its id comes again after its client
/// has left.
#[test]
fn an_id_that_may_have_run_is_not_sent_again_unless_its_class_may_be_repeated() {
    for (effect, second_answer) in
        [("at_most_once", "ERR\r\n"), ("deduplicated", "ERR\r\n"), ("idempotent", "UP r-1\r\n")]
    {
        let setup = setup_with_effect(&format!("again-{effect}"), effect);
        let (_relay, _) = setup.start("log");
        for round in 0..3 {
            let id = format!("a{round}");
            assert_eq!(request(&connect(&setup), &id), "UP r-1\r\n", "{effect}");
            sleep(RETURN_DELAY);
            assert_eq!(request(&connect(&setup), &id), second_answer, "{effect}");
        }
    }
}

/// Guards against an id that runs again at the other process of a hot restart, whether its client is still
/// connected or has left, and whichever process it comes to.
#[test]
fn an_id_that_may_have_run_at_one_process_of_a_hot_restart_is_not_sent_by_the_other() {
    let setup = setup_with_effect("restart-again", "at_most_once");
    let (_predecessor, _) = setup.start("old.log");
    let staying = connect(&setup);
    assert_eq!(request(&staying, "staying"), "UP r-1\r\n");
    assert_eq!(request(&connect(&setup), "left"), "UP r-1\r\n");
    let (idle_1, idle_2) = (connect(&setup), connect(&setup));
    let (_successor, _) = setup.start("new.log");
    assert_eq!(request(&connect(&setup), "staying"), "ERR\r\n");
    assert_eq!(request(&connect(&setup), "left"), "ERR\r\n");
    assert_eq!(request(&connect(&setup), "new"), "UP r-1\r\n");
    sleep(RETURN_DELAY);
    // The predecessor still serves what it had accepted.
    assert_eq!(request(&idle_1, "new"), "ERR\r\n");
    assert_eq!(request(&idle_2, "late"), "UP r-1\r\n");
    sleep(RETURN_DELAY);
    assert_eq!(request(&connect(&setup), "late"), "ERR\r\n");
}

#[test]
fn the_oldest_used_ids_are_forgotten_above_the_limit_and_removed_ones_do_not_count() {
    let id = |number: usize| ConnectionIdHash::of(&format!("id-{number}"));
    let mut used = UsedIds::default();
    used.insert(id(0));
    used.remove(id(0));
    assert!(!used.contains(id(0)));
    // An id that is added again counts as new.
    used.insert(id(1));
    used.insert(id(0));
    for number in 2..MAX_USED_IDS {
        used.insert(id(number));
    }
    assert!(used.contains(id(0)) && used.contains(id(1)) && used.contains(id(MAX_USED_IDS - 1)));
    for number in MAX_USED_IDS..MAX_USED_IDS * 2 {
        used.insert(id(number));
    }
    let remembered: Vec<ConnectionIdHash> = used.iter().collect();
    let newest: Vec<ConnectionIdHash> = (MAX_USED_IDS..MAX_USED_IDS * 2).map(id).collect();
    assert_eq!(remembered, newest);
}

/// Guards against a client whose endpoint does not return in time and that may not ask for its connection again.
#[test]
fn a_client_whose_connection_could_not_be_adopted_may_ask_again() {
    let setup = setup_with_effect("adopt-again", "at_most_once");
    let refusing = start_endpoint_that_refuses_once();
    let endpoints = hot_restart::endpoint_list([refusing; 3]);
    let config = fs::read_to_string(&setup.config).expect("the configuration is readable");
    let mut config: Value = serde_json::from_str(&config).expect("the configuration is valid");
    config["known"] = endpoints;
    config["discovery"] = process::unused_address().to_string().into();
    setup.folder.write("config.json", &config.to_string());
    let (_relay, _) = setup.start("log");
    let request = b"OPEN ad kad c=study,d=1200,at=s-1\r\n";
    let mut impatient = connect(&setup);
    impatient.write_all(request).expect("the request is sent");
    sleep(Duration::from_millis(30));
    drop(impatient);
    sleep(RETURN_DELAY);
    let mut client = connect(&setup);
    client.write_all(request).expect("the request is sent");
    let mut answer = String::new();
    BufReader::new(client).read_line(&mut answer).expect("the answer is read");
    assert_eq!(answer, "UP r-1\r\n");
}

/// Starts an endpoint that answers its first request with an error and accepts all others.
fn start_endpoint_that_refuses_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let refused = Arc::new(AtomicBool::new(false));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let refused = refused.clone();
            spawn(move || {
                let mut writer = stream.try_clone().expect("the socket is cloned");
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let answer = match line.starts_with("OPEN") {
                        true if !refused.swap(true, Ordering::Relaxed) => "ERR\r\n",
                        true => "UP r-1\r\n",
                        false => "PONG util=0.1,latency_ms=3,x0=0.1\r\n",
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
