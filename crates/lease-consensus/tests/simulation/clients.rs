//! The clients of a simulation: requests, actions and effects.

use honeyknot_lease::{FencingToken, Micros};
use honeyknot_lease_consensus::{ClientRequest, Response};
use rand::Rng;

use crate::event::Event;
use crate::simulator::{Action, COPIES, LEASE, Simulator, TASKS};

impl Simulator {
    pub fn client_step(&mut self, number: usize) {
        let delay = self.rng.random_range(LEASE / 60..LEASE / 20);
        self.schedule(delay, Event::ClientStep(number));
        let now = self.clients[number].clock.at(self.now);
        self.perform_effects(number, now);
        for task in 0..TASKS.len() {
            if self.clients[number].actions.iter().all(|action| action.task != task) {
                self.begin_action(number, task, now);
            }
        }
        self.send_request(number, now);
    }

    /// Performs one effect of each action in progress while its permit is valid.
    fn perform_effects(&mut self, number: usize, now: Micros) {
        for mut action in std::mem::take(&mut self.clients[number].actions) {
            let Some(token) = action.permit.valid_token(now) else { continue };
            self.check_effect(action.task, action.number, token);
            if action.effects_left > 0 {
                action.effects_left -= 1;
                self.clients[number].actions.push(action);
            }
        }
    }

    fn begin_action(&mut self, number: usize, task: usize, now: Micros) {
        let max_duration = self.rng.random_range(LEASE / 50..LEASE / 2);
        if let Ok(permit) = self.clients[number].client.permit(now, TASKS[task].name, max_duration) {
            self.action_count += 1;
            let effects_left = self.rng.random_range(1..12);
            let action = Action { task, number: self.action_count, permit, effects_left };
            self.clients[number].actions.push(action);
        }
    }

    /// Sends the request that is due, if any; it may be lost or duplicated.
    fn send_request(&mut self, number: usize, now: Micros) {
        let Some(request) = self.clients[number].client.next_request(now) else { return };
        let replica = request.server as usize - 1;
        let request = ClientRequest { client: number as u64, id: request.id, commands: request.commands };
        for _ in 0..COPIES[self.rng.random_range(0..COPIES.len())] {
            let delay = self.random_delay();
            self.schedule(delay, Event::RequestArrives { replica, request: request.clone() });
        }
    }

    pub fn response_arrives(&mut self, number: usize, request_id: u64, response: Response) {
        let process = &mut self.clients[number];
        let now = process.clock.at(self.now);
        match response {
            Response::Results(results) => process.client.on_response(now, request_id, &results),
            Response::NotLeader(leader) => process.client.on_redirect(now, request_id, leader),
            Response::Overloaded => process.client.on_overload(now, request_id),
            Response::Leases(_) => {}
        }
    }

    fn check_effect(&mut self, task: usize, action_number: u64, token: FencingToken) {
        let observation = self.action_histories[task].record(self.now, action_number, token);
        let (name, slots) = (TASKS[task].name, TASKS[task].slots);
        if slots == 1 && observation.follows_newer_token {
            self.report_violation(format!(
                "{name}: an effect with token {} follows one with a greater token",
                token.0
            ));
        }
        let concurrent = observation.concurrent_actions;
        if concurrent > slots as usize {
            self.report_violation(format!("{name}: {concurrent} concurrent actions"));
        }
        self.report.effects += 1;
        self.report.holder_changes += u64::from(observation.is_new_token);
        self.report.last_effects[task] = self.now;
    }
}
