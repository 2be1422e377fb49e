//! A token bucket.

use honeyknot_balancer::Micros;

/// A token bucket whose rate and burst are given with each refill.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that holds some tokens.
    pub(crate) fn new(tokens: f64, now: Micros) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Adds the tokens since the last refill, at `rate` tokens a second, up to `burst`.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * rate).min(burst);
    }

    /// Whether there is a whole token.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token; the bucket may go into debt, as an admitted connection is charged when its attempt starts.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Keeps a share of the tokens.
    pub(crate) fn scale(&mut self, share: f64) {
        self.tokens *= share;
    }

    /// Empties the bucket.
    pub(crate) fn clear(&mut self, now: Micros) {
        self.tokens = 0.0;
        self.refilled_at = now;
    }
}
