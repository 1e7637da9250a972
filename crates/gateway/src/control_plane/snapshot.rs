//! Owns snapshots on their way: this machine's own while it is encoded, a leader's while it comes. Both go in steps, and
//! to the disk ahead of the write that makes them count, so that neither heartbeats nor entries wait for megabytes. It
//! must never decide when the log is cut.

use crate::configuration::state::{Decoder, Encoder};
use crate::configuration::ConfigState;
use crate::consensus::{Index, Term};
use crate::protocol::ShareCeilings;
use crate::storage::{SnapshotChunk, SNAPSHOT_CHUNK_BYTES};
use bytes::Bytes;
use std::sync::Arc;

/// First byte of an encoded snapshot.
const FORMAT: u8 = 1;
/// First byte of one that is told at once: how snapshots were told before.
const FORMAT_WHOLE: u8 = 0x92;
/// Bytes that are encoded at a time.
const STEP: usize = 4 * SNAPSHOT_CHUNK_BYTES;
/// Bytes that tell the length of the shares.
const LENGTH: usize = 4;

/// What a snapshot holds.
pub type DecodedSnapshot = (ConfigState, Option<Arc<ShareCeilings>>);

/// This machine's own, as of an entry.
pub(super) struct SnapshotWriter {
    pub(super) of: (Index, Term),
    encoder: Encoder,
    bytes: Vec<u8>,
    /// So much of it is on its way to the disk.
    ahead: usize,
    /// The put that carries the last of that, until it is synced.
    pub(super) put: Option<u64>,
}

impl SnapshotWriter {
    /// Begins one of this state; about so long.
    pub(super) fn new(
        of: (Index, Term),
        state: &ConfigState,
        shares: Option<&Arc<ShareCeilings>>,
        about: usize,
    ) -> Self {
        let mut bytes = Vec::with_capacity(about);
        bytes.push(FORMAT);
        // Writing to memory can't fail for these types.
        let shares = rmp_serde::to_vec(&shares).unwrap_or_default();
        bytes.extend((shares.len() as u32).to_be_bytes());
        bytes.extend(shares);
        SnapshotWriter { of, encoder: state.encoder(), bytes, ahead: 0, put: None }
    }

    /// Encodes a step more; what is to be put on the disk, or nothing: it is whole.
    pub(super) fn step(&mut self) -> Option<SnapshotChunk> {
        while self.bytes.len() < self.ahead + STEP {
            if !self.encoder.step(&mut self.bytes) {
                return None;
            }
        }
        Some(part(self.of, &mut self.ahead, &self.bytes))
    }

    /// It is whole.
    pub(super) fn finish(self) -> Bytes {
        self.bytes.into()
    }
}

/// What may be put on the disk of these bytes, more of which may come.
fn part(of: (Index, Term), ahead: &mut usize, bytes: &[u8]) -> SnapshotChunk {
    let (offset, end) = (*ahead, bytes.len() / SNAPSHOT_CHUNK_BYTES * SNAPSHOT_CHUNK_BYTES);
    *ahead = end;
    SnapshotChunk { of, offset: offset as u64, data: Bytes::copy_from_slice(&bytes[offset..end]) }
}

/// A leader's.
pub(super) struct SnapshotReceiver {
    of: (Index, Term),
    decoder: Decoder,
    shares: Option<Option<Arc<ShareCeilings>>>,
    /// So much of it is decoded.
    at: usize,
    ahead: usize,
    wrong: Option<String>,
}

impl SnapshotReceiver {
    pub(super) fn new(of: (Index, Term)) -> Self {
        SnapshotReceiver { of, decoder: Decoder::default(), shares: None, at: 0, ahead: 0, wrong: None }
    }

    /// Does it go on from what came before?
    pub(super) fn goes_on(&self, of: (Index, Term), bytes: &[u8]) -> bool {
        self.of == of && self.at.max(self.ahead) <= bytes.len()
    }

    /// So much has come; what may be put on the disk.
    pub(super) fn come(&mut self, bytes: &[u8]) -> Option<SnapshotChunk> {
        self.take(bytes);
        (bytes.len() >= self.ahead + SNAPSHOT_CHUNK_BYTES).then(|| part(self.of, &mut self.ahead, bytes))
    }

    fn take(&mut self, bytes: &[u8]) {
        while self.wrong.is_none() {
            match self.step(&bytes[self.at..]) {
                Ok(0) => return,
                Ok(taken) => self.at += taken,
                Err(error) => self.wrong = Some(error),
            }
        }
    }

    fn step(&mut self, bytes: &[u8]) -> Result<usize, String> {
        if self.shares.is_some() {
            return self.decoder.step(bytes).map_err(|e| e.to_string());
        }
        match bytes.first() {
            None => return Ok(0),
            Some(&FORMAT) => {}
            Some(format) => return Err(format!("a snapshot of the unknown format {format}")),
        }
        let Some(length) = bytes[1..].first_chunk::<LENGTH>() else { return Ok(0) };
        let end = 1 + LENGTH + u32::from_be_bytes(*length) as usize;
        let Some(shares) = bytes.get(1 + LENGTH..end) else { return Ok(0) };
        self.shares = Some(rmp_serde::from_slice(shares).map_err(|e| e.to_string())?);
        Ok(end)
    }

    /// All of it has come.
    pub(super) fn finish(mut self, bytes: &[u8]) -> Result<DecodedSnapshot, String> {
        self.take(bytes);
        if let Some(wrong) = self.wrong {
            return Err(wrong);
        }
        let state = self.decoder.finish().map_err(|e| e.to_string())?;
        match (self.shares, bytes.len() - self.at) {
            (Some(shares), 0) => Ok((state, shares)),
            (_, more) => Err(format!("a snapshot is followed by {more} more bytes")),
        }
    }
}

/// Reads a whole snapshot.
pub fn decode(bytes: &[u8]) -> Result<DecodedSnapshot, String> {
    if bytes.first() == Some(&FORMAT_WHOLE) {
        let (state, shares): (Bytes, Option<Arc<ShareCeilings>>) =
            rmp_serde::from_slice(bytes).map_err(|e| e.to_string())?;
        return Ok((ConfigState::decode(&state).map_err(|e| e.to_string())?, shares));
    }
    SnapshotReceiver::new((0, 0)).finish(bytes)
}

#[cfg(test)]
#[path = "snapshot_tests.rs"]
mod tests;
