//! How much one gatekeeper sends to others that lack rows: a store of bytes that fills at a rate, so that one that
//! returns, or many at once, never take more than that of a link or of this process. It must never hold back a digest:
//! only rows wait.

/// A store of bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    at: f64,
    /// Bytes of a row, as they turned out, on the mean.
    row: f64,
}

/// Bytes of a row before any was sent.
const ROW_FIRST: f64 = 48.0;
/// The store holds what comes in so many seconds.
const STORE_S: f64 = 0.5;
/// Weight of the last message in the mean row.
const ALPHA: f64 = 0.1;

impl TokenBucket {
    /// One that is full, of `rate` bytes a second.
    pub fn new(now: f64, rate: f64) -> Self {
        TokenBucket { rate, level: rate * STORE_S, at: now, row: ROW_FIRST }
    }

    /// Rows that may go now, at the most `most`.
    pub fn available_rows(&mut self, now: f64, most: usize) -> usize {
        self.level = (self.level + self.rate * (now - self.at).max(0.0)).min(self.rate * STORE_S);
        self.at = self.at.max(now);
        ((self.level / self.row).max(0.0) as usize).min(most)
    }

    /// So many rows went, in so many bytes. A message may take more than there is: the store owes it.
    pub fn charge(&mut self, rows: usize, bytes: usize) {
        if rows > 0 {
            self.level -= bytes as f64;
            self.row += ALPHA * (bytes as f64 / rows as f64 - self.row);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// However many ask for however much: over any time no more goes than the rate, the store, and one message.
        #[test]
        fn what_is_sent_is_bounded(asks in proptest::collection::vec((0.0..0.2f64, 1..2000usize, 20..120usize), 1..300)) {
            let (rate, mut now, mut sent, mut largest) = (50_000.0, 0.0, 0.0, 0.0f64);
            let mut pace = TokenBucket::new(now, rate);
            for (wait, lacks, row) in asks {
                now += wait;
                let rows = pace.available_rows(now, 1600).min(lacks);
                pace.charge(rows, rows * row);
                sent += (rows * row) as f64;
                largest = largest.max((rows * row) as f64);
                prop_assert!(sent <= rate * (now + STORE_S) + largest, "{} in {} s", sent, now);
            }
        }
    }

    #[test]
    fn it_goes_on_as_time_passes() {
        let mut pace = TokenBucket::new(0.0, 1000.0);
        let first = pace.available_rows(0.0, 1600);
        pace.charge(first, first * 48);
        assert!(first > 0 && pace.available_rows(0.0, 1600) == 0);
        assert!(pace.available_rows(1.0, 1600) > 0);
    }
}
