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
//!
//! While two processes of a relay run, each also receives the lists that the other one has accepted, see
//! [`shared_list`](crate::shared_list).

use std::net::SocketAddr;

use honeyknot_balancer::{Endpoint, Micros};

use crate::known_endpoints::KnownEndpoints;
use crate::shared_list::{ListOrigin, ListScope};

/// Time that a restarted service is given to fill its list before endpoints that the list does not name are
/// removed, in microseconds.
const GRACE_PERIOD: Micros = 12_000_000;
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
pub(crate) struct OlderList {
    /// When [`GRACE_PERIOD`] ends; from then on a full list is accepted whatever its version.
    grace_ends_at: Micros,
    /// When the full list is requested next.
    recheck_at: Micros,
}

/// Who sent the newest list that was accepted in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListSender {
    /// Nobody: it is the list of the configuration, which the process started with.
    Configuration,
    Service,
    Peer,
}

/// Why a response must not replace the list that the peer has sent since it was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OvertakenResponse {
    /// The peer's list contains all that the response does.
    Known,
    /// The peer's list has replaced the one that the response refers to.
    Uncomparable,
}

/// Validates endpoint lists against the endpoints known so far.
#[derive(Debug)]
pub(crate) struct ListValidator {
    /// The service that this process polls.
    pub(crate) service: Option<SocketAddr>,
    /// The newest version of that service's list. It is below the version in `origin` while an older list has been
    /// accepted in part only.
    pub(crate) version: u64,
    /// Origin of the newest list that was accepted in full, from the service or from the peer.
    pub(crate) origin: ListOrigin,
    /// Who sent the list of `origin`.
    pub(crate) sender: ListSender,
    /// Whether endpoints of the peer have been merged into the list since it was last accepted in full.
    pub(crate) has_merged: bool,
    /// The value of `origin` when the request in flight was made.
    requested_at_origin: Option<ListOrigin>,
    pub(crate) known: KnownEndpoints,
    pub(crate) older_list: Option<OlderList>,
    /// Whether another service, whose version numbers are unrelated, was configured and has not answered yet.
    service_changed: bool,
}

impl ListValidator {
    pub(crate) fn new(initial: &EndpointList) -> ListValidator {
        let mut validator = ListValidator {
            service: None,
            version: initial.version,
            origin: ListOrigin { generation: 0, service: None, version: initial.version },
            sender: ListSender::Configuration,
            has_merged: false,
            requested_at_origin: None,
            known: KnownEndpoints::default(),
            older_list: None,
            service_changed: false,
        };
        validator.known.record(initial);
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

    /// Records that a request is made.
    pub(crate) fn start_request(&mut self) {
        self.requested_at_origin = Some(self.origin);
    }

    /// Validates a list received from the service. Returns the accepted part, and how the peer must treat it.
    ///
    /// `recheck_delay` is a random delay, in microseconds. It spreads the full-list requests of relays that
    /// received the same older list.
    pub(crate) fn validate(
        &mut self, now: Micros, list: EndpointList, recheck_delay: Micros,
    ) -> (EndpointList, ListScope) {
        let service_changed = std::mem::take(&mut self.service_changed);
        match self.overtaken_response(&list) {
            Some(OvertakenResponse::Known) => return (self.nothing_new(), ListScope::Unchanged),
            Some(OvertakenResponse::Uncomparable) => return self.merge_own(list),
            None => {}
        }
        let replaces = service_changed && !self.is_behind_peer(&list);
        if !replaces && self.follows_other_service() {
            self.version = list.version;
            return self.merge_own(list);
        }
        if replaces && list.full {
            self.known.clear();
        }
        if replaces || self.accepts_in_full(now, &list) {
            let scope = self.advance_origin(&list);
            // Changes do not say whether endpoints that the older list did not name still exist.
            if list.full {
                self.older_list = None;
                self.has_merged = false;
            }
            self.version = list.version;
            self.known.record(&list);
            return (list, scope);
        }
        self.schedule_recheck(now, recheck_delay);
        self.version = list.version;
        self.merge_own(list)
    }

    /// Sets the origin to that of a list of the service that is accepted in full.
    fn advance_origin(&mut self, list: &EndpointList) -> ListScope {
        let is_comparable = self.origin.service == self.service && list.version >= self.origin.version;
        let generation = self.origin.generation + u64::from(!is_comparable);
        let previous = std::mem::replace(
            &mut self.origin,
            ListOrigin { generation, service: self.service, version: list.version },
        );
        self.sender = ListSender::Service;
        if previous == self.origin { ListScope::Unchanged } else { ListScope::Origin(self.origin) }
    }

    /// Merges a list of the service.
    fn merge_own(&mut self, list: EndpointList) -> (EndpointList, ListScope) {
        let accepted = self.merge(list.endpoints);
        let scope = if accepted.endpoints.is_empty() { ListScope::Unchanged } else { ListScope::Merged };
        (accepted, scope)
    }

    /// Accepts the endpoints of a list that are accepted whatever its version.
    pub(crate) fn merge(&mut self, endpoints: Vec<Endpoint>) -> EndpointList {
        let endpoints = endpoints.into_iter().filter(|endpoint| self.known.accepts(endpoint)).collect();
        let accepted = EndpointList { version: self.version, full: false, endpoints };
        self.known.record(&accepted);
        accepted
    }

    /// Returns changes without any endpoint.
    pub(crate) fn nothing_new(&self) -> EndpointList {
        EndpointList { version: self.version, full: false, endpoints: Vec::new() }
    }

    /// Returns whether the current list comes from a service that the peer polls and this process does not.
    pub(crate) fn follows_other_service(&self) -> bool {
        self.origin.service != self.service
    }

    /// Returns whether the peer has sent a newer list of the same service.
    fn is_behind_peer(&self, list: &EndpointList) -> bool {
        self.sender == ListSender::Peer && !self.follows_other_service() && list.version < self.origin.version
    }

    /// Returns how to treat a response if the peer has sent a list since it was requested and the response must
    /// not replace that list; `None` if the response is validated as usual.
    fn overtaken_response(&mut self, list: &EndpointList) -> Option<OvertakenResponse> {
        let requested_at = self.requested_at_origin.take()?;
        if requested_at == self.origin || self.follows_other_service() {
            return None;
        }
        let is_older = list.version < self.origin.version;
        if requested_at.generation == self.origin.generation {
            return is_older.then_some(OvertakenResponse::Known);
        }
        (is_older || !list.full).then_some(OvertakenResponse::Uncomparable)
    }

    fn accepts_in_full(&self, now: Micros, list: &EndpointList) -> bool {
        let grace_has_ended = |older: &OlderList| list.full && now >= older.grace_ends_at;
        list.version >= self.origin.version || self.older_list.as_ref().is_some_and(grace_has_ended)
    }

    /// Schedules the request for the full list after an older list, or reschedules it once it is overdue.
    fn schedule_recheck(&mut self, now: Micros, recheck_delay: Micros) {
        match &mut self.older_list {
            None => {
                let grace_ends_at = now + GRACE_PERIOD;
                self.older_list =
                    Some(OlderList { grace_ends_at, recheck_at: grace_ends_at + recheck_delay });
            }
            Some(older) if now >= older.recheck_at => {
                older.recheck_at = now + GRACE_PERIOD / 4 + recheck_delay
            }
            Some(_) => {}
        }
    }
}
