//! Owns what the system's own processes say to each other, in MessagePack (`rmp-serde`), each message with its length
//! ahead. It must never decide anything.

pub mod share_ceilings;
#[cfg(test)]
mod wire_fixture_tests;

use crate::configuration::{ConfigChange, ConfigItem};
use crate::consensus::{Index, Message, NodeId};
use crate::control_plane::LogCommand;
use crate::discovery::registry::Worker;
use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// No message is longer.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A core machine, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeLocation {
    /// Its address, which is its name among the core.
    pub ip: IpAddr,
    /// Its zone; empty where only its address is known.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// What a gatekeeper tells the counter of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Whose.
    pub tenant: String,
    /// Units charged in this life of the gatekeeper, less those taken back.
    pub charged: i64,
    /// Requests a second that ask here, admitted or not.
    pub asks: f32,
    /// Standing share that it holds, units a second.
    pub share: f32,
    /// Units that it was granted and has not charged.
    pub left: u32,
    /// Requests that wait for this.
    pub waits: u32,
}

/// What the counter says of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// Whose.
    pub tenant: String,
    /// Units in the window over all gatekeepers, as last added.
    pub total: f32,
    /// The gatekeeper may charge up to so many units of its life.
    pub until: i64,
    /// Its standing share for when the counter can't be reached, units a second.
    pub share: f32,
    /// Milliseconds until there is room again; 0: there is room.
    pub empty_ms: u32,
}

/// What an operator wants of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Items change.
    Amend(ConfigChange),
    /// What stands?
    Read,
    /// A call that can't be read is to be refused, with this reason.
    Refuse(String),
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// It is taken.
    Taken,
    /// It is refused, with this status and reason.
    Refused(u16, String),
    /// It may be taken or not: the caller is to ask again.
    Unclear(String),
    /// What stands as of this entry, or a later one, answers a read.
    Read(Index),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The first on a connection: who calls. `life` differs for every start of a process.
    Hello {
        /// The machine's name.
        node: String,
        /// The start.
        life: u64,
        /// Where it is.
        me: NodeLocation,
        /// Is it of the core?
        core: bool,
    },
    /// Gatekeepers that were seen lately: all, or what changed since what was told before on this connection.
    Gates {
        /// Are these all?
        whole: bool,
        /// Those that are there, by zone.
        here: Vec<(String, Vec<IpAddr>)>,
        /// Those that are not any more.
        gone: Vec<IpAddr>,
    },
    /// Core machines that are known.
    Members(Vec<NodeLocation>),
    /// Sent in each direction while nothing else is: what is held of configuration and workers.
    Ping {
        /// The entry that changed the configuration last, as held.
        config: u64,
        /// Of the workers.
        workers: u64,
        /// Messages that the sender has heard on this connection (a gatekeeper's ping).
        heard: u64,
    },
    /// The answer of a core machine: who holds the counter, and how many gatekeepers there are.
    Pong {
        /// The holder, if one is known.
        holder: Option<IpAddr>,
        /// Gatekeepers seen lately.
        gates: u32,
        /// Core machines that are known.
        core: u32,
        /// Was every worker that lives told on this connection by now, as far as most of the core knows?
        settled: bool,
    },
    /// What stands as of an entry of the log (`from`: none), or what that entry changed behind the one before.
    Config {
        /// The entry that changed it before.
        from: Option<Index>,
        /// The entry.
        index: Index,
        /// Items; without body: dropped.
        items: Vec<ConfigItem>,
    },
    /// Workers whose state is news.
    Workers(Vec<Worker>),
    /// All workers that a core machine knows; `settled`: who is not among them is gone.
    AllWorkers {
        /// The workers.
        workers: Vec<Worker>,
        /// Has it listened for long enough?
        settled: bool,
    },
    /// Workers that were heard of lately, by id and call count.
    Alive(Vec<(String, u64)>),
    /// Workers' news that the sender wants to know to be held.
    Hold {
        /// Comes back.
        ask: u64,
        /// The news.
        workers: Vec<Worker>,
    },
    /// It is held, in memory.
    Held {
        /// As asked.
        ask: u64,
    },
    /// The replicated log, from one member to another.
    Raft {
        /// Who says it.
        from: NodeId,
        /// To whom: a machine that has another disk now is not meant.
        to: NodeId,
        /// What.
        message: Message<LogCommand>,
    },
    /// A core machine ends, by its operator's word: it need not vote any more.
    Leave {
        /// Which.
        id: NodeId,
    },
    /// A core machine with this disk is there, and hears no leader.
    Join {
        /// Who.
        id: NodeId,
        /// Was it passed on? Then it goes no further.
        passed: bool,
    },
    /// A call of an operator, for the leader.
    Forward {
        /// Comes back.
        ask: u64,
        /// The call.
        wish: OperatorRequest,
    },
    /// The leader's answer to it.
    Forwarded {
        /// As asked.
        ask: u64,
        /// The answer.
        answer: OperatorResponse,
    },
    /// Charges of a gatekeeper.
    Sync {
        /// Comes back.
        ask: u64,
        /// The highest term of a holder that has answered the gatekeeper.
        term: u64,
        /// By tenant.
        charges: Vec<TenantUsage>,
    },
    /// What holds now; `held`: false where the asked one does not hold the counter.
    Totals {
        /// As asked.
        ask: u64,
        /// The holder's term.
        term: u64,
        /// Does it hold the counter?
        held: bool,
        /// By tenant.
        totals: Vec<TenantGrant>,
    },
}

/// What a gatekeeper has out, told to the others in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The start of the gatekeeper.
    pub life: u64,
    /// Rises with each.
    pub number: u64,
    /// Attempts out by worker (the low half of its name's hash); others: none.
    pub out: Vec<(u32, u16)>,
}

/// Why bytes are no message.
#[derive(Debug, displaydoc::Display)]
pub enum CodecError {
    /// a message of {0} bytes
    TooLong(usize),
    /// not a message: {0}
    Unreadable(rmp_serde::decode::Error),
}

/// A message as it goes on the wire.
pub fn encode(msg: &PeerMessage) -> Vec<u8> {
    let mut out = vec![0; 4];
    // Writing to memory can't fail for these types.
    if rmp_serde::encode::write(&mut out, msg).is_err() {
        return Vec::new();
    }
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// The next whole message, if there is one.
pub fn decode(read: &mut BytesMut) -> Result<Option<PeerMessage>, CodecError> {
    let Some(head) = read.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLong(length));
    }
    if read.len() < 4 + length {
        return Ok(None);
    }
    read.advance(4);
    let body = read.split_to(length);
    rmp_serde::from_slice(&body).map(Some).map_err(CodecError::Unreadable)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::discovery::registry::WorkerPhase;
    use googletest::prelude::*;

    /// Guards the bytes between zones, which are dear: what a change, a heartbeat and the regular calls cost
    /// (docs/system.md goes by these).
    #[gtest]
    fn messages_are_as_small_as_the_docs_say() {
        let worker = Worker {
            id: "i-7f3a91c2aa".into(),
            service: "huvo11a".into(),
            address: ([10, 128, 0, 9], 8080).into(),
            zone: "cluj-sala-a".into(),
            capacity: 2,
            phase: WorkerPhase::Settled,
            warmup_ms: 0,
            calls: 40,
        };
        let charge = TenantUsage {
            tenant: "yefi830".into(),
            charged: 4000,
            asks: 3.5,
            share: 9.5,
            left: 12,
            waits: 0,
        };
        let total =
            TenantGrant { tenant: "yefi830".into(), total: 60.0, until: 4010, share: 9.5, empty_ms: 0 };
        let out = vec![(0xdead_beef, 2); 4];
        let sizes = [
            ("a worker's news", encode(&PeerMessage::Workers(vec![worker])).len(), 90),
            (
                "a heartbeat passed on",
                encode(&PeerMessage::Alive(vec![("i-7f3a91c2aa".into(), 40)])).len(),
                30,
            ),
            (
                "a ping",
                encode(&PeerMessage::Ping { config: u64::MAX, workers: u64::MAX, heard: 90_000 }).len(),
                35,
            ),
            (
                "eight tenants' charges",
                encode(&PeerMessage::Sync { ask: 9000, term: 70, charges: vec![charge; 8] }).len(),
                220,
            ),
            (
                "eight tenants' totals",
                encode(&PeerMessage::Totals { ask: 9000, term: 70, held: true, totals: vec![total; 8] })
                    .len(),
                240,
            ),
            (
                "what is out",
                rmp_serde::to_vec(&LoadReport { life: u64::MAX, number: 9000, out }).expect("written").len(),
                45,
            ),
        ];
        for (what, size, most) in sizes {
            expect_that!(size, le(most), "{what}");
        }
    }

    /// Guards processes against bytes that are no message, wherever they are cut or changed.
    #[gtest]
    fn bytes_that_are_no_message_are_turned_back_whole() {
        let whole = encode(&PeerMessage::Alive(vec![("i-1".into(), 7)]));
        for end in 0..whole.len() {
            expect_that!(matches!(decode(&mut BytesMut::from(&whole[..end])), Ok(None)), eq(true));
        }
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..2000 {
            let mut bytes = whole.clone();
            let at = rng.usize(4..bytes.len());
            bytes[at] = rng.u8(..);
            // Never a panic; what is read as something else is some other message.
            let _ = decode(&mut BytesMut::from(&bytes[..]));
        }
        let mut long = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
        expect_that!(decode(&mut long), err(anything()));
    }
}
