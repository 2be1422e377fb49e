//! The plan that every process of a fleet starts from, and the loopback addresses that follow from it.

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
/// Maximum number of groups of relays that share their links to the endpoints.
pub const MAX_LINK_GROUPS: usize = 60;

/// What every part of a fleet is told at its start. The default is a fleet of nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Second byte of all addresses of this fleet.
    #[serde(rename = "net")]
    pub network: u8,
    /// Seeds all that is drawn.
    pub seed: u64,
    /// Relays.
    pub relays: usize,
    /// The number of relays that each relay is told.
    #[serde(rename = "told")]
    pub configured_fleet_size: usize,
    /// Card servers.
    #[serde(rename = "cards")]
    pub endpoints: usize,
    /// What a whole list costs the list service, in milliseconds.
    #[serde(rename = "call_ms")]
    pub full_list_ms: u64,
    /// Clients of each relay.
    pub clients: usize,
    /// What relays hold when they start.
    #[serde(rename = "held")]
    pub initial_list: InitialList,
    /// Card servers started with the day; else they are warm.
    #[serde(rename = "cold_cards")]
    pub cold_endpoints: bool,
    /// Kinds of links that run through the fault proxy: `list`, `cards`, `front`.
    pub links: Vec<String>,
    /// The folder of books, logs and configurations.
    pub folder: PathBuf,
    /// The relays' program.
    pub program: PathBuf,
    /// Which card servers this part runs, of how many such parts.
    #[serde(rename = "part")]
    pub process_parameters: (usize, usize),
    /// The list service starts with an empty list and fills it over this many milliseconds.
    pub fill_ms: Option<u64>,
    /// Relays know of each other.
    pub neighbors: bool,
    /// Lease servers and lease parameters, for fleets that have any.
    pub leases: LeaseOptions,
}

/// What relays hold when they start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InitialList {
    /// A list some versions old.
    #[default]
    Old,
    /// None.
    #[serde(rename = "nothing")]
    Absent,
    /// An old list in which half of the card servers are dead and half of the living are missing.
    Stale,
}

/// Where relays hear each other.
const GOSSIP_PORT: u16 = 7500;

/// Version of the list that relays hold at the start, and of the present one.
pub const INITIAL_LIST_VERSION: u64 = 30;
/// See [`INITIAL_LIST_VERSION`].
pub const CURRENT_LIST_VERSION: u64 = 41;

impl Plan {
    pub(crate) fn address(&self, kind: u8, n: usize, port: u16) -> SocketAddr {
        let (high, low) = ((n / 200) as u8, (n % 200) as u8);
        SocketAddr::from((Ipv4Addr::new(127, self.network, kind + high, low + 1), port))
    }

    /// Where a relay listens.
    pub fn relay_address(&self, n: usize) -> SocketAddr {
        self.address(0, n, 5000)
    }

    /// The operators' file for relays that know of each other; the first five are called at a start.
    pub fn neighbors_config_text(&self) -> String {
        let seeds =
            (0..self.relays.min(5)).map(|n| format!("seed {}:{GOSSIP_PORT}\n", self.relay_address(n).ip()));
        format!("fleet lab-{}\nport {GOSSIP_PORT}\n{}", self.network, seeds.collect::<String>())
    }

    /// Where the list service answers a relay.
    pub fn discovery_address(&self, n: usize) -> SocketAddr {
        self.address(10, n, 8500)
    }

    /// Where a card server listens.
    pub fn endpoint_address(&self, s: usize) -> SocketAddr {
        self.address(20, s, 6000)
    }

    /// The group whose links to card servers a relay shares.
    pub fn link_group(&self, relay: usize) -> usize {
        relay % self.link_group_count()
    }

    /// Such groups.
    pub fn link_group_count(&self) -> usize {
        self.relays.min(MAX_LINK_GROUPS)
    }

    /// Where a link listens, and where it leads.
    pub fn link_addresses(&self, link: Link) -> (SocketAddr, SocketAddr) {
        match link {
            Link::Discovery(n) => (self.address(30, n, 8500), self.discovery_address(n)),
            Link::Client(n) => (self.address(40, n, 5000), self.relay_address(n)),
            Link::Endpoint(group, s) => (self.address(100 + group as u8, s, 6000), self.endpoint_address(s)),
            Link::LeasePeer(from, to) => {
                (self.address(170, from * 10 + to, 7400), self.lease_server_address(to))
            }
            Link::LeaseClient(n, to) => {
                (self.address(171 + 4 * to as u8, n, 7400), self.lease_server_address(to))
            }
        }
    }

    /// Where a keeper listens, from 1.
    pub fn lease_server_address(&self, number: usize) -> SocketAddr {
        self.address(169, number, 7400)
    }

    pub(crate) fn has_links(&self, kind: &str) -> bool {
        self.links.iter().any(|k| k == kind)
    }

    /// Where a relay reaches the list service.
    pub fn discovery_address_for(&self, relay: usize) -> SocketAddr {
        if self.has_links("list") {
            self.link_addresses(Link::Discovery(relay)).0
        } else {
            self.discovery_address(relay)
        }
    }

    /// Where a relay reaches a card server.
    pub fn endpoint_address_for(&self, relay: usize, s: usize) -> SocketAddr {
        if self.has_links("cards") {
            self.link_addresses(Link::Endpoint(self.link_group(relay), s)).0
        } else {
            self.endpoint_address(s)
        }
    }

    /// Where clients reach a relay.
    pub fn relay_address_for_clients(&self, n: usize) -> SocketAddr {
        if self.has_links("front") { self.link_addresses(Link::Client(n)).0 } else { self.relay_address(n) }
    }

    /// Random numbers of one purpose.
    pub fn rng(&self, salt: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt)
    }

    /// All links that the fault proxy runs.
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
                (0..self.link_group_count())
                    .flat_map(|g| (0..self.endpoints).map(move |s| Link::Endpoint(g, s))),
            );
        }
        let keepers = 1..=self.leases.servers;
        if self.has_links("peer") {
            let others =
                |from| keepers.clone().filter(move |to| *to != from).map(move |to| Link::LeasePeer(from, to));
            all.extend(keepers.clone().flat_map(others));
        }
        if self.has_links("ask") {
            all.extend(
                (0..self.relays).flat_map(|n| keepers.clone().map(move |to| Link::LeaseClient(n, to))),
            );
        }
        all
    }
}
