//! Decoding of a state: the layouts of `state/encoding.rs`, one frame at a time or whole. A state that contradicts itself is
//! refused.

use super::encoding::{Header, FORMAT, FORMAT_WITH_REMOVALS, LENGTH_BYTES};
use super::removal_record::RemovedName;
use super::{
    ConfigState, ConfigStateError, ItemKind, Record, KINDS, MAX_SUPERSEDED_VERSIONS, MAX_TOMBSTONES,
};
use serde::Deserialize;
use std::sync::Arc;

/// First byte of the earlier layout: one MessagePack value behind it.
const FORMAT_WHOLE: u8 = 2;

/// The earlier layout. Serialized by position.
#[derive(Deserialize)]
struct WholeState {
    last_change_index: u64,
    next_sequence: u64,
    forgotten_up_to: [Option<u64>; KINDS],
    records: Vec<Record>,
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
