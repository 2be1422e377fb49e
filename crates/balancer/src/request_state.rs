//! Requests from their arrival to the last outcome of their attempts, and established connections.

use std::collections::BTreeSet;

use crate::balancer::Balancer;
use crate::estimates::update_mean;
use crate::migration::{MigrationPlan, SHED_DURATION};
use crate::{Action, CellId, EndpointId, Micros, Request, RequestId, ZoneId};

/// A request, from its arrival to the last word on its attempts.
#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) deadline: Micros,
    pub(crate) attempts: u32,
    pub(crate) attempt_endpoint: Option<EndpointId>,
    /// Endpoints that failed this request.
    pub(crate) failed_endpoints: BTreeSet<EndpointId>,
    /// The first endpoint on which it may have run, and when it was sent there.
    pub(crate) possible_run: Option<(Option<ZoneId>, CellId, Micros)>,
    pub(crate) sent_at: Micros,
    pub(crate) pending: Option<PendingRequest>,
    pub(crate) health_check_rounds: u32,
    pub(crate) connection_established: bool,
    /// Load in microseconds a second, where told.
    pub(crate) connection_load: Option<f64>,
    pub(crate) finished: bool,
}

/// A held request: until when, and whose probe answers it waits for.
pub(crate) struct PendingRequest {
    pub(crate) until: Micros,
    pub(crate) health_checks: BTreeSet<EndpointId>,
}

impl Balancer {
    pub(crate) fn new_request_state(&mut self, now: Micros, request: Request) -> RequestState {
        if let Some(hint) = request.expected_load {
            update_mean(&mut self.mean_connection_load, hint);
        }
        RequestState {
            deadline: now.saturating_add(request.time_remaining),
            connection_load: request.expected_load,
            request,
            sent_at: now,
            ..RequestState::default()
        }
    }

    pub(crate) fn accept_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let state = self.new_request_state(now, request);
        self.requests.insert(id, state);
        self.route(now, id, out);
    }

    pub(crate) fn adopt_connection(&mut self, now: Micros, request: Request, record: EndpointId) {
        let id = request.id;
        let state = RequestState {
            attempts: 1,
            attempt_endpoint: Some(record.clone()),
            ..self.new_request_state(now, request)
        };
        self.requests.insert(id, state);
        self.connection_established(now, id, record);
    }

    pub(crate) fn connection_established(&mut self, now: Micros, id: RequestId, at: EndpointId) {
        self.record_success(now, &at);
        let Some(state) = self.requests.get_mut(&id) else { return };
        if state.finished {
            return;
        }
        state.connection_established = true;
        self.connection_count += 1;
        if let Some(group) = &state.request.affinity_group {
            *self.group_connections.entry(group.clone()).or_insert(0) += 1;
        }
        if let Some(key) = &state.request.session_key {
            self.sticky_endpoints.insert(key.clone(), (at.clone(), now));
        }
        if let Some(record) = self.endpoints.get_mut(&at) {
            record.connections.insert(id);
            // It drained while the connection was being set up: the new one is flagged with the rest.
            if record.leaving_since.is_some() {
                let end = now + SHED_DURATION;
                record
                    .migration
                    .get_or_insert(MigrationPlan { connections: Vec::new(), end })
                    .connections
                    .push(id);
            }
        }
    }

    /// Forgets what a request holds; it stays known only while an attempt is out.
    pub(crate) fn release(&mut self, id: RequestId) {
        self.pending_requests.remove(&id);
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.finished = true;
        if std::mem::take(&mut state.connection_established) {
            self.connection_count -= 1;
            if let Some(count) =
                state.request.affinity_group.as_ref().and_then(|g| self.group_connections.get_mut(g))
            {
                *count -= 1;
            }
            self.group_connections.retain(|_, count| *count > 0);
        }
        match state.attempt_endpoint.as_ref().map(|at| self.endpoints.get_mut(at)) {
            None => drop(self.requests.remove(&id)),
            Some(record) => drop(record.map(|s| s.connections.remove(&id))),
        }
    }
}
