//! Encoding of the messages by which two gatekeepers exchange their state: a preface that every protocol version can
//! read, followed by the body in postcard. Nothing of a message is read unless its preface names the local fleet and
//! protocol version.

use super::membership::{Member, PROTOCOL_VERSION};
use super::replica::{Delta, Digest};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Preface<'a> {
    version: u32,
    #[serde(borrow)]
    cluster: &'a str,
}

/// One side of an exchange: the sender's digest, and changes that the receiver lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// For each origin, the version up to which the sender holds every change.
    pub digest: Digest,
    /// Changes that the receiver lacks.
    #[serde(rename = "pieces")]
    pub deltas: Vec<Delta>,
}

/// Encodes a message body with the preface of a fleet.
pub fn encode(body: &impl Serialize, cluster: &str) -> Vec<u8> {
    postcard::to_stdvec(&(Preface { version: PROTOCOL_VERSION, cluster }, body)).unwrap_or_default()
}

/// Decodes a message body of this fleet and protocol version.
///
/// # Errors
/// One line that says why the message was rejected.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8], cluster: &str) -> Result<T, String> {
    let malformed = |_| "malformed fleet message".to_owned();
    let (preface, body): (Preface<'_>, _) = postcard::take_from_bytes(bytes).map_err(malformed)?;
    if preface.version != PROTOCOL_VERSION {
        return Err(format!(
            "message uses fleet protocol version {}, expected {PROTOCOL_VERSION}",
            preface.version
        ));
    }
    if preface.cluster != cluster {
        return Err(format!("message belongs to fleet {:?}, expected {cluster:?}", preface.cluster));
    }
    postcard::from_bytes(body).map_err(malformed)
}

impl Message {
    /// Encodes the message with the preface of a fleet.
    pub fn encode(&self, cluster: &str) -> Vec<u8> {
        encode(self, cluster)
    }

    /// Decodes a message of this fleet and protocol version.
    ///
    /// # Errors
    /// One line that says why the message was rejected.
    pub fn decode(bytes: &[u8], cluster: &str) -> Result<Message, String> {
        decode(bytes, cluster)
    }

    /// Number of rows in all deltas.
    pub fn row_count(&self) -> usize {
        self.deltas.iter().map(|delta| delta.rows.len()).sum()
    }
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
