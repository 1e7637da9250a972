//! Snapshots of the replicated state machine, encoded and decoded in steps.
//!
//! A snapshot may be several megabytes long. [`SnapshotWriter`] encodes this node's snapshot over several ticks while
//! the state keeps changing; [`SnapshotReceiver`] decodes a leader's snapshot while its bytes arrive. Both return
//! [`SnapshotChunk`]s that are written to the disk before the batch that makes the snapshot the valid one, so that
//! neither heartbeats nor entries wait for one large write.
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
/// First byte of a snapshot of earlier releases, which is one MessagePack array of two elements. Such snapshots may
/// still come from a disk or from a peer.
const FORMAT_MONOLITHIC: u8 = 0x92;
/// Smallest number of bytes that one step encodes, unless the state ends before.
const STEP_BYTES: usize = 4 * SNAPSHOT_CHUNK_BYTES;
/// Size of the length field before the ceilings.
const LENGTH_BYTES: usize = 4;

/// Reason why a snapshot can't be decoded.
#[derive(Debug, displaydoc::Display)]
pub enum SnapshotError {
    /// unknown snapshot format {0}
    Format(u8),
    /// {0}
    Encoding(rmp_serde::decode::Error),
    /// {0}
    Configuration(ConfigStateError),
    /// {0} surplus bytes after the end of the snapshot
    Surplus(usize),
}

impl std::error::Error for SnapshotError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        // `Encoding` and `Configuration` display as the wrapped error, so their source is the source of that error.
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

/// The decoded state of a snapshot.
#[derive(Default)]
pub(super) struct DecodedSnapshot {
    /// The configuration.
    pub(super) config: ConfigState,
    /// The recorded share ceilings, if there are any.
    pub(super) ceilings: Option<Arc<ShareCeilings>>,
}

/// Encoder of this node's snapshot. The snapshot has the state as of the encoder's creation, whatever is applied
/// meanwhile.
pub(super) struct SnapshotWriter {
    /// The last entry that the snapshot covers.
    pub(super) position: LogPosition,
    encoder: StateEncoder,
    bytes: Vec<u8>,
    /// Number of bytes that were returned as chunks.
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

    /// Encodes one step and returns the chunk to write, or `None` once the snapshot is complete. The bytes after the
    /// last chunk are written with the batch that makes the snapshot the valid one.
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

/// Returns the bytes from `chunked` up to the last multiple of [`SNAPSHOT_CHUNK_BYTES`], and advances `chunked` to
/// their end.
fn take_chunk(position: LogPosition, chunked: &mut usize, bytes: &[u8]) -> SnapshotChunk {
    let (offset, end) = (*chunked, bytes.len() / SNAPSHOT_CHUNK_BYTES * SNAPSHOT_CHUNK_BYTES);
    *chunked = end;
    let data = Bytes::copy_from_slice(&bytes[offset..end]);
    SnapshotChunk { snapshot: (position.index, position.term).into(), offset: offset as u64, data }
}

/// Incremental decoder of a leader's snapshot.
pub(super) struct SnapshotReceiver {
    position: LogPosition,
    decoder: StateDecoder,
    /// The outer `Option` is `None` until the ceilings are decoded, the inner one if the snapshot has no ceilings.
    ceilings: Option<Option<Arc<ShareCeilings>>>,
    /// Number of bytes that are decoded.
    decoded: usize,
    /// Number of bytes that were returned as chunks.
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

    /// Whether `bytes`, the part of the snapshot as of `position` that has arrived so far, continues the bytes that
    /// this receiver has processed.
    pub(super) fn is_continued_by(&self, position: LogPosition, bytes: &[u8]) -> bool {
        self.position == position && self.decoded.max(self.chunked) <= bytes.len()
    }

    /// Decodes the new bytes at the end of `bytes`, the part of the snapshot that has arrived so far. Returns the chunk
    /// to write, if one is complete.
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

    /// Decodes one element and returns its length, or 0 if the element is not complete yet.
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

    /// Decodes the rest of `bytes`, the complete snapshot, and returns its state.
    ///
    /// # Errors
    /// The bytes can't be decoded, end early, or continue after the end of the snapshot.
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

/// Decodes a complete snapshot in the current format or in that of earlier releases.
///
/// # Errors
/// The errors of [`SnapshotReceiver::finish`].
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
