//! A fleet as many processes: relays of the program, and the list service, card servers, clients and links each in
//! processes of their own, so that each can be killed, stopped and started alone.
//!
//! [`run`] plays a day: it starts the parts, carries out a [`script`], and reads the books of the far side together when the day
//! is over. A part is this program again (`honeyknot-testbed part KIND`): its first line on standard input is its
//! [`Plan`], further lines steer it, and when standard input ends it ends, with all that it has started. So nothing is left
//! behind, however the harness ends.
//!
//! Every part appends what it sees to a book of its own, a JSON object a line, written at once: one that is killed has told
//! all. Times are microseconds of the machine's clock, which all processes read. Real processes are not deterministic:
//! what a seed replays is the script and what is drawn from it, not the day.

pub mod book;
pub mod cards;
pub mod clients;
pub mod drawn;
pub mod links;
pub mod list;
pub mod relays;
pub mod report;
pub mod run;
pub mod script;
pub mod starts;

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, BufReader, Lines, Stdin};
use tokio::process::Child;
use tokio::signal::unix::{SignalKind, signal};

/// Relays, card servers and groups of links at the most: the addresses hold no more.
pub const MOST_RELAYS: usize = 1_600;
/// See [`MOST_RELAYS`].
pub const MOST_CARDS: usize = 200;
/// Relays share links to card servers within this many groups.
pub const MOST_GROUPS: usize = 60;

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
    /// Keepers of leases and their terms, for fleets that have any.
    pub leases: crate::leases::Keeping,
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
        self.relays.min(MOST_GROUPS)
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
        let keepers = 1..=self.leases.keepers;
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

/// A link between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From a relay to the list service.
    List(usize),
    /// From clients to a relay.
    Front(usize),
    /// From a group of relays to a card server.
    Cards(usize, usize),
    /// From a keeper to another.
    Peer(usize, usize),
    /// From a holder of leases to a keeper.
    Ask(usize, usize),
}

/// A stretch of numbers, `7` or `0-99`, if it is well written.
fn stretch(text: &str) -> Option<RangeInclusive<usize>> {
    let (from, to) = text.split_once('-').unwrap_or((text, text));
    let both = from.parse().ok().zip(to.parse().ok()).filter(|(from, to)| from <= to);
    both.map(|(from, to)| from..=to)
}

/// Whether a pattern, `*` or a stretch, means a number.
fn among(pattern: &str, n: usize) -> bool {
    pattern == "*" || stretch(pattern).is_some_and(|stretch| stretch.contains(&n))
}

/// Sends a signal to a process, unless it is gone.
pub(crate) fn send(child: &Child, signal: Signal) {
    if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
        let _ = kill_process(pid, signal);
    }
}

impl Link {
    /// Whether a pattern such as `list/0-99`, `front/*` or `cards/*/3` means this link.
    pub fn is_meant(self, pattern: &str) -> bool {
        let words: Vec<&str> = pattern.split('/').collect();
        match (self, &words[..]) {
            (Link::List(n), ["list", p]) | (Link::Front(n), ["front", p]) => among(p, n),
            (Link::Cards(g, s), ["cards", group, card]) => among(group, g) && among(card, s),
            (Link::Peer(from, to), ["peer", p, q]) | (Link::Ask(from, to), ["ask", p, q]) => {
                among(p, from) && among(q, to)
            }
            _ => false,
        }
    }
}

/// The kind of links that a pattern means, if it is well written.
pub fn link_kind(pattern: &str) -> Option<&str> {
    let sound = |text: &str| text == "*" || stretch(text).is_some();
    let words: Vec<&str> = pattern.split('/').collect();
    match &words[..] {
        [kind @ ("list" | "front"), p] if sound(p) => Some(kind),
        [kind @ "cards", group, card] if sound(group) && sound(card) => Some(kind),
        _ => None,
    }
}

/// The machine's clock in Unix microseconds: the one time base of all processes.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Runs a part: reads its plan, starts it, and hands on the lines that steer it until standard input ends.
///
/// The whole process ends then, by `exit`: reading standard input holds a thread that nothing else could end.
pub async fn part<F: Future<Output = Result<S, String>>, S: FnMut(&str)>(
    start: impl FnOnce(Plan) -> F,
) -> Result<(), String> {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let plan = next(&mut lines).await.ok_or("a part of a fleet is told its plan on standard input")?;
    let plan = serde_json::from_str(&plan).map_err(|e| format!("a plan: {e}"))?;
    let mut steer = start(plan).await?;
    println!("ready");
    // Ctrl-C goes to all processes of a terminal. A part ends with its harness, by the end of its standard input.
    let told = |e: std::io::Error| format!("cannot listen for signals: {e}");
    let _held = [signal(SignalKind::interrupt()).map_err(told)?, signal(SignalKind::hangup()).map_err(told)?];
    while let Some(line) = next(&mut lines).await {
        steer(&line);
    }
    steer("end");
    Ok(())
}

async fn next(lines: &mut Lines<BufReader<Stdin>>) -> Option<String> {
    lines.next_line().await.ok().flatten()
}
