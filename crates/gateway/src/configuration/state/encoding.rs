//! Owns how a state is told in bytes, for snapshots: frame after frame, made and taken a step at a time, so that whoever
//! encodes or decodes a large one goes on with what else is to be done. Equal states give equal bytes. It must never
//! take a state that contradicts itself.

use super::{
    ConfigState, ConfigStateError, ItemKind, Record, KINDS, MAX_SUPERSEDED_VERSIONS, MAX_TOMBSTONES,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// First byte of an encoded state.
const FORMAT: u8 = 3;
/// First byte of one that is told as a whole, behind it: how states were told before.
const FORMAT_WHOLE: u8 = 2;
/// Records in a frame.
const FRAME: usize = 128;
/// Bytes that tell the length of a frame.
const LENGTH: usize = 4;

#[derive(Clone, Serialize, Deserialize)]
struct Head {
    index: u64,
    place: u64,
    floors: [Option<u64>; KINDS],
    records: u64,
}

#[derive(Deserialize)]
struct Whole {
    index: u64,
    place: u64,
    floors: [Option<u64>; KINDS],
    records: Vec<Record>,
}

/// A state as it was when this was made, to be told step by step; the state itself may change meanwhile.
pub struct StateEncoder {
    head: Option<Head>,
    records: VecDeque<Arc<Record>>,
}

fn frame(out: &mut Vec<u8>, content: &impl Serialize) {
    let at = out.len();
    out.extend([0; LENGTH]);
    // Nothing of a state can't be told: fields are texts, and a vector takes all that is written.
    if let Err(error) = rmp_serde::encode::write(out, content) {
        tracing::error!(%error, "a state can't be encoded");
    }
    let length = (out.len() - at - LENGTH) as u32;
    out[at..at + LENGTH].copy_from_slice(&length.to_be_bytes());
}

/// The first whole frame's content, and the bytes that it takes.
fn first(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let length = u32::from_be_bytes(*bytes.first_chunk::<LENGTH>()?) as usize;
    let end = LENGTH.checked_add(length)?;
    Some((bytes.get(LENGTH..end)?, end))
}

impl StateEncoder {
    /// Appends the next frame; false: there was none.
    pub fn encode_frame(&mut self, out: &mut Vec<u8>) -> bool {
        if let Some(head) = self.head.take() {
            out.push(FORMAT);
            frame(out, &head);
            return true;
        }
        let many = self.records.len().min(FRAME);
        if many > 0 {
            frame(out, &self.records.drain(..many).collect::<Vec<_>>());
        }
        many > 0
    }
}

/// Takes an encoded state as it comes.
pub struct StateDecoder {
    state: ConfigState,
    /// Records that are still to come; `None`: the head is.
    left: Option<u64>,
    before: Option<(ItemKind, String)>,
}

impl Default for StateDecoder {
    fn default() -> Self {
        StateDecoder::with_history_limit(MAX_SUPERSEDED_VERSIONS)
    }
}

impl StateDecoder {
    /// For a state that remembers so many overtaken versions.
    pub fn with_history_limit(history_max: usize) -> Self {
        StateDecoder { state: ConfigState::with_history_limit(history_max), left: None, before: None }
    }

    /// Takes the next frame off the front of these bytes; returned: how many it took, 0 if it has not come whole, or no
    /// more is wanted.
    pub fn decode_frame(&mut self, bytes: &[u8]) -> Result<usize, ConfigStateError> {
        let unreadable = |e: rmp_serde::decode::Error| ConfigStateError::Unreadable(e.to_string());
        let Some(left) = self.left else {
            return match bytes.first() {
                Some(&FORMAT) => {
                    let Some((content, end)) = first(&bytes[1..]) else { return Ok(0) };
                    let head: Head = rmp_serde::from_slice(content).map_err(unreadable)?;
                    (self.state.index, self.state.place) = (head.index, head.place);
                    (self.state.floors, self.left) = (head.floors, Some(head.records));
                    Ok(1 + end)
                }
                Some(&format) => Err(ConfigStateError::Format(format)),
                None => Ok(0),
            };
        };
        let Some((content, end)) = first(bytes).filter(|_| left > 0) else { return Ok(0) };
        let records: Vec<Record> = rmp_serde::from_slice(content).map_err(unreadable)?;
        let more = left.checked_sub(records.len() as u64).filter(|_| !records.is_empty());
        self.left = Some(more.ok_or_else(|| ConfigStateError::Unreadable("an odd frame".into()))?);
        self.restore(records)?;
        Ok(end)
    }

    fn restore(&mut self, records: Vec<Record>) -> Result<(), ConfigStateError> {
        for record in records {
            let name = (record.item.kind, record.item.label.clone());
            if self.before.as_ref() >= Some(&name) || !record.is_sound() || !self.state.restore(record) {
                return Err(ConfigStateError::Inconsistent(name.0.set_name(), name.1));
            }
            self.before = Some(name);
        }
        Ok(())
    }

    /// The state, all of which was taken.
    pub fn finish(self) -> Result<ConfigState, ConfigStateError> {
        match self.left {
            None => return Err(ConfigStateError::Empty),
            Some(0) => {}
            Some(left) => return Err(ConfigStateError::Unreadable(format!("{left} records are missing"))),
        }
        let state = self.state;
        let unknown = state.users.keys().find(|s| !state.stands(ItemKind::Service, s));
        match unknown {
            Some(service) => {
                Err(ConfigStateError::Inconsistent(ItemKind::Service.set_name(), service.clone()))
            }
            None => Ok(state),
        }
    }
}

impl ConfigState {
    /// Takes a decoded record. False: another one has one of its keys or places, or there are too many tombstones or
    /// overtaken versions.
    fn restore(&mut self, record: Record) -> bool {
        let alone = self.enter(&record.item).is_none();
        let (kind, label) = (record.item.kind, Arc::<str>::from(record.item.label.as_str()));
        let mut placed = true;
        for past in &record.history {
            let other = self.overtaken.insert(past.place, (kind, Arc::clone(&label)));
            placed &= other.is_none() && past.place < self.place;
        }
        self.records[kind as usize].insert(record.item.label.clone(), Arc::new(record));
        let bounded = self.tombstones.len() <= MAX_TOMBSTONES && self.overtaken.len() <= self.history_max;
        alone && placed && bounded
    }

    /// What tells this state, as it is now, step by step.
    pub fn encoder(&self) -> StateEncoder {
        let records: VecDeque<_> = self.records.iter().flat_map(BTreeMap::values).cloned().collect();
        let (index, place, floors) = (self.index, self.place, self.floors);
        StateEncoder { head: Some(Head { index, place, floors, records: records.len() as u64 }), records }
    }

    /// The whole state at once.
    #[cfg(test)]
    pub fn encode(&self) -> bytes::Bytes {
        let (mut encoder, mut bytes) = (self.encoder(), Vec::new());
        while encoder.encode_frame(&mut bytes) {}
        bytes.into()
    }

    /// The state that gave these bytes; an error if they are cut, followed by others, or contradict themselves.
    pub fn decode(bytes: &[u8]) -> Result<ConfigState, ConfigStateError> {
        ConfigState::decode_bounded(bytes, MAX_SUPERSEDED_VERSIONS)
    }

    /// The same for one that remembers so many overtaken versions.
    pub fn decode_bounded(bytes: &[u8], history_max: usize) -> Result<ConfigState, ConfigStateError> {
        let mut decoder = StateDecoder::with_history_limit(history_max);
        let mut rest = bytes;
        if let Some((&FORMAT_WHOLE, mut whole)) = bytes.split_first() {
            let read = rmp_serde::decode::from_read(&mut whole);
            let Whole { index, place, floors, records } =
                read.map_err(|e| ConfigStateError::Unreadable(e.to_string()))?;
            (decoder.state.index, decoder.state.place, decoder.state.floors) = (index, place, floors);
            decoder.left = Some(0);
            decoder.restore(records)?;
            rest = whole;
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
