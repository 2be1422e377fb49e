//! The client's state machine: one request at a time, with the commands of all tasks that are due.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::request::{CommandResult, LeaseRequest, SentRequest};
use super::task::{Task, TaskOptions};
use crate::{
    Command, CommandOutcome, FencingToken, LeaseParameters, Micros, Permit, PermitError, Rejection,
    RequestTime,
};

/// Maximum number of abandoned requests whose late responses are still processed.
const MAX_ABANDONED_REQUESTS: usize = 8;
/// Maximum of the count of failed requests in a row.
const MAX_FAILURES: u32 = 16;
/// Maximum of the exponent of the backoff.
const MAX_BACKOFF_EXPONENT: u32 = 8;

/// The lease client of one process, for all of its tasks.
#[derive(Debug)]
pub struct LeaseClient {
    parameters: LeaseParameters,
    /// Unique to this process, so that a previous process that still runs is another holder.
    name: String,
    server_count: u64,
    /// Number of the server that receives the next request.
    server: u64,
    rng: Pcg64Mcg,
    tasks: BTreeMap<String, Task>,
    in_flight: Option<SentRequest>,
    /// Requests that timed out. A grant in a late response is measured from when its request was sent.
    abandoned: VecDeque<SentRequest>,
    last_id: u64,
    /// Number of requests in a row that failed.
    failures: u32,
    /// Number of requests in a row without a response from a leader.
    unanswered: u32,
    /// No request is sent before this.
    backoff_until: Micros,
}

impl LeaseClient {
    /// Creates a client for the servers 1 to `server_count`. `name` must be unique to this process.
    pub fn new(parameters: LeaseParameters, name: &str, server_count: u64, seed: u64) -> LeaseClient {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let server = rng.random_range(1..=server_count.max(1));
        LeaseClient {
            parameters,
            name: name.to_owned(),
            server_count,
            server,
            rng,
            tasks: BTreeMap::new(),
            in_flight: None,
            abandoned: VecDeque::new(),
            last_id: 0,
            failures: 0,
            unanswered: 0,
            backoff_until: 0,
        }
    }

    /// Starts to acquire a task and keeps acquiring it until the client shuts down.
    pub fn add_task(&mut self, now: Micros, task: &str, options: TaskOptions) {
        let new_task = Task::new(self.parameters, now, options);
        self.tasks.entry(task.to_owned()).or_insert(new_task).shutting_down = false;
    }

    /// Releases all leases as soon as no action is in progress. This has completed once
    /// [`LeaseClient::is_idle`] returns `true`.
    pub fn shut_down(&mut self, now: Micros) {
        for task in self.tasks.values_mut() {
            task.shutting_down = true;
            task.due_at = now;
        }
        self.backoff_until = now;
    }

    /// Returns whether no task is wanted or held, and all leases are released at the servers.
    pub fn is_idle(&self) -> bool {
        self.tasks.values().all(Task::is_finished)
    }

    /// Permits one action of at most `max_duration` microseconds.
    ///
    /// # Errors
    /// The same as those of [`crate::LeaseHolder::permit`].
    pub fn permit(&mut self, now: Micros, task: &str, max_duration: Micros) -> Result<Permit, PermitError> {
        self.tasks.get_mut(task).ok_or(PermitError::NotHeld)?.permit(now, max_duration)
    }

    /// Returns the token of a task's lease, or `None` if no usable lease is held.
    pub fn held_token(&self, now: Micros, task: &str) -> Option<FencingToken> {
        self.tasks.get(task)?.held_token(now)
    }

    /// Returns when [`LeaseClient::next_request`] must be called next.
    pub fn next_request_at(&self) -> Micros {
        if let Some(request) = &self.in_flight {
            return request.times_out_at;
        }
        let due = self.tasks.values().filter(|task| !task.is_finished()).map(|task| task.due_at);
        due.min().unwrap_or(Micros::MAX).max(self.backoff_until)
    }

    /// Returns the request to send now, or `None` if none is due. A request in flight that has timed out is
    /// abandoned.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if self.in_flight.as_ref().is_some_and(|request| now >= request.times_out_at) {
            self.unanswered += 1;
            self.request_failed(now, self.next_server());
        }
        if self.in_flight.is_some() || now < self.backoff_until {
            return None;
        }
        let commands = self.due_commands(now);
        if commands.is_empty() {
            return None;
        }
        self.last_id += 1;
        let (id, server) = (self.last_id, self.server);
        self.in_flight = Some(SentRequest {
            id,
            server,
            sent_at: RequestTime::at(now),
            // Long enough for an election, short enough for a retry before the lease expires.
            times_out_at: now + self.parameters.lease_duration / 4,
            commands: commands.clone(),
        });
        Some(LeaseRequest { server, id, commands })
    }

    /// If a command is due now, returns all commands that are due now or soon.
    fn due_commands(&mut self, now: Micros) -> Vec<Command> {
        let any_due = self.tasks.values().any(|task| !task.is_finished() && task.due_at <= now);
        if !any_due {
            return Vec::new();
        }
        let soon = now + self.parameters.lease_duration / 8;
        let due = self.tasks.iter_mut().filter(|(_, task)| !task.is_finished() && task.due_at <= soon);
        due.filter_map(|(name, task)| task.next_command(now, name, &self.name, self.unanswered)).collect()
    }

    /// Handles a leader's response, which has one result for each command.
    pub fn on_response(&mut self, now: Micros, id: u64, results: &[CommandResult]) {
        let abandoned_position = self.abandoned.iter().position(|request| request.id == id);
        let request = match abandoned_position {
            Some(position) => self.abandoned.remove(position),
            None => self.in_flight.take_if(|request| request.id == id),
        };
        let Some(request) = request.filter(|request| request.commands.len() == results.len()) else { return };
        (self.failures, self.unanswered) = (0, 0);
        if abandoned_position.is_some() {
            // The server is slow but running: the next request goes there again, without a backoff.
            (self.server, self.backoff_until) = (request.server, now);
        }
        for (command, result) in request.commands.iter().zip(results) {
            self.on_result(now, request.sent_at, command, *result);
        }
    }

    fn on_result(&mut self, now: Micros, sent_at: RequestTime, command: &Command, result: CommandResult) {
        let duration = self.parameters.lease_duration;
        let Some(task) = self.tasks.get_mut(command.task()) else { return };
        match (command, result.outcome) {
            (Command::Release { token, .. }, _) => task.released(now, *token, &self.parameters),
            (_, CommandOutcome::Held(token)) => {
                let third = duration / 3;
                let renew_at = now + self.rng.random_range(third * 3 / 4..=third);
                let recheck_at = now + duration / 64;
                let due_at = if task.shutting_down { recheck_at } else { renew_at };
                task.granted(sent_at, now, token, due_at);
            }
            (Command::Renew { token, .. }, CommandOutcome::Rejected(Rejection::LeaseEnded)) => {
                task.lease_ended(now, *token);
            }
            (_, CommandOutcome::Rejected(Rejection::TooManyUnanswered)) => task.due_at = now,
            // A late rejection does not affect a lease that was granted since.
            _ if task.held_token(now).is_some() => {}
            (_, CommandOutcome::Rejected(Rejection::SlotsTaken)) => {
                task.due_at = now + result.retry_after.max(duration / 8);
            }
            // The other rejections are not resolved by a quick retry.
            _ => task.due_at = now + 8 * duration,
        }
    }

    /// Handles a response that the server is not the leader. `leader` is the leader, if the server knows it.
    pub fn on_redirect(&mut self, now: Micros, id: u64, leader: Option<u64>) {
        if !self.is_in_flight(id) {
            return;
        }
        let is_other_server =
            |leader: &u64| (1..=self.server_count).contains(leader) && *leader != self.server;
        match leader.filter(is_other_server) {
            // The first redirect is followed at once; further ones count as failures, as servers may redirect
            // in a circle.
            Some(leader) if self.failures == 0 => {
                self.in_flight = None;
                (self.server, self.failures) = (leader, 1);
                self.backoff_until = now;
            }
            other => self.request_failed(now, other.unwrap_or(self.next_server())),
        }
    }

    /// Handles a response that the server is overloaded.
    pub fn on_overload(&mut self, now: Micros, id: u64) {
        if self.is_in_flight(id) {
            self.request_failed(now, self.server);
        }
    }

    /// Handles that the server is unreachable or the connection to it has ended.
    pub fn on_connection_lost(&mut self, now: Micros, id: u64) {
        if self.is_in_flight(id) {
            self.unanswered += 1;
            self.request_failed(now, self.next_server());
        }
    }

    fn is_in_flight(&self, id: u64) -> bool {
        self.in_flight.as_ref().is_some_and(|request| request.id == id)
    }

    fn next_server(&self) -> u64 {
        self.server % self.server_count.max(1) + 1
    }

    /// Abandons the request in flight. The next request goes to `server`, after a jittered exponential
    /// backoff.
    fn request_failed(&mut self, now: Micros, server: u64) {
        if let Some(request) = self.in_flight.take() {
            self.abandoned.push_front(request);
            self.abandoned.truncate(MAX_ABANDONED_REQUESTS);
        }
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.server = server;
        let backoff = self.max_backoff(now);
        self.backoff_until = now + self.rng.random_range(0..=backoff);
    }

    fn max_backoff(&self, now: Micros) -> Micros {
        let duration = self.parameters.lease_duration;
        let exponent = self.failures.min(MAX_BACKOFF_EXPONENT);
        let backoff = (duration / 32).saturating_mul(1 << exponent).min(duration);
        let holds_a_lease = self.tasks.values().any(|task| task.held_token(now).is_some());
        // A client that holds a lease retries sooner, so that it does not lose the lease.
        if holds_a_lease { backoff.min(duration / 8) } else { backoff }
    }
}
