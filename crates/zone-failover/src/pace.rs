//! Paces: a token bucket, and times to come back that spread those who are turned away.

use honeyknot_balancer::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A token bucket: tokens come at a rate, at most `burst` are kept.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    at: Micros,
}

impl Bucket {
    /// A bucket that holds some tokens at the start.
    pub fn new(tokens: f64, now: Micros) -> Bucket {
        Bucket { tokens, at: now }
    }

    /// Adds what has come since the last call, at `rate` tokens a second, up to `burst`.
    pub fn fill(&mut self, now: Micros, rate: f64, burst: f64) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed * rate).min(burst);
    }

    /// Whether a whole token is there.
    pub fn has(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token, which may leave a debt: what was let in by a promise is charged when it arrives.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Keeps a part of what is there.
    pub fn keep(&mut self, part: f64) {
        self.tokens *= part;
    }

    /// Empties the bucket.
    pub fn clear(&mut self, now: Micros) {
        (self.tokens, self.at) = (0.0, now);
    }
}

/// Times to come back. Those who are turned away together are told times that lie apart, as in a queue in which
/// each takes the next place. Guards against a wave of refused clients that is refused again as one.
#[derive(Clone, Debug)]
pub struct ComeBack {
    least: Micros,
    most: Micros,
    /// The last place that was given away.
    last: Micros,
}

impl ComeBack {
    /// Times between `least` and `most`.
    pub fn new(least: Micros, most: Micros) -> ComeBack {
        ComeBack { least: least.min(most), most, last: 0 }
    }

    /// How long one more client is to stay away, when `rate` clients a second can be taken. The queue starts anew
    /// once it is as long as the longest wait: later places could not be told apart.
    pub fn next(&mut self, now: Micros, rate: f64, rng: &mut Pcg64Mcg) -> Micros {
        let span = self.most - self.least;
        let gap = (1e6 / rate.max(0.1)).min(span as f64 / 4.0);
        let gap = rng.random_range(0.5..=1.5) * gap;
        let begin = now + self.least;
        self.last = self.last.max(begin) + gap as Micros;
        if self.last > now + self.most {
            self.last = begin + rng.random_range(0..=span);
        }
        self.last - now
    }
}
