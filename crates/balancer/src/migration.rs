//! Gradual migration of established connections away from an endpoint.

use rand::Rng;

use crate::balancer::{Balancer, TICK_INTERVAL};
use crate::{Action, ClassId, EndpointId, Micros, RequestId};

/// Time within which connections leave an unresponsive, overloaded or removed endpoint.
pub(crate) const SHED_DURATION: Micros = 1_500_000;
/// Lower limit of a class's load where it is a divisor.
const MIN_CLASS_LOAD: f64 = 1e-9;

/// Connections to migrate away from an endpoint.
#[derive(Debug)]
pub(crate) struct MigrationPlan {
    /// The connections, in reverse order of migration.
    pub(crate) connections: Vec<RequestId>,
    /// Point in time by which the last connection should have migrated.
    pub(crate) end: Micros,
}

/// A client whose connection was migrated and that must not go back to the same endpoint for now.
#[derive(Clone, Debug)]
pub(crate) struct MigratedClient {
    pub(crate) from: EndpointId,
    pub(crate) migrated_at: Micros,
}

/// Priority of a class, and the total relative load of this balancer's connections in it.
#[derive(Clone, Copy, Debug)]
struct ClassLoad {
    priority: f64,
    load: f64,
}

impl Balancer {
    /// Plans to migrate a fraction of an endpoint's load within `duration`, from low-priority classes first.
    pub(crate) fn plan_migration(&mut self, now: Micros, id: &EndpointId, fraction: f64, duration: Micros) {
        let mut connections = self.select_connections(now, id, fraction);
        if connections.is_empty() {
            return;
        }
        for index in (1..connections.len()).rev() {
            connections.swap(index, self.rng.random_range(0..=index));
        }
        if let Some(record) = self.endpoints.get_mut(id) {
            record.migration = Some(MigrationPlan { connections, end: now + duration });
        }
    }

    /// Selects connections of an endpoint that make up a fraction of its load.
    ///
    /// Misplaced connections cost the most and are selected first. Each other connection is selected at
    /// random, because one balancer has few of an endpoint's connections. The probability depends on its
    /// class's share of this balancer's total load, so that all balancers together select about the wanted
    /// fraction, from low-priority classes.
    fn select_connections(&mut self, now: Micros, id: &EndpointId, fraction: f64) -> Vec<RequestId> {
        let class_loads = self.class_loads();
        let total: f64 = class_loads.iter().map(|class| class.load).sum();
        let Some(record) = self.endpoints.get(id) else { return Vec::new() };
        let (mut selected, mut misplaced) = (Vec::new(), Vec::new());
        for connection in &record.connections {
            let Some(state) = self.requests.get(connection) else { continue };
            let unknown_class = ClassLoad { priority: 0.0, load: total };
            let own_class = class_loads.get(state.request.class.0).copied().unwrap_or(unknown_class);
            let lower_classes = class_loads.iter().filter(|class| class.priority < own_class.priority);
            let lower_load: f64 = lower_classes.map(|class| class.load).sum();
            let probability = (fraction * total - lower_load) / own_class.load.max(MIN_CLASS_LOAD);
            if fraction >= 1.0 || self.is_misplaced(&state.request, record, now) {
                misplaced.push(*connection);
            } else if self.rng.random::<f64>() < probability {
                selected.push(*connection);
            }
        }
        if misplaced.len() as f64 >= fraction * record.connections.len() as f64 {
            return misplaced;
        }
        selected.append(&mut misplaced);
        selected
    }

    fn class_loads(&self) -> Vec<ClassLoad> {
        let classes = (0..self.settings.classes.len()).map(ClassId);
        let mut class_loads: Vec<ClassLoad> =
            classes.map(|class| ClassLoad { priority: self.class_priority(class), load: 0.0 }).collect();
        for state in self.requests.values().filter(|state| state.established) {
            if let Some(class) = class_loads.get_mut(state.request.class.0) {
                class.load += self.relative_load(state);
            }
        }
        class_loads
    }

    /// Migrates as many connections as are due now to complete each plan in time.
    pub(crate) fn run_migrations(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for record in self.endpoints.values_mut() {
            let Some(plan) = &mut record.migration else { continue };
            plan.connections.retain(|id| record.connections.contains(id));
            let time_left = plan.end.saturating_sub(now).max(TICK_INTERVAL);
            let mean_count = plan.connections.len() as f64 * TICK_INTERVAL as f64 / time_left as f64;
            let rounds_up = self.rng.random::<f64>() < mean_count.fract();
            for _ in 0..mean_count as usize + usize::from(rounds_up) {
                due.extend(plan.connections.pop());
            }
            if plan.connections.is_empty() {
                record.migration = None;
            }
        }
        for id in due {
            self.migrate(now, id, actions);
        }
    }

    fn migrate(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(&id) else { return };
        if let (Some(key), Some(from)) = (&state.request.session_key, &state.attempt_endpoint) {
            let client = MigratedClient { from: from.clone(), migrated_at: now };
            self.migrated_clients.insert(key.hash(), client);
        }
        actions.push(Action::Migrate(id));
        self.release(id);
    }
}
