//! Rebalancing: migration of misplaced connections back to their zone and to the endpoints of their group.

use rand::Rng;

use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::migration::MigrationPlan;
use crate::request_state::RequestState;
use crate::{Action, EndpointId, Micros, RequestId};

/// Connections migrate back only while the least loaded local endpoint is below this load. Close to the load
/// at which groups spill over, they would leave again.
const MAX_REBALANCING_LOAD: f64 = 0.55;
/// Least age of a connection before it is rebalanced, so that load reports include the earlier placements.
const MIN_REBALANCING_AGE: Micros = 2_000_000;
/// Mean number of balancers in the fleet that rebalance a connection in one tick, so that load reports can
/// keep up with the changes.
const REBALANCING_BALANCERS_PER_TICK: f64 = 4.0;

impl Balancer {
    /// Plans to migrate one connection that is in another zone or not on its group's endpoints, if a fresh
    /// load report shows capacity at a local endpoint.
    ///
    /// Otherwise a connection that was placed before the start, or elsewhere for lack of capacity, would stay
    /// misplaced until it ends.
    pub(crate) fn rebalance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.rng.random::<f64>() * self.fleet_size() >= REBALANCING_BALANCERS_PER_TICK {
            return;
        }
        let Some((load, local)) = self.least_loaded_local_endpoint(now) else { return };
        let Some((connection, from)) = self.misplaced_connection(now) else { return };
        if let Some(record) = self.endpoints.get_mut(&local).filter(|record| !record.has_fresh_report(now)) {
            // If health checks are not permitted, the next report arrives with the outcome of an attempt.
            if self.settings.permissions.health_checks {
                record.check_health(now, actions);
            }
        } else if load < MAX_REBALANCING_LOAD
            && let Some(record) = self.endpoints.get_mut(&from)
        {
            record.migration = Some(MigrationPlan { connections: vec![connection], end: now });
        }
    }

    fn least_loaded_local_endpoint(&self, now: Micros) -> Option<(f64, EndpointId)> {
        let is_usable = |record: &&EndpointRecord| {
            self.is_local(record) && !record.has_slow_messages(now) && self.endpoint_weight(record, now) > 0.0
        };
        let usable = self.endpoints.values().filter(is_usable);
        let loads = usable.map(|record| (self.estimated_load(record, now), record));
        let (load, record) = loads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((load, record.endpoint.id.clone()))
    }

    /// Returns the misplaced connection on the endpoint with the highest load, and that endpoint.
    ///
    /// If there are several on that endpoint, it returns the oldest, which is the most likely to last.
    fn misplaced_connection(&self, now: Micros) -> Option<(RequestId, EndpointId)> {
        let is_old_enough =
            |state: &RequestState| state.established && now >= state.sent_at + MIN_REBALANCING_AGE;
        let candidates = self.requests.iter().rev().filter(|(_, state)| is_old_enough(state));
        let with_record = candidates.filter_map(|(id, state)| {
            let record = self.endpoints.get(state.attempt_endpoint.as_ref()?)?;
            Some((*id, state, record))
        });
        let misplaced = with_record.filter(|(_, state, record)| {
            self.should_rebalance(state, record, now) && record.migration.is_none()
        });
        let loads = misplaced.map(|(id, _, record)| (self.estimated_load(record, now), id, record));
        let (_, id, record) = loads.max_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((id, record.endpoint.id.clone()))
    }

    fn should_rebalance(&self, state: &RequestState, record: &EndpointRecord, now: Micros) -> bool {
        let copy_cost = self.group_copy_cost(&state.request);
        if self.distance_penalty(record, copy_cost) > 1.0 {
            self.settings.rebalancing
        } else {
            self.is_misplaced(&state.request, record, now)
        }
    }
}
