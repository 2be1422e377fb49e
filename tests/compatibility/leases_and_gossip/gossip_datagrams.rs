//! Gossip datagrams: a run of two members from a fixed seed, and a datagram that a new member receives.

use std::collections::VecDeque;
use std::net::SocketAddr;

use honeyknot_gossip::{
    AggregatedHealth, GossipConfig, GossipMember, GossipView, HealthCheckOutcome, HealthObservation,
    MemberId, MemberObservation, OutgoingDatagram,
};

use super::fixture::{read_all, read_one};

const RUN: &str = "gossip_run.txt";
const DATAGRAM: &str = "gossip_datagram.txt";
const SEED: u64 = 20_261_203;
const START_MICROS: u64 = 1_000_000;
const END_MICROS: u64 = 3_000_000;
const PROBERS_PER_ENDPOINT: usize = 3;
/// Time at which the new member receives the recorded datagram.
pub const RECEIVED_MICROS: u64 = 2_000_000;
/// Long enough for the next gossip round of the new member.
const SEND_WINDOW_MICROS: u64 = 200_000;
const ENDPOINTS: [u32; 3] = [0x0102_0304, 77, 4_000_000_000];

pub fn first_id() -> MemberId {
    MemberId { address: "127.0.0.1:7101".parse().expect("a valid address"), incarnation: 1_101 }
}

pub fn second_id() -> MemberId {
    MemberId { address: "[::1]:7102".parse().expect("a valid address"), incarnation: 2_202 }
}

fn address(member: MemberId) -> SocketAddr {
    member.address
}

fn config(seed: SocketAddr) -> GossipConfig {
    GossipConfig {
        fleet: "alpha".into(),
        port: 7_101,
        seeds: vec![seed],
        probers_per_endpoint: PROBERS_PER_ENDPOINT,
        plain_network: false,
    }
}

/// Returns a new member whose only seed is the other member's address.
pub fn member(id: MemberId, other: MemberId) -> GossipMember {
    GossipMember::new(&config(address(other)), id, 2, SEED, START_MICROS)
}

fn observation(
    endpoint: u32, outcome: HealthCheckOutcome, load: Option<u8>, latency_ms: Option<u16>, age_ms: u16,
) -> HealthObservation {
    HealthObservation { endpoint, outcome, load_percent: load, latency_ms, age_ms }
}

/// Returns an observation with each outcome, with and without load and latency.
pub fn observations() -> Vec<HealthObservation> {
    vec![
        observation(ENDPOINTS[0], HealthCheckOutcome::Healthy, Some(73), Some(412), 15),
        observation(ENDPOINTS[1], HealthCheckOutcome::Failing, None, Some(9), 300),
        observation(ENDPOINTS[2], HealthCheckOutcome::Unresponsive, None, None, 0),
    ]
}

/// Returns an observation of the first member as another member stores it.
fn observed(
    outcome: HealthCheckOutcome, load: Option<f64>, latency_ms: Option<f64>, age: u64,
) -> MemberObservation {
    MemberObservation { member: first_id().number(), outcome, load, latency_ms, age }
}

fn aggregated(outcome: HealthCheckOutcome, load: Option<f64>, latency_ms: Option<f64>) -> AggregatedHealth {
    AggregatedHealth { observations: 1, outcome, load, latency_ms }
}

/// Asserts that a view at [`RECEIVED_MICROS`] has the observations that the first member published at
/// [`START_MICROS`].
fn assert_expected_view(view: &GossipView) {
    let mut members = vec![first_id().number(), second_id().number()];
    members.sort_unstable();
    assert_eq!(view.alive, members);
    let [healthy, failing, unresponsive] = ENDPOINTS;
    let expected = observed(HealthCheckOutcome::Healthy, Some(0.73), Some(412.0), 1_015_000);
    assert_eq!(view.observations(healthy), [expected]);
    assert_eq!(
        view.observations(failing),
        [observed(HealthCheckOutcome::Failing, None, Some(9.0), 1_300_000)]
    );
    assert_eq!(
        view.observations(unresponsive),
        [observed(HealthCheckOutcome::Unresponsive, None, None, 1_000_000)]
    );
    let aggregate = view.aggregated(RECEIVED_MICROS, healthy, 3_000_000);
    assert_eq!(aggregate, Some(aggregated(HealthCheckOutcome::Healthy, Some(0.73), Some(412.0))));
}

/// Runs two members, of which the first has published observations. `intercept` receives each datagram with
/// its time and its sender, and returns the bytes that are delivered.
pub fn run_members(mut intercept: impl FnMut(u64, MemberId, Vec<u8>) -> Vec<u8>) {
    let (mut first_member, mut second_member) =
        (member(first_id(), second_id()), member(second_id(), first_id()));
    first_member.publish(START_MICROS, observations());
    loop {
        let now = first_member.next_timeout().min(second_member.next_timeout()).max(START_MICROS);
        if now > END_MICROS {
            return;
        }
        let mut sent = Vec::new();
        first_member.handle_timeout(now, &mut sent);
        second_member.handle_timeout(now, &mut sent);
        let mut queue = VecDeque::from(sent);
        while let Some(OutgoingDatagram { to, bytes }) = queue.pop_front() {
            let (receiver, from, id) = if to == first_id().address {
                (&mut first_member, second_id(), first_id())
            } else {
                (&mut second_member, first_id(), second_id())
            };
            let bytes = intercept(now, id, bytes);
            let mut replies = Vec::new();
            receiver
                .handle_datagram(now, address(from), &bytes, &mut replies)
                .expect("the datagram is accepted");
            queue.extend(replies);
        }
    }
}

/// Delivers a datagram to a new second member. Returns the view of that member, and the datagrams that it
/// sends within [`SEND_WINDOW_MICROS`].
pub fn next_datagrams(received: &[u8]) -> (GossipView, Vec<Vec<u8>>) {
    let mut receiver = member(second_id(), first_id());
    let mut sent = Vec::new();
    receiver
        .handle_datagram(RECEIVED_MICROS, address(first_id()), received, &mut sent)
        .expect("the datagram is accepted");
    let view = receiver.view(RECEIVED_MICROS, PROBERS_PER_ENDPOINT);
    while receiver.next_timeout() <= RECEIVED_MICROS + SEND_WINDOW_MICROS {
        let now = receiver.next_timeout().max(RECEIVED_MICROS);
        receiver.handle_timeout(now, &mut sent);
    }
    assert!(
        sent.iter().all(|datagram| datagram.to == address(first_id())),
        "the member sends only to its seed"
    );
    (view, sent.into_iter().map(|datagram| datagram.bytes).collect())
}

#[test]
fn members_that_receive_the_recorded_datagrams_send_the_recorded_ones() {
    let mut recorded = read_all(RUN).into_iter();
    run_members(|_, _, sent| {
        let (label, bytes) = recorded.next().expect("the run sends no more datagrams than the recorded one");
        assert_eq!(sent, bytes, "{label} is sent");
        bytes
    });
    assert_eq!(recorded.next(), None, "the run sends no fewer datagrams than the recorded one");
}

#[test]
fn a_datagram_of_the_previous_version_gives_a_new_member_the_expected_view() {
    let (view, _) = next_datagrams(&read_one(DATAGRAM, "observations"));
    assert_expected_view(&view);
}

#[test]
fn a_new_member_sends_the_recorded_datagrams_after_one_of_the_previous_version() {
    let (_, sent) = next_datagrams(&read_one(DATAGRAM, "observations"));
    let labeled = (1..).map(|number| format!("next_{number}")).zip(sent);
    let recorded = read_all(DATAGRAM).into_iter().skip(1);
    assert_eq!(labeled.collect::<Vec<_>>(), recorded.collect::<Vec<_>>());
}

#[test]
fn the_recorded_datagrams_start_with_version_1_and_the_hash_of_the_fleet_name() {
    let envelope = [&[1][..], &xxhash_rust::xxh3::xxh3_64(b"alpha").to_le_bytes()].concat();
    for (label, bytes) in read_all(RUN).into_iter().chain(read_all(DATAGRAM)) {
        assert!(bytes.starts_with(&envelope), "{label} starts with the envelope");
    }
}
