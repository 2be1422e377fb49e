//! Decides whether an affinity group uses endpoints in each of its clients' zones or the same endpoints for
//! all zones.
//!
//! Two costs are compared. A connection to another zone costs the price in the settings. Endpoints in a
//! further zone for the same group cost a *copy* of the group: every endpoint with connections of a group
//! bears an extra load of [`GROUP_OVERHEAD_CONNECTIONS`] connections, which the group's connections in the
//! zone share. With many balancers in several zones, copies can cost more than all connections of the group.
//!
//! If endpoints report their load, the cost of copies is ignored, because a full zone is visible in the
//! reports and its connections spill over to other zones. Without load reports, it always counts.

/// Load that an affinity group adds to an endpoint with any of its connections, in mean connections. There is
/// no setting for it.
pub const GROUP_OVERHEAD_CONNECTIONS: f64 = 3.0;
/// Factor from a price to the score penalty of an endpoint in another zone.
const PENALTY_PER_PRICE: f64 = 100.0;

/// Returns the cost of a copy for each of the group's connections in the zone, in mean connections.
pub fn copy_cost(connections: f64) -> f64 {
    GROUP_OVERHEAD_CONNECTIONS / connections.max(1.0)
}

/// Returns the factor, 1 or more, by which the score of an endpoint in another zone is multiplied. It grows
/// with the amount by which the price of crossing zones exceeds the cost of a copy.
pub fn cross_zone_penalty(price: f64, copy_cost: f64) -> f64 {
    1.0 + PENALTY_PER_PRICE * (price - copy_cost).max(0.0)
}
