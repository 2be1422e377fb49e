//! Connects the relay to [`ZoneFailover`]: events from the sockets go in, its actions are carried out.

use honeyknot_balancer::{
    EndpointId, EndpointUpdate, Micros, Outcome, Request, RequestId, Settings, ZoneId, ZoneSet,
};
use honeyknot_metrics::MetricFamily;
use honeyknot_zone_failover::{
    EndpointSignal, ZoneAction, ZoneDecision, ZoneEvent, ZoneFailover, ZoneFailoverConfig, ZoneFailoverError,
    ZoneFailoverSetup,
};
use thiserror::Error;
use tracing::info;

use super::health_check::HealthCheckCommand;
use crate::relay::lifecycle::config::Config;
use crate::relay::{ConnectionCommand, Relay};
use crate::settings::NameTable;

/// Least price of crossing zones while zone failover is on, so that the balancer prefers the home zone wherever it
/// has capacity.
const MIN_CROSS_ZONE_PRICE: f64 = 0.2;

/// Why zone failover could not be started.
#[derive(Debug, Error)]
pub enum ZoneFailoverStartError {
    /// The settings name no zone of this relay.
    #[error("sites: the settings name no site of this relay")]
    NoHomeZone,
    /// Settings and operator file do not fit together.
    #[error("sites: {0}")]
    Setup(#[from] ZoneFailoverError),
}

/// Starts zone failover where the operators have configured it, and switches off what the balancer leaves to it.
///
/// # Errors
///
/// Returns an error if the settings do not fit the operators' configuration.
pub(in crate::relay) fn start(
    config: Option<ZoneFailoverConfig>, settings: &mut Settings, names: &NameTable, seed: u64, now: Micros,
) -> Result<Option<ZoneFailover>, ZoneFailoverStartError> {
    let Some(config) = config else { return Ok(None) };
    let setup = ZoneFailoverSetup {
        config,
        zone_names: names.zones().to_vec(),
        home_zone: settings.zone.ok_or(ZoneFailoverStartError::NoHomeZone)?,
        fleet_size: settings.fleet_size,
        slow_start_duration: settings.rules.slow_start_duration,
        initial_capacity: settings.rules.initial_capacity,
        seed,
    };
    let zone_failover = ZoneFailover::new(setup, now)?;
    settings.rebalancing = false;
    settings.prices.cross_zone = settings.prices.cross_zone.max(MIN_CROSS_ZONE_PRICE);
    Ok(Some(zone_failover))
}

/// Returns what an outcome shows about its endpoint; nothing where it shows neither life nor silence.
fn endpoint_signal(outcome: Outcome) -> Option<EndpointSignal> {
    match outcome {
        Outcome::Ok | Outcome::Error | Outcome::Rejected => Some(EndpointSignal::Responsive),
        Outcome::Timeout | Outcome::ConnectFailed => Some(EndpointSignal::Unresponsive),
        Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => None,
    }
}

/// Returns a share as a rounded percentage.
fn percent(share: f64) -> f64 {
    (share * 100.0).round()
}

fn log_event(zone_failover: &ZoneFailover, event: ZoneEvent) {
    let name = |zone: ZoneId| zone_failover.zone_name(zone);
    match event {
        ZoneEvent::Lost { zone, capacity_share } => {
            let capacity_percent = percent(capacity_share);
            info!(target: "zone_failover", zone = name(zone), capacity_percent, "zone lost");
        }
        ZoneEvent::HeldDown { zone, capacity_share, hold_down, flaps } => {
            let capacity_percent = percent(capacity_share);
            let hold_down_ms = hold_down / 1_000;
            info!(
                target: "zone_failover",
                zone = name(zone),
                capacity_percent,
                hold_down_ms,
                flaps,
                "zone held down after flaps"
            );
        }
        ZoneEvent::Recovering { zone, capacity_share } => {
            let capacity_percent = percent(capacity_share);
            info!(target: "zone_failover", zone = name(zone), capacity_percent, "zone recovering");
        }
        ZoneEvent::Up { zone } => info!(target: "zone_failover", zone = name(zone), "zone up"),
        ZoneEvent::LocalFaultSuspected => {
            info!(target: "zone_failover", "nearly all endpoints silent, local fault suspected");
        }
        ZoneEvent::LocalFaultCleared => info!(target: "zone_failover", "local fault cleared"),
    }
}

impl Relay {
    /// Passes an event to zone failover, if it is on, and carries out its actions.
    fn with_zone_failover(&mut self, event: impl FnOnce(&mut ZoneFailover, Micros, &mut Vec<ZoneAction>)) {
        let Some(zone_failover) = &mut self.zone_failover else { return };
        let mut actions = Vec::new();
        event(zone_failover, self.timers.clock.now(), &mut actions);
        for action in actions {
            self.carry_out_zone_action(action);
        }
    }

    fn carry_out_zone_action(&mut self, action: ZoneAction) {
        match action {
            ZoneAction::MigrateConnection(id) => {
                self.update_metrics(|metrics| metrics.increment(MetricFamily::Migrations, "site"));
                self.send_command(id, ConnectionCommand::Migrate);
            }
            ZoneAction::CheckHealth(endpoint) => {
                self.send_health_check_command(endpoint, HealthCheckCommand::Check);
            }
            ZoneAction::Log(event) => {
                if let Some(zone_failover) = &self.zone_failover {
                    log_event(zone_failover, event);
                }
            }
        }
    }

    pub(in crate::relay) fn update_zones(&mut self, update: &EndpointUpdate) {
        self.with_zone_failover(|zone_failover, now, actions| {
            zone_failover.endpoints_updated(now, update, actions);
        });
    }

    /// Decides within which zones a request may be placed; within all zones where zone failover is off.
    pub(in crate::relay) fn zone_decision(&mut self, request: &Request) -> ZoneDecision {
        let (now, max_retry_after) = (self.timers.clock.now(), self.max_retry_after());
        let Some(zone_failover) = &mut self.zone_failover else {
            return ZoneDecision::Allow(ZoneSet::ALL);
        };
        match zone_failover.admit(now, request.affinity_group.as_ref()) {
            ZoneDecision::Reject { retry_after } => {
                ZoneDecision::Reject { retry_after: retry_after.min(max_retry_after) }
            }
            allow => allow,
        }
    }

    pub(in crate::relay) fn zone_attempt_started(&mut self, id: RequestId, endpoint: &EndpointId) {
        if self.zone_failover.is_none() {
            return;
        }
        let group = self.connections.get(id).and_then(|connection| connection.affinity_group.clone());
        self.with_zone_failover(|zone_failover, now, _| {
            zone_failover.attempt_started(now, id, endpoint, group.as_ref());
        });
    }

    pub(in crate::relay) fn zone_connection_adopted(&mut self, request: &Request, endpoint: &EndpointId) {
        self.with_zone_failover(|zone_failover, now, _| {
            zone_failover.connection_adopted(now, request.id, endpoint, request.affinity_group.as_ref());
        });
    }

    pub(in crate::relay) fn zone_connection_established(&mut self, id: RequestId, endpoint: &EndpointId) {
        self.with_zone_failover(|zone_failover, now, actions| {
            zone_failover.connection_established(now, id);
            zone_failover.endpoint_signal_received(now, endpoint, EndpointSignal::Responsive, actions);
        });
    }

    /// Records the end of an attempt or of an established connection.
    ///
    /// The end of an established connection is no sign of its endpoint's silence: an overloaded endpoint resets
    /// connections and still responds.
    pub(in crate::relay) fn zone_attempt_ended(
        &mut self, id: RequestId, endpoint: &EndpointId, outcome: Outcome,
    ) {
        let was_established = self.connections.is_established(id);
        let signal = endpoint_signal(outcome).filter(|_| !was_established);
        self.with_zone_failover(|zone_failover, now, actions| {
            zone_failover.connection_ended(id);
            if let Some(signal) = signal {
                zone_failover.endpoint_signal_received(now, endpoint, signal, actions);
            }
        });
    }

    /// Records the end of a health check, perhaps with the endpoint's load.
    pub(in crate::relay) fn zone_health_check_ended(
        &mut self, endpoint: &EndpointId, outcome: Outcome, load: Option<f64>,
    ) {
        // A health check costs next to nothing, so a reset is not load shedding.
        let signal = match outcome {
            Outcome::Reset => Some(EndpointSignal::Unresponsive),
            _ => endpoint_signal(outcome),
        };
        self.with_zone_failover(|zone_failover, now, actions| {
            if let Some(signal) = signal {
                zone_failover.endpoint_signal_received(now, endpoint, signal, actions);
            }
            if let Some(load) = load {
                zone_failover.load_reported(now, endpoint, load);
            }
        });
    }

    /// Does the periodic work of zone failover.
    pub(in crate::relay) fn run_zone_failover(&mut self) {
        if !self.shutting_down {
            self.with_zone_failover(ZoneFailover::tick);
        }
    }

    /// Takes the zone failover settings of a configuration that was read again.
    pub(in crate::relay) fn reconfigure_zone_failover(&mut self, config: &Config) {
        if let (Some(zone_failover), Some(config)) = (&mut self.zone_failover, &config.zone_failover) {
            zone_failover.reconfigure(config.clone());
        }
    }
}
