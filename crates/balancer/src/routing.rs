//! Which endpoint a request goes to.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::{STICKY_LOAD, WAVE_WAIT};
use crate::affinity::{SPILL_ABOVE, SPILL_LEAST, SPILL_MOST, group_salt};
use crate::balancer::Balancer;
use crate::endpoint_record::Server;
use crate::health_check::HOLD;
use crate::rendezvous::race;
use crate::request_state::Flow;
use crate::unreported_load::is_blind;
use crate::{Action, EndpointId, Idempotency, Micros, RequestId};

/// Servers probed for a request: enough that one of them has room, few enough to cost next to nothing.
pub(crate) const SAMPLE: usize = 3;
/// Sampling rounds for a request before the split decides with what it has.
pub(crate) const ROUNDS: u32 = 2;
/// Least time worth another attempt.
pub(crate) const LEAST_TRY: Micros = 30_000;

/// A server in the races that decide about a request.
pub(crate) struct Lane<'a> {
    pub(crate) load: f64,
    /// Its place in the group's race as seen from this zone, as seen from anywhere, and in the client's race.
    pub(crate) near: f64,
    pub(crate) wide: f64,
    pub(crate) client: f64,
    pub(crate) warmth: f64,
    pub(crate) id: &'a EndpointId,
}

impl Balancer {
    /// Finds a server for a request that has no attempt out, probing first where that can tell more.
    pub(crate) fn route(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.held.remove(&id);
        let Some(mut flow) = self.flows.remove(&id) else { return };
        flow.held = None;
        let left = flow.deadline.saturating_sub(now);
        let spent = flow.attempts >= self.settings.permissions.max_attempts.max(1);
        if spent || left <= LEAST_TRY.min(flow.request.time_remaining / 2) {
            return self.finish(flow, out);
        }
        let home = self.home(&flow, now);
        if flow.request.mid_flow
            && flow.attempts == 0
            && let Some(home) = &home
        {
            // Its server has it still, even while that drains.
            return self.send(now, flow, home.clone(), out);
        }
        if is_blind(&self.settings) && flow.rounds == 0 && self.throttled(&flow, now) {
            return self.finish(flow, out);
        }
        let home = home.filter(|h| self.servers.get(h).is_some_and(|s| s.ready() && !s.health.suspect()));
        let ranking = self.rank(&flow, now);
        if flow.rounds < ROUNDS && self.sample(now, &mut flow, home.as_ref(), &ranking, out) {
            self.held.insert(id);
            self.flows.insert(id, flow);
            return;
        }
        let at_home = home.filter(|h| {
            self.servers.get(h).is_some_and(|s| {
                self.estimate(s, now) < STICKY_LOAD && !s.slow(now) && self.slot_open(s, now)
            })
        });
        if at_home.is_none() && self.wave(now) && self.wait(now, &mut flow, WAVE_WAIT, out) {
            self.held.insert(id);
            self.flows.insert(id, flow);
            return;
        }
        if let Some(server) = at_home.or_else(|| ranking.into_iter().next()) {
            return self.send(now, flow, server, out);
        }
        self.no_room(now, flow, out);
    }

    /// Servers that may take this request, best first.
    ///
    /// The race of the group puts the servers in an order that all balancers see alike; as many of the first
    /// that have room as the group seems to need form its set, and within the set the race of the client
    /// decides by spare capacity. Without a group every server with room is in the set.
    pub(crate) fn rank(&mut self, flow: &Flow, now: Micros) -> Vec<EndpointId> {
        let request = &flow.request;
        let moved = request.session_key.as_ref().and_then(|k| self.moved.get(k));
        // A moved client lands at random; only its group, if it has one, still draws it.
        let client = match &request.session_key {
            Some(key) if moved.is_none() => xxh3_64_with_seed(key.0.as_bytes(), 1),
            _ => self.rng.random(),
        };
        let spill = (self.fleet.mean_load + SPILL_ABOVE).clamp(SPILL_LEAST, SPILL_MOST);
        let (salt, copy) = (group_salt(request), self.copy_cost(request));
        let mut lanes = Vec::with_capacity(self.servers.len());
        for (id, server) in &self.servers {
            let weight = self.weight(server, now);
            let open = weight > 0.0 && !flow.tried.contains(id) && moved.is_none_or(|(from, _)| from != id);
            if open && self.may_send(flow, &server.entry, now) {
                let load = if server.slow(now) { f64::INFINITY } else { self.estimate(server, now) };
                let (far, warmth) = (self.far(server, copy), self.warmth(server, now));
                let spare = weight / far * warmth * (1.0 - load).max(0.01).powi(2);
                let wide = salt.map_or(0.0, |salt| race(salt, server.hash, weight));
                let client = race(client, server.hash, spare);
                lanes.push(Lane { load, near: wide * far, wide, client, warmth, id });
            }
        }
        let need = self.group_set(request);
        // Guards against a group that spreads over a full fleet: each server pays for it, and it stays full.
        let reach = need.saturating_add(need / 2).saturating_add(1);
        lanes.sort_unstable_by(|a, b| a.near.total_cmp(&b.near).then(a.id.cmp(b.id)));
        let mut set: Vec<&Lane> = lanes.iter().take(reach).filter(|l| l.load < spill).collect();
        if set.is_empty() && self.settings.prices.cross_zone > 0.0 {
            // Where the own zone is full, the group's servers in all zones: other balancers use them too.
            let mut wide: Vec<&Lane> = lanes.iter().collect();
            wide.sort_by(|a, b| a.wide.total_cmp(&b.wide));
            set = wide.into_iter().take(reach).filter(|l| l.load < spill).collect();
        }
        if set.is_empty() {
            let full = if self.breaker.half_open(now) { 1.0 } else { self.full(flow) };
            set = lanes.iter().take(reach).filter(|l| l.load < full).collect();
        }
        let lead = need.min(set.len());
        set[..lead].sort_by(|a, b| a.client.total_cmp(&b.client));
        // An open slot on a cold server is taken first if that is of the group's, and else before refusing:
        // it lapses, and the server must fill.
        let cold = lanes.iter().find(|l| l.warmth < 1.0 && l.load < spill);
        let pressed = is_blind(&self.settings) && self.throttle.pressed();
        let cold = cold.filter(|c| pressed || set.is_empty() || set.iter().any(|l| std::ptr::eq(*l, *c)));
        let rest = set.iter().copied().filter(|l| cold.is_none_or(|c| !std::ptr::eq(*l, c)));
        cold.into_iter().chain(rest).take(SAMPLE * 2).map(|l| l.id.clone()).collect()
    }

    /// A server's weight before its load counts: capacity, less where it is doubtful.
    pub(crate) fn weight(&self, server: &Server, now: Micros) -> f64 {
        if !server.ready() || server.health.suspect() || !self.slot_open(server, now) {
            return 0.0;
        }
        // A probe that is not answered when it should be is a bad sign already.
        let doubt =
            if server.probe_sent.is_some_and(|at| now.saturating_sub(at) >= HOLD) { 0.2 } else { 1.0 };
        server.size() * server.health.led_back(now) * doubt
    }

    pub(crate) fn send(&mut self, now: Micros, mut flow: Flow, id: EndpointId, out: &mut Vec<Action>) {
        let units = self.units(&flow);
        let rate = self.servers.get(&id).map_or(0.0, |s| self.slot_rate(s));
        let told = !is_blind(&self.settings);
        if let Some(server) = self.servers.get_mut(&id) {
            server.recent.extend(told.then_some((now, units)));
            server.slots.take(&self.settings.rules, server.entry.started_at, now, rate);
        }
        self.breaker.placed();
        let _ = flow.request.session_key.as_ref().map(|key| self.moved.remove(key));
        let aim =
            self.class(&flow).map_or(flow.request.time_remaining, |c| c.latency_objective).max(LEAST_TRY);
        let timeout = aim.min(flow.deadline.saturating_sub(now)).max(1);
        self.under_way.0 += units;
        flow.attempts += 1;
        flow.out = Some(id.clone());
        flow.sent_at = now;
        flow.rounds = 0;
        let send_before = match (flow.may_have_run, self.class(&flow).map(|c| c.idempotency)) {
            (Some((.., since)), Some(Idempotency::IdempotencyKey { window, .. })) => Some(since + window),
            _ => None,
        };
        out.push(Action::Forward { id: flow.request.id, endpoint: id, timeout, send_before });
        self.flows.insert(flow.request.id, flow);
    }
}
