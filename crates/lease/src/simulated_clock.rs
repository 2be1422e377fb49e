//! A clock with a known error, for tests.

use crate::Micros;

/// A clock that runs at a constant rate, with an offset and a rate error.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulatedClock {
    /// Reading of the clock at true time 0, in microseconds.
    pub offset: Micros,
    /// Rate error in parts per million; negative when the clock is slow.
    pub drift_ppm: i64,
}

impl SimulatedClock {
    /// Returns the reading of the clock at a true time, in microseconds.
    pub fn at(self, true_time: Micros) -> Micros {
        let drift = i128::from(true_time) * i128::from(self.drift_ppm) / 1_000_000;
        (i128::from(true_time) + drift) as Micros + self.offset
    }
}
