//! The message in which two gatekeepers tell each other what they hold, as bytes: a preface that any version can read,
//! then the rest in postcard. It owns that form, and must never take anything of a message whose preface does not fit.

use super::membership::{Member, PROTOCOL_VERSION};
use super::replica::{Delta, Digest};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Preface<'a> {
    version: u32,
    #[serde(borrow)]
    cluster: &'a str,
}

/// What one tells the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who tells.
    pub from: Member,
    /// Up to which change of each origin it holds everything.
    pub digest: Digest,
    /// Rows that the other lacks.
    #[serde(rename = "pieces")]
    pub deltas: Vec<Delta>,
}

/// Anything that one tells another, as bytes, in the name of a fleet.
pub fn encode(what: &impl Serialize, cluster: &str) -> Vec<u8> {
    postcard::to_stdvec(&(Preface { version: PROTOCOL_VERSION, cluster }, what)).unwrap_or_default()
}

/// From bytes, where they are of this fleet and version.
///
/// # Errors
/// In one line, why nothing was taken.
pub fn decode<T: serde::de::DeserializeOwned>(body: &[u8], cluster: &str) -> Result<T, String> {
    let (preface, rest): (Preface<'_>, _) =
        postcard::take_from_bytes(body).map_err(|_| "no message".to_owned())?;
    if preface.version != PROTOCOL_VERSION {
        return Err(format!("version {} does not fit {PROTOCOL_VERSION}", preface.version));
    }
    if preface.cluster != cluster {
        return Err(format!("fleet {:?} is not {cluster:?}", preface.cluster));
    }
    postcard::from_bytes(rest).map_err(|_| "no message".to_owned())
}

impl Message {
    /// As bytes, in the name of a fleet.
    pub fn encode(&self, cluster: &str) -> Vec<u8> {
        encode(self, cluster)
    }

    /// From bytes, where they are of this fleet and version.
    ///
    /// # Errors
    /// In one line, why nothing was taken.
    pub fn decode(body: &[u8], cluster: &str) -> Result<Message, String> {
        decode(body, cluster)
    }

    /// Rows in all its pieces.
    pub fn row_count(&self) -> usize {
        self.deltas.iter().map(|piece| piece.rows.len()).sum()
    }
}

#[cfg(test)]
mod tests {
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
        let pieces = vec![Delta {
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
        Message { from, digest: Digest::from([(origin, rows as u64)]), deltas: pieces }
    }

    /// The figures of docs/replication.md.
    #[test]
    fn a_row_is_half_a_hundred_bytes() {
        let (few, many) = (message(100).encode("cluj").len(), message(1200).encode("cluj").len());
        let row = (many - few) as f64 / 1100.0;
        println!("{row} bytes a row, {many} in a message of 1200");
        assert!(row < 50.0 && many < 64 * 1024, "{row} {many}");
    }

    proptest! {
        /// Whole messages come back as they were; cut, changed or foreign ones are refused or are another whole
        /// message, and nothing breaks.
        #[test]
        fn garbage_is_no_message(rows in 0..40usize, cut in 0..4000usize, at in 0..4000usize, bits in 1..255u8) {
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
}
