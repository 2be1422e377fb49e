//! Decides when a relay polls discovery, what it requests, and which endpoint lists it accepts.
//!
//! [`DiscoveryPoller`] is a state machine without I/O: it opens no socket, reads no clock and chooses no
//! endpoint. The caller passes in events with the time at which they happened
//! ([`DiscoveryPoller::poll_succeeded`], [`DiscoveryPoller::poll_failed`]) and makes the requests that the
//! poller schedules ([`DiscoveryPoller::next_poll_at`], [`DiscoveryPoller::start_poll`]). All random numbers
//! come from the configured seed.
//!
//! A service that answers is heard in the end: no deadline, pause or sign of a stale list may keep cutting off
//! requests for as long as none has been answered.
//!
//! A relay has at most one request in flight and uses a few words of memory for each listed endpoint. Relays
//! share no state. The spread of first requests, the jitter of watches and the backoff bound the load of the
//! whole fleet on the service.

#![forbid(unsafe_code)]
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod agent;
mod backoff;
mod config;
mod error;
mod known_endpoints;
mod list_validation;
pub mod notification_deadline;
mod poller;
mod request;
mod schedule;
pub mod shared_list;
mod stale_list;
mod state;
mod unanswered;

pub use config::DiscoveryConfig;
pub use error::DiscoveryErrorKind;
pub use list_validation::EndpointList;
pub use poller::DiscoveryPoller;
pub use request::{DiscoveryRequest, Poll};
pub use shared_list::{ListOrigin, ListReport, ListScope, Peer};
pub use state::DiscoveryState;
