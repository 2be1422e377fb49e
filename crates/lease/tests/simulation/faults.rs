//! Faults of a simulation: pauses, lost memory and changes of leader.

use honeyknot_lease::{ExpiryTracker, LeaseTable};
use rand::Rng;

use crate::event::Event;
use crate::simulator::{CLIENTS, LAST_FAULT, LEASE, REPLICAS, Simulator};

impl Simulator {
    pub fn inject_random_fault(&mut self) {
        if self.now >= LAST_FAULT {
            return;
        }
        let delay = self.rng.random_range(LEASE / 10..LEASE);
        self.schedule(delay, Event::Fault);
        let process = self.rng.random_range(0..REPLICAS + CLIENTS);
        match self.rng.random_range(0..4) {
            0 | 1 => self.paused_until[process] = self.now + self.rng.random_range(0..2 * LEASE),
            // A follower loses its memory and applies the log again.
            2 if process < REPLICAS && process != self.leader => {
                self.replicas[process].lease_table = LeaseTable::default();
                self.replicas[process].applied = 0;
            }
            _ => self.elect_leader(),
        }
    }

    /// A running replica applies all committed entries and becomes leader. Its predecessor is not informed.
    fn elect_leader(&mut self) {
        let running: Vec<usize> =
            (0..REPLICAS).filter(|replica| self.paused_until[*replica] <= self.now).collect();
        let chosen = self.rng.random_range(0..running.len().max(1));
        let Some(leader) = running.get(chosen).copied() else { return };
        self.epoch += 1;
        self.leader = leader;
        self.report.elections += 1;
        let replica = &mut self.replicas[leader];
        for command in &self.log[replica.applied..] {
            replica.lease_table.apply(&self.parameters, command);
        }
        replica.applied = self.log.len();
        replica.lease_table.leadership_acquired(&self.parameters);
        let now = replica.clock.at(self.now);
        self.expiry_tracker = ExpiryTracker::new(self.parameters, now, &replica.lease_table);
    }
}
