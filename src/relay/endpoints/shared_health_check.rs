//! Health checks shared with other relays by gossip: the checks that this relay makes for the fleet, and the
//! results that it takes over from other relays.

use std::sync::atomic::{AtomicU64, Ordering};

use honeyknot_balancer::{EndpointId, Event, LoadReport, Micros, Outcome};
use honeyknot_health_check_budget::HealthCheckDecision;
use tracing::{info, trace};

use super::health_check::HealthCheckCommand;
use super::message_latency::LatencySource;
use crate::relay::{Relay, SharedRelay};

/// Interval at which due health checks assigned to this relay are started, in microseconds.
const ASSIGNMENT_INTERVAL: Micros = 100_000;
/// Interval at which the counters of gossip are logged, in microseconds.
const LOG_INTERVAL: Micros = 10_000_000;

impl Relay {
    /// Carries out a health check that the balancer requested, or answers it with a recent result of this
    /// relay or of others. If no result is known and this relay is not chosen to make the check, the answer
    /// is [`Outcome::Cancelled`].
    pub(in crate::relay) fn request_health_check(&mut self, endpoint: EndpointId) {
        let now = self.timers.clock.now();
        match self.gossip.as_mut().map(|gossip| gossip.request_health_check(now, &endpoint)) {
            None | Some(HealthCheckDecision::Check) => {
                self.send_health_check_command(endpoint, HealthCheckCommand::Check)
            }
            Some(HealthCheckDecision::Known { outcome, report }) => {
                self.apply_shared_health_check(now, endpoint, outcome, report);
            }
        }
    }

    /// Queues the answer to a health check that was not made as an event, which is handled after the current
    /// ones.
    fn apply_shared_health_check(
        &mut self, now: Micros, endpoint: EndpointId, outcome: Outcome, report: Option<LoadReport>,
    ) {
        trace!(target: "gossip", endpoint = &*endpoint.0, ?outcome, ?report, "health check answered by gossip");
        if let Some(latency_ms) = report.as_ref().and_then(|report| report.latency_ms) {
            let load = report.as_ref().and_then(|report| report.load);
            self.message_latencies.measurement_ended(now, &endpoint, load);
            self.record_message_latency(endpoint.clone(), latency_ms, LatencySource::LoadReport);
        }
        self.events.push_back(Event::HealthCheckEnded { endpoint, outcome, elapsed: 0, report });
    }

    /// Shares the result of a health check by this relay with the other relays.
    pub(in crate::relay) fn share_health_check(
        &mut self, endpoint: &EndpointId, outcome: Outcome, report: Option<&LoadReport>,
    ) {
        let now = self.timers.clock.now();
        if let Some(gossip) = &mut self.gossip {
            gossip.health_check_ended(now, endpoint, outcome, report);
        }
    }

    /// Starts the health checks assigned to this relay that are due.
    fn start_assigned_health_checks(&mut self) {
        let now = self.timers.clock.now();
        let Some(gossip) = self.gossip.as_mut().filter(|_| !self.shutting_down) else { return };
        for endpoint in gossip.start_assigned_health_checks(now, self.endpoints.serving()) {
            self.send_health_check_command(endpoint, HealthCheckCommand::Check);
        }
    }

    fn log_gossip_counters(&self) {
        let Some(counters) = self.gossip.as_ref().map(|gossip| gossip.counters()) else { return };
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        info!(
            target: "gossip",
            alive = value(&counters.alive),
            received = value(&counters.received),
            dropped = value(&counters.dropped),
            unsent = value(&counters.dropped_batches),
            "gossip counters"
        );
    }
}

/// Starts assigned health checks and logs the counters of gossip while the relay runs.
pub(in crate::relay) async fn run(relay: SharedRelay) {
    let timers = relay.borrow().timers.clone();
    let mut logged_at = timers.clock.now();
    loop {
        timers.sleep(ASSIGNMENT_INTERVAL).await;
        relay.borrow_mut().start_assigned_health_checks();
        let now = timers.clock.now();
        if now >= logged_at + LOG_INTERVAL {
            logged_at = now;
            relay.borrow().log_gossip_counters();
        }
    }
}
