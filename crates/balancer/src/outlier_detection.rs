//! Whether a card server looks ill to one balancer: strikes, the time to ask again, the way back.
//!
//! Failures without a sign of life are strikes. [`SUSPECT_STRIKES`] in a row make a suspect, which gets
//! nothing new. It comes back by any sign of life. Where it may be probed, a probe brings that; where it may
//! not, it gets a *turn* once its time is up: newcomers again, at a small part of its weight, until one
//! attempt tells. No I/O, no clock; the caller says what happened.

use crate::balancer::Balancer;
use crate::load_estimate::REPORT_LAG;
use crate::migration::SHED_TIME;
use crate::{Action, EndpointId, Micros, Settings};

/// Time-outs and failures in a row after which a server gets nothing new.
pub const SUSPECT_STRIKES: u32 = 2;
/// Strikes in a row after which its connections are moved.
pub const SILENT_STRIKES: u32 = 4;
/// First wait before a suspect is asked again; it doubles up to 32 times this.
const RECHECK: Micros = 500_000;
/// ... or after this for each balancer: all together ask a suspect at a pace that does not grow with them.
const RECHECK_SHARE: Micros = 40_000;
/// A server that answers again is led back to its full weight over this time.
const READMIT: Micros = 3_000_000;

/// What one balancer has seen of one server's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Failures in a row without a sign of life.
    strikes: u32,
    /// A suspect that has its turn, as it may not be probed.
    turn: bool,
    recheck_at: Micros,
    readmitted: Option<Micros>,
}

impl Health {
    /// It gets nothing new.
    pub fn suspect(&self) -> bool {
        self.strikes >= SUSPECT_STRIKES && !self.turn
    }

    /// It has failed so often that what stands there is to move.
    pub fn silent(&self) -> bool {
        self.strikes >= SILENT_STRIKES
    }

    /// The last strike was the one that made it silent.
    pub fn just_silent(&self) -> bool {
        self.strikes == SILENT_STRIKES
    }

    /// One more strike would make it silent, or it is.
    pub fn nearly_silent(&self) -> bool {
        self.strikes + 1 >= SILENT_STRIKES
    }

    /// A sign of life.
    pub fn alive(&mut self, now: Micros) {
        if self.suspect() {
            self.readmitted = Some(now);
        }
        (self.strikes, self.turn) = (0, false);
    }

    /// A failure that may mean that it is silent. It ends a turn.
    pub fn strike(&mut self, now: Micros, settings: &Settings) {
        self.strikes = self.strikes.saturating_add(1);
        self.turn = false;
        self.ask_later(now, settings);
    }

    /// It is asked again later, the later the longer it has been silent.
    pub fn ask_later(&mut self, now: Micros, settings: &Settings) {
        let doubled = self.strikes.saturating_sub(SILENT_STRIKES).min(5);
        let all = RECHECK_SHARE * Micros::from(settings.fleet_size);
        self.recheck_at = now + (RECHECK.max(all) << doubled).min(RECHECK * 32);
    }

    /// It answers, if only with errors: it is asked again after the first wait.
    pub fn answers(&mut self, now: Micros, settings: &Settings) {
        let strikes = std::mem::take(&mut self.strikes);
        self.ask_later(now, settings);
        self.strikes = strikes;
    }

    /// Whether it is to be asked whether it lives.
    pub fn due(&self, now: Micros) -> bool {
        self.strikes > 0 && now >= self.recheck_at
    }

    /// Lets a suspect that may not be probed have its turn. Guards against two failures that end a server for
    /// good.
    pub fn take_turn(&mut self, now: Micros) {
        if self.suspect() {
            (self.turn, self.readmitted) = (true, Some(now));
        }
    }

    /// The part of its weight that it has: all, or less after it came back.
    pub fn led_back(&self, now: Micros) -> f64 {
        let part = |at| (now.saturating_sub(at) as f64 / READMIT as f64).clamp(0.1, 1.0);
        // What a turn brings is not known yet: it stays at the least.
        if self.turn { 0.1 } else { self.readmitted.map_or(1.0, part) }
    }
}

/// At most this part of the ready servers may be held silent; beyond it the fault lies elsewhere.
pub(crate) const SILENT_PART: f64 = 0.34;
/// A server whose load exceeds this sheds connections ...
pub(crate) const SHED_LOAD: f64 = 0.9;
/// ... down to this load ...
pub(crate) const SHED_TARGET: f64 = 0.7;
/// ... or this one, and twice as often, where the others have room for all that it holds ...
pub(crate) const SHED_ROOMY: f64 = 0.45;
/// ... and not again before reports can show the effect.
pub(crate) const SHED_AGAIN: Micros = 4_000_000;
/// Part of the connections that a server sheds of which only slow messages tell.
pub(crate) const SHED_BLIND: f64 = 0.15;

impl Balancer {
    pub(crate) fn alive(&mut self, now: Micros, id: &EndpointId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.alive(now);
        }
    }

    /// A failure that may mean the server is silent: it is asked at once whether it lives.
    pub(crate) fn strike(&mut self, now: Micros, id: &EndpointId, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.health.strike(now, &self.settings);
        if self.settings.permissions.health_checks && server.ready() && !server.health.silent() {
            server.probe(now, out);
        }
        if server.health.just_silent() {
            self.judge(now, id, out);
        }
    }

    /// A server stays silent, or its messages crawl: move its connections away, all or some.
    pub(crate) fn judge(&mut self, now: Micros, id: &EndpointId, out: &mut Vec<Action>) {
        let silent = self.servers.values().filter(|s| s.ready() && s.health.silent()).count();
        // Guards against moving everybody because this balancer's own link, or all probing, has failed.
        if silent as f64 > (self.fleet.ready as f64 * SILENT_PART).max(1.0) {
            return;
        }
        // Guards against clients left on a jammed server that gets worse, bit by bit, while others are idle.
        let room = self.fleet.room * self.fleet.unit;
        let Some(server) = self.servers.get_mut(id) else { return };
        if !server.ready() || now < server.shed_after {
            return;
        }
        let slow = server.slow(now);
        let held = server.load.map_or(f64::INFINITY, |(load, _)| load) * server.size();
        let (target, again) =
            if room > held { (SHED_ROOMY, SHED_AGAIN / 2) } else { (SHED_TARGET, SHED_AGAIN) };
        let load = server.load.filter(|(_, at)| now.saturating_sub(*at) < REPORT_LAG).map(|(load, _)| load);
        let part = match load {
            Some(load) if load > SHED_LOAD => 1.0 - target / load,
            _ if slow => SHED_BLIND,
            _ if server.health.silent() => 1.0,
            _ => return,
        };
        server.shed_after = now + again;
        self.plan_moves(now, id, part, SHED_TIME);
        self.log(format!("{}: {:.0}% of its load is to move away", id.0, part * 100.0), out);
    }
}
