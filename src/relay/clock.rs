//! The relay's one clock: Unix microseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use honeyknot_balancer::Micros;

/// Unix time read once, and monotonic time since. Guards against a stepped system clock, while the server
/// roll's start times can still be compared with it.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Micros,
    read: Instant,
}

impl Clock {
    /// Reads the system's clocks.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as Micros, read: Instant::now() }
    }

    /// Unix microseconds.
    pub fn now(&self) -> Micros {
        self.unix + self.read.elapsed().as_micros() as Micros
    }
}
