//! The relay: feeds events from sockets to one [`Balancer`](honeyknot_balancer::Balancer) and executes its
//! actions on them.
//!
//! Everything runs on one thread. Each connection is a task that calls the [`Relay`] directly and receives
//! [`ConnectionCommand`]s on its own queue. No task holds a borrow of the relay across an await.
//!
//! - `state` holds the [`Relay`] and its event queue;
//! - `connection_events` and `endpoint_events` turn socket activity into events of the balancer;
//! - `actions` executes the balancer's actions;
//! - `limits` provides timeouts, admission checks and readiness;
//! - `serve` opens the listeners, starts the tasks and runs them until the relay stops.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod actions;
pub mod clock;
mod command;
mod connection_events;
mod connection_ids;
mod connection_table;
pub mod connections;
mod counter;
mod descriptors;
mod endpoint_events;
mod endpoint_table;
pub mod endpoints;
mod error;
pub mod lifecycle;
mod limits;
mod notice;
// This module does not pass these lints yet.
#[allow(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports)]
pub mod metrics;
mod serve;
mod state;
pub mod timer_wheel;
pub mod used_ids;

pub use command::{AttemptRequest, ConnectionCommand};
pub use connection_ids::{ConnectionIdGuard, ReserveIdError};
pub use descriptors::DescriptorPermit;
pub use endpoints::zone_failover::ZoneFailoverStartError;
pub use error::{NotReady, ServeError, StartError};
pub use serve::{Listeners, serve, serve_with_listeners};
pub use state::{Relay, SharedRelay};
