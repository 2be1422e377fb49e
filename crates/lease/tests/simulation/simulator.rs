//! The simulator: its processes, its virtual clock and its event queue.

use std::collections::BTreeMap;

use honeyknot_lease::{
    Command, ExpiryTracker, FencingToken, InjectedFault, LeaseHolder, LeaseParameters, LeaseTable, Micros,
    Permit, SimulatedClock,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event::Event;
use crate::report::Report;

pub const LEASE: Micros = 1_000_000;
pub const REPLICAS: usize = 3;
pub const CLIENTS: usize = 5;
pub const TASK: &str = "probes";
pub const DURATION: Micros = 48 * LEASE;
/// No fault begins after this.
pub const LAST_FAULT: Micros = 32 * LEASE;

pub struct Replica {
    pub clock: SimulatedClock,
    pub lease_table: LeaseTable,
    /// Number of log entries that are applied.
    pub applied: usize,
}

pub struct Client {
    pub clock: SimulatedClock,
    pub holder: LeaseHolder,
    pub action: Option<Action>,
    pub nonce: u64,
    /// When the client sent its last request, in true time.
    pub last_request_at: Micros,
}

/// An action in progress.
pub struct Action {
    pub permit: Permit,
    pub effects_left: u32,
}

pub struct Simulator {
    pub parameters: LeaseParameters,
    pub rng: Pcg64Mcg,
    /// The current true time.
    pub now: Micros,
    event_count: u64,
    /// The scheduled events by true time and order of insertion.
    events: BTreeMap<(Micros, u64), Event>,
    pub replicas: Vec<Replica>,
    pub clients: Vec<Client>,
    /// Until when each process is paused, in true time: replicas first, then clients.
    pub paused_until: Vec<Micros>,
    pub log: Vec<Command>,
    /// Number of elections so far.
    pub epoch: u64,
    pub leader: usize,
    pub expiry_tracker: ExpiryTracker,
    /// The greatest token of an effect so far.
    pub highest_token: FencingToken,
    pub report: Report,
}

impl Simulator {
    pub fn new(seed: u64, injected_fault: Option<InjectedFault>) -> Simulator {
        // A large drift bound and no margin, so that the invariant does not hold by slack alone.
        let parameters =
            LeaseParameters { injected_fault, drift_ppm: 50_000, margin: 0, ..LeaseParameters::new(LEASE) };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let replicas = (0..REPLICAS).map(|_| Replica {
            clock: random_clock(&parameters, &mut rng),
            lease_table: LeaseTable::default(),
            applied: 0,
        });
        let replicas: Vec<Replica> = replicas.collect();
        let clients = (0..CLIENTS).map(|_| Client {
            clock: random_clock(&parameters, &mut rng),
            holder: LeaseHolder::new(parameters),
            action: None,
            nonce: 0,
            last_request_at: 0,
        });
        let clients = clients.collect();
        let leader = &replicas[0];
        let expiry_tracker = ExpiryTracker::new(parameters, leader.clock.at(0), &leader.lease_table);
        Simulator {
            parameters,
            rng,
            now: 0,
            event_count: 0,
            events: BTreeMap::new(),
            replicas,
            clients,
            paused_until: vec![0; REPLICAS + CLIENTS],
            log: Vec::new(),
            epoch: 0,
            leader: 0,
            expiry_tracker,
            highest_token: FencingToken(0),
            report: Report::default(),
        }
    }

    pub fn run(mut self) -> Report {
        for client in 0..CLIENTS {
            self.schedule(1 + client as Micros, Event::ClientStep(client));
        }
        self.schedule(1, Event::LeaderTick);
        self.schedule(LEASE, Event::Fault);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > DURATION || self.report.violation.is_some() {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.report
    }

    pub fn schedule(&mut self, delay: Micros, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    pub fn random_delay(&mut self) -> Micros {
        match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..3 * LEASE),
            1..=3 => self.rng.random_range(0..LEASE / 2),
            _ => self.rng.random_range(0..LEASE / 100),
        }
    }

    fn step(&mut self, event: Event) {
        let resumes_at = self.process_of(&event).map_or(0, |process| self.paused_until[process]);
        if self.now < resumes_at {
            self.schedule(resumes_at - self.now, event);
            return;
        }
        match event {
            Event::ClientStep(client) => self.client_step(client),
            Event::LeaderTick => self.leader_tick(),
            Event::RequestArrives { replica, request } => self.request_arrives(replica, request),
            Event::Committed { epoch, request, command, received_at } => {
                // Proposals of a replaced leader are lost.
                if epoch == self.epoch {
                    self.committed(request, &command, received_at);
                }
            }
            Event::ResponseArrives { request, outcome } => self.response_arrives(&request, outcome),
            Event::Fault => self.inject_random_fault(),
        }
    }

    /// Returns the index in `paused_until` of the process that handles an event.
    fn process_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::ClientStep(client) => Some(REPLICAS + client),
            Event::ResponseArrives { request, .. } => Some(REPLICAS + request.client),
            Event::RequestArrives { replica, .. } => Some(*replica),
            Event::LeaderTick | Event::Committed { .. } => Some(self.leader),
            Event::Fault => None,
        }
    }
}

/// Creates a clock whose rate error is the drift bound in either direction or a random value in between.
fn random_clock(parameters: &LeaseParameters, rng: &mut Pcg64Mcg) -> SimulatedClock {
    let bound = parameters.drift_ppm as i64;
    SimulatedClock {
        offset: rng.random_range(0..1_000 * LEASE),
        drift_ppm: [-bound, bound, rng.random_range(-bound..=bound)][rng.random_range(0..3)],
    }
}
