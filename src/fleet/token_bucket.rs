//! Token bucket for the bytes of rows that one gatekeeper sends to others. It bounds the load on links and on this
//! process when a gatekeeper rejoins with an empty replica, or many do at once. Only rows are limited: digests are
//! always sent.

/// Row size assumed before any row was sent, in bytes.
const INITIAL_ROW_BYTES: f64 = 48.0;
/// Capacity of the bucket, in seconds of its refill rate.
const CAPACITY_SECS: f64 = 0.5;
/// Weight of the last message in the moving average of the row size.
const ROW_SIZE_WEIGHT: f64 = 0.1;

/// A token bucket whose tokens are bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    bytes_per_sec: f64,
    tokens: f64,
    refilled_at: f64,
    /// Moving average of the row size, in bytes.
    mean_row_bytes: f64,
}

impl TokenBucket {
    /// A full bucket that refills at `bytes_per_sec`. `now` is in seconds.
    pub fn new(now: f64, bytes_per_sec: f64) -> Self {
        TokenBucket {
            bytes_per_sec,
            tokens: bytes_per_sec * CAPACITY_SECS,
            refilled_at: now,
            mean_row_bytes: INITIAL_ROW_BYTES,
        }
    }

    /// Number of rows that may be sent now, at most `max_rows`.
    pub fn available_rows(&mut self, now: f64, max_rows: usize) -> usize {
        let refilled = self.tokens + self.bytes_per_sec * (now - self.refilled_at).max(0.0);
        self.tokens = refilled.min(self.bytes_per_sec * CAPACITY_SECS);
        self.refilled_at = self.refilled_at.max(now);
        ((self.tokens / self.mean_row_bytes).max(0.0) as usize).min(max_rows)
    }

    /// Takes the tokens of a message with this many rows and bytes. A message may need more tokens than there are;
    /// the bucket then goes below zero.
    pub fn charge(&mut self, rows: usize, bytes: usize) {
        if rows > 0 {
            self.tokens -= bytes as f64;
            self.mean_row_bytes += ROW_SIZE_WEIGHT * (bytes as f64 / rows as f64 - self.mean_row_bytes);
        }
    }
}

#[cfg(test)]
#[path = "token_bucket_tests.rs"]
mod tests;
