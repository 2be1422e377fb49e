//! Begin and end of this replica's leadership.

use honeyknot_lease::{AcquireBackoff, ExpiryTracker};
use raft::StateRole;

use super::Replica;
use crate::{Micros, Response};

/// What a leader keeps in memory for the duration of its term.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: u64,
    pub(super) expiry_tracker: ExpiryTracker,
    pub(super) acquire_backoff: AcquireBackoff,
}

impl Replica {
    /// Begins or ends the leadership if the engine's role or term has changed.
    pub(super) fn follow_role(&mut self, now: Micros) {
        let is_leader = self.node.raft.state == StateRole::Leader;
        let is_new_term =
            self.leadership.as_ref().is_none_or(|leadership| leadership.term != self.node.raft.term);
        if is_leader && is_new_term {
            self.end_leadership();
            self.begin_leadership(now);
        } else if !is_leader && self.leadership.is_some() {
            self.end_leadership();
        }
    }

    fn begin_leadership(&mut self, now: Micros) {
        let parameters = self.settings.parameters;
        self.lease_table.leadership_acquired(&parameters);
        self.leadership = Some(Leadership {
            term: self.node.raft.term,
            expiry_tracker: ExpiryTracker::new(parameters, now, &self.lease_table),
            acquire_backoff: AcquireBackoff::new(parameters),
        });
    }

    /// Ends the leadership and answers all pending requests with [`Response::NotLeader`].
    fn end_leadership(&mut self) {
        self.leadership = None;
        self.expiry_index = None;
        let leader = self.leader().filter(|leader| *leader != self.settings.id);
        for request in self.requests.drain() {
            self.respond(request.client, request.id, Response::NotLeader(leader));
        }
    }
}
