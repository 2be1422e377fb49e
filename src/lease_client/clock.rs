//! The clock by which leases are measured.

use rustix::time::{ClockId, clock_gettime};

use honeyknot_balancer::Micros;

/// A monotonic clock in microseconds. Lease servers and relays use [`boot_clock`]; tests use clocks that run
/// fast or slow.
pub type Clock = std::rc::Rc<dyn Fn() -> Micros>;

/// Returns the microseconds since boot, including time in suspend. With a clock that stops in suspend, a
/// holder would trust a lease that has expired.
pub fn boot_clock() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}
