use super::*;
use crate::net::peer::{delayed_reply, ScriptedPeer, ScriptedReply};

/// Totals must come back in call order: on two connections the later call of a name could overtake the earlier one.
#[test]
fn calls_of_one_name_wait_for_each_other_and_for_no_other_name() {
    let (send_reply, first) = delayed_reply();
    let first = std::sync::Mutex::new(Some(first));
    let peer = ScriptedPeer::start(move |call| match call.start.contains("/a?by=1&") {
        true => first.lock().expect("not poisoned").take().unwrap_or(ScriptedReply::Close),
        false => ScriptedReply::Ok("7"),
    });
    actix_rt::System::new().block_on(async {
        let (core, mut messages) = tokio::sync::mpsc::unbounded_channel();
        let wait = Duration::from_secs(30);
        let counter = CounterClient::new(
            peer.address,
            wait,
            CallTimeouts { call: wait, late: Duration::ZERO },
            MAX_CONNECTIONS,
            core,
        );
        for (name, amount) in [("a", 1.0), ("a", -2.5), ("b", 1.0)] {
            let name = CounterKey(name.into());
            counter.call(CounterCall { name, amount, ttl: Duration::from_secs(4) });
        }
        let mut reported = Vec::new();
        for _ in 0..3 {
            let Some(CoreMessage::CounterReply { name, outcome, total, .. }) = messages.recv().await else {
                panic!("the outcome of a call is expected")
            };
            if reported.is_empty() {
                send_reply.send("1".into()).expect("the counter waits for it");
            }
            reported.push(format!("{} {outcome:?} {total}", name.0));
        }
        assert_eq!(reported, ["b Answered 7", "a Answered 1", "a Answered 7"]);
        // The counter has received every answered call, but the order between connections is not defined.
        let mut seen = peer.take_requests();
        seen.retain(|call| call.contains("/a?"));
        let calls = ["1", "-2.5"].map(|by| format!("POST /counters/a?by={by}&expire_ms=4000 []"));
        assert_eq!(seen, calls);
    });
}

/// A late answer still proves something: the call ends at its timeout, once, and the answer that comes after that is
/// reported as late, once.
#[test]
fn a_call_answered_after_its_timeout_is_reported_twice_and_sent_once() {
    let (send_reply, reply) = delayed_reply();
    let peer = ScriptedPeer::start(move |_| reply.clone());
    actix_rt::System::new().block_on(async {
        let (core, mut messages) = tokio::sync::mpsc::unbounded_channel();
        let (wait, late) = (Duration::from_millis(50), Duration::from_secs(30));
        let counter =
            CounterClient::new(peer.address, late, CallTimeouts { call: wait, late }, MAX_CONNECTIONS, core);
        let name = CounterKey("a".into());
        counter.call(CounterCall { name, amount: 1.0, ttl: Duration::from_secs(4) });
        let Some(CoreMessage::CounterReply { outcome, .. }) = messages.recv().await else {
            panic!("the outcome of the call is expected")
        };
        assert_eq!(outcome, ExchangeOutcome::TimedOut { written: true });
        send_reply.send("9".into()).expect("the counter waits for it");
        let Some(CoreMessage::LateCounterReply { name, total, .. }) = messages.recv().await else {
            panic!("the outcome of a call is expected")
        };
        assert_eq!((&*name.0, total), ("a", 9.0));
        assert!(messages.try_recv().is_err(), "nothing more");
    });
    assert_eq!(peer.take_requests().len(), 1);
}
