//! Notification deadlines: a model of the protocol's rules judges when changes reach a poller through silent
//! requests, outages and reloads.

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
/// Shortest time in which an endpoint may still be sent to after the notification of its drain, with the slack of
/// sockets.
const GRACE: Micros = 300 * MS + 50 * MS;
/// Length of a scenario.
const LENGTH: Micros = 60 * S;

/// Events of one run of a poller.
#[derive(Debug)]
struct Scenario {
    fleet_size: u32,
    max_list_age: Micros,
    seed: u64,
    changes: Vec<Micros>,
    /// Requests in flight at these times get no response.
    silent_requests_at: Vec<Micros>,
    /// Start and end of a time in which the service is down.
    outage: Option<(Micros, Micros)>,
    /// When another service is configured.
    reload: Option<Micros>,
    /// Longest delay of a response.
    max_delay: Micros,
    /// One response in so many is invalid, never two consecutive ones; 0 for none.
    invalid_one_in: u32,
}

/// A request as the model sees it.
#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    at: Micros,
    max_wait: Micros,
    /// When it went silent.
    silent_at: Option<Micros>,
    ended: Micros,
    /// Its response includes the changes up to then.
    changes_until: Micros,
    failed: bool,
}

/// Returns when a change counts as notified by the protocol's rules.
fn notified_at(change: Micros, requests: &[RequestRecord], scenario: &Scenario) -> Micros {
    // 6 s after the service had it, whatever the requests since came to.
    let mut deadline = change + 6 * S;
    for request in requests.iter().filter(|request| request.ended >= change) {
        if let Some(silent) = request.silent_at.filter(|_| request.at < deadline) {
            // A change missed by a silent request: 6 s after it went silent, or 2 s after its wait, if later.
            deadline = change.max((silent + 6 * S).max(request.at + request.max_wait + 2 * S));
            break;
        }
        if !request.failed && request.changes_until >= change {
            // The response includes the change.
            deadline = Micros::MAX;
            break;
        }
    }
    // While the service is down it cannot be reached: the 6 s begin at its return.
    if let Some((down, back)) = scenario.outage
        && change <= back
        && down <= deadline
    {
        deadline = deadline.max(back + 6 * S);
    }
    // The list of another service counts 4 s after the reload, also changes that the old one had not sent by then.
    if let Some(reload) = scenario.reload
        && change <= reload
        && reload <= deadline
    {
        deadline = reload + 4 * S;
    }
    deadline
}

/// Runs a scenario and returns when each change was received, and the requests.
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
        let down = |at: Micros| scenario.outage.is_some_and(|(from, to)| (from..to).contains(&at));
        let delay = rng.random_range(MS..=scenario.max_delay.max(2 * MS));
        let mut record = RequestRecord {
            at: now,
            max_wait: 0,
            silent_at: None,
            ended: now + delay,
            changes_until: now + delay,
            failed: false,
        };
        let mut response = Ok(version(record.ended));
        if let DiscoveryRequest::Watch { since_version, max_wait } = request {
            record.max_wait = max_wait;
            let change = scenario.changes.get(since_version as usize - 1).map(|at| at + delay);
            let over = now + max_wait + delay;
            record.ended = change.map_or(over, |at| at.clamp(now + delay, over));
            record.changes_until = record.ended.saturating_sub(delay);
            response = Ok(version(record.changes_until));
        }
        let last_was_invalid =
            requests.last().is_some_and(|last: &RequestRecord| last.failed && last.silent_at.is_none());
        if scenario.invalid_one_in > 0
            && !last_was_invalid
            && rng.random_range(0..scenario.invalid_one_in) == 0
        {
            response = Err(DiscoveryErrorKind::InvalidResponse);
        }
        if down(now) {
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
        if let Some(silent) = scenario.silent_requests_at.iter().find(|at| (now..=record.ended).contains(*at))
        {
            record.silent_at = Some(*silent);
        }
        if record.silent_at.is_some() || record.ended > now + timeout {
            (record.ended, response) = (now + timeout, Err(DiscoveryErrorKind::Timeout));
        }
        if let Some(reload) = reload.filter(|at| *at < record.ended) {
            // The request in flight is dropped.
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

/// A scenario without events.
fn quiet_scenario(fleet_size: u32, seed: u64) -> Scenario {
    Scenario {
        fleet_size,
        max_list_age: 10 * S,
        seed,
        changes: Vec::new(),
        silent_requests_at: Vec::new(),
        outage: None,
        reload: None,
        max_delay: 20 * MS,
        invalid_one_in: 0,
    }
}

/// Returns by how much the latest change came after it counted as notified, in microseconds.
fn max_lateness(scenario: &Scenario) -> i64 {
    let (received_at, requests) = run(scenario);
    let late =
        scenario.changes.iter().zip(&received_at).filter(|(change, _)| **change < LENGTH - 25 * S).map(
            |(change, received_at)| {
                let deadline = notified_at(*change, &requests, scenario);
                received_at.unwrap_or(LENGTH) as i64 - deadline.min(LENGTH * 2) as i64
            },
        );
    late.max().unwrap_or(i64::MIN)
}

#[test]
fn changes_arrive_before_each_notification_deadline() {
    for seed in 0..300 {
        for fleet_size in [1, 5, 40, 300] {
            let drains = |from: Micros| (0..8).map(|n| from + n * 250 * MS).collect::<Vec<_>>();
            let rows = [
                (
                    "a watch goes silent in the first seconds, endpoints drain right after",
                    Scenario {
                        changes: drains(3 * S),
                        silent_requests_at: vec![1_500 * MS],
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "a watch goes silent in the middle of its wait",
                    Scenario {
                        changes: drains(24 * S),
                        silent_requests_at: vec![23 * S],
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "the first request goes silent at once",
                    Scenario {
                        changes: drains(500 * MS),
                        silent_requests_at: vec![20 * MS],
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "the service is down and back, and endpoints drain within seconds",
                    Scenario {
                        changes: drains(21 * S),
                        outage: Some((14 * S, 20 * S)),
                        ..quiet_scenario(fleet_size, seed)
                    },
                ),
                (
                    "another service is configured, and has its own list",
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
            for (name, scenario) in rows {
                let late = max_lateness(&scenario);
                assert!(late <= GRACE as i64, "{name}: {late} us late, {fleet_size} relays, seed {seed}");
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
        // Requests that go silent within the timeout of another count as one.
        let silent_requests_at =
            (0..3).map(|n| (n * 27 + 1) * S + rng.random_range(0..4 * S)).collect::<Vec<_>>();
        let silent_requests_at = silent_requests_at.into_iter().filter(|_| rng.random_bool(0.5)).collect();
        let down = rng.random_range(8 * S..12 * S);
        let scenario = Scenario {
            fleet_size,
            max_list_age: rng.random_range(4 * S..=10 * S),
            seed,
            changes,
            silent_requests_at,
            outage: rng.random_bool(0.3).then(|| (down, down + rng.random_range(S..5 * S))),
            reload: rng.random_bool(0.2).then(|| rng.random_range(26 * S..30 * S)),
            max_delay: [5, 50, 400][rng.random_range(0..3)] * MS,
            invalid_one_in: if rng.random_bool(0.2) { 5 } else { 0 },
        };
        let late = max_lateness(&scenario);
        assert!(late <= GRACE as i64, "{late} us too late: {scenario:?}");
        worst = worst.max(late);
    }
    assert!(worst > -10 * S as i64, "no run came near the limit");
}
