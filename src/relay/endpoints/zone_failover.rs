//! Between the relay and [`Sites`]: tells it what happens on the sockets and carries out what it wants.

use honeyknot_metrics::Family;
use honeyknot_zone_failover::{Do, Plan, Setup, Sites, Verdict};
use tracing::info;

use super::health_check::HealthCheckCommand;
use crate::relay::lifecycle::config::Config;
use crate::relay::{ConnectionCommand, Relay};
use crate::settings::NameTable;
use honeyknot_balancer::*;

/// The least price of crossing sites that the decisions reckon with when tiers hold: they then prefer the own site
/// wherever it has room.
const CROSSING: f64 = 0.2;

/// Starts the relay's part where the operators have a plan, and has the decisions leave to it what it decides.
pub fn start(
    plan: Option<Plan>, settings: &mut Settings, names: &NameTable, seed: u64, now: Micros,
) -> Result<Option<Sites>, String> {
    let Some(plan) = plan else { return Ok(None) };
    let home = settings.zone.ok_or("sites: the settings name no site of this relay")?;
    let setup = Setup {
        plan,
        names: names.zones().to_vec(),
        home,
        relays: settings.fleet_size,
        cold: settings.rules.slow_start_duration,
        start_capacity: settings.rules.initial_capacity,
        seed,
    };
    let sites = Sites::new(setup, now).map_err(|why| format!("sites: {why}"))?;
    settings.rebalancing = false;
    settings.prices.cross_zone = settings.prices.cross_zone.max(CROSSING);
    Ok(Some(sites))
}

/// Whether an outcome proves that a card server lives, or speaks for its silence; none where it says neither.
fn sign_of_life(outcome: Outcome) -> Option<bool> {
    match outcome {
        Outcome::Ok | Outcome::Error | Outcome::Rejected => Some(true),
        Outcome::Timeout | Outcome::ConnectFailed => Some(false),
        Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => None,
    }
}

impl Relay {
    /// Tells the sites' part something, if there is one, and does what it wants.
    fn tell_sites(&mut self, tell: impl FnOnce(&mut Sites, Micros, &mut Vec<Do>)) {
        let Some(sites) = &mut self.zone_failover else { return };
        let mut wants = Vec::new();
        tell(sites, self.timers.clock.now(), &mut wants);
        for want in wants {
            match want {
                Do::Move(id) => {
                    self.update_metrics(|book| book.count(Family::Moves, "site"));
                    self.send_command(id, ConnectionCommand::Migrate);
                }
                Do::Ask(server) => self.send_health_check_command(server, HealthCheckCommand::Look),
                Do::Log(text) => info!(target: "site", "{text}"),
            }
        }
    }

    pub(in crate::relay) fn update_zones(&mut self, update: &EndpointUpdate) {
        self.tell_sites(|sites, now, wants| sites.take_list(now, update, wants));
    }

    /// Where a newcomer may be placed, or that it may not.
    pub(in crate::relay) fn zone_verdict(&mut self, request: &Request) -> Verdict {
        let (now, most) = (self.timers.clock.now(), self.max_retry_after());
        match self.zone_failover.as_mut().map(|sites| sites.ask(now, request.affinity_group.as_ref())) {
            None => Verdict::Within(ZoneSet::ALL),
            Some(Verdict::Refuse(away)) => Verdict::Refuse(away.min(most)),
            Some(within) => within,
        }
    }

    pub(in crate::relay) fn zone_attempt_started(&mut self, id: RequestId, server: &EndpointId) {
        if self.zone_failover.is_none() {
            return;
        }
        let deck = self.connections.get(id).and_then(|entry| entry.affinity_group.clone());
        self.tell_sites(|sites, now, _| sites.placed(now, id, server, deck.as_ref()));
    }

    pub(in crate::relay) fn zone_connection_adopted(&mut self, request: &Request, server: &EndpointId) {
        self.tell_sites(|sites, now, _| {
            sites.adopted(now, request.id, server, request.affinity_group.as_ref())
        });
    }

    pub(in crate::relay) fn zone_connection_established(&mut self, id: RequestId, server: &EndpointId) {
        self.tell_sites(|sites, now, wants| {
            sites.stands(now, id);
            sites.sign(now, server, true, wants);
        });
    }

    /// An attempt, or a session that stood, has ended. One that stood says nothing of its card server's silence: a
    /// jammed one resets sessions and still answers.
    pub(in crate::relay) fn zone_attempt_ended(
        &mut self, id: RequestId, server: &EndpointId, outcome: Outcome,
    ) {
        let stood = self.connections.is_established(id);
        let alive = sign_of_life(outcome);
        self.tell_sites(|sites, now, wants| {
            sites.ended(id);
            if let Some(alive) = alive.filter(|_| !stood) {
                sites.sign(now, server, alive, wants);
            }
        });
    }

    pub(in crate::relay) fn zone_health_check_ended(
        &mut self, server: &EndpointId, outcome: Outcome, load: Option<f64>,
    ) {
        // A probe costs next to nothing: one that is reset is no shed session.
        let alive = if outcome == Outcome::Reset { Some(false) } else { sign_of_life(outcome) };
        self.tell_sites(|sites, now, wants| {
            if let Some(alive) = alive {
                sites.sign(now, server, alive, wants);
            }
            if let Some(load) = load {
                sites.reported(now, server, load);
            }
        });
    }

    pub(in crate::relay) fn run_zone_failover(&mut self) {
        if !self.shutting_down {
            self.tell_sites(Sites::tick);
        }
    }

    /// Takes the operators' plan from a configuration that was read again.
    pub(in crate::relay) fn reconfigure_zone_failover(&mut self, config: &Config) {
        if let (Some(sites), Some(plan)) = (&mut self.zone_failover, &config.sites) {
            sites.replan(plan.clone());
        }
    }
}
