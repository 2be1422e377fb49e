//! Decides which endpoint lists are accepted in full and which in part.
//!
//! - A version that is not older than the one held is accepted at once and in full: an endpoint that it lacks is
//!   removed. The rule on drains counts from the moment at which the list was written to the relay, so acceptance
//!   may not be delayed.
//! - An older version comes from a service that restarted or from a replica that lags. Endpoints that it adds are
//!   accepted, and so are endpoints that it lists as draining. Endpoints that it lacks stay listed, and an endpoint
//!   that was draining or removed stays so unless it has restarted since. The list is accepted in full once it is
//!   received again after [`GRACE_PERIOD`], or once its version is as high as the one held before.

use std::collections::BTreeMap;

use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, Micros};

/// Time that a service has for filling its list after a restart before endpoints that it lacks are removed, in
/// microseconds.
const GRACE_PERIOD: Micros = 12_000_000;
/// Endpoints kept in memory, removed ones included, for each listed one.
const MAX_KNOWN_PER_LISTED: usize = 4;
/// Listed endpoints that are assumed in addition when the limit on known endpoints is computed.
const LISTED_ALLOWANCE: usize = 16;

/// An endpoint list, or changes of one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Version that the service gave it.
    pub version: u64,
    /// Whether it names all endpoints and not only those that changed.
    pub full: bool,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// An older list that has not been accepted in full.
#[derive(Debug)]
struct OlderList {
    /// Version held before it.
    previous_version: u64,
    /// From then on the full list is accepted, whatever its version.
    grace_ends_at: Micros,
    /// When the full list is requested.
    check_at: Micros,
}

#[derive(Debug)]
struct KnownEndpoint {
    state: EndpointState,
    started_at: Micros,
}

/// The endpoints known so far, as far as the validation of further lists needs them.
#[derive(Debug)]
pub(crate) struct ListValidator {
    version: u64,
    known: BTreeMap<EndpointId, KnownEndpoint>,
    older_list: Option<OlderList>,
    /// Another service, with version numbers of its own, has not answered yet.
    service_changed: bool,
}

impl ListValidator {
    pub(crate) fn new(initial: &EndpointList) -> ListValidator {
        let mut validator = ListValidator {
            version: initial.version,
            known: BTreeMap::new(),
            older_list: None,
            service_changed: false,
        };
        validator.record(initial);
        validator
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn holds_older_list(&self) -> bool {
        self.older_list.is_some()
    }

    /// Whether no list has been received yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.version == 0 && self.known.is_empty()
    }

    /// Whether the next request must be for the full list.
    pub(crate) fn needs_full_list(&self, now: Micros) -> bool {
        self.service_changed || self.is_empty() || self.check_at().is_some_and(|at| now >= at)
    }

    /// When an older list is checked against the full list.
    pub(crate) fn check_at(&self) -> Option<Micros> {
        self.older_list.as_ref().map(|older| older.check_at)
    }

    /// Whether another service has been configured and has not answered yet.
    pub(crate) fn service_changed(&self) -> bool {
        self.service_changed
    }

    /// Expects the next list from another service.
    pub(crate) fn change_service(&mut self) {
        self.service_changed = true;
        self.older_list = None;
    }

    /// Validates a received list and returns the part that is accepted.
    ///
    /// `check_delay` is a random delay that keeps the relays' checks of a common older list out of step.
    pub(crate) fn validate(&mut self, now: Micros, list: EndpointList, check_delay: Micros) -> EndpointList {
        let service_changed = std::mem::take(&mut self.service_changed);
        if service_changed && list.full {
            self.known.clear();
        }
        if service_changed || self.accepts_in_full(now, &list) {
            // Changes alone do not prove what the older list did not name.
            if list.full {
                self.older_list = None;
            }
            self.version = list.version;
            self.record(&list);
            return list;
        }
        self.schedule_check(now, check_delay);
        self.version = list.version;
        let endpoints = list.endpoints.into_iter().filter(|endpoint| self.accepts(endpoint)).collect();
        let accepted = EndpointList { version: list.version, full: false, endpoints };
        self.record(&accepted);
        accepted
    }

    fn accepts_in_full(&self, now: Micros, list: &EndpointList) -> bool {
        match &self.older_list {
            None => list.version >= self.version,
            Some(older) => list.version >= older.previous_version || list.full && now >= older.grace_ends_at,
        }
    }

    /// Sets or renews the time at which an older list is checked against the full list.
    fn schedule_check(&mut self, now: Micros, check_delay: Micros) {
        match &mut self.older_list {
            None => {
                let grace_ends_at = now + GRACE_PERIOD;
                self.older_list = Some(OlderList {
                    previous_version: self.version,
                    grace_ends_at,
                    check_at: grace_ends_at + check_delay,
                });
            }
            Some(older) if now >= older.check_at => older.check_at = now + GRACE_PERIOD / 4 + check_delay,
            Some(_) => {}
        }
    }

    /// Whether an endpoint of an older list is accepted.
    fn accepts(&self, endpoint: &Endpoint) -> bool {
        let Some(known) = self.known.get(&endpoint.id) else { return true };
        if endpoint.state != EndpointState::Ready {
            return true;
        }
        match known.state {
            EndpointState::Ready => endpoint.started_at >= known.started_at,
            EndpointState::Draining | EndpointState::Removed => endpoint.started_at > known.started_at,
        }
    }

    /// Records an accepted list. Removed endpoints stay known, within bounds, as an older list could list them again.
    fn record(&mut self, list: &EndpointList) {
        if list.full {
            self.known.values_mut().for_each(|known| known.state = EndpointState::Removed);
        }
        for endpoint in &list.endpoints {
            let known = KnownEndpoint { state: endpoint.state, started_at: endpoint.started_at };
            self.known.insert(endpoint.id.clone(), known);
        }
        let listed = self.known.values().filter(|known| known.state != EndpointState::Removed).count();
        if self.known.len() > MAX_KNOWN_PER_LISTED * (listed + LISTED_ALLOWANCE) {
            self.known.retain(|_, known| known.state != EndpointState::Removed);
        }
    }
}
