//! A fleet of members in one process on a virtual clock, with a network that loses, delays and duplicates
//! datagrams, and may be partitioned.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use honeyknot_balancer::Micros;
use honeyknot_gossip::{
    GossipConfig, GossipMember, GossipView, HealthObservation, MemberId, OutgoingDatagram,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// A second, in microseconds.
pub const S: Micros = 1_000_000;
/// Start time of each fleet, in Unix microseconds.
pub const START: Micros = 1_700_000_000 * S;
/// Probers assigned to each endpoint.
pub const PROBERS: usize = 3;
/// Step of the virtual clock, in microseconds.
const STEP: Micros = 10 * MS;
/// Interval at which [`Fleet::run_until_alive`] checks its condition, in microseconds.
const CONDITION_INTERVAL: Micros = 100 * MS;

/// Returns the address of the member with this index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 9, (index / 200) as u8, (index % 200) as u8 + 1), 7500))
}

/// Returns the configuration that all members use.
pub fn config() -> GossipConfig {
    let text = "fleet test\nport 7500\nseed 127.9.0.1:7500\nseed 127.9.0.2:7500\nseed 127.9.0.3:7500\n";
    GossipConfig::read("test", text).expect("a valid configuration")
}

/// Faults of the network.
#[derive(Clone, Copy, Default)]
pub struct Network {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Maximum delay of a datagram, in microseconds.
    pub max_delay: Micros,
    /// Probability that a datagram arrives twice.
    pub duplication: f64,
    /// Index that divides the members into two sides that cannot reach each other: those below it and all
    /// others. `None` without a partition.
    pub partition: Option<usize>,
}

/// A datagram that has been sent but has not arrived.
struct DatagramInFlight {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Members by index, and the datagrams between them.
pub struct Fleet {
    pub now: Micros,
    pub network: Network,
    pub members: BTreeMap<usize, GossipMember>,
    /// Bytes sent by all members.
    pub sent_bytes: u64,
    /// Length of the longest datagram sent.
    pub longest_datagram: usize,
    rng: Pcg64Mcg,
    indices: BTreeMap<SocketAddr, usize>,
    /// Datagrams by arrival time, and then by the order in which they were sent.
    in_flight: BTreeMap<(Micros, u64), DatagramInFlight>,
    /// Number of datagrams sent, including duplicates but not lost ones.
    sent: u64,
}

impl Fleet {
    /// Starts a fleet of this many members.
    pub fn new(members: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: START,
            network: Network { max_delay: 2 * MS, ..Network::default() },
            members: BTreeMap::new(),
            sent_bytes: 0,
            longest_datagram: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            indices: (0..members).map(|index| (address(index), index)).collect(),
            in_flight: BTreeMap::new(),
            sent: 0,
        };
        (0..members).for_each(|index| fleet.start(index));
        fleet
    }

    /// Starts a member in a new incarnation.
    pub fn start(&mut self, index: usize) {
        let id = MemberId { address: address(index), incarnation: self.now };
        let seed = self.rng.next_u64();
        self.members.insert(index, GossipMember::new(&config(), id, self.indices.len(), seed, self.now));
    }

    /// Advances the virtual clock by `duration` microseconds.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_datagrams();
            self.handle_timeouts();
        }
    }

    /// Runs until every member sees exactly `expected` living members. Returns the elapsed time in
    /// microseconds.
    pub fn run_until_alive(&mut self, expected: usize, timeout: Micros) -> Micros {
        let started_at = self.now;
        while self.alive_range() != (expected, expected) {
            let alive = self.alive_range();
            assert!(
                self.now < started_at + timeout,
                "{alive:?} alive after {timeout} us, {expected} expected"
            );
            self.run(CONDITION_INTERVAL);
        }
        self.now - started_at
    }

    /// Returns the smallest and the largest number of living members in the members' views.
    pub fn alive_range(&self) -> (usize, usize) {
        let counts: Vec<usize> = self.members.keys().map(|index| self.view(*index).alive.len()).collect();
        (counts.iter().copied().min().unwrap_or(0), counts.iter().copied().max().unwrap_or(0))
    }

    /// Returns a member's current view.
    pub fn view(&self, index: usize) -> GossipView {
        self.members[&index].view(self.now, PROBERS)
    }

    /// Publishes a member's observations.
    pub fn publish(&mut self, index: usize, observations: Vec<HealthObservation>) {
        self.members.get_mut(&index).expect("the member is alive").publish(self.now, observations);
    }

    fn deliver_datagrams(&mut self) {
        let later = self.in_flight.split_off(&(self.now + 1, 0));
        for datagram in std::mem::replace(&mut self.in_flight, later).into_values() {
            let index = self.indices.get(&datagram.to);
            let Some(member) = index.and_then(|index| self.members.get_mut(index)) else { continue };
            let mut replies = Vec::new();
            member
                .handle_datagram(self.now, datagram.from, &datagram.bytes, &mut replies)
                .expect("members of one fleet accept each other's datagrams");
            self.send(datagram.to, replies);
        }
    }

    fn handle_timeouts(&mut self) {
        for index in self.members.keys().copied().collect::<Vec<_>>() {
            let mut datagrams = Vec::new();
            let member = self.members.get_mut(&index).filter(|member| member.next_timeout() <= self.now);
            if let Some(member) = member {
                member.handle_timeout(self.now, &mut datagrams);
            }
            self.send(address(index), datagrams);
        }
    }

    fn send(&mut self, from: SocketAddr, datagrams: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            self.sent_bytes += bytes.len() as u64;
            self.longest_datagram = self.longest_datagram.max(bytes.len());
            if self.is_cut_off(from, to) || self.rng.random_bool(self.network.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
            for _ in 0..copies {
                self.sent += 1;
                let arrives_at = self.now + self.rng.random_range(100..=self.network.max_delay.max(200));
                let datagram = DatagramInFlight { from, to, bytes: bytes.clone() };
                self.in_flight.insert((arrives_at, self.sent), datagram);
            }
        }
    }

    /// Returns whether the partition separates two members.
    fn is_cut_off(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let (Some(from), Some(to)) = (self.indices.get(&from), self.indices.get(&to)) else { return false };
        self.network.partition.is_some_and(|boundary| (*from < boundary) != (*to < boundary))
    }
}
