//! What a relay knows of the fleet and of the rules on discovery when it starts.

use honeyknot_balancer::Micros;

/// Number of relays that is assumed where the settings give none.
const DEFAULT_FLEET_SIZE: u32 = 100;
/// Shortest wait of a watch at an agent beside the relay, in microseconds.
const MIN_AGENT_WATCH_WAIT: Micros = 20_000;
/// Longest wait of a watch at an agent beside the relay, in microseconds.
const MAX_AGENT_WATCH_WAIT: Micros = 500_000;

/// Settings of a [`DiscoveryPoller`](crate::DiscoveryPoller).
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryConfig {
    /// Number of relays in the fleet, this one included; 0 if unknown.
    pub fleet_size: u32,
    /// Time without a request after which a relay counts as notified of every change, in microseconds; 0 if there
    /// is no such limit. The deadlines of [`notification_deadline`](crate::notification_deadline) apply in any
    /// case.
    pub max_list_age: Micros,
    /// Time within which sends to a draining endpoint must stop, in microseconds, if lists are pushed to an agent
    /// beside the relay. The relay counts as notified of what the agent has, so requests to it are frequent and not
    /// spread over the fleet.
    pub agent_drain_grace: Option<Micros>,
    /// Seed of all random draws.
    pub seed: u64,
}

impl DiscoveryConfig {
    /// Returns how long a watch at the agent waits, and the further time allowed for its answer, in microseconds.
    ///
    /// It is a quarter of the drain grace, so that a watch that times out and the next one both fit into the grace.
    pub(crate) fn agent_watch_wait(&self) -> Option<Micros> {
        self.agent_drain_grace.map(|grace| (grace / 4).clamp(MIN_AGENT_WATCH_WAIT, MAX_AGENT_WATCH_WAIT))
    }

    /// Returns the number of relays, or the default where it is unknown, as a factor of durations.
    pub(crate) fn relay_count(&self) -> Micros {
        Micros::from(if self.fleet_size == 0 { DEFAULT_FLEET_SIZE } else { self.fleet_size })
    }

    /// Whether this relay is the only one that asks the service.
    pub(crate) fn is_single_relay(&self) -> bool {
        self.fleet_size == 1
    }
}
