use super::*;
use crate::net::peer::{ok_response, PeerEvent, ScriptedPeer, ScriptedReply, BOUND};
use std::time::Instant;

fn peer(name: &str, scripted: &ScriptedPeer) -> Peer {
    Peer { name: name.into(), address: scripted.address }
}

async fn get(client: &UpstreamClient, peer: &Peer, may_send: bool) -> (ExchangeOutcome, Bytes) {
    let request = Request::plain(Method::GET, PathAndQuery::from_static("/preview"));
    let options = ExchangeOptions { timeout: BOUND, may_send: Box::new(move || may_send) };
    let (outcome, response) = client.exchange(peer, request, options, std::future::pending()).await;
    (outcome, response.map(|r| r.body).unwrap_or_default())
}

/// Nothing may be sent to a node that begins to drain while a connection is established, nor beyond the connection
/// limit, which bounds the file descriptors.
#[test]
fn nothing_is_sent_without_permission_or_without_a_free_connection() {
    let scripted = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let outcome = |max_connections, may_send| {
        actix_rt::System::new().block_on(async {
            get(&UpstreamClient::new(BOUND, BOUND, max_connections), &peer("n0", &scripted), may_send).await.0
        })
    };
    assert_eq!((outcome(1, false), outcome(0, true)), (ExchangeOutcome::Withdrawn, ExchangeOutcome::NotSent));
    assert_eq!(scripted.take_requests().len(), 0);
    assert_eq!((outcome(1, true), scripted.take_requests().len()), (ExchangeOutcome::Answered, 1));
}

/// At the connection limit only the connection idle longest is closed: closing all idle ones costs a new handshake
/// for each.
#[test]
fn the_connection_idle_longest_is_evicted_at_the_limit() {
    let peers = [(); 3].map(|()| ScriptedPeer::start(|_| ScriptedReply::Ok("drafted")));
    actix_rt::System::new().block_on(async {
        let client = UpstreamClient::new(BOUND, BOUND, 2);
        for (n, scripted) in peers.iter().enumerate() {
            let outcome = get(&client, &peer(&format!("n{n}"), scripted), true).await.0;
            assert_eq!(outcome, ExchangeOutcome::Answered);
        }
        assert_eq!(client.pool.idle_peers(), ["n1", "n2"]);
    });
}

/// Only a complete response to the request is accepted, and no valid response is rejected. Nodes in service send each
/// of these responses.
#[test]
fn only_the_complete_response_to_a_request_is_accepted() {
    let early = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let twice = ok_response("first") + &ok_response("second");
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";
    let claim = format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(1000));
    let answers = [
        (early.to_owned() + &ok_response("first"), ExchangeOutcome::Answered),
        (twice, ExchangeOutcome::Answered),
        (ok_response("first") + "noise", ExchangeOutcome::Answered),
        (chunked.to_owned() + "0\r\n\r\n", ExchangeOutcome::Answered),
        (chunked.to_owned() + "five\r\n", ExchangeOutcome::InvalidResponse),
        (claim, ExchangeOutcome::InvalidResponse),
        ("HTTP/1.1 200 OK\r\n\r\nfirst".to_owned(), ExchangeOutcome::InvalidResponse),
        (
            ok_response("first").replace("Content-Length", "Content-Length: 3\r\nContent-Length"),
            ExchangeOutcome::InvalidResponse,
        ),
    ];
    let truncated = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst", ExchangeOutcome::ConnectionLost),
        (chunked, ExchangeOutcome::ConnectionLost),
    ];
    let answers = answers.map(|(text, end)| (ScriptedReply::Raw(text), end)).into_iter();
    for (reply, expected) in answers.chain(truncated.map(|(text, end)| (ScriptedReply::ThenClose(text), end)))
    {
        let what = format!("{reply:?}");
        let reply = std::sync::Mutex::new(Some(reply));
        let scripted = ScriptedPeer::start(move |_| {
            reply.lock().expect("lock not poisoned").take().unwrap_or(ScriptedReply::Ok("next"))
        });
        let peer = peer("n0", &scripted);
        actix_rt::System::new().block_on(async {
            let client = UpstreamClient::new(BOUND, BOUND, 2);
            let (first, next) = (get(&client, &peer, true).await, get(&client, &peer, true).await);
            let body = if expected == ExchangeOutcome::Answered { "first" } else { "" };
            assert_eq!((first.0, &first.1[..]), (expected, body.as_bytes()), "{what}");
            assert_eq!((next.0, &next.1[..]), (ExchangeOutcome::Answered, &b"next"[..]), "after {what}");
        });
    }
}

/// An informational response must be acknowledged at once: a peer may wait for the acknowledgement before it sends the
/// final response, and the kernel delays acknowledgements by up to 40 ms.
#[cfg(target_os = "linux")]
#[test]
fn an_informational_response_does_not_delay_the_final_one() {
    let early = "HTTP/1.1 100 Continue\r\n\r\n".to_owned();
    let scripted =
        ScriptedPeer::start(move |_| ScriptedReply::TwoParts([early.clone(), ok_response("drafted")]));
    actix_rt::System::new().block_on(async {
        let client = UpstreamClient::new(BOUND, BOUND, 2);
        let mut times = Vec::new();
        for _ in 0..9 {
            let started = Instant::now();
            let outcome = get(&client, &peer("n0", &scripted), true).await;
            assert_eq!(outcome, (ExchangeOutcome::Answered, "drafted".into()));
            times.push(started.elapsed());
        }
        times.sort_unstable();
        assert!(times[4] < Duration::from_millis(30), "{times:?}");
    });
}

/// A pooled connection must not be used for a node that started at the address of a former node, and closing the idle
/// connections of one peer must not close those of another at the same address.
#[test]
fn a_connection_is_reused_only_for_its_own_peer() {
    let scripted = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    actix_rt::System::new().block_on(async {
        let client = UpstreamClient::new(BOUND, BOUND, 4);
        let (old, new) = (peer("n0", &scripted), peer("n1", &scripted));
        for peer in [&old, &old, &new] {
            assert_eq!(get(&client, peer, true).await.0, ExchangeOutcome::Answered);
        }
        assert_eq!(client.open_connections(), 2);
        client.retain_idle(|name, _| name == "n1");
        assert_eq!((client.open_connections(), client.pool.idle_peers().len()), (1, 1));
        let closed = std::iter::from_fn(|| Some(scripted.next_event()))
            .take(4)
            .filter(|s| matches!(s, PeerEvent::Closed));
        assert_eq!(closed.count(), 1);
    });
}
