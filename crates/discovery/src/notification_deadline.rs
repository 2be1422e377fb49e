//! Deadlines after which a relay counts as notified of a change, whether or not the change arrived.
//!
//! A change counts as notified when the service writes it to the relay. A change that could not be written
//! because the request had stalled counts as notified [`NOTIFICATION_DEADLINE`] after the request stalled or
//! [`DEADLINE_AFTER_WATCH`] after the end of a watch's wait, whichever is later. A relay cannot detect when a
//! request stalled. The earliest possible time is its start, so [`deadline_after`] counts from there and is
//! never too long.
//!
//! If no request is in flight, a change counts as notified [`NOTIFICATION_DEADLINE`] after the service has it
//! and is reachable. Therefore no pause between two requests is longer than [`MAX_PAUSE`].

use honeyknot_balancer::Micros;

use crate::DiscoveryRequest;
use crate::schedule::MAX_SECOND_REQUEST_TIME;

/// Time after a request stalled at which the changes that it missed count as notified, in microseconds.
pub const NOTIFICATION_DEADLINE: Micros = 6_000_000;
/// Time after the end of a stalled watch's wait at which the changes that it missed count as notified, if
/// that is later than [`NOTIFICATION_DEADLINE`] after the stall; in microseconds.
pub const DEADLINE_AFTER_WATCH: Micros = 2_000_000;
/// Maximum pause between the end of a request and the next one, in microseconds. It lets the next response
/// arrive before a change made right after the last request counts as notified.
pub const MAX_PAUSE: Micros = NOTIFICATION_DEADLINE - MAX_SECOND_REQUEST_TIME;
/// Time after a reload that configured another service at which that service's list counts as notified, in
/// microseconds.
pub const DEADLINE_AFTER_SERVICE_CHANGE: Micros = 4_000_000;

/// Returns the time, in microseconds from the start of a request, after which the changes that it misses
/// count as notified if it stalls at once.
pub fn deadline_after(request: DiscoveryRequest) -> Micros {
    match request {
        DiscoveryRequest::FullList => NOTIFICATION_DEADLINE,
        DiscoveryRequest::Watch { max_wait, .. } => {
            NOTIFICATION_DEADLINE.max(max_wait + DEADLINE_AFTER_WATCH)
        }
    }
}
