//! Faults of a simulation: pauses, cut links and crashes.

use honeyknot_lease_consensus::PersistedState;
use rand::Rng;

use crate::event::Event;
use crate::simulator::{CLIENTS, ClientProcess, LAST_FAULT, LEASE, SimulatedFault, Simulator, TASKS};

impl Simulator {
    pub fn inject_random_fault(&mut self) {
        if self.now >= LAST_FAULT {
            return;
        }
        let delay = self.rng.random_range(LEASE / 10..LEASE);
        self.schedule(delay, Event::Fault);
        let replica_count = self.replicas.len();
        let replica = self.rng.random_range(0..replica_count);
        match self.rng.random_range(0..10) {
            0..=2 => self.paused_until[replica] = self.now + self.rng.random_range(0..2 * LEASE),
            3..=5 => {
                let client = self.rng.random_range(0..CLIENTS);
                self.paused_until[replica_count + client] = self.now + self.rng.random_range(0..2 * LEASE);
            }
            6 => self.pause_a_holder(),
            7 => {
                let receiver = self.rng.random_range(0..replica_count);
                let until = self.now + self.rng.random_range(0..3 * LEASE);
                self.links_cut_until.insert((replica as u64 + 1, receiver as u64 + 1), until);
            }
            8 => self.crash(replica),
            _ => {
                let all_crash = self.rng.random_range(0..4) == 0;
                if all_crash {
                    (0..replica_count).for_each(|replica| self.crash(replica));
                }
            }
        }
    }

    fn pause_a_holder(&mut self) {
        let now = self.now;
        let is_holder = |process: &ClientProcess| {
            let now = process.clock.at(now);
            TASKS.iter().any(|task| process.client.held_token(now, task.name).is_some())
        };
        if let Some(client) = self.clients.iter().position(is_holder) {
            let process = self.replicas.len() + client;
            self.paused_until[process] = now + self.rng.random_range(0..3 * LEASE);
        }
    }

    /// Ends a replica, which restarts later.
    pub fn crash(&mut self, number: usize) {
        self.replicas[number].replica = None;
        self.report.crashes += 1;
        if self.fault == Some(SimulatedFault::LosesPersistedState) {
            self.replicas[number].state = PersistedState::default();
        }
        let delay = self.rng.random_range(0..LEASE);
        self.schedule(delay, Event::ReplicaStarts(number));
    }
}
