//! Discovery while two processes of a relay run: what it tells either of them binds both, whatever stage the hot
//! restart is in.

#[path = "support/discovery.rs"]
mod discovery;
#[path = "support/hot_restart.rs"]
mod hot_restart;
#[path = "support/process.rs"]
mod process;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use discovery::{Answered, Discovery};
use hot_restart::{
    RelaySetup, admin_command, endpoint_list, open_connection, send_signal, start_endpoint, stat, wait_until,
};
use process::{Relay, unused_address};
use serde_json::json;

/// Time within which sends to a draining endpoint must stop in both processes (`stopSendingWithinUs`).
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The connections to discovery, by the order in which the processes open them.
const PREDECESSOR: usize = 0;
const SUCCESSOR: usize = 1;
/// Number of connections that are opened to find out which endpoints are used.
const SAMPLES: usize = 40;

/// The processes of a relay, its discovery, and three endpoints whose receipts are `r-1`, `r-2` and `r-3`.
struct Scene {
    setup: RelaySetup,
    discovery: Discovery,
}

impl Scene {
    fn new(name: &str) -> Scene {
        let addresses = [start_endpoint("r-1"), start_endpoint("r-2"), start_endpoint("r-3")];
        let list = endpoint_list(addresses);
        let discovery = Discovery::start(&list);
        let setup = RelaySetup::with_discovery(name, &list, discovery.address);
        Scene { setup, discovery }
    }

    /// Starts the first process and waits until it watches discovery.
    fn start_predecessor(&self) -> (Relay, SocketAddr) {
        let started = self.setup.start("old.log");
        wait_until("watch of the predecessor", || self.discovery.connections() == 1);
        started
    }

    /// Starts the predecessor, and a successor that takes over with discovery's answer. From then on discovery answers
    /// only one of them.
    fn start_both(&self, answered: usize) -> [(Relay, SocketAddr); 2] {
        let predecessor = self.start_predecessor();
        let successor = self.setup.start("new.log");
        wait_until("watch of the successor", || self.discovery.told(SUCCESSOR) > 0);
        self.discovery.answer(Answered::Only(answered));
        [predecessor, successor]
    }

    /// Waits until discovery has written this version to a connection, and returns when.
    fn wait_until_told(&self, connection: usize, version: u64) -> Instant {
        wait_until("answer of discovery", || self.discovery.told(connection) >= version);
        Instant::now()
    }

    /// Returns the receipts of the endpoints to which new connections are sent now, in order and once each.
    fn used_endpoints(&self) -> Vec<String> {
        let mut receipts: Vec<String> = (0..SAMPLES).map(|_| self.open().0).collect();
        receipts.sort();
        receipts.dedup();
        receipts
    }

    /// Opens a connection and returns the receipt of its endpoint.
    fn open(&self) -> (String, TcpStream) {
        let (answer, connection) = open_connection(self.setup.clients).expect("the connection is answered");
        let receipt = answer.trim_end().strip_prefix("UP ").unwrap_or_else(|| panic!("{answer}"));
        (receipt.to_owned(), connection)
    }

    /// Opens connections until one is at the endpoint with this receipt.
    fn open_at(&self, receipt: &str) -> TcpStream {
        let opened = std::iter::repeat_with(|| self.open()).take(SAMPLES).find(|(used, _)| used == receipt);
        opened.unwrap_or_else(|| panic!("no connection was sent to {receipt}")).1
    }

    /// Asserts that the successor uses exactly these endpoints at the end of the drain grace.
    fn assert_used_after_grace(&self, told_at: Instant, receipts: &[&str]) {
        sleep((told_at + DRAIN_GRACE).saturating_duration_since(Instant::now()));
        assert_eq!(self.used_endpoints(), receipts);
    }
}

/// Guards against a successor that sends to an endpoint of which discovery has told only its predecessor, after the
/// handover, that it drains. Also for the further changes of an endpoint.
#[test]
fn changes_that_the_predecessor_hears_of_after_the_handover_bind_its_successor() {
    let scene = Scene::new("told-old");
    let [_predecessor, _successor] = scene.start_both(PREDECESSOR);
    assert_eq!(scene.used_endpoints(), ["r-1", "r-2", "r-3"]);
    let change = |id: &str, fields| scene.wait_until_told(PREDECESSOR, scene.discovery.change(id, fields));
    let told_at = change("s-1", json!({"state": "leaving"}));
    scene.assert_used_after_grace(told_at, &["r-2", "r-3"]);
    let told_at = change("s-1", json!({"state": "active"}));
    scene.assert_used_after_grace(told_at, &["r-1", "r-2", "r-3"]);
    let told_at = change("s-2", json!({"state": "left"}));
    scene.assert_used_after_grace(told_at, &["r-1", "r-3"]);
    let told_at = change("s-3", json!({"addr": start_endpoint("r-4").to_string()}));
    scene.assert_used_after_grace(told_at, &["r-1", "r-4"]);
    // A restart under another address is a change of a drained endpoint that makes it ready again.
    change("s-1", json!({"state": "leaving"}));
    let address = start_endpoint("r-5").to_string();
    let told_at =
        change("s-1", json!({"state": "active", "addr": address, "started_ms": 1_700_000_000_123_u64}));
    scene.assert_used_after_grace(told_at, &["r-4", "r-5"]);
    let told_at = change("s-6", json!({"state": "active", "addr": start_endpoint("r-6").to_string()}));
    scene.assert_used_after_grace(told_at, &["r-4", "r-5", "r-6"]);
}

/// Guards against a predecessor that keeps its clients at an endpoint of which only its successor has heard.
#[test]
fn changes_that_the_successor_hears_of_bind_its_predecessor() {
    let scene = Scene::new("told-new");
    let (_predecessor, old) = scene.start_predecessor();
    let client = scene.open_at("r-1");
    let (_successor, new) = scene.setup.start("new.log");
    scene.discovery.answer(Answered::Only(SUCCESSOR));
    let version = scene.discovery.change("s-1", json!({"state": "leaving"}));
    scene.wait_until_told(SUCCESSOR, version);
    let mut line = String::new();
    client.set_read_timeout(Some(Duration::from_secs(10))).expect("a valid timeout");
    BufReader::new(client).read_line(&mut line).expect("the predecessor's client is sent a line");
    assert_eq!(line, "MOVE\r\n");
    scene.discovery.change("s-1", json!({"state": "left"}));
    wait_until("removal at both processes", || {
        [old, new].iter().all(|admin| stat(*admin, "discovered") == 2)
    });
    assert!(scene.discovery.told(PREDECESSOR) < version, "discovery told the predecessor itself");
}

/// Guards against a drain that the predecessor hears of between its successor's first answer from discovery and the
/// handover, or before that answer.
#[test]
fn drain_that_the_predecessor_hears_of_while_its_successor_prepares_binds_it() {
    let scene = Scene::new("told-preparing");
    let (_predecessor, _) = scene.start_predecessor();
    scene.discovery.answer(Answered::Only(PREDECESSOR));
    let admin = unused_address();
    let child = scene.setup.command(admin, "new.log").spawn().expect("the relay starts");
    let successor = Relay { child, log: scene.setup.folder.0.join("new.log") };
    wait_until("request of the successor", || scene.discovery.connections() == 2);
    let version = scene.discovery.change("s-1", json!({"state": "leaving"}));
    scene.wait_until_told(PREDECESSOR, version);
    let log = fs::read_to_string(&successor.log).expect("the log is readable");
    assert!(!log.contains("took over"), "the successor does not prepare: {log}");
    wait_until("status YES", || admin_command(admin, "status").starts_with("YES"));
    assert_eq!(scene.used_endpoints(), ["r-2", "r-3"]);
    // The successor then asks for the changes since that list.
    scene.discovery.answer(Answered::Only(SUCCESSOR));
    let version = scene.discovery.change("s-2", json!({"state": "leaving"}));
    let told_at = scene.wait_until_told(SUCCESSOR, version);
    scene.assert_used_after_grace(told_at, &["r-3"]);
}

/// Guards against a drain that the predecessor hears of during its shutdown, up to its last moments, and takes along.
#[test]
fn drains_that_the_predecessor_hears_of_during_its_shutdown_bind_its_successor() {
    for delay in [0, 60, 120, 180, 230].map(Duration::from_millis) {
        let scene = Scene::new(&format!("told-late-{}", delay.as_millis()));
        let [(mut predecessor, _), _successor] = scene.start_both(PREDECESSOR);
        send_signal(&predecessor, "-TERM");
        predecessor.wait_for_log("shutdown started");
        sleep(delay);
        let version = scene.discovery.change("s-1", json!({"state": "leaving"}));
        let told_at = scene.wait_until_told(PREDECESSOR, version);
        assert_eq!(predecessor.child.wait().expect("the process ends").code(), Some(0));
        scene.assert_used_after_grace(told_at, &["r-2", "r-3"]);
    }
}

/// Guards against a successor that forgets what it has been told when the link is lost, and against a predecessor
/// that then goes back to its own list.
#[test]
fn what_either_process_has_heard_from_the_other_holds_after_the_other_is_killed() {
    let scene = Scene::new("killed-old");
    let [(mut predecessor, _), _successor] = scene.start_both(PREDECESSOR);
    let version = scene.discovery.change("s-1", json!({"state": "leaving"}));
    let told_at = scene.wait_until_told(PREDECESSOR, version);
    scene.assert_used_after_grace(told_at, &["r-2", "r-3"]);
    send_signal(&predecessor, "-KILL");
    predecessor.child.wait().expect("the process ends");
    assert_eq!(scene.used_endpoints(), ["r-2", "r-3"]);

    let scene = Scene::new("killed-new");
    let [_predecessor, (mut successor, _)] = scene.start_both(SUCCESSOR);
    let version = scene.discovery.change("s-1", json!({"state": "leaving"}));
    let told_at = scene.wait_until_told(SUCCESSOR, version);
    scene.assert_used_after_grace(told_at, &["r-2", "r-3"]);
    send_signal(&successor, "-KILL");
    successor.child.wait().expect("the process ends");
    assert_eq!(scene.used_endpoints(), ["r-2", "r-3"]);
}

/// Guards against lists that pile up for a process that hangs, or that it gets out of order.
#[test]
fn process_that_hangs_gets_the_newest_list_when_it_continues() {
    let scene = Scene::new("hangs");
    let [_predecessor, (successor, _)] = scene.start_both(PREDECESSOR);
    send_signal(&successor, "-STOP");
    let mut version = 0;
    for _ in 0..100 {
        scene.discovery.change("s-1", json!({"state": "leaving"}));
        version = scene.discovery.change("s-1", json!({"state": "active"}));
        scene.wait_until_told(PREDECESSOR, version - 1);
    }
    scene.discovery.change("s-2", json!({"state": "leaving"}));
    version += 1;
    scene.wait_until_told(PREDECESSOR, version);
    send_signal(&successor, "-CONT");
    scene.assert_used_after_grace(Instant::now(), &["r-1", "r-3"]);
}

/// Guards against a successor that does not know an endpoint which only its predecessor has heard of.
#[test]
fn endpoint_that_only_the_predecessor_has_heard_of_is_known_to_a_preparing_successor() {
    let scene = Scene::new("known-early");
    let (_predecessor, _) = scene.start_predecessor();
    let address = start_endpoint("r-4").to_string();
    let version = scene.discovery.change("s-4", json!({"state": "active", "addr": address}));
    scene.wait_until_told(PREDECESSOR, version);
    scene.discovery.answer(Answered::Only(PREDECESSOR));
    let admin = unused_address();
    let child = scene.setup.command(admin, "new.log").spawn().expect("the relay starts");
    let successor = Relay { child, log: scene.setup.folder.0.join("new.log") };
    wait_until("answer of the successor", || !admin_command(admin, "status").is_empty());
    assert_eq!(admin_command(admin, "maint-on s-4"), "YES\r\n");
    assert!(admin_command(admin, "status").starts_with("NO the previous process"));
    drop(successor);
}

/// Guards against a process that follows another discovery service after SIGHUP and does not tell the other process,
/// and against one that is left with the other service's list once that process has ended.
#[test]
fn list_of_another_service_that_one_process_is_reloaded_with_binds_both() {
    let scene = Scene::new("reloaded");
    let [(mut predecessor, _), (successor, _)] = scene.start_both(PREDECESSOR);
    let moved = Discovery::start(&json!({"version": 1, "full": true, "servers": [
        {"id": "s-2", "addr": start_endpoint("r-2").to_string(), "state": "active", "weight": 1e5},
        {"id": "s-7", "addr": start_endpoint("r-7").to_string(), "state": "active", "weight": 1e5}]}));
    scene.setup.set_discovery(moved.address);
    send_signal(&predecessor, "-HUP");
    scene.wait_until_told(PREDECESSOR, 0);
    wait_until("answer of the new service", || moved.told(0) == 1);
    scene.assert_used_after_grace(Instant::now(), &["r-2", "r-7"]);
    let version = moved.change("s-7", json!({"state": "leaving"}));
    wait_until("answer of the new service", || moved.told(0) == version);
    scene.assert_used_after_grace(Instant::now(), &["r-2"]);
    // The successor still follows the first service. Once the predecessor has ended, its list counts again.
    scene.discovery.answer(Answered::All);
    send_signal(&predecessor, "-TERM");
    predecessor.child.wait().expect("the process ends");
    wait_until("list of the first service", || scene.used_endpoints() == ["r-1", "r-2", "r-3"]);
    send_signal(&successor, "-HUP");
    wait_until("list of the new service", || scene.used_endpoints() == ["r-2"]);
}
