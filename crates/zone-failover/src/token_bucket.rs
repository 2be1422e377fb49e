//! A token bucket.

use honeyknot_balancer::Micros;

/// A token bucket whose rate and burst size are given with each refill.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket with a number of tokens.
    pub(crate) fn new(tokens: f64, now: Micros) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill, at `rate` tokens a second, up to `burst` tokens.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * rate).min(burst);
    }

    /// Returns whether there is at least one token.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token. The number of tokens may become negative, because an admitted connection takes its
    /// token only when its attempt starts.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Multiplies the number of tokens by a share from 0 to 1.
    pub(crate) fn scale(&mut self, share: f64) {
        self.tokens *= share;
    }

    /// Removes all tokens and restarts the refill time.
    pub(crate) fn clear(&mut self, now: Micros) {
        self.tokens = 0.0;
        self.refilled_at = now;
    }
}
