//! Relays that gossip over a network without faults, and endpoints that answer each health check immediately.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use honeyknot_balancer::{LoadReport, Micros, Outcome};
use honeyknot_gossip::{GossipConfig, GossipMember, GossipView, MemberId, OutgoingDatagram};
use honeyknot_health_check_budget::{HealthCheckBudget, HealthCheckDecision};

/// A millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// A second, in microseconds.
pub const S: Micros = 1_000_000;
/// Start time of each fleet, in Unix microseconds.
pub const START: Micros = 1_700_000_000 * S;
/// Probers assigned to each endpoint.
pub const PROBERS: usize = 3;
/// Step of the virtual clock, in microseconds.
const STEP: Micros = 20 * MS;
/// Number of steps between two rounds of health checks.
const STEPS_PER_ROUND: u64 = 5;
/// Number of rounds between two requests for the health of an endpoint, at each relay.
const ROUNDS_PER_REQUEST: u64 = 10;
/// Load over capacity that each endpoint reports.
const REPORTED_LOAD: f64 = 0.4;

/// Whether datagrams reach their receivers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    All,
    Nothing,
}

/// A relay of the fleet.
pub struct Relay {
    pub budget: HealthCheckBudget,
    pub view: GossipView,
    address: SocketAddr,
    member: GossipMember,
}

/// A datagram that has been sent but has not arrived.
struct DatagramInFlight {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Relays by index. Each relay requests the health of each endpoint once per second, at a different time from
/// the others.
pub struct Fleet {
    pub now: Micros,
    pub relays: BTreeMap<usize, Relay>,
    /// Number of requests that were answered with a known result.
    pub answered: usize,
    /// Number of requests for which no check was made and no result was known.
    pub unanswered: usize,
    /// Number of health checks by endpoint and second.
    pub checks: BTreeMap<(u32, u64), usize>,
    endpoints: u32,
    in_flight: Vec<DatagramInFlight>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 9, (index / 200) as u8, (index % 200) as u8 + 1), 7500))
}

impl Relay {
    fn new(config: &GossipConfig, index: usize, fleet_size: usize) -> Relay {
        let address = address(index);
        let id = MemberId { address, incarnation: START };
        let seed = index as u64;
        Relay {
            budget: HealthCheckBudget::new(PROBERS, seed),
            view: GossipView::alone(START, id.number()),
            address,
            member: GossipMember::new(config, id, fleet_size, seed, START),
        }
    }
}

impl Fleet {
    /// Starts this many relays, each of which knows `endpoints` endpoints.
    pub fn new(relays: usize, endpoints: u32) -> Fleet {
        let text = "fleet t\nport 7500\nseed 127.9.0.1:7500\nseed 127.9.0.2:7500\n";
        let config = GossipConfig::read("test", text).expect("a valid configuration");
        Fleet {
            now: START,
            relays: (0..relays).map(|index| (index, Relay::new(&config, index, relays))).collect(),
            answered: 0,
            unanswered: 0,
            checks: BTreeMap::new(),
            endpoints,
            in_flight: Vec::new(),
        }
    }

    /// Advances the virtual clock by `duration` microseconds.
    pub fn run(&mut self, duration: Micros, delivery: Delivery) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_datagrams(delivery);
            let step = (self.now - START) / STEP;
            for index in self.relays.keys().copied().collect::<Vec<_>>() {
                self.handle_timeout(index);
                if step.is_multiple_of(STEPS_PER_ROUND) {
                    self.run_round(index, step / STEPS_PER_ROUND);
                }
            }
        }
    }

    /// Returns the largest number of checks of one endpoint in any one second that begins at or after `from`.
    pub fn max_checks_per_second(&self, from: Micros) -> usize {
        let first_second = from.div_ceil(S);
        let checks = self.checks.iter().filter(|((_, second), _)| *second >= first_second);
        checks.map(|(_, count)| *count).max().unwrap_or(0)
    }

    fn relay(&mut self, index: usize) -> &mut Relay {
        self.relays.get_mut(&index).expect("the relay runs")
    }

    fn deliver_datagrams(&mut self, delivery: Delivery) {
        let arrived = std::mem::take(&mut self.in_flight);
        if delivery == Delivery::Nothing {
            return;
        }
        for datagram in arrived {
            let receiver = self.relays.values_mut().find(|relay| relay.address == datagram.to);
            let Some(relay) = receiver else { continue };
            let mut replies = Vec::new();
            let _ = relay.member.handle_datagram(self.now, datagram.from, &datagram.bytes, &mut replies);
            self.send(datagram.to, replies);
        }
    }

    fn handle_timeout(&mut self, index: usize) {
        let now = self.now;
        let mut datagrams = Vec::new();
        self.relay(index).member.handle_timeout(now, &mut datagrams);
        self.send(address(index), datagrams);
    }

    fn send(&mut self, from: SocketAddr, datagrams: Vec<OutgoingDatagram>) {
        let in_flight = |OutgoingDatagram { to, bytes }| DatagramInFlight { from, to, bytes };
        self.in_flight.extend(datagrams.into_iter().map(in_flight));
    }

    /// Makes the assigned checks that are due and the requested ones, and publishes their results.
    fn run_round(&mut self, index: usize, round: u64) {
        let (now, endpoints) = (self.now, self.endpoints);
        let relay = self.relay(index);
        relay.view = relay.member.view(now, PROBERS);
        let mut to_check = relay.budget.start_due_checks(now, &relay.view, 0..endpoints);
        let is_requested =
            |endpoint: &u32| (round + index as u64 + u64::from(*endpoint)).is_multiple_of(ROUNDS_PER_REQUEST);
        to_check
            .extend((0..endpoints).filter(is_requested).filter(|endpoint| self.request(index, *endpoint)));
        for endpoint in to_check {
            *self.checks.entry((endpoint, now / S)).or_default() += 1;
            let report = LoadReport { load: Some(REPORTED_LOAD), ..LoadReport::default() };
            self.relay(index).budget.check_ended(now, endpoint, Outcome::Ok, Some(&report));
        }
        let relay = self.relay(index);
        let observations = relay.budget.observations(now, &relay.view);
        if !observations.is_empty() {
            relay.member.publish(now, observations);
        }
    }

    /// Requests an endpoint's health. Returns whether the relay must check it.
    fn request(&mut self, index: usize, endpoint: u32) -> bool {
        let now = self.now;
        let relay = self.relay(index);
        match relay.budget.request(now, &relay.view, endpoint) {
            HealthCheckDecision::Check => return true,
            HealthCheckDecision::Known { outcome: Outcome::Cancelled, report: None } => self.unanswered += 1,
            HealthCheckDecision::Known { outcome, report } => {
                let load = report.and_then(|report| report.load);
                assert_eq!((outcome, load), (Outcome::Ok, Some(REPORTED_LOAD)));
                self.answered += 1;
            }
        }
        false
    }
}
