//! The rule's clock: a plain model of it judges when changes of the list reach a caller through silences, outages and reloads.

mod service;

use honeyknot_balancer::Micros;
use honeyknot_discovery::{Call, Caller, Roll, Told, Trouble, clock};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use service::{S, roll};

const MS: Micros = 1_000;
/// The shortest time that a card server may still be sent to after news of its drain, with the slack of sockets.
const GRACE: Micros = 300 * MS + 50 * MS;
/// A stretch lasts this long.
const LENGTH: Micros = 60 * S;

/// What a stretch is made of, all drawn.
#[derive(Debug)]
struct Stretch {
    relays: u32,
    must_ask_in: Micros,
    seed: u64,
    changes: Vec<Micros>,
    /// Calls that are out then bring nothing any more.
    silences: Vec<Micros>,
    /// The service is down from the first to the second, and turns away or resets.
    outage: Option<(Micros, Micros)>,
    /// Another service is told of.
    reload: Option<Micros>,
    /// An answer takes up to this.
    slow: Micros,
    /// One answer in so many is spoilt, never two in a row; 0 is none.
    spoilt: u32,
}

/// A call as the judge sees it.
#[derive(Clone, Copy, Debug)]
struct Made {
    at: Micros,
    wait: Micros,
    /// When it fell silent.
    silent: Option<Micros>,
    ended: Micros,
    /// Its answer tells of changes up to then.
    tells: Micros,
    failed: bool,
}

/// The page's sentences on when a change that was not written counts as told.
fn counts_as_told(change: Micros, calls: &[Made], stretch: &Stretch) -> Micros {
    // 6 s after the service had it, whatever the calls since came to.
    let mut told = change + 6 * S;
    for call in calls.iter().filter(|call| call.ended >= change) {
        if let Some(silent) = call.silent.filter(|_| call.at < told) {
            // What a silent call misses: 6 s after it fell silent, or 2 s after its wait, if later.
            told = change.max((silent + 6 * S).max(call.at + call.wait + 2 * S));
            break;
        }
        if !call.failed && call.tells >= change {
            // It brought the change: written is told.
            told = Micros::MAX;
            break;
        }
    }
    // While the service is down it cannot be reached: the 6 s begin at its return.
    if let Some((down, back)) = stretch.outage
        && change <= back
        && down <= told
    {
        told = told.max(back + 6 * S);
    }
    // What another service has to tell counts 4 s after the reload, also what the old one had not told by then.
    if let Some(reload) = stretch.reload
        && change <= reload
        && reload <= told
    {
        told = reload + 4 * S;
    }
    told
}

/// Plays a stretch. The caller's answer to each change, and its calls.
fn play(stretch: &Stretch) -> (Vec<Option<Micros>>, Vec<Made>) {
    let mut rng = Pcg64Mcg::seed_from_u64(stretch.seed ^ 77);
    let told =
        Told { relays: stretch.relays, must_ask_in: stretch.must_ask_in, agent: None, seed: stretch.seed };
    let mut caller = Caller::new(told, &roll(1, true, &["s-1"]), 0);
    let mut heard: Vec<Option<Micros>> = vec![None; stretch.changes.len()];
    let (mut calls, mut now, mut reloaded): (Vec<Made>, _, _) = (Vec::new(), 0, false);
    let version = |at: Micros| 1 + stretch.changes.iter().filter(|c| **c <= at).count() as u64;
    while now < LENGTH {
        let due = caller.due().expect("a call is due").max(now);
        let reload = stretch.reload.filter(|_| !reloaded);
        if let Some(reload) = reload.filter(|at| *at <= due) {
            (reloaded, now) = (true, reload.max(now));
            caller.renew(now);
            continue;
        }
        now = due;
        let (call, patience) = caller.call(now);
        let down = |at: Micros| stretch.outage.is_some_and(|(from, to)| (from..to).contains(&at));
        let delay = rng.random_range(MS..=stretch.slow.max(2 * MS));
        let mut made =
            Made { at: now, wait: 0, silent: None, ended: now + delay, tells: now + delay, failed: false };
        let mut answer = Ok(version(made.ended));
        if let Call::Changes { since, wait } = call {
            made.wait = wait;
            let news = stretch.changes.get(since as usize - 1).map(|change| change + delay);
            let over = now + wait + delay;
            made.ended = news.map_or(over, |news| news.clamp(now + delay, over));
            made.tells = made.ended.saturating_sub(delay);
            answer = Ok(version(made.tells));
        }
        let spoilt_last = calls.last().is_some_and(|last: &Made| last.failed && last.silent.is_none());
        if stretch.spoilt > 0 && !spoilt_last && rng.random_range(0..stretch.spoilt) == 0 {
            answer = Err(Trouble::Senseless);
        }
        if down(now) {
            made.ended = now + delay;
            answer = Err(if rng.random() { Trouble::Refused } else { Trouble::Busy(None) });
        } else if let Some((from, _)) = stretch.outage.filter(|(from, _)| (now..=made.ended).contains(from)) {
            (made.ended, answer) = (from, Err(Trouble::Broken));
        }
        if let Some(silent) = stretch.silences.iter().find(|at| (now..=made.ended).contains(*at)) {
            made.silent = Some(*silent);
        }
        if made.silent.is_some() || made.ended > now + patience {
            (made.ended, answer) = (now + patience, Err(Trouble::Silent));
        }
        if let Some(reload) = reload.filter(|at| *at < made.ended) {
            // The call that is out is dropped.
            (made.ended, made.failed) = (reload, true);
            calls.push(made);
            (reloaded, now) = (true, reload);
            caller.renew(now);
            continue;
        }
        now = made.ended;
        made.failed = answer.is_err();
        calls.push(made);
        match answer {
            Ok(version) => {
                let whole = call == Call::Whole;
                let entries = if whole || version > caller.version() {
                    roll(version, whole, &["s-1"]).entries
                } else {
                    Vec::new()
                };
                caller.heard(now, Roll { version, whole, entries });
                heard.iter_mut().take(version as usize - 1).for_each(|at| *at = at.or(Some(now)));
            }
            Err(trouble) => caller.failed(now, trouble),
        }
    }
    (heard, calls)
}

/// A stretch in which nothing happens.
fn calm(relays: u32, seed: u64) -> Stretch {
    Stretch {
        relays,
        must_ask_in: 10 * S,
        seed,
        changes: Vec::new(),
        silences: Vec::new(),
        outage: None,
        reload: None,
        slow: 20 * MS,
        spoilt: 0,
    }
}

/// The latest that any change came, as the judge sees it, in microseconds beyond what the rule gives.
fn latest(stretch: &Stretch) -> i64 {
    let (heard, calls) = play(stretch);
    let late = stretch.changes.iter().zip(&heard).filter(|(change, _)| **change < LENGTH - 25 * S).map(
        |(change, heard)| {
            let told = counts_as_told(*change, &calls, stretch);
            heard.unwrap_or(LENGTH) as i64 - told.min(LENGTH * 2) as i64
        },
    );
    late.max().unwrap_or(i64::MIN)
}

/// One row a sentence of the page.
#[test]
fn every_sentence_of_the_rules_clock() {
    for seed in 0..300 {
        for relays in [1, 5, 40, 300] {
            let drains = |from: Micros| (0..8).map(|n| from + n * 250 * MS).collect::<Vec<_>>();
            let rows = [
                (
                    "a watch falls silent in the first seconds, card servers drain right after",
                    Stretch { changes: drains(3 * S), silences: vec![1_500 * MS], ..calm(relays, seed) },
                ),
                (
                    "a watch falls silent in the middle of its wait",
                    Stretch { changes: drains(24 * S), silences: vec![23 * S], ..calm(relays, seed) },
                ),
                (
                    "the first call falls silent at once",
                    Stretch { changes: drains(500 * MS), silences: vec![20 * MS], ..calm(relays, seed) },
                ),
                (
                    "the service is down and back, and card servers drain within seconds",
                    Stretch { changes: drains(21 * S), outage: Some((14 * S, 20 * S)), ..calm(relays, seed) },
                ),
                (
                    "another service is told of, and has its own list",
                    Stretch { changes: drains(19 * S), reload: Some(20 * S), ..calm(relays, seed) },
                ),
                (
                    "short time for asking",
                    Stretch { changes: drains(12 * S), must_ask_in: 4 * S, spoilt: 4, ..calm(relays, seed) },
                ),
            ];
            for (name, stretch) in rows {
                let late = latest(&stretch);
                assert!(late <= GRACE as i64, "{name}: {late} us late, {relays} relays, seed {seed}");
            }
        }
    }
}

/// The second call's connection and answer fit between the end of patience and the moment that counts.
#[test]
fn patience_ends_before_what_a_silent_call_misses_counts() {
    for call in [Call::Whole, Call::Changes { since: 1, wait: 0 }, Call::Changes { since: 1, wait: 9 * S }] {
        assert!(clock::counts_after(call) >= 6 * S);
    }
    for (relays, seed) in (1..=300).flat_map(|relays| (0..5).map(move |seed| (relays, seed))) {
        let mut caller =
            Caller::new(Told { relays, must_ask_in: 8 * S, agent: None, seed }, &roll(1, true, &["s-1"]), 0);
        let (call, patience) = caller.call(S);
        assert!(patience + 600 * MS <= clock::counts_after(call), "{relays} relays");
        caller.failed(S + patience, Trouble::Silent);
        let due = caller.due().expect("a second call");
        assert!(due <= S + clock::counts_after(call) - 400 * MS, "{relays} relays");
    }
}

#[test]
fn no_change_comes_later_than_told_in_drawn_stretches() {
    let mut worst = i64::MIN;
    for seed in 0..100_000u64 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let relays = [1, 4, 7, 30, 100, 300][rng.random_range(0..6)];
        let mut changes: Vec<Micros> =
            (0..rng.random_range(1..6)).map(|_| rng.random_range(MS..34 * S)).collect();
        changes.sort_unstable();
        // Silences that follow one another within one silent call's time are one silence.
        let silences = (0..3).map(|n| (n * 27 + 1) * S + rng.random_range(0..4 * S)).collect::<Vec<_>>();
        let silences = silences.into_iter().filter(|_| rng.random_bool(0.5)).collect();
        let down = rng.random_range(8 * S..12 * S);
        let stretch = Stretch {
            relays,
            must_ask_in: rng.random_range(4 * S..=10 * S),
            seed,
            changes,
            silences,
            outage: rng.random_bool(0.3).then(|| (down, down + rng.random_range(S..5 * S))),
            reload: rng.random_bool(0.2).then(|| rng.random_range(26 * S..30 * S)),
            slow: [5, 50, 400][rng.random_range(0..3)] * MS,
            spoilt: if rng.random_bool(0.2) { 5 } else { 0 },
        };
        let late = latest(&stretch);
        assert!(late <= GRACE as i64, "{late} us later than told: {stretch:?}");
        worst = worst.max(late);
    }
    assert!(worst > -10 * S as i64, "the judge saw nothing come near");
}
