//! Who is in the fleet: SWIM by the `foca` crate, driven with time passed in. It owns this gatekeeper's identity, what
//! it believes of the others, the timers of the protocol, and the frame that names fleet and version on each datagram.
//! It must never open a socket, believe a datagram of another fleet, or decide anything by who is there.

use super::replica::Origin;
use foca::{
    Foca, Identity, Notification, OwnedNotification, PeriodicParams, PostcardCodec, Runtime, State, Timer,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::Arc;
use std::time::Duration;

/// The version of datagrams and of the frame.
pub const PROTOCOL_VERSION: u32 = 2;
/// A datagram's longest payload, in bytes: it is to pass any link whole.
const DATAGRAM_MOST: usize = 1300;
/// Each piece of news is passed on so often by each member: where half of a fleet is out of reach, half of that is
/// lost, and who misses it has to find each of the others silent by itself.
const TOLD_TIMES: u8 = 30;
/// What is to be sent or told waits here, so many at the most.
const WAITING_MOST: usize = 4096;

/// One life of one gatekeeper, as members know each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name; empty for a seed of which only the address is known.
    pub name: Arc<str>,
    /// Which life of the process: later ones have greater numbers.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How often it was given up in this life and came back.
    #[serde(rename = "turn")]
    pub rejoin_count: u32,
    /// Where it listens, for datagrams and for connections.
    #[serde(rename = "at")]
    pub address: SocketAddr,
}

impl Member {
    /// The same life, as rows and budgets name it.
    pub fn origin(&self) -> Origin {
        Origin { name: Arc::clone(&self.name), incarnation: self.incarnation }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Member { rejoin_count: self.rejoin_count.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.rejoin_count) > (other.incarnation, other.rejoin_count)
    }
}

/// SwimTimings of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimTimings {
    /// Seconds between two probes of this member, each of another one.
    pub probe_interval_secs: f64,
    /// A member that is suspected for so many seconds is given up.
    pub suspicion_timeout_secs: f64,
    /// One that is given up is remembered for so many seconds.
    pub forget_after_secs: f64,
}

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// It is there.
    Up(Member),
    /// It is given up: dead, cut off, or it has left.
    Down(Member),
    /// This gatekeeper was given up by the others and has come back.
    Rejoined,
}

/// How one of the others is taken to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, and will be given up.
    Suspected,
    /// It was given up.
    Down,
}

#[derive(Serialize, Deserialize)]
struct Frame<'a> {
    version: u32,
    #[serde(borrow)]
    cluster: &'a str,
    #[serde(borrow)]
    from: &'a str,
    #[serde(borrow)]
    data: &'a [u8],
}

/// What the protocol wants done.
#[derive(Default)]
struct Wants {
    now: u64,
    frame: (Arc<str>, Arc<str>),
    timers: BTreeMap<(u64, u64), Timer<Member>>,
    count: u64,
    send: VecDeque<(SocketAddr, Vec<u8>)>,
    news: VecDeque<MembershipEvent>,
}

impl Runtime<Member> for &mut Wants {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        let news = match notification.to_owned() {
            OwnedNotification::MemberUp(member) => MembershipEvent::Up(member),
            OwnedNotification::MemberDown(member) => MembershipEvent::Down(member),
            OwnedNotification::Rejoin(_) => MembershipEvent::Rejoined,
            _ => return,
        };
        if self.news.len() < WAITING_MOST {
            self.news.push_back(news);
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        let frame = Frame { version: PROTOCOL_VERSION, cluster: &self.frame.0, from: &self.frame.1, data };
        if let (Ok(bytes), true) = (postcard::to_stdvec(&frame), self.send.len() < WAITING_MOST) {
            self.send.push_back((to.address, bytes));
        }
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.count += 1;
        self.timers.insert((self.now + after.as_micros() as u64, self.count), event);
    }
}

type Protocol = Foca<Member, PostcardCodec, SmallRng, foca::NoCustomBroadcast>;

/// What one gatekeeper believes of the fleet.
pub struct Membership {
    protocol: Protocol,
    wants: Wants,
    seeds: Vec<SocketAddr>,
    /// When seeds that are not there are called next.
    call_at: u64,
    call_every: u64,
}

fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

fn at_least(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(1e-3))
}

fn few(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

impl Membership {
    /// One that knows only where some others should be. `now` in seconds, as in all calls.
    pub fn new(
        now: f64,
        cluster: &str,
        me: Member,
        seeds: Vec<SocketAddr>,
        times: SwimTimings,
        seed: u64,
    ) -> Self {
        let every = |part: f64, num_members| {
            Some(PeriodicParams {
                frequency: at_least(times.probe_interval_secs * part),
                num_members: few(num_members),
            })
        };
        let config = foca::Config {
            probe_period: at_least(times.probe_interval_secs),
            probe_rtt: at_least(times.probe_interval_secs / 3.0),
            num_indirect_probes: few(3),
            max_transmissions: NonZeroU8::new(TOLD_TIMES).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: at_least(times.suspicion_timeout_secs),
            remove_down_after: at_least(times.forget_after_secs),
            max_packet_size: few(DATAGRAM_MOST),
            notify_down_members: true,
            periodic_announce: every(20.0, 1),
            periodic_announce_to_down_members: every(3.0, 2),
            periodic_gossip: every(0.5, 4),
        };
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        let frame = (Arc::from(cluster), Arc::clone(&me.name));
        let wants = Wants { now: micros(now), frame, ..Wants::default() };
        let protocol = Foca::new(me, config, SmallRng::seed_from_u64(seed), PostcardCodec);
        Membership { protocol, wants, seeds, call_at: 0, call_every: micros(4.0 * times.probe_interval_secs) }
    }

    /// This gatekeeper as the others know it.
    pub fn local_member(&self) -> &Member {
        self.protocol.identity()
    }

    /// A datagram came.
    ///
    /// # Errors
    /// Why nothing of it was taken: of another fleet or version, or none of the protocol's.
    pub fn handle_datagram(&mut self, now: f64, datagram: &[u8]) -> Result<(), String> {
        self.wants.now = micros(now);
        let frame: Frame<'_> =
            postcard::from_bytes(datagram).map_err(|_| "no datagram of a fleet".to_owned())?;
        if frame.version != PROTOCOL_VERSION {
            return Err(format!("{:?} speaks version {}, not {PROTOCOL_VERSION}", frame.from, frame.version));
        }
        if *frame.cluster != *self.wants.frame.0 {
            return Err(format!(
                "{:?} is of fleet {:?}, not {:?}",
                frame.from, frame.cluster, self.wants.frame.0
            ));
        }
        self.protocol.handle_data(frame.data, &mut self.wants).map_err(|e| format!("{:?}: {e}", frame.from))
    }

    /// Does what is due, and calls seeds that are not there.
    pub fn run_due_timers(&mut self, now: f64) {
        let now = micros(now);
        while let Some(due) = self.wants.timers.first_entry().filter(|due| due.key().0 <= now) {
            let ((at, _), timer) = due.remove_entry();
            // At its own time, so that what it sets next does not drift; a process that was stopped makes up no time.
            self.wants.now = if now - at > self.call_every { now } else { at };
            let _ = self.protocol.handle_timer(timer, &mut self.wants);
        }
        self.wants.now = now;
        if now >= self.call_at {
            self.call_at = now + self.call_every;
            let missing =
                |seed: &&SocketAddr| !self.protocol.iter_members().any(|m| m.id().address == **seed);
            let missing: Vec<SocketAddr> = self.seeds.iter().filter(missing).copied().collect();
            for at in missing {
                let seed = Member { name: Arc::from(""), incarnation: 0, rejoin_count: 0, address: at };
                let _ = self.protocol.announce(seed, &mut self.wants);
            }
        }
    }

    /// When [`Membership::step`] has something to do next, in seconds.
    pub fn next_timer_at(&self) -> f64 {
        let due = self.wants.timers.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
        due.min(self.call_at) as f64 / 1e6
    }

    /// This gatekeeper ends: the others are told.
    pub fn leave(&mut self, now: f64) {
        self.wants.now = micros(now);
        let _ = self.protocol.leave_cluster(&mut self.wants);
    }

    /// Datagrams to send, each with where to.
    pub fn take_outbound(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.wants.send.drain(..).collect()
    }

    /// What has changed since this was last asked.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        self.wants.news.drain(..).collect()
    }

    /// The others that are taken to be there, suspected ones among them.
    pub fn live_members(&self) -> Vec<Member> {
        self.protocol.iter_members().map(|m| m.id().clone()).collect()
    }

    /// All others that are known, and how each is taken to be.
    pub fn member_states(&self) -> Vec<(Member, MemberState)> {
        let standing = |state| match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspected,
            State::Down => MemberState::Down,
        };
        self.protocol.iter_membership_state().map(|m| (m.id().clone(), standing(m.state()))).collect()
    }
}
