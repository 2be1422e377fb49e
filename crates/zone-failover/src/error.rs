//! Errors of the setup of zone failover.

use honeyknot_balancer::ZoneSet;

/// An invalid or contradictory [`ZoneFailoverSetup`](crate::ZoneFailoverSetup).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneFailoverError {
    /// There are more zones than a [`ZoneSet`] can hold.
    #[error("the settings name {count} sites, but at most {} are supported", ZoneSet::MAX_ZONES)]
    TooManyZones {
        /// Number of zones.
        count: usize,
    },
    /// The relay's home zone is not among the zones in the settings.
    #[error("the relay's own site is not among the sites in the settings")]
    UnknownHomeZone,
    /// The operator file says that there are no relays in this relay's home zone.
    #[error("`relays {zone} 0` contradicts the settings, in which this relay is in site `{zone}`")]
    NoRelayInHomeZone {
        /// Name of the zone.
        zone: String,
    },
}
