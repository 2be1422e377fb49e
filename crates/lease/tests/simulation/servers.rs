//! The replicas of a simulation: requests, proposals and commits.

use honeyknot_lease::{Command, CommandOutcome, FencingToken, Micros};
use rand::Rng;

use crate::event::{Event, Request};
use crate::report::Grant;
use crate::simulator::{LEASE, Simulator};

impl Simulator {
    pub fn leader_tick(&mut self) {
        let now = self.replicas[self.leader].clock.at(self.now);
        for command in self.expiry_tracker.expired(now) {
            self.propose(None, command, now);
        }
        self.schedule(LEASE / 20, Event::LeaderTick);
    }

    /// A replica that is not the leader ignores the request, which the client then sends again.
    pub fn request_arrives(&mut self, replica: usize, request: Request) {
        if replica == self.leader {
            let received_at = self.replicas[replica].clock.at(self.now);
            let command = request.command.clone();
            self.propose(Some(request), command, received_at);
        }
    }

    fn propose(&mut self, request: Option<Request>, command: Command, received_at: Micros) {
        let delay = self.random_delay() / 4;
        self.schedule(delay, Event::Committed { epoch: self.epoch, request, command, received_at });
    }

    pub fn committed(&mut self, request: Option<Request>, command: &Command, received_at: Micros) {
        self.log.push(command.clone());
        let leader = &mut self.replicas[self.leader];
        leader.applied = self.log.len();
        let outcome = leader.lease_table.apply(&self.parameters, command);
        let now = leader.clock.at(self.now);
        let commands = std::slice::from_ref(command);
        self.expiry_tracker.commands_applied(received_at, now, &leader.lease_table, commands);
        if let (Command::Acquire { .. }, CommandOutcome::Held(token)) = (command, outcome) {
            self.check_grant(token);
        }
        if let Some(request) = request
            && self.rng.random_range(0..10) > 0
        {
            let delay = self.random_delay();
            self.schedule(delay, Event::ResponseArrives { request, outcome });
        }
    }

    /// Checks that the token of a new grant is greater than all earlier tokens.
    fn check_grant(&mut self, token: FencingToken) {
        if self.report.granted.iter().any(|grant| grant.token == token) {
            return;
        }
        let last = self.report.granted.last().map(|grant| grant.token);
        if last.is_some_and(|last| token < last) {
            self.report.violation = Some(format!("{token:?} is granted after {last:?}"));
        }
        self.report.granted.push(Grant { token, at: self.now });
    }
}
