//! Messages between the old and the new process of a relay, and the file of endpoints in maintenance.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use honeyknot_relay::relay::lifecycle::config::Config;
use honeyknot_relay::relay::lifecycle::hot_restart::{
    EndedMaintenance, HotRestartMessage, MaintenanceState, OngoingMaintenance,
    StateDirectory as HotRestartFolder,
};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::time::sleep;

use super::loopback::{Relay, config, run_case};
use super::process::ScratchDirectory;
use super::{address, fixture, fixture_text, start_relay};

const MESSAGES: &str = "hot-restart-messages.jsonl";
const MAINTENANCE_FILE: &str = "by-hand";
/// The folder in which processes of the relay at 127.0.0.1:1 meet, below `$TMPDIR`.
const MEETING_FOLDER: &str = "honeyknot-127.0.0.1-1";
/// The socket in that folder, which the serving process offers.
const SOCKET: &str = "serving";

/// What the fixtures say of endpoints in maintenance.
fn maintenance_record() -> MaintenanceState {
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
    serde_json::to_string(message).expect("a message has a form")
}

/// The word by which a message is told from others; a message that is added needs a fixture of its own.
fn tag(message: &HotRestartMessage) -> &'static str {
    match message {
        HotRestartMessage::Hello => "hello",
        HotRestartMessage::State { .. } => "state",
        HotRestartMessage::TakeoverInProgress => "busy",
        HotRestartMessage::TakeOver => "take",
        HotRestartMessage::HandedOver { .. } => "yours",
        HotRestartMessage::DescriptorsInUse { .. } => "holding",
        HotRestartMessage::SetMaintenance { .. } => "hand",
        HotRestartMessage::Connection(_) => "session",
        HotRestartMessage::Confirmed { .. } => "done",
    }
}

/// The messages of the fixture that carry no connection, in its order.
fn plain_messages() -> Vec<HotRestartMessage> {
    let maintenance = maintenance_record();
    vec![
        HotRestartMessage::Hello,
        HotRestartMessage::State { maintenance: maintenance.clone(), draining: vec!["s-4".into()] },
        HotRestartMessage::TakeoverInProgress,
        HotRestartMessage::TakeOver,
        HotRestartMessage::HandedOver { maintenance },
        HotRestartMessage::DescriptorsInUse { descriptors: 77 },
        HotRestartMessage::SetMaintenance {
            id: "s-1".into(),
            in_maintenance: false,
            number: 18_446_744_073_709_551_615,
        },
        HotRestartMessage::Confirmed { number: 18_446_744_073_709_551_615 },
    ]
}

/// The fixture's line of a message.
fn line_of(wanted: &str) -> String {
    let text = fixture_text(MESSAGES);
    let line = text.lines().find(|line| tag(&decode(line)) == wanted).map(str::to_owned);
    line.unwrap_or_else(|| panic!("no fixture of `{wanted}`"))
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
        let value: Value = serde_json::from_str(line).expect("JSON");
        assert_eq!(value["say"], tag(message));
    }
}

/// The form of a connection that is passed on: what differs between the fixture's lines.
struct PassedConnection {
    to_client: &'static [u8],
    to_server: &'static [u8],
    inside_line: bool,
    last: &'static str,
    unanswered: Option<u64>,
    load: Option<f64>,
}

impl PassedConnection {
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

/// The connections of the fixture, in its order.
fn passed_connections() -> [PassedConnection; 4] {
    let idle = |last, unanswered, load| PassedConnection {
        to_client: b"",
        to_server: b"",
        inside_line: false,
        last,
        unanswered,
        load,
    };
    [
        PassedConnection {
            to_client: b"OK par",
            to_server: b"PING 1\r\n",
            inside_line: true,
            ..idle("Bye", Some(1_700_000_000_000_005), Some(0.25))
        },
        idle("Move", None, Some(1.0)),
        PassedConnection { to_server: b"\xff\x00", ..idle("Err", Some(0), None) },
        idle("Other", None, None),
    ]
}

#[test]
fn a_connection_passed_on_by_the_previous_version_is_read_and_written_unchanged() {
    let text = fixture_text(MESSAGES);
    let passed: Vec<&str> = text.lines().filter(|line| tag(&decode(line)) == "session").collect();
    let meant = passed_connections().map(|connection| connection.value());
    assert_eq!(passed.len(), meant.len());
    for (line, meant) in passed.into_iter().zip(meant) {
        let message = decode(line);
        assert_eq!(serde_json::to_value(&message).expect("a message has a form"), meant);
        assert_eq!(encode(&message), line);
    }
}

/// A configuration that knows the endpoints in the fixtures; `s-4` is draining.
fn known_endpoints() -> Config {
    let endpoint = |id, state| (id, address("127.0.0.1:1"), state);
    let known = [
        endpoint("s-1", "active"),
        endpoint("s-2", "active"),
        endpoint("s-3", "active"),
        endpoint("s-4", "leaving"),
    ];
    config(&known, 256, address("127.0.0.1:1")).expect("a sound configuration")
}

/// A relay that found the fixture's file of endpoints in maintenance at its start, and the folder of that file.
async fn restarted_relay(scratch: &ScratchDirectory) -> (Relay, PathBuf) {
    let folder = HotRestartFolder::open(&scratch.0, address("127.0.0.1:1")).expect("a folder");
    let path = scratch.0.join(MEETING_FOLDER);
    fs::write(path.join(MAINTENANCE_FILE), fixture(MAINTENANCE_FILE)).expect("a file");
    assert_eq!(folder.load_maintenance(), maintenance_record());
    let relay = start_relay(known_endpoints(), Some(folder)).await;
    while !path.join(SOCKET).exists() {
        sleep(Duration::from_millis(5)).await;
    }
    (relay, path)
}

#[test]
fn the_file_of_endpoints_in_maintenance_of_the_previous_version_is_read_and_written_unchanged() {
    run_case(async {
        let scratch = ScratchDirectory::new("frozen-maintenance");
        let (relay, path) = restarted_relay(&scratch).await;
        let file = path.join(MAINTENANCE_FILE);
        fs::remove_file(&file).expect("it was there");
        // It is in maintenance already, so that the record stays as it is and is written again.
        assert_eq!(relay.admin_command("maint-on s-1\n").await, "YES\n");
        assert_eq!(fs::read(&file).expect("a file"), fixture(MAINTENANCE_FILE));
    });
}

#[test]
fn a_file_of_endpoints_in_maintenance_with_any_byte_changed_is_not_taken() {
    let scratch = ScratchDirectory::new("frozen-maintenance-torn");
    let folder = HotRestartFolder::open(&scratch.0, address("127.0.0.1:1")).expect("a folder");
    let file = scratch.0.join(MEETING_FOLDER).join(MAINTENANCE_FILE);
    let whole = fixture(MAINTENANCE_FILE);
    for place in 0..whole.len() {
        let mut changed = whole.clone();
        changed[place] ^= 1;
        fs::write(&file, changed).expect("a file");
        assert_eq!(folder.load_maintenance(), MaintenanceState::default(), "byte {place}");
    }
}

/// The end of a process of the previous version, which speaks the fixture's lines.
struct PreviousVersion(BufReader<UnixStream>);

impl PreviousVersion {
    async fn connect(folder: &Path) -> PreviousVersion {
        let stream = UnixStream::connect(folder.join(SOCKET)).await.expect("a process that serves");
        PreviousVersion(BufReader::new(stream))
    }

    async fn say(&mut self, line: &str) {
        self.0.write_all(format!("{line}\n").as_bytes()).await.expect("a write");
    }

    /// The next line, but for those that tell how many descriptors are held, which come at any time.
    async fn next(&mut self) -> String {
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).await.expect("a line");
            let line = line.strip_suffix('\n').expect("a whole line").to_owned();
            if !line.starts_with("{\"say\":\"holding\",\"descriptors\":") {
                return line;
            }
        }
    }
}

#[test]
fn a_new_process_of_the_previous_version_takes_over_by_the_frozen_lines() {
    run_case(async {
        let scratch = ScratchDirectory::new("frozen-takeover");
        let (_relay, path) = restarted_relay(&scratch).await;
        let mut newer = PreviousVersion::connect(&path).await;
        newer.say(&line_of("hello")).await;
        assert_eq!(newer.next().await, line_of("state"));
        let mut third = PreviousVersion::connect(&path).await;
        third.say(&line_of("hello")).await;
        assert_eq!(third.next().await, line_of("busy"));
        newer.say(&line_of("take")).await;
        assert_eq!(newer.next().await, line_of("yours"));
        newer.say(&line_of("hand")).await;
        assert_eq!(newer.next().await, line_of("done"));
    });
}
