//! The simulator's wire: JSON lines in batches on standard input, answers on standard output.
//!
//! [`run`] hosts any number of balancers: it decodes messages into [`Event`](honeyknot_balancer::Event)s, hands them to
//! the instance they are for and encodes the [`Action`](honeyknot_balancer::Action)s. It decides nothing. The wire's own
//! message names and numbers are translated to the balancer's terms in `decode` and `encode` and nowhere else.

#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod decode;
mod encode;
mod endpoint_list;
mod error;
mod host;
mod message;

pub use error::{MessageError, SimulatorError};
pub use host::run;
