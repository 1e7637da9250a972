//! Snapshots of the replicated state machine, encoded and decoded in steps.
//!
//! A snapshot may be several megabytes long. [`SnapshotWriter`] encodes this node's snapshot over several ticks while
//! the state keeps changing; [`SnapshotReceiver`] decodes a leader's snapshot while its bytes arrive. Both return
//! [`SnapshotChunk`]s that are written to the disk before the batch that makes the snapshot the valid one, so that
//! neither heartbeats nor entries wait for one large write.
//!
//! Format: [`FORMAT_WITH_SHUTDOWNS`], then two sections, the share ceilings and the shutdown announcements, each as its
//! length in [`LENGTH_BYTES`] big-endian bytes and as MessagePack, then the configuration as its [`StateEncoder`] writes
//! it. Without announcements the format is [`FORMAT_WITHOUT_SHUTDOWNS`], and their section is left out.

use crate::configuration::state::{ConfigStateError, StateDecoder, StateEncoder};
use crate::configuration::ConfigState;
use crate::consensus::LogPosition;
use crate::discovery::AnnouncedShutdowns;
use crate::protocol::ShareCeilings;
use crate::storage::{SnapshotChunk, SNAPSHOT_CHUNK_BYTES};
use bytes::Bytes;
use serde::Serialize;
use std::sync::Arc;

/// First byte of a snapshot with a section of shutdown announcements.
const FORMAT_WITH_SHUTDOWNS: u8 = 2;
/// First byte of a snapshot without announcements, which has no section for them. The only format of earlier releases.
const FORMAT_WITHOUT_SHUTDOWNS: u8 = 1;
/// First byte of a snapshot of the first releases, which is one MessagePack array of two elements: the configuration
/// and the ceilings.
const FORMAT_MONOLITHIC: u8 = 0x92;
/// Smallest number of bytes that one step encodes, unless the state ends before.
const STEP_BYTES: usize = 4 * SNAPSHOT_CHUNK_BYTES;
/// Size of the length field before a section.
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
    /// The shutdown announcements.
    pub(super) shutdowns: AnnouncedShutdowns,
}

/// The state that a snapshot is made of.
pub(super) struct SnapshotState<'a> {
    pub(super) config: &'a ConfigState,
    pub(super) ceilings: Option<&'a Arc<ShareCeilings>>,
    pub(super) shutdowns: &'a AnnouncedShutdowns,
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
    pub(super) fn new(position: LogPosition, state: SnapshotState<'_>, capacity: usize) -> Self {
        let mut bytes = Vec::with_capacity(capacity);
        // Core nodes of earlier releases, which decode the other format only, record no shutdowns.
        let has_shutdowns = !state.shutdowns.is_empty();
        bytes.push(if has_shutdowns { FORMAT_WITH_SHUTDOWNS } else { FORMAT_WITHOUT_SHUTDOWNS });
        append_section(&mut bytes, &state.ceilings);
        if has_shutdowns {
            append_section(&mut bytes, state.shutdowns);
        }
        SnapshotWriter { position, encoder: state.config.encoder(), bytes, chunked: 0, pending_batch: None }
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

fn append_section(bytes: &mut Vec<u8>, content: &impl Serialize) {
    // Writing to memory can't fail for these types.
    let content = rmp_serde::to_vec(content).unwrap_or_default();
    bytes.extend((content.len() as u32).to_be_bytes());
    bytes.extend(content);
}

/// Returns the content of the section at the start of `bytes`, or `None` as long as that is incomplete.
fn read_section(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_be_bytes(*bytes.first_chunk::<LENGTH_BYTES>()?);
    bytes.get(LENGTH_BYTES..LENGTH_BYTES + length as usize)
}

/// Returns the bytes from `chunked` up to the last multiple of [`SNAPSHOT_CHUNK_BYTES`], and advances `chunked` to
/// their end.
fn take_chunk(position: LogPosition, chunked: &mut usize, bytes: &[u8]) -> SnapshotChunk {
    let (offset, end) = (*chunked, bytes.len() / SNAPSHOT_CHUNK_BYTES * SNAPSHOT_CHUNK_BYTES);
    *chunked = end;
    let data = Bytes::copy_from_slice(&bytes[offset..end]);
    SnapshotChunk { snapshot: (position.index, position.term).into(), offset: offset as u64, data }
}

/// Elements of a snapshot, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SnapshotElement {
    Format,
    Ceilings { format: u8 },
    Shutdowns,
    Configuration,
}

/// Incremental decoder of a leader's snapshot.
pub(super) struct SnapshotReceiver {
    position: LogPosition,
    decoder: StateDecoder,
    /// The element that comes next.
    next: SnapshotElement,
    ceilings: Option<Arc<ShareCeilings>>,
    shutdowns: AnnouncedShutdowns,
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
            next: SnapshotElement::Format,
            ceilings: None,
            shutdowns: AnnouncedShutdowns::default(),
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
        match self.next {
            SnapshotElement::Format => self.decode_format(bytes),
            SnapshotElement::Ceilings { format } => {
                let Some(section) = read_section(bytes) else { return Ok(0) };
                self.ceilings = rmp_serde::from_slice(section)?;
                self.next = match format {
                    FORMAT_WITHOUT_SHUTDOWNS => SnapshotElement::Configuration,
                    _ => SnapshotElement::Shutdowns,
                };
                Ok(LENGTH_BYTES + section.len())
            }
            SnapshotElement::Shutdowns => {
                let Some(section) = read_section(bytes) else { return Ok(0) };
                self.shutdowns = rmp_serde::from_slice(section)?;
                self.next = SnapshotElement::Configuration;
                Ok(LENGTH_BYTES + section.len())
            }
            SnapshotElement::Configuration => Ok(self.decoder.decode_frame(bytes)?),
        }
    }

    fn decode_format(&mut self, bytes: &[u8]) -> Result<usize, SnapshotError> {
        let Some(&format) = bytes.first() else { return Ok(0) };
        if !matches!(format, FORMAT_WITH_SHUTDOWNS | FORMAT_WITHOUT_SHUTDOWNS) {
            return Err(SnapshotError::Format(format));
        }
        self.next = SnapshotElement::Ceilings { format };
        Ok(1)
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
        match bytes.len() - self.decoded {
            0 => Ok(DecodedSnapshot { config, ceilings: self.ceilings, shutdowns: self.shutdowns }),
            surplus => Err(SnapshotError::Surplus(surplus)),
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
        let config = ConfigState::decode(&config)?;
        return Ok(DecodedSnapshot { config, ceilings, ..DecodedSnapshot::default() });
    }
    SnapshotReceiver::new(LogPosition::default()).finish(bytes)
}

#[cfg(test)]
#[path = "snapshot_tests.rs"]
mod tests;
