//! Migration of misplaced connections to the zone and the endpoints where they belong.

use rand::Rng;

use crate::balancer::Balancer;
use crate::endpoint_record::Server;
use crate::migration::MovePlan;
use crate::request_state::Flow;
use crate::{Action, Micros};

/// A stray is brought home while a server there has less load than this: near a spill it crosses again ...
pub(crate) const HOME_LOAD: f64 = 0.55;
/// ... and has stood for this long, so that reports show what came before it.
pub(crate) const STRAY_STAYS: Micros = 2_000_000;
/// So many balancers a tick bring one home, however many there are: reports must keep up with all of them.
pub(crate) const HOMERS: f64 = 4.0;

impl Balancer {
    /// Flags one stray, a connection that crosses zones or stands far from its group's servers, while a
    /// server of the own zone has room by a fresh report; the oldest first, as those have shown to last.
    /// Guards against what was placed before the start, or by need, costing by the second to its end.
    pub(crate) fn bring_home(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.rng.random::<f64>() * self.balancers() >= HOMERS {
            return;
        }
        let near = self.servers.values().filter(|s| self.near(s) && !s.slow(now));
        let near = near.filter(|s| self.weight(s, now) > 0.0).map(|s| (self.estimate(s, now), s));
        let Some((load, near)) = near.min_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let near = near.entry.id.clone();
        let stood = self.flows.iter().rev().filter(|(_, f)| f.standing && now >= f.sent_at + STRAY_STAYS);
        let stood = stood.filter_map(|(id, f)| Some((*id, f, self.servers.get(f.out.as_ref()?)?)));
        let away = |f: &Flow, s: &Server| self.far(s, self.copy_cost(&f.request)) > 1.0;
        let strays =
            stood.filter(
                |(_, f, s)| {
                    if away(f, s) { self.settings.rebalancing } else { self.stray(&f.request, s, now) }
                },
            );
        let strays =
            strays.filter(|(_, _, s)| s.moves.is_none()).map(|(id, _, s)| (self.estimate(s, now), id, s));
        let Some((_, id, from)) = strays.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let from = from.entry.id.clone();
        if let Some(server) = self.servers.get_mut(&near).filter(|s| !s.fresh(now)) {
            // Where it may not be asked, a report that comes with an answer is waited for.
            if self.settings.permissions.health_checks {
                server.probe(now, out);
            }
        } else if let Some(server) = self.servers.get_mut(&from).filter(|_| load < HOME_LOAD) {
            server.moves = Some(MovePlan { flagged: vec![id], end: now });
        }
    }
}
