//! The simulator: its processes, its virtual clock and its event queue.

use std::collections::BTreeMap;

use honeyknot_lease::{
    InjectedFault, LeaseClient, LeaseParameters, Micros, Permit, SimulatedClock, TaskOptions,
};
use honeyknot_lease_consensus::{PersistedState, Replica, ReplicaId, ReplicaSettings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::action_history::ActionHistory;
use crate::event::Event;
use crate::report::Report;

pub const LEASE: Micros = 1_000_000;
pub const TICK_INTERVAL: Micros = LEASE / 20;
pub const CLIENTS: usize = 50;
pub const DURATION: Micros = 30 * LEASE;
/// No fault begins after this.
pub const LAST_FAULT: Micros = 20 * LEASE;
pub const TASKS: [Task; 3] =
    [Task { name: "probes", slots: 1 }, Task { name: "home", slots: 1 }, Task { name: "starts", slots: 3 }];
/// How many times a message is delivered, each with the same probability.
pub const COPIES: [u32; 10] = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2];

pub struct Task {
    pub name: &'static str,
    pub slots: u32,
}

/// An injected fault that a simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimulatedFault {
    /// A fault in the lease table, the expiry tracker or the holder.
    Lease(InjectedFault),
    /// A crash loses the persisted state, so that the replica votes as if it had never voted.
    LosesPersistedState,
    /// A replica sends messages and responses before the write that they depend on is durable.
    RespondsBeforePersisting,
}

pub struct ReplicaProcess {
    pub clock: SimulatedClock,
    /// `None` while the replica is down.
    pub replica: Option<Replica>,
    pub state: PersistedState,
    /// Whether a write is scheduled. Messages and requests that arrive before it share the write.
    pub is_persist_scheduled: bool,
}

pub struct ClientProcess {
    pub clock: SimulatedClock,
    pub client: LeaseClient,
    pub actions: Vec<Action>,
}

/// An action in progress.
pub struct Action {
    /// Index of its task.
    pub task: usize,
    pub number: u64,
    pub permit: Permit,
    pub effects_left: u32,
}

pub struct Simulator {
    pub fault: Option<SimulatedFault>,
    pub rng: Pcg64Mcg,
    /// The current true time.
    pub now: Micros,
    event_count: u64,
    /// The scheduled events by true time and order of insertion.
    events: BTreeMap<(Micros, u64), Event>,
    pub settings: ReplicaSettings,
    pub replicas: Vec<ReplicaProcess>,
    pub clients: Vec<ClientProcess>,
    /// Until when each process is paused, in true time: replicas first, then clients.
    pub paused_until: Vec<Micros>,
    /// Until when messages from one replica to another are lost, in true time.
    pub links_cut_until: BTreeMap<(ReplicaId, ReplicaId), Micros>,
    pub action_count: u64,
    pub action_histories: [ActionHistory; TASKS.len()],
    /// Hash of each committed entry by index, from the first replica that knew it to be committed.
    pub committed: BTreeMap<u64, u64>,
    pub report: Report,
}

impl Simulator {
    pub fn new(seed: u64, fault: Option<SimulatedFault>) -> Simulator {
        let settings = settings(seed, fault);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let replicas = (0..settings.replica_count).map(|_| ReplicaProcess {
            clock: random_clock(&settings.parameters, &mut rng),
            replica: None,
            state: PersistedState::default(),
            is_persist_scheduled: false,
        });
        let replicas: Vec<ReplicaProcess> = replicas.collect();
        let clients = (0..CLIENTS).map(|number| random_client(number, &settings, &mut rng)).collect();
        Simulator {
            fault,
            rng,
            now: 0,
            event_count: 0,
            events: BTreeMap::new(),
            settings,
            paused_until: vec![0; replicas.len() + CLIENTS],
            replicas,
            clients,
            links_cut_until: BTreeMap::new(),
            action_count: 0,
            action_histories: [const { ActionHistory::new() }; TASKS.len()],
            committed: BTreeMap::new(),
            report: Report::default(),
        }
    }

    pub fn run(mut self) -> Report {
        for replica in 0..self.replicas.len() {
            self.schedule(1, Event::ReplicaStarts(replica));
            self.schedule(1 + replica as Micros, Event::ReplicaTick(replica));
        }
        for client in 0..CLIENTS {
            self.schedule(LEASE / 2 + client as Micros, Event::ClientStep(client));
        }
        self.schedule(LEASE, Event::Fault);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > DURATION || self.report.violation.is_some() {
                break;
            }
            self.now = at;
            self.step(event);
        }
        let hashes = self.committed.values();
        self.report.log_hash = hashes.fold(0, |sum: u64, hash| sum.wrapping_mul(31).wrapping_add(*hash));
        self.report
    }

    pub fn schedule(&mut self, delay: Micros, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    pub fn report_violation(&mut self, violation: String) {
        self.report.violation.get_or_insert(violation);
    }

    pub fn random_delay(&mut self) -> Micros {
        match self.rng.random_range(0..40) {
            0 => self.rng.random_range(0..2 * LEASE),
            1..=3 => self.rng.random_range(0..LEASE / 4),
            _ => self.rng.random_range(0..LEASE / 200),
        }
    }

    fn step(&mut self, event: Event) {
        let resumes_at = self.process_of(&event).map_or(0, |process| self.paused_until[process]);
        if resumes_at > self.now {
            self.schedule(resumes_at - self.now, event);
            return;
        }
        match event {
            Event::ReplicaTick(replica) => self.replica_tick(replica),
            Event::Persist(replica) => self.persist(replica),
            Event::PeerMessageArrives(message) => self.peer_message_arrives(message),
            Event::RequestArrives { replica, request } => self.request_arrives(replica, request),
            Event::ResponseArrives { client, request_id, response } => {
                self.response_arrives(client, request_id, response);
            }
            Event::ClientStep(client) => self.client_step(client),
            Event::Fault => self.inject_random_fault(),
            Event::ReplicaStarts(replica) => self.replica_starts(replica),
        }
    }

    /// Returns the index in `paused_until` of the process that handles an event.
    fn process_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::ReplicaTick(replica) | Event::Persist(replica) | Event::RequestArrives { replica, .. } => {
                Some(*replica)
            }
            Event::PeerMessageArrives(message) => Some(message.to as usize - 1),
            Event::ResponseArrives { client, .. } | Event::ClientStep(client) => {
                Some(self.replicas.len() + client)
            }
            Event::Fault | Event::ReplicaStarts(_) => None,
        }
    }
}

fn settings(seed: u64, fault: Option<SimulatedFault>) -> ReplicaSettings {
    let injected_fault = match fault {
        Some(SimulatedFault::Lease(fault)) => Some(fault),
        _ => None,
    };
    let parameters =
        LeaseParameters { injected_fault, drift_ppm: 100_000, margin: 0, ..LeaseParameters::new(LEASE) };
    ReplicaSettings {
        parameters,
        // Set by each replica.
        id: 0,
        replica_count: if seed % 4 == 3 { 5 } else { 3 },
        tick_interval: TICK_INTERVAL,
        election_timeout: LEASE / 2,
        compact_after: 40,
        tokens_from: 1_000 * seed,
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

/// Creates a client that wants all tasks. Clients with even numbers release a task after a maximum hold time.
fn random_client(number: usize, settings: &ReplicaSettings, rng: &mut Pcg64Mcg) -> ClientProcess {
    let parameters = settings.parameters;
    let clock = random_clock(&parameters, rng);
    let name = format!("n{number}");
    let mut client = LeaseClient::new(parameters, &name, settings.replica_count, rng.random());
    let max_hold = number.is_multiple_of(2).then_some(3 * LEASE);
    for Task { name, slots } in TASKS {
        client.add_task(clock.at(0), name, TaskOptions { slots, max_hold, max_idle: None });
    }
    ClientProcess { clock, client, actions: Vec::new() }
}
