//! Days of keepers with the real engine and of fifty relays on a virtual clock: letters that are late, lost, doubled and
//! overtaken, cuts that go one way, processes that stop, keepers that crash between a write and its telling, clocks as far apart
//! as the bound allows. After each effect of a holder no older token may act; nothing agreed on is ever unsaid.
//!
//! `HONEYKNOT_DAYS=10000` plays more of them than the usual few.

use std::collections::BTreeMap;

use honeyknot_lease::{
    ClockDriftError, FencingToken, InjectedFault, LeaseClient, LeaseParameters, Micros, Permit, TaskOptions,
};
use honeyknot_lease_consensus::{
    ClientRequest, PeerMessage, PersistedState, Replica, ReplicaAction, ReplicaSettings, Response,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LEASE: Micros = 1_000_000;
const TICK: Micros = LEASE / 20;
const RELAYS: usize = 50;
const LENGTH: Micros = 30 * LEASE;
/// No fault begins after this.
const FAULTS: Micros = 20 * LEASE;
/// Tasks and how many may hold each.
const TASKS: [(&str, u32); 3] = [("probes", 1), ("home", 1), ("starts", 3)];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    /// In the pure part.
    Leases(InjectedFault),
    /// A keeper that comes back without its folder votes as if it had never voted.
    EmptyFolderVotes,
    /// A keeper answers before its folder has what the answer stands on.
    AnswersBeforeWriting,
}

enum Event {
    Tick(usize),
    PeerMessage(PeerMessage),
    ClientRequest { keeper: usize, ask: ClientRequest },
    Response { relay: usize, id: u64, told: Response },
    Relay(usize),
    Fault,
    Starts(usize),
    Work(usize),
}

struct Seat {
    clock: ClockDriftError,
    keeper: Option<Replica>,
    kept: PersistedState,
    /// Its work is under way: until then asks and letters gather.
    works: bool,
}

struct Relay {
    clock: ClockDriftError,
    client: LeaseClient,
    acts: Vec<Act>,
}

/// An act under way.
struct Act {
    task: usize,
    number: u64,
    permit: Permit,
    effects: u32,
}

/// What one act has done so far: its number, its token, its first and last effect in true time.
#[derive(Clone, Copy)]
struct Done {
    act: u64,
    token: FencingToken,
    first: Micros,
    last: Micros,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Outcome {
    effects: u64,
    changes: u64,
    crashes: u64,
    parameters: u64,
    last_effect: [Micros; TASKS.len()],
    log: u64,
    broken: Option<String>,
}

struct World {
    plant: Option<Plant>,
    rng: Pcg64Mcg,
    now: Micros,
    order: u64,
    events: BTreeMap<(Micros, u64), Event>,
    settings: ReplicaSettings,
    seats: Vec<Seat>,
    relays: Vec<Relay>,
    /// Until when each process stands still: keepers, then relays.
    still: Vec<Micros>,
    /// Until when letters from one keeper to another are lost.
    cut: BTreeMap<(u64, u64), Micros>,
    /// Acts of each task, and how many there were in all.
    acts: u64,
    done: [Vec<Done>; TASKS.len()],
    /// What was agreed on, by index, as the first keeper to know it held it.
    agreed: BTreeMap<u64, u64>,
    out: Outcome,
}

fn play(seed: u64, plant: Option<Plant>) -> Outcome {
    let injected_fault = match plant {
        Some(Plant::Leases(fault)) => Some(fault),
        _ => None,
    };
    let parameters =
        LeaseParameters { injected_fault, drift_ppm: 100_000, margin: 0, ..LeaseParameters::new(LEASE) };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let keepers = if seed % 4 == 3 { 5 } else { 3 };
    let settings = ReplicaSettings {
        parameters,
        id: 0,
        replica_count: keepers,
        tick_interval: TICK,
        election_timeout: LEASE / 2,
        compact_after: 40,
        tokens_from: 1_000 * seed,
    };
    let ppm = parameters.drift_ppm as i64;
    let clock = |rng: &mut Pcg64Mcg| ClockDriftError {
        offset: rng.random_range(0..1_000 * LEASE),
        ppm: [-ppm, ppm, rng.random_range(-ppm..=ppm)][rng.random_range(0..3)],
    };
    let seats = (0..keepers)
        .map(|_| Seat { clock: clock(&mut rng), keeper: None, kept: PersistedState::default(), works: false })
        .collect();
    let relays = (0..RELAYS).map(|r| {
        let clock = clock(&mut rng);
        let mut client = LeaseClient::new(parameters, &format!("n{r}"), keepers, rng.random());
        let max_hold = (r % 2 == 0).then_some(3 * LEASE);
        for (task, slots) in TASKS {
            client.add_task(clock.at(0), task, TaskOptions { slots, max_hold, max_idle: None });
        }
        Relay { clock, client, acts: Vec::new() }
    });
    let relays = relays.collect();
    let mut world = World {
        plant,
        rng,
        now: 0,
        order: 0,
        events: BTreeMap::new(),
        settings,
        seats,
        relays,
        still: vec![0; keepers as usize + RELAYS],
        cut: BTreeMap::new(),
        acts: 0,
        done: [const { Vec::new() }; TASKS.len()],
        agreed: BTreeMap::new(),
        out: Outcome::default(),
    };
    for keeper in 0..keepers as usize {
        world.after(1, Event::Starts(keeper));
        world.after(1 + keeper as Micros, Event::Tick(keeper));
    }
    for relay in 0..RELAYS {
        world.after(LEASE / 2 + relay as Micros, Event::Relay(relay));
    }
    world.after(LEASE, Event::Fault);
    while let Some(((at, _), event)) = world.events.pop_first() {
        if at > LENGTH || world.out.broken.is_some() {
            break;
        }
        world.now = at;
        world.step(event);
    }
    world.out.log = world.agreed.values().fold(0, |sum, hash| sum.wrapping_mul(31).wrapping_add(*hash));
    world.out
}

impl World {
    fn after(&mut self, wait: Micros, event: Event) {
        self.order += 1;
        self.events.insert((self.now + wait, self.order), event);
    }

    fn breaks(&mut self, what: String) {
        self.out.broken.get_or_insert(what);
    }

    fn delay(&mut self) -> Micros {
        match self.rng.random_range(0..40) {
            0 => self.rng.random_range(0..2 * LEASE),
            1..=3 => self.rng.random_range(0..LEASE / 4),
            _ => self.rng.random_range(0..LEASE / 200),
        }
    }

    fn step(&mut self, event: Event) {
        let keepers = self.seats.len();
        let process = match &event {
            Event::Tick(keeper) | Event::Work(keeper) | Event::ClientRequest { keeper, .. } => Some(*keeper),
            Event::PeerMessage(letter) => Some(letter.to as usize - 1),
            Event::Response { relay, .. } | Event::Relay(relay) => Some(keepers + relay),
            Event::Fault | Event::Starts(_) => None,
        };
        if let Some(until) = process.map(|process| self.still[process]).filter(|until| *until > self.now) {
            self.after(until - self.now, event);
            return;
        }
        match event {
            Event::Tick(k) => {
                self.after(TICK, Event::Tick(k));
                let now = self.seats[k].clock.at(self.now);
                if let Some(keeper) = &mut self.seats[k].keeper {
                    keeper.tick(now);
                }
                self.works_soon(k);
            }
            Event::PeerMessage(letter) => {
                let k = letter.to as usize - 1;
                let Some(keeper) = &mut self.seats[k].keeper else { return };
                if let Err(why) = keeper.step(letter) {
                    return self.breaks(format!("keeper {}: {why}", k + 1));
                }
                self.works_soon(k);
            }
            Event::ClientRequest { keeper: k, ask } => {
                let now = self.seats[k].clock.at(self.now);
                let Some(keeper) = &mut self.seats[k].keeper else { return };
                keeper.request(now, ask);
                self.works_soon(k);
            }
            Event::Work(k) => {
                self.seats[k].works = false;
                self.work(k);
            }
            Event::Response { relay, id, told } => self.told(relay, id, told),
            Event::Relay(relay) => self.relay(relay),
            Event::Fault => self.fault(),
            Event::Starts(k) => {
                let mut settings = self.settings.clone();
                settings.id = k as u64 + 1;
                match Replica::new(settings, self.seats[k].kept.clone()) {
                    Ok(keeper) => self.seats[k].keeper = Some(keeper),
                    Err(why) => self.breaks(format!("keeper {} does not start: {why}", k + 1)),
                }
            }
        }
    }

    /// A disk takes its time, now and then a lot of it.
    fn works_soon(&mut self, k: usize) {
        if !std::mem::replace(&mut self.seats[k].works, true) {
            let slow = self.rng.random_range(0..200) == 0;
            let wait = self.rng.random_range(0..if slow { LEASE / 2 } else { LEASE / 500 });
            self.after(wait, Event::Work(k));
        }
    }

    /// What a keeper has to do, until there is nothing more.
    fn work(&mut self, k: usize) {
        loop {
            let now = self.seats[k].clock.at(self.now);
            let Some(keeper) = &mut self.seats[k].keeper else { return };
            let Some(write) = keeper.ready(now) else { break };
            // A crash may come before the write is on disk, or after it and before anything is told.
            let crash = self.now < FAULTS && self.rng.random_range(0..1_500) == 0;
            let writes = !crash || self.rng.random_bool(0.5);
            let early = self.plant == Some(Plant::AnswersBeforeWriting);
            if writes && !(early && crash) {
                self.seats[k].kept.write(write.clone());
            }
            if crash && !early {
                return self.crash(k);
            }
            let Some(keeper) = &mut self.seats[k].keeper else { return };
            match keeper.advance(now, write) {
                Ok(out) => out.into_iter().for_each(|out| self.carry(out)),
                Err(why) => return self.breaks(format!("keeper {}: {why}", k + 1)),
            }
            if crash {
                return self.crash(k);
            }
        }
        self.compare(k);
    }

    /// What is agreed on is the same at all keepers, for ever.
    fn compare(&mut self, k: usize) {
        let Some(keeper) = &self.seats[k].keeper else { return };
        let known = self.agreed.last_key_value().map_or(0, |(index, _)| *index);
        let commit = self.seats[k].kept.hard_state.commit;
        let from = known.min(commit).saturating_sub(2).max(1);
        let mut broken = None;
        for entry in keeper.log_entries_from(from).into_iter().take_while(|entry| entry.index <= commit) {
            let bytes =
                entry.data.iter().fold(entry.term, |sum, byte| sum.wrapping_mul(131) ^ u64::from(*byte));
            if *self.agreed.entry(entry.index).or_insert(bytes) != bytes {
                broken = Some(format!("entry {} differs at keeper {}", entry.index, k + 1));
            }
        }
        self.out.parameters = self.out.parameters.max(keeper.term());
        if let Some(what) = broken {
            self.breaks(what);
        }
    }

    fn carry(&mut self, out: ReplicaAction) {
        match out {
            ReplicaAction::Send(letter) => {
                let cut = self.cut.get(&(letter.from, letter.to)).is_some_and(|until| *until > self.now);
                let copies =
                    if cut { 0 } else { [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..10)] };
                for _ in 0..copies {
                    let wait = self.delay();
                    self.after(wait, Event::PeerMessage(letter.clone()));
                }
            }
            ReplicaAction::Respond { client: to, request_id: id, response: told } => {
                if self.rng.random_range(0..12) > 0 {
                    let wait = self.delay();
                    self.after(wait, Event::Response { relay: to as usize, id, told });
                }
            }
        }
    }

    fn told(&mut self, r: usize, id: u64, told: Response) {
        let relay = &mut self.relays[r];
        let now = relay.clock.at(self.now);
        match told {
            Response::Results(said) => relay.client.on_response(now, id, &said),
            Response::NotLeader(leader) => relay.client.on_redirect(now, id, leader),
            Response::Overloaded => relay.client.on_overload(now, id),
            Response::Leases(_) => {}
        }
    }

    fn relay(&mut self, r: usize) {
        let wait = self.rng.random_range(LEASE / 60..LEASE / 20);
        self.after(wait, Event::Relay(r));
        let now = self.relays[r].clock.at(self.now);
        // One effect of each act that is under way.
        for mut act in std::mem::take(&mut self.relays[r].acts) {
            let Some(token) = act.permit.valid_token(now) else { continue };
            self.effect(act.task, act.number, token);
            if act.effects > 0 {
                act.effects -= 1;
                self.relays[r].acts.push(act);
            }
        }
        for (task, (name, _)) in TASKS.iter().enumerate() {
            if self.relays[r].acts.iter().all(|act| act.task != task) {
                let longest = self.rng.random_range(LEASE / 50..LEASE / 2);
                if let Ok(permit) = self.relays[r].client.permit(now, name, longest) {
                    self.acts += 1;
                    let effects = self.rng.random_range(1..12);
                    self.relays[r].acts.push(Act { task, number: self.acts, permit, effects });
                }
            }
        }
        let Some(request) = self.relays[r].client.next_request(now) else { return };
        let ask = ClientRequest { client: r as u64, id: request.id, commands: request.commands };
        for _ in 0..[0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..10)] {
            let wait = self.delay();
            self.after(wait, Event::ClientRequest { keeper: request.server as usize - 1, ask: ask.clone() });
        }
    }

    fn effect(&mut self, task: usize, act: u64, token: FencingToken) {
        let (now, (name, slots)) = (self.now, TASKS[task]);
        let done = &mut self.done[task];
        let new = done.iter().all(|other| other.token != token);
        let mut own = Done { act, token, first: now, last: now };
        if let Some(place) = done.iter().position(|other| other.act == act) {
            own.first = done.swap_remove(place).first;
        }
        let later = done.iter().any(|other| other.token > token);
        // The moments at which others that overlap this act did something: how many acted then.
        let moments = done.iter().map(|other| other.last).filter(|moment| *moment >= own.first);
        let at = |moment: Micros| {
            done.iter().filter(|other| other.first <= moment && moment <= other.last).count()
        };
        let most = 1 + moments.map(at).max().unwrap_or(0);
        // What ended long ago can no more be overlapped: no permit is as long as a lease.
        done.retain(|other| other.last + 8 * LEASE > now);
        done.push(own);
        if slots == 1 && later {
            self.breaks(format!("{name}: an effect by token {} after one by a later one", token.0));
        }
        if most > slots as usize {
            self.breaks(format!("{name}: {most} acts at once"));
        }
        self.out.effects += 1;
        self.out.changes += u64::from(new);
        self.out.last_effect[task] = now;
    }

    fn crash(&mut self, k: usize) {
        self.seats[k].keeper = None;
        self.out.crashes += 1;
        if self.plant == Some(Plant::EmptyFolderVotes) {
            self.seats[k].kept = PersistedState::default();
        }
        let wait = self.rng.random_range(0..LEASE);
        self.after(wait, Event::Starts(k));
    }

    fn fault(&mut self) {
        if self.now >= FAULTS {
            return;
        }
        let wait = self.rng.random_range(LEASE / 10..LEASE);
        self.after(wait, Event::Fault);
        let keepers = self.seats.len();
        let k = self.rng.random_range(0..keepers);
        match self.rng.random_range(0..10) {
            0..=2 => self.still[k] = self.now + self.rng.random_range(0..2 * LEASE),
            3..=5 => {
                let relay = self.rng.random_range(0..RELAYS);
                self.still[keepers + relay] = self.now + self.rng.random_range(0..2 * LEASE);
            }
            6 => {
                // Whoever holds something.
                let held = |relay: &Relay| {
                    TASKS.iter().any(|(t, _)| relay.client.held_token(relay.clock.at(self.now), t).is_some())
                };
                if let Some(relay) = self.relays.iter().position(held) {
                    self.still[keepers + relay] = self.now + self.rng.random_range(0..3 * LEASE);
                }
            }
            7 => {
                let other = self.rng.random_range(0..keepers);
                let until = self.now + self.rng.random_range(0..3 * LEASE);
                self.cut.insert((k as u64 + 1, other as u64 + 1), until);
            }
            8 => self.crash(k),
            _ => {
                // All at once.
                if self.rng.random_range(0..4) == 0 {
                    (0..keepers).for_each(|k| self.crash(k));
                }
            }
        }
    }
}

fn days() -> u64 {
    std::env::var("HONEYKNOT_DAYS").ok().and_then(|days| days.parse().ok()).unwrap_or(60)
}

#[test]
fn keepers_agree_and_no_two_holders_act_at_once() {
    let days = days();
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(days);
    let worker = move |nth| {
        (nth..days).step_by(threads as usize).map(|seed| (seed, play(seed, None))).collect::<Vec<_>>()
    };
    let workers: Vec<_> = (0..threads).map(|nth| std::thread::spawn(move || worker(nth))).collect();
    let mut sum = Outcome::default();
    for (seed, day) in workers.into_iter().flat_map(|worker| worker.join().expect("a day ends")) {
        assert_eq!(day.broken, None, "seed {seed}");
        for (task, last) in day.last_effect.iter().enumerate() {
            assert!(
                *last >= LENGTH - 4 * LEASE,
                "seed {seed}: nobody acts on {} after {last}",
                TASKS[task].0
            );
        }
        sum.effects += day.effects;
        sum.changes += day.changes;
        sum.crashes += day.crashes;
        sum.parameters += day.parameters;
    }
    println!(
        "{days} days: {} effects, {} changes of holder, {} crashes, {} terms",
        sum.effects, sum.changes, sum.crashes, sum.parameters
    );
    assert!(
        sum.changes > 20 * days && sum.crashes > 2 * days && sum.parameters > 3 * days,
        "the days show little: {sum:?}"
    );
}

#[test]
fn a_seed_replays() {
    for seed in [3, 77] {
        assert_eq!(play(seed, None), play(seed, None));
    }
}

#[test]
fn every_planted_fault_is_seen() {
    let plants = InjectedFault::ALL
        .map(Plant::Leases)
        .into_iter()
        .chain([Plant::EmptyFolderVotes, Plant::AnswersBeforeWriting]);
    let workers: Vec<_> = plants
        .map(|plant| {
            let search =
                move || (0..3_000).find_map(|seed| play(seed, Some(plant)).broken.map(|what| (seed, what)));
            (plant, std::thread::spawn(search))
        })
        .collect();
    for (plant, worker) in workers {
        let seen = worker.join().expect("a day ends");
        println!("{plant:?}: {seen:?}");
        assert!(seen.is_some(), "{plant:?} is not seen in 3,000 days");
    }
}
