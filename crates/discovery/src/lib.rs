#![forbid(unsafe_code)]
//! Coming to the list service: when to call, for what, when not, and which lists are believed.
//!
//! It decides the calls of one relay, one at a time, so that hundreds of relays which share nothing do not drown the one
//! service together. It never opens a socket, reads a clock or chooses a card server. Times go in with what happened
//! ([`Caller::heard`], [`Caller::failed`]); the next call and its patience come out ([`Caller::due`], [`Caller::call`]).
//! Every random draw comes from the relay's seed.
//!
//! What it costs: one relay holds one call at a time and a line of memory a listed card server. All relays together offer the
//! service at a start `1 / PACE` calls a second, whatever their number, as long as the rule's time allows a window that
//! long ([`Told::must_ask_in`]); in trouble, no more than that; in quiet, `relays / wait` cheap calls.

mod belief;
pub mod clock;

use honeyknot_balancer::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use belief::Belief;
pub use belief::Roll;

/// What the service is taken to need for a whole list until its answers tell more: windows are this long for each relay
/// told. Too little, and the first second of a start fails calls; too much, and a small list comes late for nothing.
pub const PACE: Micros = 20_000;
/// Part of that for first calls of relays without a list, in hundredths: they have nothing to serve from, and the service
/// bears a queue.
const BARE_PART: Micros = 80;
/// ... and of relays with an old list: changes cost the service less.
const HELD_PART: Micros = 60;
/// Where no number of relays is told.
const UNTOLD: u32 = 100;
/// The longest window of first calls, whatever the number told: one that is ten times too large must not idle a fleet.
const FIRST_MOST: Micros = 8_000_000;
/// The shortest one.
const FIRST_LEAST: Micros = 50_000;
/// The least mean wait after a failed call, doubled with each further one up to 8 times.
const AGAIN: Micros = 500_000;
/// The longest wait after a failed call, of who holds no list and of fleets that are too large for the rule's clock.
const AGAIN_MOST: Micros = 24_000_000;
/// What any call costs the service, at the least.
const LEAST_COST: Micros = 5_000;
/// Signs of overload in a row that lengthen the wait, each doubling it.
const DOUBLINGS: u32 = 3;
/// A watch waits about this long at the service. Short enough that one which went silent is noticed within the time in
/// which the list must be asked for, long enough that watches cost it next to nothing.
pub const WATCH: Micros = 5_000_000;
/// The first one waits longer by this for each relay told ...
const FIRST_PACE: Micros = 60_000;
/// ... up to this. Its patience is longer by as much, as the rule's clock for it runs later too ([`clock`]): at the start of a
/// whole fleet a slow service would else work for callers who have given up, one after another. A few relays need no such
/// room, and would hear late of what a silent service has to tell.
const FIRST_WATCH_MOST: Micros = 16_600_000;
/// Long watches of large fleets: this long for each relay ...
const WATCH_PACE: Micros = 20_000;
/// ... but no longer than this.
const WATCH_MOST: Micros = 20_000_000;
/// What is left for a second call, at the least, when a call that fell silent is given up before what it misses counts as
/// told: a connection and an answer of a service that works through a queue.
const SECOND_CALL: Micros = 600_000;
/// ... and at the most: of a service that answers at once, silence is noticed sooner.
const SECOND_CALL_MOST: Micros = 1_400_000;
/// How late answers are taken to be at a start, for each relay told.
const LATE_EACH: Micros = 5_000;
/// Relays whose watches fell silent together come back within this for each relay told, up to the second.
const SILENT_PACE: Micros = 1_000;
const SILENT_SPREAD: Micros = 150_000;
/// Calls in a row that are made at once after one fell silent: answers may be spoilt too.
const HURRIES: u32 = 4;
/// The longest that a relay which was kept waiting stays away where no rule bounds it.
const AWAY_MOST: Micros = 3_000_000;
/// Pause after an answer: well within the 200 ms in which a watch goes on.
const PAUSE: Micros = 20_000;
/// Relays that got news together come back within this for each relay told ...
const PAUSE_PACE: Micros = 500;
/// ... and all within this, still within those 200 ms.
const PAUSE_SPREAD: Micros = 130_000;
/// An answer that is late by this makes its relay stay away for as long as it was late.
const LATE: Micros = 400_000;
/// A call that breaks sooner than this was not waiting in a queue.
const QUICK: Micros = 1_000_000;
/// First mean pause after a failed call to another service; it doubles up to 8 times. That news counts as told 4 s after the
/// signal, so the usual pauses are not waited for.
const RENEW_AGAIN: Micros = 200_000;
/// Relays that turn to another service together come within this for each relay told ...
const RENEW_PACE: Micros = 4_000;
/// ... and all within this, as the rule gives 4 s.
const RENEW_SPREAD: Micros = 1_200_000;
/// Once the time in which it should have been heard is over, its answer is waited for so long, less the room for a second call.
const RENEW_PATIENCE: Micros = 2_000_000;
/// The longest time to come back that a service may ask for: what is left of the longest pause spreads its callers.
const RETRY_AFTER_MOST: Micros = clock::PAUSE_MOST / 2;

/// Card servers that are listed as ready and refuse connections, within [`STALE_WITHIN`], are gone, and the list did not say so ...
const STALE_SIGNS: u32 = 2;
const STALE_WITHIN: Micros = 2_000_000;
/// ... if a call has been out for so long. No sooner is one given up again for such signs.
const STALE_OUT: Micros = 1_000_000;
const STALE_AGAIN: Micros = 5_000_000;
/// The shortest wait of a watch at an agent beside the relay ...
const AGENT_LEAST: Micros = 20_000;
/// ... and the longest.
const AGENT_MOST: Micros = 500_000;

/// What a relay knows of the fleet and the rules when it starts.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// Relays in all, this one among them; 0 is not told.
    pub relays: u32,
    /// Who has not asked for this long counts as told of everything, and in any case after the rule's clock ([`clock`]). 0 is no
    /// such time.
    pub must_ask_in: Micros,
    /// Lists are pushed to an agent beside the relay; then the time in which sends to a card server that leaves must stop. What the
    /// agent has counts as told, so it is asked within a quarter of that and nothing is spread over the fleet.
    pub agent: Option<Micros>,
    /// Seeds all draws.
    pub seed: u64,
}

impl Told {
    /// How long a watch at the agent waits, and what its answer may take beyond that: a quarter of the time in which sends must
    /// stop, so that a watch that falls silent and the next one fit into it.
    fn step(&self) -> Option<Micros> {
        self.agent.map(|grace| (grace / 4).clamp(AGENT_LEAST, AGENT_MOST))
    }
}

/// A call to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The whole list.
    Whole,
    /// What is newer than a version, or nothing after so long.
    Changes {
        /// The version held.
        since: u64,
        /// How long the service may wait for news, in microseconds.
        wait: Micros,
    },
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nobody listens: the service is down, and a call costs it nothing.
    Refused,
    /// The connection broke.
    Broken,
    /// Turned away, perhaps with a time to come back.
    Busy(Option<Micros>),
    /// No connection, or no answer, in time.
    Silent,
    /// An answer that makes no sense.
    Senseless,
}

/// What a relay is doing about its list, for those who look at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has not called yet.
    Starting,
    /// Its last call was answered.
    Following,
    /// It holds an answer that it only half believes.
    Doubting,
    /// Its last call failed.
    Failing,
}

impl State {
    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Following => "following",
            State::Doubting => "doubting",
            State::Failing => "failing",
        }
    }
}

/// The caller of one relay.
pub struct Caller {
    told: Told,
    rng: Pcg64Mcg,
    belief: Belief,
    /// When the next call is due; none while one is out.
    due: Option<Micros>,
    /// The call that is out, and since when.
    out: Option<(Call, Micros)>,
    /// The whole list is wanted, whatever is held.
    whole: bool,
    failures: u32,
    overloads: u32,
    /// Answers in a row that came at once and told nothing.
    hasty: u32,
    /// How late answers have been of late, the worst of them fading.
    lateness: Micros,
    /// Calls made without a wait since one fell silent and none was answered.
    hurried: u32,
    /// When another service was last told of.
    renewed: Option<Micros>,
    answered: bool,
    /// Refusals of listed card servers, and since when they are counted.
    signs: (u32, Micros),
    /// When a call was last given up for such signs.
    given_up: Option<Micros>,
}

impl Caller {
    /// The caller of a relay that starts now with this list, which may be none.
    pub fn new(told: Told, held: &Roll, now: Micros) -> Caller {
        // An agent is this relay's own: no other asks it.
        let told = Told { relays: if told.agent.is_some() { 1 } else { told.relays }, ..told };
        let mut rng = Pcg64Mcg::seed_from_u64(told.seed);
        let bare = held.entries.is_empty();
        let mut window = many(told.relays) * PACE / 100 * if bare { BARE_PART } else { HELD_PART };
        if !bare {
            // The rule goes before sparing the service: who holds a list must have asked in time, with some to spare.
            let in_time = if told.must_ask_in > 0 { told.must_ask_in / 10 * 6 } else { Micros::MAX };
            window = window.min(in_time).min(clock::PAUSE_MOST);
        }
        // As few as two may come at once.
        let window = if told.relays == 1 { 0 } else { window.clamp(FIRST_LEAST, FIRST_MOST) };
        let due = now + rng.random_range(0..=window);
        Caller {
            told,
            rng,
            belief: Belief::new(held),
            due: Some(due),
            out: None,
            whole: false,
            failures: 0,
            overloads: 0,
            hasty: 0,
            hurried: 0,
            renewed: None,
            lateness: (many(told.relays) * LATE_EACH).min(SECOND_CALL_MOST),
            answered: false,
            signs: (0, now),
            given_up: None,
        }
    }

    /// When the next call is due; none while one is out.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    /// The version that changes are asked from.
    pub fn version(&self) -> u64 {
        self.belief.version()
    }

    /// What it is doing.
    pub fn state(&self) -> State {
        match (self.failures, self.belief.doubts(), self.answered) {
            (1.., ..) => State::Failing,
            (_, true, _) => State::Doubting,
            (_, _, true) => State::Following,
            _ => State::Starting,
        }
    }

    /// A card server that is listed as ready refused a connection: nobody listens there any more. True if the call that is out is to be
    /// given up as one that fell silent. Guards against a list that is held for gone card servers, and lacks their
    /// successors, until the patience of a long watch is over.
    pub fn refused_by_listed(&mut self, now: Micros) -> bool {
        let Some((call, since)) = self.out else { return false };
        if now.saturating_sub(self.signs.1) > STALE_WITHIN {
            self.signs = (0, now);
        }
        self.signs.0 += 1;
        let watches = matches!(call, Call::Changes { .. }) && now >= since + STALE_OUT;
        let again = self.given_up.is_none_or(|at| now >= at + STALE_AGAIN);
        let stale = watches && again && self.signs.0 >= STALE_SIGNS;
        if stale {
            (self.signs, self.given_up) = ((0, now), Some(now));
        }
        stale
    }

    /// The decisions want the whole list, once.
    pub fn want_whole(&mut self) {
        self.whole = true;
    }

    /// From now on the list comes from another service, which tells its own: the whole of it, soon.
    pub fn renew(&mut self, now: Micros) {
        (self.out, self.renewed) = (None, Some(now));
        (self.failures, self.overloads, self.hasty, self.hurried) = (0, 0, 0, 0);
        self.belief.renew();
        let spread = match self.told.relays {
            0 | 1 => 0,
            relays => (Micros::from(relays) * RENEW_PACE).min(RENEW_SPREAD),
        };
        self.due = Some(now + self.rng.random_range(0..=spread));
    }

    /// Takes the call that is due, and how long its answer is waited for. It is out until [`heard`](Self::heard) or
    /// [`failed`](Self::failed).
    pub fn call(&mut self, now: Micros) -> (Call, Micros) {
        let whole = std::mem::take(&mut self.whole) || self.belief.anew() || self.belief.wants_whole(now);
        let call = match whole {
            true => Call::Whole,
            false => Call::Changes { since: self.belief.version(), wait: self.watch_wait(now) },
        };
        (self.due, self.out) = (None, Some((call, now)));
        (call, self.patience(now, call))
    }

    /// How long an answer is waited for: until a second call would come too late, should this one have fallen silent at once.
    /// A service that has been answering at once is given less time, one with a queue all that there is.
    fn patience(&self, now: Micros, call: Call) -> Micros {
        if let Some(step) = self.told.step() {
            return step + if let Call::Changes { wait, .. } = call { wait } else { step };
        }
        let counts = match self.renewed.filter(|_| self.belief.anew()) {
            Some(at) => (at + clock::RENEWED).saturating_sub(now).max(RENEW_PATIENCE),
            None => clock::counts_after(call),
        };
        counts.saturating_sub(self.second_call())
    }

    /// What is left for a second call.
    fn second_call(&self) -> Micros {
        SECOND_CALL_MOST.saturating_sub(self.lateness).max(SECOND_CALL)
    }

    /// How long a watch waits. Guards against watches of hundreds of relays that stay in step after a common answer.
    fn watch_wait(&mut self, now: Micros) -> Micros {
        if let Some(step) = self.told.step() {
            return step;
        }
        let first = !self.answered && self.hurried == 0 && self.told.relays != 1;
        let usual = match first {
            true => (WATCH + many(self.told.relays) * FIRST_PACE).min(FIRST_WATCH_MOST),
            false => WATCH << self.overloads.min(1),
        };
        let mean = (many(self.told.relays) * WATCH_PACE).clamp(usual, WATCH_MOST);
        let drawn = self.rng.random_range(mean / 4 * 3..=mean / 4 * 5);
        let most = self.belief.check_at().map_or(drawn, |at| at.saturating_sub(now));
        // Whole milliseconds, as the service counts them.
        (drawn.min(most).max(100_000) / 1_000) * 1_000
    }

    /// The call that was out has brought an answer; what of it is believed comes back. A list that is not believed in whole
    /// comes back as changes, so that what it does not name stays.
    pub fn heard(&mut self, now: Micros, answer: Roll) -> Roll {
        let Some((call, since)) = self.out.take() else { return answer };
        let took = now.saturating_sub(since);
        let news = !answer.entries.is_empty() || answer.version != self.belief.version();
        (self.failures, self.hurried, self.answered) = (0, 0, true);
        let (late, hasty) = match call {
            Call::Whole => (took, !news),
            // When news came while it waited, nobody can tell: that it took long says nothing of the service.
            Call::Changes { wait, .. } => (took.saturating_sub(wait), !news && took < wait / 2),
        };
        self.hasty = if hasty { (self.hasty + 1).min(7) } else { 0 };
        if !news || call == Call::Whole {
            self.lateness = late.max(self.lateness / 4 * 3);
        }
        let mut pause = PAUSE;
        if self.told.relays > 1 && news {
            let spread = many(self.told.relays) * PAUSE_PACE;
            pause += self.rng.random_range(0..=spread.min(PAUSE_SPREAD));
        }
        if self.hasty > 0 {
            pause = PAUSE << self.hasty;
        }
        if late > LATE {
            // The service is behind: who was kept waiting stays away as long, before calls begin to fail.
            self.overloads = (self.overloads + 1).min(DOUBLINGS);
            let most = if self.told.must_ask_in > 0 { self.told.must_ask_in / 4 } else { AWAY_MOST };
            let away = late.min(most);
            pause = pause.max(self.rng.random_range(away / 2..=away / 2 * 3));
        } else {
            self.overloads = self.overloads.saturating_sub(1);
        }
        if let Some(step) = self.told.step() {
            pause = pause.min(step / 2);
        }
        self.due = Some(now + pause);
        let spread = many(self.told.relays) * PACE;
        let check = self.rng.random_range(0..=spread.min(FIRST_MOST));
        self.belief.hear(now, answer, check)
    }

    /// Whether the next call cannot wait: what a silent call missed is about to count as told, and the service, by what it did
    /// to the calls since, is neither down nor behind.
    fn hurries(&mut self, trouble: Trouble, took: Micros) -> bool {
        let hurries = match trouble {
            Trouble::Silent => {
                self.lateness = SECOND_CALL_MOST;
                true
            }
            Trouble::Broken | Trouble::Senseless => self.hurried > 0 && took < QUICK,
            // It has been heard of: the rule's clock starts anew.
            Trouble::Refused | Trouble::Busy(_) => {
                self.hurried = 0;
                false
            }
        };
        self.hurried += u32::from(hurries);
        hurries && self.hurried <= HURRIES
    }

    /// The longest pause after a failed call: the rule's, where a list is held by which it could be broken. More callers than could
    /// all be answered within it, if each cost the service the least that a call costs, take what they need for that. Guards
    /// against a service that turns callers away for ever.
    fn pause_most(&self) -> Micros {
        if self.belief.bare() {
            return AGAIN_MOST;
        }
        (many(self.told.relays) * LEAST_COST).clamp(clock::PAUSE_MOST, AGAIN_MOST)
    }

    /// The call that was out has failed.
    pub fn failed(&mut self, now: Micros, trouble: Trouble) {
        let took = self.out.take().map_or(0, |(_, since)| now.saturating_sub(since));
        self.failures = self.failures.saturating_add(1);
        let doubled = (self.failures - 1).min(DOUBLINGS);
        if let Some(step) = self.told.step() {
            // It may be silent, or answer again, at any moment, and what it then has counts at once.
            self.due = Some(now + PAUSE.max(step / 4));
            return;
        }
        if self.hurries(trouble, took) {
            let spread = (many(self.told.relays) * SILENT_PACE).min(SILENT_SPREAD);
            self.due = Some(now + PAUSE + self.rng.random_range(0..=spread));
            return;
        }
        if self.belief.anew() {
            let mean = RENEW_AGAIN << doubled;
            self.due = Some(now + self.rng.random_range(mean / 2..=mean / 2 * 3));
            return;
        }
        // A service that is down costs nothing and may be back at any time; one that is behind gets more room each time.
        let fleet = many(self.told.relays) * PACE / 5 * 6;
        let (fleet, asked) = match trouble {
            // One that breaks at once costs it next to nothing either; one that breaks after a wait has waited too long.
            Trouble::Refused => (fleet, None),
            Trouble::Broken if took < QUICK => (fleet, None),
            // It was reached, and the answer spoilt on its way to one caller: a change that it held back counts all the same.
            Trouble::Senseless => (0, None),
            Trouble::Broken | Trouble::Busy(_) => {
                self.overloads = (self.overloads + 1).min(DOUBLINGS);
                let after = if let Trouble::Busy(after) = trouble { after } else { None };
                (fleet << self.overloads.saturating_sub(1), after)
            }
            // Its patience has kept it away already.
            Trouble::Silent => (0, None),
        };
        let asked = asked.unwrap_or(0).min(RETRY_AFTER_MOST);
        // A time to come back takes its part of the longest pause.
        let most =
            if trouble == Trouble::Senseless { clock::PAUSE_MOST / 2 } else { self.pause_most() - asked };
        let mean = (AGAIN << doubled).max(if self.told.relays == 1 { 0 } else { fleet });
        let (least, most) = match mean / 2 * 3 <= most {
            true => (mean / 2, mean / 2 * 3),
            // Where the rule's clock is no bound, all that there is to spread over.
            false if most > clock::PAUSE_MOST => (most / 3, most),
            // Late within what is allowed.
            false => (most / 4 * 3, most),
        };
        self.due = Some(now + asked + self.rng.random_range(least..=most));
    }
}

/// The relays told, or a guess where none are.
fn many(relays: u32) -> Micros {
    Micros::from(if relays == 0 { UNTOLD } else { relays })
}
