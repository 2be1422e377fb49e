//! All claims of one relay: what it asks its keepers now, whom, and when it asks again. One ask is out at a time, with
//! everything in it that is due, so that a relay's cost at the keepers does not grow with its tasks.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::{
    Answer, Command, FencingToken, LeaseHolder, LeaseParameters, Micros, Permit, PermitError, Rejection,
    RequestTime,
};

/// How a relay wants a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskOptions {
    /// How many may hold it at once.
    pub slots: u32,
    /// Held for this long, it is let go for others.
    pub max_hold: Option<Micros>,
    /// Held without an act for this long, it is let go: this relay makes no headway.
    pub max_idle: Option<Micros>,
}

/// What the keepers said to one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResult {
    /// The answer.
    pub answer: Answer,
    /// For a slot that is taken: come again after this.
    pub again: Micros,
}

/// An ask to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// To which keeper, from 1.
    pub keeper: u64,
    /// Given back with the answer.
    pub id: u64,
    /// All that is due.
    pub commands: Vec<Command>,
}

struct Claim {
    options: TaskOptions,
    holder: LeaseHolder,
    nonce: u64,
    /// No command about it before this.
    due: Micros,
    /// Since when it is held, and when its last act began.
    since: Option<(Micros, Micros)>,
    /// Let go, and not told yet.
    freeing: Option<FencingToken>,
    /// Wanted no more.
    leaves: bool,
}

struct Flight {
    id: u64,
    keeper: u64,
    asked: RequestTime,
    until: Micros,
    commands: Vec<Command>,
}

/// Asks given up that are remembered.
const MAX_ABANDONED_REQUESTS: usize = 8;

/// The claims of one process of a relay.
pub struct LeaseClient {
    parameters: LeaseParameters,
    /// New with each process: an old one that still runs is another holder.
    name: String,
    keepers: u64,
    keeper: u64,
    rng: Pcg64Mcg,
    tasks: BTreeMap<String, Claim>,
    flight: Option<Flight>,
    /// Asks that were given up: their answers may still come, and count by when they were asked.
    given_up: VecDeque<Flight>,
    next_id: u64,
    /// Asks in a row that came to nothing.
    failures: u32,
    /// Asks in a row that no keeper which leads has answered.
    unanswered: u32,
    rest: Micros,
}

impl LeaseClient {
    /// Claims under this name, which no other process has, at keepers 1 to `keepers`.
    pub fn new(parameters: LeaseParameters, name: &str, keepers: u64, seed: u64) -> LeaseClient {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let keeper = rng.random_range(1..=keepers.max(1));
        LeaseClient {
            parameters,
            name: name.to_owned(),
            keepers,
            keeper,
            rng,
            tasks: BTreeMap::new(),
            flight: None,
            given_up: VecDeque::new(),
            next_id: 0,
            failures: 0,
            unanswered: 0,
            rest: 0,
        }
    }

    /// Wants a task from now on.
    pub fn add_task(&mut self, now: Micros, task: &str, options: TaskOptions) {
        let holder = LeaseHolder::new(self.parameters);
        let claim = Claim { options, holder, nonce: 1, due: now, since: None, freeing: None, leaves: false };
        self.tasks.entry(task.to_owned()).or_insert(claim).leaves = false;
    }

    /// Wants nothing any more: what is held is let go as soon as no act is under way. Done once [`LeaseClient::idle`].
    pub fn shut_down(&mut self, now: Micros) {
        for claim in self.tasks.values_mut() {
            claim.leaves = true;
            claim.due = now;
        }
        self.rest = now;
    }

    /// Nothing is held, and the keepers know.
    pub fn is_idle(&self) -> bool {
        self.tasks.values().all(|claim| claim.leaves && claim.freeing.is_none() && claim.since.is_none())
    }

    /// The right to one act that takes `longest` at the most.
    pub fn permit(&mut self, now: Micros, task: &str, longest: Micros) -> Result<Permit, PermitError> {
        let claim = self.tasks.get_mut(task).ok_or(PermitError::NotHeld)?;
        if claim.leaves {
            return Err(PermitError::NotHeld);
        }
        let permit = claim.holder.permit(now, longest)?;
        if let Some((_, last)) = &mut claim.since {
            *last = now;
        }
        Ok(permit)
    }

    /// The token by which a task is held.
    pub fn held_token(&self, now: Micros, task: &str) -> Option<FencingToken> {
        self.tasks.get(task)?.holder.held_token(now)
    }

    /// When [`LeaseClient::ask`] is worth calling next.
    pub fn next(&self) -> Micros {
        if let Some(flight) = &self.flight {
            return flight.until;
        }
        let due = self.tasks.values().filter(|claim| !claim.rests()).map(|claim| claim.due);
        due.min().unwrap_or(Micros::MAX).max(self.rest)
    }

    /// What is to be sent now, if anything.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if self.flight.as_ref().is_some_and(|flight| now >= flight.until) {
            self.unanswered += 1;
            self.failed(now, self.next_keeper());
        }
        if self.flight.is_some() || now < self.rest {
            return None;
        }
        let mut commands = Vec::new();
        let soon = now + self.parameters.lease_duration / 8;
        // What is due soon goes along, if there is a reason to ask at all.
        let due = self.tasks.values().any(|claim| !claim.rests() && claim.due <= now);
        for (task, claim) in
            self.tasks.iter_mut().filter(|(_, claim)| due && !claim.rests() && claim.due <= soon)
        {
            commands.extend(claim.command(now, task, &self.name, self.unanswered));
        }
        if commands.is_empty() {
            return None;
        }
        self.next_id += 1;
        // Long enough for an election in between, short enough for another try within the lease.
        let until = now + self.parameters.lease_duration / 4;
        self.flight = Some(Flight {
            id: self.next_id,
            keeper: self.keeper,
            asked: RequestTime::at(now),
            until,
            commands: commands.clone(),
        });
        Some(LeaseRequest { keeper: self.keeper, id: self.next_id, commands })
    }

    /// The answers to an ask, one for each command.
    pub fn on_response(&mut self, now: Micros, id: u64, said: &[CommandResult]) {
        let late = self.given_up.iter().position(|flight| flight.id == id);
        let flight = match late {
            Some(place) => self.given_up.remove(place),
            None => self.flight.take_if(|flight| flight.id == id),
        };
        let Some(flight) = flight.filter(|flight| flight.commands.len() == said.len()) else { return };
        (self.failures, self.unanswered) = (0, 0);
        if late.is_some() {
            // It was slow, not gone: the next ask goes there again, and at once if one is due.
            (self.keeper, self.rest) = (flight.keeper, now);
        }
        for (command, said) in flight.commands.iter().zip(said) {
            let Some(claim) = self.tasks.get_mut(command.task()) else { continue };
            match (command, said.answer) {
                (Command::Release { token, .. }, _) => claim.freed(now, *token, &self.parameters),
                (_, Answer::Held(token)) => {
                    let third = self.parameters.lease_duration / 3;
                    let renew = now + self.rng.random_range(third * 3 / 4..=third);
                    let look = now + self.parameters.lease_duration / 64;
                    claim.granted(flight.asked, now, token, if claim.leaves { look } else { renew });
                }
                (Command::Renew { token, .. }, Answer::Rejected(Rejection::Ended)) => {
                    claim.lease_ended(now, *token)
                }
                (_, Answer::Rejected(Rejection::Unheard)) => claim.due = now,
                // An answer that came late takes nothing from what was granted since.
                _ if claim.holder.held_token(now).is_some() => {}
                (_, Answer::Rejected(Rejection::Taken)) => {
                    claim.due = now + said.again.max(self.parameters.lease_duration / 8)
                }
                // Neither time nor another try will help soon.
                _ => claim.due = now + 8 * self.parameters.lease_duration,
            }
        }
    }

    /// The keeper asked does not lead. Who does, if it knows.
    pub fn on_redirect(&mut self, now: Micros, id: u64, leader: Option<u64>) {
        if !self.is_out(id) {
            return;
        }
        match leader.filter(|leader| (1..=self.keepers).contains(leader) && *leader != self.keeper) {
            // Once at once; keepers that send it round in a circle are failures.
            Some(leader) if self.failures == 0 => {
                self.flight = None;
                (self.keeper, self.failures) = (leader, 1);
                self.rest = now;
            }
            other => self.failed(now, other.unwrap_or(self.next_keeper())),
        }
    }

    /// The keeper has too much to do.
    pub fn on_overload(&mut self, now: Micros, id: u64) {
        if self.is_out(id) {
            self.failed(now, self.keeper);
        }
    }

    /// The keeper cannot be reached, or the connection to it has ended.
    pub fn on_connection_lost(&mut self, now: Micros, id: u64) {
        if self.is_out(id) {
            self.unanswered += 1;
            self.failed(now, self.next_keeper());
        }
    }

    /// Whether this ask is the one that an answer is awaited to.
    fn is_out(&self, id: u64) -> bool {
        self.flight.as_ref().is_some_and(|flight| flight.id == id)
    }

    fn next_keeper(&self) -> u64 {
        self.keeper % self.keepers.max(1) + 1
    }

    /// The ask came to nothing: this keeper next, after a pause that is drawn up to a doubled bound.
    fn failed(&mut self, now: Micros, keeper: u64) {
        if let Some(flight) = self.flight.take() {
            self.given_up.push_front(flight);
            self.given_up.truncate(MAX_ABANDONED_REQUESTS);
        }
        self.failures = (self.failures + 1).min(16);
        self.keeper = keeper;
        let bound = (self.parameters.lease_duration / 32)
            .saturating_mul(1 << self.failures.min(8))
            .min(self.parameters.lease_duration);
        let holds = self.tasks.values().any(|claim| claim.holder.held_token(now).is_some());
        // Who holds something has a lease to lose.
        let bound = if holds { bound.min(self.parameters.lease_duration / 8) } else { bound };
        self.rest = now + self.rng.random_range(0..=bound);
    }
}

impl Claim {
    /// Nothing is wanted, held or to be told.
    fn rests(&self) -> bool {
        self.leaves && self.freeing.is_none() && self.since.is_none()
    }

    /// What to ask about this task now.
    fn command(&mut self, now: Micros, task: &str, name: &str, unanswered: u32) -> Option<Command> {
        let task = task.to_owned();
        if self.since.is_some() && self.ends(now) {
            match self.holder.release() {
                Ok(token) => self.freeing = Some(token),
                // The act ends first; its lease is renewed meanwhile.
                Err(PermitError::Acting) => {}
                Err(_) => self.since = None,
            }
        }
        if let Some(token) = self.freeing {
            return Some(Command::Release { task, token });
        }
        if let Some(token) = self.holder.held_token(now) {
            return Some(Command::Renew { task, token, unanswered });
        }
        if self.leaves {
            // It ran out by itself.
            self.since = None;
            return None;
        }
        // Held once and not renewed in time: perhaps it still stands at the keepers, and the same request renews it.
        self.since = None;
        Some(Command::Acquire {
            task,
            slots: self.options.slots,
            holder: name.to_owned(),
            nonce: self.nonce,
            unanswered,
        })
    }

    /// Whether it is to be let go.
    fn ends(&self, now: Micros) -> bool {
        let Some((since, acted)) = self.since else { return false };
        let over =
            |most: Option<Micros>, from: Micros| most.is_some_and(|most| now >= from.saturating_add(most));
        self.leaves || over(self.options.max_hold, since) || over(self.options.max_idle, acted)
    }

    fn granted(&mut self, asked: RequestTime, now: Micros, token: FencingToken, renew: Micros) {
        self.holder.granted(asked, now, token);
        if self.leaves && self.since.is_none() {
            // Granted after it was wanted no more.
            (self.freeing, self.due) = (Some(token), now);
        } else if self.holder.held_token(now) == Some(token) {
            self.since = self.since.or(Some((now, now)));
            self.due = renew;
        } else {
            // Too late to be worth anything.
            self.due = now;
        }
    }

    /// The keepers know that it is let go: others come first.
    fn freed(&mut self, now: Micros, token: FencingToken, parameters: &LeaseParameters) {
        if self.freeing.take_if(|freeing| *freeing == token).is_some() {
            self.since = None;
            self.nonce += 1;
            self.due = now + 2 * parameters.lease_duration;
        }
    }

    /// The lease has ended at the keepers.
    fn lease_ended(&mut self, now: Micros, token: FencingToken) {
        self.holder.lease_ended(token);
        if self.holder.held_token(now).is_none() {
            self.since = None;
            self.nonce += 1;
            self.due = now;
        }
    }
}
