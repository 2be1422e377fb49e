//! The replica: raft, the lease table as its state machine, and the requests of clients.

mod leadership;
mod message_check;
mod pending_requests;
mod persistence;
mod raft_config;
mod state_machine;

use std::cmp::Reverse;
use std::fmt;

use honeyknot_lease::{Command, LeaseTable};
use raft::{RawNode, Ready, StateRole, eraftpb};

use crate::log::Log;
use crate::{
    ClientRequest, Entry, Micros, PeerMessage, PersistedState, ReplicaError, ReplicaId, ReplicaSettings,
    Response, Snapshot, StoredItem,
};
use leadership::Leadership;
use pending_requests::{PendingRequest, PendingRequests, ProposedEntry};
use state_machine::decode;

/// Maximum number of requests that wait for a proposal or a commit; further ones are answered with
/// [`Response::Overloaded`].
const MAX_PENDING_REQUESTS: usize = 8_192;
/// Maximum number of commands in one entry.
const MAX_COMMANDS_PER_ENTRY: usize = 4_096;

/// What the caller of [`Replica::advance`] must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message to another replica; it may be lost.
    Send(PeerMessage),
    /// Send a response to a client.
    Respond {
        /// The client.
        client: u64,
        /// Id of the client's request.
        request_id: u64,
        /// The response.
        response: Response,
    },
}

/// One replica of the lease service.
pub struct Replica {
    settings: ReplicaSettings,
    voters: Vec<ReplicaId>,
    node: RawNode<Log>,
    lease_table: LeaseTable,
    applied_index: u64,
    /// Set while this replica is the leader.
    leadership: Option<Leadership>,
    requests: PendingRequests,
    /// Index of the proposed entry that expires leases, until it is applied; `None` if there is none.
    expiry_index: Option<u64>,
    /// The engine's output that is being persisted.
    ready: Option<Ready>,
    /// A snapshot that this replica took and has not yet persisted.
    new_snapshot: Option<Snapshot>,
    /// Actions that the next [`Replica::advance`] returns.
    actions: Vec<ReplicaAction>,
}

impl Replica {
    /// Creates a replica from its persisted state, which is empty for a new replica.
    ///
    /// # Errors
    /// The state is inconsistent or cannot be decoded, or the engine rejects the settings.
    pub fn new(settings: ReplicaSettings, state: PersistedState) -> Result<Replica, ReplicaError> {
        state.check()?;
        let voters: Vec<ReplicaId> = (1..=settings.replica_count).collect();
        let mut config = raft_config::raft_config(&settings);
        let mut lease_table = LeaseTable::with_tokens_from(settings.tokens_from);
        if let Some(snapshot) = &state.snapshot {
            config.applied = snapshot.index;
            lease_table = decode(StoredItem::Snapshot, snapshot.index, &snapshot.lease_table)?;
        }
        let applied_index = config.applied;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, Log::new(&voters, state), &logger)?;
        Ok(Replica {
            settings,
            voters,
            node,
            lease_table,
            applied_index,
            leadership: None,
            requests: PendingRequests::default(),
            expiry_index: None,
            ready: None,
            new_snapshot: None,
            actions: Vec::new(),
        })
    }

    /// Advances the engine's logical clock and proposes to end the leases that have expired. Must be called
    /// at [`ReplicaSettings::tick_interval`].
    pub fn tick(&mut self, now: Micros) {
        self.node.tick();
        let Some(leadership) = &self.leadership else { return };
        if self.expiry_index.is_some() {
            return;
        }
        let mut expired = leadership.expiry_tracker.expired(now);
        if expired.is_empty() {
            return;
        }
        expired.truncate(MAX_COMMANDS_PER_ENTRY);
        self.expiry_index = self.propose(now, &expired, Vec::new());
    }

    /// Handles another replica's message. A message that is not addressed to this replica or not sent by
    /// another replica is ignored.
    ///
    /// # Errors
    /// The message shows that this replica has lost entries or belongs to another fleet.
    pub fn step(&mut self, message: PeerMessage) -> Result<(), ReplicaError> {
        if let Some(message) = self.check_message(message)? {
            // The engine returns errors for stale messages, which its caller is expected to ignore.
            let _ = self.node.step(message);
        }
        Ok(())
    }

    /// Reports that another replica is unreachable, upon which the engine sends it fewer messages.
    pub fn report_unreachable(&mut self, replica: ReplicaId) {
        self.node.report_unreachable(replica);
        self.node.report_snapshot(replica, raft::SnapshotStatus::Failure);
    }

    /// Reports that a snapshot was sent to another replica.
    pub fn report_snapshot_sent(&mut self, replica: ReplicaId) {
        self.node.report_snapshot(replica, raft::SnapshotStatus::Finish);
    }

    /// Accepts a client's request. A later [`Replica::advance`] returns the response as an action.
    pub fn request(&mut self, now: Micros, request: ClientRequest) {
        let ClientRequest { client, id, .. } = request;
        if self.leadership.is_none() {
            let leader = self.leader();
            self.respond(client, id, Response::NotLeader(leader));
        } else if self.requests.len() >= MAX_PENDING_REQUESTS
            || request.commands.len() > MAX_COMMANDS_PER_ENTRY
        {
            self.respond(client, id, Response::Overloaded);
        } else {
            self.requests.push(now, request);
        }
    }

    /// If this replica is the leader, starts to transfer the leadership to the follower with the longest log.
    pub fn transfer_leadership(&mut self) {
        if self.node.raft.state != StateRole::Leader {
            return;
        }
        let own_id = self.settings.id;
        let followers = self.node.raft.prs().iter().filter(|(id, _)| **id != own_id);
        let target = followers.max_by_key(|(id, progress)| (progress.matched, Reverse(**id)));
        if let Some(target) = target.map(|(id, _)| *id) {
            self.node.transfer_leader(target);
        }
    }

    /// Returns the leader, or `None` if this replica does not know it.
    pub fn leader(&self) -> Option<ReplicaId> {
        Some(self.node.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Proposes the requests that arrived since the last proposal, in as few entries as possible.
    fn propose_requests(&mut self, now: Micros) {
        while let Some(batch) = self.requests.take_batch(now, MAX_COMMANDS_PER_ENTRY) {
            self.propose(batch.requested_at, &batch.commands, batch.requests);
        }
    }

    /// Proposes an entry and returns its index. If the engine rejects it, responds [`Response::Overloaded`]
    /// to its requests and returns `None`.
    fn propose(
        &mut self, requested_at: Micros, commands: &[Command], requests: Vec<PendingRequest>,
    ) -> Option<u64> {
        let data = postcard::to_stdvec(commands).ok();
        let proposed = data.is_some_and(|data| self.node.propose(Vec::new(), data).is_ok());
        if !proposed {
            for request in requests {
                self.respond(request.client, request.id, Response::Overloaded);
            }
            return None;
        }
        let index = self.node.raft.raft_log.last_index();
        let term = self.node.raft.term;
        self.requests.proposed(index, ProposedEntry { term, requested_at, requests });
        Some(index)
    }

    fn send(&mut self, messages: Vec<eraftpb::Message>) {
        self.actions.extend(messages.into_iter().map(|message| ReplicaAction::Send(message.into())));
    }

    fn respond(&mut self, client: u64, request_id: u64, response: Response) {
        self.actions.push(ReplicaAction::Respond { client, request_id, response });
    }

    /// Returns the log's entries in memory from an index on, for tests that compare replicas.
    pub fn log_entries_from(&self, index: u64) -> Vec<Entry> {
        self.node.store().entries_from(index)
    }
}

impl fmt::Debug for Replica {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Replica")
            .field("id", &self.settings.id)
            .field("term", &self.term())
            .field("leader", &self.leader())
            .field("applied_index", &self.applied_index)
            .finish_non_exhaustive()
    }
}
