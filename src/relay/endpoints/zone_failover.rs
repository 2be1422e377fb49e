//! Connects the relay to [`ZoneFailover`]: passes events of connections and health checks to it and carries
//! out its actions.

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
use crate::relay::Relay;
use crate::relay::lifecycle::config::Config;
use crate::settings::NameTable;

/// Lowest price of cross-zone traffic while zone failover is enabled: the balancer then prefers the home zone
/// as long as it has capacity.
const MIN_CROSS_ZONE_PRICE: f64 = 0.2;

/// Why zone failover could not be started.
#[derive(Debug, Error)]
pub enum ZoneFailoverStartError {
    /// The settings name no zone of this relay, or one that is not in their list of zones.
    #[error("zone failover: `zone` in the settings is missing or not one of `zones`")]
    NoHomeZone,
    /// The settings and the operator file do not fit together.
    #[error("zone failover: {0}")]
    Setup(#[from] ZoneFailoverError),
}

/// Starts zone failover if operators have configured it. Disables the balancer's own rebalancing in that
/// case, because zone failover takes it over. Returns `None` if it is not configured.
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

/// Returns whether an outcome shows that its endpoint responds or does not respond; `None` if it shows
/// neither.
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
    /// Passes an event to zone failover, if it is enabled, and carries out the resulting actions.
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
                self.migrate_connection(id);
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

    /// Decides which zones a request may be sent to: all zones if zone failover is disabled.
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
    /// The end of an established connection does not show that its endpoint is silent: an overloaded endpoint
    /// resets connections and still responds.
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

    /// Records the end of a health check. `load` is the endpoint's load over capacity, if it was reported.
    pub(in crate::relay) fn zone_health_check_ended(
        &mut self, endpoint: &EndpointId, outcome: Outcome, load: Option<f64>,
    ) {
        // A health check costs an endpoint next to nothing, so a reset is not a sign of load shedding.
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

    /// Runs the periodic work of zone failover, unless the relay is shutting down.
    pub(in crate::relay) fn run_zone_failover(&mut self) {
        if !self.shutting_down {
            self.with_zone_failover(ZoneFailover::tick);
        }
    }

    /// Applies the zone failover settings of a reloaded configuration.
    pub(in crate::relay) fn reconfigure_zone_failover(&mut self, config: &Config) {
        if let (Some(zone_failover), Some(config)) = (&mut self.zone_failover, &config.zone_failover) {
            zone_failover.reconfigure(config.clone());
        }
    }
}
