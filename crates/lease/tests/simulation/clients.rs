//! The clients of a simulation: requests, actions and effects.

use honeyknot_lease::{Command, CommandOutcome, FencingToken, Micros, Rejection, RequestTime};
use rand::Rng;

use crate::event::{Event, Request};
use crate::simulator::{Action, LEASE, REPLICAS, Simulator, TASK};

/// How many times a message is delivered, each with the same probability.
const COPIES: [u32; 10] = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2];

impl Simulator {
    pub fn client_step(&mut self, client: usize) {
        let delay = self.rng.random_range(LEASE / 60..LEASE / 20);
        self.schedule(delay, Event::ClientStep(client));
        let now = self.clients[client].clock.at(self.now);
        self.perform_effect(client, now);
        let request_is_due = self.now >= self.clients[client].last_request_at + LEASE / 4;
        let Some(token) = self.clients[client].holder.held_token(now) else {
            if request_is_due {
                self.send_acquire(client);
            }
            return;
        };
        if self.rng.random_range(0..60) == 0 {
            if let Ok(token) = self.clients[client].holder.release() {
                self.send(client, Command::Release { task: TASK.into(), token });
            }
            return;
        }
        if request_is_due {
            self.send(client, Command::Renew { task: TASK.into(), token, unanswered: 0 });
        }
        if self.clients[client].action.is_none() {
            self.begin_action(client, now);
        }
    }

    /// Sends a new acquire request, or the last one again.
    fn send_acquire(&mut self, client: usize) {
        self.clients[client].nonce += u64::from(self.rng.random_bool(0.7));
        let (holder, nonce) = (format!("n{client}"), self.clients[client].nonce);
        self.send(client, Command::Acquire { task: TASK.into(), slots: 1, holder, nonce, unanswered: 0 });
    }

    /// Sends a request, mostly to the leader; it may be lost or duplicated.
    fn send(&mut self, client: usize, command: Command) {
        let sent_at = RequestTime::at(self.clients[client].clock.at(self.now));
        self.clients[client].last_request_at = self.now;
        for _ in 0..COPIES[self.rng.random_range(0..COPIES.len())] {
            let replica =
                if self.rng.random_bool(0.8) { self.leader } else { self.rng.random_range(0..REPLICAS) };
            let delay = self.random_delay();
            let request = Request { client, command: command.clone(), sent_at };
            self.schedule(delay, Event::RequestArrives { replica, request });
        }
    }

    fn begin_action(&mut self, client: usize, now: Micros) {
        let max_duration = self.rng.random_range(LEASE / 50..LEASE / 2);
        if let Ok(permit) = self.clients[client].holder.permit(now, max_duration) {
            let effects_left = self.rng.random_range(1..12);
            self.clients[client].action = Some(Action { permit, effects_left });
            self.report.actions += 1;
            self.perform_effect(client, now);
        }
    }

    /// Performs one effect of the action in progress while its permit is valid.
    fn perform_effect(&mut self, client: usize, now: Micros) {
        let Some(action) = self.clients[client].action.take() else { return };
        let Some(token) = action.permit.valid_token(now) else { return };
        self.check_effect(token);
        if action.effects_left > 0 {
            let effects_left = action.effects_left - 1;
            self.clients[client].action = Some(Action { effects_left, ..action });
        }
    }

    fn check_effect(&mut self, token: FencingToken) {
        if token < self.highest_token {
            self.report.violation =
                Some(format!("an effect with {token:?} follows one with {:?}", self.highest_token));
        }
        self.report.holder_changes += u64::from(token > self.highest_token);
        self.highest_token = self.highest_token.max(token);
        self.report.effects += 1;
        self.report.last_effect = self.now;
    }

    pub fn response_arrives(&mut self, request: &Request, outcome: CommandOutcome) {
        let client = &mut self.clients[request.client];
        let now = client.clock.at(self.now);
        match (&request.command, outcome) {
            (Command::Acquire { .. } | Command::Renew { .. }, CommandOutcome::Held(token)) => {
                client.holder.granted(request.sent_at, now, token);
            }
            (Command::Renew { token, .. }, CommandOutcome::Rejected(Rejection::LeaseEnded)) => {
                client.holder.lease_ended(*token);
            }
            _ => {}
        }
    }
}
