//! Lists pushed to an agent beside the relay: the relay counts as notified of what the agent has, so it must know
//! it before sends have to stop, also when requests time out or the agent is silent.

mod simulated_service;

use honeyknot_balancer::Micros;
use honeyknot_discovery::{DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, Poll};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulated_service::{S, endpoint_list};

const MS: Micros = 1_000;
const LENGTH: Micros = 40 * S;

/// A run of a relay beside its agent.
#[derive(Debug)]
struct Scenario {
    fleet_size: u32,
    drain_grace: Micros,
    seed: u64,
    changes: Vec<Micros>,
    /// Requests in flight at these times get no response.
    silent_requests_at: Vec<Micros>,
    /// Start and end of a time in which the agent learns nothing and answers nothing.
    outage: Option<(Micros, Micros)>,
}

/// Returns by how much the latest change was known after sends had to stop, and the number of requests.
fn max_lateness(scenario: &Scenario) -> (i64, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed ^ 5);
    let config = DiscoveryConfig {
        fleet_size: scenario.fleet_size,
        max_list_age: 10 * S,
        agent_drain_grace: Some(scenario.drain_grace),
        seed: scenario.seed,
    };
    let mut poller = DiscoveryPoller::new(config, &endpoint_list(1, true, &["s-1"]), 0);
    let is_out = |at: Micros| scenario.outage.is_some_and(|(from, to)| (from..to).contains(&at));
    // When the agent had each change.
    let agent_had_at: Vec<Micros> = scenario
        .changes
        .iter()
        .map(|at| if is_out(*at) { scenario.outage.map_or(*at, |o| o.1) } else { *at })
        .collect();
    let mut known: Vec<Option<Micros>> = vec![None; agent_had_at.len()];
    let (mut now, mut requests) = (0, 0);
    while now < LENGTH {
        now = poller.next_poll_at().expect("a request is due").max(now);
        let Poll { request, timeout } = poller.start_poll(now);
        requests += 1;
        let delay = rng.random_range(MS / 2..5 * MS);
        let held_version = poller.version();
        let next_change = agent_had_at.iter().filter(|at| **at > now).min().copied();
        let has = |at: Micros| 1 + agent_had_at.iter().filter(|had| **had <= at).count() as u64;
        let answered = match request {
            DiscoveryRequest::Watch { max_wait, .. } if has(now) <= held_version => {
                next_change.map_or(now + max_wait, |at| at.min(now + max_wait))
            }
            _ => now,
        };
        let silent = scenario.silent_requests_at.iter().any(|at| (now..=answered).contains(at));
        let in_outage = scenario.outage.is_some_and(|(from, to)| now < to && from <= answered);
        if silent || in_outage || answered + delay > now + timeout {
            now += timeout;
            poller.poll_failed(now, DiscoveryErrorKind::Timeout);
            continue;
        }
        now = answered + delay;
        let version = has(answered);
        let full = request == DiscoveryRequest::FullList;
        let mut list = endpoint_list(version, full, &["s-1"]);
        if version == held_version && !full {
            list.endpoints.clear();
        }
        poller.poll_succeeded(now, list);
        known.iter_mut().take(version as usize - 1).for_each(|at| *at = at.or(Some(now)));
    }
    // A change just before the outage, while a request was silent too, could not be requested.
    let due = |had: Micros| match scenario.outage {
        Some((from, to)) if (had..had + scenario.drain_grace).contains(&from) => to,
        _ => had,
    };
    let late = agent_had_at.iter().zip(&known).filter(|(had, _)| **had < LENGTH - S);
    let late =
        late.map(|(had, known)| known.unwrap_or(LENGTH) as i64 - (due(*had) + scenario.drain_grace) as i64);
    (late.max().unwrap_or(i64::MIN), requests)
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
        let down = rng.random_range(0..20 * S);
        let scenario = Scenario {
            fleet_size,
            drain_grace: [100, 200, 300, 500, 800, 2_000][rng.random_range(0..6)] * MS,
            seed,
            changes,
            silent_requests_at: (0..4).map(|n| n * 9 * S + rng.random_range(0..5 * S)).collect(),
            outage: rng.random_bool(0.4).then(|| (down, down + rng.random_range(S..8 * S))),
        };
        let (late, _) = max_lateness(&scenario);
        assert!(late <= 0, "{late} us too late: {scenario:?}");
        nearest = nearest.max(late);
    }
    assert!(nearest > -50 * MS as i64, "no run came near the limit: {nearest}");
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
            silent_requests_at: vec![],
            outage,
        };
        let (_, requests) = max_lateness(&scenario);
        assert!(
            requests <= max_per_s * LENGTH / S,
            "{requests} requests in {} s at {drain_grace} us",
            LENGTH / S
        );
    }
}
