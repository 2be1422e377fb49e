//! The endpoints that a relay has known so far, against which lists of an older version are checked.

use std::collections::BTreeMap;

use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, Micros};

use crate::list_validation::EndpointList;

/// Maximum number of known endpoints, including removed ones, for each listed endpoint.
const MAX_KNOWN_PER_LISTED: usize = 4;
/// Number added to the listed endpoints when the limit on known endpoints is computed, so that a short list
/// does not make the limit tiny.
const LISTED_ALLOWANCE: usize = 16;

#[derive(Debug)]
struct KnownEndpoint {
    state: EndpointState,
    started_at: Micros,
}

/// Endpoints that lists have named, with their last state.
#[derive(Debug, Default)]
pub(crate) struct KnownEndpoints {
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
}

impl KnownEndpoints {
    /// Returns whether no endpoint is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Forgets all endpoints.
    pub(crate) fn clear(&mut self) {
        self.endpoints.clear();
    }

    /// Returns whether an endpoint of an older list is accepted.
    pub(crate) fn accepts(&self, endpoint: &Endpoint) -> bool {
        let Some(known) = self.endpoints.get(&endpoint.id) else { return true };
        if endpoint.state != EndpointState::Ready {
            return true;
        }
        match known.state {
            EndpointState::Ready => endpoint.started_at >= known.started_at,
            EndpointState::Draining | EndpointState::Removed => endpoint.started_at > known.started_at,
        }
    }

    /// Records an accepted list.
    ///
    /// A limited number of removed endpoints stays known, so that an older list cannot add them again.
    pub(crate) fn record(&mut self, list: &EndpointList) {
        if list.full {
            self.endpoints.values_mut().for_each(|known| known.state = EndpointState::Removed);
        }
        for endpoint in &list.endpoints {
            let known = KnownEndpoint { state: endpoint.state, started_at: endpoint.started_at };
            self.endpoints.insert(endpoint.id.clone(), known);
        }
        let listed = self.endpoints.values().filter(|known| known.state != EndpointState::Removed).count();
        if self.endpoints.len() > MAX_KNOWN_PER_LISTED * (listed + LISTED_ALLOWANCE) {
            self.endpoints.retain(|_, known| known.state != EndpointState::Removed);
        }
    }
}
