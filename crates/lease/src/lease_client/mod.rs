//! The leases of all tasks of one client process. Decides which request to send, to which server, and when.

mod client;
mod request;
mod task;

pub use client::LeaseClient;
pub use request::{CommandResult, LeaseRequest};
pub use task::TaskOptions;
