//! An environment on loopback: endpoints, discovery, a front proxy, clients, and relays as real processes. Everything but
//! the relays lives in one thread of this process and shares [`Environment`]; each part can be made to fail on command.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use super::discovery::{self, EmulatedDiscovery};
use super::front_proxy::FrontProxy;
use crate::emulators::endpoint_model::{EndpointModel, EndpointParameters, Micros};
use crate::report::observations::{ClientObservations, EndpointObservations};

/// How large an environment is.
#[derive(Clone, Debug)]
pub struct EnvironmentSize {
    /// The names of its sites.
    pub sites: Vec<String>,
    /// Endpoints in all, dealt out evenly.
    pub endpoints: usize,
    /// Relays in all, dealt out evenly.
    pub relays: usize,
    /// New clients a second in all.
    pub clients_per_second: f64,
    /// How long a client wants its connection on average, in seconds.
    pub mean_connection_s: f64,
    /// Affinity groups that clients share.
    pub affinity_groups: u64,
}

/// What an endpoint's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves.
    Serving,
    /// Its machine has vanished: connections stay open and silent, new ones are never answered.
    Silent,
    /// Its process has died: connections are reset, new ones rejected.
    Dead,
}

/// An endpoint of the environment.
pub struct EmulatedEndpoint {
    /// Its id in discovery.
    pub id: String,
    /// Its site.
    pub site: usize,
    /// Its model.
    pub model: EndpointModel,
    /// What its process does; its tasks follow it.
    pub process_state: watch::Sender<ProcessState>,
    /// It drains.
    pub draining: watch::Sender<bool>,
    /// When its process last ended.
    pub ended: Micros,
    /// It has come back at least once: the rule on cold endpoints is judged for it.
    pub returned: bool,
}

/// What all parts share.
pub struct Environment {
    /// Its size.
    pub size: EnvironmentSize,
    /// Endpoints.
    pub endpoints: Vec<EmulatedEndpoint>,
    /// The endpoint list.
    pub discovery: EmulatedDiscovery,
    /// The front proxy.
    pub front_proxy: FrontProxy,
    /// The clients' observations.
    pub client_observations: ClientObservations,
    /// The endpoints' book.
    pub endpoint_observations: EndpointObservations,
    /// Attempts of each request: how many so far, and how many are out.
    pub attempts: BTreeMap<String, (u32, u32)>,
    /// Clients of each site that want a connection now.
    pub wanting_clients: Vec<u64>,
    /// The sites that the scenario does not touch.
    pub unaffected_sites: Vec<usize>,
    /// Arrivals of each site, against the usual.
    pub arrival_factor: Vec<f64>,
    /// How often each relay has been killed.
    pub relay_kills: Vec<u32>,
    /// No more clients come.
    pub closing: bool,
    /// What has happened, for people.
    pub events: Vec<(Micros, String)>,
    /// When the environment began.
    pub began: Micros,
    unix_start: Micros,
    clock: Instant,
    next_connection_number: u64,
    net: [u8; 2],
    port: u16,
    seed: u64,
}

/// The environment as its parts share it. No borrow is held across an await.
pub type SharedEnvironment = Rc<RefCell<Environment>>;

/// Endpoints' machine kinds: share, weight, usual connections when warm, part of it when cold.
const MACHINE_KINDS: [(f64, f64, f64, f64); 3] =
    [(0.41, 1.6, 54.0, 0.42), (0.38, 1.0, 34.0, 0.45), (0.21, 0.6, 20.0, 0.46)];
/// The longest warm-up of an endpoint.
pub const MAX_WARM_UP: Micros = 9_000_000;
/// What an affinity group costs on each endpoint that holds it, in usual connections.
pub const AFFINITY_GROUP_COST: f64 = 3.0;

impl Environment {
    /// An environment of that size; all random numbers follow from the seed.
    pub fn new(size: EnvironmentSize, seed: u64) -> SharedEnvironment {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_start = since.as_micros() as Micros;
        let sites = size.sites.len();
        let endpoints = (0..size.endpoints).map(|number| {
            // Kinds are dealt out so that every site has its part of each, whatever the seed.
            let place = ((number / sites) as f64 * 0.37 + (number % sites) as f64 * 0.21).fract();
            let kind = MACHINE_KINDS.iter().scan(0.0, |sum, k| {
                *sum += k.0;
                Some((*sum, k))
            });
            let kind = kind.into_iter().find(|(sum, _)| place < *sum).map_or(&MACHINE_KINDS[2], |(_, k)| k);
            let parameters = EndpointParameters {
                weight: kind.1,
                capacity: kind.2 * rng.random_range(0.92..1.08),
                cold_capacity_fraction: kind.3 * rng.random_range(0.9..1.1),
                warm_up: rng.random_range(6_000_000..MAX_WARM_UP),
                affinity_group_cost: AFFINITY_GROUP_COST,
                report_interval: rng.random_range(370_000..840_000),
                report_delay: rng.random_range(180_000..460_000),
            };
            EmulatedEndpoint {
                id: format!("s-{:08x}", rng.random::<u32>()),
                site: number % sites,
                model: EndpointModel::new(parameters, 0),
                process_state: watch::Sender::new(ProcessState::Serving),
                draining: watch::Sender::new(false),
                ended: 0,
                returned: false,
            }
        });
        let endpoints: Vec<EmulatedEndpoint> = endpoints.collect();
        let front_proxy = FrontProxy::new(size.relays, sites);
        let net = [rng.random_range(32..224), rng.random_range(0..250)];
        // The process number keeps worlds apart that run beside each other with the same seed.
        let port = 10_000 + ((rng.random::<u32>() ^ std::process::id()) % 20_000) as u16;
        let environment = Rc::new(RefCell::new(Environment {
            discovery: EmulatedDiscovery::default(),
            front_proxy,
            client_observations: ClientObservations::default(),
            endpoint_observations: EndpointObservations::default(),
            attempts: BTreeMap::new(),
            wanting_clients: vec![0; sites],
            unaffected_sites: (0..sites).collect(),
            arrival_factor: vec![1.0; sites],
            relay_kills: vec![0; size.relays],
            closing: false,
            events: Vec::new(),
            began: unix_start,
            unix_start,
            clock: Instant::now(),
            next_connection_number: 0,
            net,
            port,
            seed,
            endpoints,
            size,
        }));
        let all: Vec<usize> = (0..environment.borrow().endpoints.len()).collect();
        environment.borrow_mut().publish(&all, "active");
        environment
    }

    /// Unix microseconds.
    pub fn now(&self) -> Micros {
        self.unix_start + self.clock.elapsed().as_micros() as Micros
    }

    /// A generator of its own for each part of the environment.
    pub fn rng(&self, part: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
    }

    /// The seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Where one relay reaches an endpoint. Every relay has addresses of its own, so that an opening line tells whose it is.
    pub fn endpoint_address(&self, index: usize, relay: usize) -> SocketAddr {
        self.address(index / 200, relay, index % 200)
    }

    /// Where one relay reaches discovery.
    pub fn discovery_address(&self, relay: usize) -> SocketAddr {
        self.address(250, relay, 250)
    }

    /// Where clients reach a relay.
    pub fn relay_address(&self, relay: usize) -> SocketAddr {
        self.address(251, relay, 251)
    }

    fn address(&self, ports: usize, relay: usize, last: usize) -> SocketAddr {
        let third = (self.net[1] as usize + relay) % 250;
        let ip = Ipv4Addr::new(127, self.net[0], third as u8, (last + 1) as u8);
        let port = self.port + ports as u16 + 256 * (relay / 250) as u16;
        SocketAddr::from((ip, port))
    }

    /// A new number for a connection.
    pub fn next_connection_number(&mut self) -> u64 {
        self.next_connection_number += 1;
        self.next_connection_number
    }

    /// Notes what has happened.
    pub fn event(&mut self, text: impl Into<String>) {
        let at = self.now() - self.began;
        self.events.push((at, text.into()));
    }

    /// Discovery names these endpoints in this state, in one version.
    pub fn publish(&mut self, endpoints: &[usize], state: &'static str) {
        let mut entries = Vec::new();
        for index in endpoints {
            let endpoint = &self.endpoints[*index];
            entries.push(discovery::EndpointEntry {
                index: *index,
                id: endpoint.id.clone(),
                site: self.size.sites[endpoint.site].clone(),
                weight: endpoint.model.parameters().weight,
                started_ms: endpoint.model.started() / 1_000,
                state,
            });
        }
        self.discovery.change(entries);
    }

    /// The endpoints of a site.
    pub fn site_endpoints(&self, site: usize) -> Vec<usize> {
        (0..self.endpoints.len()).filter(|i| self.endpoints[*i].site == site).collect()
    }

    /// Adds up a span of time in the observations, and looks at what must hold.
    pub fn observe(&mut self, span: Duration) {
        let (now, span) = (self.now(), span.as_secs_f64());
        let wanting_clients = self.wanting_clients.iter().sum::<u64>() as f64;
        let unaffected_sites =
            self.unaffected_sites.iter().map(|s| self.wanting_clients[*s]).sum::<u64>() as f64;
        let mut unaffected_good = 0.0;
        let (mut good, mut load, mut load_held, mut capacity) = (0.0, 0.0, 0.0, 0.0);
        let mut sites = vec![(0.0, 0.0); self.size.sites.len()];
        for endpoint in &self.endpoints {
            if *endpoint.process_state.borrow() != ProcessState::Serving {
                continue;
            }
            let model = &endpoint.model;
            good += model.connections() as f64 * model.in_time_fraction(now);
            let of_others: usize = self.unaffected_sites.iter().map(|s| model.connections_from(*s)).sum();
            unaffected_good += of_others as f64 * model.in_time_fraction(now);
            load += model.connections() as f64;
            load_held += model.total_load();
            capacity += model.capacity(now);
            sites[endpoint.site].0 += model.foreign_load();
            sites[endpoint.site].1 += model.capacity(now);
            if endpoint.returned {
                self.endpoint_observations.worst_return_multiple =
                    self.endpoint_observations.worst_return_multiple.max(model.max_rate_multiple());
            }
        }
        self.endpoint_observations.wanted_s += wanting_clients * span;
        self.endpoint_observations.unaffected_wanted_s += unaffected_sites * span;
        self.endpoint_observations.unaffected_well_served_s += unaffected_good.min(unaffected_sites) * span;
        self.endpoint_observations.well_served_s += good.min(wanting_clients) * span;
        // What a connection costs with its part of the affinity groups, as things stand.
        let cost = if load >= 1.0 { (load_held / load).max(1.0) } else { 1.0 };
        self.endpoint_observations.allowed_s += wanting_clients.min(capacity * 0.85 / cost) * span;
        for (site, (foreign, capacity)) in sites.into_iter().enumerate() {
            // A site that is just coming back is judged by the rule on cold endpoints.
            let share = if capacity > 0.0 { foreign / capacity } else { 0.0 };
            if share > self.endpoint_observations.worst_spill {
                self.endpoint_observations.worst_spill = share;
                self.endpoint_observations.worst_spill_site = self.size.sites[site].clone();
            }
        }
    }

    /// Endpoints that have collapsed.
    pub fn collapsed(&self) -> u64 {
        self.endpoints.iter().filter(|c| c.model.collapsed()).count() as u64
    }

    /// The whole state of a site, for people.
    pub fn site_state(&self, site: usize) -> SiteState {
        let now = self.now();
        let mut line = SiteState::default();
        for endpoint in self.endpoints.iter().filter(|c| c.site == site) {
            match *endpoint.process_state.borrow() {
                ProcessState::Serving => {
                    line.serving += 1;
                    line.connections += endpoint.model.connections();
                    line.load += endpoint.model.total_load();
                    line.foreign += endpoint.model.foreign_load();
                    line.capacity += endpoint.model.capacity(now);
                }
                ProcessState::Silent => line.silent += 1,
                ProcessState::Dead => line.dead += 1,
            }
        }
        line
    }

    /// How often a relay has been killed so far.
    pub fn relay_incarnation(&self, relay: usize) -> u32 {
        self.relay_kills[relay]
    }

    /// Whether an endpoint's process ended a moment ago: breaks of its connections may only be seen now.
    pub fn recently_ended(&self, index: usize) -> bool {
        self.now() < self.endpoints[index].ended + 8_000_000
    }

    /// An endpoint's process starts anew.
    pub fn restart(&mut self, index: usize) {
        let now = self.now();
        let endpoint = &mut self.endpoints[index];
        endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), now);
        endpoint.returned = true;
        endpoint.draining.send_replace(false);
        endpoint.process_state.send_replace(ProcessState::Serving);
    }

    /// An endpoint's process dies, or its machine vanishes.
    pub fn end(&mut self, index: usize, process_state: ProcessState) {
        let now = self.now();
        let endpoint = &mut self.endpoints[index];
        if endpoint.model.collapsed() {
            self.endpoint_observations.endpoints_collapsed += 1;
        }
        self.endpoint_observations.worst_return_multiple = match endpoint.returned {
            true => self.endpoint_observations.worst_return_multiple.max(endpoint.model.max_rate_multiple()),
            false => self.endpoint_observations.worst_return_multiple,
        };
        endpoint.ended = now;
        endpoint.process_state.send_replace(process_state);
        endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), endpoint.model.started());
    }
}

/// What a site holds.
#[derive(Clone, Debug, Default)]
pub struct SiteState {
    /// Endpoints that serve, are silent, are dead.
    pub serving: usize,
    /// See `serving`.
    pub silent: usize,
    /// See `serving`.
    pub dead: usize,
    /// Connections.
    pub connections: usize,
    /// Load with affinity groups, that of foreign connections, and capacity, in usual connections.
    pub load: f64,
    /// See `load`.
    pub foreign: f64,
    /// See `load`.
    pub capacity: f64,
}
