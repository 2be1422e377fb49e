//! Why a relay's part in zone failover could not be set up.

use honeyknot_balancer::ZoneSet;

/// What does not fit together in a [`ZoneFailoverSetup`](crate::ZoneFailoverSetup).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneFailoverError {
    /// More zones than a [`ZoneSet`] can hold.
    #[error("there are {count} sites; at most {} can be told apart", ZoneSet::MAX_ZONES)]
    TooManyZones {
        /// Number of zones.
        count: usize,
    },
    /// The relay's own zone is none of the settings' zones.
    #[error("the relay's own site is not among the settings' sites")]
    UnknownHomeZone,
    /// The operator file says that no relay stands in this relay's own zone.
    #[error("`relays {zone}` is 0, yet this relay stands there")]
    NoRelayInHomeZone {
        /// Name of the zone.
        zone: String,
    },
}
