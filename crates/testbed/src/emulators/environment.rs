//! The environment on loopback that the emulators share: its size, endpoints, discovery, front proxy and observations.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::addresses::LoopbackAddresses;
use super::discovery::{EmulatedDiscovery, EndpointEntry};
use super::emulated_endpoint::{EmulatedEndpoint, ProcessState, generate_endpoints};
use super::endpoint_model::{EndpointModel, Micros};
use super::front_proxy::FrontProxy;
use crate::report::observations::{ClientObservations, EndpointObservations};

/// How large an environment is.
#[derive(Clone, Debug)]
pub struct EnvironmentSize {
    /// The names of its zones.
    pub zones: Vec<String>,
    /// Endpoints in all, evenly over the zones.
    pub endpoints: usize,
    /// Relays in all, evenly over the zones.
    pub relays: usize,
    /// New clients a second in all.
    pub clients_per_second: f64,
    /// How long a client wants its connection on average, in seconds.
    pub mean_connection_s: f64,
    /// Affinity groups that clients share.
    pub affinity_groups: u64,
}

/// How often a request has been sent to endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestAttempts {
    /// Attempts so far.
    pub total: u32,
    /// Attempts that no endpoint has answered yet.
    pub in_flight: u32,
}

/// What all emulators share.
#[derive(Debug)]
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
    /// The endpoints' observations.
    pub endpoint_observations: EndpointObservations,
    /// Attempts of each request, by its id.
    pub attempts: BTreeMap<String, RequestAttempts>,
    /// Clients of each zone that want a connection now.
    pub active_clients: Vec<u64>,
    /// The zones that the scenario does not touch.
    pub unaffected_zones: Vec<usize>,
    /// Arrivals of each zone, against the usual.
    pub arrival_factor: Vec<f64>,
    /// How often each relay has been killed.
    pub relay_kills: Vec<u32>,
    /// No more clients come.
    pub closing: bool,
    /// What has happened, for people.
    pub events: Vec<(Micros, String)>,
    /// When the environment began.
    pub started_at: Micros,
    unix_start: Micros,
    clock: Instant,
    next_connection_number: u64,
    addresses: LoopbackAddresses,
    seed: u64,
}

/// How long after its end an endpoint counts as recently ended.
const RECENTLY: Micros = 8_000_000;

/// The environment as its parts share it. No borrow is held across an await.
pub type SharedEnvironment = Rc<RefCell<Environment>>;

impl Environment {
    /// Creates an environment of that size; all random numbers follow from the seed.
    pub fn new(size: EnvironmentSize, seed: u64) -> SharedEnvironment {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_start = since.as_micros() as Micros;
        let zones = size.zones.len();
        let endpoints = generate_endpoints(size.endpoints, zones, &mut rng);
        let front_proxy = FrontProxy::new(size.relays, zones);
        let addresses = LoopbackAddresses::generate(&mut rng);
        let environment = Rc::new(RefCell::new(Environment {
            discovery: EmulatedDiscovery::default(),
            front_proxy,
            client_observations: ClientObservations::default(),
            endpoint_observations: EndpointObservations::default(),
            attempts: BTreeMap::new(),
            active_clients: vec![0; zones],
            unaffected_zones: (0..zones).collect(),
            arrival_factor: vec![1.0; zones],
            relay_kills: vec![0; size.relays],
            closing: false,
            events: Vec::new(),
            started_at: unix_start,
            unix_start,
            clock: Instant::now(),
            next_connection_number: 0,
            addresses,
            seed,
            endpoints,
            size,
        }));
        let all: Vec<usize> = (0..environment.borrow().endpoints.len()).collect();
        environment.borrow_mut().publish(&all, "active");
        environment
    }

    /// Returns the time in Unix microseconds.
    pub fn now(&self) -> Micros {
        self.unix_start + self.clock.elapsed().as_micros() as Micros
    }

    /// Returns a random number generator of its own for each part of the environment.
    pub fn rng(&self, part: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
    }

    /// Returns the seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns where one relay reaches an endpoint. Every relay has addresses of its own, so that an opening line tells whose it is.
    pub fn endpoint_address(&self, index: usize, relay: usize) -> SocketAddr {
        self.addresses.endpoint(index, relay)
    }

    /// Returns where one relay reaches discovery.
    pub fn discovery_address(&self, relay: usize) -> SocketAddr {
        self.addresses.discovery(relay)
    }

    /// Returns where clients reach a relay.
    pub fn relay_address(&self, relay: usize) -> SocketAddr {
        self.addresses.relay(relay)
    }

    /// Returns a new number for a connection.
    pub fn next_connection_number(&mut self) -> u64 {
        self.next_connection_number += 1;
        self.next_connection_number
    }

    /// Records an event, for people.
    pub fn record_event(&mut self, text: impl Into<String>) {
        let at = self.now() - self.started_at;
        self.events.push((at, text.into()));
    }

    /// Publishes these endpoints in this state, in one version of the endpoint list.
    pub fn publish(&mut self, endpoints: &[usize], state: &'static str) {
        let mut entries = Vec::new();
        for index in endpoints {
            let endpoint = &self.endpoints[*index];
            entries.push(EndpointEntry {
                index: *index,
                id: endpoint.id.clone(),
                zone: self.size.zones[endpoint.zone].clone(),
                weight: endpoint.model.parameters().weight,
                started_ms: endpoint.model.started_at() / 1_000,
                state,
            });
        }
        self.discovery.update_entries(entries);
    }

    /// Returns the endpoints of a zone.
    pub fn zone_endpoints(&self, zone: usize) -> Vec<usize> {
        (0..self.endpoints.len()).filter(|i| self.endpoints[*i].zone == zone).collect()
    }

    /// Returns how many endpoints have collapsed and not ended since.
    pub fn collapsed_endpoints(&self) -> u64 {
        self.endpoints.iter().filter(|c| c.model.collapsed()).count() as u64
    }

    /// Returns how often a relay has been killed so far.
    pub fn relay_incarnation(&self, relay: usize) -> u32 {
        self.relay_kills[relay]
    }

    /// Returns whether an endpoint's process ended a moment ago: breaks of its connections may only be seen now.
    pub fn recently_ended(&self, index: usize) -> bool {
        self.now() < self.endpoints[index].ended_at + RECENTLY
    }

    /// Starts an endpoint's process anew.
    pub fn restart_endpoint(&mut self, index: usize) {
        let now = self.now();
        let endpoint = &mut self.endpoints[index];
        endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), now);
        endpoint.has_restarted = true;
        endpoint.draining.send_replace(false);
        endpoint.process_state.send_replace(ProcessState::Serving);
    }

    /// Ends an endpoint's process, or lets its machine vanish.
    pub fn stop_endpoint(&mut self, index: usize, process_state: ProcessState) {
        let now = self.now();
        let endpoint = &mut self.endpoints[index];
        if endpoint.model.collapsed() {
            self.endpoint_observations.endpoints_collapsed += 1;
        }
        self.endpoint_observations.worst_return_multiple = match endpoint.has_restarted {
            true => self.endpoint_observations.worst_return_multiple.max(endpoint.model.max_overload()),
            false => self.endpoint_observations.worst_return_multiple,
        };
        endpoint.ended_at = now;
        endpoint.process_state.send_replace(process_state);
        endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), endpoint.model.started_at());
    }
}
