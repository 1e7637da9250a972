//! Owns the decisions: the one task that holds the module's [`Gateway`], the sessions and all timers. A queue is
//! the only way in, the [`Ports`] are the only way out. It must never touch a socket, wait for one, or know a
//! header, a path or a shape of JSON: whatever a front speaks, sessions come in and answers go out as here.

use super::halls::{HallsDesk, Told};
use super::outcome::{ConnectionEnd, Peer};
use super::report::CounterLog;
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{mpsc, oneshot};
use whinstall::{
    Action, CeilingPart, Copies, CountName, CustomerId, Event, Gateway, HostEntry, HostId, Known, Legacy,
    ListScope, RequestId, Settings,
};

/// A session is ended by the core itself so long after its client gave up, should nothing else have ended it.
const OVERDUE: Duration = Duration::from_millis(5);
/// Halls in force are looked at this often, for their ramps and hold-offs.
const HALLS_LOOK: Duration = Duration::from_millis(250);
/// The counter's modes are looked at this often, to be logged.
const COUNTER_LOOK: Duration = Duration::from_millis(500);

/// The module's clock: Unix time, so that every gatekeeper has the same windows and a node's start can be told
/// against it, but it never jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    at_start: Duration,
}

impl Clock {
    /// Reads the system's clock once; from then on time only passes.
    pub fn start() -> Self {
        let at_start = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), at_start }
    }

    /// Time now.
    pub fn now(&self) -> Duration {
        self.at_start + self.started.elapsed()
    }
}

/// What carries out decisions on the outside.
pub trait Ports {
    /// What a front hands in with a session; dispatches get it back untouched.
    type Request;
    /// A node's answer; the session's front gets it untouched.
    type Reply;
    /// Begins a dispatch; it reports exactly one [`Input::DispatchEnded`].
    fn dispatch(&self, dispatch: Dispatch<Self::Request>);
    /// Calls the counter; it reports exactly one [`Input::Counted`].
    fn count(&self, call: CounterCall);
    /// Closes the idle connections to a node.
    fn close_idle(&self, node: &HostId);
}

/// One attempt of a session at a node.
pub struct Dispatch<Q> {
    /// The session.
    pub id: RequestId,
    /// Its number within the session, from 0.
    pub number: u32,
    /// The node, as the server table names it.
    pub node: HostId,
    /// What to send.
    pub request: Rc<Q>,
    /// How long to wait for the answer.
    pub within: Duration,
    /// Resolves when it is called off.
    pub called_off: oneshot::Receiver<()>,
}

/// One call to the counter.
pub struct CounterCall {
    /// Name of the count.
    pub name: CountName,
    /// What to add.
    pub amount: f64,
    /// Life of a new name.
    pub keep: Duration,
}

/// The final answer to a session.
#[derive(Debug, PartialEq)]
pub enum Answer<A> {
    /// A node's answer.
    Served(A),
    /// Denied; trying again is harmless, after this time at best.
    Denied(Option<Duration>),
    /// Failed, with no promise.
    Failed,
    /// A session of this id is under way already.
    Doubled,
}

/// A session as its front hands it in.
pub struct NewSession<P: Ports> {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: String,
    /// Its customer's plan.
    pub plan: String,
    /// Its customer.
    pub customer: CustomerId,
    /// Until then its client waits.
    pub deadline: Instant,
    /// Units that it draws.
    pub units: f64,
    /// Gatekeepers through which its customer comes.
    pub width: u32,
    /// What dispatches send.
    pub request: P::Request,
    /// Takes the one answer.
    pub reply: oneshot::Sender<Answer<P::Reply>>,
}

/// What the queue carries.
pub enum Input<P: Ports> {
    /// A session begins.
    Session(Box<NewSession<P>>),
    /// A session's client has left.
    Departed(RequestId),
    /// A dispatch has ended.
    DispatchEnded {
        /// Its session.
        id: RequestId,
        /// Its number.
        number: u32,
        /// Its node.
        node: HostId,
        /// How it ended.
        end: ConnectionEnd,
        /// The answer, where one is to be passed on.
        reply: Option<P::Reply>,
        /// What it told of the customer's use over all gatekeepers, as a part of its rate.
        metered: Option<f64>,
        /// Time since it began.
        took: Duration,
    },
    /// A call to the counter has ended.
    Counted {
        /// Name of the count.
        name: CountName,
        /// How it ended.
        end: ConnectionEnd,
        /// The total, where told.
        total: f64,
        /// Time since the call.
        took: Duration,
    },
    /// A call to the counter that had ended by its wait was answered after it.
    CountedLate {
        /// Name of the count.
        name: CountName,
        /// The total.
        total: f64,
        /// Time since the call.
        took: Duration,
    },
    /// The server table has changed.
    ServerTable(ListScope, Vec<HostEntry>),
    /// Settings of halls read again: they replace those in force, if any.
    Halls(Box<whinstall::halls::HallSettings>),
    /// What this gateway charged and saw is asked for, to be copied.
    Known(oneshot::Sender<Known>),
    /// What other gateways, and former lives of this one, charged and saw: all that is known.
    Copies(Box<Copies>),
    /// From now on hard ceilings are divided over the fleet, but for this part of the even shares.
    DivideCeilings(f64),
    /// What this gateway was given of ceilings.
    Given(Vec<CeilingPart>),
    /// Settings read again: what comes from now on goes by them.
    Settings(Box<Settings>),
    /// Another process takes over: what the module knows is handed on.
    Bequeath(oneshot::Sender<Legacy>),
    /// The other process did not take over after all.
    Resume(Box<Legacy>),
    /// This process takes over from another that knew this.
    Inherit(Box<Legacy>),
}

/// The way into the queue.
pub type Queue<P> = mpsc::UnboundedSender<Input<P>>;

/// A session that is owed an answer or has a dispatch under way.
struct Session<P: Ports> {
    request: Rc<P::Request>,
    reply: Option<oneshot::Sender<Answer<P::Reply>>>,
    deadline: Duration,
    overdue: (Duration, u64),
    /// The most dispatches, by the settings that it came under.
    max_attempts: usize,
    /// What calls each dispatch off, in the order they began.
    dispatches: Vec<Option<oneshot::Sender<()>>>,
}

enum Timer {
    Module(String),
    Overdue(RequestId),
    /// A dispatch that has had no answer for the halls' silence span, if still out.
    Silence(RequestId, u32, HostId),
    Halls,
    /// The counter's modes are looked at.
    Counter,
}

/// The state of the task.
pub struct Core<P: Ports> {
    gateway: Gateway,
    clock: Clock,
    ports: P,
    queue: Queue<P>,
    max_attempts: usize,
    sessions: HashMap<RequestId, Session<P>>,
    timers: BTreeMap<(Duration, u64), Timer>,
    timers_set: u64,
    actions: Vec<Action>,
    halls: Option<HallsDesk>,
    counter: CounterLog,
}

impl<P: Ports> Core<P> {
    /// Takes over the module; `queue` leads back to this task.
    pub fn new(gateway: Gateway, clock: Clock, ports: P, queue: Queue<P>, max_attempts: u32) -> Self {
        let mut core = Core {
            gateway,
            clock,
            ports,
            queue,
            max_attempts: max_attempts as usize,
            sessions: HashMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            actions: Vec::new(),
            halls: None,
            counter: CounterLog::default(),
        };
        core.set_timer(clock.now() + COUNTER_LOOK, Timer::Counter);
        core
    }

    /// Puts halls in force: from now on hosts are weighed by their halls' shares.
    pub fn with_halls(mut self, desk: HallsDesk) -> Self {
        self.halls = Some(desk);
        let at = self.clock.now() + HALLS_LOOK;
        self.set_timer(at, Timer::Halls);
        self
    }

    /// Tells the module the halls' shares where they changed.
    fn tell_halls(&mut self) {
        let now = self.clock.now();
        let Some(desk) = self.halls.as_mut() else { return };
        desk.turned_out(now, self.gateway.turned_out());
        if let Some(Told { parts, spill, unplaced }) = desk.changed(now) {
            self.handle(Event::Halls { parts, spill, unplaced });
        }
    }

    /// Serves the queue and the timers for as long as the program runs.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input<P>>) {
        loop {
            let wait = self.next_timer();
            tokio::select! {
                biased;
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    // All that is ready is taken in one wake.
                    while let Ok(input) = inputs.try_recv() {
                        self.take(input);
                    }
                }
                () = wait => {}
            }
            self.fire_timers();
        }
    }

    fn next_timer(&self) -> impl Future<Output = ()> {
        let now = self.clock.now();
        let due = self.timers.first_key_value().map(|((at, _), _)| at.saturating_sub(now));
        async move {
            match due {
                Some(due) => tokio::time::sleep(due).await,
                None => std::future::pending().await,
            }
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Timer::Module(token) => self.handle(Event::Timer { token }),
                Timer::Overdue(id) => self.overdue(id),
                Timer::Silence(id, number, node) => {
                    let out = self.sessions.get(&id).and_then(|s| s.dispatches.get(number as usize));
                    if let (Some(Some(_)), Some(desk)) = (out, self.halls.as_mut()) {
                        desk.silent(now, &node);
                        self.tell_halls();
                    }
                }
                Timer::Counter => {
                    self.counter.look(now, self.gateway.counter_report());
                    self.set_timer(now + COUNTER_LOOK, Timer::Counter);
                }
                Timer::Halls => {
                    self.tell_halls();
                    self.set_timer(now + HALLS_LOOK, Timer::Halls);
                }
            }
        }
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) -> (Duration, u64) {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
        (at, self.timers_set)
    }

    fn take(&mut self, input: Input<P>) {
        match input {
            Input::Session(session) => self.begin(*session),
            Input::Departed(id) => self.depart(id),
            Input::DispatchEnded { id, number, node, end, reply, metered, took } => {
                self.dispatch_ended(id, number, node, end, reply, metered, took);
            }
            Input::Counted { name, end, total, took } => {
                self.handle(Event::Counted { name, ending: end.ending(Peer::Counter), total, delay: took });
            }
            Input::CountedLate { name, total, took } => {
                self.handle(Event::CountedLate { name, total, delay: took });
            }
            Input::ServerTable(scope, entries) => {
                let now = self.clock.now();
                if let Some(desk) = self.halls.as_mut() {
                    desk.table(now, scope, &entries);
                }
                self.handle(Event::Hosts { scope, entries });
                self.tell_halls();
            }
            Input::Known(to) => {
                let _ = to.send(self.gateway.known());
            }
            Input::Copies(told) => self.gateway.elsewhere(*told),
            Input::DivideCeilings(floor) => self.gateway.divide_ceilings(floor),
            Input::Given(parts) => self.gateway.given(self.clock.now().as_secs_f64(), parts),
            Input::Settings(settings) => {
                self.max_attempts = settings.max_attempts.max(1) as usize;
                self.gateway.retune(*settings);
            }
            Input::Bequeath(to) => {
                let _ = to.send(self.gateway.bequeath());
            }
            Input::Resume(legacy) => self.gateway.resume(&legacy),
            Input::Inherit(legacy) => self.gateway.inherit(*legacy),
            Input::Halls(settings) => {
                let now = self.clock.now();
                if let Some(desk) = self.halls.take() {
                    self.halls = Some(desk.renewed(*settings, now));
                    self.tell_halls();
                }
            }
        }
    }

    fn begin(&mut self, new: NewSession<P>) {
        // Guards against two sessions of one id: the module takes no notice of the second, which would then
        // never be answered.
        if self.sessions.contains_key(&new.id) {
            let _ = new.reply.send(Answer::Doubled);
            return;
        }
        let now = self.clock.now();
        let budget = new.deadline.saturating_duration_since(Instant::now());
        let deadline = now + budget;
        let overdue = self.set_timer(deadline + OVERDUE, Timer::Overdue(new.id.clone()));
        let session = Session {
            request: Rc::new(new.request),
            reply: Some(new.reply),
            deadline,
            overdue,
            max_attempts: self.max_attempts,
            dispatches: Vec::new(),
        };
        self.sessions.insert(new.id.clone(), session);
        let (id, class, plan, customer) = (new.id, new.class, new.plan, new.customer);
        self.handle(Event::Request { id, class, plan, customer, budget, units: new.units, width: new.width });
    }

    fn depart(&mut self, id: RequestId) {
        // An answer that crossed the client's leaving has ended the session: then there is nothing to tell. And
        // one whose answer is still waited for is another client's, which only has the same id.
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.reply.take_if(|reply| reply.is_closed()).is_some() {
            self.handle(Event::Departed { id: id.clone() });
            self.forget_if_over(&id);
        }
    }

    /// Guards against a session that nothing ends: its client hears a failure rather than nothing.
    fn overdue(&mut self, id: RequestId) {
        if self.sessions.get(&id).is_some_and(|s| s.reply.is_some()) {
            tracing::warn!(session = %id.0, "session overdue: failed by the core");
            self.answer(&id, Answer::Failed);
            self.handle(Event::Departed { id: id.clone() });
            self.forget_if_over(&id);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn dispatch_ended(
        &mut self,
        id: RequestId,
        number: u32,
        node: HostId,
        end: ConnectionEnd,
        reply: Option<P::Reply>,
        metered: Option<f64>,
        took: Duration,
    ) {
        let ending = end.ending(Peer::Node);
        tracing::debug!(session = %id.0, number, node = %node.0, ?end, ?took, "dispatch ended");
        if let Some(session) = self.sessions.get_mut(&id) {
            session.dispatches[number as usize] = None;
        }
        if let Some(desk) = self.halls.as_mut() {
            desk.ended(self.clock.now(), &node, end, took);
        }
        if let (whinstall::Ending::Ok, Some(reply)) = (ending, reply) {
            self.answer(&id, Answer::Served(reply));
        }
        let done = self.sessions.get(&id).is_none_or(|s| s.reply.is_none());
        let (delay, host) = (took, node);
        self.handle(Event::Outcome {
            id: id.clone(),
            attempt: number,
            host,
            ending,
            done,
            delay,
            cost: 0.0,
            metered,
        });
        self.tell_halls();
        self.forget_if_over(&id);
    }

    fn answer(&mut self, id: &RequestId, answer: Answer<P::Reply>) {
        if let Some(reply) = self.sessions.get_mut(id).and_then(|s| s.reply.take()) {
            let _ = reply.send(answer);
        }
    }

    fn forget_if_over(&mut self, id: &RequestId) {
        let over = |s: &Session<P>| s.reply.is_none() && s.dispatches.iter().all(Option::is_none);
        if self.sessions.get(id).is_some_and(over) {
            if let Some(session) = self.sessions.remove(id) {
                self.timers.remove(&session.overdue);
            }
        }
    }

    /// Tells the module and carries out what it decides.
    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, host, timeout } => self.dispatch(id, host, timeout),
            Action::Cancel { id, attempt } => {
                let dispatches = self.sessions.get_mut(&id).map(|s| &mut s.dispatches);
                // Dropping the sender calls the dispatch off; its end is still reported.
                if let Some(call_off) = dispatches.and_then(|d| d.get_mut(attempt as usize)?.as_mut()) {
                    let (unused, _) = oneshot::channel();
                    let _ = std::mem::replace(call_off, unused).send(());
                }
            }
            Action::Refuse { id, stay_away } => {
                self.answer(&id, Answer::Denied(stay_away));
                self.forget_if_over(&id);
            }
            Action::Fail { id } => {
                self.answer(&id, Answer::Failed);
                self.forget_if_over(&id);
            }
            Action::Count { name, amount, keep } => self.ports.count(CounterCall { name, amount, keep }),
            Action::Close { host } => self.ports.close_idle(&host),
            Action::Timer { after, token } => {
                let at = self.clock.now() + after;
                self.set_timer(at, Timer::Module(token));
            }
            // Nodes may not be probed here, and the server table is watched in any case.
            Action::Probe { host } => tracing::warn!(node = %host.0, "probe not permitted: ignored"),
            Action::Subscribe => {}
        }
    }

    fn dispatch(&mut self, id: RequestId, node: HostId, timeout: Option<Duration>) {
        let now = self.clock.now();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let number = session.dispatches.len() as u32;
        let left = session.deadline.saturating_sub(now);
        let within = timeout.unwrap_or(left).min(left);
        let over =
            session.reply.is_none() || left.is_zero() || session.dispatches.len() >= session.max_attempts;
        let (call_off, called_off) = oneshot::channel();
        session.dispatches.push(Some(call_off));
        if over {
            let (end, took) = (ConnectionEnd::NotBegun, Duration::ZERO);
            let _ = self.queue.send(Input::DispatchEnded {
                id,
                number,
                node,
                end,
                reply: None,
                metered: None,
                took,
            });
            return;
        }
        let request = Rc::clone(&session.request);
        if let Some(desk) = self.halls.as_mut() {
            desk.sent(now);
            let at = now + desk.silence();
            self.set_timer(at, Timer::Silence(id.clone(), number, node.clone()));
        }
        self.ports.dispatch(Dispatch { id, number, node, request, within, called_off });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use whinstall::{settings, Availability};

    /// Ports that swallow every dispatch: its end is never reported.
    struct Silence;

    impl Ports for Silence {
        type Request = ();
        type Reply = ();
        fn dispatch(&self, _: Dispatch<()>) {}
        fn count(&self, _: CounterCall) {}
        fn close_idle(&self, _: &HostId) {}
    }

    /// Starts a core before a node that swallows everything; returns the way in.
    fn start() -> Queue<Silence> {
        let told = serde_json::from_str(include_str!("../../../tests/common/settings.json"));
        let (settings, _) = settings::read(told.expect("JSON")).expect("settings");
        let node = HostEntry {
            host: HostId("n0".into()),
            zone: "hall-a".into(),
            group: 0,
            kind: "std".into(),
            availability: Availability::Ready,
            nominal: 1.0,
            last_start: None,
        };
        let (queue, inputs) = mpsc::unbounded_channel();
        let core = Core::new(Gateway::new(settings, 7), Clock::start(), Silence, queue.clone(), 5);
        actix_rt::spawn(core.run(inputs));
        let _ = queue.send(Input::ServerTable(ListScope::Restored, vec![node]));
        queue
    }

    fn ask(queue: &Queue<Silence>) -> oneshot::Receiver<Answer<()>> {
        let (reply, answer) = oneshot::channel();
        let _ = queue.send(Input::Session(Box::new(NewSession {
            id: RequestId("r1".into()),
            class: "issue".into(),
            plan: "standard".into(),
            customer: CustomerId("c".into()),
            deadline: Instant::now() + Duration::from_millis(500),
            units: 1.0,
            width: 1,
            request: (),
            reply,
        })));
        answer
    }

    /// Guards against a session that nothing ends.
    #[test]
    fn a_session_that_nothing_ends_is_failed_when_its_time_is_up() {
        let answer = actix_rt::System::new().block_on(async { ask(&start()).await });
        assert_eq!(answer, Ok(Answer::Failed));
    }

    /// Guards a client from another one that sends the id of its open request and leaves.
    #[test]
    fn a_second_client_of_an_id_that_leaves_ends_nothing() {
        let (first, second) = actix_rt::System::new().block_on(async {
            let queue = start();
            let (first, second) = (ask(&queue), ask(&queue));
            let second = second.await;
            let _ = queue.send(Input::Departed(RequestId("r1".into())));
            (first.await, second)
        });
        assert_eq!((first, second), (Ok(Answer::Failed), Ok(Answer::Doubled)));
    }
}
