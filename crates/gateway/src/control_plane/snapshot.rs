//! Owns snapshots on their way: this machine's own while it is encoded, a leader's while it comes. Both go in steps, and
//! to the disk ahead of the write that makes them count, so that neither heartbeats nor entries wait for megabytes. It
//! must never decide when the log is cut.

use crate::configuration::state::{Decoder, Encoder};
use crate::configuration::State;
use crate::consensus::{Index, Term};
use crate::protocol::share_ceilings::Shares;
use crate::storage::{Part, PART};
use bytes::Bytes;
use std::sync::Arc;

/// First byte of an encoded snapshot.
const FORMAT: u8 = 1;
/// First byte of one that is told at once: how snapshots were told before.
const FORMAT_WHOLE: u8 = 0x92;
/// Bytes that are encoded at a time.
const STEP: usize = 4 * PART;
/// Bytes that tell the length of the shares.
const LENGTH: usize = 4;

/// What a snapshot holds.
pub type Held = (State, Option<Arc<Shares>>);

/// This machine's own, as of an entry.
pub(super) struct Making {
    pub(super) of: (Index, Term),
    encoder: Encoder,
    bytes: Vec<u8>,
    /// So much of it is on its way to the disk.
    ahead: usize,
    /// The put that carries the last of that, until it is synced.
    pub(super) put: Option<u64>,
}

impl Making {
    /// Begins one of this state; about so long.
    pub(super) fn new(of: (Index, Term), state: &State, shares: Option<&Arc<Shares>>, about: usize) -> Self {
        let mut bytes = Vec::with_capacity(about);
        bytes.push(FORMAT);
        // Writing to memory can't fail for these types.
        let shares = rmp_serde::to_vec(&shares).unwrap_or_default();
        bytes.extend((shares.len() as u32).to_be_bytes());
        bytes.extend(shares);
        Making { of, encoder: state.encoder(), bytes, ahead: 0, put: None }
    }

    /// Encodes a step more; what is to be put on the disk, or nothing: it is whole.
    pub(super) fn step(&mut self) -> Option<Part> {
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
fn part(of: (Index, Term), ahead: &mut usize, bytes: &[u8]) -> Part {
    let (offset, end) = (*ahead, bytes.len() / PART * PART);
    *ahead = end;
    Part { of, offset: offset as u64, data: Bytes::copy_from_slice(&bytes[offset..end]) }
}

/// A leader's.
pub(super) struct Taking {
    of: (Index, Term),
    decoder: Decoder,
    shares: Option<Option<Arc<Shares>>>,
    /// So much of it is decoded.
    at: usize,
    ahead: usize,
    wrong: Option<String>,
}

impl Taking {
    pub(super) fn new(of: (Index, Term)) -> Self {
        Taking { of, decoder: Decoder::default(), shares: None, at: 0, ahead: 0, wrong: None }
    }

    /// Does it go on from what came before?
    pub(super) fn goes_on(&self, of: (Index, Term), bytes: &[u8]) -> bool {
        self.of == of && self.at.max(self.ahead) <= bytes.len()
    }

    /// So much has come; what may be put on the disk.
    pub(super) fn come(&mut self, bytes: &[u8]) -> Option<Part> {
        self.take(bytes);
        (bytes.len() >= self.ahead + PART).then(|| part(self.of, &mut self.ahead, bytes))
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
    pub(super) fn finish(mut self, bytes: &[u8]) -> Result<Held, String> {
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
pub fn decode(bytes: &[u8]) -> Result<Held, String> {
    if bytes.first() == Some(&FORMAT_WHOLE) {
        let (state, shares): (Bytes, Option<Arc<Shares>>) =
            rmp_serde::from_slice(bytes).map_err(|e| e.to_string())?;
        return Ok((State::decode(&state).map_err(|e| e.to_string())?, shares));
    }
    Taking::new((0, 0)).finish(bytes)
}

#[cfg(test)]
#[path = "snapshot_tests.rs"]
mod tests;
