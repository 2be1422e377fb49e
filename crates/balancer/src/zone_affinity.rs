//! Whether a group stays in its clients' zones, or together on the same endpoints whatever the zone.
//!
//! Two costs pull against each other. A connection that crosses zones costs its price, which the settings
//! tell. A zone that has endpoints of its own for a group costs a *copy*: each endpoint that holds any of a
//! group pays for it once, whoever else holds it. That is [`GROUP_COST`] connections' load, shared by the
//! group's members in the zone. Many balancers in some zones each see so few of a group that copies cost more
//! than all its members, and in a full fleet they are what jams it.
//!
//! A copy costs nothing that anybody misses while there is room. Where loads are reported, room is seen, and
//! a full zone spills over into others; there copies are not counted. Where nothing is reported, they always
//! are. No I/O, no clock.

/// What a group costs an endpoint that holds any of it, in usual connections. No setting tells it; the sites
/// that tell theirs all have it at three. Taken too low, groups are copied into every zone; taken too high,
/// they cross zones for nothing.
pub const GROUP_COST: f64 = 3.0;
/// How strongly a cost weighs against a distant endpoint in the race.
const WEIGHT: f64 = 100.0;

/// What a copy costs each of a group's `members` in the zone, as a part of a connection's worth.
pub fn copy_cost(members: f64) -> f64 {
    GROUP_COST / members.max(1.0)
}

/// How much slower an endpoint of another zone runs in the race of a group: by what crossing costs more than
/// a copy.
pub fn slowdown(price: f64, copy: f64) -> f64 {
    1.0 + WEIGHT * (price - copy).max(0.0)
}
