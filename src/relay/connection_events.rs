//! Reports what happens on client connections to the balancer, to zone failover and to the metrics.

use honeyknot_balancer::{
    AffinityGroup, AttemptId, ConnectionUpdate, EndpointId, Event, LoadReport, Micros, Outcome, Request,
    RequestId, SessionKey, ZoneSet,
};
use honeyknot_metrics::MetricFamily;
use honeyknot_zone_failover::ZoneDecision;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::connection_table::{ConnectionEntry, CurrentAttempt};
use super::connections::protocol::OpenRequest;
use super::endpoints::message_latency::LatencySource;
use super::metrics::labels::RejectionReason;
use super::metrics::recorder::RequestResult;
use super::{ConnectionCommand, ConnectionIdGuard, Relay};

/// The id of a registered connection and the queue on which its task receives commands.
type RegisteredConnection = (RequestId, UnboundedReceiver<ConnectionCommand>);

impl Relay {
    /// Registers a client's request and passes it to the balancer; returns `None` if its class is unknown.
    ///
    /// Commands arrive on the returned queue until [`Relay::connection_closed`] is called.
    pub fn request_connection(&mut self, open: &OpenRequest) -> Option<RegisteredConnection> {
        let mut request = self.build_request(open)?;
        let registered = self.register_connection(&request);
        self.update_metrics(|metrics| metrics.add(MetricFamily::Requests, 0, 1));
        match self.zone_decision(&request) {
            ZoneDecision::Allow(zones) => {
                request.allowed_zones = zones;
                self.handle_event(Event::Request(request));
            }
            // No zone may serve the request, so it is rejected without asking the balancer.
            ZoneDecision::Reject { retry_after } => {
                self.record_rejected(RejectionReason::ZoneLimit, Some(0));
                self.send_command(request.id, ConnectionCommand::Reject(retry_after));
            }
        }
        Some(registered)
    }

    /// Registers a connection that was established at an endpoint before this relay started; returns `None`
    /// if its class is unknown.
    pub fn adopt_connection(
        &mut self, open: &OpenRequest, endpoint: EndpointId,
    ) -> Option<RegisteredConnection> {
        self.record_unregistered_result(open, RequestResult::Established);
        self.restore_connection(open, endpoint)
    }

    /// Registers a connection that another process of this relay established; returns `None` if its class is
    /// unknown.
    pub fn restore_connection(
        &mut self, open: &OpenRequest, endpoint: EndpointId,
    ) -> Option<RegisteredConnection> {
        let request = self.build_request(open)?;
        let (id, commands) = self.register_connection(&request);
        let started_at = self.timers.clock.now();
        if let Some(entry) = self.connections.get_mut(id) {
            (entry.attempts_started, entry.established) = (1, true);
            entry.current_attempt =
                Some(CurrentAttempt { id: AttemptId(0), endpoint: endpoint.clone(), started_at });
        }
        self.zone_connection_adopted(&request, &endpoint);
        self.handle_event(Event::ConnectionAdopted(request, endpoint));
        Some((id, commands))
    }

    fn register_connection(&mut self, request: &Request) -> RegisteredConnection {
        let (commands, queue) = unbounded_channel();
        let requested_at = self.timers.clock.now();
        let entry = ConnectionEntry {
            commands,
            attempts_started: 0,
            deadline: requested_at.saturating_add(request.time_remaining),
            current_attempt: None,
            established: false,
            class: request.class,
            affinity_group: request.affinity_group.clone(),
            requested_at,
        };
        self.connections.insert(request.id, entry);
        (request.id, queue)
    }

    /// Returns the balancer's form of a client's request, or `None` if its class is unknown.
    fn build_request(&mut self, open: &OpenRequest) -> Option<Request> {
        let class = self.names.class(open.class()?)?;
        let deadline = self.settings.classes.get(class.0)?.deadline;
        let group = open.affinity_group().filter(|_| self.settings.affinity_groups);
        Some(Request {
            id: self.connections.next_request_id(),
            class,
            session_key: Some(SessionKey(open.session_key().into())),
            affinity_group: group.map(|name| AffinityGroup(name.into())),
            tenant: open.tenant().and_then(|name| self.names.tenant(name)),
            expected_load: open.expected_load,
            time_remaining: open.time_remaining(deadline),
            reconnecting: open.reconnecting,
            retry: open.retry,
            mid_flow: false,
            allowed_zones: ZoneSet::ALL,
        })
    }

    /// Records that a request has been sent to an endpoint.
    pub fn request_sent(&mut self, open: &OpenRequest, connection_id: &ConnectionIdGuard) {
        self.record_forwarded(open);
        self.id_used(connection_id);
    }

    /// Records that a request may have run. If it must not run twice, the other process of a hot restart is told
    /// its id.
    pub fn id_used(&self, connection_id: &ConnectionIdGuard) {
        if let Some(id) = connection_id.mark_sent() {
            self.listener_ownership.send_used_id(id);
        }
    }

    /// Reports that an endpoint has accepted the connection.
    pub fn connection_established(&mut self, id: RequestId) {
        let Some(entry) = self.connections.get_mut(id) else { return };
        entry.established = true;
        let Some(attempt) = entry.current_attempt.clone() else { return };
        let (requested_at, class) = (entry.requested_at, entry.class);
        self.record_request_result(Some(class), RequestResult::Established);
        let setup_time = self.timers.clock.now().saturating_sub(requested_at);
        self.record_established(setup_time);
        let CurrentAttempt { id: attempt, endpoint, started_at } = attempt;
        let elapsed = self.timers.clock.now().saturating_sub(started_at);
        self.zone_connection_established(id, &endpoint);
        self.handle_event(Event::ConnectionEstablished { id, attempt, endpoint, elapsed });
    }

    /// Reports the end of the current attempt. `closed` tells whether the request is finished, so that
    /// the client is owed no further response.
    pub fn attempt_ended(
        &mut self, id: RequestId, outcome: Outcome, closed: bool, report: Option<LoadReport>,
    ) {
        let Some(attempt) = self.connections.get_mut(id).and_then(|entry| entry.current_attempt.take())
        else {
            return;
        };
        let CurrentAttempt { id: attempt, endpoint, started_at } = attempt;
        let elapsed = self.timers.clock.now().saturating_sub(started_at);
        if !self.connections.is_established(id) {
            self.record_attempt_ended(outcome);
        }
        self.zone_attempt_ended(id, &endpoint, outcome);
        self.handle_event(Event::AttemptEnded { id, attempt, outcome, closed, endpoint, elapsed, report });
    }

    /// Records the response to the client of a connection that is not established.
    pub(in crate::relay) fn request_answered(&mut self, id: RequestId, result: RequestResult) {
        let class = self.connections.get(id).map(|entry| entry.class);
        self.record_request_result(class, result);
    }

    /// Removes a connection whose task ends.
    ///
    /// Reports the end of its attempt, if one is in progress, and a failed request if the client was not
    /// `answered` and the connection was never established.
    pub fn connection_closed(&mut self, id: RequestId, answered: bool) {
        let Some(entry) = self.connections.get(id) else { return };
        let (attempt_in_progress, class) = (entry.current_attempt.is_some(), entry.class);
        if !answered && !entry.established {
            self.record_request_result(Some(class), RequestResult::Failed);
            self.handle_event(Event::ClientLeft(id));
        }
        if attempt_in_progress {
            self.attempt_ended(id, Outcome::Cancelled, true, None);
        }
        self.connections.remove(id);
    }

    /// Returns the endpoint of a connection's current attempt, or `None` if no attempt is in progress.
    pub fn current_endpoint(&self, id: RequestId) -> Option<EndpointId> {
        self.connections.current_attempt(id).map(|attempt| attempt.endpoint.clone())
    }

    /// Reports the load of a connection as its endpoint has sent it.
    pub fn connection_load_reported(&mut self, id: RequestId, load: f64) {
        if let Some(zone_failover) = &mut self.zone_failover {
            zone_failover.connection_load_reported(id, load);
        }
        self.connection_updated(id, ConnectionUpdate::Load(load));
    }

    /// Reports the time in microseconds from a client's message to the endpoint's response.
    pub fn message_latency_measured(&mut self, id: RequestId, latency: Micros) {
        if let Some(endpoint) = self.current_endpoint(id) {
            self.update_metrics(|metrics| metrics.record(MetricFamily::MessageLatency, latency));
            self.record_message_latency(endpoint, latency as f64 / 1e3, LatencySource::ClientLine);
        }
    }

    pub(in crate::relay) fn connection_updated(&mut self, id: RequestId, update: ConnectionUpdate) {
        let Some(attempt) = self.connections.current_attempt(id).cloned() else { return };
        let CurrentAttempt { id: attempt, endpoint, .. } = attempt;
        self.handle_event(Event::ConnectionUpdated { id, attempt, endpoint, update });
    }
}
