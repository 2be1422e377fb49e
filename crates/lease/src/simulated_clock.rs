//! A clock that is wrong on purpose, for tests.

use crate::Micros;

/// The error of a simulated clock: an offset and a rate error.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulatedClock {
    /// What the clock shows at true time 0, in microseconds.
    pub offset: Micros,
    /// Rate error in parts per million; negative when the clock is slow.
    pub drift_ppm: i64,
}

impl SimulatedClock {
    /// What the clock shows at a true time, in microseconds.
    pub fn at(self, true_time: Micros) -> Micros {
        let drift = i128::from(true_time) * i128::from(self.drift_ppm) / 1_000_000;
        (i128::from(true_time) + drift) as Micros + self.offset
    }
}
