use super::*;
use tokio::sync::oneshot;
use whinstall::{settings, Availability, CustomerId};

/// A transport that swallows every attempt: its outcome is never reported.
struct BlackHole;

impl Transport for BlackHole {
    type Request = ();
    type Response = ();
    fn start_attempt(&self, _: Attempt<()>) {}
    fn call_counter(&self, _: CounterCall) {}
    fn close_idle(&self, _: &HostId) {}
}

/// Starts a core with one node that swallows everything.
fn start() -> Sender<BlackHole> {
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
    let core = Core::new(Gateway::new(settings, 7), Clock::start(), BlackHole, sender.clone(), 5);
    actix_rt::spawn(core.run(messages));
    let _ = sender.send(CoreMessage::Endpoints { scope: ListScope::Restored, entries: vec![node] });
    sender
}

fn submit(sender: &Sender<BlackHole>) -> oneshot::Receiver<SessionResult<()>> {
    let (sends_result, result) = oneshot::channel();
    let _ = sender.send(CoreMessage::NewSession(Box::new(NewSession {
        id: RequestId("r1".into()),
        class: "issue".into(),
        plan: "standard".into(),
        customer: CustomerId("c".into()),
        deadline: Instant::now() + Duration::from_millis(500),
        units: 1.0,
        gateway_count: 1,
        request: (),
        result: sends_result,
    })));
    result
}

/// A session that nothing ends must not leave its client without a result.
#[test]
fn a_session_that_nothing_ends_fails_at_its_deadline() {
    let result = actix_rt::System::new().block_on(async { submit(&start()).await });
    assert_eq!(result, Ok(SessionResult::Failed));
}

/// A client must not be affected by another one that sends the id of its open request and disconnects.
#[test]
fn a_second_client_of_an_id_that_disconnects_ends_nothing() {
    let (first, second) = actix_rt::System::new().block_on(async {
        let sender = start();
        let (first, second) = (submit(&sender), submit(&sender));
        let second = second.await;
        let _ = sender.send(CoreMessage::ClientDisconnected(RequestId("r1".into())));
        (first.await, second)
    });
    assert_eq!((first, second), (Ok(SessionResult::Failed), Ok(SessionResult::DuplicateId)));
}
