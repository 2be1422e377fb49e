//! The connections that the relay serves, pending and established.

use std::collections::BTreeMap;

use honeyknot_balancer::{AffinityGroup, AttemptId, ClassId, EndpointId, Micros, RequestId};
use tokio::sync::mpsc::UnboundedSender;

use super::ConnectionCommand;

/// The attempt in progress on a connection, or the one that established it.
#[derive(Clone, Debug)]
pub(in crate::relay) struct CurrentAttempt {
    /// Number of the attempt within the connection, from 0.
    pub(in crate::relay) id: AttemptId,
    /// Endpoint of the attempt.
    pub(in crate::relay) endpoint: EndpointId,
    /// Time at which the attempt was started, in Unix microseconds.
    pub(in crate::relay) started_at: Micros,
}

/// The relay's record of a connection.
#[derive(Debug)]
pub(in crate::relay) struct ConnectionEntry {
    /// Queue of commands to the connection's task.
    pub(in crate::relay) commands: UnboundedSender<ConnectionCommand>,
    /// Number of attempts started so far.
    pub(in crate::relay) attempts_started: u32,
    /// Time until which the client waits for a response, in Unix microseconds.
    pub(in crate::relay) deadline: Micros,
    /// The attempt in progress, or the one that established the connection; `None` between attempts.
    pub(in crate::relay) current_attempt: Option<CurrentAttempt>,
    /// Whether an endpoint has accepted the connection.
    pub(in crate::relay) established: bool,
    /// Class of the request.
    pub(in crate::relay) class: ClassId,
    /// Affinity group that the client named, if any; always `None` if the settings disable affinity groups.
    pub(in crate::relay) affinity_group: Option<AffinityGroup>,
    /// Time at which the client's request was registered, in Unix microseconds.
    pub(in crate::relay) requested_at: Micros,
}

impl ConnectionEntry {
    /// Returns the endpoint at which the connection is established, or `None` if it is not established.
    pub(in crate::relay) fn established_endpoint(&self) -> Option<&EndpointId> {
        self.current_attempt.as_ref().filter(|_| self.established).map(|attempt| &attempt.endpoint)
    }
}

/// All registered connections, by request id.
#[derive(Debug, Default)]
pub(in crate::relay) struct ConnectionTable {
    entries: BTreeMap<RequestId, ConnectionEntry>,
    last_request_id: u32,
}

impl ConnectionTable {
    /// Returns a new request id.
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

    /// Returns a connection, or `None` if it is not registered.
    pub(in crate::relay) fn get(&self, id: RequestId) -> Option<&ConnectionEntry> {
        self.entries.get(&id)
    }

    /// Returns a connection for modification, or `None` if it is not registered.
    pub(in crate::relay) fn get_mut(&mut self, id: RequestId) -> Option<&mut ConnectionEntry> {
        self.entries.get_mut(&id)
    }

    /// Returns the attempt in progress on a connection, or the one that established it; `None` if there is
    /// neither.
    pub(in crate::relay) fn current_attempt(&self, id: RequestId) -> Option<&CurrentAttempt> {
        self.get(id)?.current_attempt.as_ref()
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

    /// Returns the connection with the lowest id that is established at an endpoint, if there is one.
    pub(in crate::relay) fn first_connection_to(&self, endpoint: &EndpointId) -> Option<RequestId> {
        let matches = |entry: &ConnectionEntry| entry.established_endpoint() == Some(endpoint);
        self.entries.iter().find(|(_, entry)| matches(entry)).map(|(id, _)| *id)
    }
}
