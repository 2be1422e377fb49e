//! Requests from their arrival to the last outcome of their attempts, and established connections.

use std::collections::BTreeSet;

use crate::balancer::Balancer;
use crate::estimates::blend;
use crate::migration::{MovePlan, SHED_TIME};
use crate::{Action, CellId, EndpointId, Micros, Request, RequestId, ZoneId};

/// A request, from its arrival to the last word on its attempts.
#[derive(Default)]
pub(crate) struct Flow {
    pub(crate) request: Request,
    pub(crate) deadline: Micros,
    pub(crate) attempts: u32,
    pub(crate) out: Option<EndpointId>,
    /// Servers that failed this request.
    pub(crate) tried: BTreeSet<EndpointId>,
    /// The first server on which it may have run, and when it was sent there.
    pub(crate) may_have_run: Option<(Option<ZoneId>, CellId, Micros)>,
    pub(crate) sent_at: Micros,
    pub(crate) held: Option<Hold>,
    pub(crate) rounds: u32,
    pub(crate) standing: bool,
    /// Load in microseconds a second, where told.
    pub(crate) load: Option<f64>,
    pub(crate) over: bool,
}

/// A held request: until when, and whose probe answers it waits for.
pub(crate) struct Hold {
    pub(crate) until: Micros,
    pub(crate) probes: BTreeSet<EndpointId>,
}

impl Balancer {
    pub(crate) fn flow(&mut self, now: Micros, request: Request) -> Flow {
        if let Some(hint) = request.expected_load {
            blend(&mut self.mean_work, hint);
        }
        Flow {
            deadline: now.saturating_add(request.time_remaining),
            load: request.expected_load,
            request,
            sent_at: now,
            ..Flow::default()
        }
    }

    pub(crate) fn take_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let flow = self.flow(now, request);
        self.flows.insert(id, flow);
        self.route(now, id, out);
    }

    pub(crate) fn adopt(&mut self, now: Micros, request: Request, server: EndpointId) {
        let id = request.id;
        let flow = Flow { attempts: 1, out: Some(server.clone()), ..self.flow(now, request) };
        self.flows.insert(id, flow);
        self.established(now, id, server);
    }

    pub(crate) fn established(&mut self, now: Micros, id: RequestId, at: EndpointId) {
        self.alive(now, &at);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if flow.over {
            return;
        }
        flow.standing = true;
        self.standing += 1;
        if let Some(group) = &flow.request.affinity_group {
            *self.groups.entry(group.clone()).or_insert(0) += 1;
        }
        if let Some(key) = &flow.request.session_key {
            self.homes.insert(key.clone(), (at.clone(), now));
        }
        if let Some(server) = self.servers.get_mut(&at) {
            server.standing.insert(id);
            // It drained while the connection was being set up: the new one is flagged with the rest.
            if server.leaving.is_some() {
                let end = now + SHED_TIME;
                server.moves.get_or_insert(MovePlan { flagged: Vec::new(), end }).flagged.push(id);
            }
        }
    }

    /// Forgets what a request holds; it stays known only while an attempt is out.
    pub(crate) fn close(&mut self, id: RequestId) {
        self.held.remove(&id);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.over = true;
        if std::mem::take(&mut flow.standing) {
            self.standing -= 1;
            if let Some(count) = flow.request.affinity_group.as_ref().and_then(|g| self.groups.get_mut(g)) {
                *count -= 1;
            }
            self.groups.retain(|_, count| *count > 0);
        }
        match flow.out.as_ref().map(|at| self.servers.get_mut(at)) {
            None => drop(self.flows.remove(&id)),
            Some(server) => drop(server.map(|s| s.standing.remove(&id))),
        }
    }
}
