//! The encoding of a state for snapshots: a sequence of frames, encoded and decoded one at a time, so that a large
//! state never holds up the event loop. Equal states give equal bytes. A state that contradicts itself is refused.
//!
//! Layout: the byte [`FORMAT`], a frame with the [`Header`], then frames of up to [`RECORDS_PER_FRAME`] records, by
//! kind and name. A frame is its length (4 bytes, big-endian) and a MessagePack value. A state that records removals has
//! the byte [`FORMAT_WITH_REMOVALS`], and behind the records frames of its removed names, by kind and fingerprint; earlier
//! releases can't read it. An earlier layout, [`FORMAT_WHOLE`] and one MessagePack value, is still read.

use super::removal_record::{RemovalFrames, RemovalRecord, RemovedName};
use super::{
    ConfigState, ConfigStateError, ItemKind, Record, KINDS, MAX_SUPERSEDED_VERSIONS, MAX_TOMBSTONES,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// First byte of an encoded state that records no removals.
const FORMAT: u8 = 3;
/// First byte of an encoded state that records removals.
const FORMAT_WITH_REMOVALS: u8 = 4;
/// First byte of the earlier layout: one MessagePack value behind it.
const FORMAT_WHOLE: u8 = 2;
/// Most records in a frame.
const RECORDS_PER_FRAME: usize = 128;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// All of a state but its records. Serialized by position.
#[derive(Clone, Serialize, Deserialize)]
struct Header {
    last_change_index: u64,
    next_sequence: u64,
    forgotten_up_to: [Option<u64>; KINDS],
    /// How many records follow.
    record_count: u64,
    /// By kind, how many removed names follow the records; `None` in [`FORMAT`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    removal_counts: Option<[u64; KINDS]>,
}

/// The earlier layout. Serialized by position.
#[derive(Deserialize)]
struct WholeState {
    last_change_index: u64,
    next_sequence: u64,
    forgotten_up_to: [Option<u64>; KINDS],
    records: Vec<Record>,
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

/// The content of the frame that these bytes begin with, and the bytes that it takes; `None`: it is not complete.
fn split_frame(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let length = u32::from_be_bytes(*bytes.first_chunk::<LENGTH_BYTES>()?) as usize;
    let end = LENGTH_BYTES.checked_add(length)?;
    Some((bytes.get(LENGTH_BYTES..end)?, end))
}

/// How many are missing after a frame with `decoded` of them.
fn subtract_frame(missing: u64, decoded: usize) -> Result<u64, ConfigStateError> {
    let missing = missing.checked_sub(decoded as u64).filter(|_| decoded > 0);
    missing.ok_or(ConfigStateError::UnexpectedRecordCount)
}

fn unreadable(e: rmp_serde::decode::Error) -> ConfigStateError {
    ConfigStateError::Unreadable(e.to_string())
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

/// Decodes a state from its frames as they arrive.
pub struct StateDecoder {
    state: ConfigState,
    /// Records that are still to come; `None`: the header is.
    missing_records: Option<u64>,
    /// Kind and name of the last record; they rise.
    previous: Option<(ItemKind, String)>,
    /// By kind: removed names that are still to come.
    missing_removals: [u64; KINDS],
}

impl Default for StateDecoder {
    fn default() -> Self {
        StateDecoder::with_history_limit(MAX_SUPERSEDED_VERSIONS)
    }
}

impl StateDecoder {
    /// For a state that remembers so many superseded versions.
    pub fn with_history_limit(max_superseded: usize) -> Self {
        StateDecoder {
            state: ConfigState::with_history_limit(max_superseded),
            missing_records: None,
            previous: None,
            missing_removals: Default::default(),
        }
    }

    /// Decodes the frame that these bytes begin with. Returns how many bytes it took: 0 if the frame is not complete
    /// yet, or if no more is expected.
    pub fn decode_frame(&mut self, bytes: &[u8]) -> Result<usize, ConfigStateError> {
        match self.missing_records {
            None => self.decode_header(bytes),
            Some(0) => self.decode_removals(bytes),
            Some(missing) => self.decode_records(missing, bytes),
        }
    }

    fn decode_records(&mut self, missing: u64, bytes: &[u8]) -> Result<usize, ConfigStateError> {
        let Some((content, end)) = split_frame(bytes) else { return Ok(0) };
        let records: Vec<Record> = rmp_serde::from_slice(content).map_err(unreadable)?;
        self.missing_records = Some(subtract_frame(missing, records.len())?);
        self.restore(records)?;
        Ok(end)
    }

    fn decode_removals(&mut self, bytes: &[u8]) -> Result<usize, ConfigStateError> {
        let Some(kind) = self.missing_removals.iter().position(|missing| *missing > 0) else { return Ok(0) };
        let Some((content, end)) = split_frame(bytes) else { return Ok(0) };
        let names: Vec<RemovedName> = rmp_serde::from_slice(content).map_err(unreadable)?;
        self.missing_removals[kind] = subtract_frame(self.missing_removals[kind], names.len())?;
        let records = self.state.removal_records.get_or_insert_default();
        match records[kind].append(&names) {
            true => Ok(end),
            false => Err(ConfigStateError::UnorderedRemovals),
        }
    }

    fn decode_header(&mut self, bytes: &[u8]) -> Result<usize, ConfigStateError> {
        let Some(&format) = bytes.first() else { return Ok(0) };
        if !matches!(format, FORMAT | FORMAT_WITH_REMOVALS) {
            return Err(ConfigStateError::Format(format));
        }
        let Some((content, end)) = split_frame(&bytes[1..]) else { return Ok(0) };
        let header: Header = rmp_serde::from_slice(content).map_err(unreadable)?;
        if header.removal_counts.is_some() != (format == FORMAT_WITH_REMOVALS) {
            return Err(ConfigStateError::Format(format));
        }
        if let Some(counts) = header.removal_counts {
            self.state.record_removals();
            self.missing_removals = counts;
        }
        self.state.last_change_index = header.last_change_index;
        self.state.next_sequence = header.next_sequence;
        self.state.forgotten_up_to = header.forgotten_up_to;
        self.missing_records = Some(header.record_count);
        Ok(1 + end)
    }

    fn restore(&mut self, records: Vec<Record>) -> Result<(), ConfigStateError> {
        for record in records {
            let name = (record.item.kind, record.item.label.clone());
            let is_rising = self.previous.as_ref() < Some(&name);
            if !is_rising || !record.is_consistent() || !self.state.restore(record) {
                return Err(ConfigStateError::Inconsistent { set: name.0.set_name(), label: name.1 });
            }
            self.previous = Some(name);
        }
        Ok(())
    }

    /// The state; an error if frames are missing or it is not valid.
    pub fn finish(self) -> Result<ConfigState, ConfigStateError> {
        match self.missing_records {
            None => return Err(ConfigStateError::Empty),
            Some(0) => {}
            Some(missing) => return Err(ConfigStateError::MissingRecords(missing)),
        }
        match self.missing_removals.iter().fold(0, |sum: u64, missing| sum.saturating_add(*missing)) {
            0 => {}
            missing => return Err(ConfigStateError::MissingRemovals(missing)),
        }
        let state = self.state;
        let unknown_service = state.routes_by_service.keys().find(|s| !state.is_active(ItemKind::Service, s));
        match unknown_service {
            Some(service) => Err(ConfigStateError::Inconsistent {
                set: ItemKind::Service.set_name(),
                label: service.clone(),
            }),
            None => Ok(state),
        }
    }
}

impl ConfigState {
    /// Adds a decoded record. False: another record has one of its credentials or sequence numbers, or there are too
    /// many tombstones or superseded versions.
    fn restore(&mut self, record: Record) -> bool {
        let has_own_credentials = self.add_to_lookups(&record).is_none();
        let (kind, label) = (record.item.kind, Arc::<str>::from(record.item.label.as_str()));
        let mut has_own_sequences = true;
        for past in &record.history {
            let other = self.superseded.insert(past.sequence, (kind, Arc::clone(&label)));
            has_own_sequences &= other.is_none() && past.sequence < self.next_sequence;
        }
        self.records[kind as usize].insert(record.item.label.clone(), Arc::new(record));
        let is_bounded =
            self.tombstones.len() <= MAX_TOMBSTONES && self.superseded.len() <= self.max_superseded;
        has_own_credentials && has_own_sequences && is_bounded
    }

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

    /// The state that gave these bytes; an error if they are truncated, followed by others, or contradict themselves.
    pub fn decode(bytes: &[u8]) -> Result<ConfigState, ConfigStateError> {
        ConfigState::decode_bounded(bytes, MAX_SUPERSEDED_VERSIONS)
    }

    /// Decodes a state that remembers at most `max_superseded` superseded versions; otherwise as [`ConfigState::decode`].
    pub fn decode_bounded(bytes: &[u8], max_superseded: usize) -> Result<ConfigState, ConfigStateError> {
        let mut decoder = StateDecoder::with_history_limit(max_superseded);
        let mut rest = bytes;
        if let Some((&FORMAT_WHOLE, mut behind)) = bytes.split_first() {
            let whole: WholeState = rmp_serde::decode::from_read(&mut behind).map_err(unreadable)?;
            decoder.state.last_change_index = whole.last_change_index;
            decoder.state.next_sequence = whole.next_sequence;
            decoder.state.forgotten_up_to = whole.forgotten_up_to;
            decoder.missing_records = Some(0);
            decoder.restore(whole.records)?;
            rest = behind;
        }
        loop {
            match decoder.decode_frame(rest)? {
                0 => break,
                taken => rest = &rest[taken..],
            }
        }
        let state = decoder.finish()?;
        match rest {
            [] => Ok(state),
            _ => Err(ConfigStateError::Surplus(rest.len())),
        }
    }
}
