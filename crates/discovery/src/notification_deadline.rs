//! Deadlines after which a relay counts as notified of a change, whether the change arrived or not.
//!
//! A change counts as notified when the service writes it. A change that could not be written, because the request
//! had gone silent, counts as notified [`NOTIFICATION_DEADLINE`] after the request went silent or
//! [`DEADLINE_AFTER_WATCH`] after the end of a watch's wait, whichever is later. A relay cannot see when a request
//! went silent. The earliest possible moment is when it was made, so [`deadline_after`] is never too long.
//!
//! Without a request in flight, a change counts as notified [`NOTIFICATION_DEADLINE`] after the service had it and
//! could be reached. Therefore no pause between two requests is longer than [`MAX_PAUSE`].

use honeyknot_balancer::Micros;

use crate::DiscoveryRequest;
use crate::schedule::MAX_SECOND_REQUEST_TIME;

/// Time after which changes missed by a silent request count as notified, in microseconds.
pub const NOTIFICATION_DEADLINE: Micros = 6_000_000;
/// The same, counted from the end of a watch's wait, if that is later; in microseconds.
pub const DEADLINE_AFTER_WATCH: Micros = 2_000_000;
/// Longest pause between the end of a request and the next one, in microseconds: the answer still arrives before a
/// change made right after the last request counts as notified.
pub const MAX_PAUSE: Micros = NOTIFICATION_DEADLINE - MAX_SECOND_REQUEST_TIME;
/// Time after which the list of another service, configured by a reload, counts as notified, in microseconds.
pub const DEADLINE_AFTER_SERVICE_CHANGE: Micros = 4_000_000;

/// Returns the time, from the start of a request that goes silent at once, after which the changes it misses count
/// as notified.
pub fn deadline_after(request: DiscoveryRequest) -> Micros {
    match request {
        DiscoveryRequest::FullList => NOTIFICATION_DEADLINE,
        DiscoveryRequest::Watch { max_wait, .. } => {
            NOTIFICATION_DEADLINE.max(max_wait + DEADLINE_AFTER_WATCH)
        }
    }
}
