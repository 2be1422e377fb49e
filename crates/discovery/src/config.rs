//! Configuration of a poller.

use honeyknot_balancer::Micros;

use crate::agent::AgentTiming;

/// Number of relays that is assumed if the settings do not give one.
const DEFAULT_FLEET_SIZE: u32 = 100;

/// Settings of a [`DiscoveryPoller`](crate::DiscoveryPoller).
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryConfig {
    /// Number of relays in the fleet, including this one; 0 if unknown.
    pub fleet_size: u32,
    /// Maximum age of the endpoint list, in microseconds: a relay that has made no request for this long
    /// counts as notified of every change. 0 if there is no such limit. The deadlines of
    /// [`notification_deadline`](crate::notification_deadline) always apply.
    pub max_list_age: Micros,
    /// Time within which sends to a draining endpoint must stop, in microseconds, if lists are pushed to a
    /// local agent of the relay; `None` if the relay polls the service itself. The relay counts as notified
    /// of a list as soon as the agent has it, so requests to the agent are frequent. They are not spread over
    /// the fleet, because each agent serves a single relay.
    pub agent_drain_grace: Option<Micros>,
    /// Seed of all random draws.
    pub seed: u64,
}

impl DiscoveryConfig {
    /// Returns the waits and pauses of requests to the local agent; `None` if the relay has no agent.
    pub(crate) fn agent_timing(&self) -> Option<AgentTiming> {
        self.agent_drain_grace.map(AgentTiming::new)
    }

    /// Returns the number of relays, or the default if it is unknown, as a factor for durations.
    pub(crate) fn relay_count(&self) -> Micros {
        Micros::from(if self.fleet_size == 0 { DEFAULT_FLEET_SIZE } else { self.fleet_size })
    }

    /// Returns whether this relay is the only one that polls the service.
    pub(crate) fn is_single_relay(&self) -> bool {
        self.fleet_size == 1
    }
}
