//! Decides whether an endpoint list is accepted in full or in part.
//!
//! - A list whose version is not older than the current one is accepted at once and in full: endpoints that
//!   it does not name are removed. Acceptance must not be delayed, because the time within which sends to a
//!   draining endpoint must stop is counted from when the service wrote the list to the relay.
//! - A list with an older version comes from a service that restarted or from a replica that lags behind.
//!   Endpoints that it adds or lists as draining are accepted. Endpoints that it does not name stay listed,
//!   and an endpoint that was draining or removed stays so unless it has restarted since. The list is
//!   accepted in full once it is received again after [`GRACE_PERIOD`], or once its version has reached the
//!   previous one.

use std::collections::BTreeMap;

use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, Micros};

/// Time that a restarted service is given to fill its list before endpoints that the list does not name are
/// removed, in microseconds.
const GRACE_PERIOD: Micros = 12_000_000;
/// Maximum number of known endpoints, including removed ones, for each listed endpoint.
const MAX_KNOWN_PER_LISTED: usize = 4;
/// Number added to the listed endpoints when the limit on known endpoints is computed, so that a short list
/// does not make the limit tiny.
const LISTED_ALLOWANCE: usize = 16;

/// An endpoint list, or the changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Version that the service assigned.
    pub version: u64,
    /// Whether the list names all endpoints, not only those that changed.
    pub full: bool,
    /// The listed or changed endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// State kept while an older list has not been accepted in full.
#[derive(Debug)]
struct OlderList {
    /// Version of the list that was current before the older list arrived.
    previous_version: u64,
    /// When [`GRACE_PERIOD`] ends; from then on a full list is accepted whatever its version.
    grace_ends_at: Micros,
    /// When the full list is requested next.
    recheck_at: Micros,
}

#[derive(Debug)]
struct KnownEndpoint {
    state: EndpointState,
    started_at: Micros,
}

/// Validates endpoint lists against the endpoints known so far.
#[derive(Debug)]
pub(crate) struct ListValidator {
    version: u64,
    known: BTreeMap<EndpointId, KnownEndpoint>,
    older_list: Option<OlderList>,
    /// Whether another service, whose version numbers are unrelated, was configured and has not answered yet.
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

    /// Returns whether no list has been received yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.version == 0 && self.known.is_empty()
    }

    /// Returns whether the next request must be for the full list.
    pub(crate) fn needs_full_list(&self, now: Micros) -> bool {
        self.service_changed || self.is_empty() || self.recheck_at().is_some_and(|at| now >= at)
    }

    /// Returns when the full list is requested to replace an older list that was accepted in part; `None` if
    /// the current list was accepted in full.
    pub(crate) fn recheck_at(&self) -> Option<Micros> {
        self.older_list.as_ref().map(|older| older.recheck_at)
    }

    /// Returns whether another service was configured and has not answered yet.
    pub(crate) fn service_changed(&self) -> bool {
        self.service_changed
    }

    /// Records that the next list comes from another service.
    pub(crate) fn change_service(&mut self) {
        self.service_changed = true;
        self.older_list = None;
    }

    /// Validates a received list and returns the accepted part.
    ///
    /// `recheck_delay` is a random delay, in microseconds. It spreads the full-list requests of relays that
    /// received the same older list.
    pub(crate) fn validate(
        &mut self, now: Micros, list: EndpointList, recheck_delay: Micros,
    ) -> EndpointList {
        let service_changed = std::mem::take(&mut self.service_changed);
        if service_changed && list.full {
            self.known.clear();
        }
        if service_changed || self.accepts_in_full(now, &list) {
            // Changes do not say whether endpoints that the older list did not name still exist.
            if list.full {
                self.older_list = None;
            }
            self.version = list.version;
            self.record(&list);
            return list;
        }
        self.schedule_recheck(now, recheck_delay);
        self.version = list.version;
        let endpoints =
            list.endpoints.into_iter().filter(|endpoint| self.accepts_endpoint(endpoint)).collect();
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

    /// Schedules the request for the full list after an older list, or reschedules it once it is overdue.
    fn schedule_recheck(&mut self, now: Micros, recheck_delay: Micros) {
        match &mut self.older_list {
            None => {
                let grace_ends_at = now + GRACE_PERIOD;
                self.older_list = Some(OlderList {
                    previous_version: self.version,
                    grace_ends_at,
                    recheck_at: grace_ends_at + recheck_delay,
                });
            }
            Some(older) if now >= older.recheck_at => {
                older.recheck_at = now + GRACE_PERIOD / 4 + recheck_delay
            }
            Some(_) => {}
        }
    }

    /// Returns whether an endpoint of an older list is accepted.
    fn accepts_endpoint(&self, endpoint: &Endpoint) -> bool {
        let Some(known) = self.known.get(&endpoint.id) else { return true };
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
