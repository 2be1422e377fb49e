//! Decisions, actions and events that [`ZoneFailover`](crate::ZoneFailover) returns.

use honeyknot_balancer::{EndpointId, Micros, RequestId, ZoneId, ZoneSet};

/// The decision on a new connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneDecision {
    /// The balancer may place the connection in any of these zones.
    Allow(ZoneSet),
    /// The relay rejects the connection at once.
    Reject {
        /// Delay after which the client may retry, in microseconds.
        retry_after: Micros,
    },
}

/// An action that the relay carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneAction {
    /// Migrate this connection: make its client reconnect.
    MigrateConnection(RequestId),
    /// Check the health of this endpoint.
    CheckHealth(EndpointId),
    /// Log a change for the operators.
    Log(ZoneEvent),
}

/// A change that is logged for the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneEvent {
    /// A zone lost most of its capacity and takes no more connections.
    Lost {
        /// The zone.
        zone: ZoneId,
        /// Share of its usual capacity that is left.
        capacity_share: f64,
    },
    /// A zone is back, but takes no connections during a hold-down because it has flapped.
    HeldDown {
        /// The zone.
        zone: ZoneId,
        /// Share of its usual capacity that is available.
        capacity_share: f64,
        /// Duration of the hold-down, in microseconds.
        hold_down: Micros,
        /// Decayed number of flaps; its half-life is configured.
        flaps: f64,
    },
    /// A zone is back and takes new connections at the rate of its recovery ramp.
    Recovering {
        /// The zone.
        zone: ZoneId,
        /// Share of its usual capacity that is available.
        capacity_share: f64,
    },
    /// A zone has finished its recovery and takes new connections without limit.
    Up {
        /// The zone.
        zone: ZoneId,
    },
    /// Nearly all capacity seems unresponsive, so the fault is assumed to be local to this relay.
    LocalFaultSuspected,
    /// Enough capacity is responsive again that the local fault is no longer suspected.
    LocalFaultCleared,
}
