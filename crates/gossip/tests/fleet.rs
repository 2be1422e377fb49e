//! Membership and published observations in fleets of members on a virtual clock.

mod support;

use std::net::SocketAddr;

use honeyknot_gossip::{
    DatagramError, GossipConfig, GossipMember, HealthCheckOutcome, HealthObservation, MAX_DATAGRAM_BYTES,
    MemberId, OutgoingDatagram, assigned_probers,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Fleet, MS, Network, PROBERS, S, START, address, config};

/// Time within which every member of a starting fleet must see all others.
const JOIN_TIMEOUT: u64 = 12 * S;
const ENVELOPE_BYTES: usize = 9;

fn observation(endpoint: u32, load_percent: u8) -> HealthObservation {
    HealthObservation {
        endpoint,
        outcome: HealthCheckOutcome::Healthy,
        load_percent: Some(load_percent),
        latency_ms: None,
        age_ms: 0,
    }
}

/// Returns the datagrams by which a new member announces itself to the seeds.
fn announcements(config: &GossipConfig, index: usize) -> Vec<OutgoingDatagram> {
    let id = MemberId { address: address(index), incarnation: 1 };
    let mut datagrams = Vec::new();
    GossipMember::new(config, id, 2, 1, START).handle_timeout(START, &mut datagrams);
    datagrams
}

fn fleet_of(members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(members, seed);
    fleet.run_until_alive(members, JOIN_TIMEOUT);
    fleet
}

#[test]
fn all_members_of_a_fleet_join_within_limits_on_datagram_length_and_bandwidth() {
    for members in [2, 12, 100] {
        let mut fleet = Fleet::new(members, 1);
        let joined_after = fleet.run_until_alive(members, JOIN_TIMEOUT);
        fleet.sent_bytes = 0;
        fleet.run(5 * S);
        assert_eq!(fleet.alive_range(), (members, members), "the fleet was complete after {joined_after} us");
        assert!(fleet.longest_datagram <= MAX_DATAGRAM_BYTES);
        let bytes_per_second = fleet.sent_bytes / 5 / members as u64;
        // About 27 datagrams of gossip per second, and the engine's probes.
        assert!(bytes_per_second <= 40_000, "{members} members: {bytes_per_second} bytes per second each");
    }
}

#[test]
fn stopped_members_are_detected_and_join_again_in_a_new_incarnation() {
    let mut fleet = fleet_of(30, 2);
    (20..30).for_each(|index| drop(fleet.members.remove(&index)));
    let detected_after = fleet.run_until_alive(20, 15 * S);
    assert!(
        detected_after >= S,
        "one lost datagram must not suffice, but detection took only {detected_after} us"
    );
    (20..30).for_each(|index| fleet.start(index));
    fleet.run_until_alive(30, 8 * S);
}

#[test]
fn both_sides_of_a_partition_continue_alone_and_join_when_it_ends() {
    let mut fleet = fleet_of(24, 3);
    fleet.network.partition = Some(8);
    fleet.run(14 * S);
    assert_eq!((fleet.view(0).alive.len(), fleet.view(23).alive.len()), (8, 16));
    fleet.network.partition = None;
    fleet.run_until_alive(24, 20 * S);
}

#[test]
fn living_members_stay_alive_under_loss_delay_and_duplication() {
    let mut fleet = fleet_of(20, 4);
    fleet.network = Network { loss: 0.2, max_delay: 60 * MS, duplication: 0.2, partition: None };
    let mut min_alive = 20;
    for _ in 0..60 {
        fleet.run(500 * MS);
        min_alive = min_alive.min(fleet.alive_range().0);
    }
    assert!(min_alive >= 18, "only {min_alive} of 20 members alive in some view");
}

#[test]
fn observations_of_assigned_probers_reach_all_members_and_expire() {
    let mut fleet = fleet_of(40, 5);
    let endpoint = 77;
    let assigned = assigned_probers(&fleet.view(0).alive, endpoint, PROBERS);
    let number = |index: usize| MemberId { address: address(index), incarnation: 0 }.number();
    let probers: Vec<usize> = (0..40).filter(|index| assigned.contains(&number(*index))).collect();
    assert_eq!(probers.len(), PROBERS, "each assigned prober is a member");
    for (index, load_percent) in probers.iter().zip([30, 32, 255]) {
        fleet.publish(*index, vec![observation(endpoint, load_percent)]);
    }
    fleet.run(1_500 * MS);
    for index in (0..40).filter(|index| !probers.contains(index)) {
        let health = fleet.view(index).aggregated(fleet.now, endpoint, 2 * S).expect("observations");
        let aggregate = (health.observations, health.load);
        assert_eq!(
            aggregate,
            (3, Some(0.32)),
            "a wrong observation does not move the median, member {index}"
        );
    }
    fleet.run(3 * S);
    let has_expired = |index| fleet.view(index).observations(endpoint).is_empty();
    assert!((0..40).all(has_expired), "expired observations are not in any view");
}

#[test]
fn observations_of_a_member_that_is_not_assigned_are_left_out() {
    let mut fleet = fleet_of(40, 6);
    fleet.publish(7, (0..40).map(|endpoint| observation(endpoint, 255)).collect());
    fleet.run(S);
    let view = fleet.view(20);
    let counted = (0..40).filter(|endpoint| !view.observations(*endpoint).is_empty()).count();
    // For each endpoint, the observations of 5 of the 40 members count.
    assert!(counted <= 12, "the member's observations count for {counted} of 40 endpoints");
}

#[test]
fn datagrams_of_another_fleet_version_or_length_are_dropped_with_an_error_that_says_what_to_do() {
    let mut fleet = fleet_of(2, 7);
    let other_fleet = GossipConfig { fleet: "other".into(), ..config() };
    let bytes = announcements(&other_fleet, 5).swap_remove(0).bytes;
    let now = fleet.now;
    let member = fleet.members.get_mut(&0).expect("the member is alive");
    let mut receive = |bytes: &[u8]| member.handle_datagram(now, address(5), bytes, &mut Vec::new());
    let error = receive(&bytes).expect_err("another fleet");
    assert!(matches!(error, DatagramError::Fleet { .. }));
    assert!(error.to_string().contains("check `fleet`"));
    let mut other_version = bytes;
    other_version[0] = 9;
    let error = receive(&other_version).expect_err("another version");
    assert!(error.to_string().contains("finish the upgrade"));
    assert!(matches!(receive(&[0; MAX_DATAGRAM_BYTES + 1]), Err(DatagramError::Size { .. })));
    assert!(matches!(receive(&[]), Err(DatagramError::Size { .. })));
}

#[test]
fn random_bytes_add_no_member() {
    let mut fleet = fleet_of(2, 7);
    let now = fleet.now;
    let member = fleet.members.get_mut(&0).expect("the member is alive");
    let announcement = announcements(&config(), 9).swap_remove(0).bytes;
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    for _ in 0..20_000 {
        let mut bytes = vec![0; rng.random_range(0..200)];
        rng.fill_bytes(&mut bytes);
        if rng.random_bool(0.5) && bytes.len() > ENVELOPE_BYTES {
            bytes[..ENVELOPE_BYTES].copy_from_slice(&announcement[..ENVELOPE_BYTES]);
        }
        let _ = member.handle_datagram(now, address(5), &bytes, &mut Vec::new());
    }
    let alive = member.view(now, PROBERS).alive.len();
    assert!(alive <= 2, "{alive} members are alive in the view");
}

#[test]
fn all_errors_of_an_operator_file_are_reported_together() {
    let text = "port 80\nseed 10.0.0.1:7500\nseed x\nwitnesses 0\nfoo 1\n";
    let message = GossipConfig::read("f", text).expect_err("errors").to_string();
    let expected_errors =
        ["lacks `fleet`", "`port`: `80`", "not a loopback address", "`witnesses`: `0`", "directive `foo`"];
    for expected in expected_errors {
        assert!(message.contains(expected), "`{expected}` is not in {message}");
    }
}

#[test]
fn an_address_other_than_loopback_is_rejected_with_the_directive_that_allows_it() {
    let listen = SocketAddr::from(([10, 0, 0, 9], 5000));
    let message = config().gossip_address(listen).expect_err("not loopback").to_string();
    assert!(message.contains("plain-network"), "{message}");
}
