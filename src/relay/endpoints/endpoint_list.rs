//! The server roll as the relay holds it: as discovery tells it, but for card servers that operators have taken out.

use std::net::SocketAddr;
use std::sync::Arc;

use honeyknot_balancer::maintenance::UnknownEndpoint;
use honeyknot_discovery::Trouble;
use honeyknot_metrics::Family;
use tracing::{info, warn};

use super::discovery_client::{Ask, Failure, RollNews};
use crate::relay::Relay;
use honeyknot_balancer::*;

/// The tag's value of a failed call.
fn trouble_word(trouble: Trouble) -> &'static str {
    match trouble {
        Trouble::Refused => "refused",
        Trouble::Broken => "broken",
        Trouble::Busy(_) => "busy",
        Trouble::Silent => "silent",
        Trouble::Senseless => "senseless",
    }
}

impl Relay {
    pub(in crate::relay) fn take_known(&mut self, news: RollNews) {
        let update = EndpointUpdate::Cached(self.note_roll(news));
        self.site_news(&update);
        self.feed(Event::EndpointsUpdated { version: self.version, update });
    }

    /// News of the server roll. They are applied before anything else is sent.
    pub fn take_roll(&mut self, news: RollNews) {
        if std::mem::take(&mut self.roll_trouble) {
            info!(target: "roll", version = news.version, "discovery answers again");
        }
        self.roll_heard = self.timers.clock.now();
        let whole = news.whole;
        let outcome = if news.entries.is_empty() && news.version == self.version { "quiet" } else { "news" };
        self.meter(|book| book.count(Family::RollCalls, outcome));
        let entries = self.note_roll(news);
        let update = if whole { EndpointUpdate::Full(entries) } else { EndpointUpdate::Delta(entries) };
        self.site_news(&update);
        self.feed(Event::EndpointsUpdated { version: self.version, update });
    }

    fn note_roll(&mut self, news: RollNews) -> Arc<Vec<Endpoint>> {
        self.version = news.version;
        self.addresses.extend(news.addresses);
        let entries = self.withheld.news(news.entries, news.whole);
        self.note_entries(entries, news.whole)
    }

    /// Notes a roll, or changes of it, as the decisions are to see it.
    fn note_entries(&mut self, entries: Vec<Endpoint>, whole: bool) -> Arc<Vec<Endpoint>> {
        let mut drains = 0;
        for entry in &entries {
            self.zones.extend(entry.zone.map(|zone| (entry.id.clone(), zone)));
            if entry.state == EndpointState::Ready {
                self.leaving.remove(&entry.id);
            } else if self.leaving.insert(entry.id.clone()) {
                drains += u64::from(entry.state == EndpointState::Draining);
            }
        }
        self.meter(|book| book.add(Family::Drains, 0, drains));
        if whole {
            let named = |id: &EndpointId| entries.iter().any(|e| e.id == *id);
            let lost: Vec<EndpointId> = self.addresses.keys().filter(|id| !named(id)).cloned().collect();
            self.leaving.extend(lost);
        }
        // A probe of a card server that is gone has nothing left to ask.
        let gone = entries.iter().filter(|e| e.state == EndpointState::Removed);
        gone.for_each(|e| drop(self.probes.remove(&e.id)));
        Arc::new(entries)
    }

    /// Takes a card server out by hand. When this returns, nothing new goes there.
    pub fn take_out(&mut self, id: &EndpointId) -> Result<(), UnknownEndpoint> {
        let seen = self.withheld.take_out(self.timers.clock.now(), id)?;
        self.show(seen);
        Ok(())
    }

    /// Puts a card server back that was taken out by hand.
    pub fn put_back(&mut self, id: &EndpointId) -> Result<(), UnknownEndpoint> {
        let seen = self.withheld.put_back(self.timers.clock.now(), id)?;
        self.show(seen);
        Ok(())
    }

    /// Whether a card server is out by hand.
    pub fn withholds(&self, id: &EndpointId) -> bool {
        self.withheld.holds(id)
    }

    /// Tells the decisions what operators have changed of a card server.
    pub(in crate::relay) fn show(&mut self, seen: Option<Endpoint>) {
        let Some(entry) = seen else { return };
        info!(target: "admin", server = &*entry.id.0, state = ?entry.state, "by hand");
        let update = EndpointUpdate::Delta(self.note_entries(vec![entry], false));
        self.site_news(&update);
        self.feed(Event::EndpointsUpdated { version: self.version, update });
    }

    /// A call to discovery failed.
    pub fn roll_failed(&mut self, failure: &Failure) {
        if !std::mem::replace(&mut self.roll_trouble, true) {
            warn!(target: "roll", why = failure.why, "discovery does not answer");
        }
        self.meter(|book| {
            book.add(Family::RollFailures, 0, 1);
            book.count(Family::RollCalls, trouble_word(failure.trouble));
        });
        self.feed(Event::EndpointsUpdated { version: self.version, update: EndpointUpdate::Failed });
    }

    /// Whether discovery has told its roll since the start.
    pub fn roll_answered(&self) -> bool {
        self.roll_heard > self.born
    }

    /// Who leaves or is gone by what discovery says.
    pub(in crate::relay) fn leaving(&self) -> Vec<String> {
        let by_roll = self.leaving.iter().filter(|id| !self.withheld.holds(id));
        by_roll.map(|id| id.0.as_ref().to_owned()).collect()
    }

    /// Where this relay reaches a card server.
    pub fn address(&self, server: &EndpointId) -> Option<SocketAddr> {
        self.addresses.get(server).copied()
    }

    /// Nobody listens at a card server. Where the list says that it is ready, the list is old.
    pub fn refused_by(&self, server: &EndpointId) {
        if !self.leaving.contains(server) {
            self.ask_discovery(Ask::Refused);
        }
    }

    /// Whether a head may still be written to a card server. Guards against an attempt that was placed before
    /// the news of a drain and connects after it: the news may have counted as told for a while already.
    pub fn may_still_send(&self, server: &EndpointId) -> bool {
        !self.leaving.contains(server)
    }
}
