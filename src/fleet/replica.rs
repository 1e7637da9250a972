//! Replicated state of the gatekeepers of a fleet: quota usage, observed node health, heartbeats and departures.
//!
//! A state-based CRDT with delta synchronization. Every row has one writer, its origin, which numbers its changes
//! with increasing versions. Of two versions of a row the later one wins, so merging is commutative, associative and
//! idempotent. Replicas find missing changes by comparing digests: for each origin, the version up to which a replica
//! holds every change.
//!
//! An origin is the name of a gatekeeper together with its incarnation. A gatekeeper that restarts under its old name
//! is a new origin; the usage of its previous incarnation stays a separate entry until it expires.
//!
//! Invariants:
//! - only its origin changes a row;
//! - the clock of another machine never keeps a row for longer than [`ReplicaLimits::retention_secs`];
//! - memory stays within [`ReplicaLimits`].

use crate::identifiers::{fnv1a, CustomerId, HostId};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// One incarnation of one gatekeeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Origin {
    /// Name of the gatekeeper, unchanged by a restart.
    pub name: Arc<str>,
    /// Incarnation of the process: grows with each restart.
    pub incarnation: u64,
}

/// Key of a row. Rows of one variant are contiguous in the order of keys, and the variants sort as declared here.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub enum Key {
    /// Units of a customer that the origin admitted in the quota window of this number.
    #[cfg_attr(feature = "adapter", serde(rename = "Spent"))]
    Usage(CustomerId, i64),
    /// Health of a node as the origin observed it.
    #[cfg_attr(feature = "adapter", serde(rename = "Node"))]
    Health(HostId),
    /// Uptime of the origin.
    #[cfg_attr(feature = "adapter", serde(rename = "Beat"))]
    Heartbeat,
    /// The origin has left the fleet by a regular shutdown.
    Left,
}

/// Value of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub enum RowValue {
    /// Usage of one customer in one quota window.
    #[cfg_attr(feature = "adapter", serde(rename = "Spent"))]
    Usage {
        /// Admitted units. Within one incarnation they only grow, except when a reservation is settled.
        units: f64,
        /// Units that the counter has acknowledged to this origin, including units that stand for unreported ones.
        #[cfg_attr(feature = "adapter", serde(rename = "told"))]
        acknowledged: f64,
    },
    /// Health of one node.
    #[cfg_attr(feature = "adapter", serde(rename = "Judged"))]
    Health(NodeHealth),
    /// Uptime of the origin in seconds, by its own clock.
    #[cfg_attr(feature = "adapter", serde(rename = "Beat"))]
    Heartbeat(f64),
    /// The origin writes nothing after this row.
    Left,
}

/// Health of one node as one gatekeeper observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct NodeHealth {
    /// Last start of the node by service discovery, in Unix seconds; 0 if it started long ago. Observations of an
    /// earlier incarnation of the node do not apply to the present one.
    #[cfg_attr(feature = "adapter", serde(rename = "started"))]
    pub started_at: f64,
    /// Fraction of the attempts that failed, 0 to 1.
    #[cfg_attr(feature = "adapter", serde(rename = "fails"))]
    pub failure_rate: f64,
    /// Latency of the responses divided by the expected latency.
    #[cfg_attr(feature = "adapter", serde(rename = "slow"))]
    pub latency_ratio: f64,
    /// Age of the latest evidence in seconds, as of `recorded_at`.
    #[cfg_attr(feature = "adapter", serde(rename = "age"))]
    pub evidence_age_secs: f64,
    /// When the origin wrote the row, in Unix seconds of the origin's clock.
    #[cfg_attr(feature = "adapter", serde(rename = "at"))]
    pub recorded_at: f64,
}

/// A row as it is replicated.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Row {
    /// What the row describes.
    pub key: Key,
    /// Version of the change, unique among all changes of its origin.
    pub version: u64,
    /// When the row expires, in Unix seconds of the origin's clock.
    #[cfg_attr(feature = "adapter", serde(rename = "until"))]
    pub expires_at: f64,
    /// The replicated value.
    #[cfg_attr(feature = "adapter", serde(rename = "said"))]
    pub value: RowValue,
}

/// Two reported starts of a node that differ by less than this, in seconds, are the same start: no node restarts that
/// quickly.
const SAME_START_TOLERANCE_SECS: f64 = 1.5;

/// Multiplier that spreads the bits of a number: 2^64 divided by the golden ratio.
const GOLDEN_BITS: u64 = 0x9e37_79b9_7f4a_7c15;

/// Largest number of units that a usage row may hold.
const MAX_UNITS: f64 = 1e12;

/// For each origin, the version up to which a replica holds every change.
pub type Digest = BTreeMap<Origin, u64>;

/// Changes of one origin in the order of their versions: all live rows with a version after `after_version` and up to
/// `through_version`.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Delta {
    /// The origin that wrote the rows.
    pub origin: Origin,
    /// The receiver is assumed to hold every change up to this version.
    #[cfg_attr(feature = "adapter", serde(rename = "from"))]
    pub after_version: u64,
    /// With these rows the receiver holds every change up to this version.
    #[cfg_attr(feature = "adapter", serde(rename = "upto"))]
    pub through_version: u64,
    /// The changed rows.
    pub rows: Vec<Row>,
}

/// Limits of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaLimits {
    /// Maximum number of rows of one origin, not counting its heartbeat and its departure. One message can carry all
    /// of them.
    pub rows_per_origin: usize,
    /// Maximum number of origins besides the local one.
    pub remote_origins: usize,
    /// Maximum number of seconds that a row is kept, whatever the clock of its origin says.
    pub retention_secs: f64,
    /// Seconds after its last change until an origin that is not a live member is forgotten.
    pub forget_after_secs: f64,
    /// Maximum lag in seconds behind an origin for a replica of it to count as fresh.
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

/// Usage of one customer in one quota window, summed over all origins except the local one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteUsage {
    /// Units that other gatekeepers admitted.
    pub others: f64,
    /// Units that previous incarnations of this gatekeeper admitted.
    pub previous_incarnations: f64,
    /// Units that the counter has acknowledged to both, including units that stand for unreported ones.
    pub acknowledged: f64,
}

/// Lag of the local replica behind one origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lag<'a> {
    /// The origin of the replicated rows.
    pub origin: &'a Origin,
    /// Seconds behind the origin; infinite while unknown.
    pub seconds: f64,
    /// Number of versions that another member was seen to hold and the local replica does not.
    pub missing_versions: u64,
    /// Whether the origin has left the fleet by a regular shutdown.
    pub has_left: bool,
}

/// What the local replica holds of one origin.
#[derive(Clone, Debug, Default, PartialEq)]
struct OriginState {
    /// Every change up to this version is held.
    version: u64,
    rows: BTreeMap<Key, Row>,
    /// Keys of the rows by the version of their last change.
    keys_by_version: BTreeMap<u64, Key>,
    /// When a new change last arrived, in seconds.
    last_change_at: f64,
    /// The latest version that any member was seen to hold.
    latest_seen_version: u64,
    heartbeat: Option<HeartbeatClock>,
}

/// Estimate of an origin's clock from its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeartbeatClock {
    /// Uptime of the origin in seconds, by its last heartbeat.
    uptime: f64,
    /// Smallest difference between the local clock at receipt and the reported uptime, in seconds. It grows by the
    /// maximum drift between two clocks.
    min_offset: f64,
    /// Heartbeats received. The first one may have been delayed by any amount of time.
    count: u32,
}

/// Upper bound on the relative difference between the rates of two clocks.
const MAX_CLOCK_DRIFT: f64 = 2e-4;

impl OriginState {
    /// Stores a row and returns the row that it replaces. `Err` if a later version is held or there is no room.
    fn put(&mut self, now: f64, row: Row, max_rows: usize) -> Result<Option<Row>, ()> {
        // An origin has one heartbeat row and one departure row, for which there is always room.
        let is_full = self.rows.len() >= max_rows && !matches!(row.key, Key::Heartbeat | Key::Left);
        if let RowValue::Heartbeat(uptime) = row.value {
            let first = HeartbeatClock { uptime, min_offset: now - uptime, count: 0 };
            let last = self.heartbeat.unwrap_or(first);
            let drifted_offset = last.min_offset + MAX_CLOCK_DRIFT * (uptime - last.uptime).max(0.0);
            self.heartbeat = Some(HeartbeatClock {
                uptime,
                min_offset: drifted_offset.min(now - uptime),
                count: last.count.saturating_add(1),
            });
        }
        match self.rows.entry(row.key.clone()) {
            Entry::Occupied(mut held) => {
                if held.get().version >= row.version {
                    return Err(());
                }
                self.keys_by_version.remove(&held.get().version);
                self.keys_by_version.insert(row.version, row.key.clone());
                Ok(Some(held.insert(row)))
            }
            Entry::Vacant(_) if is_full => Err(()),
            Entry::Vacant(vacant) => {
                self.keys_by_version.insert(row.version, row.key.clone());
                vacant.insert(row);
                Ok(None)
            }
        }
    }

    /// Lag behind the origin in seconds, whatever path its rows took. No two clocks are compared; only a bounded
    /// difference of their rates is assumed. Infinite until the second heartbeat.
    fn lag_secs(&self, now: f64) -> f64 {
        let known = self.heartbeat.filter(|heartbeat| heartbeat.count > 1);
        known.map_or(f64::INFINITY, |heartbeat| (now - heartbeat.uptime - heartbeat.min_offset).max(0.0))
    }

    /// Live rows that changed after `version`; `None` if there are no later changes.
    fn delta_after(&self, now: f64, origin: &Origin, version: u64) -> Option<Delta> {
        let rows = || {
            let changed = self.keys_by_version.range(version + 1..).map(|(_, key)| &self.rows[key]);
            changed.filter(|row| row.expires_at > now).cloned().collect()
        };
        (version < self.version).then(|| Delta {
            origin: origin.clone(),
            after_version: version,
            through_version: self.version,
            rows: rows(),
        })
    }

    /// Whether the origin has left the fleet by a regular shutdown.
    fn has_left(&self) -> bool {
        self.rows.contains_key(&Key::Left)
    }

    /// Nodes whose health the origin reports.
    fn nodes(&self) -> impl Iterator<Item = &HostId> {
        let first = Key::Health(HostId(Arc::from("")));
        let nodes = self.rows.range(first..Key::Heartbeat).map(|(key, _)| key);
        nodes.filter_map(|key| if let Key::Health(node) = key { Some(node) } else { None })
    }

    /// Removes expired rows and returns them.
    fn remove_expired(&mut self, now: f64) -> Vec<Row> {
        let expired = self.rows.values().filter(|row| row.expires_at <= now).map(|row| row.key.clone());
        let expired: Vec<Key> = expired.collect();
        let removed = expired.iter().filter_map(|key| self.rows.remove(key));
        let removed: Vec<Row> = removed.collect();
        for row in &removed {
            self.keys_by_version.remove(&row.version);
        }
        removed
    }
}

/// Usage of each customer and window, summed over all origins except the local one. Updated with each row: summing
/// over hundreds of origins at each query would dominate the cost of replication.
#[derive(Clone, Debug, Default)]
struct UsageTotals {
    /// Each sum with the number of rows that contribute to it.
    sums: HashMap<(CustomerId, i64), (RemoteUsage, u32)>,
    /// Customers and windows whose sum has changed since [`Replica::take_changed_usage`] was last called.
    changed: HashSet<(CustomerId, i64)>,
}

impl UsageTotals {
    /// Adds (`sign` = 1) or removes (`sign` = -1) a usage row of another origin. `is_own_name`: the origin is a
    /// previous incarnation of this gatekeeper.
    fn apply(&mut self, row: &Row, is_own_name: bool, sign: i32) {
        let (Key::Usage(customer, window), RowValue::Usage { units, acknowledged }) = (&row.key, row.value)
        else {
            return;
        };
        let key = (customer.clone(), *window);
        let (sum, rows) = self.sums.entry(key.clone()).or_default();
        *(if is_own_name { &mut sum.previous_incarnations } else { &mut sum.others }) +=
            units * f64::from(sign);
        sum.acknowledged += acknowledged * f64::from(sign);
        *rows = rows.saturating_add_signed(sign);
        if *rows == 0 {
            self.sums.remove(&key); // Drops the accumulated rounding error, too.
        }
        self.changed.insert(key);
    }
}

/// Statistics of merged rows, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeStats {
    /// Rows that were new to the replica.
    pub applied: u64,
    /// Rows that the replica held already, in this version or a later one.
    pub already_known: u64,
    /// Rows rejected: written under this process's own origin or a forgotten incarnation, beyond a limit, or with
    /// invalid values.
    pub rejected: u64,
}

/// All replicated rows that one gatekeeper holds, including its own.
#[derive(Clone, Debug)]
pub struct Replica {
    me: Origin,
    limits: ReplicaLimits,
    /// Version of the last change of the local origin.
    own_version: u64,
    origins: BTreeMap<Origin, OriginState>,
    totals: UsageTotals,
    /// For each name, the last forgotten incarnation and when it was forgotten. Its rows are rejected.
    forgotten: BTreeMap<Arc<str>, (u64, f64)>,
    stats: MergeStats,
}

impl Replica {
    /// An empty replica of the gatekeeper with the origin `me`.
    pub fn new(me: Origin, limits: ReplicaLimits) -> Self {
        let origins = BTreeMap::from([(me.clone(), OriginState::default())]);
        let (own_version, forgotten, stats) = (0, BTreeMap::new(), MergeStats::default());
        Replica { me, limits, own_version, origins, totals: UsageTotals::default(), forgotten, stats }
    }

    /// Writes a row of the local origin that expires after `valid_secs`. An unchanged value makes no new version.
    /// Returns `false` if the origin has no room for another row.
    pub fn record(&mut self, now: f64, key: Key, value: RowValue, valid_secs: f64) -> bool {
        let state = self.origins.entry(self.me.clone()).or_default();
        if state.rows.get(&key).is_some_and(|held| held.value == value) {
            return true;
        }
        let expires_at = now + valid_secs.clamp(0.0, self.limits.retention_secs);
        let row = Row { key, version: self.own_version + 1, expires_at, value };
        let is_stored = state.put(now, row, self.limits.rows_per_origin).is_ok();
        if is_stored {
            self.own_version += 1;
            state.version = self.own_version;
            state.last_change_at = now;
            state.latest_seen_version = self.own_version;
        }
        is_stored
    }

    /// Writes the health of a node, quantized. If only the age of the evidence has changed, a new version is written
    /// at most every `min_interval_secs`, so that not every response of a node is replicated.
    pub fn record_health(
        &mut self,
        now: f64,
        node: HostId,
        health: NodeHealth,
        min_interval_secs: f64,
    ) -> bool {
        let quantize = |x: f64, step: f64| (x / step).round() * step;
        let health = NodeHealth {
            failure_rate: quantize(health.failure_rate, 0.1).min(1.0),
            latency_ratio: quantize(health.latency_ratio, 0.25),
            ..health
        };
        let key = Key::Health(node);
        let held = self.origins.get(&self.me).and_then(|state| state.rows.get(&key));
        let is_unchanged = held.is_some_and(|held| match held.value {
            RowValue::Health(h) => {
                (h.started_at, h.failure_rate, h.latency_ratio)
                    == (health.started_at, health.failure_rate, health.latency_ratio)
                    && now - h.recorded_at < min_interval_secs
            }
            _ => false,
        });
        is_unchanged || self.record(now, key, RowValue::Health(health), self.limits.retention_secs)
    }

    /// Changes of the local origin after `version`. Sent along with a request for missing changes, so that new local
    /// changes spread without waiting to be asked for.
    pub fn own_delta_after(&self, now: f64, version: u64) -> Option<Delta> {
        self.origins.get(&self.me)?.delta_after(now, &self.me, version)
    }

    /// Records the digest of another member: versions that only the other member holds are known to be missing.
    pub fn observe_digest(&mut self, theirs: &Digest) {
        for (origin, version) in theirs {
            if let Some(state) = self.origins.get_mut(origin) {
                state.latest_seen_version = state.latest_seen_version.max(*version);
            }
        }
    }

    /// The version of an origin up to which every change is held.
    pub fn version_of(&self, origin: &Origin) -> u64 {
        self.origins.get(origin).map_or(0, |state| state.version)
    }

    /// For each origin, the version up to which every change is held.
    pub fn digest(&self) -> Digest {
        self.origins.iter().map(|(origin, state)| (origin.clone(), state.version)).collect()
    }

    /// Changes that a member with the digest `theirs` lacks, and whether more are left. At most `max_rows` rows,
    /// except that the changes of the first origin are always sent completely. The next digest shows what is left, so
    /// a connection that breaks between two messages loses nothing.
    ///
    /// The changes of one origin are never split over two messages. A row that changes again moves to a version
    /// beyond the split; the receiver would take the first part for complete without that row, and would lack it for
    /// good if the origin died before the second part.
    ///
    /// `rotation` selects the origin to start with, so that every origin is served even if the first ones always have
    /// enough changes to fill a message. With `max_rows` = 0 nothing is sent.
    pub fn deltas_for(
        &self,
        now: f64,
        theirs: &Digest,
        max_rows: usize,
        rotation: usize,
    ) -> (Vec<Delta>, bool) {
        let (mut deltas, mut room) = (Vec::new(), max_rows);
        let first = rotation % self.origins.len().max(1);
        for (origin, state) in self.origins.iter().skip(first).chain(self.origins.iter().take(first)) {
            let version = theirs.get(origin).copied().unwrap_or(0);
            let Some(delta) = state.delta_after(now, origin, version) else { continue };
            if max_rows == 0 || delta.rows.len() > room && !deltas.is_empty() {
                return (deltas, true);
            }
            room = room.saturating_sub(delta.rows.len());
            deltas.push(delta);
        }
        (deltas, false)
    }

    /// Merges a delta, provided that it continues from the version held. A delta that starts later is rejected; the
    /// next digest requests the missing changes again.
    ///
    /// Invariant: the state held of an origin is the complete set of its rows as of one version, and so are the
    /// deltas made from it. A row stored ahead of missing ones could not be passed on after the death of its origin,
    /// and the replicas would differ for good.
    pub fn merge(&mut self, now: f64, delta: Delta) -> MergeStats {
        let mut stats = MergeStats::default();
        let is_forgotten =
            self.forgotten.get(&delta.origin.name).is_some_and(|f| f.0 >= delta.origin.incarnation);
        let held = self.origins.get(&delta.origin).map(|state| state.version);
        let is_full = held.is_none() && self.origins.len() > self.limits.remote_origins;
        let has_gap = delta.after_version > held.unwrap_or(0) || delta.through_version < delta.after_version;
        if delta.origin == self.me || is_forgotten || is_full || has_gap {
            stats.rejected = delta.rows.len() as u64;
        } else {
            let is_own_name = delta.origin.name == self.me.name;
            let state = self
                .origins
                .entry(delta.origin)
                .or_insert_with(|| OriginState { last_change_at: now, ..OriginState::default() });
            let mut all_valid = true;
            for mut row in delta.rows {
                let is_invalid = row.version == 0 || row.version > delta.through_version || !row.is_valid();
                row.expires_at = row.expires_at.min(now + self.limits.retention_secs);
                all_valid &= !is_invalid;
                if is_invalid {
                    stats.rejected += 1;
                } else if row.version <= state.version || row.expires_at <= now {
                    stats.already_known += 1;
                } else if let Ok(replaced) = state.put(now, row.clone(), self.limits.rows_per_origin) {
                    stats.applied += 1;
                    replaced.iter().for_each(|replaced| self.totals.apply(replaced, is_own_name, -1));
                    self.totals.apply(&row, is_own_name, 1);
                } else {
                    stats.rejected += 1;
                }
            }
            // A delta with an invalid row does not prove that its other rows are complete.
            if all_valid && delta.through_version > state.version {
                (state.version, state.last_change_at) = (delta.through_version, now);
                state.latest_seen_version = state.latest_seen_version.max(delta.through_version);
            }
        }
        self.stats.applied += stats.applied;
        self.stats.already_known += stats.already_known;
        self.stats.rejected += stats.rejected;
        stats
    }

    /// Removes expired rows, and origins that are not among the live members (`alive`, by name) and have not changed
    /// for `forget_after_secs`. The last incarnation of a forgotten name is remembered for twice that time, so that a
    /// lagging replica does not bring it back.
    pub fn sweep(&mut self, now: f64, alive: &BTreeSet<Arc<str>>) {
        let (me, forget_after_secs) = (self.me.clone(), self.limits.forget_after_secs);
        self.forgotten.retain(|_, (_, at)| now - *at < 2.0 * forget_after_secs);
        let (forgotten, totals) = (&mut self.forgotten, &mut self.totals);
        self.origins.retain(|origin, state| {
            let is_own_name = origin.name == me.name;
            if *origin != me {
                state.remove_expired(now).iter().for_each(|row| totals.apply(row, is_own_name, -1));
            } else {
                state.remove_expired(now);
            }
            let is_kept = *origin == me
                || alive.contains(&origin.name)
                || now - state.last_change_at < forget_after_secs;
            if !is_kept {
                state.rows.values().for_each(|row| totals.apply(row, is_own_name, -1));
                let last = forgotten.entry(origin.name.clone()).or_insert((0, now));
                *last = (last.0.max(origin.incarnation), now);
            }
            is_kept
        });
        while self.forgotten.len() > self.limits.remote_origins {
            let oldest =
                self.forgotten.iter().min_by(|a, b| a.1 .1.total_cmp(&b.1 .1)).map(|(n, _)| n.clone());
            let Some(oldest) = oldest else { break };
            self.forgotten.remove(&oldest);
        }
    }

    /// Usage of a customer in a window by all origins except the local one: never more than was admitted.
    pub fn remote_usage(&self, customer: &CustomerId, window: i64) -> RemoteUsage {
        self.totals.sums.get(&(customer.clone(), window)).map(|sum| sum.0).unwrap_or_default()
    }

    /// Remote usage of every customer and window in which it has changed since the last call.
    pub fn take_changed_usage(&mut self) -> Vec<((CustomerId, i64), RemoteUsage)> {
        let changed = std::mem::take(&mut self.totals.changed).into_iter();
        changed
            .map(|key| (key.clone(), self.totals.sums.get(&key).map(|sum| sum.0).unwrap_or_default()))
            .collect()
    }

    /// Fraction of the other gatekeepers, in a fleet of `members`, whose replicas here are fresh, 0 to 1. Each name
    /// counts once, by its last incarnation. A gatekeeper that has left, and all of whose changes are held, is fresh:
    /// it admits nothing more.
    pub fn fresh_fraction(&self, now: f64, members: u32) -> f64 {
        let mut is_fresh_by_name = BTreeMap::<&str, bool>::new();
        for lag in self.lags(now).filter(|lag| lag.origin.name != self.me.name) {
            let is_fresh =
                lag.has_left && lag.missing_versions == 0 || lag.seconds <= self.limits.max_lag_secs;
            is_fresh_by_name.insert(&lag.origin.name, is_fresh); // Incarnations come in ascending order.
        }
        let fresh = is_fresh_by_name.values().filter(|is_fresh| **is_fresh).count();
        (fresh as f64 / f64::from(members.saturating_sub(1).max(1))).min(1.0)
    }

    /// Nodes whose health another origin reports.
    pub fn remotely_observed_nodes(&self) -> BTreeSet<HostId> {
        let others = self.origins.iter().filter(|(origin, _)| **origin != self.me);
        others.flat_map(|(_, state)| state.nodes().cloned()).collect()
    }

    /// Health of a node since its start at `started_at` as other origins report it, with the present age of the
    /// evidence in seconds by the local clock (at least its age when it was recorded). The report with the freshest
    /// evidence wins; of equally fresh ones the worse.
    pub fn remote_health(&self, now: f64, node: &HostId, started_at: f64) -> Option<(NodeHealth, f64)> {
        let key = Key::Health(node.clone());
        let rows = self.origins.iter().filter(|(origin, _)| **origin != self.me);
        let reports = rows.filter_map(|(_, state)| match state.rows.get(&key)?.value {
            RowValue::Health(health)
                if (health.started_at - started_at).abs() < SAME_START_TOLERANCE_SECS =>
            {
                Some(health)
            }
            _ => None,
        });
        let aged =
            reports.map(|health| (health, health.evidence_age_secs + (now - health.recorded_at).max(0.0)));
        aged.min_by(|(a, a_age), (b, b_age)| {
            let badness = |h: &NodeHealth| (h.failure_rate, h.latency_ratio);
            let worse_first = badness(b).partial_cmp(&badness(a)).unwrap_or(std::cmp::Ordering::Equal);
            a_age.total_cmp(b_age).then(worse_first)
        })
    }

    /// The local origin.
    pub fn me(&self) -> &Origin {
        &self.me
    }

    /// Uptime in the last heartbeat of the local origin, in seconds.
    pub fn last_heartbeat(&self) -> Option<f64> {
        self.origins.get(&self.me)?.heartbeat.map(|heartbeat| heartbeat.uptime)
    }

    /// Number of usage rows over all origins, and a checksum of their keys and versions: replicas that hold the same
    /// usage rows report the same values.
    pub fn usage_checksum(&self) -> (usize, u64) {
        let (mut count, mut sum) = (0, 0u64);
        for (origin, state) in &self.origins {
            let origin_hash = fnv1a(&origin.name) ^ origin.incarnation.wrapping_mul(GOLDEN_BITS);
            for (key, row) in &state.rows {
                if let Key::Usage(customer, window) = key {
                    let key_hash = fnv1a(&customer.0) ^ (*window as u64).wrapping_mul(GOLDEN_BITS);
                    let row_hash = (origin_hash ^ key_hash.rotate_left(17))
                        .wrapping_add(row.version)
                        .wrapping_mul(GOLDEN_BITS);
                    (count, sum) = (count + 1, sum.wrapping_add(row_hash ^ row_hash >> 29));
                }
            }
        }
        (count, sum)
    }

    /// Number of rows held, over all origins.
    pub fn row_count(&self) -> usize {
        self.origins.values().map(|state| state.rows.len()).sum()
    }

    /// Lag behind each origin, including the local one (whose lag is 0).
    pub fn lags(&self, now: f64) -> impl Iterator<Item = Lag<'_>> {
        self.origins.iter().map(move |(origin, state)| Lag {
            origin,
            seconds: if *origin == self.me { 0.0 } else { state.lag_secs(now) },
            missing_versions: state.latest_seen_version - state.version,
            has_left: state.has_left(),
        })
    }

    /// Whether an origin has left the fleet by a regular shutdown.
    pub fn has_left(&self, origin: &Origin) -> bool {
        self.origins.get(origin).is_some_and(OriginState::has_left)
    }

    /// Totals of all merges so far.
    pub fn merge_stats(&self) -> MergeStats {
        self.stats
    }
}

impl Row {
    /// Whether the value fits the key and its numbers are in range.
    fn is_valid(&self) -> bool {
        let is_magnitude = |x: f64| x.is_finite() && x >= 0.0;
        self.expires_at.is_finite()
            && match (&self.key, self.value) {
                (Key::Usage(..), RowValue::Usage { units, acknowledged }) => {
                    [units, acknowledged].into_iter().all(|x| is_magnitude(x) && x <= MAX_UNITS)
                }
                (Key::Heartbeat, RowValue::Heartbeat(uptime)) => is_magnitude(uptime),
                (Key::Left, RowValue::Left) => true,
                (Key::Health(_), RowValue::Health(h)) => {
                    [h.started_at, h.failure_rate, h.latency_ratio, h.evidence_age_secs, h.recorded_at]
                        .into_iter()
                        .all(is_magnitude)
                        && h.failure_rate <= 1.0
                }
                _ => false,
            }
    }
}
