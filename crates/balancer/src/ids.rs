//! Identifiers that the balancer's events and actions use, and the sets of zones.

use std::sync::Arc;

/// Microseconds: a point on the caller's clock, or a span of time.
pub type Micros = u64;

/// A request for a connection; never used twice by one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// The number of an attempt within its request, counted from 0 in the order of [`Action::Forward`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);
/// A server's address, the same at every balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub Arc<str>);
/// What names a client across its reconnections.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub Arc<str>);
/// What names a group of connections that share work on a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityGroup(pub Arc<str>);
/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
/// A zone; balancers and servers of equal `ZoneId` are near each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
/// The zones within which a request may be placed, for as long as it asks. A connection that stands is not
/// touched.
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
    /// Zones from this number on cannot be told apart: they are in no reach but [`ZoneSet::ALL`].
    pub const MAX_ZONES: usize = 128;

    /// This reach and one more zone.
    pub fn with(self, zone: ZoneId) -> ZoneSet {
        ZoneSet(self.0 | u32::try_from(zone.0).ok().and_then(|z| 1u128.checked_shl(z)).unwrap_or(0))
    }

    /// Whether a server of that zone is within reach; one without a zone always is.
    pub fn contains(self, zone: Option<ZoneId>) -> bool {
        self == ZoneSet::ALL || zone.is_none_or(|z| z.0 < ZoneSet::MAX_ZONES && self.0 >> z.0 & 1 == 1)
    }
}

/// A machine type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);
/// A cell: servers that share their memory of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);
/// Names a timer that the balancer asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
