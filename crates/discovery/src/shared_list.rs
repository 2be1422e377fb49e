//! The endpoint list that the two processes of a relay share during a hot restart.
//!
//! Each process polls its service itself and reports every list that it accepts to the other process, its peer. Both
//! are then notified of whatever either has been told, and neither takes an older list for a newer one:
//!
//! - Lists of one [generation](ListOrigin::generation) and one service are ordered by their versions. A report that
//!   is not newer says nothing new. A newer one is accepted, and requests then ask for the changes since it.
//! - A process starts a new generation when it accepts a full list that its version does not make newer: the first
//!   list of another service, or the list of a service that restarted long ago. The full list of a higher generation
//!   replaces the peer's. Of two services in one generation, the successor's counts, because it is the process that
//!   remains. A list that only the configuration gave gives way to any list of another service.
//! - What cannot be compared is merged: endpoints that are new, draining or removed are accepted, but none that was
//!   draining or removed becomes ready again without a restart. This is the rule for lists with an older version, too.
//!   When the peer has gone, the full list is requested, which replaces what was merged.

use std::net::SocketAddr;

use honeyknot_balancer::Endpoint;

use crate::list_validation::{EndpointList, ListSender, ListValidator};

/// Where an endpoint list comes from, by which the lists of two processes are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListOrigin {
    /// How often a list has replaced one that its version does not make older.
    pub generation: u64,
    /// Address of the service that assigned the version; `None` if it is unknown.
    pub service: Option<SocketAddr>,
    /// The list's version.
    pub version: u64,
}

/// How the peer must treat a list that this process has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The list, or the changes since the previous one, of this origin.
    Origin(ListOrigin),
    /// Endpoints of a list that cannot be compared.
    Merged,
    /// The list says nothing that the peer does not know.
    Unchanged,
}

/// The process of the relay that sent a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The process that is being replaced.
    Predecessor,
    /// The process that takes over.
    Successor,
}

/// A list that the peer has accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct ListReport {
    /// The origin of the list; `None` if its endpoints are to be merged.
    pub origin: Option<ListOrigin>,
    /// Whether the list names all endpoints, not only those that changed.
    pub full: bool,
    /// The listed or changed endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// What a report says to the process that receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// The report is newer than this process's list.
    Accepted(ListOrigin),
    /// The report is not newer.
    Known,
    /// The report and this process's list cannot be compared.
    Merged,
}

impl ListValidator {
    /// Sets the service that is polled from now on.
    pub(crate) fn set_service(&mut self, service: SocketAddr) {
        if self.service.is_none() {
            self.origin.service = Some(service);
        }
        self.service = Some(service);
    }

    /// Handles a report and returns the accepted part of its list.
    pub(crate) fn receive_report(&mut self, peer: Peer, report: ListReport) -> EndpointList {
        match self.judge(peer, &report) {
            Verdict::Accepted(origin) => self.accept_report(origin, report),
            Verdict::Known => self.nothing_new(),
            Verdict::Merged => {
                let accepted = self.merge(report.endpoints);
                self.has_merged |= !accepted.endpoints.is_empty();
                accepted
            }
        }
    }

    fn judge(&self, peer: Peer, report: &ListReport) -> Verdict {
        let Some(origin) = report.origin else { return Verdict::Merged };
        let is_same_generation = origin.generation == self.origin.generation;
        if is_same_generation && origin.service == self.origin.service {
            return if origin.version > self.origin.version {
                Verdict::Accepted(origin)
            } else {
                Verdict::Known
            };
        }
        let counts_more = peer == Peer::Successor || self.sender == ListSender::Configuration;
        let replaces = origin.generation > self.origin.generation || is_same_generation && counts_more;
        // Without the full list, it is unknown since when these are the changes.
        if replaces && report.full { Verdict::Accepted(origin) } else { Verdict::Merged }
    }

    fn accept_report(&mut self, origin: ListOrigin, report: ListReport) -> EndpointList {
        self.origin = origin;
        self.sender = ListSender::Peer;
        if report.full {
            self.older_list = None;
            self.has_merged = false;
        }
        // While the service's own list is older, the changes since that one are still requested.
        if !self.follows_other_service() && self.older_list.is_none() {
            self.version = origin.version;
        }
        let list = EndpointList { version: origin.version, full: report.full, endpoints: report.endpoints };
        self.known.record(&list);
        list
    }

    /// Returns whether the list depends on the peer's word, so that the full list must be requested once the peer has
    /// gone.
    pub(crate) fn depends_on_peer(&self) -> bool {
        self.has_merged || self.follows_other_service()
    }
}
