//! What comes out of [`ZoneFailover`](crate::ZoneFailover).

use honeyknot_balancer::{EndpointId, Micros, RequestId, ZoneId, ZoneSet};

/// The decision on a new connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneDecision {
    /// The balancer may place it within these zones.
    Allow(ZoneSet),
    /// It is rejected at once.
    Reject {
        /// Delay after which the client may retry, in microseconds.
        retry_after: Micros,
    },
}

/// An action that the relay carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneAction {
    /// Migrate this connection: its client reconnects.
    MigrateConnection(RequestId),
    /// Check the health of this endpoint.
    CheckHealth(EndpointId),
    /// Log a change for the operators.
    Log(ZoneEvent),
}

/// A change that operators see.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneEvent {
    /// A zone is lost.
    Lost {
        /// The zone.
        zone: ZoneId,
        /// Share of its usual capacity that is left.
        capacity_share: f64,
    },
    /// A zone is back but held down, as it has flapped.
    HeldDown {
        /// The zone.
        zone: ZoneId,
        /// Share of its usual capacity that is there.
        capacity_share: f64,
        /// Duration of the hold-down, in microseconds.
        hold_down: Micros,
        /// Flaps that still count.
        flaps: f64,
    },
    /// A zone is back and takes new connections along a ramp.
    Recovering {
        /// The zone.
        zone: ZoneId,
        /// Share of its usual capacity that is there.
        capacity_share: f64,
    },
    /// A zone is up.
    Up {
        /// The zone.
        zone: ZoneId,
    },
    /// Nearly all endpoints seem silent, so the fault is assumed to be this relay's own.
    LocalFaultSuspected,
    /// Fewer endpoints seem silent again.
    LocalFaultCleared,
}
