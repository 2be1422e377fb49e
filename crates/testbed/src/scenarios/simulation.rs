//! The decisions on sites at size: many relays' parts in one process on a virtual clock, no sockets.
//!
//! Each relay hears endpoint updates at a time of its own and gets reports late; within the reach that its part allows,
//! an endpoint is drawn by weight, without the decision module. So what holds here is held by `crates/zone-failover` alone.

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

use crate::emulators::endpoint_model::{Admission, ConnectionLoad, EndpointModel, EndpointParameters};
use crate::emulators::environment::{AFFINITY_GROUP_COST, MAX_WARM_UP};
use crate::scenarios::scenario::{FaultStep, Scenario};

/// The virtual clock's step.
const CLOCK_STEP: Micros = 50_000;
/// Relays tend their sites this often.
const TICK_INTERVAL: Micros = 250_000;
/// Relays hear of their own site's loads this often.
const REPORT_INTERVAL: Micros = 1_500_000;
/// The clock does not begin at 0: start times of 0 mean long ago.
const START: Micros = 1_000_000_000;

/// What is to be simulated.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Sites, the third of which is lost.
    pub sites: usize,
    /// Endpoints in all.
    pub endpoints: usize,
    /// Relays in all.
    pub relays: usize,
    /// Load of the fleet when nothing is wrong, affinity groups left out.
    pub load: f64,
    /// What goes wrong.
    pub scenario: Scenario,
    /// The operator configuration; names of sites in it are not used.
    pub config: ZoneFailoverConfig,
    /// The seed.
    pub seed: u64,
    /// The longest that an endpoint update takes to a relay.
    pub max_update_delay: Duration,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationReport {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Sites, endpoints and relays.
    pub sites: usize,
    /// See `sites`.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// See `sites`.
    pub relays: usize,
    /// Requests, those served, and those rejected.
    pub clients_asked: u64,
    /// See `clients_asked`.
    pub served: u64,
    /// See `clients_asked`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Connections that clients had when most stood.
    #[serde(rename = "most_sessions")]
    pub max_connections: usize,
    /// The limit that is stated, and the largest share that was held.
    pub spill_limit: f64,
    /// See `spill_limit`.
    pub worst_spill: f64,
    /// Cold endpoints that collapsed, and the largest multiple of present capacity that one was sent.
    #[serde(rename = "servers_pushed_over")]
    pub endpoints_collapsed: u64,
    /// See `endpoints_collapsed`.
    pub worst_return_multiple: f64,
    /// Migrations, and the most of a second.
    #[serde(rename = "moves")]
    pub migrations: u64,
    /// See `migrations`.
    #[serde(rename = "worst_moves_per_s")]
    pub max_migrations_per_second: u64,
    /// Share of the wanted seconds that were well served.
    pub well_served: f64,
    /// Nanoseconds of a new connection's decision: median and 99th percentile.
    #[serde(rename = "ask_p50_ns")]
    pub decision_p50_ns: u64,
    /// See `decision_p50_ns`.
    #[serde(rename = "ask_p99_ns")]
    pub decision_p99_ns: u64,
    /// Simulated and real seconds.
    pub simulated_s: f64,
    /// See `simulated_s`.
    pub wall_s: f64,
    /// The most memory that this process has held so far, in MiB; 0 where it is not known.
    pub peak_mib: u64,
}

struct SimulatedEndpoint {
    id: EndpointId,
    site: usize,
    model: EndpointModel,
    up: bool,
}

/// A client: its site's relay, and what it wants.
#[derive(Clone)]
struct Client {
    relay: usize,
    until: Micros,
    load: f64,
    affinity_group: u64,
}

struct EstablishedConnection {
    client: Client,
    endpoint: usize,
}

struct SimulationRun {
    now: Micros,
    rng: Pcg64Mcg,
    endpoints: Vec<SimulatedEndpoint>,
    by_id: BTreeMap<EndpointId, usize>,
    by_site: Vec<Vec<usize>>,
    relays: Vec<ZoneFailover>,
    /// Updates on their way to a relay.
    updates: BinaryHeap<Reverse<(Micros, usize, u64)>>,
    published: Vec<Arc<Vec<Endpoint>>>,
    /// Clients that come back.
    reconnecting: BTreeMap<(Micros, u64), Client>,
    established: BTreeMap<(usize, RequestId), EstablishedConnection>,
    ends: BinaryHeap<Reverse<(Micros, usize, RequestId)>>,
    serial: u64,
    outcome: SimulationReport,
    migrations_by_second: BTreeMap<Micros, u64>,
    decision_ns: Histogram<u64>,
    wanted: f64,
    good: f64,
    arrival_factor: Vec<f64>,
    max_update_delay: Micros,
}

/// Plays a run. Equal inputs give equal outcomes but for the wall clock's figures.
pub fn simulate(simulation: &Simulation) -> Result<SimulationReport, String> {
    if matches!(simulation.scenario, Scenario::Partial | Scenario::Relays | Scenario::Surge) {
        return Err(
            "this scenario turns on the decision module's choice of card servers: play it with real relays"
                .into(),
        );
    }
    let began = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(simulation.seed);
    let names: Vec<String> = (0..simulation.sites).map(|n| format!("site-{n}")).collect();
    let endpoints: Vec<SimulatedEndpoint> = (0..simulation.endpoints)
        .map(|number| {
            let weight = [1.6, 1.0, 0.6][number / simulation.sites % 3];
            let parameters = EndpointParameters {
                weight,
                capacity: 34.0 * weight * rng.random_range(0.94..1.06),
                cold_capacity_fraction: rng.random_range(0.35..0.5),
                warm_up: rng.random_range(6_000_000..MAX_WARM_UP),
                affinity_group_cost: AFFINITY_GROUP_COST,
                report_interval: rng.random_range(370_000..840_000),
                report_delay: rng.random_range(180_000..460_000),
            };
            let id = EndpointId(format!("s-{number:06x}").into());
            SimulatedEndpoint {
                id,
                site: number % simulation.sites,
                model: EndpointModel::new(parameters, 0),
                up: true,
            }
        })
        .collect();
    let mut by_site = vec![Vec::new(); simulation.sites];
    endpoints.iter().enumerate().for_each(|(n, s)| by_site[s.site].push(n));
    let relays = (0..simulation.relays).map(|number| {
        let setup = ZoneFailoverSetup {
            config: simulation.config.clone(),
            zone_names: names.clone(),
            home_zone: ZoneId(number % simulation.sites),
            fleet_size: simulation.relays as u32,
            slow_start_duration: MAX_WARM_UP,
            initial_capacity: 0.32,
            seed: simulation.seed ^ (number as u64) << 20,
        };
        ZoneFailover::new(setup, START)
    });
    let relays = relays.collect::<Result<Vec<ZoneFailover>, _>>().map_err(|error| error.to_string())?;
    let mut run = SimulationRun {
        now: START,
        by_id: endpoints.iter().enumerate().map(|(n, s)| (s.id.clone(), n)).collect(),
        endpoints,
        by_site,
        relays,
        updates: BinaryHeap::new(),
        published: Vec::new(),
        reconnecting: BTreeMap::new(),
        established: BTreeMap::new(),
        ends: BinaryHeap::new(),
        serial: 0,
        outcome: SimulationReport {
            scenario: format!("{:?}", simulation.scenario).to_lowercase(),
            seed: simulation.seed,
            sites: simulation.sites,
            endpoints: simulation.endpoints,
            relays: simulation.relays,
            clients_asked: 0,
            served: 0,
            rejected: 0,
            max_connections: 0,
            spill_limit: simulation.config.spill_limit,
            worst_spill: 0.0,
            endpoints_collapsed: 0,
            worst_return_multiple: 0.0,
            migrations: 0,
            max_migrations_per_second: 0,
            well_served: 0.0,
            decision_p50_ns: 0,
            decision_p99_ns: 0,
            simulated_s: 0.0,
            wall_s: 0.0,
            peak_mib: 0,
        },
        migrations_by_second: BTreeMap::new(),
        decision_ns: Histogram::new_with_bounds(1, 10_000_000, 3).map_err(|e| e.to_string())?,
        wanted: 0.0,
        good: 0.0,
        arrival_factor: vec![1.0; simulation.sites],
        max_update_delay: simulation.max_update_delay.as_micros() as Micros,
        rng,
    };
    run.run(simulation)?;
    let mut outcome = run.outcome;
    outcome.endpoints_collapsed += run.endpoints.iter().filter(|s| s.model.collapsed()).count() as u64;
    outcome.max_migrations_per_second = run.migrations_by_second.values().copied().max().unwrap_or(0);
    outcome.well_served = run.good / run.wanted.max(1e-9);
    (outcome.decision_p50_ns, outcome.decision_p99_ns) =
        (run.decision_ns.value_at_quantile(0.5), run.decision_ns.value_at_quantile(0.99));
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

impl SimulationRun {
    fn run(&mut self, simulation: &Simulation) -> Result<(), String> {
        let mean_connection_s = 35.0;
        let capacity: f64 = self.endpoints.iter().map(|s| s.model.parameters().capacity).sum();
        let rate = capacity * simulation.load / mean_connection_s;
        let duration = Exp::new(1.0 / mean_connection_s).map_err(|e| e.to_string())?;
        // Affinity groups are shared by the clients of four neighbouring sites, some 20 an affinity group.
        let affinity_groups = (simulation.endpoints as f64 / simulation.sites as f64 * 4.0 * 0.8).max(4.0);
        let affinity_group = Zipf::new(affinity_groups, 1.0).map_err(|e| e.to_string())?;
        let load = LogNormal::new(-0.18, 0.6).map_err(|e| e.to_string())?;
        let all: Vec<usize> = (0..self.endpoints.len()).collect();
        let whole = Arc::new(self.entries(&all, EndpointState::Ready));
        for relay in 0..self.relays.len() {
            let mut out = Vec::new();
            self.relays[relay].endpoints_updated(self.now, &EndpointUpdate::Full(whole.clone()), &mut out);
        }
        let (mut steps, length) = simulation.scenario.steps();
        steps.reverse();
        let end = START + length.as_micros() as Micros;
        while self.now < end {
            self.now += CLOCK_STEP;
            while steps.last().is_some_and(|(at, _)| START + at.as_micros() as Micros <= self.now) {
                if let Some((_, step)) = steps.pop() {
                    self.apply(step, simulation.sites);
                }
            }
            self.deliver_updates();
            self.end_due_connections();
            for relay in 0..self.relays.len() {
                let site = relay % simulation.sites;
                let here = self.relays.len() / simulation.sites
                    + usize::from(site < self.relays.len() % simulation.sites);
                let mean = rate / simulation.sites as f64 / here.max(1) as f64
                    * self.arrival_factor[site]
                    * CLOCK_STEP as f64
                    / 1e6;
                let count = Poisson::new(mean).map_or(0.0, |p| p.sample(&mut self.rng)) as usize;
                for _ in 0..count {
                    let seconds = duration.sample(&mut self.rng).clamp(2.0, 4.0 * mean_connection_s);
                    let client = Client {
                        relay,
                        until: self.now + (seconds * 1e6) as Micros,
                        load: f64::min(load.sample(&mut self.rng), 4.0),
                        affinity_group: (site as u64 / 4) << 24 | affinity_group.sample(&mut self.rng) as u64,
                    };
                    self.request_connection(client);
                }
            }
            while let Some(entry) = self.reconnecting.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let client = entry.remove();
                if client.until > self.now {
                    self.request_connection(client);
                }
            }
            if self.now.is_multiple_of(TICK_INTERVAL) {
                self.tick();
            }
            self.observe(simulation);
        }
        Ok(())
    }

    fn entries(&self, endpoints: &[usize], state: EndpointState) -> Vec<Endpoint> {
        let entry = |n: &usize| {
            let endpoint = &self.endpoints[*n];
            Endpoint {
                id: endpoint.id.clone(),
                kind: None,
                weight: endpoint.model.parameters().weight,
                started_at: endpoint.model.started(),
                zone: Some(ZoneId(endpoint.site)),
                cell: CellId(0),
                state,
            }
        };
        endpoints.iter().map(entry).collect()
    }

    /// Sends an endpoint update to each relay, in a time of its own.
    fn publish(&mut self, endpoints: &[usize], state: EndpointState, in_one_update: bool) {
        let number = self.published.len() as u64;
        let list = Arc::new(self.entries(endpoints, state));
        self.published.push(list);
        let shared = self.rng.random_range(0..=self.max_update_delay);
        for relay in 0..self.relays.len() {
            let late = if in_one_update { shared } else { self.rng.random_range(0..=self.max_update_delay) };
            self.updates.push(Reverse((self.now + late, relay, number)));
        }
    }

    fn deliver_updates(&mut self) {
        while let Some(Reverse((at, relay, number))) = self.updates.peek().copied() {
            if at > self.now {
                return;
            }
            self.updates.pop();
            let update = EndpointUpdate::Delta(self.published[number as usize].clone());
            let mut out = Vec::new();
            self.relays[relay].endpoints_updated(self.now, &update, &mut out);
            self.perform(relay, out);
        }
    }

    /// Connections whose clients have had what they wanted.
    fn end_due_connections(&mut self) {
        while let Some(Reverse((at, relay, id))) = self.ends.peek().copied() {
            if at > self.now {
                return;
            }
            self.ends.pop();
            self.remove(relay, id);
        }
    }

    fn remove(&mut self, relay: usize, id: RequestId) -> Option<Client> {
        let established = self.established.remove(&(relay, id))?;
        self.endpoints[established.endpoint].model.close(u64::from(id.0) << 16 | relay as u64);
        self.relays[relay].connection_ended(id);
        Some(established.client)
    }

    fn request_connection(&mut self, client: Client) {
        self.outcome.clients_asked += 1;
        let affinity_group = AffinityGroup(format!("{:x}", client.affinity_group).into());
        let began = Instant::now();
        let decision = self.relays[client.relay].admit(self.now, Some(&affinity_group));
        self.decision_ns.saturating_record(began.elapsed().as_nanos() as u64);
        let allowed_zones = match decision {
            ZoneDecision::Allow(allowed_zones) => allowed_zones,
            ZoneDecision::Reject { retry_after } => return self.reject(client, retry_after),
        };
        let Some(endpoint) = self.choose_endpoint(client.relay, allowed_zones, client.affinity_group) else {
            return self.reject(client, 300_000);
        };
        self.serial += 1;
        let (id, relay) = (RequestId(self.serial as u32), client.relay);
        let name = self.endpoints[endpoint].id.clone();
        self.relays[relay].attempt_started(self.now, id, &name, Some(&affinity_group));
        let home = relay % self.by_site.len();
        if !self.endpoints[endpoint].up {
            let mut out = Vec::new();
            self.relays[relay].connection_ended(id);
            self.relays[relay].endpoint_signal(self.now, &name, EndpointSignal::Silent, &mut out);
            self.perform(relay, out);
            return self.reconnect_later(client);
        }
        let held = ConnectionLoad {
            load: client.load,
            affinity_group: client.affinity_group,
            foreign: self.endpoints[endpoint].site != home,
            relay_site: home,
        };
        let number = u64::from(id.0) << 16 | relay as u64;
        if self.endpoints[endpoint].model.open(self.now, number, held) == Admission::Rejected {
            self.relays[relay].connection_ended(id);
            return self.reject(client, 300_000);
        }
        self.outcome.served += 1;
        self.relays[relay].connection_established(self.now, id);
        self.relays[relay].connection_load_reported(id, client.load * 1e3);
        self.ends.push(Reverse((client.until, relay, id)));
        self.established.insert((relay, id), EstablishedConnection { client, endpoint });
    }

    fn reject(&mut self, client: Client, retry_after: Micros) {
        self.outcome.rejected += 1;
        self.serial += 1;
        self.reconnecting.insert((self.now + retry_after, self.serial), client);
    }

    fn reconnect_later(&mut self, client: Client) {
        self.serial += 1;
        let wait = self.rng.random_range(52_000..520_000);
        self.reconnecting.insert((self.now + wait, self.serial), client);
    }

    /// An endpoint of the allowed zones, in the home zone if that is open: the first of the affinity group's that has room, or the roomiest of
    /// some drawn. The affinity group's are those that come first in a race that all relays see alike.
    fn choose_endpoint(
        &mut self, relay: usize, allowed_zones: ZoneSet, affinity_group: u64,
    ) -> Option<usize> {
        let home = relay % self.by_site.len();
        let site = match allowed_zones.contains(Some(ZoneId(home))) {
            true => home,
            false => {
                let open: Vec<usize> =
                    (0..self.by_site.len()).filter(|s| allowed_zones.contains(Some(ZoneId(*s)))).collect();
                *open.get(self.rng.random_range(0..open.len().max(1)))?
            }
        };
        let endpoints = &self.by_site[site];
        let place = |n: &usize| (*n as u64 ^ affinity_group << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        let mut race: Vec<(u64, usize)> = endpoints.iter().map(|n| (place(n), *n)).collect();
        race.sort_unstable();
        let room = |n: &usize| {
            let model = &self.endpoints[*n].model;
            (1.5 - model.x0(self.now)) * model.capacity(self.now)
        };
        let light = |n: &usize| self.endpoints[*n].model.x0(self.now) < 0.65;
        let first = race.iter().map(|(_, n)| *n).take(4).find(light);
        let drawn = (0..3).map(|_| endpoints[self.rng.random_range(0..endpoints.len())]);
        first.or_else(|| drawn.max_by(|a, b| room(a).total_cmp(&room(b))))
    }

    fn perform(&mut self, relay: usize, out: Vec<ZoneAction>) {
        for action in out {
            match action {
                ZoneAction::Log(_) => {}
                ZoneAction::MigrateConnection(id) => {
                    if let Some(client) = self.remove(relay, id) {
                        self.outcome.migrations += 1;
                        *self.migrations_by_second.entry(self.now / 1_000_000).or_default() += 1;
                        self.reconnect_later(client);
                    }
                }
                ZoneAction::CheckHealth(id) => {
                    let Some(endpoint) = self.by_id.get(&id).copied() else { continue };
                    let alive = self.endpoints[endpoint].up;
                    let signal = if alive { EndpointSignal::Alive } else { EndpointSignal::Silent };
                    let mut out = Vec::new();
                    self.relays[relay].endpoint_signal(self.now, &id, signal, &mut out);
                    if alive {
                        let report = self.endpoints[endpoint].model.report(self.now);
                        self.relays[relay].load_reported(self.now, &id, report.x0);
                    }
                    self.perform(relay, out);
                }
            }
        }
    }

    fn tick(&mut self) {
        for relay in 0..self.relays.len() {
            let home = relay % self.by_site.len();
            if (self.now + relay as Micros * TICK_INTERVAL).is_multiple_of(REPORT_INTERVAL) {
                for place in 0..self.by_site[home].len() {
                    let endpoint = self.by_site[home][place];
                    if self.endpoints[endpoint].up {
                        let report = self.endpoints[endpoint].model.report(self.now);
                        let id = self.endpoints[endpoint].id.clone();
                        self.relays[relay].load_reported(self.now, &id, report.x0);
                    }
                }
            }
            let mut out = Vec::new();
            self.relays[relay].tick(self.now, &mut out);
            self.perform(relay, out);
        }
    }

    fn observe(&mut self, simulation: &Simulation) {
        let step = CLOCK_STEP as f64 / 1e6;
        let waiting = self.reconnecting.values().filter(|c| c.until > self.now).count();
        self.wanted += (self.established.len() + waiting) as f64 * step;
        self.outcome.max_connections = self.outcome.max_connections.max(self.established.len());
        let mut sites = vec![(0.0, 0.0); simulation.sites];
        for endpoint in self.endpoints.iter().filter(|s| s.up) {
            let model = &endpoint.model;
            self.good += model.connections() as f64 * model.in_time_fraction(self.now) * step;
            sites[endpoint.site].0 += model.foreign_load();
            sites[endpoint.site].1 += model.capacity(self.now);
            if model.started() > 0 {
                let worst = &mut self.outcome.worst_return_multiple;
                *worst = worst.max(model.max_rate_multiple());
            }
        }
        for (foreign, capacity) in sites.into_iter().filter(|s| s.1 > 0.0) {
            self.outcome.worst_spill = self.outcome.worst_spill.max(foreign / capacity);
        }
    }

    fn apply(&mut self, step: FaultStep, sites: usize) {
        match step {
            FaultStep::Kill { site, survivors } => {
                let down: Vec<usize> = self.by_site[site % sites].iter().copied().skip(survivors).collect();
                self.end(&down);
                self.publish(&down, EndpointState::Removed, false);
            }
            FaultStep::Silence(site) => {
                let down = self.by_site[site % sites].clone();
                self.end(&down);
            }
            FaultStep::Return { site, max_count, in_one_update } => {
                let back = self.by_site[site % sites].iter().copied().filter(|n| !self.endpoints[*n].up);
                let back: Vec<usize> = back.take(max_count).collect();
                for endpoint in &back {
                    let endpoint = &mut self.endpoints[*endpoint];
                    endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), self.now);
                    endpoint.up = true;
                }
                self.publish(&back, EndpointState::Ready, in_one_update);
            }
            // Rejected at the start.
            FaultStep::KillRelays(_) => {}
            FaultStep::Surge(site, factor) => self.arrival_factor[site % sites] = factor,
            FaultStep::Drain(site) => {
                let one: Vec<usize> = self.by_site[site % sites].iter().copied().take(1).collect();
                self.publish(&one, EndpointState::Draining, true);
            }
        }
    }

    fn end(&mut self, endpoints: &[usize]) {
        for endpoint in endpoints {
            self.outcome.endpoints_collapsed += u64::from(self.endpoints[*endpoint].model.collapsed());
            self.endpoints[*endpoint].up = false;
        }
        let broken: Vec<(usize, RequestId)> = self
            .established
            .iter()
            .filter(|(_, s)| !self.endpoints[s.endpoint].up)
            .map(|(key, _)| *key)
            .collect();
        for (relay, id) in broken {
            if let Some(client) = self.remove(relay, id) {
                self.reconnect_later(client);
            }
        }
        for endpoint in endpoints {
            let endpoint = &mut self.endpoints[*endpoint];
            endpoint.model =
                EndpointModel::new(endpoint.model.parameters().clone(), endpoint.model.started());
        }
    }
}
