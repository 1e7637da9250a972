//! Tests of the token bucket.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Over any time, however many members ask for however many rows, the bytes sent are bounded by the refill rate,
    /// the capacity of the bucket and one message.
    #[test]
    fn sent_bytes_are_bounded(requests in proptest::collection::vec((0.0..0.2f64, 1..2000usize, 20..120usize), 1..300)) {
        let (rate, mut now, mut sent, mut largest_message) = (50_000.0, 0.0, 0.0, 0.0f64);
        let mut bucket = TokenBucket::new(now, rate);
        for (wait, lacking_rows, row_bytes) in requests {
            now += wait;
            let rows = bucket.available_rows(now, 1600).min(lacking_rows);
            bucket.charge(rows, rows * row_bytes);
            sent += (rows * row_bytes) as f64;
            largest_message = largest_message.max((rows * row_bytes) as f64);
            prop_assert!(sent <= rate * (now + CAPACITY_SECS) + largest_message, "{} in {} s", sent, now);
        }
    }
}

#[test]
fn an_empty_bucket_refills_over_time() {
    let mut bucket = TokenBucket::new(0.0, 1000.0);
    let first = bucket.available_rows(0.0, 1600);
    bucket.charge(first, first * 48);
    assert!(first > 0 && bucket.available_rows(0.0, 1600) == 0);
    assert!(bucket.available_rows(1.0, 1600) > 0);
}
