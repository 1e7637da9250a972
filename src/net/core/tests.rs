use super::*;
use tokio::sync::oneshot;
use whinstall::{settings, Availability, CustomerId};

/// A transport that discards every attempt and never reports an outcome.
struct DiscardingTransport;

impl Transport for DiscardingTransport {
    type Request = ();
    type Response = ();
    fn start_attempt(&self, _: Attempt<()>) {}
    fn call_counter(&self, _: CounterCall) {}
    fn close_idle(&self, _: &HostId) {}
}

/// Starts a core with one node and a transport that discards every attempt.
fn start() -> Sender<DiscardingTransport> {
    let json = serde_json::from_str(include_str!("../../../tests/common/settings.json"));
    let (settings, _) = settings::read(json.expect("JSON")).expect("settings");
    let node = HostEntry {
        host: HostId("n0".into()),
        zone: "hall-a".into(),
        group: 0,
        kind: "std".into(),
        availability: Availability::Ready,
        nominal_capacity: 1.0,
        last_start: None,
    };
    let (sender, messages) = mpsc::unbounded_channel();
    let core = Core::new(Gateway::new(settings, 7), Clock::start(), DiscardingTransport, sender.clone(), 5);
    actix_rt::spawn(core.run(messages));
    let _ = sender.send(CoreMessage::Endpoints { scope: ListScope::Restored, entries: vec![node] });
    sender
}

fn submit(sender: &Sender<DiscardingTransport>) -> oneshot::Receiver<SessionResult<()>> {
    let (result_sender, result) = oneshot::channel();
    let _ = sender.send(CoreMessage::NewSession(Box::new(NewSession {
        id: RequestId("r1".into()),
        class: "issue".into(),
        plan: "standard".into(),
        customer: CustomerId("c".into()),
        deadline: Instant::now() + Duration::from_millis(500),
        units: 1.0,
        gateway_count: 1,
        request: (),
        result: result_sender,
    })));
    result
}

/// A session whose attempt is never reported must still give its client a result.
#[test]
fn a_session_without_an_outcome_fails_at_its_deadline() {
    let result = actix_rt::System::new().block_on(async { submit(&start()).await });
    assert_eq!(result, Ok(SessionResult::Failed));
}

/// A second client that sends the id of an open request and disconnects must not end the first client's session.
#[test]
fn a_disconnect_of_a_second_client_with_the_same_id_ends_no_session() {
    let (first, second) = actix_rt::System::new().block_on(async {
        let sender = start();
        let (first, second) = (submit(&sender), submit(&sender));
        let second = second.await;
        let _ = sender.send(CoreMessage::ClientDisconnected(RequestId("r1".into())));
        (first.await, second)
    });
    assert_eq!((first, second), (Ok(SessionResult::Failed), Ok(SessionResult::DuplicateId)));
}
