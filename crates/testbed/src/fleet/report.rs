//! The figures of a day, from the books of the far side.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::book::{Asked, End, Line, Seen, Word};
use super::{Held, Plan, VERSION, list};

/// Nothing new may go to a card server this long after its relay was told that it leaves: the rule, and what sockets add.
const DRAIN_GRACE: u64 = 550_000;
/// A card server sees the end of an attempt this late at the most: the relay has closed its connection, and the process has
/// to come to it. Two attempts that are out together for longer overlap.
const SEEN_LATE: u64 = 150_000;
/// A part that ran later than this was starved: the machine was the limit, and the day does not count.
const STARVED: u64 = 500_000;
/// A client that asked so soon before or after its relay was killed or stopped may have no answer.
const LOST_WITH: u64 = 1_600_000;

/// What a day brought, all of it counted at the far side.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// What was played.
    pub scenario: String,
    /// With this seed.
    pub seed: u64,
    /// Relays.
    pub relays: usize,
    /// Those that should run at the end and whose process has not ended by itself.
    pub alive: usize,
    /// Processes of relays that were started.
    pub starts: u64,
    /// Times that the list service started with nothing: it has to tell its whole list then, and once more when it is full.
    pub list_starts: u64,
    /// Calls that the list service ended; those that met a closed door are in nobody's book.
    pub list_calls: u64,
    /// Those for the whole list.
    pub whole_list_calls: u64,
    /// Calls that had waited too long.
    pub late_calls: u64,
    /// Work at the list service, in seconds.
    pub list_work_s: f64,
    /// Work for calls that were late or that nobody awaited any more.
    pub list_work_wasted_s: f64,
    /// The longest queue that a call met there.
    pub longest_queue: usize,
    /// The most calls that came within a second.
    pub peak_calls_per_s: u64,
    /// Calls that came in each second of the day.
    pub calls_by_second: Vec<u64>,
    /// Relays times the cheapest sufficient call, and the time for which the service could not answer.
    pub ideal_s: f64,
    /// When half of the relays, 99 in 100, and all had the list, from each one's start, or from that of a list service that
    /// started with nothing.
    pub list_p50_s: f64,
    /// See `list_p50_s`.
    pub list_p99_s: f64,
    /// See `list_p50_s`; none if one never had it.
    pub list_last_s: Option<f64>,
    /// When every relay had served a client; none if one never did.
    pub served_by_s: Option<f64>,
    /// First lines that clients wrote.
    pub clients_asked: u64,
    /// Answered `UP`.
    pub served: u64,
    /// Answered `BUSY`.
    pub refused: u64,
    /// Answered anything else.
    pub failed: u64,
    /// Not answered, though the relay ran all the time.
    pub unanswered: u64,
    /// Second answers.
    pub double_answers: u64,
    /// Sessions cut off without `MOVE` though relay and card server ran.
    pub cut_off: u64,
    /// First lines of a session at a card server while another was out.
    pub overlapping_attempts: u64,
    /// First lines to a card server that the relay knew to leave.
    pub late_sends_to_draining: u64,
    /// The most that a card server was sent, over its capacity at that time.
    pub worst_cold_multiple: f64,
    /// Card servers that fell over.
    pub fallen: usize,
    /// The most connects, probes and open connections, each at one card server within a second, by all relays.
    pub worst_connects_per_s: u64,
    /// See `worst_connects_per_s`.
    pub worst_probes_per_s: u64,
    /// See `worst_connects_per_s`.
    pub worst_open_connections: usize,
    /// The longest that a part ran late, in milliseconds.
    pub lag_ms: u64,
    /// The machine was the limit: the day does not count.
    pub starved: bool,
    /// The promises that were broken.
    pub broken: Vec<String>,
}

/// What a day promises of its list service, beside the rules.
#[derive(Clone, Copy, Debug)]
pub struct Aims {
    /// Seconds for which the service could not answer, and whether the time to the last list is judged.
    pub down_s: f64,
    /// The last relay has the list within 1.5 times the ideal and this; none where that is not judged.
    pub slack_s: Option<f64>,
    /// The service filled its list from nothing.
    pub fills: bool,
}

/// Work of the cheapest call that brings a relay the present list, as a part of a whole list's.
fn cheapest(plan: &Plan) -> f64 {
    if plan.held == Held::Nothing || plan.cold_cards {
        return 1.0;
    }
    let new = (0..plan.cards).filter(|s| list::lacks(plan.held, *s)).count();
    list::changes(new, plan.cards)
}

fn worst_second(times: &BTreeMap<usize, Vec<u64>>) -> u64 {
    let worst = |times: &Vec<u64>| {
        let mut from = 0;
        (0..times.len()).fold(0, |most, to| {
            while times[to] - times[from] > 1_000_000 {
                from += 1;
            }
            most.max((to + 1 - from) as u64)
        })
    };
    times.values().map(worst).max().unwrap_or(0)
}

/// The relay that a client's session id names.
fn relay_of(id: &str) -> Option<usize> {
    id.rsplit('-').next()?.parse().ok()
}

/// What was done to a relay's process, in order of time.
#[derive(Default)]
struct Life {
    acts: Vec<(u64, String)>,
}

impl Life {
    /// Whether it may have failed a client that was with it from `since` to `until`.
    fn excused(&self, since: u64, until: u64) -> bool {
        let mut stopped = false;
        for (t, verb) in &self.acts {
            let near = (since.saturating_sub(LOST_WITH)..=until + LOST_WITH).contains(t);
            if near && verb != "start" || *t <= since && verb == "start" && since - t < LOST_WITH {
                return true;
            }
            if *t <= since {
                stopped = verb == "stop" || verb == "kill" || (stopped && verb != "cont" && verb != "start");
            }
        }
        stopped
    }

    fn last_start(&self) -> Option<u64> {
        self.acts.iter().rev().find(|(_, verb)| verb == "start").map(|(t, _)| *t)
    }

    /// Whether it should run at the end.
    fn runs(&self) -> bool {
        let last =
            self.acts.iter().rev().find(|(_, verb)| matches!(verb.as_str(), "start" | "kill" | "term"));
        last.is_some_and(|(_, verb)| verb == "start")
    }
}

/// Reads the books of a day that began at `began`.
pub fn report(plan: &Plan, scenario: &str, began: u64, lines: &[Line], aims: Aims) -> Report {
    let mut r = Report {
        scenario: scenario.to_owned(),
        seed: plan.seed,
        relays: plan.relays,
        ideal_s: plan.relays as f64 * plan.call_ms as f64 / 1e3 * cheapest(plan) + aims.down_s,
        ..Report::default()
    };
    let mut lives: BTreeMap<usize, Life> = BTreeMap::new();
    let mut gone = BTreeSet::new();
    for line in lines {
        match &line.seen {
            Seen::Act { verb, r: Some(n) } => {
                let first = lives.entry(*n).or_default();
                first.acts.push((line.t, verb.clone()));
                r.starts += u64::from(verb == "start");
            }
            Seen::Act { verb, r: None } => r.list_starts += u64::from(verb == "list fresh"),
            Seen::Gone { r: n, how } => {
                gone.insert(*n);
                r.broken.push(format!("relay n{n} ended by itself: {how}"));
            }
            _ => {}
        }
    }
    let target = if aims.fills { plan.cards as u64 + 1 } else { VERSION };
    let (mut told, mut up) = (BTreeMap::new(), BTreeMap::new());
    let (mut connects, mut probes): (BTreeMap<usize, Vec<u64>>, BTreeMap<usize, Vec<u64>>) =
        Default::default();
    let mut out: BTreeMap<&str, Vec<(usize, u64)>> = BTreeMap::new();
    let mut asked: BTreeMap<&str, u64> = BTreeMap::new();
    let mut leaving: BTreeMap<usize, u64> = BTreeMap::new();
    let mut knows: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let (mut came, mut fresh) = (Vec::new(), 0);
    let mut lines: Vec<&Line> = lines.iter().filter(|line| line.t >= began).collect();
    lines.sort_by_key(|line| line.t);
    for line in lines {
        let t = line.t;
        match &line.seen {
            Seen::Call { r: n, kind, came: at, work, end, v, queue, first } => {
                r.list_calls += u64::from(*first);
                r.whole_list_calls += u64::from(*kind == Asked::Whole);
                r.late_calls += u64::from(*end == End::Late);
                r.list_work_s += *work as f64 / 1e6;
                r.list_work_wasted_s += if *end == End::Told { 0.0 } else { *work as f64 / 1e6 };
                r.longest_queue = r.longest_queue.max(*queue);
                came.extend(first.then_some(*at));
                if *end != End::Told {
                    continue;
                }
                let start = lives.get(n).and_then(Life::last_start).unwrap_or(began).max(fresh);
                if *v >= target && t >= start {
                    told.entry(*n).or_insert(t - start);
                }
                for (s, version) in &leaving {
                    if v >= version {
                        knows.entry((*n, *s)).or_insert(t);
                    }
                }
            }
            Seen::Version { v, s, state } => match state.as_str() {
                "active" => {
                    leaving.remove(s);
                    knows.retain(|(_, card), _| card != s);
                }
                _ => drop(leaving.entry(*s).or_insert(*v)),
            },
            Seen::Connect { s } => connects.entry(*s).or_default().push(t),
            Seen::Probe { s } => probes.entry(*s).or_default().push(t),
            Seen::First { s, id } => {
                out.entry(id).or_default().push((*s, t));
                let known = relay_of(id).and_then(|n| knows.get(&(n, *s)));
                r.late_sends_to_draining += u64::from(known.is_some_and(|told| t > told + DRAIN_GRACE));
            }
            Seen::Answer { s, id, .. } => {
                let Some(tries) = out.get_mut(id.as_str()) else { continue };
                let Some(at) = tries.iter().position(|(card, _)| card == s) else { continue };
                let (_, since) = tries.remove(at);
                let later = tries.iter().any(|(_, other)| *other > since && t > other + SEEN_LATE);
                r.overlapping_attempts += u64::from(later);
            }
            Seen::Card { open, worst, fallen, .. } => {
                r.worst_open_connections = r.worst_open_connections.max(*open);
                r.worst_cold_multiple = r.worst_cold_multiple.max(*worst);
                r.fallen += usize::from(*fallen);
            }
            Seen::Ask { id, .. } => {
                r.clients_asked += 1;
                asked.insert(id, t);
            }
            Seen::Word { r: n, id, word } => match word {
                Word::Up => {
                    r.served += 1;
                    up.entry(*n).or_insert(t - began);
                }
                Word::Busy => r.refused += 1,
                Word::Failed | Word::Nothing => {
                    let since = asked.get(id.as_str()).copied().unwrap_or(t);
                    let excused = lives.get(n).is_none_or(|life| life.excused(since, t));
                    match (word, excused) {
                        (Word::Nothing, false) => r.unanswered += 1,
                        _ => r.failed += 1,
                    }
                }
            },
            Seen::Twice { .. } => r.double_answers += 1,
            Seen::Ended { r: n, well: false } => {
                r.cut_off += u64::from(lives.get(n).is_none_or(|life| !life.excused(t, t)));
            }
            // What was told before it forgot all is no longer its list.
            Seen::Act { verb, r: None } if verb == "list fresh" => {
                fresh = t;
                told.clear();
            }
            Seen::Lag { us } => r.lag_ms = r.lag_ms.max(us / 1_000),
            Seen::Ended { .. }
            | Seen::Unreached { .. }
            | Seen::Act { .. }
            | Seen::Gone { .. }
            | Seen::Effect { .. } => {}
        }
    }
    r.overlapping_attempts += out.values().filter(|tries| tries.len() > 1).count() as u64;
    came.sort_unstable();
    for at in came.iter().map(|at| at.saturating_sub(began)) {
        let second = (at / 1_000_000) as usize;
        if r.calls_by_second.len() <= second {
            r.calls_by_second.resize(second + 1, 0);
        }
        r.calls_by_second[second] += 1;
    }
    r.peak_calls_per_s = r.calls_by_second.iter().copied().max().unwrap_or(0);
    r.worst_connects_per_s = worst_second(&connects);
    r.worst_probes_per_s = worst_second(&probes);
    let should: Vec<usize> = lives.iter().filter(|(_, life)| life.runs()).map(|(n, _)| *n).collect();
    r.alive = should.iter().filter(|n| !gone.contains(*n)).count();
    let mut times: Vec<u64> = should.iter().filter_map(|n| told.get(n).copied()).collect();
    times.sort_unstable();
    let at =
        |part: f64| times.get((times.len() as f64 * part) as usize).or(times.last()).copied().unwrap_or(0);
    (r.list_p50_s, r.list_p99_s) = (at(0.5) as f64 / 1e6, at(0.99) as f64 / 1e6);
    r.list_last_s = (times.len() == should.len()).then(|| at(1.0) as f64 / 1e6);
    let served: Option<Vec<u64>> = should.iter().map(|n| up.get(n).copied()).collect();
    r.served_by_s = served.and_then(|all| all.into_iter().max()).map(|t| t as f64 / 1e6);
    r.starved = r.lag_ms * 1_000 > STARVED;
    judge(&mut r, plan, aims, should.len());
    r
}

fn judge(r: &mut Report, plan: &Plan, aims: Aims, should: usize) {
    let mut broken = std::mem::take(&mut r.broken);
    let mut must = |held: bool, what: String| {
        if !held {
            broken.push(what);
        }
    };
    must(r.alive == should, format!("{} of {should} relays are alive", r.alive));
    must(r.unanswered == 0, format!("{} requests without an answer", r.unanswered));
    must(r.double_answers == 0, format!("{} second answers", r.double_answers));
    must(r.cut_off == 0, format!("{} sessions cut off without MOVE", r.cut_off));
    must(r.overlapping_attempts == 0, format!("{} overlapping attempts", r.overlapping_attempts));
    must(
        r.late_sends_to_draining == 0,
        format!("{} late sends to draining card servers", r.late_sends_to_draining),
    );
    must(r.fallen == 0, "a card server fell over".into());
    if plan.cold_cards {
        let worst = r.worst_cold_multiple;
        must(worst <= 3.0, format!("{worst:.2} times a cold card server's capacity"));
    }
    if let Some(slack) = aims.slack_s {
        let most = 1.5 * r.ideal_s + slack;
        let last = r.list_last_s;
        must(
            last.is_some_and(|last| last <= most),
            format!("the last list came at {last:?} s, {most:.1} s wanted"),
        );
    }
    let wasted = r.list_work_wasted_s / r.list_work_s.max(1e-9);
    must(wasted <= 0.05, format!("{:.1}% of the list service's work was for nothing", wasted * 100.0));
    let starts = r.starts + 2 * r.list_starts * plan.relays as u64;
    let whole = r.whole_list_calls as f64 / starts.max(1) as f64;
    must(whole <= 1.1, format!("{whole:.2} whole lists a relay and start"));
    r.broken = broken;
}
