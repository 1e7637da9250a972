//! Membership of the fleet: the SWIM protocol of the `foca` crate, driven with the time passed in.
//!
//! Owns the identity of this gatekeeper, its view of the other members, the timers of the protocol, and the frame
//! around each datagram, which names fleet and protocol version. Pure: it opens no socket, accepts no datagram of
//! another fleet, and decides nothing by who is a member.

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

/// Version of the frames of datagrams and of the preface of messages.
pub const PROTOCOL_VERSION: u32 = 2;
/// Maximum payload of a datagram in bytes, small enough to pass any link without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1300;
/// How often each member retransmits each update. If half of a fleet is unreachable, half of the retransmissions are
/// lost, and a member that misses an update has to detect each unreachable member by its own probes.
const MAX_TRANSMISSIONS: u8 = 30;
/// Maximum number of datagrams, and of events, that wait to be taken. More are dropped.
const MAX_PENDING: usize = 4096;
/// Number of members that are asked to probe a silent member indirectly.
const INDIRECT_PROBES: usize = 3;
/// Shortest interval that is passed to the protocol, in seconds.
const MIN_INTERVAL_SECS: f64 = 1e-3;
/// Missing seeds are contacted once in this many probe intervals.
const SEED_CONTACT_PROBE_INTERVALS: f64 = 4.0;

/// One incarnation of one gatekeeper as a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the gatekeeper; empty for a seed of which only the address is known.
    pub name: Arc<str>,
    /// Incarnation of the process: grows with each restart.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How often this incarnation was declared down and rejoined.
    #[serde(rename = "turn")]
    pub rejoin_count: u32,
    /// Listening address, for datagrams and for connections.
    #[serde(rename = "at")]
    pub address: SocketAddr,
}

impl Member {
    /// The same incarnation as replicated rows and budgets name it.
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

/// Timings of the SWIM protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimTimings {
    /// Interval in seconds between two probes by this member. Each probes another member.
    pub probe_interval_secs: f64,
    /// Seconds after which a suspected member is declared down.
    pub suspicion_timeout_secs: f64,
    /// Seconds for which a member that is down is remembered.
    pub forget_after_secs: f64,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// The member is alive.
    Up(Member),
    /// The member was declared down: it crashed, is unreachable, or has left.
    Down(Member),
    /// The other members had declared this gatekeeper down, and it has rejoined.
    Rejoined,
}

/// State of another member, as this gatekeeper sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and is declared down unless it refutes the suspicion.
    Suspected,
    /// The member was declared down.
    Down,
}

/// The frame around a datagram of the protocol.
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

/// Pending effects of the protocol: timers, outbound datagrams and events. Times are in microseconds.
#[derive(Default)]
struct PendingEffects {
    now_us: u64,
    cluster: Arc<str>,
    local_name: Arc<str>,
    /// Timers by due time and order of submission.
    timers: BTreeMap<(u64, u64), Timer<Member>>,
    timers_submitted: u64,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<MembershipEvent>,
}

impl Runtime<Member> for &mut PendingEffects {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        let event = match notification.to_owned() {
            OwnedNotification::MemberUp(member) => MembershipEvent::Up(member),
            OwnedNotification::MemberDown(member) => MembershipEvent::Down(member),
            OwnedNotification::Rejoin(_) => MembershipEvent::Rejoined,
            _ => return,
        };
        if self.events.len() < MAX_PENDING {
            self.events.push_back(event);
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        let frame = Frame { version: PROTOCOL_VERSION, cluster: &self.cluster, from: &self.local_name, data };
        if let (Ok(bytes), true) = (postcard::to_stdvec(&frame), self.datagrams.len() < MAX_PENDING) {
            self.datagrams.push_back((to.address, bytes));
        }
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers_submitted += 1;
        self.timers.insert((self.now_us + after.as_micros() as u64, self.timers_submitted), event);
    }
}

type Protocol = Foca<Member, PostcardCodec, SmallRng, foca::NoCustomBroadcast>;

/// One gatekeeper's view of the members of its fleet.
pub struct Membership {
    protocol: Protocol,
    effects: PendingEffects,
    seeds: Vec<SocketAddr>,
    /// When seeds that are not live members are contacted next, in microseconds.
    next_seed_contact_us: u64,
    seed_contact_interval_us: u64,
}

fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

fn interval(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(MIN_INTERVAL_SECS))
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

impl Membership {
    /// A view that knows only `me` and the addresses of the seeds. `now` is in seconds, as in all methods.
    pub fn new(
        now: f64,
        cluster: &str,
        me: Member,
        seeds: Vec<SocketAddr>,
        timings: SwimTimings,
        seed: u64,
    ) -> Self {
        let every = |probe_intervals: f64, num_members| {
            Some(PeriodicParams {
                frequency: interval(timings.probe_interval_secs * probe_intervals),
                num_members: non_zero(num_members),
            })
        };
        let config = foca::Config {
            probe_period: interval(timings.probe_interval_secs),
            probe_rtt: interval(timings.probe_interval_secs / 3.0),
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: interval(timings.suspicion_timeout_secs),
            remove_down_after: interval(timings.forget_after_secs),
            max_packet_size: non_zero(MAX_DATAGRAM_BYTES),
            notify_down_members: true,
            periodic_announce: every(20.0, 1),
            periodic_announce_to_down_members: every(3.0, 2),
            periodic_gossip: every(0.5, 4),
        };
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        let effects = PendingEffects {
            now_us: micros(now),
            cluster: Arc::from(cluster),
            local_name: Arc::clone(&me.name),
            ..PendingEffects::default()
        };
        let protocol = Foca::new(me, config, SmallRng::seed_from_u64(seed), PostcardCodec);
        let seed_contact_interval_us = micros(SEED_CONTACT_PROBE_INTERVALS * timings.probe_interval_secs);
        Membership { protocol, effects, seeds, next_seed_contact_us: 0, seed_contact_interval_us }
    }

    /// This gatekeeper as the other members know it.
    pub fn local_member(&self) -> &Member {
        self.protocol.identity()
    }

    /// Processes a received datagram.
    ///
    /// # Errors
    /// Why the datagram was rejected: malformed, of another fleet or protocol version, or refused by the protocol.
    pub fn handle_datagram(&mut self, now: f64, datagram: &[u8]) -> Result<(), String> {
        self.effects.now_us = micros(now);
        let frame: Frame<'_> =
            postcard::from_bytes(datagram).map_err(|_| "malformed fleet datagram".to_owned())?;
        if frame.version != PROTOCOL_VERSION {
            return Err(format!(
                "{:?} uses fleet protocol version {}, expected {PROTOCOL_VERSION}",
                frame.from, frame.version
            ));
        }
        if *frame.cluster != *self.effects.cluster {
            return Err(format!(
                "{:?} belongs to fleet {:?}, expected {:?}",
                frame.from, frame.cluster, self.effects.cluster
            ));
        }
        self.protocol.handle_data(frame.data, &mut self.effects).map_err(|e| format!("{:?}: {e}", frame.from))
    }

    /// Runs the timers that are due, and contacts seeds that are not live members.
    pub fn run_due_timers(&mut self, now: f64) {
        let now_us = micros(now);
        while let Some(due) = self.effects.timers.first_entry().filter(|due| due.key().0 <= now_us) {
            let ((at_us, _), timer) = due.remove_entry();
            // The timer runs at its due time, so that periodic timers do not drift. After a long pause of the process
            // it runs at the present time, so that missed periods are not made up for.
            self.effects.now_us = if now_us - at_us > self.seed_contact_interval_us { now_us } else { at_us };
            let _ = self.protocol.handle_timer(timer, &mut self.effects);
        }
        self.effects.now_us = now_us;
        if now_us >= self.next_seed_contact_us {
            self.next_seed_contact_us = now_us + self.seed_contact_interval_us;
            let missing =
                |seed: &&SocketAddr| !self.protocol.iter_members().any(|m| m.id().address == **seed);
            let missing: Vec<SocketAddr> = self.seeds.iter().filter(missing).copied().collect();
            for address in missing {
                let seed = Member { name: Arc::from(""), incarnation: 0, rejoin_count: 0, address };
                let _ = self.protocol.announce(seed, &mut self.effects);
            }
        }
    }

    /// When [`Membership::run_due_timers`] is due next, in seconds.
    pub fn next_timer_at(&self) -> f64 {
        let due_us = self.effects.timers.first_key_value().map_or(u64::MAX, |((at_us, _), _)| *at_us);
        due_us.min(self.next_seed_contact_us) as f64 / 1e6
    }

    /// Announces to the other members that this gatekeeper leaves the fleet.
    pub fn leave(&mut self, now: f64) {
        self.effects.now_us = micros(now);
        let _ = self.protocol.leave_cluster(&mut self.effects);
    }

    /// Removes and returns the datagrams to send, each with its destination.
    pub fn take_outbound(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.effects.datagrams.drain(..).collect()
    }

    /// Removes and returns the membership events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        self.effects.events.drain(..).collect()
    }

    /// The other members that are not down, including suspected ones.
    pub fn live_members(&self) -> Vec<Member> {
        self.protocol.iter_members().map(|m| m.id().clone()).collect()
    }

    /// All other known members with their states.
    pub fn member_states(&self) -> Vec<(Member, MemberState)> {
        let member_state = |state| match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspected,
            State::Down => MemberState::Down,
        };
        self.protocol.iter_membership_state().map(|m| (m.id().clone(), member_state(m.state()))).collect()
    }
}
