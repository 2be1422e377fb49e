//! Requests of clients that wait for their entry to be proposed or applied.

use std::collections::{BTreeMap, VecDeque};

use honeyknot_lease::Command;

use crate::{ClientRequest, Micros};

/// A request whose commands are proposed, or about to be proposed, in an entry.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) client: u64,
    pub(super) id: u64,
    pub(super) command_count: usize,
}

/// Requests whose commands are to share one entry.
#[derive(Debug)]
pub(super) struct Batch {
    /// When the oldest of them arrived.
    pub(super) requested_at: Micros,
    pub(super) commands: Vec<Command>,
    pub(super) requests: Vec<PendingRequest>,
}

/// An entry that was proposed and is not yet applied.
#[derive(Debug)]
pub(super) struct ProposedEntry {
    pub(super) term: u64,
    pub(super) requested_at: Micros,
    pub(super) requests: Vec<PendingRequest>,
}

#[derive(Debug)]
struct QueuedRequest {
    arrived_at: Micros,
    request: ClientRequest,
}

#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    queued: VecDeque<QueuedRequest>,
    /// By index of the entry.
    proposed: BTreeMap<u64, ProposedEntry>,
}

impl PendingRequests {
    pub(super) fn len(&self) -> usize {
        self.queued.len() + self.proposed.values().map(|entry| entry.requests.len()).sum::<usize>()
    }

    pub(super) fn push(&mut self, arrived_at: Micros, request: ClientRequest) {
        self.queued.push_back(QueuedRequest { arrived_at, request });
    }

    /// Takes the next requests to propose: the first one and as many further ones as fit into `max_commands`.
    /// Returns `None` if no request is queued.
    pub(super) fn take_batch(&mut self, now: Micros, max_commands: usize) -> Option<Batch> {
        let mut batch = Batch { requested_at: now, commands: Vec::new(), requests: Vec::new() };
        while let Some(queued) = self.queued.pop_front() {
            let fits = batch.commands.len() + queued.request.commands.len() <= max_commands;
            if !batch.requests.is_empty() && !fits {
                self.queued.push_front(queued);
                break;
            }
            let ClientRequest { client, id, commands } = queued.request;
            batch.requested_at = batch.requested_at.min(queued.arrived_at);
            batch.requests.push(PendingRequest { client, id, command_count: commands.len() });
            batch.commands.extend(commands);
        }
        (!batch.requests.is_empty()).then_some(batch)
    }

    pub(super) fn proposed(&mut self, index: u64, entry: ProposedEntry) {
        self.proposed.insert(index, entry);
    }

    pub(super) fn take_proposed(&mut self, index: u64) -> Option<ProposedEntry> {
        self.proposed.remove(&index)
    }

    /// Removes and returns all requests, those that are not yet proposed first.
    pub(super) fn drain(&mut self) -> Vec<PendingRequest> {
        let queued = self.queued.drain(..).map(|queued| PendingRequest {
            client: queued.request.client,
            id: queued.request.id,
            command_count: queued.request.commands.len(),
        });
        let mut requests: Vec<PendingRequest> = queued.collect();
        let proposed = std::mem::take(&mut self.proposed);
        requests.extend(proposed.into_values().flat_map(|entry| entry.requests));
        requests
    }
}
