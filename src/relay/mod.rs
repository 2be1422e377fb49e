//! The relay: one [`Balancer`](honeyknot_balancer::Balancer) whose events come from sockets and whose actions are
//! carried out on them.
//!
//! Everything runs on one thread. Each connection is a task that calls the [`Relay`] directly and receives its
//! [`ConnectionCommand`]s from a queue of its own; no borrow of the relay is held across an await.
//!
//! - `state` holds the [`Relay`] itself and its queue of events;
//! - `connection_events` and `endpoint_events` turn what happens on sockets into events of the balancer;
//! - `actions` carries out what the balancer decides;
//! - `limits` answers what a task needs to know before it goes on;
//! - `serve` starts the tasks and runs them until the relay stops.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod actions;
pub mod clock;
mod command;
mod connection_events;
mod connection_table;
pub mod connections;
mod descriptors;
mod endpoint_events;
mod endpoint_table;
pub mod endpoints;
mod error;
pub mod lifecycle;
mod limits;
#[allow(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports)] // to be brought to them
pub mod metrics;
mod serve;
mod state;
pub mod timer_wheel;

pub use command::{AttemptRequest, ConnectionCommand};
pub use connection_table::ConnectionIdGuard;
pub use descriptors::DescriptorPermit;
pub use endpoints::zone_failover::ZoneFailoverStartError;
pub use error::{NotReady, ServeError, StartError};
pub use serve::{Listeners, serve, serve_with_listeners};
pub use state::{Relay, SharedRelay};
