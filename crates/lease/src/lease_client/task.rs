//! One task of a lease client.

use crate::{Command, FencingToken, LeaseHolder, LeaseParameters, Micros, Permit, PermitError, RequestTime};

/// How a client wants to hold a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskOptions {
    /// Number of clients that may hold the task at the same time.
    pub slots: u32,
    /// Maximum time to hold the lease before it is released for other clients, in microseconds; `None` for no
    /// limit.
    pub max_hold: Option<Micros>,
    /// Maximum time without an action before the lease is released, because this client makes no progress, in
    /// microseconds; `None` for no limit.
    pub max_idle: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct HoldTimes {
    held_since: Micros,
    last_action_at: Micros,
}

/// A task of a lease client and the state of its lease.
#[derive(Debug)]
pub(super) struct Task {
    options: TaskOptions,
    holder: LeaseHolder,
    /// Nonce of the acquire requests. It is incremented when a lease has ended, so that the next acquire is a
    /// new request.
    nonce: u64,
    /// When the next command about the task is due.
    pub(super) due_at: Micros,
    /// Set while the lease is held.
    times: Option<HoldTimes>,
    /// Token of a lease that this client has given up and that is not yet released at the servers.
    releasing: Option<FencingToken>,
    /// Whether the client no longer wants the task.
    pub(super) shutting_down: bool,
}

impl Task {
    pub(super) fn new(parameters: LeaseParameters, now: Micros, options: TaskOptions) -> Task {
        Task {
            options,
            holder: LeaseHolder::new(parameters),
            nonce: 1,
            due_at: now,
            times: None,
            releasing: None,
            shutting_down: false,
        }
    }

    /// Whether the task is no longer wanted, not held, and has no lease to release.
    pub(super) fn is_finished(&self) -> bool {
        self.shutting_down && self.releasing.is_none() && self.times.is_none()
    }

    pub(super) fn held_token(&self, now: Micros) -> Option<FencingToken> {
        self.holder.held_token(now)
    }

    pub(super) fn permit(&mut self, now: Micros, max_duration: Micros) -> Result<Permit, PermitError> {
        if self.shutting_down {
            return Err(PermitError::NotHeld);
        }
        let permit = self.holder.permit(now, max_duration)?;
        if let Some(times) = &mut self.times {
            times.last_action_at = now;
        }
        Ok(permit)
    }

    /// Returns the command to send for this task now, if any.
    pub(super) fn next_command(
        &mut self, now: Micros, task: &str, holder_name: &str, unanswered: u32,
    ) -> Option<Command> {
        let task = task.to_owned();
        if self.must_release(now) {
            match self.holder.release() {
                Ok(token) => self.releasing = Some(token),
                // The lease is renewed until the action has ended.
                Err(PermitError::ActionInProgress) => {}
                Err(_) => self.times = None,
            }
        }
        if let Some(token) = self.releasing {
            return Some(Command::Release { task, token });
        }
        if let Some(token) = self.holder.held_token(now) {
            return Some(Command::Renew { task, token, unanswered });
        }
        self.times = None;
        if self.shutting_down {
            return None;
        }
        // A lease that was not renewed in time may still exist at the servers, where the same nonce renews
        // it.
        let (slots, holder, nonce) = (self.options.slots, holder_name.to_owned(), self.nonce);
        Some(Command::Acquire { task, slots, holder, nonce, unanswered })
    }

    fn must_release(&self, now: Micros) -> bool {
        let Some(times) = self.times else { return false };
        let has_passed = |limit: Option<Micros>, since: Micros| {
            limit.is_some_and(|limit| now >= since.saturating_add(limit))
        };
        self.shutting_down
            || has_passed(self.options.max_hold, times.held_since)
            || has_passed(self.options.max_idle, times.last_action_at)
    }

    /// Records a grant. If its lease is usable, the next command is due at `renew_at`.
    pub(super) fn granted(
        &mut self, requested_at: RequestTime, now: Micros, token: FencingToken, renew_at: Micros,
    ) {
        self.holder.granted(requested_at, now, token);
        if self.shutting_down && self.times.is_none() {
            // Granted after the shutdown began.
            (self.releasing, self.due_at) = (Some(token), now);
        } else if self.holder.held_token(now) == Some(token) {
            self.times = self.times.or(Some(HoldTimes { held_since: now, last_action_at: now }));
            self.due_at = renew_at;
        } else {
            // The response arrived after the usable time of the lease.
            self.due_at = now;
        }
    }

    /// Records that the servers have released the lease. The next acquire is delayed, so that other clients
    /// can acquire it first.
    pub(super) fn released(&mut self, now: Micros, token: FencingToken, parameters: &LeaseParameters) {
        if self.releasing.take_if(|releasing| *releasing == token).is_some() {
            self.times = None;
            self.nonce += 1;
            self.due_at = now + 2 * parameters.lease_duration;
        }
    }

    /// Records that the lease has ended at the servers.
    pub(super) fn lease_ended(&mut self, now: Micros, token: FencingToken) {
        self.holder.lease_ended(token);
        if self.holder.held_token(now).is_none() {
            self.times = None;
            self.nonce += 1;
            self.due_at = now;
        }
    }
}
