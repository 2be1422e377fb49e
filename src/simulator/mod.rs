//! The simulator's protocol: batches of JSON lines on standard input, and replies on standard output.
//!
//! [`run`] hosts any number of balancers, called instances. It decodes messages into
//! [`Event`](honeyknot_balancer::Event)s, passes each to its instance and encodes the resulting
//! [`Action`](honeyknot_balancer::Action)s. The protocol's message names and status codes are translated to
//! the balancer's terms in this module only.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod decode;
mod encode;
mod endpoint_list;
mod error;
mod host;
mod message;

pub use error::{MessageError, SimulatorError};
pub use host::run;
