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
    pub net: u8,
    /// Seeds all that is drawn.
    pub seed: u64,
    /// Relays.
    pub relays: usize,
    /// The number of relays that each relay is told.
    pub told: usize,
    /// Card servers.
    pub cards: usize,
    /// What a whole list costs the list service, in milliseconds.
    pub call_ms: u64,
    /// Clients of each relay.
    pub clients: usize,
    /// What relays hold when they start.
    pub held: Held,
    /// Card servers started with the day; else they are warm.
    pub cold_cards: bool,
    /// Kinds of links that run through the fault proxy: `list`, `cards`, `front`.
    pub links: Vec<String>,
    /// The folder of books, logs and configurations.
    pub folder: PathBuf,
    /// The relays' program.
    pub program: PathBuf,
    /// Which card servers this part runs, of how many such parts.
    pub part: (usize, usize),
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
pub enum Held {
    /// A list some versions old.
    #[default]
    Old,
    /// None.
    Nothing,
    /// An old list in which half of the card servers are dead and half of the living are missing.
    Stale,
}

/// Where relays hear each other.
const GOSSIP: u16 = 7500;

/// Version of the list that relays hold at the start, and of the present one.
pub const OLD_VERSION: u64 = 30;
/// See [`OLD_VERSION`].
pub const VERSION: u64 = 41;

impl Plan {
    pub(crate) fn at(&self, kind: u8, n: usize, port: u16) -> SocketAddr {
        let (high, low) = ((n / 200) as u8, (n % 200) as u8);
        SocketAddr::from((Ipv4Addr::new(127, self.net, kind + high, low + 1), port))
    }

    /// Where a relay listens.
    pub fn relay(&self, n: usize) -> SocketAddr {
        self.at(0, n, 5000)
    }

    /// The operators' file for relays that know of each other; the first five are called at a start.
    pub fn neighbors_conf(&self) -> String {
        let seeds = (0..self.relays.min(5)).map(|n| format!("seed {}:{GOSSIP}\n", self.relay(n).ip()));
        format!("fleet lab-{}\nport {GOSSIP}\n{}", self.net, seeds.collect::<String>())
    }

    /// Where the list service answers a relay.
    pub fn list(&self, n: usize) -> SocketAddr {
        self.at(10, n, 8500)
    }

    /// Where a card server listens.
    pub fn card(&self, s: usize) -> SocketAddr {
        self.at(20, s, 6000)
    }

    /// The group whose links to card servers a relay shares.
    pub fn group(&self, relay: usize) -> usize {
        relay % self.groups()
    }

    /// Such groups.
    pub fn groups(&self) -> usize {
        self.relays.min(MAX_LINK_GROUPS)
    }

    /// Where a link listens, and where it leads.
    pub fn link(&self, link: Link) -> (SocketAddr, SocketAddr) {
        match link {
            Link::List(n) => (self.at(30, n, 8500), self.list(n)),
            Link::Front(n) => (self.at(40, n, 5000), self.relay(n)),
            Link::Cards(group, s) => (self.at(100 + group as u8, s, 6000), self.card(s)),
            Link::Peer(from, to) => (self.at(170, from * 10 + to, 7400), self.keeper(to)),
            Link::Ask(n, to) => (self.at(171 + 4 * to as u8, n, 7400), self.keeper(to)),
        }
    }

    /// Where a keeper listens, from 1.
    pub fn keeper(&self, number: usize) -> SocketAddr {
        self.at(169, number, 7400)
    }

    pub(crate) fn linked(&self, kind: &str) -> bool {
        self.links.iter().any(|k| k == kind)
    }

    /// Where a relay reaches the list service.
    pub fn list_for(&self, relay: usize) -> SocketAddr {
        if self.linked("list") { self.link(Link::List(relay)).0 } else { self.list(relay) }
    }

    /// Where a relay reaches a card server.
    pub fn card_for(&self, relay: usize, s: usize) -> SocketAddr {
        if self.linked("cards") { self.link(Link::Cards(self.group(relay), s)).0 } else { self.card(s) }
    }

    /// Where clients reach a relay.
    pub fn relay_for_clients(&self, n: usize) -> SocketAddr {
        if self.linked("front") { self.link(Link::Front(n)).0 } else { self.relay(n) }
    }

    /// Random numbers of one purpose.
    pub fn rng(&self, salt: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt)
    }

    /// All links that the fault proxy runs.
    pub fn all_links(&self) -> Vec<Link> {
        let mut all = Vec::new();
        if self.linked("list") {
            all.extend((0..self.relays).map(Link::List));
        }
        if self.linked("front") {
            all.extend((0..self.relays).map(Link::Front));
        }
        if self.linked("cards") {
            all.extend((0..self.groups()).flat_map(|g| (0..self.cards).map(move |s| Link::Cards(g, s))));
        }
        let keepers = 1..=self.leases.servers;
        if self.linked("peer") {
            let others =
                |from| keepers.clone().filter(move |to| *to != from).map(move |to| Link::Peer(from, to));
            all.extend(keepers.clone().flat_map(others));
        }
        if self.linked("ask") {
            all.extend((0..self.relays).flat_map(|n| keepers.clone().map(move |to| Link::Ask(n, to))));
        }
        all
    }
}
