//! A world on loopback: card servers, the roll, a front layer, clients, and relays as real processes. Everything but
//! the relays lives in one thread of this process and shares [`World`]; each part can be made to fail on command.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use super::discovery::{self, Roll};
use super::front_proxy::Front;
use crate::emulators::endpoint_model::{CardModel, Make, Micros};
use crate::report::observations::{ClientBook, FleetBook};

/// How large a world is.
#[derive(Clone, Debug)]
pub struct Size {
    /// The names of its sites.
    pub sites: Vec<String>,
    /// Card servers in all, dealt out evenly.
    pub servers: usize,
    /// Relays in all, dealt out evenly.
    pub relays: usize,
    /// New clients a second in all.
    pub rate: f64,
    /// How long a client wants its session on average, in seconds.
    pub life_s: f64,
    /// Decks that clients share.
    pub decks: u64,
}

/// What a card server's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It serves.
    Up,
    /// Its machine has vanished: connections stay open and silent, new ones are never answered.
    Silent,
    /// Its process has died: connections are reset, new ones refused.
    Dead,
}

/// A card server of the world.
pub struct Card {
    /// Its id in the roll.
    pub id: String,
    /// Its site.
    pub site: usize,
    /// Its model.
    pub model: CardModel,
    /// Its life, which its tasks follow.
    pub life: watch::Sender<Life>,
    /// It drains.
    pub drains: watch::Sender<bool>,
    /// When its process last ended.
    pub ended: Micros,
    /// It has come back at least once: the rule on cold card servers is judged for it.
    pub returned: bool,
}

/// What all parts share.
pub struct World {
    /// Its size.
    pub size: Size,
    /// Card servers.
    pub cards: Vec<Card>,
    /// The server roll.
    pub roll: Roll,
    /// The front layer.
    pub front: Front,
    /// The clients' book.
    pub clients: ClientBook,
    /// The card servers' book.
    pub fleet: FleetBook,
    /// Attempts of each request: how many so far, and how many are out.
    pub attempts: BTreeMap<String, (u32, u32)>,
    /// Clients of each site that want a session now.
    pub wanting: Vec<u64>,
    /// The sites that the scenario does not touch.
    pub others: Vec<usize>,
    /// Arrivals of each site, against the usual.
    pub surge: Vec<f64>,
    /// How often each relay has been killed.
    pub killed: Vec<u32>,
    /// No more clients come.
    pub closing: bool,
    /// What has happened, for people.
    pub events: Vec<(Micros, String)>,
    /// When the world began.
    pub began: Micros,
    unix: Micros,
    read: Instant,
    next_session: u64,
    net: [u8; 2],
    port: u16,
    seed: u64,
}

/// The world as its parts share it. No borrow is held across an await.
pub type Shared = Rc<RefCell<World>>;

/// Card servers' machine kinds: share, weight, usual sessions when warm, part of it when cold.
const KINDS: [(f64, f64, f64, f64); 3] =
    [(0.41, 1.6, 54.0, 0.42), (0.38, 1.0, 34.0, 0.45), (0.21, 0.6, 20.0, 0.46)];
/// The longest warm-up of a card server.
pub const COLD: Micros = 9_000_000;
/// What a deck costs on each card server that holds it, in usual sessions.
pub const DECK_COST: f64 = 3.0;

impl World {
    /// A world of that size; all random numbers follow from the seed.
    pub fn new(size: Size, seed: u64) -> Shared {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = since.as_micros() as Micros;
        let sites = size.sites.len();
        let cards = (0..size.servers).map(|number| {
            // Kinds are dealt out so that every site has its part of each, whatever the seed.
            let place = ((number / sites) as f64 * 0.37 + (number % sites) as f64 * 0.21).fract();
            let kind = KINDS.iter().scan(0.0, |sum, k| {
                *sum += k.0;
                Some((*sum, k))
            });
            let kind = kind.into_iter().find(|(sum, _)| place < *sum).map_or(&KINDS[2], |(_, k)| k);
            let make = Make {
                weight: kind.1,
                capacity: kind.2 * rng.random_range(0.92..1.08),
                cold_from: kind.3 * rng.random_range(0.9..1.1),
                cold: rng.random_range(6_000_000..COLD),
                deck_cost: DECK_COST,
                report_every: rng.random_range(370_000..840_000),
                report_late: rng.random_range(180_000..460_000),
            };
            Card {
                id: format!("s-{:08x}", rng.random::<u32>()),
                site: number % sites,
                model: CardModel::new(make, 0),
                life: watch::Sender::new(Life::Up),
                drains: watch::Sender::new(false),
                ended: 0,
                returned: false,
            }
        });
        let cards: Vec<Card> = cards.collect();
        let front = Front::new(size.relays, sites);
        let net = [rng.random_range(32..224), rng.random_range(0..250)];
        // The process number keeps worlds apart that run beside each other with the same seed.
        let port = 10_000 + ((rng.random::<u32>() ^ std::process::id()) % 20_000) as u16;
        let world = Rc::new(RefCell::new(World {
            roll: Roll::default(),
            front,
            clients: ClientBook::default(),
            fleet: FleetBook::default(),
            attempts: BTreeMap::new(),
            wanting: vec![0; sites],
            others: (0..sites).collect(),
            surge: vec![1.0; sites],
            killed: vec![0; size.relays],
            closing: false,
            events: Vec::new(),
            began: unix,
            unix,
            read: Instant::now(),
            next_session: 0,
            net,
            port,
            seed,
            cards,
            size,
        }));
        let all: Vec<usize> = (0..world.borrow().cards.len()).collect();
        world.borrow_mut().roll_now(&all, "active");
        world
    }

    /// Unix microseconds.
    pub fn now(&self) -> Micros {
        self.unix + self.read.elapsed().as_micros() as Micros
    }

    /// A generator of its own for each part of the world.
    pub fn rng(&self, part: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
    }

    /// The seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Where one relay reaches a card server. Every relay has addresses of its own, so that a head tells whose it is.
    pub fn card_address(&self, server: usize, relay: usize) -> SocketAddr {
        self.address(server / 200, relay, server % 200)
    }

    /// Where one relay reaches the roll.
    pub fn roll_address(&self, relay: usize) -> SocketAddr {
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

    /// A new number for a session.
    pub fn next_session(&mut self) -> u64 {
        self.next_session += 1;
        self.next_session
    }

    /// Notes what has happened.
    pub fn event(&mut self, text: impl Into<String>) {
        let at = self.now() - self.began;
        self.events.push((at, text.into()));
    }

    /// The roll names these card servers in this state, in one version.
    pub fn roll_now(&mut self, servers: &[usize], state: &'static str) {
        let mut entries = Vec::new();
        for server in servers {
            let card = &self.cards[*server];
            entries.push(discovery::Entry {
                server: *server,
                id: card.id.clone(),
                site: self.size.sites[card.site].clone(),
                weight: card.model.make().weight,
                started_ms: card.model.started() / 1_000,
                state,
            });
        }
        self.roll.change(entries);
    }

    /// The card servers of a site.
    pub fn site_cards(&self, site: usize) -> Vec<usize> {
        (0..self.cards.len()).filter(|i| self.cards[*i].site == site).collect()
    }

    /// Adds up a span of time in the books, and looks at what must hold.
    pub fn observe(&mut self, span: Duration) {
        let (now, span) = (self.now(), span.as_secs_f64());
        let wanting = self.wanting.iter().sum::<u64>() as f64;
        let others = self.others.iter().map(|s| self.wanting[*s]).sum::<u64>() as f64;
        let mut others_good = 0.0;
        let (mut good, mut load, mut held, mut capacity) = (0.0, 0.0, 0.0, 0.0);
        let mut sites = vec![(0.0, 0.0); self.size.sites.len()];
        for card in &self.cards {
            if *card.life.borrow() != Life::Up {
                continue;
            }
            let model = &card.model;
            good += model.sessions() as f64 * model.in_time(now);
            let of_others: usize = self.others.iter().map(|s| model.sessions_from(*s)).sum();
            others_good += of_others as f64 * model.in_time(now);
            load += model.sessions() as f64;
            held += model.held();
            capacity += model.capacity(now);
            sites[card.site].0 += model.foreign();
            sites[card.site].1 += model.capacity(now);
            if card.returned {
                self.fleet.worst_return_multiple =
                    self.fleet.worst_return_multiple.max(model.worst_multiple());
            }
        }
        self.fleet.wanted_s += wanting * span;
        self.fleet.others_wanted_s += others * span;
        self.fleet.others_well_served_s += others_good.min(others) * span;
        self.fleet.well_served_s += good.min(wanting) * span;
        // What a session costs with its part of the decks, as things stand.
        let cost = if load >= 1.0 { (held / load).max(1.0) } else { 1.0 };
        self.fleet.allowed_s += wanting.min(capacity * 0.85 / cost) * span;
        for (site, (foreign, capacity)) in sites.into_iter().enumerate() {
            // A site that is just coming back is judged by the rule on cold card servers.
            let share = if capacity > 0.0 { foreign / capacity } else { 0.0 };
            if share > self.fleet.worst_spill {
                self.fleet.worst_spill = share;
                self.fleet.worst_spill_site = self.size.sites[site].clone();
            }
        }
    }

    /// Card servers that have fallen over.
    pub fn fallen(&self) -> u64 {
        self.cards.iter().filter(|c| c.model.fallen()).count() as u64
    }

    /// The whole state of a site, for people.
    pub fn site_line(&self, site: usize) -> SiteLine {
        let now = self.now();
        let mut line = SiteLine::default();
        for card in self.cards.iter().filter(|c| c.site == site) {
            match *card.life.borrow() {
                Life::Up => {
                    line.up += 1;
                    line.sessions += card.model.sessions();
                    line.held += card.model.held();
                    line.foreign += card.model.foreign();
                    line.capacity += card.model.capacity(now);
                }
                Life::Silent => line.silent += 1,
                Life::Dead => line.dead += 1,
            }
        }
        line
    }

    /// How often a relay has been killed so far.
    pub fn relay_life(&self, relay: usize) -> u32 {
        self.killed[relay]
    }

    /// Whether a card server's process ended a moment ago: breaks of its sessions may only be seen now.
    pub fn lately_dead(&self, server: usize) -> bool {
        self.now() < self.cards[server].ended + 8_000_000
    }

    /// A card server's process starts anew.
    pub fn restart(&mut self, server: usize) {
        let now = self.now();
        let card = &mut self.cards[server];
        card.model = CardModel::new(card.model.make().clone(), now);
        card.returned = true;
        card.drains.send_replace(false);
        card.life.send_replace(Life::Up);
    }

    /// A card server's process dies, or its machine vanishes.
    pub fn end(&mut self, server: usize, life: Life) {
        let now = self.now();
        let card = &mut self.cards[server];
        if card.model.fallen() {
            self.fleet.servers_pushed_over += 1;
        }
        self.fleet.worst_return_multiple = match card.returned {
            true => self.fleet.worst_return_multiple.max(card.model.worst_multiple()),
            false => self.fleet.worst_return_multiple,
        };
        card.ended = now;
        card.life.send_replace(life);
        card.model = CardModel::new(card.model.make().clone(), card.model.started());
    }
}

/// What a site holds.
#[derive(Clone, Debug, Default)]
pub struct SiteLine {
    /// Card servers that serve, are silent, are dead.
    pub up: usize,
    /// See `up`.
    pub silent: usize,
    /// See `up`.
    pub dead: usize,
    /// Sessions.
    pub sessions: usize,
    /// Load with decks, that of foreign sessions, and capacity, in usual sessions.
    pub held: f64,
    /// See `held`.
    pub foreign: f64,
    /// See `held`.
    pub capacity: f64,
}
