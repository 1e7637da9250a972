//! Copies of what each gatekeeper spent and saw, and how they become equal: every row has one writer, its origin, who
//! numbers its changes; between two versions of a row the later stands, so merging commutes, associates and repeats
//! without effect. What is missed is found by comparing, for each origin, up to which change one holds all rows. It
//! must never let a row of one origin be changed by another, trust another machine's clock further than
//! [`ReplicaLimits::keep`], or grow past its bounds.
//!
//! An origin is a gatekeeper's name with its incarnation: one that comes back under its old name is a new origin, and
//! what its former self spent stays on that one's shelf until it is out of date.

use crate::identifiers::{fnv1a, CustomerId, HostId};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// One life of one gatekeeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Origin {
    /// Its name, the same after a restart.
    pub name: Arc<str>,
    /// Which life: later ones have greater numbers.
    pub incarnation: u64,
}

/// What a row is of; rows of one kind stand together, in this order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub enum Key {
    /// Units of a customer that the origin admitted in the quota window of this number.
    #[cfg_attr(feature = "adapter", serde(rename = "Spent"))]
    Usage(CustomerId, i64),
    /// What the origin saw of a node.
    #[cfg_attr(feature = "adapter", serde(rename = "Node"))]
    Health(HostId),
    /// How long the origin has lived.
    #[cfg_attr(feature = "adapter", serde(rename = "Beat"))]
    Heartbeat,
    /// The origin ends, as it was told to.
    Left,
}

/// What a row says.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub enum RowValue {
    /// Units.
    #[cfg_attr(feature = "adapter", serde(rename = "Spent"))]
    Usage {
        /// Admitted; within one life they only grow, but for what is settled.
        units: f64,
        /// Units that the counter has answered of this origin, those that stand for untold ones among them.
        #[cfg_attr(feature = "adapter", serde(rename = "told"))]
        acknowledged: f64,
    },
    /// How a node does.
    #[cfg_attr(feature = "adapter", serde(rename = "Judged"))]
    Health(NodeHealth),
    /// Seconds since the origin began, by its own clock.
    #[cfg_attr(feature = "adapter", serde(rename = "Beat"))]
    Heartbeat(f64),
    /// There is no more to say.
    Left,
}

/// One gatekeeper's judgement of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct NodeHealth {
    /// The node's last start as told by discovery, in Unix seconds; 0: long ago. A judgement of an earlier life of the
    /// node says nothing of this one.
    #[cfg_attr(feature = "adapter", serde(rename = "started"))]
    pub started_at: f64,
    /// Share of its attempts that failed, 0 to 1.
    #[cfg_attr(feature = "adapter", serde(rename = "fails"))]
    pub failure_rate: f64,
    /// Its answers' latency over what was expected.
    #[cfg_attr(feature = "adapter", serde(rename = "slow"))]
    pub latency_ratio: f64,
    /// Seconds since the judgement's last evidence, as of `at`.
    #[cfg_attr(feature = "adapter", serde(rename = "age"))]
    pub evidence_age_secs: f64,
    /// When the row was written, by its origin's clock, in Unix seconds.
    #[cfg_attr(feature = "adapter", serde(rename = "at"))]
    pub recorded_at: f64,
}

/// A row as it travels.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Row {
    /// What it is of.
    pub key: Key,
    /// The number of the change, among all of its origin.
    pub version: u64,
    /// Out of date after this, in Unix seconds by its origin's clock.
    #[cfg_attr(feature = "adapter", serde(rename = "until"))]
    pub expires_at: f64,
    /// What it says.
    #[cfg_attr(feature = "adapter", serde(rename = "said"))]
    pub value: RowValue,
}

/// Starts of a node that two tell of no further apart, in seconds, are one: no node starts twice in it.
const SAME_START_S: f64 = 1.5;

/// Spreads the bits of a number: 2^64 over the golden ratio.
const GOLDEN_BITS: u64 = 0x9e37_79b9_7f4a_7c15;

/// Up to which change of each origin one holds everything.
pub type Digest = BTreeMap<Origin, u64>;

/// Rows of one origin, in the order of their changes: all that stand of those after `from` and up to `upto`.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Delta {
    /// Whose rows.
    pub origin: Origin,
    /// The receiver was taken to hold everything up to this.
    #[cfg_attr(feature = "adapter", serde(rename = "from"))]
    pub after_version: u64,
    /// With these rows it holds everything up to this.
    #[cfg_attr(feature = "adapter", serde(rename = "upto"))]
    pub through_version: u64,
    /// The rows.
    pub rows: Vec<Row>,
}

/// ReplicaLimits of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaLimits {
    /// Rows of one origin at the most, beside its beat and its end: one message holds them all.
    pub rows_per_origin: usize,
    /// Origins at the most, beside this one.
    pub remote_origins: usize,
    /// Seconds that a row is kept at the most, whatever its origin's clock says.
    pub retention_secs: f64,
    /// Seconds after which an origin that is no longer heard of is forgotten.
    pub forget_after_secs: f64,
    /// Seconds by which a copy may lag behind its origin and still be fresh.
    pub max_lag_secs: f64,
}

impl Default for ReplicaLimits {
    fn default() -> Self {
        ReplicaLimits {
            rows_per_origin: 400,
            remote_origins: 1024,
            retention_secs: 60.0,
            forget_after_secs: 600.0,
            max_lag_secs: 1.0,
        }
    }
}

/// What all others hold of one customer's window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteUsage {
    /// Units that other gatekeepers admitted.
    pub others: f64,
    /// Units that former lives of this one admitted.
    pub previous_incarnations: f64,
    /// Units that the counter has answered to both, those that stand for untold ones among them.
    pub acknowledged: f64,
}

/// How far one origin's copy here lags.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lag<'a> {
    /// Whose copy.
    pub origin: &'a Origin,
    /// Seconds behind the origin; infinite where nothing tells.
    pub seconds: f64,
    /// Changes that somebody was seen to hold and that are not here.
    pub missing_versions: u64,
    /// Did it end, as it was told to?
    pub has_left: bool,
}

/// What one holds of one origin.
#[derive(Clone, Debug, Default, PartialEq)]
struct Shelf {
    /// Everything up to this change is here.
    upto: u64,
    rows: BTreeMap<Key, Row>,
    /// Rows by the number of their change.
    order: BTreeMap<u64, Key>,
    /// When a new change of it last came.
    heard: f64,
    /// The latest change of it that anybody was seen to hold.
    seen: u64,
    beat: Option<Beat>,
}

/// What beats of an origin tell.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Beat {
    /// How long it had lived as of the last one.
    lived: f64,
    /// The least by which this reader's clock was ahead of that, which creeps up as clocks' rates differ.
    ahead: f64,
    /// Beats that came: the first one may have lain anywhere for any time.
    count: u32,
}

/// The rates of two clocks differ by less than this part.
const RATES_DIFFER: f64 = 2e-4;

impl Shelf {
    /// Takes a row: what stood in its place before, or `Err` where it is no news or there is no room.
    fn put(&mut self, now: f64, row: Row, most: usize) -> Result<Option<Row>, ()> {
        // The two rows of which an origin has one each always have room.
        let full = self.rows.len() >= most && !matches!(row.key, Key::Heartbeat | Key::Left);
        if let RowValue::Heartbeat(lived) = row.value {
            let first = Beat { lived, ahead: now - lived, count: 0 };
            let last = self.beat.unwrap_or(first);
            let crept = last.ahead + RATES_DIFFER * (lived - last.lived).max(0.0);
            self.beat =
                Some(Beat { lived, ahead: crept.min(now - lived), count: last.count.saturating_add(1) });
        }
        match self.rows.entry(row.key.clone()) {
            Entry::Occupied(mut held) => {
                if held.get().version >= row.version {
                    return Err(());
                }
                self.order.remove(&held.get().version);
                self.order.insert(row.version, row.key.clone());
                Ok(Some(held.insert(row)))
            }
            Entry::Vacant(_) if full => Err(()),
            Entry::Vacant(place) => {
                self.order.insert(row.version, row.key.clone());
                place.insert(row);
                Ok(None)
            }
        }
    }

    /// Seconds by which what is here lags behind its origin, whatever way it came: no clock is compared with another,
    /// only rates are trusted. Before a second beat: for ever.
    fn age(&self, now: f64) -> f64 {
        let known = self.beat.filter(|beat| beat.count > 1);
        known.map_or(f64::INFINITY, |beat| (now - beat.lived - beat.ahead).max(0.0))
    }

    /// All that stands of its changes after `from`; `None`: there are none.
    fn after(&self, now: f64, origin: &Origin, from: u64) -> Option<Delta> {
        let rows = || {
            let after = self.order.range(from + 1..).map(|(_, key)| &self.rows[key]);
            after.filter(|row| row.expires_at > now).cloned().collect()
        };
        (from < self.upto).then(|| Delta {
            origin: origin.clone(),
            after_version: from,
            through_version: self.upto,
            rows: rows(),
        })
    }

    /// Did its origin end, as it was told to?
    fn left(&self) -> bool {
        self.rows.contains_key(&Key::Left)
    }

    /// Nodes of which it says anything.
    fn nodes(&self) -> impl Iterator<Item = &HostId> {
        let first = Key::Health(HostId(Arc::from("")));
        let nodes = self.rows.range(first..Key::Heartbeat).map(|(key, _)| key);
        nodes.filter_map(|key| if let Key::Health(node) = key { Some(node) } else { None })
    }

    /// Drops what is out of date, and says what that was.
    fn drop_old(&mut self, now: f64) -> Vec<Row> {
        let old = self.rows.values().filter(|row| row.expires_at <= now).map(|row| row.key.clone());
        let old: Vec<Key> = old.collect();
        let dropped = old.iter().filter_map(|key| self.rows.remove(key));
        let dropped: Vec<Row> = dropped.collect();
        for row in &dropped {
            self.order.remove(&row.version);
        }
        dropped
    }
}

/// What the shelves hold of each customer's window, kept up with each row: with hundreds of origins adding it up each
/// time would cost more than all the rest.
#[derive(Clone, Debug, Default)]
struct Totals {
    /// With the rows that it is the sum of.
    sums: HashMap<(CustomerId, i64), (RemoteUsage, u32)>,
    /// Those that have changed since they were last asked for.
    changed: HashSet<(CustomerId, i64)>,
}

impl Totals {
    /// A row of another origin, or of a former life, stands now (1) or does no more (-1).
    fn count(&mut self, row: &Row, former: bool, by: i32) {
        let (Key::Usage(customer, window), RowValue::Usage { units, acknowledged: told }) =
            (&row.key, row.value)
        else {
            return;
        };
        let key = (customer.clone(), *window);
        let (sum, rows) = self.sums.entry(key.clone()).or_default();
        *(if former { &mut sum.previous_incarnations } else { &mut sum.others }) += units * f64::from(by);
        sum.acknowledged += told * f64::from(by);
        *rows = rows.saturating_add_signed(by);
        if *rows == 0 {
            self.sums.remove(&key); // and with it what adding and taking away has left
        }
        self.changed.insert(key);
    }
}

/// What was merged, for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeStats {
    /// Rows that were new here.
    pub applied: u64,
    /// Rows that were here already, in this version or a later one.
    pub already_known: u64,
    /// Rows turned down: of this process's own origin, of a forgotten life, out of bounds or no number.
    pub rejected: u64,
}

/// All copies that one gatekeeper holds, its own rows among them.
#[derive(Clone, Debug)]
pub struct Replica {
    me: Origin,
    bounds: ReplicaLimits,
    changes: u64,
    shelves: BTreeMap<Origin, Shelf>,
    totals: Totals,
    /// The last life of each name that was forgotten, and when: nothing of it is taken again.
    forgotten: BTreeMap<Arc<str>, (u64, f64)>,
    tally: MergeStats,
}

impl Replica {
    /// An empty one, of this life of this gatekeeper.
    pub fn new(me: Origin, bounds: ReplicaLimits) -> Self {
        let shelves = BTreeMap::from([(me.clone(), Shelf::default())]);
        let (changes, forgotten, tally) = (0, BTreeMap::new(), MergeStats::default());
        Replica { me, bounds, changes, shelves, totals: Totals::default(), forgotten, tally }
    }

    /// Notes what this gatekeeper itself spent or saw, valid for `valid` seconds. What says the same as before is no
    /// change. `false`: there is no room.
    pub fn record(&mut self, now: f64, key: Key, said: RowValue, valid: f64) -> bool {
        let shelf = self.shelves.entry(self.me.clone()).or_default();
        if shelf.rows.get(&key).is_some_and(|held| held.value == said) {
            return true;
        }
        let until = now + valid.clamp(0.0, self.bounds.retention_secs);
        let row = Row { key, version: self.changes + 1, expires_at: until, value: said };
        let noted = shelf.put(now, row, self.bounds.rows_per_origin).is_ok();
        if noted {
            self.changes += 1;
            (shelf.upto, shelf.heard, shelf.seen) = (self.changes, now, self.changes);
        }
        noted
    }

    /// Notes a judgement of a node in steps, and no oftener than every `least` seconds where only its age has changed:
    /// a row is no answer's echo.
    pub fn record_health(&mut self, now: f64, node: HostId, judged: NodeHealth, least: f64) -> bool {
        let step = |x: f64, by: f64| (x / by).round() * by;
        let judged = NodeHealth {
            failure_rate: step(judged.failure_rate, 0.1).min(1.0),
            latency_ratio: step(judged.latency_ratio, 0.25),
            ..judged
        };
        let key = Key::Health(node);
        let held = self.shelves.get(&self.me).and_then(|shelf| shelf.rows.get(&key));
        let same = held.is_some_and(|held| match held.value {
            RowValue::Health(h) => {
                (h.started_at, h.failure_rate, h.latency_ratio)
                    == (judged.started_at, judged.failure_rate, judged.latency_ratio)
                    && now - h.recorded_at < least
            }
            _ => false,
        });
        same || self.record(now, key, RowValue::Health(judged), self.bounds.retention_secs)
    }

    /// What this origin itself wrote after a change: goes with a question, so that news starts at once.
    pub fn own_delta_after(&self, now: f64, from: u64) -> Option<Delta> {
        self.shelves.get(&self.me)?.after(now, &self.me, from)
    }

    /// Somebody holds this much: what is not here is known to be missing.
    pub fn observe_digest(&mut self, theirs: &Digest) {
        for (origin, upto) in theirs {
            if let Some(shelf) = self.shelves.get_mut(origin) {
                shelf.seen = shelf.seen.max(*upto);
            }
        }
    }

    /// Up to which change of an origin everything is here.
    pub fn version_of(&self, origin: &Origin) -> u64 {
        self.shelves.get(origin).map_or(0, |shelf| shelf.upto)
    }

    /// Up to which change of each origin everything is here.
    pub fn digest(&self) -> Digest {
        self.shelves.iter().map(|(origin, shelf)| (origin.clone(), shelf.upto)).collect()
    }

    /// What one who holds `theirs` lacks, and whether more is left: of `most` rows in all at the most, but always all
    /// changes of one origin. What is left is found again by the next digest, so that a cut between two messages loses
    /// nothing. Changes of one origin are never divided: a row that changed again has moved behind the division, and
    /// the first part would pass for whole without it, for good if the origin dies there.
    ///
    /// Origins take turns by `turn`: none waits for ever behind the first ones. With no room nothing is sent.
    pub fn deltas_for(&self, now: f64, theirs: &Digest, most: usize, turn: usize) -> (Vec<Delta>, bool) {
        let (mut pieces, mut room) = (Vec::new(), most);
        let first = turn % self.shelves.len().max(1);
        for (origin, shelf) in self.shelves.iter().skip(first).chain(self.shelves.iter().take(first)) {
            let from = theirs.get(origin).copied().unwrap_or(0);
            let Some(piece) = shelf.after(now, origin, from) else { continue };
            if most == 0 || piece.rows.len() > room && !pieces.is_empty() {
                return (pieces, true);
            }
            room = room.saturating_sub(piece.rows.len());
            pieces.push(piece);
        }
        (pieces, false)
    }

    /// Takes a piece over, where it goes on from what is here: one that runs ahead is found again by the next digest.
    /// So a shelf is always all of its origin's rows as of one change, and so is what it passes on: a row kept ahead of
    /// the others could not be passed on once its origin is dead, and the copies would differ for good.
    pub fn merge(&mut self, now: f64, piece: Delta) -> MergeStats {
        let mut tally = MergeStats::default();
        let gone = self.forgotten.get(&piece.origin.name).is_some_and(|f| f.0 >= piece.origin.incarnation);
        let held = self.shelves.get(&piece.origin).map(|shelf| shelf.upto);
        let full = held.is_none() && self.shelves.len() > self.bounds.remote_origins;
        let ahead = piece.after_version > held.unwrap_or(0) || piece.through_version < piece.after_version;
        if piece.origin == self.me || gone || full || ahead {
            tally.rejected = piece.rows.len() as u64;
        } else {
            let former = piece.origin.name == self.me.name;
            let shelf =
                self.shelves.entry(piece.origin).or_insert_with(|| Shelf { heard: now, ..Shelf::default() });
            let mut whole = true;
            for mut row in piece.rows {
                let wrong = row.version == 0 || row.version > piece.through_version || !row.sane();
                row.expires_at = row.expires_at.min(now + self.bounds.retention_secs);
                whole &= !wrong;
                if wrong {
                    tally.rejected += 1;
                } else if row.version <= shelf.upto || row.expires_at <= now {
                    tally.already_known += 1;
                } else if let Ok(before) = shelf.put(now, row.clone(), self.bounds.rows_per_origin) {
                    tally.applied += 1;
                    before.iter().for_each(|before| self.totals.count(before, former, -1));
                    self.totals.count(&row, former, 1);
                } else {
                    tally.rejected += 1;
                }
            }
            // Where a row was none, nothing is proven of the others that may be missing.
            if whole && piece.through_version > shelf.upto {
                (shelf.upto, shelf.heard) = (piece.through_version, now);
                shelf.seen = shelf.seen.max(piece.through_version);
            }
        }
        self.tally.applied += tally.applied;
        self.tally.already_known += tally.already_known;
        self.tally.rejected += tally.rejected;
        tally
    }

    /// Drops what is out of date, and origins not heard of for long; `alive` are the members' names. The last life of
    /// a forgotten name is remembered as long again, so that a copy that lags does not bring it back.
    pub fn sweep(&mut self, now: f64, alive: &BTreeSet<Arc<str>>) {
        let (me, forget) = (self.me.clone(), self.bounds.forget_after_secs);
        self.forgotten.retain(|_, (_, at)| now - *at < 2.0 * forget);
        let (forgotten, totals) = (&mut self.forgotten, &mut self.totals);
        self.shelves.retain(|origin, shelf| {
            let former = origin.name == me.name;
            if *origin != me {
                shelf.drop_old(now).iter().for_each(|row| totals.count(row, former, -1));
            } else {
                shelf.drop_old(now);
            }
            let held = *origin == me || alive.contains(&origin.name) || now - shelf.heard < forget;
            if !held {
                shelf.rows.values().for_each(|row| totals.count(row, former, -1));
                let last = forgotten.entry(origin.name.clone()).or_insert((0, now));
                *last = (last.0.max(origin.incarnation), now);
            }
            held
        });
        while self.forgotten.len() > self.bounds.remote_origins {
            let first =
                self.forgotten.iter().min_by(|a, b| a.1 .1.total_cmp(&b.1 .1)).map(|(n, _)| n.clone());
            let Some(first) = first else { break };
            self.forgotten.remove(&first);
        }
    }

    /// What others than this life of this gatekeeper hold of a customer's window: never more than was admitted.
    pub fn remote_usage(&self, customer: &CustomerId, window: i64) -> RemoteUsage {
        self.totals.sums.get(&(customer.clone(), window)).map(|sum| sum.0).unwrap_or_default()
    }

    /// The same of all customers and windows of which it has changed since this was last asked.
    pub fn take_changed_usage(&mut self) -> Vec<((CustomerId, i64), RemoteUsage)> {
        let changed = std::mem::take(&mut self.totals.changed).into_iter();
        changed
            .map(|key| (key.clone(), self.totals.sums.get(&key).map(|sum| sum.0).unwrap_or_default()))
            .collect()
    }

    /// Part of the others in a fleet of `members` whose copies here are fresh, 0 to 1: each name once, by its last life.
    /// One that ended as it was told to spends no more, and what it spent is here.
    pub fn fresh_fraction(&self, now: f64, members: u32) -> f64 {
        let mut last = BTreeMap::<&str, bool>::new();
        for lag in self.lags(now).filter(|lag| lag.origin.name != self.me.name) {
            let fresh = lag.has_left && lag.missing_versions == 0 || lag.seconds <= self.bounds.max_lag_secs;
            last.insert(&lag.origin.name, fresh); // lives come in order
        }
        let fresh = last.values().filter(|fresh| **fresh).count();
        (fresh as f64 / f64::from(members.saturating_sub(1).max(1))).min(1.0)
    }

    /// Nodes of which somebody else wrote.
    pub fn remotely_observed_nodes(&self) -> BTreeSet<HostId> {
        let others = self.shelves.iter().filter(|(origin, _)| **origin != self.me);
        others.flat_map(|(_, shelf)| shelf.nodes().cloned()).collect()
    }

    /// What others saw of a node in this life of it: the judgement on the freshest evidence, where two are as fresh
    /// the more careful one. Its age now is told with it, by this gatekeeper's clock, and never less than nothing.
    pub fn remote_health(&self, now: f64, node: &HostId, started: f64) -> Option<(NodeHealth, f64)> {
        let key = Key::Health(node.clone());
        let rows = self.shelves.iter().filter(|(origin, _)| **origin != self.me);
        let rows = rows.filter_map(|(_, shelf)| match shelf.rows.get(&key)?.value {
            RowValue::Health(judged) if (judged.started_at - started).abs() < SAME_START_S => Some(judged),
            _ => None,
        });
        let aged =
            rows.map(|judged| (judged, judged.evidence_age_secs + (now - judged.recorded_at).max(0.0)));
        aged.min_by(|(a, a_age), (b, b_age)| {
            let careful = |j: &NodeHealth| (j.failure_rate, j.latency_ratio);
            let by_care = careful(b).partial_cmp(&careful(a)).unwrap_or(std::cmp::Ordering::Equal);
            a_age.total_cmp(b_age).then(by_care)
        })
    }

    /// Whose replica it is.
    pub fn me(&self) -> &Origin {
        &self.me
    }

    /// How long this origin had lived when it last wrote so.
    pub fn last_heartbeat(&self) -> Option<f64> {
        self.shelves.get(&self.me)?.beat.map(|beat| beat.lived)
    }

    /// Rows of what was spent, over all origins, and their sum: two replicas that have the same hold the same.
    pub fn usage_checksum(&self) -> (usize, u64) {
        let (mut count, mut sum) = (0, 0u64);
        for (origin, shelf) in &self.shelves {
            let of = fnv1a(&origin.name) ^ origin.incarnation.wrapping_mul(GOLDEN_BITS);
            for (key, row) in &shelf.rows {
                if let Key::Usage(customer, window) = key {
                    let what = fnv1a(&customer.0) ^ (*window as u64).wrapping_mul(GOLDEN_BITS);
                    let one = (of ^ what.rotate_left(17)).wrapping_add(row.version).wrapping_mul(GOLDEN_BITS);
                    (count, sum) = (count + 1, sum.wrapping_add(one ^ one >> 29));
                }
            }
        }
        (count, sum)
    }

    /// Rows held, over all origins.
    pub fn row_count(&self) -> usize {
        self.shelves.values().map(|shelf| shelf.rows.len()).sum()
    }

    /// How far each origin's copy here lags, this one's own among them (by nothing).
    pub fn lags(&self, now: f64) -> impl Iterator<Item = Lag<'_>> {
        self.shelves.iter().map(move |(origin, shelf)| Lag {
            origin,
            seconds: if *origin == self.me { 0.0 } else { shelf.age(now) },
            missing_versions: shelf.seen - shelf.upto,
            has_left: shelf.left(),
        })
    }

    /// Did an origin end, as it was told to?
    pub fn has_left(&self, origin: &Origin) -> bool {
        self.shelves.get(origin).is_some_and(Shelf::left)
    }

    /// What was merged so far.
    pub fn merge_stats(&self) -> MergeStats {
        self.tally
    }
}

impl Row {
    /// Does it say what a row of its kind can say?
    fn sane(&self) -> bool {
        let figure = |x: f64| x.is_finite() && x >= 0.0;
        self.expires_at.is_finite()
            && match (&self.key, self.value) {
                (Key::Usage(..), RowValue::Usage { units, acknowledged: told }) => {
                    [units, told].into_iter().all(|x| figure(x) && x <= 1e12)
                }
                (Key::Heartbeat, RowValue::Heartbeat(lived)) => figure(lived),
                (Key::Left, RowValue::Left) => true,
                (Key::Health(_), RowValue::Health(j)) => {
                    [j.started_at, j.failure_rate, j.latency_ratio, j.evidence_age_secs, j.recorded_at]
                        .into_iter()
                        .all(figure)
                        && j.failure_rate <= 1.0
                }
                _ => false,
            }
    }
}
