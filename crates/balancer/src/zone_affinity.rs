//! Whether an affinity group stays in its clients' zones, or together on the same endpoints of any zone.
//!
//! Two costs are weighed against each other. A connection that crosses zones costs the price that the
//! settings say. A zone with endpoints of its own for a group costs a *copy* of the group: each endpoint that
//! holds any of a group bears [`GROUP_COST`] connections' load once, which the group's members in the zone
//! share. With many balancers in several zones, copies may cost more than all of a group's members.
//!
//! Where loads are reported, a full zone spills over into others, and copies are not counted. Where nothing
//! is reported, they always are. No I/O, no clock.

/// Load that a group costs an endpoint that holds any of it, in mean connections; no setting says it.
pub const GROUP_COST: f64 = 3.0;
/// Factor from a price to the slowdown of an endpoint in another zone.
const PRICE_WEIGHT: f64 = 100.0;

/// Cost of a copy to each of a group's members in the zone, in mean connections.
pub fn copy_cost(members: f64) -> f64 {
    GROUP_COST / members.max(1.0)
}

/// Factor, 1 or more, by which an endpoint of another zone is moved back in the order of a group: by how much
/// crossing zones costs more than a copy.
pub fn slowdown(price: f64, copy_cost: f64) -> f64 {
    1.0 + PRICE_WEIGHT * (price - copy_cost).max(0.0)
}
