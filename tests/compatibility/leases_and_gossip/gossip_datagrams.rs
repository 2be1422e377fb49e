//! Gossip datagrams: a run of two members from a fixed seed, and one datagram that a fresh member receives.

use std::collections::VecDeque;
use std::net::SocketAddr;

use honeyknot_gossip::{
    AggregatedHealth, GossipConfig, GossipMember, GossipView, HealthCheckOutcome, HealthObservation,
    MemberId, MemberObservation, OutgoingDatagram,
};

use super::fixture::{all, one};

const RUN: &str = "gossip_run.txt";
const DATAGRAM: &str = "gossip_datagram.txt";
const SEED: u64 = 20_261_203;
const START_MICROS: u64 = 1_000_000;
const END_MICROS: u64 = 3_000_000;
const PROBERS: usize = 3;
/// When the single recorded datagram is received.
pub const RECEIVED_MICROS: u64 = 2_000_000;
/// Long enough for the next round of gossip.
const NEXT_WITHIN_MICROS: u64 = 200_000;
const ENDPOINTS: [u32; 3] = [0x0102_0304, 77, 4_000_000_000];

pub fn first() -> MemberId {
    MemberId { address: "127.0.0.1:7101".parse().expect("an address"), incarnation: 1_101 }
}

pub fn second() -> MemberId {
    MemberId { address: "[::1]:7102".parse().expect("an address"), incarnation: 2_202 }
}

fn address(member: MemberId) -> SocketAddr {
    member.address
}

fn config(seed: SocketAddr) -> GossipConfig {
    GossipConfig {
        fleet: "alpha".into(),
        port: 7_101,
        seeds: vec![seed],
        probers_per_endpoint: PROBERS,
        plain_network: false,
    }
}

/// A member that knows the other only as the address to call first.
pub fn member(id: MemberId, other: MemberId) -> GossipMember {
    GossipMember::new(&config(address(other)), id, 2, SEED, START_MICROS)
}

fn observation(
    endpoint: u32, outcome: HealthCheckOutcome, load: Option<u8>, latency_ms: Option<u16>, age_ms: u16,
) -> HealthObservation {
    HealthObservation { endpoint, outcome, load_percent: load, latency_ms, age_ms }
}

/// Each outcome, with and without what is reported.
pub fn observations() -> Vec<HealthObservation> {
    vec![
        observation(ENDPOINTS[0], HealthCheckOutcome::Healthy, Some(73), Some(412), 15),
        observation(ENDPOINTS[1], HealthCheckOutcome::Failing, None, Some(9), 300),
        observation(ENDPOINTS[2], HealthCheckOutcome::Unresponsive, None, None, 0),
    ]
}

/// What the first member has observed, as another member holds it.
fn observed(
    outcome: HealthCheckOutcome, load: Option<f64>, latency_ms: Option<f64>, age: u64,
) -> MemberObservation {
    MemberObservation { member: first().number(), outcome, load, latency_ms, age }
}

fn aggregated(outcome: HealthCheckOutcome, load: Option<f64>, latency_ms: Option<f64>) -> AggregatedHealth {
    AggregatedHealth { observations: 1, outcome, load, latency_ms }
}

/// The first member's observations as of [`RECEIVED_MICROS`], which it published at [`START_MICROS`].
fn assert_expected_view(view: &GossipView) {
    let mut members = vec![first().number(), second().number()];
    members.sort_unstable();
    assert_eq!(view.alive, members);
    let [loaded, failing, silent] = ENDPOINTS;
    let expected = observed(HealthCheckOutcome::Healthy, Some(0.73), Some(412.0), 1_015_000);
    assert_eq!(view.observations(loaded), [expected]);
    assert_eq!(
        view.observations(failing),
        [observed(HealthCheckOutcome::Failing, None, Some(9.0), 1_300_000)]
    );
    assert_eq!(
        view.observations(silent),
        [observed(HealthCheckOutcome::Unresponsive, None, None, 1_000_000)]
    );
    let aggregate = view.aggregated(RECEIVED_MICROS, loaded, 3_000_000);
    assert_eq!(aggregate, Some(aggregated(HealthCheckOutcome::Healthy, Some(0.73), Some(412.0))));
}

/// Runs two members, the first of which has something to tell. Each datagram passes `carry` on its way.
pub fn run_members(mut carry: impl FnMut(u64, MemberId, Vec<u8>) -> Vec<u8>) {
    let (mut one, mut other) = (member(first(), second()), member(second(), first()));
    one.publish(START_MICROS, observations());
    loop {
        let now = one.next_timeout().min(other.next_timeout()).max(START_MICROS);
        if now > END_MICROS {
            return;
        }
        let mut sent = Vec::new();
        one.handle_timeout(now, &mut sent);
        other.handle_timeout(now, &mut sent);
        let mut queue = VecDeque::from(sent);
        while let Some(OutgoingDatagram { to, bytes }) = queue.pop_front() {
            let (receiver, from, id) = if to == first().address {
                (&mut one, second(), first())
            } else {
                (&mut other, first(), second())
            };
            let bytes = carry(now, id, bytes);
            let mut replies = Vec::new();
            receiver
                .handle_datagram(now, address(from), &bytes, &mut replies)
                .expect("the datagram is readable");
            queue.extend(replies);
        }
    }
}

/// The view of a fresh second member that has received this datagram, and what it sends in a short time after it.
pub fn next_datagrams(received: &[u8]) -> (GossipView, Vec<Vec<u8>>) {
    let mut receiver = member(second(), first());
    let mut sent = Vec::new();
    receiver
        .handle_datagram(RECEIVED_MICROS, address(first()), received, &mut sent)
        .expect("the datagram is readable");
    let view = receiver.view(RECEIVED_MICROS, PROBERS);
    while receiver.next_timeout() <= RECEIVED_MICROS + NEXT_WITHIN_MICROS {
        let now = receiver.next_timeout().max(RECEIVED_MICROS);
        receiver.handle_timeout(now, &mut sent);
    }
    assert!(sent.iter().all(|datagram| datagram.to == address(first())), "it knows nobody else");
    (view, sent.into_iter().map(|datagram| datagram.bytes).collect())
}

#[test]
fn members_that_receive_the_recorded_datagrams_send_the_recorded_ones() {
    let mut recorded = all(RUN).into_iter();
    run_members(|_, _, sent| {
        let (label, bytes) = recorded.next().expect("the run sends no more datagrams than the recorded one");
        assert_eq!(sent, bytes, "{label} is sent");
        bytes
    });
    assert_eq!(recorded.next(), None, "the run sends no fewer datagrams than the recorded one");
}

#[test]
fn a_datagram_of_the_previous_version_gives_a_fresh_member_the_expected_view() {
    let (view, _) = next_datagrams(&one(DATAGRAM, "observations"));
    assert_expected_view(&view);
}

#[test]
fn a_fresh_member_sends_the_recorded_datagrams_after_one_of_the_previous_version() {
    let (_, sent) = next_datagrams(&one(DATAGRAM, "observations"));
    let labelled = (1..).map(|number| format!("next_{number}")).zip(sent);
    let recorded = all(DATAGRAM).into_iter().skip(1);
    assert_eq!(labelled.collect::<Vec<_>>(), recorded.collect::<Vec<_>>());
}

#[test]
fn the_recorded_datagrams_bear_version_1_and_the_hash_of_the_fleets_name() {
    let envelope = [&[1][..], &xxhash_rust::xxh3::xxh3_64(b"alpha").to_le_bytes()].concat();
    for (label, bytes) in all(RUN).into_iter().chain(all(DATAGRAM)) {
        assert!(bytes.starts_with(&envelope), "{label} begins with the envelope");
    }
}
