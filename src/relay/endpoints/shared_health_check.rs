//! Between the relay and its neighbourhood: wishes to probe, duties of a witness, what probes found.

use std::sync::atomic::Ordering;

use honeyknot_health_check_budget::Asking;
use tracing::{info, trace};

use super::health_check::HealthCheckCommand;
use crate::relay::{Relay, SharedRelay};
use honeyknot_balancer::*;

/// How often it is looked which card servers this relay has to ask as their witness.
const LOOK: Micros = 100_000;
/// How often the log tells how many live.
const TELL: Micros = 10_000_000;

impl Relay {
    /// The decisions want to know how a card server does: it is asked, or they are told what its witnesses found.
    pub(in crate::relay) fn request_health_check(&mut self, server: EndpointId) {
        let now = self.timers.clock.now();
        match self.gossip.as_mut().map(|neighbors| neighbors.wish(now, &server)) {
            None | Some(Asking::Ask) => self.send_health_check_command(server, HealthCheckCommand::Look),
            Some(Asking::Known(outcome, report)) => {
                trace!(target: "neighbors", server = &*server.0, ?outcome, ?report, "by its witnesses");
                if let Some(ms) = report.as_ref().and_then(|r| r.latency_ms) {
                    self.message_latencies.measured(now, &server, report.as_ref().and_then(|r| r.load));
                    self.note_message_latency(server.clone(), ms, true);
                }
                // Fed in its turn, after what is being carried out.
                self.events.push_back(Event::HealthCheckEnded {
                    endpoint: server,
                    outcome,
                    elapsed: 0,
                    report,
                });
            }
        }
    }

    /// A probe of this relay's own has ended.
    pub(in crate::relay) fn share_health_check(
        &mut self, server: &EndpointId, outcome: Outcome, report: Option<&LoadReport>,
    ) {
        let now = self.timers.clock.now();
        if let Some(neighbors) = &mut self.gossip {
            neighbors.ended(now, server, outcome, report);
        }
    }

    /// Asks the card servers whose witness this relay is, as their time comes.
    fn bear_witness(&mut self) {
        let now = self.timers.clock.now();
        let Some(neighbors) = self.gossip.as_mut().filter(|_| !self.shutting_down) else { return };
        for server in neighbors.duties(now, self.endpoints.serving()) {
            self.send_health_check_command(server, HealthCheckCommand::Look);
        }
    }

    /// Tells the log who lives.
    fn publish_health_observations(&self) {
        let Some(counts) = self.gossip.as_ref().map(|neighbors| neighbors.counts()) else { return };
        let of = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
        let (alive, heard, dropped) = (of(&counts.alive), of(&counts.heard), of(&counts.dropped));
        info!(target: "neighbors", alive, heard, dropped, unsaid = of(&counts.unsaid), "so far");
    }
}

/// Does this relay's part as long as it serves.
pub async fn run(relay: SharedRelay) {
    let timers = relay.borrow().timers.clone();
    let mut told = timers.clock.now();
    loop {
        timers.sleep(LOOK).await;
        relay.borrow_mut().bear_witness();
        let now = timers.clock.now();
        if now >= told + TELL {
            told = now;
            relay.borrow().publish_health_observations();
        }
    }
}
