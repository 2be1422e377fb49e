//! The connections that the relay serves, pending and established, and the ids that clients have open.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use honeyknot_balancer::{AffinityGroup, AttemptId, ClassId, EndpointId, Micros, RequestId};
use tokio::sync::mpsc::UnboundedSender;

use super::ConnectionCommand;

/// The attempt that a connection waits for, or the one that established it.
#[derive(Clone, Debug)]
pub(in crate::relay) struct CurrentAttempt {
    /// Its number within the connection.
    pub(in crate::relay) id: AttemptId,
    /// The endpoint it goes to.
    pub(in crate::relay) endpoint: EndpointId,
    /// When it was started.
    pub(in crate::relay) started_at: Micros,
}

/// A connection as the relay knows it.
#[derive(Debug)]
pub(in crate::relay) struct ConnectionEntry {
    /// The queue of its task.
    pub(in crate::relay) commands: UnboundedSender<ConnectionCommand>,
    /// Attempts that were started.
    pub(in crate::relay) attempts: u32,
    /// When the client's patience ends.
    pub(in crate::relay) deadline: Micros,
    /// The attempt under way.
    pub(in crate::relay) attempt: Option<CurrentAttempt>,
    /// Whether an endpoint has accepted it.
    pub(in crate::relay) established: bool,
    /// Its class.
    pub(in crate::relay) class: ClassId,
    /// Its affinity group.
    pub(in crate::relay) affinity_group: Option<AffinityGroup>,
    /// When the client asked for it.
    pub(in crate::relay) requested_at: Micros,
}

impl ConnectionEntry {
    /// Returns the endpoint that the connection is established at.
    pub(in crate::relay) fn established_endpoint(&self) -> Option<&EndpointId> {
        self.attempt.as_ref().filter(|_| self.established).map(|attempt| &attempt.endpoint)
    }
}

/// All connections that have asked for an endpoint, by the request's id.
#[derive(Debug, Default)]
pub(in crate::relay) struct ConnectionTable {
    entries: BTreeMap<RequestId, ConnectionEntry>,
    last_request_id: u32,
}

impl ConnectionTable {
    /// Returns an id for the next request.
    pub(in crate::relay) fn next_request_id(&mut self) -> RequestId {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        RequestId(self.last_request_id)
    }

    /// Adds a connection.
    pub(in crate::relay) fn insert(&mut self, id: RequestId, entry: ConnectionEntry) {
        self.entries.insert(id, entry);
    }

    /// Removes a connection.
    pub(in crate::relay) fn remove(&mut self, id: RequestId) {
        self.entries.remove(&id);
    }

    /// Returns a connection.
    pub(in crate::relay) fn get(&self, id: RequestId) -> Option<&ConnectionEntry> {
        self.entries.get(&id)
    }

    /// Returns a connection to be changed.
    pub(in crate::relay) fn get_mut(&mut self, id: RequestId) -> Option<&mut ConnectionEntry> {
        self.entries.get_mut(&id)
    }

    /// Returns a connection's attempt under way.
    pub(in crate::relay) fn attempt(&self, id: RequestId) -> Option<&CurrentAttempt> {
        self.get(id)?.attempt.as_ref()
    }

    /// Returns whether an endpoint has accepted a connection.
    pub(in crate::relay) fn is_established(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|entry| entry.established)
    }

    /// Returns how many connections there are.
    pub(in crate::relay) fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the established connections, in the order of their ids.
    pub(in crate::relay) fn established(&self) -> Vec<RequestId> {
        self.entries.iter().filter(|(_, entry)| entry.established).map(|(id, _)| *id).collect()
    }

    /// Returns the connections that wait for an endpoint, in the order of their ids.
    pub(in crate::relay) fn pending(&self) -> Vec<RequestId> {
        self.entries.iter().filter(|(_, entry)| !entry.established).map(|(id, _)| *id).collect()
    }

    /// Returns the endpoint of each established connection, in the order of the connections' ids.
    pub(in crate::relay) fn established_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.entries.values().filter_map(ConnectionEntry::established_endpoint)
    }

    /// Returns the first connection that is established at an endpoint.
    pub(in crate::relay) fn first_connection_to(&self, endpoint: &EndpointId) -> Option<RequestId> {
        let there = |entry: &ConnectionEntry| entry.established_endpoint() == Some(endpoint);
        self.entries.iter().find(|(_, entry)| there(entry)).map(|(id, _)| *id)
    }
}

/// The ids of the clients' connections that are open.
#[derive(Clone, Debug, Default)]
pub(in crate::relay) struct OpenConnectionIds(Rc<RefCell<BTreeSet<Rc<str>>>>);

impl OpenConnectionIds {
    /// Marks an id as open; none if it is open already.
    pub(in crate::relay) fn reserve(&self, id: &str) -> Option<ConnectionIdGuard> {
        let id: Rc<str> = id.into();
        let inserted = self.0.borrow_mut().insert(id.clone());
        inserted.then(|| ConnectionIdGuard { open_connection_ids: self.clone(), id })
    }

    /// Returns how many ids are open.
    pub(in crate::relay) fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

/// The id of a client's connection, open until this is dropped.
#[derive(Debug)]
pub struct ConnectionIdGuard {
    open_connection_ids: OpenConnectionIds,
    id: Rc<str>,
}

impl Drop for ConnectionIdGuard {
    fn drop(&mut self) {
        self.open_connection_ids.0.borrow_mut().remove(&self.id);
    }
}
