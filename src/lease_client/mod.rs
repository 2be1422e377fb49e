//! Leases as clients of keepers see them: the operators' file, the wire, a relay's client, and the calls of staff.
//!
//! The file comes in as text, frames by sockets; permits go out to whoever acts. What is asked and when is
//! `honeyknot-lease`'s to say. Nothing here votes, and no relay needs it to serve.

pub mod admin_commands;
pub mod client;
pub mod codec;
pub mod config;

use rustix::time::{ClockId, clock_gettime};

use honeyknot_balancer::Micros;

/// Microseconds of a clock that only goes forward, and goes on while the machine is suspended: one that did not would
/// trust a lease that is long over.
pub fn boot_clock() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}

/// A clock of leases. Tests give others that run fast or slow; the program itself has [`boot_clock`].
pub type Clock = std::rc::Rc<dyn Fn() -> Micros>;
