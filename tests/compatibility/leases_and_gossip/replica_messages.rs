//! Frames between lease servers: each kind of consensus message, and a run of three replicas.

use std::collections::VecDeque;

use honeyknot_lease::Command;
use honeyknot_lease_consensus::{
    ClientRequest, Entry, PeerMessage, Replica, ReplicaAction, ReplicaSettings, Snapshot,
};
use honeyknot_relay::lease_client::frame::Frame;
use serde::{Deserialize, Serialize};

use super::fixture::{assert_labels, decode, encode, read_all, read_one};
use super::lease_frames::{read_frame, write_frame};
use super::lease_table::{
    TOKENS_FROM, hard_state, lease_parameters, log_entry, persisted_state, recorded_commands, renew,
    replica_snapshot,
};

const KINDS: &str = "replica_message_kinds.txt";
const RUN: &str = "replica_run.txt";
const REPLICA_COUNT: u64 = 3;
const TICK_MICROS: u64 = 50_000;
const TICKS: u64 = 60;
const REQUEST_TICK: u64 = 40;
const RENEWAL_TICK: u64 = 50;
const ELECTED_MICROS: u64 = 1_000_000;
const HEARTBEAT_MICROS: u64 = 1_200_000;
const SNAPSHOT_INDEX: u64 = 40;
const SNAPSHOT_TERM: u64 = 6;
const LAGGING_INDEX: u64 = 4;
const LAGGING_TERM: u64 = 5;
const LENGTH_PREFIX_BYTES: usize = 4;

pub fn peer_frame(clock: u64, message: PeerMessage) -> Frame {
    Frame::PeerMessage(clock, message)
}

fn peer_message(frame: Frame) -> (u64, PeerMessage) {
    let Frame::PeerMessage(clock, message) = frame else { panic!("not a frame between lease servers") };
    (clock, message)
}

fn replica_settings(id: u64) -> ReplicaSettings {
    ReplicaSettings {
        parameters: lease_parameters(),
        id,
        replica_count: REPLICA_COUNT,
        tick_interval: TICK_MICROS,
        election_timeout: 1_000_000,
        compact_after: 4_096,
        tokens_from: TOKENS_FROM,
    }
}

fn client_request(id: u64, commands: Vec<Command>) -> ClientRequest {
    ClientRequest { client: 1, id, commands }
}

fn sent_messages(actions: Vec<ReplicaAction>) -> impl Iterator<Item = PeerMessage> {
    actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Send(message) => Some(message),
        ReplicaAction::Respond { .. } => None,
    })
}

/// The recorded layout of a frame between lease servers, declared without the types of the program.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordedFrame {
    pub frame_variant: u8,
    pub clock: u64,
    pub kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<Snapshot>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
    pub priority: i64,
}

/// Returns a frame from the first replica to another; the caller sets the fields of its kind.
fn from_leader(clock: u64, kind: u8, to: u64) -> RecordedFrame {
    RecordedFrame { clock, kind, from: 1, to, term: 7, ..RecordedFrame::default() }
}

/// Returns a frame from another replica to the first.
fn to_leader(clock: u64, kind: u8, from: u64) -> RecordedFrame {
    RecordedFrame { clock, kind, from, to: 1, term: 7, ..RecordedFrame::default() }
}

/// Returns a vote request or a pre-vote request.
fn vote_request(kind: u8) -> RecordedFrame {
    RecordedFrame {
        log_term: SNAPSHOT_TERM,
        index: SNAPSHOT_INDEX,
        commit: SNAPSHOT_INDEX,
        commit_term: SNAPSHOT_TERM,
        ..from_leader(ELECTED_MICROS, kind, 2)
    }
}

fn append() -> RecordedFrame {
    RecordedFrame {
        log_term: 7,
        index: 41,
        entries: vec![log_entry(42, 7, &recorded_commands())],
        commit: 41,
        ..from_leader(REQUEST_TICK * TICK_MICROS, 3, 2)
    }
}

fn rejected_append() -> RecordedFrame {
    RecordedFrame {
        log_term: LAGGING_TERM,
        index: SNAPSHOT_INDEX,
        commit: LAGGING_INDEX,
        reject: true,
        reject_hint: LAGGING_INDEX,
        ..to_leader(ELECTED_MICROS, 4, 3)
    }
}

fn snapshot_message() -> RecordedFrame {
    let snapshot = replica_snapshot(SNAPSHOT_INDEX, SNAPSHOT_TERM, read_one("lease_table.txt", "table"));
    RecordedFrame { snapshot: Some(snapshot), ..from_leader(ELECTED_MICROS, 7, 3) }
}

/// Returns a message that no replica sends; it fixes the position and the type of each field.
pub fn message_with_every_field() -> RecordedFrame {
    RecordedFrame {
        frame_variant: 0,
        clock: 1_234_567,
        kind: 3,
        to: 2,
        from: 1,
        term: 601,
        log_term: 602,
        index: 603,
        entries: vec![log_entry(604, 605, &recorded_commands())],
        commit: 606,
        commit_term: 607,
        snapshot: Some(replica_snapshot(608, 609, vec![4, 5, 6])),
        request_snapshot: 610,
        reject: true,
        reject_hint: 611,
        context: vec![1, 2, 3],
        priority: -5,
    }
}

/// Returns each kind of message as the replicas of the recorded run send it, and one with every field set.
fn kinds() -> Vec<(&'static str, RecordedFrame)> {
    vec![
        ("append", append()),
        ("append_response", rejected_append()),
        ("request_vote", vote_request(5)),
        ("request_vote_response", to_leader(ELECTED_MICROS, 6, 2)),
        ("snapshot", snapshot_message()),
        ("heartbeat", RecordedFrame { commit: 41, ..from_leader(HEARTBEAT_MICROS, 8, 2) }),
        ("heartbeat_response", RecordedFrame { commit: 41, ..to_leader(HEARTBEAT_MICROS, 9, 2) }),
        ("timeout_now", from_leader(TICKS * TICK_MICROS, 14, 2)),
        ("request_pre_vote", vote_request(17)),
        ("request_pre_vote_response", to_leader(ELECTED_MICROS, 18, 2)),
        ("every_field", message_with_every_field()),
    ]
}

/// Three replicas, of which the third lags behind the snapshot of the others.
struct Cluster {
    replicas: Vec<Replica>,
    now: u64,
}

impl Cluster {
    fn new(lease_table: &[u8]) -> Cluster {
        let replicas = (1..=REPLICA_COUNT).map(|id| {
            let snapshot = replica_snapshot(SNAPSHOT_INDEX, SNAPSHOT_TERM, lease_table.to_vec());
            let state = if id == REPLICA_COUNT {
                let entries = (1..=LAGGING_INDEX).map(|index| log_entry(index, LAGGING_TERM, &[]));
                persisted_state(hard_state(LAGGING_TERM, 2, LAGGING_INDEX), None, entries.collect())
            } else {
                persisted_state(hard_state(SNAPSHOT_TERM, 1, SNAPSHOT_INDEX), Some(snapshot), Vec::new())
            };
            Replica::new(replica_settings(id), state).expect("the state is valid")
        });
        Cluster { replicas: replicas.collect(), now: 0 }
    }

    fn replica(&mut self, id: u64) -> &mut Replica {
        &mut self.replicas[id as usize - 1]
    }

    /// Processes pending work of all replicas and returns the messages that they send.
    fn outgoing(&mut self) -> Vec<PeerMessage> {
        let mut messages = Vec::new();
        for replica in &mut self.replicas {
            while let Some(write) = replica.ready(self.now) {
                let actions = replica.advance(self.now, write).expect("the replica continues");
                messages.extend(sent_messages(actions));
            }
        }
        messages
    }

    /// Delivers messages in order until no replica sends another. `intercept` receives each message with its
    /// time, and returns the message that is delivered.
    fn settle(&mut self, intercept: &mut impl FnMut(u64, PeerMessage) -> PeerMessage) {
        let mut queue = VecDeque::new();
        loop {
            queue.extend(self.outgoing());
            let Some(message) = queue.pop_front() else { return };
            let message = intercept(self.now, message);
            if message.has_snapshot() {
                self.replica(message.from).report_snapshot_sent(message.to);
            }
            self.replica(message.to).step(message).expect("the replica continues");
        }
    }
}

/// Runs an election, a snapshot transfer to the third replica, two requests, and a leadership transfer whose
/// message is not delivered.
pub fn run_cluster(lease_table: &[u8], mut intercept: impl FnMut(u64, PeerMessage) -> PeerMessage) {
    let mut cluster = Cluster::new(lease_table);
    for tick in 1..=TICKS {
        cluster.now = tick * TICK_MICROS;
        let now = cluster.now;
        for id in 1..=REPLICA_COUNT {
            cluster.replica(id).tick(now);
        }
        match tick {
            REQUEST_TICK => cluster.replica(1).request(now, client_request(21, recorded_commands())),
            RENEWAL_TICK => {
                cluster.replica(1).request(now, client_request(22, vec![renew("sweep", 70_003, 1)]))
            }
            _ => {}
        }
        cluster.settle(&mut intercept);
    }
    cluster.replica(1).transfer_leadership();
    let last_messages = cluster.outgoing();
    for message in last_messages {
        intercept(cluster.now, message);
    }
}

#[tokio::test]
async fn a_peer_message_from_the_previous_version_is_read_and_written_unchanged() {
    for (label, bytes) in read_all(KINDS).into_iter().chain(read_all(RUN)) {
        let frame = read_frame(&bytes).await;
        assert_eq!(write_frame(&frame).await, bytes, "{label} is written");
        let recorded: RecordedFrame = decode(&bytes[LENGTH_PREFIX_BYTES..]);
        let (clock, message) = peer_message(frame);
        let read = (clock, message.from, message.to, message.has_snapshot());
        let expected = (recorded.clock, recorded.from, recorded.to, recorded.snapshot.is_some());
        assert_eq!(read, expected, "{label} is read");
    }
}

#[test]
fn replicas_that_receive_the_recorded_peer_messages_send_the_recorded_ones() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let mut recorded = read_all(RUN).into_iter();
    run_cluster(&read_one("lease_table.txt", "table"), |clock, message| {
        let (label, bytes) = recorded.next().expect("the run sends no more messages than the recorded one");
        let sent = runtime.block_on(write_frame(&peer_frame(clock, message)));
        assert_eq!(sent, bytes, "{label} is sent");
        peer_message(runtime.block_on(read_frame(&bytes))).1
    });
    assert_eq!(recorded.next(), None, "the run sends no fewer messages than the recorded one");
}

#[test]
fn each_kind_of_peer_message_from_the_previous_version_has_the_recorded_fields() {
    let kinds = kinds();
    assert_labels(KINDS, kinds.iter().map(|(label, _)| *label));
    for (label, expected) in kinds {
        let bytes = read_one(KINDS, label);
        let (prefix, payload) = bytes.split_at(LENGTH_PREFIX_BYTES);
        assert_eq!(prefix, (payload.len() as u32).to_be_bytes(), "{label} starts with its length");
        assert_eq!(decode::<RecordedFrame>(payload), expected, "{label} has the recorded fields");
        assert_eq!(encode(&expected), payload, "{label} has the recorded layout");
    }
}

#[test]
fn the_recorded_run_sends_each_kind_of_peer_message() {
    let run = read_all(RUN);
    for (label, frame) in kinds().into_iter().filter(|(label, _)| *label != "every_field") {
        let bytes = read_one(KINDS, label);
        assert!(run.iter().any(|(_, sent)| *sent == bytes), "{label}, kind {}, is not sent", frame.kind);
    }
}
