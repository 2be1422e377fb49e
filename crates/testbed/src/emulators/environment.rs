//! The environment on loopback that all emulators share: endpoints, discovery, front proxy and observations.

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

/// The size of an environment.
#[derive(Clone, Debug)]
pub struct EnvironmentSize {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of endpoints, distributed evenly over the zones.
    pub endpoints: usize,
    /// Number of relays, distributed evenly over the zones.
    pub relays: usize,
    /// New clients per second in all zones.
    pub clients_per_second: f64,
    /// Mean time for which a client wants its connection, in seconds.
    pub mean_connection_s: f64,
    /// Number of affinity groups.
    pub affinity_groups: u64,
}

/// The attempts of one request at endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestAttempts {
    /// Number of attempts so far.
    pub total: u32,
    /// Number of attempts that have not been answered yet.
    pub in_flight: u32,
}

/// The state that all emulators share.
#[derive(Debug)]
pub struct Environment {
    /// Size of the environment.
    pub size: EnvironmentSize,
    /// The endpoints, by index.
    pub endpoints: Vec<EmulatedEndpoint>,
    /// Discovery, with the endpoint list.
    pub discovery: EmulatedDiscovery,
    /// The front proxy.
    pub front_proxy: FrontProxy,
    /// What the clients have observed.
    pub client_observations: ClientObservations,
    /// What the endpoints and discovery have observed.
    pub endpoint_observations: EndpointObservations,
    /// Attempts of each request, by request id.
    pub attempts: BTreeMap<String, RequestAttempts>,
    /// Number of clients in each zone that have or want a connection.
    pub active_clients: Vec<u64>,
    /// Indices of the zones in which the scenario makes no endpoints fail.
    pub unaffected_zones: Vec<usize>,
    /// Rate of new clients of each zone, as a multiple of the normal rate.
    pub arrival_factor: Vec<f64>,
    /// How often each relay has been killed.
    pub relay_kills: Vec<u32>,
    /// Whether the run is ending, so that no more clients are generated.
    pub closing: bool,
    /// Log of events for people, with the time of each in microseconds since the start.
    pub events: Vec<(Micros, String)>,
    /// When the environment was created, in Unix microseconds.
    pub started_at: Micros,
    unix_start: Micros,
    clock: Instant,
    next_connection_number: u64,
    addresses: LoopbackAddresses,
    seed: u64,
}

/// How long after it stopped an endpoint counts as recently stopped, in microseconds.
const RECENTLY_STOPPED: Micros = 8_000_000;

/// The environment, shared by all emulators. No borrow may be held across an `await`.
pub type SharedEnvironment = Rc<RefCell<Environment>>;

impl Environment {
    /// Creates an environment in which all endpoints run; all random numbers derive from `seed`.
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

    /// Returns the current time in Unix microseconds.
    pub fn now(&self) -> Micros {
        self.unix_start + self.clock.elapsed().as_micros() as Micros
    }

    /// Returns the random number generator of a stream. Each stream of the environment uses its own stream.
    pub fn rng(&self, stream: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream)
    }

    /// Returns the random seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the address at which a relay reaches an endpoint. It differs for each relay, so that the
    /// endpoint knows which relay a connection comes from.
    pub fn endpoint_address(&self, index: usize, relay: usize) -> SocketAddr {
        self.addresses.endpoint(index, relay)
    }

    /// Returns the address at which a relay reaches discovery.
    pub fn discovery_address(&self, relay: usize) -> SocketAddr {
        self.addresses.discovery(relay)
    }

    /// Returns the address at which clients reach a relay.
    pub fn relay_address(&self, relay: usize) -> SocketAddr {
        self.addresses.relay(relay)
    }

    /// Returns a unique number for a new connection.
    pub fn next_connection_number(&mut self) -> u64 {
        self.next_connection_number += 1;
        self.next_connection_number
    }

    /// Adds an event to the log for people.
    pub fn record_event(&mut self, text: impl Into<String>) {
        let at = self.now() - self.started_at;
        self.events.push((at, text.into()));
    }

    /// Publishes these endpoints with `state` (`active`, `leaving` or `left`), in one new version of the
    /// endpoint list.
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

    /// Returns the indices of a zone's endpoints.
    pub fn zone_endpoints(&self, zone: usize) -> Vec<usize> {
        (0..self.endpoints.len()).filter(|index| self.endpoints[*index].zone == zone).collect()
    }

    /// Returns the number of running endpoints that have collapsed.
    pub fn collapsed_endpoints(&self) -> u64 {
        self.endpoints.iter().filter(|endpoint| endpoint.model.collapsed()).count() as u64
    }

    /// Returns the incarnation of a relay: how often it has been killed so far.
    pub fn relay_incarnation(&self, relay: usize) -> u32 {
        self.relay_kills[relay]
    }

    /// Returns whether an endpoint stopped recently, so that clients may only now notice that their
    /// connections broke.
    pub fn recently_stopped(&self, index: usize) -> bool {
        self.now() < self.endpoints[index].ended_at + RECENTLY_STOPPED
    }

    /// Restarts an endpoint that has stopped.
    pub fn restart_endpoint(&mut self, index: usize) {
        let now = self.now();
        let endpoint = &mut self.endpoints[index];
        endpoint.model = EndpointModel::new(endpoint.model.parameters().clone(), now);
        endpoint.has_restarted = true;
        endpoint.draining.send_replace(false);
        endpoint.process_state.send_replace(ProcessState::Serving);
    }

    /// Stops an endpoint: it becomes dead or silent, as `process_state` says.
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
