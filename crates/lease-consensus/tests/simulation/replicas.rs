//! The replicas of a simulation and their storage.

use honeyknot_lease_consensus::{ClientRequest, Entry, PeerMessage, Replica, ReplicaAction, ReplicaError};
use rand::Rng;

use crate::event::Event;
use crate::simulator::{COPIES, LAST_FAULT, LEASE, SimulatedFault, Simulator, TICK_INTERVAL};

impl Simulator {
    pub fn replica_starts(&mut self, number: usize) {
        let mut settings = self.settings.clone();
        settings.id = number as u64 + 1;
        match Replica::new(settings, self.replicas[number].state.clone()) {
            Ok(replica) => self.replicas[number].replica = Some(replica),
            Err(error) => {
                self.report_violation(format!("replica {} does not start: {error}", number + 1));
            }
        }
    }

    pub fn replica_tick(&mut self, number: usize) {
        self.schedule(TICK_INTERVAL, Event::ReplicaTick(number));
        let process = &mut self.replicas[number];
        if let Some(replica) = &mut process.replica {
            replica.tick(process.clock.at(self.now));
        }
        self.schedule_persist(number);
    }

    pub fn peer_message_arrives(&mut self, message: PeerMessage) {
        let number = message.to as usize - 1;
        let Some(replica) = &mut self.replicas[number].replica else { return };
        match replica.step(message) {
            Ok(()) => self.schedule_persist(number),
            Err(error) => self.replica_failed(number, &error),
        }
    }

    pub fn request_arrives(&mut self, number: usize, request: ClientRequest) {
        let process = &mut self.replicas[number];
        let Some(replica) = &mut process.replica else { return };
        replica.request(process.clock.at(self.now), request);
        self.schedule_persist(number);
    }

    fn replica_failed(&mut self, number: usize, error: &ReplicaError) {
        self.report_violation(format!("replica {}: {error}", number + 1));
    }

    /// Schedules a write after a random delay, which is rarely a long one.
    fn schedule_persist(&mut self, number: usize) {
        if !std::mem::replace(&mut self.replicas[number].is_persist_scheduled, true) {
            let is_slow = self.rng.random_range(0..200) == 0;
            let delay = self.rng.random_range(0..if is_slow { LEASE / 2 } else { LEASE / 500 });
            self.schedule(delay, Event::Persist(number));
        }
    }

    /// Persists a replica's writes and performs the actions that follow, until there are none. The replica
    /// may crash before a write is durable, or after it and before its messages are sent.
    pub fn persist(&mut self, number: usize) {
        self.replicas[number].is_persist_scheduled = false;
        loop {
            let process = &mut self.replicas[number];
            let now = process.clock.at(self.now);
            let Some(replica) = &mut process.replica else { return };
            let Some(write) = replica.ready(now) else { break };
            let crashes = self.now < LAST_FAULT && self.rng.random_range(0..1_500) == 0;
            let is_durable = !crashes || self.rng.random_bool(0.5);
            let sends_early = self.fault == Some(SimulatedFault::RespondsBeforePersisting);
            if is_durable && !(sends_early && crashes) {
                process.state.write(write.clone());
            }
            if crashes && !sends_early {
                return self.crash(number);
            }
            match replica.advance(now, write) {
                Ok(actions) => actions.into_iter().for_each(|action| self.perform(action)),
                Err(error) => return self.replica_failed(number, &error),
            }
            if crashes {
                return self.crash(number);
            }
        }
        self.check_committed(number);
    }

    /// Checks that a committed entry is the same at all replicas and at all times.
    fn check_committed(&mut self, number: usize) {
        let process = &self.replicas[number];
        let Some(replica) = &process.replica else { return };
        let last_known = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        let commit = process.state.hard_state.commit;
        let from = last_known.min(commit).saturating_sub(2).max(1);
        let mut violation = None;
        let entries = replica.log_entries_from(from);
        for entry in entries.iter().take_while(|entry| entry.index <= commit) {
            let hash = hash(entry);
            if *self.committed.entry(entry.index).or_insert(hash) != hash {
                violation = Some(format!("entry {} differs at replica {}", entry.index, number + 1));
            }
        }
        self.report.terms = self.report.terms.max(replica.term());
        if let Some(violation) = violation {
            self.report_violation(violation);
        }
    }

    fn perform(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Send(message) => self.send_to_peer(&message),
            ReplicaAction::Respond { client, request_id, response } => {
                let is_delivered = self.rng.random_range(0..12) > 0;
                if is_delivered {
                    let delay = self.random_delay();
                    let client = client as usize;
                    self.schedule(delay, Event::ResponseArrives { client, request_id, response });
                }
            }
        }
    }

    fn send_to_peer(&mut self, message: &PeerMessage) {
        let cut_until = self.links_cut_until.get(&(message.from, message.to));
        if cut_until.is_some_and(|until| *until > self.now) {
            return;
        }
        for _ in 0..COPIES[self.rng.random_range(0..COPIES.len())] {
            let delay = self.random_delay();
            self.schedule(delay, Event::PeerMessageArrives(message.clone()));
        }
    }
}

fn hash(entry: &Entry) -> u64 {
    entry.data.iter().fold(entry.term, |sum, byte| sum.wrapping_mul(131) ^ u64::from(*byte))
}
