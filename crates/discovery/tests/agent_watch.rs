//! Endpoint lists pushed to a local agent: the relay counts as notified of a list as soon as the agent has
//! it. The relay must receive the list before sends to draining endpoints have to stop, even if requests time
//! out or the agent does not respond.

mod simulated_service;

use honeyknot_balancer::Micros;
use honeyknot_discovery::{DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, Poll};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulated_service::{S, endpoint_list};

const MS: Micros = 1_000;
const LENGTH: Micros = 40 * S;

/// Events of one run of a relay with a local agent.
#[derive(Debug)]
struct Scenario {
    fleet_size: u32,
    drain_grace: Micros,
    seed: u64,
    changes: Vec<Micros>,
    /// Requests in flight at these times get no response.
    stalled_requests_at: Vec<Micros>,
    /// Start and end of a time in which the agent receives no lists and does not respond; `None` if there is
    /// no outage.
    outage: Option<(Micros, Micros)>,
}

/// Runs a scenario and returns the maximum lateness of a change and the number of requests.
///
/// Lateness is the time from when sends must stop to when the relay receives the change, in microseconds. It
/// is negative if the change arrives in time.
fn max_lateness(scenario: &Scenario) -> (i64, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed ^ 5);
    let config = DiscoveryConfig {
        fleet_size: scenario.fleet_size,
        max_list_age: 10 * S,
        agent_drain_grace: Some(scenario.drain_grace),
        seed: scenario.seed,
    };
    let mut poller = DiscoveryPoller::new(config, &endpoint_list(1, true, &["s-1"]), 0);
    let is_outage_at = |at: Micros| scenario.outage.is_some_and(|(from, to)| (from..to).contains(&at));
    // When the agent received each change.
    let agent_received_at: Vec<Micros> = scenario
        .changes
        .iter()
        .map(|at| if is_outage_at(*at) { scenario.outage.map_or(*at, |o| o.1) } else { *at })
        .collect();
    let mut received_at: Vec<Option<Micros>> = vec![None; agent_received_at.len()];
    let (mut now, mut requests) = (0, 0);
    while now < LENGTH {
        now = poller.next_poll_at().expect("a request is due").max(now);
        let Poll { request, timeout } = poller.start_poll(now);
        requests += 1;
        let delay = rng.random_range(MS / 2..5 * MS);
        let poller_version = poller.version();
        let next_change = agent_received_at.iter().filter(|at| **at > now).min().copied();
        let agent_version =
            |at: Micros| 1 + agent_received_at.iter().filter(|agent_at| **agent_at <= at).count() as u64;
        let answered = match request {
            DiscoveryRequest::Watch { max_wait, .. } if agent_version(now) <= poller_version => {
                next_change.map_or(now + max_wait, |at| at.min(now + max_wait))
            }
            _ => now,
        };
        let stalled = scenario.stalled_requests_at.iter().any(|at| (now..=answered).contains(at));
        let in_outage = scenario.outage.is_some_and(|(from, to)| now < to && from <= answered);
        if stalled || in_outage || answered + delay > now + timeout {
            now += timeout;
            poller.poll_failed(now, DiscoveryErrorKind::Timeout);
            continue;
        }
        now = answered + delay;
        let version = agent_version(answered);
        let full = request == DiscoveryRequest::FullList;
        let mut list = endpoint_list(version, full, &["s-1"]);
        if version == poller_version && !full {
            list.endpoints.clear();
        }
        poller.poll_succeeded(now, list);
        received_at.iter_mut().take(version as usize - 1).for_each(|at| *at = at.or(Some(now)));
    }
    // A change just before the outage may be impossible to fetch while a request is stalled, so its deadline
    // is counted from the end of the outage.
    let due = |agent_at: Micros| match scenario.outage {
        Some((from, to)) if (agent_at..agent_at + scenario.drain_grace).contains(&from) => to,
        _ => agent_at,
    };
    let lateness = agent_received_at.iter().zip(&received_at).filter(|(agent_at, _)| **agent_at < LENGTH - S);
    let lateness = lateness.map(|(agent_at, received_at)| {
        received_at.unwrap_or(LENGTH) as i64 - (due(*agent_at) + scenario.drain_grace) as i64
    });
    (lateness.max().unwrap_or(i64::MIN), requests)
}

#[test]
fn agent_list_is_known_before_sends_must_stop() {
    let mut nearest = i64::MIN;
    for seed in 0..4_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleet_size = [0, 1, 6, 300][rng.random_range(0..4)];
        let mut changes: Vec<Micros> = (0..4).map(|_| rng.random_range(0..30 * S)).collect();
        changes[0] = rng.random_range(0..50 * MS);
        changes.sort_unstable();
        let outage_start = rng.random_range(0..20 * S);
        let scenario = Scenario {
            fleet_size,
            drain_grace: [100, 200, 300, 500, 800, 2_000][rng.random_range(0..6)] * MS,
            seed,
            changes,
            stalled_requests_at: (0..4).map(|n| n * 9 * S + rng.random_range(0..5 * S)).collect(),
            outage: rng.random_bool(0.4).then(|| (outage_start, outage_start + rng.random_range(S..8 * S))),
        };
        let (lateness, _) = max_lateness(&scenario);
        assert!(lateness <= 0, "{lateness} us after sends must stop: {scenario:?}");
        nearest = nearest.max(lateness);
    }
    assert!(nearest > -50 * MS as i64, "no run came near the limit; the nearest was {nearest} us");
}

#[test]
fn agent_is_polled_at_a_bounded_rate() {
    for (drain_grace, max_per_s) in [(200 * MS, 25), (500 * MS, 10), (2_000 * MS, 4)] {
        let outage = Some((5 * S, 35 * S));
        let scenario = Scenario {
            fleet_size: 6,
            drain_grace,
            seed: 3,
            changes: vec![],
            stalled_requests_at: vec![],
            outage,
        };
        let (_, requests) = max_lateness(&scenario);
        assert!(
            requests <= max_per_s * LENGTH / S,
            "{requests} requests in {} s with a drain grace of {drain_grace} us",
            LENGTH / S
        );
    }
}
