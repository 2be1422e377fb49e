//! The decisions on sites at size: many relays' parts in one process on a virtual clock, no sockets.
//!
//! Each relay hears the roll's news at a time of its own and gets reports late; within the reach that its part allows,
//! a card server is drawn by weight, without the decision module. So what holds here is held by `crates/zone-failover` alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use honeyknot_balancer::{
    AffinityGroup, CellId, Endpoint, EndpointId, EndpointState, EndpointUpdate, Micros, RequestId, ZoneId,
    ZoneSet,
};
use honeyknot_zone_failover::{
    EndpointSignal, ZoneAction, ZoneDecision, ZoneFailover, ZoneFailoverConfig, ZoneFailoverSetup,
};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Poisson, Zipf};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::model::{CardModel, Held, Make, Opened};
use crate::scenario::{Scenario, Step};
use crate::world::{COLD, DECK_COST};

/// The virtual clock's step.
const STEP: Micros = 50_000;
/// Relays tend their sites this often.
const TICK: Micros = 250_000;
/// Relays hear of their own site's loads this often.
const REPORTS: Micros = 1_500_000;
/// The clock does not begin at 0: start times of 0 mean long ago.
const START: Micros = 1_000_000_000;

/// What is to be simulated.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Sites, the third of which is lost.
    pub sites: usize,
    /// Card servers in all.
    pub servers: usize,
    /// Relays in all.
    pub relays: usize,
    /// Load of the fleet when nothing is wrong, decks left out.
    pub load: f64,
    /// What goes wrong.
    pub scenario: Scenario,
    /// The operators' plan; names of sites in it are not used.
    pub plan: ZoneFailoverConfig,
    /// The seed.
    pub seed: u64,
    /// The longest that news of the roll takes to a relay.
    pub news: Duration,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What was played.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Sites, card servers and relays.
    pub sites: usize,
    /// See `sites`.
    pub servers: usize,
    /// See `sites`.
    pub relays: usize,
    /// Requests, those served, and those refused.
    pub clients_asked: u64,
    /// See `clients_asked`.
    pub served: u64,
    /// See `clients_asked`.
    pub refused: u64,
    /// Sessions that clients had when most stood.
    pub most_sessions: usize,
    /// The limit that is stated, and the largest share that was held.
    pub spill_limit: f64,
    /// See `spill_limit`.
    pub worst_spill: f64,
    /// Cold card servers that fell over, and the largest multiple of present capacity that one was sent.
    pub servers_pushed_over: u64,
    /// See `servers_pushed_over`.
    pub worst_return_multiple: f64,
    /// Moves, and the most of a second.
    pub moves: u64,
    /// See `moves`.
    pub worst_moves_per_s: u64,
    /// Share of the wanted seconds that were well served.
    pub well_served: f64,
    /// Nanoseconds of a newcomer's decision: median and 99th percentile.
    pub ask_p50_ns: u64,
    /// See `ask_p50_ns`.
    pub ask_p99_ns: u64,
    /// Simulated and real seconds.
    pub simulated_s: f64,
    /// See `simulated_s`.
    pub wall_s: f64,
    /// The most memory that this process has held so far, in MiB; 0 where it is not known.
    pub peak_mib: u64,
}

struct Server {
    id: EndpointId,
    site: usize,
    model: CardModel,
    up: bool,
}

/// A client: its site's relay, and what it wants.
#[derive(Clone)]
struct Client {
    relay: usize,
    until: Micros,
    load: f64,
    deck: u64,
}

struct Standing {
    client: Client,
    server: usize,
}

struct Run {
    now: Micros,
    rng: Pcg64Mcg,
    servers: Vec<Server>,
    by_id: BTreeMap<EndpointId, usize>,
    by_site: Vec<Vec<usize>>,
    relays: Vec<ZoneFailover>,
    /// News on its way to a relay.
    news: BinaryHeap<Reverse<(Micros, usize, u64)>>,
    told: Vec<Arc<Vec<Endpoint>>>,
    /// Clients that come back.
    coming: BTreeMap<(Micros, u64), Client>,
    standing: BTreeMap<(usize, RequestId), Standing>,
    ends: BinaryHeap<Reverse<(Micros, usize, RequestId)>>,
    serial: u64,
    outcome: Outcome,
    moved: BTreeMap<Micros, u64>,
    asks: Histogram<u64>,
    wanted: f64,
    good: f64,
    surge: Vec<f64>,
    longest_news: Micros,
}

/// Plays a day. Equal inputs give equal outcomes but for the wall clock's figures.
pub fn simulate(day: &Simulation) -> Result<Outcome, String> {
    if matches!(day.scenario, Scenario::Partial | Scenario::Relays | Scenario::Surge) {
        return Err(
            "this scenario turns on the decision module's choice of card servers: play it with real relays"
                .into(),
        );
    }
    let began = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
    let names: Vec<String> = (0..day.sites).map(|n| format!("site-{n}")).collect();
    let servers: Vec<Server> = (0..day.servers)
        .map(|number| {
            let weight = [1.6, 1.0, 0.6][number / day.sites % 3];
            let make = Make {
                weight,
                capacity: 34.0 * weight * rng.random_range(0.94..1.06),
                cold_from: rng.random_range(0.35..0.5),
                cold: rng.random_range(6_000_000..COLD),
                deck_cost: DECK_COST,
                report_every: rng.random_range(370_000..840_000),
                report_late: rng.random_range(180_000..460_000),
            };
            let id = EndpointId(format!("s-{number:06x}").into());
            Server { id, site: number % day.sites, model: CardModel::new(make, 0), up: true }
        })
        .collect();
    let mut by_site = vec![Vec::new(); day.sites];
    servers.iter().enumerate().for_each(|(n, s)| by_site[s.site].push(n));
    let relays = (0..day.relays).map(|number| {
        let setup = ZoneFailoverSetup {
            config: day.plan.clone(),
            zone_names: names.clone(),
            home_zone: ZoneId(number % day.sites),
            fleet_size: day.relays as u32,
            slow_start_duration: COLD,
            initial_capacity: 0.32,
            seed: day.seed ^ (number as u64) << 20,
        };
        ZoneFailover::new(setup, START)
    });
    let relays = relays.collect::<Result<Vec<ZoneFailover>, _>>().map_err(|error| error.to_string())?;
    let mut run = Run {
        now: START,
        by_id: servers.iter().enumerate().map(|(n, s)| (s.id.clone(), n)).collect(),
        servers,
        by_site,
        relays,
        news: BinaryHeap::new(),
        told: Vec::new(),
        coming: BTreeMap::new(),
        standing: BTreeMap::new(),
        ends: BinaryHeap::new(),
        serial: 0,
        outcome: Outcome {
            scenario: format!("{:?}", day.scenario).to_lowercase(),
            seed: day.seed,
            sites: day.sites,
            servers: day.servers,
            relays: day.relays,
            clients_asked: 0,
            served: 0,
            refused: 0,
            most_sessions: 0,
            spill_limit: day.plan.spill_limit,
            worst_spill: 0.0,
            servers_pushed_over: 0,
            worst_return_multiple: 0.0,
            moves: 0,
            worst_moves_per_s: 0,
            well_served: 0.0,
            ask_p50_ns: 0,
            ask_p99_ns: 0,
            simulated_s: 0.0,
            wall_s: 0.0,
            peak_mib: 0,
        },
        moved: BTreeMap::new(),
        asks: Histogram::new_with_bounds(1, 10_000_000, 3).map_err(|e| e.to_string())?,
        wanted: 0.0,
        good: 0.0,
        surge: vec![1.0; day.sites],
        longest_news: day.news.as_micros() as Micros,
        rng,
    };
    run.play(day)?;
    let mut outcome = run.outcome;
    outcome.servers_pushed_over += run.servers.iter().filter(|s| s.model.fallen()).count() as u64;
    outcome.worst_moves_per_s = run.moved.values().copied().max().unwrap_or(0);
    outcome.well_served = run.good / run.wanted.max(1e-9);
    (outcome.ask_p50_ns, outcome.ask_p99_ns) =
        (run.asks.value_at_quantile(0.5), run.asks.value_at_quantile(0.99));
    outcome.simulated_s = (run.now - START) as f64 / 1e6;
    outcome.wall_s = began.elapsed().as_secs_f64();
    outcome.peak_mib = peak_mib();
    Ok(outcome)
}

/// The most memory that this process has held, where the system tells.
fn peak_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).map_or(0, |kib| kib / 1024)
}

impl Run {
    fn play(&mut self, day: &Simulation) -> Result<(), String> {
        let life = 35.0;
        let capacity: f64 = self.servers.iter().map(|s| s.model.make().capacity).sum();
        let rate = capacity * day.load / life;
        let stay = Exp::new(1.0 / life).map_err(|e| e.to_string())?;
        // Decks are shared by the clients of four neighbouring sites, some 20 a deck.
        let decks = (day.servers as f64 / day.sites as f64 * 4.0 * 0.8).max(4.0);
        let deck = Zipf::new(decks, 1.0).map_err(|e| e.to_string())?;
        let load = LogNormal::new(-0.18, 0.6).map_err(|e| e.to_string())?;
        let all: Vec<usize> = (0..self.servers.len()).collect();
        let whole = Arc::new(self.entries(&all, EndpointState::Ready));
        for relay in 0..self.relays.len() {
            let mut out = Vec::new();
            self.relays[relay].endpoints_updated(self.now, &EndpointUpdate::Full(whole.clone()), &mut out);
        }
        let (mut steps, length) = day.scenario.steps();
        steps.reverse();
        let end = START + length.as_micros() as Micros;
        while self.now < end {
            self.now += STEP;
            while steps.last().is_some_and(|(at, _)| START + at.as_micros() as Micros <= self.now) {
                if let Some((_, step)) = steps.pop() {
                    self.carry_out(step, day.sites);
                }
            }
            self.deliver();
            self.finish();
            for relay in 0..self.relays.len() {
                let site = relay % day.sites;
                let here = self.relays.len() / day.sites + usize::from(site < self.relays.len() % day.sites);
                let mean =
                    rate / day.sites as f64 / here.max(1) as f64 * self.surge[site] * STEP as f64 / 1e6;
                let count = Poisson::new(mean).map_or(0.0, |p| p.sample(&mut self.rng)) as usize;
                for _ in 0..count {
                    let seconds = stay.sample(&mut self.rng).clamp(2.0, 4.0 * life);
                    let client = Client {
                        relay,
                        until: self.now + (seconds * 1e6) as Micros,
                        load: f64::min(load.sample(&mut self.rng), 4.0),
                        deck: (site as u64 / 4) << 24 | deck.sample(&mut self.rng) as u64,
                    };
                    self.ask(client);
                }
            }
            while let Some(entry) = self.coming.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let client = entry.remove();
                if client.until > self.now {
                    self.ask(client);
                }
            }
            if self.now.is_multiple_of(TICK) {
                self.tick();
            }
            self.observe(day);
        }
        Ok(())
    }

    fn entries(&self, servers: &[usize], state: EndpointState) -> Vec<Endpoint> {
        let entry = |n: &usize| {
            let server = &self.servers[*n];
            Endpoint {
                id: server.id.clone(),
                kind: None,
                weight: server.model.make().weight,
                started_at: server.model.started(),
                zone: Some(ZoneId(server.site)),
                cell: CellId(0),
                state,
            }
        };
        servers.iter().map(entry).collect()
    }

    /// News of card servers goes to each relay, in a time of its own.
    fn tell(&mut self, servers: &[usize], state: EndpointState, together: bool) {
        let number = self.told.len() as u64;
        let list = Arc::new(self.entries(servers, state));
        self.told.push(list);
        let shared = self.rng.random_range(0..=self.longest_news);
        for relay in 0..self.relays.len() {
            let late = if together { shared } else { self.rng.random_range(0..=self.longest_news) };
            self.news.push(Reverse((self.now + late, relay, number)));
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, relay, number))) = self.news.peek().copied() {
            if at > self.now {
                return;
            }
            self.news.pop();
            let update = EndpointUpdate::Delta(self.told[number as usize].clone());
            let mut out = Vec::new();
            self.relays[relay].endpoints_updated(self.now, &update, &mut out);
            self.act(relay, out);
        }
    }

    /// Sessions whose clients have had what they wanted.
    fn finish(&mut self) {
        while let Some(Reverse((at, relay, id))) = self.ends.peek().copied() {
            if at > self.now {
                return;
            }
            self.ends.pop();
            self.remove(relay, id);
        }
    }

    fn remove(&mut self, relay: usize, id: RequestId) -> Option<Client> {
        let standing = self.standing.remove(&(relay, id))?;
        self.servers[standing.server].model.close(u64::from(id.0) << 16 | relay as u64);
        self.relays[relay].connection_ended(id);
        Some(standing.client)
    }

    fn ask(&mut self, client: Client) {
        self.outcome.clients_asked += 1;
        let deck = AffinityGroup(format!("{:x}", client.deck).into());
        let began = Instant::now();
        let verdict = self.relays[client.relay].admit(self.now, Some(&deck));
        self.asks.saturating_record(began.elapsed().as_nanos() as u64);
        let reach = match verdict {
            ZoneDecision::Allow(reach) => reach,
            ZoneDecision::Reject { retry_after: away } => return self.refuse(client, away),
        };
        let Some(server) = self.draw(client.relay, reach, client.deck) else {
            return self.refuse(client, 300_000);
        };
        self.serial += 1;
        let (id, relay) = (RequestId(self.serial as u32), client.relay);
        let name = self.servers[server].id.clone();
        self.relays[relay].attempt_started(self.now, id, &name, Some(&deck));
        let home = relay % self.by_site.len();
        if !self.servers[server].up {
            let mut out = Vec::new();
            self.relays[relay].connection_ended(id);
            self.relays[relay].endpoint_signal(self.now, &name, EndpointSignal::Silent, &mut out);
            self.act(relay, out);
            return self.come_back(client);
        }
        let held = Held {
            load: client.load,
            deck: client.deck,
            foreign: self.servers[server].site != home,
            from: home,
        };
        let number = u64::from(id.0) << 16 | relay as u64;
        if self.servers[server].model.open(self.now, number, held) == Opened::Busy {
            self.relays[relay].connection_ended(id);
            return self.refuse(client, 300_000);
        }
        self.outcome.served += 1;
        self.relays[relay].connection_established(self.now, id);
        self.relays[relay].connection_load_reported(id, client.load * 1e3);
        self.ends.push(Reverse((client.until, relay, id)));
        self.standing.insert((relay, id), Standing { client, server });
    }

    fn refuse(&mut self, client: Client, away: Micros) {
        self.outcome.refused += 1;
        self.serial += 1;
        self.coming.insert((self.now + away, self.serial), client);
    }

    fn come_back(&mut self, client: Client) {
        self.serial += 1;
        let wait = self.rng.random_range(52_000..520_000);
        self.coming.insert((self.now + wait, self.serial), client);
    }

    /// A card server within reach, at home if that is open: the first of the deck's that has room, or the roomiest of
    /// some drawn. The deck's are those that come first in a race that all relays see alike.
    fn draw(&mut self, relay: usize, reach: ZoneSet, deck: u64) -> Option<usize> {
        let home = relay % self.by_site.len();
        let site = match reach.contains(Some(ZoneId(home))) {
            true => home,
            false => {
                let open: Vec<usize> =
                    (0..self.by_site.len()).filter(|s| reach.contains(Some(ZoneId(*s)))).collect();
                *open.get(self.rng.random_range(0..open.len().max(1)))?
            }
        };
        let servers = &self.by_site[site];
        let place = |n: &usize| (*n as u64 ^ deck << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        let mut race: Vec<(u64, usize)> = servers.iter().map(|n| (place(n), *n)).collect();
        race.sort_unstable();
        let room = |n: &usize| {
            let model = &self.servers[*n].model;
            (1.5 - model.x0(self.now)) * model.capacity(self.now)
        };
        let light = |n: &usize| self.servers[*n].model.x0(self.now) < 0.65;
        let first = race.iter().map(|(_, n)| *n).take(4).find(light);
        let drawn = (0..3).map(|_| servers[self.rng.random_range(0..servers.len())]);
        first.or_else(|| drawn.max_by(|a, b| room(a).total_cmp(&room(b))))
    }

    fn act(&mut self, relay: usize, out: Vec<ZoneAction>) {
        for action in out {
            match action {
                ZoneAction::Log(_) => {}
                ZoneAction::MigrateConnection(id) => {
                    if let Some(client) = self.remove(relay, id) {
                        self.outcome.moves += 1;
                        *self.moved.entry(self.now / 1_000_000).or_default() += 1;
                        self.come_back(client);
                    }
                }
                ZoneAction::CheckHealth(id) => {
                    let Some(server) = self.by_id.get(&id).copied() else { continue };
                    let alive = self.servers[server].up;
                    let signal = if alive { EndpointSignal::Alive } else { EndpointSignal::Silent };
                    let mut out = Vec::new();
                    self.relays[relay].endpoint_signal(self.now, &id, signal, &mut out);
                    if alive {
                        let report = self.servers[server].model.report(self.now);
                        self.relays[relay].load_reported(self.now, &id, report.x0);
                    }
                    self.act(relay, out);
                }
            }
        }
    }

    fn tick(&mut self) {
        for relay in 0..self.relays.len() {
            let home = relay % self.by_site.len();
            if (self.now + relay as Micros * TICK).is_multiple_of(REPORTS) {
                for place in 0..self.by_site[home].len() {
                    let server = self.by_site[home][place];
                    if self.servers[server].up {
                        let report = self.servers[server].model.report(self.now);
                        let id = self.servers[server].id.clone();
                        self.relays[relay].load_reported(self.now, &id, report.x0);
                    }
                }
            }
            let mut out = Vec::new();
            self.relays[relay].tick(self.now, &mut out);
            self.act(relay, out);
        }
    }

    fn observe(&mut self, day: &Simulation) {
        let step = STEP as f64 / 1e6;
        let waiting = self.coming.values().filter(|c| c.until > self.now).count();
        self.wanted += (self.standing.len() + waiting) as f64 * step;
        self.outcome.most_sessions = self.outcome.most_sessions.max(self.standing.len());
        let mut sites = vec![(0.0, 0.0); day.sites];
        for server in self.servers.iter().filter(|s| s.up) {
            let model = &server.model;
            self.good += model.sessions() as f64 * model.in_time(self.now) * step;
            sites[server.site].0 += model.foreign();
            sites[server.site].1 += model.capacity(self.now);
            if model.started() > 0 {
                let worst = &mut self.outcome.worst_return_multiple;
                *worst = worst.max(model.worst_multiple());
            }
        }
        for (foreign, capacity) in sites.into_iter().filter(|s| s.1 > 0.0) {
            self.outcome.worst_spill = self.outcome.worst_spill.max(foreign / capacity);
        }
    }

    fn carry_out(&mut self, step: Step, sites: usize) {
        match step {
            Step::Kill { site, but } => {
                let down: Vec<usize> = self.by_site[site % sites].iter().copied().skip(but).collect();
                self.end(&down);
                self.tell(&down, EndpointState::Removed, false);
            }
            Step::Silence(site) => {
                let down = self.by_site[site % sites].clone();
                self.end(&down);
            }
            Step::Return { site, most, together } => {
                let back = self.by_site[site % sites].iter().copied().filter(|n| !self.servers[*n].up);
                let back: Vec<usize> = back.take(most).collect();
                for server in &back {
                    let server = &mut self.servers[*server];
                    server.model = CardModel::new(server.model.make().clone(), self.now);
                    server.up = true;
                }
                self.tell(&back, EndpointState::Ready, together);
            }
            // Refused at the start.
            Step::KillRelays(_) => {}
            Step::Surge(site, factor) => self.surge[site % sites] = factor,
            Step::Drain(site) => {
                let one: Vec<usize> = self.by_site[site % sites].iter().copied().take(1).collect();
                self.tell(&one, EndpointState::Draining, true);
            }
        }
    }

    fn end(&mut self, servers: &[usize]) {
        for server in servers {
            self.outcome.servers_pushed_over += u64::from(self.servers[*server].model.fallen());
            self.servers[*server].up = false;
        }
        let broken: Vec<(usize, RequestId)> =
            self.standing.iter().filter(|(_, s)| !self.servers[s.server].up).map(|(key, _)| *key).collect();
        for (relay, id) in broken {
            if let Some(client) = self.remove(relay, id) {
                self.come_back(client);
            }
        }
        for server in servers {
            let server = &mut self.servers[*server];
            server.model = CardModel::new(server.model.make().clone(), server.model.started());
        }
    }
}
