//! The relay's monotonic clock, in Unix microseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use honeyknot_balancer::Micros;

/// A clock that reads the system time when it starts and advances with the monotonic clock from there.
///
/// Steps of the system clock do not affect it, and its times can be compared with the start times in the
/// endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Micros,
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: unix.as_micros() as Micros, started_at: Instant::now() }
    }

    /// Returns the current time in Unix microseconds.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.started_at.elapsed().as_micros() as Micros
    }
}
