//! Lists that are pushed to an agent beside the relay: what the agent has counts as told at once, so it must be known here
//! before sends have to stop, through calls that fall silent and an agent that is silent itself.

mod service;

use honeyknot_balancer::Micros;
use honeyknot_discovery::{Call, Caller, Told, Trouble};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use service::{S, roll};

const MS: Micros = 1_000;
const LENGTH: Micros = 40 * S;

/// A life of a relay beside its agent.
#[derive(Debug)]
struct Life {
    relays: u32,
    grace: Micros,
    seed: u64,
    changes: Vec<Micros>,
    /// Calls that are out then bring nothing any more.
    silences: Vec<Micros>,
    /// The agent learns nothing and says nothing from the first to the second.
    outage: Option<(Micros, Micros)>,
}

/// The latest that a change was known, beyond the time in which sends must stop, and the calls made.
fn latest(life: &Life) -> (i64, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(life.seed ^ 5);
    let told = Told { relays: life.relays, must_ask_in: 10 * S, agent: Some(life.grace), seed: life.seed };
    let mut caller = Caller::new(told, &roll(1, true, &["s-1"]), 0);
    let away = |at: Micros| life.outage.is_some_and(|(from, to)| (from..to).contains(&at));
    // What the agent has, and when it had it.
    let had: Vec<Micros> = life
        .changes
        .iter()
        .map(|at| if away(*at) { life.outage.map_or(*at, |o| o.1) } else { *at })
        .collect();
    let mut known: Vec<Option<Micros>> = vec![None; had.len()];
    let (mut now, mut calls) = (0, 0);
    while now < LENGTH {
        now = caller.due().expect("a call is due").max(now);
        let (call, patience) = caller.call(now);
        calls += 1;
        let delay = rng.random_range(MS / 2..5 * MS);
        let held = caller.version();
        let news = had.iter().filter(|at| **at > now).min().copied();
        let has = |at: Micros| 1 + had.iter().filter(|had| **had <= at).count() as u64;
        let answered = match call {
            Call::Changes { wait, .. } if has(now) <= held => {
                news.map_or(now + wait, |at| at.min(now + wait))
            }
            _ => now,
        };
        let silent = life.silences.iter().any(|at| (now..=answered).contains(at));
        let out = life.outage.is_some_and(|(from, to)| now < to && from <= answered);
        if silent || out || answered + delay > now + patience {
            now += patience;
            caller.failed(now, Trouble::Silent);
            continue;
        }
        now = answered + delay;
        let version = has(answered);
        let whole = call == Call::Whole;
        let mut news = roll(version, whole, &["s-1"]);
        if version == held && !whole {
            news.entries.clear();
        }
        caller.heard(now, news);
        known.iter_mut().take(version as usize - 1).for_each(|at| *at = at.or(Some(now)));
    }
    // What it had just before it fell silent, while a call was silent too, could not be asked for.
    let due = |had: Micros| match life.outage {
        Some((from, to)) if (had..had + life.grace).contains(&from) => to,
        _ => had,
    };
    let late = had.iter().zip(&known).filter(|(had, _)| **had < LENGTH - S);
    let late = late.map(|(had, known)| known.unwrap_or(LENGTH) as i64 - (due(*had) + life.grace) as i64);
    (late.max().unwrap_or(i64::MIN), calls)
}

#[test]
fn what_the_agent_has_is_known_before_sends_must_stop() {
    let mut nearest = i64::MIN;
    for seed in 0..4_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let relays = [0, 1, 6, 300][rng.random_range(0..4)];
        let mut changes: Vec<Micros> = (0..4).map(|_| rng.random_range(0..30 * S)).collect();
        changes[0] = rng.random_range(0..50 * MS);
        changes.sort_unstable();
        let down = rng.random_range(0..20 * S);
        let life = Life {
            relays,
            grace: [100, 200, 300, 500, 800, 2_000][rng.random_range(0..6)] * MS,
            seed,
            changes,
            silences: (0..4).map(|n| n * 9 * S + rng.random_range(0..5 * S)).collect(),
            outage: rng.random_bool(0.4).then(|| (down, down + rng.random_range(S..8 * S))),
        };
        let (late, _) = latest(&life);
        assert!(late <= 0, "{late} us too late: {life:?}");
        nearest = nearest.max(late);
    }
    assert!(nearest > -50 * MS as i64, "the judge saw nothing come near: {nearest}");
}

/// The agent is one process beside the relay: it is asked some times a second and not more, also while it says nothing.
#[test]
fn the_agent_is_not_hammered() {
    for (grace, most) in [(200 * MS, 25), (500 * MS, 10), (2_000 * MS, 4)] {
        let outage = Some((5 * S, 35 * S));
        let life = Life { relays: 6, grace, seed: 3, changes: vec![], silences: vec![], outage };
        let (_, calls) = latest(&life);
        assert!(calls <= most * LENGTH / S, "{calls} calls in {} s at {grace} us", LENGTH / S);
    }
}
