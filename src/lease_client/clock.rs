//! The clock that leases are measured by.

use rustix::time::{ClockId, clock_gettime};

use honeyknot_balancer::Micros;

/// A monotonic clock in microseconds. The program uses [`boot_clock`]; tests use clocks that run fast or slow.
pub type Clock = std::rc::Rc<dyn Fn() -> Micros>;

/// Microseconds since boot, including time in suspend: a clock that stops in suspend would trust a lease that has ended.
pub fn boot_clock() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}
