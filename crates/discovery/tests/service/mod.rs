//! A list service and its callers on a simulated clock: one worker, calls in turn, watches, calls that waited too long.
#![allow(dead_code)] // each test file uses a part

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use honeyknot_balancer::{CellId, Endpoint, EndpointId, EndpointState, Micros};
use honeyknot_discovery::{Call, Caller, Roll, Told, Trouble};

/// A call that has waited longer than this is turned away ...
const TOO_LONG: Micros = 2_000_000;
/// ... which takes this long.
const TURNED_AWAY: Micros = 200;
/// A watch costs this part of a whole list at its beginning, and again at its end.
const SMALL: f64 = 0.05;
/// A third of the card servers have changed since the old lists.
const CHANGED: f64 = 0.33;

pub const S: Micros = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's call is due.
    Due(usize),
    /// A caller gives up its call of this number.
    GivesUp(usize, u64),
    /// The worker is done with what it does.
    Done,
    /// A watch's wait is over.
    WatchEnds(usize, u64),
    /// The service goes down or comes back, or its list changes.
    Script(usize),
}

/// What happens to the service.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Down,
    Up,
    /// A whole list takes this long from now on.
    Cost(Micros),
    /// One card server changes.
    Change,
    /// All callers are stopped until this time.
    Stop(Micros),
    /// No call is turned away from now on, however long it waited: also what nobody awaits is worked on.
    Patient(bool),
}

/// What was counted at the service.
#[derive(Clone, Debug, Default)]
pub struct Book {
    pub calls: u64,
    pub whole: u64,
    pub failed: u64,
    pub refused: u64,
    pub work: f64,
    pub wasted: f64,
    pub longest_queue: usize,
    /// Calls that reached the service, or its closed door, in each second.
    pub by_second: Vec<u64>,
    /// When each caller first held the present list.
    pub listed: Vec<Option<Micros>>,
}

impl Book {
    pub fn last(&self) -> Option<f64> {
        self.listed.iter().copied().try_fold(0, |last, at| Some(last.max(at?))).map(|at| at as f64 / 1e6)
    }
}

pub struct Day {
    pub callers: usize,
    /// What each is told of the number of relays.
    pub told: u32,
    pub held: u64,
    pub call: Micros,
    pub must_ask_in: Micros,
    pub seed: u64,
    /// Callers start within this.
    pub start_over: Micros,
    pub steps: Vec<(Micros, Step)>,
    pub length: Micros,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            callers: 300,
            told: 300,
            held: 3,
            call: 20_000,
            must_ask_in: 10 * S,
            seed: 1,
            start_over: 0,
            steps: Vec::new(),
            length: 60 * S,
        }
    }
}

struct One {
    caller: Caller,
    out: Option<(u64, Call)>,
}

/// A call at the service.
#[derive(Clone, Copy)]
struct Waiting {
    caller: usize,
    id: u64,
    call: Call,
    /// When it came, or when its watch ended.
    came: Micros,
    /// It is a watch whose wait is over.
    over: bool,
}

pub struct Service {
    now: Micros,
    heap: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    order: u64,
    callers: Vec<One>,
    queue: VecDeque<Waiting>,
    parked: Vec<Waiting>,
    working: Option<(Waiting, bool)>,
    up: bool,
    patient: bool,
    stopped_until: Micros,
    version: u64,
    cost: Micros,
    pub book: Book,
}

pub fn entry(id: &str, state: EndpointState, started: Micros) -> Endpoint {
    Endpoint {
        id: EndpointId(id.into()),
        kind: None,
        weight: 1.0,
        started_at: started,
        zone: None,
        cell: CellId(0),
        state,
    }
}

pub fn roll(version: u64, whole: bool, ids: &[&str]) -> Roll {
    let entries = ids.iter().map(|id| entry(id, EndpointState::Ready, 0)).collect();
    Roll { version, whole, entries }
}

/// Plays a day.
pub fn play(day: &Day) -> Book {
    let held = if day.held == 0 { Roll::default() } else { roll(day.held, true, &["s-1"]) };
    let callers = (0..day.callers).map(|n| {
        let seed = day.seed ^ (n as u64) << 20;
        let told = Told { relays: day.told, must_ask_in: day.must_ask_in, agent: None, seed };
        let start = n as Micros * day.start_over / day.callers as Micros;
        One { caller: Caller::new(told, &held, start), out: None }
    });
    let mut service = Service {
        now: 0,
        heap: BinaryHeap::new(),
        order: 0,
        callers: callers.collect(),
        queue: VecDeque::new(),
        parked: Vec::new(),
        working: None,
        up: true,
        patient: false,
        stopped_until: 0,
        version: 7,
        cost: day.call,
        book: Book { listed: vec![None; day.callers], ..Book::default() },
    };
    for n in 0..day.callers {
        service.set(n);
    }
    for (i, (at, _)) in day.steps.iter().enumerate() {
        service.at(*at, Event::Script(i));
    }
    while let Some(Reverse((at, _, event))) = service.heap.pop() {
        if at > day.length {
            break;
        }
        service.now = at;
        service.step(event, &day.steps);
    }
    service.book
}

impl Service {
    fn at(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, event)));
    }

    /// Sets the alarm of a caller's next call.
    fn set(&mut self, n: usize) {
        if let Some(due) = self.callers[n].caller.due() {
            self.at(due.max(self.now).max(self.stopped_until), Event::Due(n));
        }
    }

    fn step(&mut self, event: Event, steps: &[(Micros, Step)]) {
        match event {
            Event::Due(n) => self.due(n),
            Event::GivesUp(n, call) => {
                if self.now < self.stopped_until {
                    return self.at(self.stopped_until, event);
                }
                if self.callers[n].out.is_some_and(|(out, _)| out == call) {
                    self.ends(n, Err(Trouble::Silent));
                }
            }
            Event::Done => self.done(),
            Event::WatchEnds(n, call) => {
                if let Some(at) = self.parked.iter().position(|w| (w.caller, w.id) == (n, call)) {
                    let waiting = self.parked.swap_remove(at);
                    self.queue.push_back(Waiting { came: self.now, over: true, ..waiting });
                    self.work();
                }
            }
            Event::Script(i) => match steps[i].1 {
                Step::Down => {
                    self.up = false;
                    let mut all: Vec<Waiting> = self.queue.drain(..).collect();
                    all.append(&mut self.parked);
                    all.extend(self.working.take().map(|(waiting, _)| waiting));
                    for waiting in all.into_iter().filter(|w| self.awaited(w)).collect::<Vec<_>>() {
                        self.ends(waiting.caller, Err(Trouble::Broken));
                    }
                }
                Step::Up => self.up = true,
                Step::Cost(cost) => self.cost = cost,
                Step::Change => {
                    self.version += 1;
                    let now = self.now;
                    let woken = self.parked.drain(..).map(|w| Waiting { came: now, ..w });
                    self.queue.extend(woken);
                    self.work();
                }
                Step::Patient(on) => self.patient = on,
                Step::Stop(until) => self.stopped_until = until,
            },
        }
    }

    fn due(&mut self, n: usize) {
        if self.now < self.stopped_until {
            return self.at(self.stopped_until, Event::Due(n));
        }
        if self.callers[n].caller.due().is_none_or(|due| due > self.now) {
            return;
        }
        let (call, patience) = self.callers[n].caller.call(self.now);
        self.order += 1;
        let id = self.order;
        self.callers[n].out = Some((id, call));
        let second = (self.now / S) as usize;
        if self.book.by_second.len() <= second {
            self.book.by_second.resize(second + 1, 0);
        }
        self.book.by_second[second] += 1;
        self.book.calls += 1;
        self.book.whole += u64::from(call == Call::Whole);
        if !self.up {
            self.book.refused += 1;
            return self.ends(n, Err(Trouble::Refused));
        }
        self.at(self.now + patience, Event::GivesUp(n, id));
        self.queue.push_back(Waiting { caller: n, id, call, came: self.now, over: false });
        self.book.longest_queue = self.book.longest_queue.max(self.queue.len());
        self.work();
    }

    fn awaited(&self, waiting: &Waiting) -> bool {
        self.callers[waiting.caller].out.is_some_and(|(out, _)| out == waiting.id)
    }

    fn work(&mut self) {
        if self.working.is_some() {
            return;
        }
        let Some(waiting) = self.queue.pop_front() else { return };
        let late = self.now - waiting.came > TOO_LONG && !self.patient;
        let part = match waiting.call {
            Call::Whole => 1.0,
            Call::Changes { since, .. } if since < self.version => SMALL + CHANGED,
            Call::Changes { .. } => SMALL,
        };
        let cost = if late { TURNED_AWAY as f64 } else { self.cost as f64 * part };
        self.book.work += cost / 1e6;
        if late || !self.awaited(&waiting) {
            self.book.wasted += cost / 1e6;
        }
        self.working = Some((waiting, late));
        self.at(self.now + (cost as Micros).max(1), Event::Done);
    }

    fn done(&mut self) {
        // The worker of a service that went down meanwhile is gone.
        let Some((waiting, late)) = self.working.take() else { return };
        let (n, version) = (waiting.caller, self.version);
        match waiting.call {
            _ if !self.awaited(&waiting) => {}
            _ if late => self.ends(n, Err(Trouble::Busy(None))),
            Call::Changes { since, wait } if since >= version && !waiting.over => {
                self.parked.push(waiting);
                self.at(self.now + wait, Event::WatchEnds(n, waiting.id));
            }
            Call::Changes { since, .. } if since >= version => {
                self.ends(n, Ok(Roll { version, whole: false, entries: Vec::new() }));
            }
            Call::Whole => self.ends(n, Ok(roll(version, true, &["s-1", "s-2"]))),
            Call::Changes { .. } => self.ends(n, Ok(roll(version, false, &["s-2"]))),
        }
        self.work();
    }

    fn ends(&mut self, n: usize, answer: Result<Roll, Trouble>) {
        self.callers[n].out = None;
        match answer {
            Ok(news) => {
                if news.version == self.version {
                    self.book.listed[n].get_or_insert(self.now);
                }
                let _ = self.callers[n].caller.heard(self.now, news);
            }
            Err(trouble) => {
                self.book.failed += 1;
                self.callers[n].caller.failed(self.now, trouble);
            }
        }
        self.set(n);
    }
}
