//! One caller: what it calls for, when, and what it believes.

mod service;

use honeyknot_balancer::{EndpointState, Micros};
use honeyknot_discovery::{Call, Caller, Roll, State, Told, Trouble};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use service::{S, entry, roll};

fn told(relays: u32, seed: u64) -> Told {
    Told { relays, must_ask_in: 10 * S, agent: None, seed }
}

fn ids(roll: &Roll) -> Vec<(&str, EndpointState)> {
    roll.entries.iter().map(|e| (&*e.id.0, e.state)).collect()
}

/// A caller that holds this list and has been answered once, with nothing new.
fn following(held: &Roll) -> Caller {
    let mut caller = Caller::new(told(300, 5), held, 0);
    caller.call(S);
    let quiet = Roll { version: held.version, ..Roll::default() };
    assert_eq!(caller.heard(9 * S, quiet.clone()), quiet);
    assert_eq!(caller.state(), State::Following);
    caller
}

#[test]
fn who_holds_a_list_asks_for_changes_in_time_and_who_holds_none_for_all() {
    for seed in 0..200 {
        let held = Caller::new(told(5_000, seed), &roll(7, true, &["s-1"]), 0);
        assert!(held.due().is_some_and(|due| due <= 4_600_000), "the rule goes before sparing the service");
        let mut bare = Caller::new(told(300, seed), &Roll::default(), 0);
        assert_eq!(bare.call(S).0, Call::Whole);
    }
    let mut held = Caller::new(told(1, 1), &roll(7, true, &["s-1"]), 0);
    assert_eq!(held.due(), Some(0), "one relay alone need not wait");
    let (call, patience) = held.call(0);
    let Call::Changes { since: 7, wait } = call else { panic!("{call:?}") };
    assert!((3 * S..=7 * S).contains(&wait) && wait % 1_000 == 0 && patience > wait);
}

/// Waits of 300 callers, from the failure to the next call, in seconds.
fn waits(relays: u32, troubles: &[Trouble]) -> Vec<f64> {
    let wait = |seed| {
        let mut caller = Caller::new(told(relays, seed), &roll(7, true, &["s-1"]), 0);
        for trouble in troubles {
            caller.call(S);
            caller.failed(S, *trouble);
        }
        (caller.due().expect("a call") - S) as f64 / 1e6
    };
    (0..300).map(wait).collect()
}

/// Where to come back follows from what went wrong.
#[test]
fn waits_differ_by_what_went_wrong() {
    let mean = |troubles: &[Trouble]| waits(100, troubles).iter().sum::<f64>() / 300.0;
    let busy = Trouble::Busy(None);
    let near =
        |mean: f64, wanted: f64| assert!((mean / wanted - 1.0).abs() < 0.1, "{mean:.1} s, {wanted} wanted");
    near(mean(&[Trouble::Refused]), 2.4);
    near(mean(&[busy]), 2.4);
    near(mean(&[busy; 2]), 4.0);
    near(mean(&[busy; 9]), 4.0);
    near(mean(&[Trouble::Busy(Some(2 * S))]), 3.9);
    near(mean(&[Trouble::Broken]), 2.4);
    near(mean(&[Trouble::Senseless]), 0.5);
    // Its patience has kept it away already, and what it missed is about to count as told.
    let soon = mean(&[Trouble::Silent]);
    assert!((0.05..0.15).contains(&soon), "{soon:.2} s after the first silence");
    near(mean(&[Trouble::Silent; 9]), 4.0);
}

/// No failure is a shelter: what changes right after it counts as told 6 s later, and the answer needs its time.
#[test]
fn no_failure_keeps_a_caller_away_for_longer_than_the_rules_clock_allows() {
    let kinds = [
        Trouble::Refused,
        Trouble::Broken,
        Trouble::Silent,
        Trouble::Senseless,
        Trouble::Busy(None),
        Trouble::Busy(Some(30 * S)),
        Trouble::Busy(Some(u64::MAX)),
    ];
    for relays in [0, 1, 4, 30, 300, 920] {
        for kind in kinds {
            for times in 1..12 {
                let waits = waits(relays, &vec![kind; times]);
                let longest = waits.iter().copied().fold(0.0, f64::max);
                assert!(longest <= 4.6, "{relays} relays, {kind:?} {times} times: {longest:.1} s");
                let shortest = waits.iter().copied().fold(f64::MAX, f64::min);
                assert!(
                    longest - shortest >= 0.3 || longest < 0.3,
                    "they come in step: {shortest} to {longest} s"
                );
            }
        }
    }
    // More than could ever be answered within the rule's clock spare the service first.
    let crowd = waits(10_000, &[Trouble::Busy(None); 9]);
    assert!(crowd.iter().any(|wait| *wait > 4.6) && crowd.iter().all(|wait| *wait <= 24.0));
}

/// Card servers that refuse connections show that the list is old, and the watch that should have said so silent; one alone may
/// have crashed just now.
#[test]
fn refusals_by_listed_card_servers_have_a_long_watch_given_up_now_and_then() {
    for relays in [1, 4, 300] {
        let mut caller = Caller::new(told(relays, 2), &roll(7, true, &["s-1", "s-2"]), 0);
        assert!(!caller.refused_by_listed(0) && !caller.refused_by_listed(0), "no call is out");
        caller.call(10 * S);
        assert!(!caller.refused_by_listed(10 * S + S / 2), "one sign");
        assert!(!caller.refused_by_listed(10 * S + S / 2), "out for too short");
        assert!(!caller.refused_by_listed(14 * S), "signs are forgotten");
        assert!(caller.refused_by_listed(15 * S));
        caller.failed(15 * S, Trouble::Silent);
        let due = caller.due().expect("a call");
        assert!(due <= 15 * S + 200_000, "asked again at once");
        caller.call(due);
        assert!((0..20).all(|n| !caller.refused_by_listed(due + n * S / 5)), "not again so soon");
        let later = due + 6 * S;
        assert!(!caller.refused_by_listed(later) && caller.refused_by_listed(later));
    }
}

#[test]
fn who_was_kept_waiting_stays_away_before_calls_fail() {
    let mut caller = Caller::new(told(300, 1), &Roll::default(), 0);
    caller.call(0);
    caller.heard(2 * S, roll(7, true, &["s-1"]));
    assert!(caller.due().is_some_and(|due| due >= 3 * S));
    let mut quick = Caller::new(told(300, 1), &Roll::default(), 0);
    quick.call(0);
    quick.heard(S / 10, roll(7, true, &["s-1"]));
    assert!(quick.due().is_some_and(|due| due <= S / 10 + 150_000), "a watch goes on within 200 ms");
}

/// Guards against taking a change that came while the first watch waited for a slow service: every relay of a fleet would stay
/// away for seconds just when its list begins to change.
#[test]
fn a_change_that_comes_late_in_a_watch_is_no_slow_answer() {
    for seed in 0..50 {
        let mut caller = Caller::new(told(300, seed), &roll(7, true, &["s-1"]), 0);
        caller.call(S);
        caller.heard(11 * S, roll(8, false, &["s-2"]));
        assert!(caller.due().is_some_and(|due| due <= 11 * S + 200_000), "the watch goes on");
    }
}

#[test]
fn another_service_is_asked_for_its_whole_list_within_its_rule_and_believed() {
    let mut caller = following(&roll(41, true, &["s-1", "s-2"]));
    caller.renew(20 * S);
    let mut now = 20 * S;
    for _ in 0..3 {
        let due = caller.due().expect("a call");
        assert!(due <= now + 1_200_000);
        assert_eq!(caller.call(due).0, Call::Whole);
        caller.failed(due, Trouble::Busy(None));
        now = due;
    }
    assert!(now < 24 * S, "three failures, and still within the 4 s of the rule");
    caller.call(now);
    let news = roll(3, true, &["s-9"]);
    assert_eq!(caller.heard(now + S / 10, news.clone()), news, "it numbers its lists anew");
    assert_eq!(caller.state(), State::Following);
}

#[test]
fn a_newer_list_is_believed_at_once_also_if_it_is_empty() {
    let mut caller = following(&roll(41, true, &["s-1", "s-2"]));
    caller.call(10 * S);
    let empty = roll(42, true, &[]);
    assert_eq!(caller.heard(11 * S, empty.clone()), empty, "the rule on drains goes before caution");
}

#[test]
fn an_older_list_adds_and_drains_but_takes_nothing_away() {
    let mut caller = following(&roll(41, true, &["s-1", "s-2", "s-3"]));
    caller.call(10 * S);
    let left = Roll { version: 42, whole: false, entries: vec![entry("s-3", EndpointState::Draining, 0)] };
    assert_eq!(caller.heard(11 * S, left.clone()), left);
    caller.call(12 * S);
    let mut older = roll(1, true, &["s-9", "s-3"]);
    older.entries.push(entry("s-2", EndpointState::Draining, 0));
    let believed = caller.heard(13 * S, older);
    assert!(!believed.whole, "what it lacks stays");
    assert_eq!(ids(&believed), [("s-9", EndpointState::Ready), ("s-2", EndpointState::Draining)]);
    assert_eq!(caller.state(), State::Doubting);
    // A card server that was said to leave comes back by its restart, and not by an older list.
    caller.call(14 * S);
    let again = Roll { version: 2, whole: false, entries: vec![entry("s-3", EndpointState::Ready, 12 * S)] };
    assert_eq!(ids(&caller.heard(15 * S, again)), [("s-3", EndpointState::Ready)]);
    assert_eq!(caller.version(), 2, "changes are asked for from the version that the service has now");
    // It lasts: the whole list is asked for, and what it lacks then is gone.
    let (mut now, mut whole) = (15 * S, false);
    while !whole {
        now = caller.due().expect("a call");
        assert!(now < 50 * S, "the doubt ends");
        let (call, _) = caller.call(now);
        whole = call == Call::Whole;
        let answer = if whole { roll(2, true, &["s-9"]) } else { Roll { version: 2, ..Roll::default() } };
        let believed = caller.heard(now + S / 100, answer);
        assert_eq!(believed.whole, whole);
    }
    assert!(now >= 25 * S, "not before the service had time to fill its list");
    assert_eq!(caller.state(), State::Following);
}

#[test]
fn a_version_as_high_as_before_ends_the_doubt() {
    let mut caller = following(&roll(41, true, &["s-1", "s-2"]));
    caller.call(10 * S);
    caller.heard(11 * S, roll(40, true, &["s-1"]));
    assert_eq!(caller.state(), State::Doubting);
    caller.call(12 * S);
    let whole = roll(41, true, &["s-1"]);
    assert_eq!(caller.heard(13 * S, whole.clone()), whole);
    assert_eq!(caller.state(), State::Following);
}

#[test]
fn an_empty_service_that_answers_at_once_is_not_hammered() {
    let mut caller = Caller::new(told(40, 3), &Roll::default(), 0);
    let (mut now, mut calls) = (0, 0);
    while now < 30 * S {
        now = caller.due().expect("a call").max(now) + 200;
        caller.call(now);
        caller.heard(now, Roll { whole: true, ..Roll::default() });
        calls += 1;
    }
    assert!(calls <= 30, "{calls} calls in half a minute");
}

#[derive(Clone, Debug)]
enum Happens {
    Answer { after: Micros, version: u64, whole: bool, few: usize },
    Trouble(Trouble),
    Renew,
    Whole,
}

fn happens() -> impl Strategy<Value = Happens> {
    let trouble = prop_oneof![
        Just(Trouble::Refused),
        Just(Trouble::Broken),
        Just(Trouble::Silent),
        Just(Trouble::Senseless),
        Just(Trouble::Busy(None)),
        (0..u64::MAX).prop_map(|after| Trouble::Busy(Some(after))),
    ];
    prop_oneof![
        (0..9 * S, 0..50u64, any::<bool>(), 0..3usize)
            .prop_map(|(after, version, whole, few)| Happens::Answer { after, version, whole, few }),
        trouble.prop_map(Happens::Trouble),
        Just(Happens::Renew),
        Just(Happens::Whole),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    })]

    /// Whatever comes, the next call is due later, never at once for ever, and never so late that the rule is broken.
    #[test]
    fn calls_never_come_at_once_for_ever_nor_too_late(
        relays in prop_oneof![Just(0u32), Just(1), 2..2_000u32, Just(u32::MAX)],
        seed in any::<u64>(),
        day in proptest::collection::vec(happens(), 1..60),
    ) {
        let mut caller = Caller::new(told(relays, seed), &roll(20, true, &["s-1"]), 0);
        let (mut now, mut hurried) = (0, 0);
        for happens in day {
            let due = caller.due().expect("a call is due");
            prop_assert!(due <= now + 60 * S);
            now = now.max(due);
            match happens {
                Happens::Answer { after, version, whole, few } => {
                    let (_, patience) = caller.call(now);
                    prop_assert!(patience <= 40 * S && caller.due().is_none());
                    now += after.min(patience);
                    caller.heard(now, roll(version, whole, &["s-1", "s-2", "s-3"][..few]));
                    prop_assert!(caller.due().is_some_and(|due| due >= now + 20_000));
                }
                Happens::Trouble(trouble) => {
                    caller.call(now);
                    caller.failed(now, trouble);
                    // Only after a call that fell silent are a few made without a wait.
                    let due = caller.due().expect("a call is due");
                    hurried = if due < now + 100_000 { hurried + 1 } else { 0 };
                    prop_assert!(due >= now + 20_000 && hurried <= 4);
                }
                Happens::Renew => caller.renew(now),
                Happens::Whole => caller.want_whole(),
            }
        }
    }
}
