//! Many neighbourhoods in one process on a virtual clock, with datagrams that are lost, late, doubled and cut off.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use honeyknot_balancer::Micros;
use honeyknot_gossip::{
    DatagramError, GossipConfig, GossipMember, GossipView, HealthCheckOutcome, HealthObservation,
    MAX_DATAGRAM_BYTES, MemberId, assigned_probers,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * S;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 9, (n / 200) as u8, (n % 200) as u8 + 1), 7500))
}

fn plan() -> GossipConfig {
    let text = "fleet test\nport 7500\nseed 127.9.0.1:7500\nseed 127.9.0.2:7500\nseed 127.9.0.3:7500\n";
    GossipConfig::read("test", text).expect("a sound plan")
}

/// What happens to datagrams.
#[derive(Clone, Copy, Default)]
struct Net {
    loss: f64,
    late: Micros,
    doubled: f64,
    /// Relays below this number and those from it on do not reach each other.
    cut: Option<usize>,
}

struct Fleet {
    now: Micros,
    net: Net,
    rng: Pcg64Mcg,
    relays: BTreeMap<usize, GossipMember>,
    numbers: BTreeMap<SocketAddr, usize>,
    flying: BTreeMap<(Micros, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    serial: u64,
    bytes: u64,
    longest: usize,
}

impl Fleet {
    fn new(relays: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: START,
            net: Net { late: 2 * MS, ..Net::default() },
            rng: Pcg64Mcg::seed_from_u64(seed),
            relays: BTreeMap::new(),
            numbers: (0..relays).map(|n| (address(n), n)).collect(),
            flying: BTreeMap::new(),
            serial: 0,
            bytes: 0,
            longest: 0,
        };
        (0..relays).for_each(|n| fleet.start(n));
        fleet
    }

    fn start(&mut self, n: usize) {
        let me = MemberId { address: address(n), incarnation: self.now };
        let all = self.numbers.len();
        self.relays.insert(n, GossipMember::new(&plan(), me, all, self.rng.next_u64(), self.now));
    }

    fn fly(&mut self, from: SocketAddr, out: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, bytes) in out {
            self.bytes += bytes.len() as u64;
            self.longest = self.longest.max(bytes.len());
            let ends = (self.numbers.get(&from), self.numbers.get(&to));
            let cut =
                self.net.cut.is_some_and(|at| matches!(ends, (Some(a), Some(b)) if (*a < at) != (*b < at)));
            if cut || self.rng.random_bool(self.net.loss) {
                continue;
            }
            for _ in 0..1 + usize::from(self.rng.random_bool(self.net.doubled)) {
                self.serial += 1;
                let at = self.now + self.rng.random_range(100..=self.net.late.max(200));
                self.flying.insert((at, self.serial), (from, to, bytes.clone()));
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 10 * MS;
            let mut due = self.flying.split_off(&(self.now + 1, 0));
            std::mem::swap(&mut due, &mut self.flying);
            for (_, (from, to, bytes)) in due {
                let Some(n) = self.numbers.get(&to).copied() else { continue };
                let Some(relay) = self.relays.get_mut(&n) else { continue };
                let mut out = Vec::new();
                relay.handle_datagram(self.now, from, &bytes, &mut out).expect("all speak the same language");
                self.fly(to, out);
            }
            for n in self.relays.keys().copied().collect::<Vec<_>>() {
                let mut out = Vec::new();
                if let Some(relay) = self.relays.get_mut(&n).filter(|relay| relay.next_timeout() <= self.now)
                {
                    relay.handle_timeout(self.now, &mut out);
                }
                self.fly(address(n), out);
            }
        }
    }

    fn view(&self, n: usize) -> GossipView {
        self.relays[&n].view(self.now, 3)
    }

    /// How many each relay takes for living: the fewest and the most.
    fn alive(&self) -> (usize, usize) {
        let all: Vec<usize> = self.relays.keys().map(|n| self.view(*n).alive.len()).collect();
        (all.iter().copied().min().unwrap_or(0), all.iter().copied().max().unwrap_or(0))
    }

    /// Until all see so many; what it took.
    fn until_alive(&mut self, wanted: usize, most: Micros) -> Micros {
        let began = self.now;
        while self.alive() != (wanted, wanted) {
            assert!(self.now < began + most, "{:?} live, {wanted} wanted, after {most} us", self.alive());
            self.pass(100 * MS);
        }
        self.now - began
    }

    fn say(&mut self, n: usize, findings: Vec<HealthObservation>) {
        self.relays.get_mut(&n).expect("it lives").publish(self.now, findings);
    }
}

fn finding(card: u32, load: u8) -> HealthObservation {
    HealthObservation {
        endpoint: card,
        outcome: HealthCheckOutcome::Healthy,
        load_percent: Some(load),
        latency_ms: None,
        age_ms: 0,
    }
}

#[test]
fn a_fleet_finds_itself_and_keeps_to_its_datagrams() {
    for relays in [2, 12, 100] {
        let mut fleet = Fleet::new(relays, 1);
        let took = fleet.until_alive(relays, 12 * S);
        fleet.bytes = 0;
        fleet.pass(5 * S);
        assert_eq!(fleet.alive(), (relays, relays), "and stays so, {took} us");
        assert!(fleet.longest <= MAX_DATAGRAM_BYTES);
        let each = fleet.bytes / 5 / relays as u64;
        // 27 datagrams a second for words, and the engine's own.
        assert!(each <= 40_000, "{relays} relays: {each} bytes a second each");
    }
}

#[test]
fn the_dead_are_found_out_and_a_new_life_is_taken_in() {
    let mut fleet = Fleet::new(30, 2);
    fleet.until_alive(30, 12 * S);
    (20..30).for_each(|n| drop(fleet.relays.remove(&n)));
    let took = fleet.until_alive(20, 15 * S);
    assert!(took >= S, "not by one lost datagram: {took}");
    (20..30).for_each(|n| fleet.start(n));
    fleet.until_alive(30, 8 * S);
}

#[test]
fn cut_halves_go_on_alone_and_find_each_other_again() {
    let mut fleet = Fleet::new(24, 3);
    fleet.until_alive(24, 12 * S);
    fleet.net.cut = Some(8);
    fleet.pass(14 * S);
    assert_eq!((fleet.view(0).alive.len(), fleet.view(23).alive.len()), (8, 16));
    fleet.net.cut = None;
    fleet.until_alive(24, 20 * S);
}

#[test]
fn loss_delay_and_doubles_do_not_kill_the_living() {
    let mut fleet = Fleet::new(20, 4);
    fleet.until_alive(20, 12 * S);
    fleet.net = Net { loss: 0.2, late: 60 * MS, doubled: 0.2, cut: None };
    let mut least = 20;
    for _ in 0..60 {
        fleet.pass(500 * MS);
        least = least.min(fleet.alive().0);
    }
    assert!(least >= 18, "as few as {least} of 20 were taken for living");
}

#[test]
fn what_witnesses_say_reaches_all_and_ends() {
    let mut fleet = Fleet::new(40, 5);
    fleet.until_alive(40, 12 * S);
    let card = 77;
    let chosen = assigned_probers(&fleet.view(0).alive, card, 3);
    let number = |n: usize| MemberId { address: address(n), incarnation: 0 }.number();
    let by: Vec<usize> = (0..40).filter(|n| chosen.contains(&number(*n))).collect();
    assert_eq!(by.len(), 3, "all relays see the same three");
    for (n, load) in by.iter().zip([30, 32, 255]) {
        fleet.say(*n, vec![finding(card, load)]);
    }
    fleet.pass(1_500 * MS);
    for n in (0..40).filter(|n| !by.contains(n)) {
        let joined = fleet.view(n).aggregated(fleet.now, card, 2 * S).expect("it has heard");
        let seen = (joined.observations, joined.load);
        assert_eq!(seen, (3, Some(0.32)), "one that lies moves no middle, at relay {n}");
    }
    fleet.pass(3 * S);
    assert!((0..40).all(|n| fleet.view(n).observations(card).is_empty()), "an old word says nothing");
}

/// Guards against a relay that speaks of every card server of the fleet.
#[test]
fn who_is_no_witness_says_nothing() {
    let mut fleet = Fleet::new(40, 6);
    fleet.until_alive(40, 12 * S);
    fleet.say(7, (0..40).map(|card| finding(card, 255)).collect());
    fleet.pass(S);
    let view = fleet.view(20);
    let moved = (0..40).filter(|card| !view.observations(*card).is_empty()).count();
    // Five of forty places in each race count.
    assert!(moved <= 12, "it is heard on {moved} of 40 card servers");
}

#[test]
fn strangers_are_dropped_with_a_word_for_operators() {
    let mut fleet = Fleet::new(2, 7);
    fleet.until_alive(2, 12 * S);
    let stranger = GossipConfig { fleet: "other".into(), ..plan() };
    let mut other =
        GossipMember::new(&stranger, MemberId { address: address(5), incarnation: 1 }, 2, 1, START);
    let mut out = Vec::new();
    other.handle_timeout(START, &mut out);
    let (_, bytes) = out.first().expect("it calls its seeds").clone();
    let now = fleet.now;
    let relay = fleet.relays.get_mut(&0).expect("it lives");
    let mut heard = |bytes: &[u8]| relay.handle_datagram(now, address(5), bytes, &mut Vec::new());
    let of_another = heard(&bytes).expect_err("another fleet");
    assert!(
        matches!(of_another, DatagramError::Fleet(_)) && of_another.to_string().contains("check `fleet`")
    );
    let mut newer = bytes.clone();
    newer[0] = 9;
    assert!(heard(&newer).expect_err("another version").to_string().contains("finish the upgrade"));
    assert!(matches!(heard(&[0; MAX_DATAGRAM_BYTES + 1]), Err(DatagramError::Size(..))));
    assert!(matches!(heard(&[]), Err(DatagramError::Size(..))));
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let ours = honeyknot_envelope();
    for _ in 0..20_000 {
        let mut garbage = vec![0; rng.random_range(0..200)];
        rng.fill_bytes(&mut garbage);
        if rng.random_bool(0.5) && garbage.len() > 9 {
            garbage[..9].copy_from_slice(&ours);
        }
        let _ = relay.handle_datagram(now, address(5), &garbage, &mut Vec::new());
    }
    let alive = relay.view(now, 3).alive.len();
    assert!(alive <= 2, "garbage is no neighbour: {alive}");
}

/// What stands before each datagram of the tests' fleet.
fn honeyknot_envelope() -> [u8; 9] {
    let mut relay = GossipMember::new(&plan(), MemberId { address: address(9), incarnation: 1 }, 2, 1, START);
    let mut out = Vec::new();
    relay.handle_timeout(START, &mut out);
    out[0].1[..9].try_into().expect("nine bytes")
}

#[test]
fn the_operators_file_is_checked_whole() {
    let text = "port 80\nseed 10.0.0.1:7500\nseed x\nwitnesses 0\nfoo 1\n";
    let told = GossipConfig::read("f", text).expect_err("faults").to_string();
    let faults =
        ["lacks `fleet`", "`port`: `80`", "not a loopback address", "`witnesses`: `0`", "directive `foo`"];
    for what in faults {
        assert!(told.contains(what), "`{what}` is not in {told}");
    }
    let at = SocketAddr::from(([10, 0, 0, 9], 5000));
    let told = plan().gossip_address(at).expect_err("not loopback").to_string();
    assert!(told.contains("plain-network"), "{told}");
}
