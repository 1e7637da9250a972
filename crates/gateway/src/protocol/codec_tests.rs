//! Sizes of messages, and decoding of damaged bytes.

use super::*;
use crate::discovery::{Worker, WorkerPhase};
use bytes::BytesMut;
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
        phase: WorkerPhase::Serving,
        warmup_ms: 0,
        heartbeat_seq: 40,
    };
    let charge = TenantUsage {
        tenant: "yefi830".into(),
        charged: 4000,
        demand: 3.5,
        standing_share: 9.5,
        unused_grant: 12,
        waiting: 0,
    };
    let total = TenantGrant {
        tenant: "yefi830".into(),
        window_total: 60.0,
        charge_limit: 4010,
        standing_share: 9.5,
        retry_after_ms: 0,
    };
    let out = vec![(0xdead_beef, 2); 4];
    let sizes = [
        ("a worker's news", encode(&PeerMessage::WorkerUpdates(vec![worker])).len(), 90),
        (
            "a heartbeat passed on",
            encode(&PeerMessage::Heartbeats(vec![("i-7f3a91c2aa".into(), 40)])).len(),
            30,
        ),
        (
            "a ping",
            encode(&PeerMessage::Ping { config_index: u64::MAX, workers_digest: u64::MAX, received: 90_000 })
                .len(),
            35,
        ),
        (
            "eight tenants' charges",
            encode(&PeerMessage::QuotaSync { request_id: 9000, term: 70, usage: vec![charge; 8] }).len(),
            220,
        ),
        (
            "eight tenants' totals",
            encode(&PeerMessage::QuotaGrants {
                request_id: 9000,
                term: 70,
                is_leader: true,
                grants: vec![total; 8],
            })
            .len(),
            240,
        ),
        (
            "what is out",
            rmp_serde::to_vec(&LoadReport { incarnation: u64::MAX, sequence: 9000, in_flight: out })
                .expect("written")
                .len(),
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
    let whole = encode(&PeerMessage::Heartbeats(vec![("i-1".into(), 7)]));
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
