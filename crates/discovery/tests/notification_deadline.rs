//! Notification deadlines: a model of the protocol's rules computes when each change counts as notified, and
//! the poller must receive it before, in spite of stalled requests, outages and reloads.

mod simulated_service;

use honeyknot_balancer::Micros;
use honeyknot_discovery::{
    DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, EndpointList, Poll,
    notification_deadline::deadline_after,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulated_service::{S, endpoint_list};

const MS: Micros = 1_000;
/// Shortest time for which requests may still be sent to an endpoint after the notification of its drain,
/// including 50 ms for delays of the sockets; in microseconds.
const GRACE: Micros = 300 * MS + 50 * MS;
/// Length of a scenario, in microseconds.
const LENGTH: Micros = 60 * S;

/// Events of one run of a poller.
#[derive(Debug)]
struct Scenario {
    fleet_size: u32,
    max_list_age: Micros,
    seed: u64,
    changes: Vec<Micros>,
    /// Requests in flight at these times get no response.
    stalled_requests_at: Vec<Micros>,
    /// Start and end of an outage of the service; `None` if there is no outage.
    outage: Option<(Micros, Micros)>,
    /// When a reload configures another service; `None` if there is no reload.
    reload: Option<Micros>,
    /// Maximum delay of a response, in microseconds.
    max_delay: Micros,
    /// One in this many responses is invalid, but never two consecutive ones; 0 if all are valid.
    invalid_one_in: u32,
}

/// A request, with what the model needs to compute deadlines.
#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    at: Micros,
    max_wait: Micros,
    /// When the request stalled; `None` if it did not.
    stalled_at: Option<Micros>,
    ended: Micros,
    /// The response includes the changes up to this time.
    changes_until: Micros,
    failed: bool,
}

/// Returns when a change counts as notified according to the protocol.
fn notified_at(change: Micros, requests: &[RequestRecord], scenario: &Scenario) -> Micros {
    // 6 s after the service had the change, unless a later request sets another deadline.
    let mut deadline = change + 6 * S;
    for request in requests.iter().filter(|request| request.ended >= change) {
        if let Some(stalled) = request.stalled_at.filter(|_| request.at < deadline) {
            // A stalled request missed the change: 6 s after it stalled, or 2 s after its wait if that is
            // later.
            deadline = change.max((stalled + 6 * S).max(request.at + request.max_wait + 2 * S));
            break;
        }
        if !request.failed && request.changes_until >= change {
            // The response includes the change, so no deadline applies.
            deadline = Micros::MAX;
            break;
        }
    }
    // The service cannot be reached while it is down: the 6 s begin when it is back.
    if let Some((start, end)) = scenario.outage
        && change <= end
        && start <= deadline
    {
        deadline = deadline.max(end + 6 * S);
    }
    // The other service's list counts as notified 4 s after the reload, including changes that the first
    // service had not sent by then.
    if let Some(reload) = scenario.reload
        && change <= reload
        && reload <= deadline
    {
        deadline = reload + 4 * S;
    }
    deadline
}

/// Runs a scenario and returns when each change was received (`None` if it never was) and the requests.
fn run(scenario: &Scenario) -> (Vec<Option<Micros>>, Vec<RequestRecord>) {
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed ^ 77);
    let config = DiscoveryConfig {
        fleet_size: scenario.fleet_size,
        max_list_age: scenario.max_list_age,
        agent_drain_grace: None,
        seed: scenario.seed,
    };
    let mut poller = DiscoveryPoller::new(config, &endpoint_list(1, true, &["s-1"]), 0);
    let mut received_at: Vec<Option<Micros>> = vec![None; scenario.changes.len()];
    let (mut requests, mut now, mut reloaded): (Vec<RequestRecord>, _, _) = (Vec::new(), 0, false);
    let version = |at: Micros| 1 + scenario.changes.iter().filter(|c| **c <= at).count() as u64;
    while now < LENGTH {
        let due = poller.next_poll_at().expect("a request is due").max(now);
        let reload = scenario.reload.filter(|_| !reloaded);
        if let Some(reload) = reload.filter(|at| *at <= due) {
            (reloaded, now) = (true, reload.max(now));
            poller.change_service(now);
            continue;
        }
        now = due;
        let Poll { request, timeout } = poller.start_poll(now);
        let is_down = |at: Micros| scenario.outage.is_some_and(|(from, to)| (from..to).contains(&at));
        let delay = rng.random_range(MS..=scenario.max_delay.max(2 * MS));
        let mut record = RequestRecord {
            at: now,
            max_wait: 0,
            stalled_at: None,
            ended: now + delay,
            changes_until: now + delay,
            failed: false,
        };
        let mut response = Ok(version(record.ended));
        if let DiscoveryRequest::Watch { since_version, max_wait } = request {
            record.max_wait = max_wait;
            let change = scenario.changes.get(since_version as usize - 1).map(|at| at + delay);
            let wait_ends_at = now + max_wait + delay;
            record.ended = change.map_or(wait_ends_at, |at| at.clamp(now + delay, wait_ends_at));
            record.changes_until = record.ended.saturating_sub(delay);
            response = Ok(version(record.changes_until));
        }
        let last_was_invalid =
            requests.last().is_some_and(|last: &RequestRecord| last.failed && last.stalled_at.is_none());
        if scenario.invalid_one_in > 0
            && !last_was_invalid
            && rng.random_range(0..scenario.invalid_one_in) == 0
        {
            response = Err(DiscoveryErrorKind::InvalidResponse);
        }
        if is_down(now) {
            record.ended = now + delay;
            response = Err(if rng.random() {
                DiscoveryErrorKind::ConnectionRefused
            } else {
                DiscoveryErrorKind::Overloaded { retry_after: None }
            });
        } else if let Some((from, _)) =
            scenario.outage.filter(|(from, _)| (now..=record.ended).contains(from))
        {
            (record.ended, response) = (from, Err(DiscoveryErrorKind::ConnectionBroken));
        }
        if let Some(stalled) =
            scenario.stalled_requests_at.iter().find(|at| (now..=record.ended).contains(*at))
        {
            record.stalled_at = Some(*stalled);
        }
        if record.stalled_at.is_some() || record.ended > now + timeout {
            (record.ended, response) = (now + timeout, Err(DiscoveryErrorKind::Timeout));
        }
        if let Some(reload) = reload.filter(|at| *at < record.ended) {
            // The reload drops the request in flight.
            (record.ended, record.failed) = (reload, true);
            requests.push(record);
            (reloaded, now) = (true, reload);
            poller.change_service(now);
            continue;
        }
        now = record.ended;
        record.failed = response.is_err();
        requests.push(record);
        match response {
            Ok(version) => {
                let full = request == DiscoveryRequest::FullList;
                let endpoints = if full || version > poller.version() {
                    endpoint_list(version, full, &["s-1"]).endpoints
                } else {
                    Vec::new()
                };
                poller.poll_succeeded(now, EndpointList { version, full, endpoints });
                received_at.iter_mut().take(version as usize - 1).for_each(|at| *at = at.or(Some(now)));
            }
            Err(error) => poller.poll_failed(now, error),
        }
    }
    (received_at, requests)
}

/// Returns a scenario without changes or faults.
fn quiet_scenario(fleet_size: u32, seed: u64) -> Scenario {
    Scenario {
        fleet_size,
        max_list_age: 10 * S,
        seed,
        changes: Vec::new(),
        stalled_requests_at: Vec::new(),
        outage: None,
        reload: None,
        max_delay: 20 * MS,
        invalid_one_in: 0,
    }
}

/// Runs a scenario and returns the maximum time from the deadline of a change to its arrival, in
/// microseconds. It is negative if all changes arrive before their deadlines.
fn max_lateness(scenario: &Scenario) -> i64 {
    let (received_at, requests) = run(scenario);
    let lateness =
        scenario.changes.iter().zip(&received_at).filter(|(change, _)| **change < LENGTH - 25 * S).map(
            |(change, received_at)| {
                let deadline = notified_at(*change, &requests, scenario);
                received_at.unwrap_or(LENGTH) as i64 - deadline.min(LENGTH * 2) as i64
            },
        );
    lateness.max().unwrap_or(i64::MIN)
}

#[test]
fn changes_arrive_before_each_notification_deadline() {
    for seed in 0..300 {
        for fleet_size in [1, 5, 40, 300] {
            let drains = |from: Micros| (0..8).map(|n| from + n * 250 * MS).collect::<Vec<_>>();
            let scenarios = [
                (
                    "a watch stalls in the first seconds, and endpoints drain right after",
                    Scenario {
                        changes: drains(3 * S),
                        stalled_requests_at: vec![1_500 * MS],
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "a watch stalls in the middle of its wait",
                    Scenario {
                        changes: drains(24 * S),
                        stalled_requests_at: vec![23 * S],
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "the first request stalls at once",
                    Scenario {
                        changes: drains(500 * MS),
                        stalled_requests_at: vec![20 * MS],
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "endpoints drain within seconds after the service is back",
                    Scenario {
                        changes: drains(21 * S),
                        outage: Some((14 * S, 20 * S)),
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "a reload configures another service with its own list",
                    Scenario {
                        changes: drains(19 * S),
                        reload: Some(20 * S),
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "short maximum list age",
                    Scenario {
                        changes: drains(12 * S),
                        max_list_age: 4 * S,
                        invalid_one_in: 4,
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
            ];
            for (name, scenario) in scenarios {
                let lateness = max_lateness(&scenario);
                assert!(
                    lateness <= GRACE as i64,
                    "{name}: {lateness} us after the deadline, {fleet_size} relays, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn timeout_leaves_time_for_a_second_request_before_the_deadline() {
    for request in [
        DiscoveryRequest::FullList,
        DiscoveryRequest::Watch { since_version: 1, max_wait: 0 },
        DiscoveryRequest::Watch { since_version: 1, max_wait: 9 * S },
    ] {
        assert!(deadline_after(request) >= 6 * S);
    }
    for (fleet_size, seed) in (1..=300).flat_map(|fleet_size| (0..5).map(move |seed| (fleet_size, seed))) {
        let mut poller = DiscoveryPoller::new(
            DiscoveryConfig { fleet_size, max_list_age: 8 * S, agent_drain_grace: None, seed },
            &endpoint_list(1, true, &["s-1"]),
            0,
        );
        let Poll { request, timeout } = poller.start_poll(S);
        assert!(timeout + 600 * MS <= deadline_after(request), "{fleet_size} relays");
        poller.poll_failed(S + timeout, DiscoveryErrorKind::Timeout);
        let due = poller.next_poll_at().expect("a second request");
        assert!(due <= S + deadline_after(request) - 400 * MS, "{fleet_size} relays");
    }
}

#[test]
fn changes_arrive_before_the_deadline_in_generated_scenarios() {
    let mut worst = i64::MIN;
    for seed in 0..100_000u64 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleet_size = [1, 4, 7, 30, 100, 300][rng.random_range(0..6)];
        let mut changes: Vec<Micros> =
            (0..rng.random_range(1..6)).map(|_| rng.random_range(MS..34 * S)).collect();
        changes.sort_unstable();
        // Stalls are at least 23 s apart, because stalls within one timeout count as one.
        let stalled_requests_at =
            (0..3).map(|n| (n * 27 + 1) * S + rng.random_range(0..4 * S)).collect::<Vec<_>>();
        let stalled_requests_at = stalled_requests_at.into_iter().filter(|_| rng.random_bool(0.5)).collect();
        let outage_start = rng.random_range(8 * S..12 * S);
        let scenario = Scenario {
            fleet_size,
            max_list_age: rng.random_range(4 * S..=10 * S),
            seed,
            changes,
            stalled_requests_at,
            outage: rng.random_bool(0.3).then(|| (outage_start, outage_start + rng.random_range(S..5 * S))),
            reload: rng.random_bool(0.2).then(|| rng.random_range(26 * S..30 * S)),
            max_delay: [5, 50, 400][rng.random_range(0..3)] * MS,
            invalid_one_in: if rng.random_bool(0.2) { 5 } else { 0 },
        };
        let lateness = max_lateness(&scenario);
        assert!(lateness <= GRACE as i64, "{lateness} us after the deadline: {scenario:?}");
        worst = worst.max(lateness);
    }
    assert!(worst > -10 * S as i64, "no scenario came near the deadline");
}
