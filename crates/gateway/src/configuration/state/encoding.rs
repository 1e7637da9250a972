//! The encoding of a state for snapshots: a sequence of frames, encoded and decoded one at a time, so that a large
//! state never holds up the event loop. Equal states give equal bytes.
//!
//! Layout: the byte [`FORMAT`], a frame with the [`Header`], then frames of up to [`RECORDS_PER_FRAME`] records, by
//! kind and name. A frame is its length (4 bytes, big-endian) and a MessagePack value. A state that records removals has
//! the byte [`FORMAT_WITH_REMOVALS`], and behind the records frames of its removed names, by kind and fingerprint; earlier
//! releases can't read it. `state/decoding.rs` reads these layouts and an earlier one.

use super::removal_record::{RemovalFrames, RemovalRecord, RemovedName};
use super::{ConfigState, Record, KINDS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// First byte of an encoded state that records no removals.
pub(super) const FORMAT: u8 = 3;
/// First byte of an encoded state that records removals.
pub(super) const FORMAT_WITH_REMOVALS: u8 = 4;
/// Most records in a frame.
const RECORDS_PER_FRAME: usize = 128;
/// Bytes of a frame's length.
pub(super) const LENGTH_BYTES: usize = 4;

/// All of a state but its records. Serialized by position.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct Header {
    pub(super) last_change_index: u64,
    pub(super) next_sequence: u64,
    pub(super) forgotten_up_to: [Option<u64>; KINDS],
    /// How many records follow.
    pub(super) record_count: u64,
    /// By kind, how many removed names follow the records; `None` in [`FORMAT`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) removal_counts: Option<[u64; KINDS]>,
}

/// Encodes a state as it was when [`ConfigState::encoder`] was called; the state itself may change meanwhile.
pub struct StateEncoder {
    header: Option<Header>,
    records: VecDeque<Arc<Record>>,
    /// By kind: the removed names.
    removals: VecDeque<RemovalFrames>,
}

fn write_frame(out: &mut Vec<u8>, content: &impl Serialize) {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    // Can't fail: all fields have an encoding, and a vector takes all that is written.
    if let Err(error) = rmp_serde::encode::write(out, content) {
        tracing::error!(%error, "encoding the configuration state failed");
    }
    let length = (out.len() - start - LENGTH_BYTES) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

impl StateEncoder {
    /// Appends the next frame; false: all are encoded.
    pub fn encode_frame(&mut self, out: &mut Vec<u8>) -> bool {
        if let Some(header) = self.header.take() {
            out.push(if header.removal_counts.is_some() { FORMAT_WITH_REMOVALS } else { FORMAT });
            write_frame(out, &header);
            return true;
        }
        let count = self.records.len().min(RECORDS_PER_FRAME);
        if count > 0 {
            write_frame(out, &self.records.drain(..count).collect::<Vec<_>>());
            return true;
        }
        match self.next_removals() {
            Some(names) => write_frame(out, &names),
            None => return false,
        }
        true
    }

    fn next_removals(&mut self) -> Option<Vec<RemovedName>> {
        while let Some(of_kind) = self.removals.front_mut() {
            let names = of_kind.next_frame();
            if names.is_some() {
                return names;
            }
            self.removals.pop_front();
        }
        None
    }
}

impl ConfigState {
    /// An encoder of this state as it is now. Records are shared, not copied.
    pub fn encoder(&self) -> StateEncoder {
        let records: VecDeque<_> = self.records.iter().flat_map(BTreeMap::values).cloned().collect();
        let removals = self.removal_records.iter().flatten().map(RemovalRecord::frames).collect();
        let counts =
            |records: &[RemovalRecord; KINDS]| records.each_ref().map(|of_kind| of_kind.len() as u64);
        let header = Header {
            last_change_index: self.last_change_index,
            next_sequence: self.next_sequence,
            forgotten_up_to: self.forgotten_up_to,
            record_count: records.len() as u64,
            removal_counts: self.removal_records.as_ref().map(counts),
        };
        StateEncoder { header: Some(header), records, removals }
    }

    /// The whole state at once.
    #[cfg(test)]
    pub fn encode(&self) -> bytes::Bytes {
        let (mut encoder, mut bytes) = (self.encoder(), Vec::new());
        while encoder.encode_frame(&mut bytes) {}
        bytes.into()
    }
}
