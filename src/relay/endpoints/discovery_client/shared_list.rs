//! Endpoint lists that a process of a relay reports to the other one, with the addresses of their endpoints.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use honeyknot_balancer::EndpointId;
use honeyknot_discovery::{EndpointList, ListOrigin, ListReport};

use super::list_codec::EndpointListUpdate;

/// An endpoint list, or changes to one, that one process has accepted and the other one must know.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedList {
    /// The origin of the list; `None` if it cannot be compared and its endpoints are to be merged.
    pub origin: Option<ListOrigin>,
    /// The list or the changes.
    pub update: EndpointListUpdate,
}

impl SharedList {
    /// Adds the changes that a later list contains. A later full list replaces this one.
    pub fn absorb(&mut self, later: SharedList) {
        if later.update.full {
            *self = later;
            return;
        }
        self.forget_endpoints(&later.update);
        self.origin = later.origin;
        self.update.version = later.update.version;
        self.update.endpoints.extend(later.update.endpoints);
        self.update.addresses.extend(later.update.addresses);
    }

    /// Removes the endpoints that a later list names.
    pub fn forget_endpoints(&mut self, later: &EndpointListUpdate) {
        let named: BTreeSet<&EndpointId> = later.endpoints.iter().map(|endpoint| &endpoint.id).collect();
        self.update.endpoints.retain(|endpoint| !named.contains(&endpoint.id));
        self.update.addresses.retain(|(id, _)| !named.contains(id));
    }

    /// Splits the list into what decides whether it is accepted, and the addresses of its endpoints.
    pub fn into_report(self) -> (ListReport, Vec<(EndpointId, SocketAddr)>) {
        let EndpointListUpdate { full, endpoints, addresses, .. } = self.update;
        (ListReport { origin: self.origin, full, endpoints }, addresses)
    }
}

/// Returns an accepted list with the addresses of its endpoints.
pub(super) fn with_addresses(
    accepted: EndpointList, mut addresses: Vec<(EndpointId, SocketAddr)>,
) -> EndpointListUpdate {
    let EndpointList { version, full, endpoints } = accepted;
    let named: BTreeSet<&EndpointId> = endpoints.iter().map(|endpoint| &endpoint.id).collect();
    addresses.retain(|(id, _)| named.contains(id));
    EndpointListUpdate { version, full, endpoints, addresses }
}
