//! State of each request, from its arrival to the end of its last attempt or its established connection.

use std::collections::BTreeSet;

use crate::balancer::{Balancer, FIRST_REQUEST_TOKEN};
use crate::migration::{MigrationPlan, SHED_DURATION};
use crate::{Action, CellId, ConnectionUpdate, EndpointId, Micros, Request, RequestId, TimerToken, ZoneId};

/// A request, from its arrival to the outcome of its last attempt.
#[derive(Debug, Default)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) deadline: Micros,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Endpoint of the attempt in flight or of the established connection; `None` if there is neither.
    pub(crate) attempt_endpoint: Option<EndpointId>,
    /// Endpoints where an attempt of this request has failed.
    pub(crate) failed_endpoints: BTreeSet<EndpointId>,
    /// The first attempt that may have run; `None` if the request certainly has not run.
    pub(crate) possible_run: Option<PossibleRun>,
    /// When the last attempt was sent, or when the request arrived if there was no attempt.
    pub(crate) sent_at: Micros,
    /// What the request waits for; `None` if it is not waiting.
    pub(crate) pending: Option<PendingRequest>,
    /// Rounds of health checks since the last attempt or deferral.
    pub(crate) health_check_rounds: u32,
    pub(crate) established: bool,
    /// Load of the connection in microseconds of work per second; `None` if unknown.
    pub(crate) connection_load: Option<f64>,
    /// Whether no answer is owed any more and only the outcome of the attempt in flight is awaited.
    pub(crate) finished: bool,
}

/// Where and when an attempt that may have run was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) zone: Option<ZoneId>,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Micros,
}

/// How long a request waits, and for which endpoints' health checks.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) until: Micros,
    pub(crate) health_checks: BTreeSet<EndpointId>,
}

/// Returns the token of a pending request's timer.
pub(crate) fn pending_token(id: RequestId) -> TimerToken {
    TimerToken(FIRST_REQUEST_TOKEN + u64::from(id.0))
}

/// Returns the request whose timer has this token from [`pending_token`].
fn request_of_token(token: TimerToken) -> Option<RequestId> {
    u32::try_from(token.0.saturating_sub(FIRST_REQUEST_TOKEN)).map(RequestId).ok()
}

impl Balancer {
    pub(crate) fn accept_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let state = self.new_request_state(now, request);
        self.requests.insert(id, state);
        self.route(now, id, actions);
    }

    pub(crate) fn adopt_connection(&mut self, now: Micros, request: Request, endpoint: EndpointId) {
        let id = request.id;
        let mut state = self.new_request_state(now, request);
        state.attempts = 1;
        state.attempt_endpoint = Some(endpoint.clone());
        self.requests.insert(id, state);
        self.connection_established(now, id, endpoint);
    }

    fn new_request_state(&mut self, now: Micros, request: Request) -> RequestState {
        if let Some(expected_load) = request.expected_load {
            self.connection_loads.record_expected(expected_load);
        }
        RequestState {
            deadline: now.saturating_add(request.time_remaining),
            connection_load: request.expected_load,
            request,
            sent_at: now,
            ..RequestState::default()
        }
    }

    pub(crate) fn connection_established(&mut self, now: Micros, id: RequestId, endpoint: EndpointId) {
        self.record_success(now, &endpoint);
        let Some(state) = self.requests.get_mut(&id) else { return };
        if state.finished {
            return;
        }
        state.established = true;
        self.connection_count += 1;
        if let Some(group) = &state.request.affinity_group {
            *self.group_connections.entry(group.clone()).or_insert(0) += 1;
        }
        let session_key = state.request.session_key.clone();
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.connections.insert(id);
            // The endpoint began to drain or was removed while the connection was being established, so the
            // connection migrates with the others.
            if record.leaving_since.is_some() {
                let end = now + SHED_DURATION;
                let new_plan = || MigrationPlan { connections: Vec::new(), end };
                record.migration.get_or_insert_with(new_plan).connections.push(id);
            }
        }
        if let Some(key) = session_key {
            self.set_sticky_endpoint(now, &key, endpoint);
        }
    }

    /// Handles a measurement of an established connection.
    pub(crate) fn connection_updated(
        &mut self, now: Micros, id: RequestId, endpoint: EndpointId, update: ConnectionUpdate,
        actions: &mut Vec<Action>,
    ) {
        match update {
            ConnectionUpdate::Load(load) => self.record_connection_load(id, load),
            ConnectionUpdate::MessageLatency(milliseconds) => {
                self.record_message_latency(now, &endpoint, milliseconds, actions);
            }
        }
    }

    /// Stores a request that waits for what its [`PendingRequest`] holds.
    pub(crate) fn enqueue_pending(&mut self, state: RequestState) {
        self.pending_requests.insert(state.request.id);
        self.requests.insert(state.request.id, state);
    }

    /// Routes a pending request when its timer fires, unless the timer is left over from an earlier wait of
    /// the same request.
    pub(crate) fn pending_timer_fired(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        let Some(id) = request_of_token(token) else { return };
        let pending = self.requests.get(&id).and_then(|state| state.pending.as_ref());
        if pending.is_some_and(|pending| now >= pending.until) {
            self.route(now, id, actions);
        }
    }

    /// Marks a request as finished and removes its connection from the counts. Its state is kept only while
    /// an attempt is in flight.
    pub(crate) fn release(&mut self, id: RequestId) {
        self.pending_requests.remove(&id);
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.finished = true;
        if std::mem::take(&mut state.established) {
            self.connection_count -= 1;
            let group = state.request.affinity_group.as_ref();
            if let Some(count) = group.and_then(|group| self.group_connections.get_mut(group)) {
                *count -= 1;
            }
            self.group_connections.retain(|_, count| *count > 0);
        }
        let Some(endpoint) = &state.attempt_endpoint else {
            self.requests.remove(&id);
            return;
        };
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.connections.remove(&id);
        }
    }
}
