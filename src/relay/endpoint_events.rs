//! Reports message latencies and health checks of endpoints to the balancer.

use honeyknot_balancer::{ConnectionUpdate, EndpointId, Event, LoadReport, Micros, Outcome};

use super::Relay;
use super::endpoints::message_latency::LatencySource;

impl Relay {
    /// Records the latency of a message at an endpoint in milliseconds, and reports it if it is high or has
    /// just recovered.
    pub(in crate::relay) fn record_message_latency(
        &mut self, endpoint: EndpointId, latency_ms: f64, source: LatencySource,
    ) {
        if self.message_latencies.record(self.timers.clock.now(), &endpoint, latency_ms, source) {
            self.report_message_latency(&endpoint, latency_ms);
        }
    }

    /// Repeats the reports of latencies that are still high, if they were observed recently.
    pub(in crate::relay) fn repeat_latency_reports(&mut self) {
        for (endpoint, latency_ms) in self.message_latencies.due_reports(self.timers.clock.now()) {
            self.report_message_latency(&endpoint, latency_ms);
        }
    }

    /// Requests a health check of the endpoint whose measurement has been due for longest, among those with
    /// established connections.
    pub(in crate::relay) fn measure_message_latency(&mut self) {
        if self.shutting_down {
            return;
        }
        let endpoints = self.connections.established_endpoints();
        let candidates = endpoints.filter(|id| !self.endpoints.is_draining(id));
        if let Some(id) = self.message_latencies.next_to_measure(self.timers.clock.now(), candidates) {
            self.request_health_check(id);
            self.process_events();
        }
    }

    /// Reports an endpoint's latency on one of the connections that are established there; without one, the
    /// report is dropped.
    fn report_message_latency(&mut self, endpoint: &EndpointId, latency_ms: f64) {
        if let Some(id) = self.connections.first_connection_to(endpoint) {
            self.connection_updated(id, ConnectionUpdate::MessageLatency(latency_ms));
        }
    }

    /// Reports the result of a health check; `elapsed` is its duration in microseconds.
    pub fn health_check_ended(
        &mut self, endpoint: EndpointId, outcome: Outcome, elapsed: Micros, report: Option<LoadReport>,
    ) {
        let load = report.as_ref().and_then(|report| report.load);
        self.message_latencies.measurement_ended(self.timers.clock.now(), &endpoint, load);
        self.zone_health_check_ended(&endpoint, outcome, load);
        self.share_health_check(&endpoint, outcome, report.as_ref());
        self.record_health_check(outcome, elapsed);
        let latency_ms = report.as_ref().and_then(|report| report.latency_ms);
        self.handle_event(Event::HealthCheckEnded { endpoint: endpoint.clone(), outcome, elapsed, report });
        if let Some(latency_ms) = latency_ms {
            self.record_message_latency(endpoint, latency_ms, LatencySource::LoadReport);
        }
    }
}
