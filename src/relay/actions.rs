//! Executes the balancer's actions.

use honeyknot_balancer::{Action, AttemptId, EndpointId, Event, Micros, Outcome, RequestId};
use honeyknot_metrics::MetricFamily;
use tracing::info;

use super::command::LINE_END_TIMEOUT;
use super::connection_table::CurrentAttempt;
use super::endpoints::discovery_client::DiscoveryCommand;
use super::endpoints::health_check::{self, HealthCheckCommand};
use super::metrics::labels::{FailureCause, RejectionReason};
use super::{AttemptRequest, ConnectionCommand, Relay};

impl Relay {
    pub(in crate::relay) fn execute_action(&mut self, action: Action) {
        match action {
            Action::Forward { id, endpoint, timeout, send_before } => {
                self.start_attempt(id, endpoint, timeout, send_before)
            }
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail(id) => {
                self.record_failed(FailureCause::Balancer);
                self.send_command(id, ConnectionCommand::Fail);
            }
            Action::Migrate(id) => {
                self.update_metrics(|metrics| metrics.increment(MetricFamily::Migrations, "decisions"));
                self.migrate_connection(id);
            }
            Action::Cancel { id, attempt } => self.send_command(id, ConnectionCommand::Cancel(attempt)),
            Action::CheckHealth(endpoint) => self.request_health_check(endpoint),
            Action::CloseIdleConnections(endpoint) => {
                self.send_health_check_command(endpoint, HealthCheckCommand::Close)
            }
            Action::SetTimer { delay, token } => self.timers.set_balancer_timer(delay, token),
            // The discovery client watches the endpoint list continuously and schedules its own polls.
            Action::Watch(_) => {}
            Action::FetchEndpoints => self.send_discovery_command(DiscoveryCommand::FetchFullList),
            Action::Log(text) => info!(target: "balancer", "{text}"),
            // Never requested: the settings tell the balancer that relays cannot send messages to each other.
            Action::SendPeerMessage { .. } => {}
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Micros) {
        let requested_at = self.connections.get(id).map(|entry| entry.requested_at);
        let elapsed = requested_at.map(|at| self.timers.clock.now().saturating_sub(at));
        self.record_rejected(RejectionReason::Balancer, elapsed);
        self.send_command(id, ConnectionCommand::Reject(retry_after));
    }

    /// Starts an attempt, or reports its end without starting it if it is not permitted or the endpoint has
    /// no known address. A `timeout` of 0 stands for the time until the client's deadline.
    fn start_attempt(
        &mut self, id: RequestId, endpoint: EndpointId, timeout: Micros, send_before: Option<Micros>,
    ) {
        let now = self.timers.clock.now();
        let max_attempts = self.settings.permissions.max_attempts;
        let Some(entry) = self.connections.get_mut(id) else { return };
        let attempt = AttemptId(entry.attempts_started);
        entry.attempts_started += 1;
        let time_left = entry.deadline.saturating_sub(now);
        if attempt.0 >= max_attempts || time_left == 0 || entry.established {
            return self.end_unstarted_attempt(id, attempt, endpoint, Outcome::NotSent);
        }
        let Some(address) = self.endpoints.address(&endpoint) else {
            return self.end_unstarted_attempt(id, attempt, endpoint, Outcome::ConnectFailed);
        };
        let timeout = if timeout == 0 { time_left } else { timeout.min(time_left) };
        entry.current_attempt =
            Some(CurrentAttempt { id: attempt, endpoint: endpoint.clone(), started_at: now });
        let request = AttemptRequest { attempt, endpoint: endpoint.clone(), address, timeout, send_before };
        let _ = entry.commands.send(ConnectionCommand::Forward(request));
        self.zone_attempt_started(id, &endpoint);
        self.record_attempt_started(attempt, &endpoint);
    }

    /// Queues the event that ends an attempt that was not started. The balancer handles it after the current
    /// actions.
    fn end_unstarted_attempt(
        &mut self, id: RequestId, attempt: AttemptId, endpoint: EndpointId, outcome: Outcome,
    ) {
        let (closed, elapsed, report) = (false, 0, None);
        self.events.push_back(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            closed,
            endpoint,
            elapsed,
            report,
        });
    }

    /// Asks a client to reconnect.
    pub(in crate::relay) fn migrate_connection(&self, id: RequestId) {
        let deadline = self.timers.clock.now() + LINE_END_TIMEOUT;
        self.send_command(id, ConnectionCommand::Migrate { deadline });
    }

    pub(in crate::relay) fn send_command(&self, id: RequestId, command: ConnectionCommand) {
        if let Some(entry) = self.connections.get(id) {
            // Sending fails if the connection's task has just ended; `connection_closed` then settles the
            // request.
            let _ = entry.commands.send(command);
        }
    }

    pub(in crate::relay) fn send_health_check_command(
        &mut self, endpoint: EndpointId, command: HealthCheckCommand,
    ) {
        let Some(relay) = self.weak_self.upgrade() else { return };
        let start = || health_check::start(relay, endpoint.clone());
        let _ = self.endpoints.health_check_queue(&endpoint, start).send(command);
    }

    pub(in crate::relay) fn send_discovery_command(&self, command: DiscoveryCommand) {
        let _ = self.discovery_commands.send(command);
    }
}
