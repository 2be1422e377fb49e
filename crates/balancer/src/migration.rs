//! Migration of established connections at a pace.

use rand::Rng;

use crate::balancer::{Balancer, TICK};
use crate::{Action, ClassId, EndpointId, Micros, RequestId};

/// Connections of a silent or jammed server leave over this time.
pub(crate) const SHED_TIME: Micros = 1_500_000;

/// The connections of a server that are in migration, and when the last of them should have moved.
pub(crate) struct MovePlan {
    pub(crate) flagged: Vec<RequestId>,
    pub(crate) end: Micros,
}

impl Balancer {
    /// Flags a part of a server's load to move within a time, the least worth for its load first.
    ///
    /// A balancer holds few of the server's connections, so each is drawn: the classes' parts of all its own
    /// load tell which classes have to go, and all balancers together take about the part that is wanted.
    pub(crate) fn plan_moves(&mut self, now: Micros, id: &EndpointId, part: f64, within: Micros) {
        let count = self.settings.classes.len();
        let mut classes: Vec<(f64, f64)> = (0..count).map(|i| (self.dearness(ClassId(i)), 0.0)).collect();
        for flow in self.flows.values().filter(|f| f.standing) {
            if let Some(class) = classes.get_mut(flow.request.class.0) {
                class.1 += self.units(flow);
            }
        }
        let total: f64 = classes.iter().map(|c| c.1).sum();
        let Some(server) = self.servers.get(id) else { return };
        let (mut flagged, mut strays) = (Vec::new(), Vec::new());
        for flow_id in &server.standing {
            let Some(flow) = self.flows.get(flow_id) else { continue };
            let own = classes.get(flow.request.class.0).copied().unwrap_or((0.0, total));
            let cheaper: f64 = classes.iter().filter(|c| c.0 < own.0).map(|c| c.1).sum();
            let chance = (part * total - cheaper) / own.1.max(1e-9);
            // What a group holds far from its own servers costs the most: it goes first.
            if part >= 1.0 || self.stray(&flow.request, server, now) {
                strays.push(*flow_id);
            } else if self.rng.random::<f64>() < chance {
                flagged.push(*flow_id);
            }
        }
        if strays.len() as f64 >= part * server.standing.len() as f64 {
            flagged.clear();
        }
        flagged.append(&mut strays);
        if flagged.is_empty() {
            return;
        }
        for i in (1..flagged.len()).rev() {
            flagged.swap(i, self.rng.random_range(0..=i));
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.moves = Some(MovePlan { flagged, end: now + within });
        }
    }

    /// Moves as many flagged connections as keep each plan on time.
    pub(crate) fn pace_moves(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for server in self.servers.values_mut() {
            let Some(plan) = &mut server.moves else { continue };
            plan.flagged.retain(|id| server.standing.contains(id));
            let share =
                plan.flagged.len() as f64 * TICK as f64 / plan.end.saturating_sub(now).max(TICK) as f64;
            let count = share as usize + usize::from(self.rng.random::<f64>() < share.fract());
            for _ in 0..count {
                due.extend(plan.flagged.pop());
            }
            if plan.flagged.is_empty() {
                server.moves = None;
            }
        }
        for id in due {
            let Some(flow) = self.flows.get(&id) else { continue };
            if let (Some(key), Some(from)) = (&flow.request.session_key, &flow.out) {
                self.moved.insert(key.clone(), (from.clone(), now));
            }
            out.push(Action::Migrate(id));
            self.close(id);
        }
    }
}
