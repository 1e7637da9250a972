//! Snapshots of the replicated state machine, encoded and decoded in steps.
//!
//! A snapshot takes megabytes. [`SnapshotWriter`] encodes this node's own over several ticks while the state goes on
//! changing; [`SnapshotReceiver`] decodes a leader's while its bytes arrive. Both hand out [`SnapshotChunk`]s that are
//! written ahead of the batch that puts the snapshot in force, so that neither heartbeats nor entries wait for one
//! large write.
//!
//! Format: [`FORMAT_CHUNKED`], the length of the ceilings in [`LENGTH_BYTES`] big-endian bytes, the ceilings as
//! MessagePack, then the configuration as its [`Encoder`] writes it.

use crate::configuration::state::{ConfigStateError, StateDecoder, StateEncoder};
use crate::configuration::ConfigState;
use crate::consensus::LogPosition;
use crate::protocol::ShareCeilings;
use crate::storage::{SnapshotChunk, SNAPSHOT_CHUNK_BYTES};
use bytes::Bytes;
use std::sync::Arc;

/// First byte of a snapshot.
const FORMAT_CHUNKED: u8 = 1;
/// First byte of a snapshot of an earlier release: one MessagePack array of two. Still read, from disks and from peers.
const FORMAT_MONOLITHIC: u8 = 0x92;
/// Bytes that are encoded in one step, at least.
const STEP_BYTES: usize = 4 * SNAPSHOT_CHUNK_BYTES;
/// Size of the field that holds the length of the ceilings.
const LENGTH_BYTES: usize = 4;

/// Why a snapshot can't be decoded.
#[derive(Debug, displaydoc::Display)]
pub enum SnapshotError {
    /// a snapshot of the unknown format {0}
    Format(u8),
    /// {0}
    Encoding(rmp_serde::decode::Error),
    /// {0}
    Configuration(ConfigStateError),
    /// a snapshot is followed by {0} more bytes
    Surplus(usize),
}

impl std::error::Error for SnapshotError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        // The text of these two is that of their cause, so the cause's own cause comes next.
        match self {
            SnapshotError::Encoding(error) => error.source(),
            SnapshotError::Configuration(error) => error.source(),
            SnapshotError::Format(_) | SnapshotError::Surplus(_) => None,
        }
    }
}

impl From<rmp_serde::decode::Error> for SnapshotError {
    fn from(error: rmp_serde::decode::Error) -> Self {
        SnapshotError::Encoding(error)
    }
}

impl From<ConfigStateError> for SnapshotError {
    fn from(error: ConfigStateError) -> Self {
        SnapshotError::Configuration(error)
    }
}

/// The state in a snapshot.
#[derive(Default)]
pub(super) struct DecodedSnapshot {
    /// The configuration.
    pub(super) config: ConfigState,
    /// The recorded quota ceilings, if there are any.
    pub(super) ceilings: Option<Arc<ShareCeilings>>,
}

/// This node's own snapshot while it is encoded. It holds the state as of its creation, whatever is applied meanwhile.
pub(super) struct SnapshotWriter {
    /// The last entry that the snapshot covers.
    pub(super) position: LogPosition,
    encoder: StateEncoder,
    bytes: Vec<u8>,
    /// Bytes that were handed out as chunks.
    chunked: usize,
    /// The write batch of the latest chunk, until it is synced.
    pub(super) pending_batch: Option<u64>,
}

impl SnapshotWriter {
    /// Starts a snapshot as of `position`. `capacity` is its expected size in bytes.
    pub(super) fn new(
        position: LogPosition,
        state: &ConfigState,
        ceilings: Option<&Arc<ShareCeilings>>,
        capacity: usize,
    ) -> Self {
        let mut bytes = Vec::with_capacity(capacity);
        bytes.push(FORMAT_CHUNKED);
        // Writing to memory can't fail for these types.
        let ceilings = rmp_serde::to_vec(&ceilings).unwrap_or_default();
        bytes.extend((ceilings.len() as u32).to_be_bytes());
        bytes.extend(ceilings);
        SnapshotWriter { position, encoder: state.encoder(), bytes, chunked: 0, pending_batch: None }
    }

    /// Encodes one step and returns the chunk to write, or `None` once the snapshot is complete. What is left after the
    /// last chunk is written with the batch that puts the snapshot in force.
    pub(super) fn next_chunk(&mut self) -> Option<SnapshotChunk> {
        while self.bytes.len() < self.chunked + STEP_BYTES {
            if !self.encoder.encode_frame(&mut self.bytes) {
                return None;
            }
        }
        Some(take_chunk(self.position, &mut self.chunked, &self.bytes))
    }

    /// The complete snapshot.
    pub(super) fn into_bytes(self) -> Bytes {
        self.bytes.into()
    }
}

/// The bytes behind `chunked`, cut to a multiple of [`SNAPSHOT_CHUNK_BYTES`]; `chunked` moves to their end.
fn take_chunk(position: LogPosition, chunked: &mut usize, bytes: &[u8]) -> SnapshotChunk {
    let (offset, end) = (*chunked, bytes.len() / SNAPSHOT_CHUNK_BYTES * SNAPSHOT_CHUNK_BYTES);
    *chunked = end;
    let data = Bytes::copy_from_slice(&bytes[offset..end]);
    SnapshotChunk { snapshot: (position.index, position.term).into(), offset: offset as u64, data }
}

/// A leader's snapshot while it arrives.
pub(super) struct SnapshotReceiver {
    position: LogPosition,
    decoder: StateDecoder,
    /// `None` until the ceilings are decoded; they may themselves be absent.
    ceilings: Option<Option<Arc<ShareCeilings>>>,
    /// Bytes that are decoded.
    decoded: usize,
    /// Bytes that were handed out as chunks.
    chunked: usize,
    /// The first failure; decoding stops there, and [`SnapshotReceiver::finish`] reports it.
    error: Option<SnapshotError>,
}

impl SnapshotReceiver {
    pub(super) fn new(position: LogPosition) -> Self {
        SnapshotReceiver {
            position,
            decoder: StateDecoder::default(),
            ceilings: None,
            decoded: 0,
            chunked: 0,
            error: None,
        }
    }

    /// Whether `bytes`, all that has arrived of the snapshot as of `position`, continue what this receiver has seen.
    pub(super) fn is_continued_by(&self, position: LogPosition, bytes: &[u8]) -> bool {
        self.position == position && self.decoded.max(self.chunked) <= bytes.len()
    }

    /// Decodes what is new in `bytes`, all that has arrived; returns the chunk to write, if there is a complete one.
    pub(super) fn receive(&mut self, bytes: &[u8]) -> Option<SnapshotChunk> {
        self.decode_available(bytes);
        let has_chunk = bytes.len() >= self.chunked + SNAPSHOT_CHUNK_BYTES;
        has_chunk.then(|| take_chunk(self.position, &mut self.chunked, bytes))
    }

    fn decode_available(&mut self, bytes: &[u8]) {
        while self.error.is_none() {
            match self.decode_step(&bytes[self.decoded..]) {
                Ok(0) => return,
                Ok(decoded) => self.decoded += decoded,
                Err(error) => self.error = Some(error),
            }
        }
    }

    /// Decodes one element; returns its length, or zero if it is not complete yet.
    fn decode_step(&mut self, bytes: &[u8]) -> Result<usize, SnapshotError> {
        if self.ceilings.is_some() {
            return Ok(self.decoder.decode_frame(bytes)?);
        }
        match bytes.first() {
            None => return Ok(0),
            Some(&FORMAT_CHUNKED) => {}
            Some(format) => return Err(SnapshotError::Format(*format)),
        }
        let Some(length) = bytes[1..].first_chunk::<LENGTH_BYTES>() else { return Ok(0) };
        let end = 1 + LENGTH_BYTES + u32::from_be_bytes(*length) as usize;
        let Some(ceilings) = bytes.get(1 + LENGTH_BYTES..end) else { return Ok(0) };
        self.ceilings = Some(rmp_serde::from_slice(ceilings)?);
        Ok(end)
    }

    /// The state in `bytes`, the complete snapshot.
    ///
    /// # Errors
    /// The bytes can't be decoded, end early, or go on behind the snapshot.
    pub(super) fn finish(mut self, bytes: &[u8]) -> Result<DecodedSnapshot, SnapshotError> {
        self.decode_available(bytes);
        if let Some(error) = self.error {
            return Err(error);
        }
        let config = self.decoder.finish()?;
        match (self.ceilings, bytes.len() - self.decoded) {
            (Some(ceilings), 0) => Ok(DecodedSnapshot { config, ceilings }),
            (_, surplus) => Err(SnapshotError::Surplus(surplus)),
        }
    }
}

/// Decodes a complete snapshot, of this release or of the earlier format.
///
/// # Errors
/// As [`SnapshotReceiver::finish`].
pub(super) fn decode(bytes: &[u8]) -> Result<DecodedSnapshot, SnapshotError> {
    if bytes.first() == Some(&FORMAT_MONOLITHIC) {
        let (config, ceilings): (Bytes, Option<Arc<ShareCeilings>>) = rmp_serde::from_slice(bytes)?;
        return Ok(DecodedSnapshot { config: ConfigState::decode(&config)?, ceilings });
    }
    SnapshotReceiver::new(LogPosition::default()).finish(bytes)
}

#[cfg(test)]
#[path = "snapshot_tests.rs"]
mod tests;
