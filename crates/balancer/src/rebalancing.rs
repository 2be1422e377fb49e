//! Migration of misplaced connections to the zone and the endpoints where they belong.

use rand::Rng;

use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::migration::MigrationPlan;
use crate::request_state::RequestState;
use crate::{Action, Micros};

/// A stray is brought home while an endpoint there has less load than this: near a spill it crosses again ...
pub(crate) const MAX_REBALANCING_LOAD: f64 = 0.55;
/// ... and has stood for this long, so that reports show what came before it.
pub(crate) const MIN_MISPLACED_TIME: Micros = 2_000_000;
/// So many balancers a tick bring one home, however many there are: reports must keep up with all of them.
pub(crate) const REBALANCING_BALANCERS_PER_TICK: f64 = 4.0;

impl Balancer {
    /// Flags one stray, a connection that crosses zones or stands far from its group's endpoints, while a
    /// endpoint of the own zone has room by a fresh report; the oldest first, as those have shown to last.
    /// Guards against what was placed before the start, or by need, costing by the second to its end.
    pub(crate) fn rebalance(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.rng.random::<f64>() * self.fleet_size() >= REBALANCING_BALANCERS_PER_TICK {
            return;
        }
        let near = self.endpoints.values().filter(|s| self.is_local(s) && !s.has_slow_messages(now));
        let near = near.filter(|s| self.endpoint_weight(s, now) > 0.0).map(|s| (self.estimate(s, now), s));
        let Some((load, near)) = near.min_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let near = near.endpoint.id.clone();
        let stood = self
            .requests
            .iter()
            .rev()
            .filter(|(_, f)| f.connection_established && now >= f.sent_at + MIN_MISPLACED_TIME);
        let stood =
            stood.filter_map(|(id, f)| Some((*id, f, self.endpoints.get(f.attempt_endpoint.as_ref()?)?)));
        let away = |f: &RequestState, s: &EndpointRecord| {
            self.distance_penalty(s, self.group_copy_cost(&f.request)) > 1.0
        };
        let strays = stood.filter(|(_, f, s)| {
            if away(f, s) { self.settings.rebalancing } else { self.is_misplaced(&f.request, s, now) }
        });
        let strays =
            strays.filter(|(_, _, s)| s.migration.is_none()).map(|(id, _, s)| (self.estimate(s, now), id, s));
        let Some((_, id, from)) = strays.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let from = from.endpoint.id.clone();
        if let Some(record) = self.endpoints.get_mut(&near).filter(|s| !s.has_fresh_report(now)) {
            // Where it may not be asked, a report that comes with an answer is waited for.
            if self.settings.permissions.health_checks {
                record.check_health(now, out);
            }
        } else if let Some(record) = self.endpoints.get_mut(&from).filter(|_| load < MAX_REBALANCING_LOAD) {
            record.migration = Some(MigrationPlan { connections: vec![id], end: now });
        }
    }
}
