//! Identifiers in the balancer's events and actions, and sets of zones.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rendezvous::SESSION_KEY_HASH_SEED;

/// Microseconds: a point in time on the caller's clock, or a duration.
pub type Micros = u64;

/// Identifies a request for a connection. The id is unique within one balancer and is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Number of an attempt within its request: 0 for the first [`crate::Action::Forward`], then 1, and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// Identifies an endpoint by its address, which is the same at every balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub Arc<str>);

/// Identifies a client across its connections. The balancer uses it for sticky sessions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub Arc<str>);

impl SessionKey {
    /// Returns the hash by which the balancer remembers the client and ranks endpoints for it.
    pub(crate) fn hash(&self) -> SessionKeyHash {
        SessionKeyHash(xxh3_64_with_seed(self.0.as_bytes(), SESSION_KEY_HASH_SEED))
    }
}

/// Hash of a [`SessionKey`]. What is remembered of a client takes the same space whatever key it has chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionKeyHash(pub(crate) u64);

/// Identifies an affinity group: connections that share work when they are on the same endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityGroup(pub Arc<str>);

/// Index of a request class in [`crate::Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`crate::Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Identifies a zone. Balancers and endpoints in the same zone are close to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// The zones in which a request may be placed. Established connections are not affected.
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
    /// Number of zones that a set can distinguish. Zones from this number on are only in [`ZoneSet::ALL`].
    pub const MAX_ZONES: usize = 128;

    /// Returns this set with `zone` added.
    pub fn with(self, zone: ZoneId) -> ZoneSet {
        let bit = u32::try_from(zone.0).ok().and_then(|index| 1u128.checked_shl(index));
        ZoneSet(self.0 | bit.unwrap_or(0))
    }

    /// Returns whether an endpoint in `zone` may be used. One without a zone may always be used.
    pub fn contains(self, zone: Option<ZoneId>) -> bool {
        self == ZoneSet::ALL
            || zone.is_none_or(|zone| zone.0 < ZoneSet::MAX_ZONES && self.0 >> zone.0 & 1 == 1)
    }
}

/// Identifies the type of machine that an endpoint runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineTypeId(pub usize);

/// Identifies a cell: a set of endpoints that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Identifies a timer that the balancer has set with [`crate::Action::SetTimer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
