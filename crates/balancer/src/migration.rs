//! Migration of established connections at a pace.

use rand::Rng;

use crate::balancer::{Balancer, TICK_INTERVAL};
use crate::{Action, ClassId, EndpointId, Micros, RequestId};

/// Connections of a silent or jammed endpoint leave over this time.
pub(crate) const SHED_DURATION: Micros = 1_500_000;

/// The connections of an endpoint that are in migration, and when the last of them should have moved.
pub(crate) struct MigrationPlan {
    pub(crate) connections: Vec<RequestId>,
    pub(crate) end: Micros,
}

impl Balancer {
    /// Flags a part of an endpoint's load to move within a time, the least worth for its load first.
    ///
    /// A balancer holds few of the endpoint's connections, so each is drawn: the classes' parts of all its
    /// own load tell which classes have to go, and all balancers together take about the part that is wanted.
    pub(crate) fn plan_migration(&mut self, now: Micros, id: &EndpointId, part: f64, within: Micros) {
        let count = self.settings.classes.len();
        let mut classes: Vec<(f64, f64)> =
            (0..count).map(|i| (self.class_priority(ClassId(i)), 0.0)).collect();
        for state in self.requests.values().filter(|f| f.connection_established) {
            if let Some(class) = classes.get_mut(state.request.class.0) {
                class.1 += self.relative_load(state);
            }
        }
        let total: f64 = classes.iter().map(|c| c.1).sum();
        let Some(record) = self.endpoints.get(id) else { return };
        let (mut connections, mut strays) = (Vec::new(), Vec::new());
        for flow_id in &record.connections {
            let Some(state) = self.requests.get(flow_id) else { continue };
            let own = classes.get(state.request.class.0).copied().unwrap_or((0.0, total));
            let cheaper: f64 = classes.iter().filter(|c| c.0 < own.0).map(|c| c.1).sum();
            let chance = (part * total - cheaper) / own.1.max(1e-9);
            // What a group holds far from its own endpoints costs the most: it goes first.
            if part >= 1.0 || self.is_misplaced(&state.request, record, now) {
                strays.push(*flow_id);
            } else if self.rng.random::<f64>() < chance {
                connections.push(*flow_id);
            }
        }
        if strays.len() as f64 >= part * record.connections.len() as f64 {
            connections.clear();
        }
        connections.append(&mut strays);
        if connections.is_empty() {
            return;
        }
        for i in (1..connections.len()).rev() {
            connections.swap(i, self.rng.random_range(0..=i));
        }
        if let Some(record) = self.endpoints.get_mut(id) {
            record.migration = Some(MigrationPlan { connections, end: now + within });
        }
    }

    /// Moves as many flagged connections as keep each plan on time.
    pub(crate) fn run_migrations(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for record in self.endpoints.values_mut() {
            let Some(plan) = &mut record.migration else { continue };
            plan.connections.retain(|id| record.connections.contains(id));
            let share = plan.connections.len() as f64 * TICK_INTERVAL as f64
                / plan.end.saturating_sub(now).max(TICK_INTERVAL) as f64;
            let count = share as usize + usize::from(self.rng.random::<f64>() < share.fract());
            for _ in 0..count {
                due.extend(plan.connections.pop());
            }
            if plan.connections.is_empty() {
                record.migration = None;
            }
        }
        for id in due {
            let Some(state) = self.requests.get(&id) else { continue };
            if let (Some(key), Some(from)) = (&state.request.session_key, &state.attempt_endpoint) {
                self.migrated_clients.insert(key.clone(), (from.clone(), now));
            }
            out.push(Action::Migrate(id));
            self.release(id);
        }
    }
}
