//! Length-prefixed framing of [`PeerMessage`]s: four bytes of length, big endian, then MessagePack.

use super::PeerMessage;
use bytes::{Buf, BytesMut};

/// Upper bound on the encoded size of one message; a longer length prefix is a protocol error.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Why received bytes are not a message. The connection they came on can't be used any further.
#[derive(Debug, displaydoc::Display)]
pub enum CodecError {
    /// a message of {0} bytes
    TooLong(usize),
    /// not a message: {0}
    Unreadable(rmp_serde::decode::Error),
}

impl std::error::Error for CodecError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CodecError::TooLong(_) => None,
            CodecError::Unreadable(error) => Some(error),
        }
    }
}

/// The frame of a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    // Writing to memory can't fail for these types.
    if rmp_serde::encode::write(&mut frame, message).is_err() {
        return Vec::new();
    }
    let length = (frame.len() - LENGTH_PREFIX_BYTES) as u32;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Takes the next message off the front of `buffer`; `None` as long as its frame is incomplete.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<PeerMessage>, CodecError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLong(length));
    }
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    let body = buffer.split_to(length);
    rmp_serde::from_slice(&body).map(Some).map_err(CodecError::Unreadable)
}
