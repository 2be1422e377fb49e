//! Frames between a lease client and a lease server, and the greetings that open their connections and those
//! between lease servers.

use std::time::Duration;

use honeyknot_lease::{Command, CommandOutcome, CommandResult, Rejection};
use honeyknot_lease_consensus::{LeaseView, Response};
use honeyknot_relay::lease_client::codec::{FrameReader, send};
use honeyknot_relay::lease_client::frame::Frame;
use honeyknot_relay::lease_client::greeting::{Greeting, GreetingParameters, GreetingSender};
use honeyknot_relay::lease_client::handshake::{accept, dial};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::fixture::{assert_labels, read_one};
use super::lease_table::{command_variants, fencing_token};

const FRAMES: &str = "lease_frames.txt";
const GREETINGS: &str = "lease_greetings.txt";
const TIMEOUT: Duration = Duration::from_secs(10);
const REJECTION: &str = "fleet `beta`, here `alpha`";

fn request(id: u64, commands: Vec<Command>) -> Frame {
    Frame::Request { id, commands }
}

fn response(id: u64, response: Response) -> Frame {
    Frame::Response { id, response }
}

fn results(outcomes: Vec<(CommandOutcome, u64)>) -> Response {
    let results = outcomes.into_iter().map(|(outcome, retry_after)| CommandResult { outcome, retry_after });
    Response::Results(results.collect())
}

fn rejected(rejection: Rejection) -> CommandOutcome {
    CommandOutcome::Rejected(rejection)
}

fn lease_view() -> LeaseView {
    LeaseView {
        task: "sweep".into(),
        holder: "relay-a".into(),
        token: fencing_token(70_001),
        renewals: 12,
        age: 3_000_000,
        remaining: 8_500_000,
        revoked: true,
    }
}

/// Returns a frame with each variant of request, response, outcome and rejection.
pub fn client_frames() -> Vec<(&'static str, Frame)> {
    let commands = command_variants().into_iter().map(|(_, command)| command).collect();
    let rejected_frame = |id, rejection| response(id, results(vec![(rejected(rejection), 0)]));
    vec![
        ("request_commands", request(501, commands)),
        ("request_all_leases", request(502, Vec::new())),
        ("answer_held", response(503, results(vec![(CommandOutcome::Held(fencing_token(70_001)), 0)]))),
        ("answer_free", response(504, results(vec![(CommandOutcome::Free, 0)]))),
        ("answer_taken", response(505, results(vec![(rejected(Rejection::SlotsTaken), 2_500_000)]))),
        ("answer_ended", rejected_frame(506, Rejection::LeaseEnded)),
        ("answer_renewed", rejected_frame(507, Rejection::LeaseRenewed)),
        ("answer_unheard", rejected_frame(508, Rejection::TooManyUnanswered)),
        ("answer_full", rejected_frame(509, Rejection::TableFull)),
        ("answer_name", rejected_frame(510, Rejection::InvalidName)),
        ("answer_slots", rejected_frame(511, Rejection::InvalidSlotCount)),
        ("leases", response(512, Response::Leases(vec![lease_view()]))),
        ("other_leader", response(513, Response::NotLeader(Some(3)))),
        ("no_leader", response(514, Response::NotLeader(None))),
        ("busy", response(515, Response::Overloaded)),
    ]
}

fn greeting(sender: GreetingSender) -> Greeting {
    let parameters = GreetingParameters { lease_duration: 10_000_000, drift_ppm: 1_000, margin: 500_000 };
    Greeting { sender, fleet: "alpha".into(), server_count: 3, parameters }
}

/// Returns the first frame of each kind of connecting peer.
pub fn greetings() -> [(&'static str, Greeting); 2] {
    [
        ("server", greeting(GreetingSender::LeaseServer(2, 0x0123_4567_89ab_cdef))),
        ("client", greeting(GreetingSender::Client("relay-a".into()))),
    ]
}

/// Returns each result of a greeting on the listening side, with the label of the frame that reports it.
pub fn greeting_results() -> [(&'static str, Result<(), String>); 2] {
    [("accepted", Ok(())), ("rejected", Err(REJECTION.into()))]
}

/// Reads a frame from bytes that hold no other.
pub async fn read_frame(bytes: &[u8]) -> Frame {
    let mut reader = FrameReader::new(bytes);
    let frame = reader.next().await.expect("the frame is readable").expect("the bytes hold a frame");
    assert_eq!(reader.next().await.expect("the stream ends between frames"), None);
    frame
}

/// Returns the bytes of a frame on a connection.
pub async fn write_frame(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    send(&mut bytes, frame, TIMEOUT).await.expect("the frame is written");
    bytes
}

#[tokio::test]
async fn a_client_frame_from_the_previous_version_is_read_and_written_unchanged() {
    assert_labels(FRAMES, client_frames().iter().map(|(label, _)| *label));
    for (label, frame) in client_frames() {
        let bytes = read_one(FRAMES, label);
        assert_eq!(read_frame(&bytes).await, frame, "{label} is read");
        assert_eq!(write_frame(&frame).await, bytes, "{label} is written");
    }
}

#[tokio::test]
async fn a_greeting_from_the_previous_version_is_read_and_answered_unchanged() {
    for (label, expected) in greetings() {
        let bytes = read_one(GREETINGS, label);
        for (result_label, result) in greeting_results() {
            let mut answer = Vec::new();
            let mut seen = None;
            let check = |greeting: &Greeting| {
                seen = Some(greeting.clone());
                result.clone()
            };
            let accepted = accept(&mut FrameReader::new(&bytes[..]), &mut answer, check).await;
            assert_eq!(seen.as_ref(), Some(&expected), "{label} is read");
            assert_eq!(accepted.is_ok(), result.is_ok(), "{label} is {result_label}");
            assert_eq!(answer, read_one(GREETINGS, result_label), "{result_label} is written");
        }
    }
}

#[tokio::test]
async fn dial_writes_the_recorded_greeting_and_reads_the_recorded_result() {
    for (label, greeting) in greetings() {
        for (result_label, result) in greeting_results() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("the listener has an address");
            let (expected, answer) = (read_one(GREETINGS, label), read_one(GREETINGS, result_label));
            let listen = async {
                let (mut stream, _) = listener.accept().await.expect("the connection is accepted");
                let mut received = vec![0; expected.len()];
                stream.read_exact(&mut received).await.expect("the whole greeting is received");
                stream.write_all(&answer).await.expect("the result is sent");
                (received, stream)
            };
            let (dialed, (received, _stream)) = tokio::join!(dial(address, &greeting, TIMEOUT), listen);
            assert_eq!(received, expected, "{label} is written");
            match result {
                Ok(()) => assert!(dialed.is_ok(), "{result_label} is read"),
                Err(reason) => {
                    let error = dialed.expect_err("a rejection is an error");
                    assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied);
                    assert!(error.to_string().contains(&reason), "{result_label} gives its reason");
                }
            }
        }
    }
}

#[test]
fn all_recorded_greetings_are_covered() {
    let labels = greetings().map(|(label, _)| label).into_iter();
    assert_labels(GREETINGS, labels.chain(greeting_results().map(|(label, _)| label)));
}
