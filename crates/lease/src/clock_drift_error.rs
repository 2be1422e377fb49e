//! A clock that is wrong on purpose, for tests.

use crate::Micros;

/// The error of a simulated clock: an offset and a rate error.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockDriftError {
    /// What the clock shows at true time 0, in microseconds.
    pub offset: Micros,
    /// Rate error in parts per million; negative when the clock is slow.
    pub ppm: i64,
}

impl ClockDriftError {
    /// What the clock shows at a true time, in microseconds.
    pub fn at(self, true_time: Micros) -> Micros {
        let drift = i128::from(true_time) * i128::from(self.ppm) / 1_000_000;
        (i128::from(true_time) + drift) as Micros + self.offset
    }
}
