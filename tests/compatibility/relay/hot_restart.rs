//! Messages between a process of a relay and its successor, and the maintenance file.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use honeyknot_relay::relay::lifecycle::config::Config;
use honeyknot_relay::relay::lifecycle::hot_restart::{
    EndedMaintenance, HotRestartMessage, MaintenanceState, OngoingMaintenance,
    StateDirectory as HotRestartDirectory,
};
use honeyknot_relay::relay::used_ids::ConnectionIdHash;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::time::sleep;

use super::loopback::{Relay, config, run_case};
use super::process::ScratchDirectory;
use super::{address, fixture, fixture_text};

const MESSAGES: &str = "hot-restart-messages.jsonl";
/// The messages about used ids.
const USED_ID_MESSAGES: &str = "hot-restart-used-ids.jsonl";
/// The messages about shared endpoint lists.
const SHARED_LIST_MESSAGES: &str = "hot-restart-shared-lists.jsonl";
const MAINTENANCE_FILE: &str = "by-hand";
/// State directory of the relay at 127.0.0.1:1, below `$TMPDIR`.
const STATE_DIRECTORY: &str = "honeyknot-127.0.0.1-1";
/// Socket in that directory on which the serving process accepts successors.
const SOCKET: &str = "serving";

/// Returns the maintenance state in the fixtures.
fn recorded_maintenance() -> MaintenanceState {
    let ongoing = |id: &str, since| OngoingMaintenance { id: id.into(), since };
    MaintenanceState {
        ongoing: vec![ongoing("s-1", 1_700_000_000_000_001), ongoing("s-2", 1_700_000_000_000_002)],
        ended: vec![EndedMaintenance {
            id: "s-3".into(),
            from: 1_700_000_000_000_003,
            to: 1_700_000_060_000_003,
        }],
    }
}

fn decode(line: &str) -> HotRestartMessage {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"))
}

fn encode(message: &HotRestartMessage) -> String {
    serde_json::to_string(message).expect("the message can be encoded")
}

/// Returns the value of the field `say`, which identifies a message. A new variant does not compile until it
/// is added here; add a fixture for it, too.
fn tag(message: &HotRestartMessage) -> &'static str {
    match message {
        HotRestartMessage::Hello { .. } => "hello",
        HotRestartMessage::State { .. } => "state",
        HotRestartMessage::TakeoverInProgress => "busy",
        HotRestartMessage::TakeOver => "take",
        HotRestartMessage::HandedOver { .. } => "yours",
        HotRestartMessage::DescriptorsInUse { .. } => "holding",
        HotRestartMessage::SetMaintenance { .. } => "hand",
        HotRestartMessage::Connection(_) => "session",
        HotRestartMessage::Confirmed { .. } => "done",
        HotRestartMessage::UsedIds { .. } => "ran",
        HotRestartMessage::EndpointList(_) => "list",
    }
}

/// Returns the messages of the fixture that transfer no connection, in its order.
fn plain_messages() -> Vec<HotRestartMessage> {
    let maintenance = recorded_maintenance();
    vec![
        HotRestartMessage::Hello {
            receives_changes: false,
            receives_used_ids: false,
            shares_endpoint_list: false,
        },
        HotRestartMessage::State {
            maintenance: maintenance.clone(),
            draining: vec!["s-4".into()],
            endpoint_list: None,
        },
        HotRestartMessage::TakeoverInProgress,
        HotRestartMessage::TakeOver,
        HotRestartMessage::HandedOver { maintenance, draining: Vec::new() },
        HotRestartMessage::DescriptorsInUse { descriptors: 77 },
        HotRestartMessage::SetMaintenance {
            id: "s-1".into(),
            in_maintenance: false,
            number: 18_446_744_073_709_551_615,
        },
        HotRestartMessage::Confirmed { number: 18_446_744_073_709_551_615 },
    ]
}

/// Returns the line of the fixture whose message has this tag.
fn recorded_line(expected_tag: &str) -> String {
    let text = fixture_text(MESSAGES);
    let line = text.lines().find(|line| tag(&decode(line)) == expected_tag).map(str::to_owned);
    line.unwrap_or_else(|| panic!("no fixture of `{expected_tag}`"))
}

#[test]
fn a_hot_restart_message_of_the_previous_version_is_read_and_written_unchanged() {
    let text = fixture_text(MESSAGES);
    let messages: Vec<HotRestartMessage> = text.lines().map(decode).collect();
    let written: String = messages.iter().map(|message| encode(message) + "\n").collect();
    assert_eq!(written, text);
    let is_plain = |message: &&HotRestartMessage| tag(message) != "session";
    let plain: Vec<HotRestartMessage> = messages.iter().filter(is_plain).cloned().collect();
    assert_eq!(plain, plain_messages());
    for (line, message) in text.lines().zip(&messages) {
        let value: Value = serde_json::from_str(line).expect("valid JSON");
        assert_eq!(value["say"], tag(message));
    }
}

/// The messages about used ids have a fixture of their own, as the one of the previous version never changes.
#[test]
fn a_message_about_used_ids_is_read_and_written_unchanged() {
    let text = fixture_text(USED_ID_MESSAGES);
    let messages: Vec<HotRestartMessage> = text.lines().map(decode).collect();
    let written: String = messages.iter().map(|message| encode(message) + "\n").collect();
    assert_eq!(written, text);
    assert_eq!(messages.iter().map(tag).collect::<Vec<_>>(), ["hello", "ran", "ran"]);
    // Both processes must hash an id alike, whatever their versions.
    let message = HotRestartMessage::UsedIds { ids: vec![ConnectionIdHash::of("9b1f")] };
    assert_eq!(encode(&message), r#"{"say":"ran","ids":[4944875925213918072]}"#);
}

/// The messages about shared endpoint lists; they have a fixture of their own, too.
#[test]
fn a_message_about_shared_endpoint_lists_is_read_and_written_unchanged() {
    let text = fixture_text(SHARED_LIST_MESSAGES);
    let messages: Vec<HotRestartMessage> = text.lines().map(decode).collect();
    let written: String = messages.iter().map(|message| encode(message) + "\n").collect();
    assert_eq!(written, text);
    assert_eq!(messages.iter().map(tag).collect::<Vec<_>>(), ["hello", "state", "list", "list", "list"]);
}

/// The fields of a transferred connection that differ between the lines of the fixture.
struct TransferredConnection {
    to_client: &'static [u8],
    to_server: &'static [u8],
    inside_line: bool,
    last: &'static str,
    unanswered: Option<u64>,
    load: Option<f64>,
}

impl TransferredConnection {
    fn value(&self) -> Value {
        json!({
            "say": "session",
            "head": b"OPEN 9b1f 7f3a c=study,d=26000,g=5c0f,x=1\r\n".as_slice(),
            "server": "s-1",
            "to_client": self.to_client,
            "to_server": self.to_server,
            "watch": {"kept": self.to_client, "inside": self.inside_line},
            "last": self.last,
            "unanswered": self.unanswered,
            "load": self.load,
        })
    }
}

/// Returns the transferred connections of the fixture, in its order.
fn transferred_connections() -> [TransferredConnection; 4] {
    let connection = |last, unanswered, load| TransferredConnection {
        to_client: b"",
        to_server: b"",
        inside_line: false,
        last,
        unanswered,
        load,
    };
    [
        TransferredConnection {
            to_client: b"OK par",
            to_server: b"PING 1\r\n",
            inside_line: true,
            ..connection("Bye", Some(1_700_000_000_000_005), Some(0.25))
        },
        connection("Move", None, Some(1.0)),
        TransferredConnection { to_server: b"\xff\x00", ..connection("Err", Some(0), None) },
        connection("Other", None, None),
    ]
}

#[test]
fn a_connection_transferred_by_the_previous_version_is_read_and_written_unchanged() {
    let text = fixture_text(MESSAGES);
    let lines: Vec<&str> = text.lines().filter(|line| tag(&decode(line)) == "session").collect();
    let expected = transferred_connections().map(|connection| connection.value());
    assert_eq!(lines.len(), expected.len());
    for (line, expected) in lines.into_iter().zip(expected) {
        let message = decode(line);
        assert_eq!(serde_json::to_value(&message).expect("the message can be encoded"), expected);
        assert_eq!(encode(&message), line);
    }
}

/// Returns a configuration with the endpoints of the fixtures; `s-4` is draining.
fn config_with_endpoints() -> Config {
    let endpoint = |id, state| (id, address("127.0.0.1:1"), state);
    let known = [
        endpoint("s-1", "active"),
        endpoint("s-2", "active"),
        endpoint("s-3", "active"),
        endpoint("s-4", "leaving"),
    ];
    config(&known, 256, address("127.0.0.1:1")).expect("a valid configuration")
}

/// Starts a relay in a state directory with the fixture's maintenance file. Returns the relay and the path of
/// that directory.
async fn restarted_relay(scratch: &ScratchDirectory) -> (Relay, PathBuf) {
    let folder =
        HotRestartDirectory::open(&scratch.0, address("127.0.0.1:1")).expect("the directory is opened");
    let folder_path = scratch.0.join(STATE_DIRECTORY);
    fs::write(folder_path.join(MAINTENANCE_FILE), fixture(MAINTENANCE_FILE)).expect("the file is written");
    assert_eq!(folder.load_maintenance(), recorded_maintenance());
    let relay = Relay::with_directory(config_with_endpoints(), Some(folder)).await;
    while !folder_path.join(SOCKET).exists() {
        sleep(Duration::from_millis(5)).await;
    }
    (relay, folder_path)
}

#[test]
fn a_maintenance_file_of_the_previous_version_is_read_and_written_unchanged() {
    run_case(async {
        let scratch = ScratchDirectory::new("frozen-maintenance");
        let (relay, path) = restarted_relay(&scratch).await;
        let file = path.join(MAINTENANCE_FILE);
        fs::remove_file(&file).expect("the file is removed");
        // The endpoint is in maintenance already, so the state is written again unchanged.
        assert_eq!(relay.admin_command("maint-on s-1\n").await, "YES\n");
        assert_eq!(fs::read(&file).expect("the file is readable"), fixture(MAINTENANCE_FILE));
    });
}

#[test]
fn a_maintenance_file_with_any_byte_changed_is_ignored() {
    let scratch = ScratchDirectory::new("frozen-maintenance-torn");
    let folder =
        HotRestartDirectory::open(&scratch.0, address("127.0.0.1:1")).expect("the directory is opened");
    let file = scratch.0.join(STATE_DIRECTORY).join(MAINTENANCE_FILE);
    let valid = fixture(MAINTENANCE_FILE);
    for index in 0..valid.len() {
        let mut changed = valid.clone();
        changed[index] ^= 1;
        fs::write(&file, changed).expect("the file is written");
        assert_eq!(folder.load_maintenance(), MaintenanceState::default(), "byte {index}");
    }
}

/// A process of the previous version, played by the test with the lines of the fixture.
struct PreviousVersion(BufReader<UnixStream>);

impl PreviousVersion {
    async fn connect(folder: &Path) -> PreviousVersion {
        let stream = UnixStream::connect(folder.join(SOCKET))
            .await
            .expect("the serving process accepts the connection");
        PreviousVersion(BufReader::new(stream))
    }

    async fn send_line(&mut self, line: &str) {
        self.0.write_all(format!("{line}\n").as_bytes()).await.expect("the message is sent");
    }

    /// Receives the next line, except those with the number of descriptors in use, which may arrive at any
    /// time.
    async fn next_line(&mut self) -> String {
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).await.expect("the message is read");
            let line = line.strip_suffix('\n').expect("the line is complete").to_owned();
            if !line.starts_with("{\"say\":\"holding\",\"descriptors\":") {
                return line;
            }
        }
    }
}

#[test]
fn a_successor_of_the_previous_version_takes_over_with_the_recorded_messages() {
    run_case(async {
        let scratch = ScratchDirectory::new("frozen-takeover");
        let (_relay, folder) = restarted_relay(&scratch).await;
        let mut successor = PreviousVersion::connect(&folder).await;
        successor.send_line(&recorded_line("hello")).await;
        assert_eq!(successor.next_line().await, recorded_line("state"));
        let mut third = PreviousVersion::connect(&folder).await;
        third.send_line(&recorded_line("hello")).await;
        assert_eq!(third.next_line().await, recorded_line("busy"));
        successor.send_line(&recorded_line("take")).await;
        assert_eq!(successor.next_line().await, recorded_line("yours"));
        successor.send_line(&recorded_line("hand")).await;
        assert_eq!(successor.next_line().await, recorded_line("done"));
    });
}

/// A successor of the previous version reads nothing while it prepares, so it must get no change before the
/// handover, and commands at the predecessor must not wait for it.
#[test]
fn a_command_does_not_wait_for_a_preparing_successor_of_the_previous_version() {
    run_case(async {
        let scratch = ScratchDirectory::new("frozen-preparing");
        let (relay, folder) = restarted_relay(&scratch).await;
        let mut successor = PreviousVersion::connect(&folder).await;
        successor.send_line(&recorded_line("hello")).await;
        assert_eq!(successor.next_line().await, recorded_line("state"));
        assert_eq!(relay.admin_command("maint-off s-1\n").await, "YES\n");
        successor.send_line(&recorded_line("take")).await;
        let handed_over = decode(&successor.next_line().await);
        let HotRestartMessage::HandedOver { maintenance, draining } = handed_over else {
            panic!("{handed_over:?}")
        };
        assert_eq!(maintenance.ongoing, recorded_maintenance().ongoing[1..]);
        assert!(draining.is_empty(), "the previous version does not know this field");
    });
}

/// A successor of an earlier version announces that it handles changes while it prepares, and gets them at once.
#[test]
fn a_successor_that_announces_it_gets_changes_while_it_prepares_and_draining_endpoints_at_the_handover() {
    run_case(async {
        let scratch = ScratchDirectory::new("announced");
        let (relay, folder) = restarted_relay(&scratch).await;
        let mut successor = PreviousVersion::connect(&folder).await;
        successor.send_line(r#"{"say":"hello","follows":true}"#).await;
        assert_eq!(successor.next_line().await, recorded_line("state"));
        let confirm = async {
            let change = successor.next_line().await;
            assert_eq!(change, r#"{"say":"hand","id":"s-1","out":false,"number":1}"#);
            successor.send_line(r#"{"say":"done","number":1}"#).await;
        };
        let (answer, ()) = tokio::join!(relay.admin_command("maint-off s-1\n"), confirm);
        assert_eq!(answer, "YES\n");
        successor.send_line(&recorded_line("take")).await;
        let handed_over = decode(&successor.next_line().await);
        let HotRestartMessage::HandedOver { draining, .. } = handed_over else { panic!("{handed_over:?}") };
        assert_eq!(draining, ["s-4"]);
    });
}
