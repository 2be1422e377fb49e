//! The server roll as the relay holds it: as discovery tells it, but for card servers that operators have taken out.

use std::net::SocketAddr;
use std::sync::Arc;

use honeyknot_balancer::maintenance::UnknownEndpoint;
use honeyknot_discovery::DiscoveryErrorKind;
use honeyknot_metrics::Family;
use tracing::{info, warn};

use super::discovery_client::{DiscoveryCommand, EndpointListUpdate, Failure};
use crate::relay::Relay;
use honeyknot_balancer::*;

/// The tag's value of a failed call.
fn trouble_word(trouble: DiscoveryErrorKind) -> &'static str {
    match trouble {
        DiscoveryErrorKind::ConnectionRefused => "refused",
        DiscoveryErrorKind::ConnectionBroken => "broken",
        DiscoveryErrorKind::Overloaded { .. } => "busy",
        DiscoveryErrorKind::Timeout => "silent",
        DiscoveryErrorKind::InvalidResponse => "senseless",
    }
}

impl Relay {
    pub(in crate::relay) fn apply_known_endpoints(&mut self, news: EndpointListUpdate) {
        let update = EndpointUpdate::Cached(self.record_endpoint_list(news));
        self.update_zones(&update);
        self.handle_event(Event::EndpointsUpdated { version: self.endpoint_list_version, update });
    }

    /// News of the server roll. They are applied before anything else is sent.
    pub fn apply_endpoint_list(&mut self, news: EndpointListUpdate) {
        if std::mem::take(&mut self.discovery_failing) {
            info!(target: "roll", version = news.version, "discovery answers again");
        }
        self.discovery_answered_at = self.timers.clock.now();
        let whole = news.whole;
        let outcome = if news.entries.is_empty() && news.version == self.endpoint_list_version {
            "quiet"
        } else {
            "news"
        };
        self.update_metrics(|book| book.count(Family::RollCalls, outcome));
        let entries = self.record_endpoint_list(news);
        let update = if whole { EndpointUpdate::Full(entries) } else { EndpointUpdate::Delta(entries) };
        self.update_zones(&update);
        self.handle_event(Event::EndpointsUpdated { version: self.endpoint_list_version, update });
    }

    fn record_endpoint_list(&mut self, news: EndpointListUpdate) -> Arc<Vec<Endpoint>> {
        self.endpoint_list_version = news.version;
        self.endpoints.set_addresses(news.addresses);
        let entries = self.maintenance.apply_update(news.entries, news.whole);
        self.record_endpoints(entries, news.whole)
    }

    /// Notes a roll, or changes of it, as the decisions are to see it.
    fn record_endpoints(&mut self, entries: Vec<Endpoint>, whole: bool) -> Arc<Vec<Endpoint>> {
        let mut drains = 0;
        for entry in &entries {
            if let Some(zone) = entry.zone {
                self.endpoints.set_zone(&entry.id, zone);
            }
            if entry.state == EndpointState::Ready {
                self.endpoints.stop_draining(&entry.id);
            } else if self.endpoints.start_draining(&entry.id) {
                drains += u64::from(entry.state == EndpointState::Draining);
            }
        }
        self.update_metrics(|book| book.add(Family::Drains, 0, drains));
        if whole {
            let named = |id: &EndpointId| entries.iter().any(|e| e.id == *id);
            let lost: Vec<EndpointId> =
                self.endpoints.with_address().filter(|id| !named(id)).cloned().collect();
            for id in &lost {
                self.endpoints.start_draining(id);
            }
        }
        // A probe of a card server that is gone has nothing left to ask.
        let gone = entries.iter().filter(|e| e.state == EndpointState::Removed);
        gone.for_each(|e| self.endpoints.stop_health_check(&e.id));
        Arc::new(entries)
    }

    /// Takes a card server out by hand. When this returns, nothing new goes there.
    pub fn start_maintenance(&mut self, id: &EndpointId) -> Result<(), UnknownEndpoint> {
        let seen = self.maintenance.start_maintenance(self.timers.clock.now(), id)?;
        self.apply_maintenance_change(seen);
        Ok(())
    }

    /// Puts a card server back that was taken out by hand.
    pub fn end_maintenance(&mut self, id: &EndpointId) -> Result<(), UnknownEndpoint> {
        let seen = self.maintenance.end_maintenance(self.timers.clock.now(), id)?;
        self.apply_maintenance_change(seen);
        Ok(())
    }

    /// Whether a card server is out by hand.
    pub fn in_maintenance(&self, id: &EndpointId) -> bool {
        self.maintenance.contains(id)
    }

    /// Tells the decisions what operators have changed of a card server.
    pub(in crate::relay) fn apply_maintenance_change(&mut self, seen: Option<Endpoint>) {
        let Some(entry) = seen else { return };
        info!(target: "admin", server = &*entry.id.0, state = ?entry.state, "by hand");
        let update = EndpointUpdate::Delta(self.record_endpoints(vec![entry], false));
        self.update_zones(&update);
        self.handle_event(Event::EndpointsUpdated { version: self.endpoint_list_version, update });
    }

    /// A call to discovery failed.
    pub fn discovery_failed(&mut self, failure: &Failure) {
        if !std::mem::replace(&mut self.discovery_failing, true) {
            warn!(target: "roll", why = failure.why, "discovery does not answer");
        }
        self.update_metrics(|book| {
            book.add(Family::RollFailures, 0, 1);
            book.count(Family::RollCalls, trouble_word(failure.trouble));
        });
        self.handle_event(Event::EndpointsUpdated {
            version: self.endpoint_list_version,
            update: EndpointUpdate::Failed,
        });
    }

    /// Whether discovery has told its roll since the start.
    pub fn has_discovery_answered(&self) -> bool {
        self.discovery_answered_at > self.started_at
    }

    /// Who leaves or is gone by what discovery says.
    pub(in crate::relay) fn draining_endpoints(&self) -> Vec<String> {
        let by_roll = self.endpoints.draining().filter(|id| !self.maintenance.contains(id));
        by_roll.map(|id| id.0.as_ref().to_owned()).collect()
    }

    /// Where this relay reaches a card server.
    pub fn endpoint_address(&self, server: &EndpointId) -> Option<SocketAddr> {
        self.endpoints.address(server)
    }

    /// Nobody listens at a card server. Where the list says that it is ready, the list is old.
    pub fn connection_refused_by(&self, server: &EndpointId) {
        if !self.endpoints.is_draining(server) {
            self.send_discovery_command(DiscoveryCommand::Refused);
        }
    }

    /// Whether a head may still be written to a card server. Guards against an attempt that was placed before
    /// the news of a drain and connects after it: the news may have counted as told for a while already.
    pub fn may_send_to(&self, server: &EndpointId) -> bool {
        !self.endpoints.is_draining(server)
    }
}
