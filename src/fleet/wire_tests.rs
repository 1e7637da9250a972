//! Tests of the encoding of messages.

use super::*;
use crate::fleet::replica::{Key, Origin, Row, RowValue};
use crate::identifiers::CustomerId;
use proptest::prelude::*;
use std::sync::Arc;

fn message(rows: usize) -> Message {
    let name: Arc<str> = Arc::from("g1");
    let origin = Origin { name: Arc::clone(&name), incarnation: 1_764_600_000_000_000 };
    let row = |n: usize| Row {
        key: Key::Usage(CustomerId(Arc::from(format!("{n:016x}"))), 1234),
        version: n as u64 + 1,
        expires_at: 1_764_600_030.5,
        value: RowValue::Usage { units: 3.0, acknowledged: 2.0 },
    };
    let deltas = vec![Delta {
        origin: origin.clone(),
        after_version: 0,
        through_version: rows as u64,
        rows: (0..rows).map(row).collect(),
    }];
    let from = Member {
        name,
        incarnation: origin.incarnation,
        rejoin_count: 0,
        address: ([127, 0, 0, 1], 7001).into(),
    };
    Message { from, digest: Digest::from([(origin, rows as u64)]), deltas }
}

/// Guards the sizes of a row and of a full message that docs/replication.md states.
#[test]
fn a_row_takes_less_than_50_bytes() {
    let (few, many) = (message(100).encode("cluj").len(), message(1200).encode("cluj").len());
    let row_bytes = (many - few) as f64 / 1100.0;
    println!("{row_bytes} bytes per row, {many} bytes in a message of 1200 rows");
    assert!(row_bytes < 50.0 && many < 64 * 1024, "{row_bytes} {many}");
}

proptest! {
    /// A complete message decodes to what was encoded. A truncated message, or one of another fleet, is rejected. A
    /// corrupted message is rejected or decodes to another valid message, without a panic.
    #[test]
    fn truncated_foreign_and_corrupted_messages_are_handled(
        rows in 0..40usize,
        cut in 0..4000usize,
        at in 0..4000usize,
        bits in 1..255u8,
    ) {
        let sent = message(rows);
        let mut bytes = sent.encode("cluj");
        prop_assert_eq!(Message::decode(&bytes, "cluj"), Ok(sent));
        prop_assert!(Message::decode(&bytes, "arad").is_err_and(|why| why.contains("cluj")));
        prop_assert!(cut >= bytes.len() || Message::decode(&bytes[..cut], "cluj").is_err());
        let at = at % bytes.len();
        bytes[at] ^= bits;
        let _ = Message::decode(&bytes, "cluj");
    }
}
