//! The plan with which every process of a fleet starts, and the loopback addresses that follow from it.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::lease_options::LeaseOptions;
use super::link::Link;

/// Maximum number of relays; the address layout has room for no more.
pub const MAX_RELAYS: usize = 1_600;
/// Maximum number of endpoints; the address layout has room for no more.
pub const MAX_ENDPOINTS: usize = 200;
/// Maximum number of link groups; the relays of a group share their links to the endpoints.
pub const MAX_LINK_GROUPS: usize = 60;

/// The parameters that every process of a fleet reads at its start. The default has no relays and no
/// endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Second byte of all addresses of this fleet.
    #[serde(rename = "net")]
    pub network: u8,
    /// Seed of all random choices of the harness and its processes.
    pub seed: u64,
    /// Number of relays.
    pub relays: usize,
    /// Fleet size in the configuration of each relay, which may differ from `relays`.
    #[serde(rename = "told")]
    pub configured_fleet_size: usize,
    /// Number of endpoints.
    #[serde(rename = "cards")]
    pub endpoints: usize,
    /// Time that discovery works on a request for the full endpoint list, in milliseconds.
    #[serde(rename = "call_ms")]
    pub full_list_ms: u64,
    /// Number of clients of each relay.
    pub clients: usize,
    /// Endpoint list in the configuration that relays start with.
    #[serde(rename = "held")]
    pub initial_list: InitialList,
    /// Whether endpoints start with the run, in slow start; otherwise they have their full capacity from its
    /// beginning.
    #[serde(rename = "cold_cards")]
    pub cold_endpoints: bool,
    /// Kinds of links that run through the fault proxy: `list`, `cards`, `front`, `peer`, `ask`.
    pub links: Vec<String>,
    /// Folder of event logs, relay logs and configurations.
    pub folder: PathBuf,
    /// Path of the program `honeyknot-relay`.
    pub program: PathBuf,
    /// Parameters of the process that reads the plan. Endpoints: index of the process and number of such
    /// processes. Lease server: its number, and 1 if it bootstraps. Lease holder: its index and the number of
    /// holders.
    #[serde(rename = "part")]
    pub process_parameters: (usize, usize),
    /// Time over which discovery fills its list from an empty one, in milliseconds; `None` if it starts with
    /// the full list.
    pub fill_ms: Option<u64>,
    /// Whether relays form a gossip cluster.
    pub neighbors: bool,
    /// Lease servers and lease parameters, for fleets that have any.
    pub leases: LeaseOptions,
}

/// Endpoint list that relays start with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InitialList {
    /// A list some versions old, which lacks a quarter of the endpoints.
    #[default]
    Old,
    /// No list.
    #[serde(rename = "nothing")]
    Absent,
    /// An old list that lacks half of the endpoints and names as many that no longer exist.
    Stale,
}

/// Port on which relays receive gossip.
const GOSSIP_PORT: u16 = 7500;

/// Version of the endpoint list that relays start with.
pub const INITIAL_LIST_VERSION: u64 = 30;
/// Version of the endpoint list that discovery starts with, unless it fills its list from an empty one.
pub const CURRENT_LIST_VERSION: u64 = 41;

impl Plan {
    /// Returns the address of the `n`th process of a kind; the kind is the third byte for the first 200.
    pub(crate) fn address(&self, kind: u8, n: usize, port: u16) -> SocketAddr {
        let (high, low) = ((n / 200) as u8, (n % 200) as u8);
        SocketAddr::from((Ipv4Addr::new(127, self.network, kind + high, low + 1), port))
    }

    /// Returns the address on which a relay listens.
    pub fn relay_address(&self, relay: usize) -> SocketAddr {
        self.address(0, relay, 5000)
    }

    /// Returns the text of the relays' `neighbors.conf`; the first five relays are the seeds.
    pub fn neighbors_config_text(&self) -> String {
        let seeds =
            (0..self.relays.min(5)).map(|n| format!("seed {}:{GOSSIP_PORT}\n", self.relay_address(n).ip()));
        format!("fleet lab-{}\nport {GOSSIP_PORT}\n{}", self.network, seeds.collect::<String>())
    }

    /// Returns the address on which discovery listens for a relay.
    pub fn discovery_address(&self, relay: usize) -> SocketAddr {
        self.address(10, relay, 8500)
    }

    /// Returns the address on which an endpoint listens.
    pub fn endpoint_address(&self, endpoint: usize) -> SocketAddr {
        self.address(20, endpoint, 6000)
    }

    /// Returns the link group of a relay.
    pub fn link_group(&self, relay: usize) -> usize {
        relay % self.link_group_count()
    }

    /// Returns the number of link groups.
    pub fn link_group_count(&self) -> usize {
        self.relays.min(MAX_LINK_GROUPS)
    }

    /// Returns the address on which a link listens, and the one that it connects to.
    pub fn link_addresses(&self, link: Link) -> (SocketAddr, SocketAddr) {
        match link {
            Link::Discovery(relay) => (self.address(30, relay, 8500), self.discovery_address(relay)),
            Link::Client(relay) => (self.address(40, relay, 5000), self.relay_address(relay)),
            Link::Endpoint(group, endpoint) => {
                (self.address(100 + group as u8, endpoint, 6000), self.endpoint_address(endpoint))
            }
            Link::LeasePeer(from, to) => {
                (self.address(170, from * 10 + to, 7400), self.lease_server_address(to))
            }
            Link::LeaseClient(holder, to) => {
                (self.address(171 + 4 * to as u8, holder, 7400), self.lease_server_address(to))
            }
        }
    }

    /// Returns the address on which a lease server listens; `number` counts from 1.
    pub fn lease_server_address(&self, number: usize) -> SocketAddr {
        self.address(169, number, 7400)
    }

    /// Returns whether links of a kind run through the fault proxy.
    pub(crate) fn has_links(&self, kind: &str) -> bool {
        self.links.iter().any(|linked_kind| linked_kind == kind)
    }

    /// Returns the address at which a relay reaches discovery: a link's, or discovery's own.
    pub fn discovery_address_for(&self, relay: usize) -> SocketAddr {
        if self.has_links("list") {
            self.link_addresses(Link::Discovery(relay)).0
        } else {
            self.discovery_address(relay)
        }
    }

    /// Returns the address at which a relay reaches an endpoint: a link's, or the endpoint's own.
    pub fn endpoint_address_for(&self, relay: usize, endpoint: usize) -> SocketAddr {
        if self.has_links("cards") {
            self.link_addresses(Link::Endpoint(self.link_group(relay), endpoint)).0
        } else {
            self.endpoint_address(endpoint)
        }
    }

    /// Returns the address at which clients reach a relay: a link's, or the relay's own.
    pub fn relay_address_for_clients(&self, relay: usize) -> SocketAddr {
        if self.has_links("front") {
            self.link_addresses(Link::Client(relay)).0
        } else {
            self.relay_address(relay)
        }
    }

    /// Returns a random number generator; `salt` separates the uses of one seed.
    pub fn rng(&self, salt: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt)
    }

    /// Returns all links that the fault proxy runs.
    pub fn all_links(&self) -> Vec<Link> {
        let mut all = Vec::new();
        if self.has_links("list") {
            all.extend((0..self.relays).map(Link::Discovery));
        }
        if self.has_links("front") {
            all.extend((0..self.relays).map(Link::Client));
        }
        if self.has_links("cards") {
            all.extend(
                (0..self.link_group_count()).flat_map(|group| {
                    (0..self.endpoints).map(move |endpoint| Link::Endpoint(group, endpoint))
                }),
            );
        }
        let lease_servers = 1..=self.leases.servers;
        if self.has_links("peer") {
            let links_from = |from| {
                lease_servers.clone().filter(move |to| *to != from).map(move |to| Link::LeasePeer(from, to))
            };
            all.extend(lease_servers.clone().flat_map(links_from));
        }
        if self.has_links("ask") {
            all.extend(
                (0..self.relays)
                    .flat_map(|holder| lease_servers.clone().map(move |to| Link::LeaseClient(holder, to))),
            );
        }
        all
    }
}
