//! Identifiers that the balancer's events and actions use, and the sets of zones.

use std::sync::Arc;

/// Microseconds: an instant on the caller's clock, or a duration.
pub type Micros = u64;

/// Identifies a request for a connection; one balancer never uses it twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Number of an attempt within its request, counted from 0 in the order of [`crate::Action::Forward`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// An endpoint's address, the same at every balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub Arc<str>);

/// Identifies a client across its connections, for sticky sessions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub Arc<str>);

/// Identifies a group of connections that share work on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityGroup(pub Arc<str>);

/// Index of a class in [`crate::Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`crate::Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Identifies a zone: balancers and endpoints of the same zone are near each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// The zones where a request may be placed. Established connections are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneSet(u128);

impl Default for ZoneSet {
    fn default() -> ZoneSet {
        ZoneSet::ALL
    }
}

impl ZoneSet {
    /// All zones.
    pub const ALL: ZoneSet = ZoneSet(u128::MAX);
    /// No zone.
    pub const EMPTY: ZoneSet = ZoneSet(0);
    /// Zones from this number on cannot be told apart: only [`ZoneSet::ALL`] contains them.
    pub const MAX_ZONES: usize = 128;

    /// This set with one more zone.
    pub fn with(self, zone: ZoneId) -> ZoneSet {
        let bit = u32::try_from(zone.0).ok().and_then(|index| 1u128.checked_shl(index));
        ZoneSet(self.0 | bit.unwrap_or(0))
    }

    /// Whether the set contains an endpoint of that zone; it always contains one without a zone.
    pub fn contains(self, zone: Option<ZoneId>) -> bool {
        self == ZoneSet::ALL
            || zone.is_none_or(|zone| zone.0 < ZoneSet::MAX_ZONES && self.0 >> zone.0 & 1 == 1)
    }
}

/// Identifies a machine type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineTypeId(pub usize);

/// Identifies a cell: endpoints that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Identifies a timer that the balancer has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
