//! A single poller: what it requests, when, and which lists it accepts.

mod simulated_service;

use honeyknot_balancer::{EndpointState, Micros};
use honeyknot_discovery::{
    DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, DiscoveryState, EndpointList,
    Poll,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulated_service::{S, endpoint, endpoint_list};

fn config(fleet_size: u32, seed: u64) -> DiscoveryConfig {
    DiscoveryConfig { fleet_size, max_list_age: 10 * S, agent_drain_grace: None, seed }
}

fn ids(list: &EndpointList) -> Vec<(&str, EndpointState)> {
    list.endpoints.iter().map(|endpoint| (&*endpoint.id.0, endpoint.state)).collect()
}

/// Returns a poller that has this list and has received one response, without changes.
fn following_poller(initial: &EndpointList) -> DiscoveryPoller {
    let mut poller = DiscoveryPoller::new(config(300, 5), initial, 0);
    poller.start_poll(S);
    let unchanged = EndpointList { version: initial.version, ..EndpointList::default() };
    assert_eq!(poller.poll_succeeded(9 * S, unchanged.clone()), unchanged);
    assert_eq!(poller.state(), DiscoveryState::Following);
    poller
}

#[test]
fn relay_with_a_list_watches_for_changes_in_time_and_relay_without_one_requests_the_full_list() {
    for seed in 0..200 {
        let poller = DiscoveryPoller::new(config(5_000, seed), &endpoint_list(7, true, &["s-1"]), 0);
        assert!(
            poller.next_poll_at().is_some_and(|due| due <= 4_600_000),
            "the maximum list age must bound the spread"
        );
        let mut empty = DiscoveryPoller::new(config(300, seed), &EndpointList::default(), 0);
        assert_eq!(empty.start_poll(S).request, DiscoveryRequest::FullList);
    }
    let mut single = DiscoveryPoller::new(config(1, 1), &endpoint_list(7, true, &["s-1"]), 0);
    assert_eq!(single.next_poll_at(), Some(0), "a single relay must not wait");
    let Poll { request, timeout } = single.start_poll(0);
    let DiscoveryRequest::Watch { since_version: 7, max_wait } = request else { panic!("{request:?}") };
    assert!((3 * S..=7 * S).contains(&max_wait) && max_wait % 1_000 == 0 && timeout > max_wait);
}

/// Returns the backoff after the last of these failures, in seconds, for 300 random seeds.
fn backoffs(fleet_size: u32, errors: &[DiscoveryErrorKind]) -> Vec<f64> {
    let backoff = |seed| {
        let mut poller = DiscoveryPoller::new(config(fleet_size, seed), &endpoint_list(7, true, &["s-1"]), 0);
        for error in errors {
            poller.start_poll(S);
            poller.poll_failed(S, *error);
        }
        (poller.next_poll_at().expect("a request") - S) as f64 / 1e6
    };
    (0..300).map(backoff).collect()
}

#[test]
fn mean_backoff_depends_on_the_error_kind() {
    let mean = |errors: &[DiscoveryErrorKind]| backoffs(100, errors).iter().sum::<f64>() / 300.0;
    let overloaded = DiscoveryErrorKind::Overloaded { retry_after: None };
    let assert_near = |mean: f64, expected: f64| {
        assert!((mean / expected - 1.0).abs() < 0.1, "mean backoff of {mean:.1} s, expected {expected} s")
    };
    assert_near(mean(&[DiscoveryErrorKind::ConnectionRefused]), 2.4);
    assert_near(mean(&[overloaded]), 2.4);
    assert_near(mean(&[overloaded; 2]), 4.0);
    assert_near(mean(&[overloaded; 9]), 4.0);
    assert_near(mean(&[DiscoveryErrorKind::Overloaded { retry_after: Some(2 * S) }]), 3.9);
    assert_near(mean(&[DiscoveryErrorKind::ConnectionBroken]), 2.4);
    assert_near(mean(&[DiscoveryErrorKind::InvalidResponse]), 0.5);
    // The changes that the request missed are about to count as notified.
    let after_timeout = mean(&[DiscoveryErrorKind::Timeout]);
    assert!(
        (0.05..0.15).contains(&after_timeout),
        "mean backoff of {after_timeout:.2} s after the first timeout"
    );
    assert_near(mean(&[DiscoveryErrorKind::Timeout; 9]), 4.0);
}

/// A change right after a failure counts as notified 6 s later. The backoff must leave time for a response
/// before.
#[test]
fn backoff_after_any_error_stays_within_the_notification_deadline() {
    let kinds = [
        DiscoveryErrorKind::ConnectionRefused,
        DiscoveryErrorKind::ConnectionBroken,
        DiscoveryErrorKind::Timeout,
        DiscoveryErrorKind::InvalidResponse,
        DiscoveryErrorKind::Overloaded { retry_after: None },
        DiscoveryErrorKind::Overloaded { retry_after: Some(30 * S) },
        DiscoveryErrorKind::Overloaded { retry_after: Some(u64::MAX) },
    ];
    for fleet_size in [0, 1, 4, 30, 300, 920] {
        for kind in kinds {
            for times in 1..12 {
                let backoffs = backoffs(fleet_size, &vec![kind; times]);
                let longest = backoffs.iter().copied().fold(0.0, f64::max);
                assert!(
                    longest <= 4.6,
                    "{fleet_size} relays, {kind:?} {times} times: backoff of {longest:.1} s"
                );
                let shortest = backoffs.iter().copied().fold(f64::MAX, f64::min);
                assert!(
                    longest - shortest >= 0.3 || longest < 0.3,
                    "backoffs are not spread: {shortest} to {longest} s"
                );
            }
        }
    }
    // Relays back off for longer if the service could not answer the whole fleet within the deadline.
    let backoffs = backoffs(10_000, &[DiscoveryErrorKind::Overloaded { retry_after: None }; 9]);
    assert!(backoffs.iter().any(|backoff| *backoff > 4.6) && backoffs.iter().all(|backoff| *backoff <= 24.0));
}

/// A single refused connection may be a crash that the service has not noticed yet. Several show that the
/// list is stale and the watch has stalled.
#[test]
fn several_refused_connections_abandon_an_old_watch_at_a_bounded_rate() {
    for fleet_size in [1, 4, 300] {
        let mut poller =
            DiscoveryPoller::new(config(fleet_size, 2), &endpoint_list(7, true, &["s-1", "s-2"]), 0);
        assert!(!poller.connection_refused(0) && !poller.connection_refused(0), "no request is in flight");
        poller.start_poll(10 * S);
        assert!(!poller.connection_refused(10 * S + S / 2), "one refusal");
        assert!(!poller.connection_refused(10 * S + S / 2), "the watch is not old enough");
        assert!(!poller.connection_refused(14 * S), "earlier refusals have expired");
        assert!(poller.connection_refused(15 * S));
        poller.poll_failed(15 * S, DiscoveryErrorKind::Timeout);
        let due = poller.next_poll_at().expect("a request");
        assert!(due <= 15 * S + 200_000, "the next request must follow at once");
        poller.start_poll(due);
        assert!((0..20).all(|n| !poller.connection_refused(due + n * S / 5)), "abandoned again too soon");
        let later = due + 6 * S;
        assert!(!poller.connection_refused(later) && poller.connection_refused(later));
    }
}

#[test]
fn late_response_lengthens_the_pause() {
    let mut poller = DiscoveryPoller::new(config(300, 1), &EndpointList::default(), 0);
    poller.start_poll(0);
    poller.poll_succeeded(2 * S, endpoint_list(7, true, &["s-1"]));
    assert!(poller.next_poll_at().is_some_and(|due| due >= 3 * S));
    let mut timely = DiscoveryPoller::new(config(300, 1), &EndpointList::default(), 0);
    timely.start_poll(0);
    timely.poll_succeeded(S / 10, endpoint_list(7, true, &["s-1"]));
    assert!(
        timely.next_poll_at().is_some_and(|due| due <= S / 10 + 150_000),
        "a watch must be continued within 200 ms"
    );
}

#[test]
fn change_late_in_a_watch_does_not_lengthen_the_pause() {
    for seed in 0..50 {
        let mut poller = DiscoveryPoller::new(config(300, seed), &endpoint_list(7, true, &["s-1"]), 0);
        poller.start_poll(S);
        poller.poll_succeeded(11 * S, endpoint_list(8, false, &["s-2"]));
        assert!(
            poller.next_poll_at().is_some_and(|due| due <= 11 * S + 200_000),
            "the watch must be continued"
        );
    }
}

#[test]
fn new_service_is_asked_for_its_full_list_in_time_and_its_lower_version_accepted() {
    let mut poller = following_poller(&endpoint_list(41, true, &["s-1", "s-2"]));
    poller.change_service(20 * S);
    let mut now = 20 * S;
    for _ in 0..3 {
        let due = poller.next_poll_at().expect("a request");
        assert!(due <= now + 1_200_000);
        assert_eq!(poller.start_poll(due).request, DiscoveryRequest::FullList);
        poller.poll_failed(due, DiscoveryErrorKind::Overloaded { retry_after: None });
        now = due;
    }
    assert!(now < 24 * S, "three failures must fit into the deadline of 4 s");
    poller.start_poll(now);
    let list = endpoint_list(3, true, &["s-9"]);
    assert_eq!(
        poller.poll_succeeded(now + S / 10, list.clone()),
        list,
        "the new service's versions are unrelated"
    );
    assert_eq!(poller.state(), DiscoveryState::Following);
}

#[test]
fn newer_list_is_accepted_at_once_even_if_empty() {
    let mut poller = following_poller(&endpoint_list(41, true, &["s-1", "s-2"]));
    poller.start_poll(10 * S);
    let empty = endpoint_list(42, true, &[]);
    assert_eq!(poller.poll_succeeded(11 * S, empty.clone()), empty, "acceptance must not be delayed");
}

#[test]
fn older_list_adds_and_drains_endpoints_but_removes_none_before_its_grace_period() {
    let mut poller = following_poller(&endpoint_list(41, true, &["s-1", "s-2", "s-3"]));
    poller.start_poll(10 * S);
    let draining = EndpointList {
        version: 42,
        full: false,
        endpoints: vec![endpoint("s-3", EndpointState::Draining, 0)],
    };
    assert_eq!(poller.poll_succeeded(11 * S, draining.clone()), draining);
    poller.start_poll(12 * S);
    let mut older = endpoint_list(1, true, &["s-9", "s-3"]);
    older.endpoints.push(endpoint("s-2", EndpointState::Draining, 0));
    let accepted = poller.poll_succeeded(13 * S, older);
    assert!(!accepted.full, "endpoints that the list does not name must stay");
    assert_eq!(ids(&accepted), [("s-9", EndpointState::Ready), ("s-2", EndpointState::Draining)]);
    assert_eq!(poller.state(), DiscoveryState::ValidatingOlderList);
    // A draining endpoint is ready again only after a restart, not because an older list says so.
    poller.start_poll(14 * S);
    let restarted = EndpointList {
        version: 2,
        full: false,
        endpoints: vec![endpoint("s-3", EndpointState::Ready, 12 * S)],
    };
    assert_eq!(ids(&poller.poll_succeeded(15 * S, restarted)), [("s-3", EndpointState::Ready)]);
    assert_eq!(poller.version(), 2, "changes must be requested since the service's present version");
    // After the grace period the full list is requested and accepted, so endpoints that it does not name are
    // removed.
    let (mut now, mut full) = (15 * S, false);
    while !full {
        now = poller.next_poll_at().expect("a request");
        assert!(now < 50 * S, "the full list is not requested");
        full = poller.start_poll(now).request == DiscoveryRequest::FullList;
        let list = if full {
            endpoint_list(2, true, &["s-9"])
        } else {
            EndpointList { version: 2, ..EndpointList::default() }
        };
        let accepted = poller.poll_succeeded(now + S / 100, list);
        assert_eq!(accepted.full, full);
    }
    assert!(now >= 25 * S, "the service had no time to fill its list");
    assert_eq!(poller.state(), DiscoveryState::Following);
}

#[test]
fn version_as_high_as_before_is_accepted_in_full() {
    let mut poller = following_poller(&endpoint_list(41, true, &["s-1", "s-2"]));
    poller.start_poll(10 * S);
    poller.poll_succeeded(11 * S, endpoint_list(40, true, &["s-1"]));
    assert_eq!(poller.state(), DiscoveryState::ValidatingOlderList);
    poller.start_poll(12 * S);
    let list = endpoint_list(41, true, &["s-1"]);
    assert_eq!(poller.poll_succeeded(13 * S, list.clone()), list);
    assert_eq!(poller.state(), DiscoveryState::Following);
}

#[test]
fn empty_service_that_answers_at_once_is_polled_at_a_bounded_rate() {
    let mut poller = DiscoveryPoller::new(config(40, 3), &EndpointList::default(), 0);
    let (mut now, mut requests) = (0, 0);
    while now < 30 * S {
        now = poller.next_poll_at().expect("a request").max(now) + 200;
        poller.start_poll(now);
        poller.poll_succeeded(now, EndpointList { full: true, ..EndpointList::default() });
        requests += 1;
    }
    assert!(requests <= 30, "{requests} requests in 30 s");
}

#[derive(Clone, Debug)]
enum PollerEvent {
    Response { after: Micros, version: u64, full: bool, endpoints: usize },
    Failure(DiscoveryErrorKind),
    ServiceChange,
    FullListRequest,
}

fn poller_event() -> impl Strategy<Value = PollerEvent> {
    let error = prop_oneof![
        Just(DiscoveryErrorKind::ConnectionRefused),
        Just(DiscoveryErrorKind::ConnectionBroken),
        Just(DiscoveryErrorKind::Timeout),
        Just(DiscoveryErrorKind::InvalidResponse),
        Just(DiscoveryErrorKind::Overloaded { retry_after: None }),
        (0..u64::MAX).prop_map(|after| DiscoveryErrorKind::Overloaded { retry_after: Some(after) }),
    ];
    prop_oneof![
        (0..9 * S, 0..50u64, any::<bool>(), 0..3usize).prop_map(|(after, version, full, endpoints)| {
            PollerEvent::Response { after, version, full, endpoints }
        }),
        error.prop_map(PollerEvent::Failure),
        Just(PollerEvent::ServiceChange),
        Just(PollerEvent::FullListRequest),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    })]

    /// After any sequence of events a next request is scheduled: not immediately, without backoff only a few
    /// times in a row, and within a maximum time.
    #[test]
    fn next_request_is_neither_immediate_for_long_nor_too_late(
        fleet_size in prop_oneof![Just(0u32), Just(1), 2..2_000u32, Just(u32::MAX)],
        seed in any::<u64>(),
        events in proptest::collection::vec(poller_event(), 1..60),
    ) {
        let mut poller = DiscoveryPoller::new(config(fleet_size, seed), &endpoint_list(20, true, &["s-1"]), 0);
        let (mut now, mut immediate) = (0, 0);
        for event in events {
            let due = poller.next_poll_at().expect("a request is due");
            prop_assert!(due <= now + 60 * S);
            now = now.max(due);
            match event {
                PollerEvent::Response { after, version, full, endpoints } => {
                    let Poll { timeout, .. } = poller.start_poll(now);
                    prop_assert!(timeout <= 40 * S && poller.next_poll_at().is_none());
                    now += after.min(timeout);
                    poller.poll_succeeded(now, endpoint_list(version, full, &["s-1", "s-2", "s-3"][..endpoints]));
                    prop_assert!(poller.next_poll_at().is_some_and(|due| due >= now + 20_000));
                }
                PollerEvent::Failure(error) => {
                    poller.start_poll(now);
                    poller.poll_failed(now, error);
                    // After a timeout a few retries are made without backoff.
                    let due = poller.next_poll_at().expect("a request is due");
                    immediate = if due < now + 100_000 { immediate + 1 } else { 0 };
                    prop_assert!(due >= now + 20_000 && immediate <= 4);
                }
                PollerEvent::ServiceChange => poller.change_service(now),
                PollerEvent::FullListRequest => poller.request_full_list(),
            }
        }
    }
}
