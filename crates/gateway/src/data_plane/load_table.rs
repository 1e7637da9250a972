//! Owns what this gatekeeper has out at each worker and what the others tell of theirs. Those of its own zone hear at
//! once, as bytes within a zone cost nothing; those of other zones a few times a second. Pure; time is passed in. It
//! must never be relied on for more than a choice: datagrams get lost.

use crate::protocol::{LoadReport, NodeLocation};
use std::collections::BTreeMap;
use std::net::IpAddr;
use whinstall::identifiers;

/// A change is told to the own zone after so long for each of its gatekeepers: seconds.
const NEAR_EACH: f64 = 0.001;
/// And to other zones after this.
const FAR: f64 = 0.2;
/// All is told again after this, as datagrams get lost.
const AGAIN: f64 = 0.25;
/// What was told counts for so long: seconds.
const KEPT: f64 = 0.8;

struct Other {
    life: u64,
    number: u64,
    heard: f64,
    out: Vec<(u32, u16)>,
}

/// Attempts that are out, here and elsewhere.
pub struct LoadTable {
    me: NodeLocation,
    life: u64,
    number: u64,
    mine: BTreeMap<u32, u16>,
    others: BTreeMap<IpAddr, Other>,
    sums: BTreeMap<u32, u32>,
    near: Vec<IpAddr>,
    far: Vec<IpAddr>,
    /// When the own zone and the others are to be told.
    near_at: f64,
    far_at: f64,
    told_at: (f64, f64),
}

/// A worker's short name.
pub fn key(worker: &str) -> u32 {
    identifiers::fnv1a(worker) as u32
}

impl LoadTable {
    /// Nothing is out.
    pub fn new(me: NodeLocation, life: u64) -> Self {
        LoadTable {
            me,
            life,
            number: 0,
            mine: BTreeMap::new(),
            others: BTreeMap::new(),
            sums: BTreeMap::new(),
            near: Vec::new(),
            far: Vec::new(),
            near_at: f64::INFINITY,
            far_at: f64::INFINITY,
            told_at: (0.0, 0.0),
        }
    }

    /// The gatekeepers that there are, with their zones.
    pub fn gates(&mut self, gates: BTreeMap<IpAddr, &str>) {
        let others = gates.into_iter().filter(|(ip, _)| *ip != self.me.ip);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|(_, zone)| *zone == self.me.zone);
        self.near = near.into_iter().map(|(ip, _)| ip).collect();
        self.far = far.into_iter().map(|(ip, _)| ip).collect();
    }

    /// How many others there are.
    #[cfg(test)]
    pub fn others(&self) -> usize {
        self.near.len() + self.far.len()
    }

    fn changed(&mut self, now: f64) {
        let near = self.told_at.0 + NEAR_EACH * self.near.len() as f64;
        self.near_at = self.near_at.min(near.max(now));
        self.far_at = self.far_at.min((self.told_at.1 + FAR).max(now));
    }

    /// An attempt goes out to a worker.
    pub fn begins(&mut self, now: f64, worker: &str) {
        *self.mine.entry(key(worker)).or_default() += 1;
        self.changed(now);
    }

    /// It has ended.
    pub fn ends(&mut self, now: f64, worker: &str) {
        let key = key(worker);
        if let Some(out) = self.mine.get_mut(&key) {
            *out = out.saturating_sub(1);
            if *out == 0 {
                self.mine.remove(&key);
            }
        }
        self.changed(now);
    }

    /// When something is to be told next.
    pub fn next(&self) -> f64 {
        self.near_at.min(self.far_at)
    }

    /// What is to be told now, and to whom.
    pub fn tell(&mut self, now: f64) -> Option<(Vec<IpAddr>, LoadReport)> {
        let mut to = Vec::new();
        if now >= self.near_at {
            (self.told_at.0, self.near_at) =
                (now, if self.mine.is_empty() { f64::INFINITY } else { now + AGAIN });
            to.extend(&self.near);
        }
        if now >= self.far_at {
            (self.told_at.1, self.far_at) =
                (now, if self.mine.is_empty() { f64::INFINITY } else { now + AGAIN });
            to.extend(&self.far);
        }
        if to.is_empty() {
            return None;
        }
        self.number += 1;
        let out = self.mine.iter().map(|(key, out)| (*key, *out)).collect();
        Some((to, LoadReport { incarnation: self.life, sequence: self.number, in_flight: out }))
    }

    /// What another one has out. Returned: workers of which the sum is another now, with it.
    pub fn told(&mut self, now: f64, from: IpAddr, load: LoadReport) -> Vec<(u32, u32)> {
        let held = self.others.get(&from);
        if held.is_some_and(|h| h.life == load.incarnation && h.number >= load.sequence) {
            return Vec::new();
        }
        let LoadReport { incarnation: life, sequence: number, in_flight: out } = load;
        let old = self.others.insert(from, Other { life, number, heard: now, out });
        let new = self.others[&from].out.clone();
        self.shift(old.map(|o| o.out).unwrap_or_default(), new)
    }

    fn shift(&mut self, old: Vec<(u32, u16)>, new: Vec<(u32, u16)>) -> Vec<(u32, u32)> {
        let mut moved: BTreeMap<u32, i64> = BTreeMap::new();
        for (key, out) in old {
            *moved.entry(key).or_default() -= i64::from(out);
        }
        for (key, out) in new {
            *moved.entry(key).or_default() += i64::from(out);
        }
        let mut news = Vec::new();
        for (key, by) in moved.into_iter().filter(|(_, by)| *by != 0) {
            let sum = self.sums.entry(key).or_default();
            *sum = (i64::from(*sum) + by).max(0) as u32;
            news.push((key, *sum));
        }
        news
    }

    /// Those that have said nothing for long count no more. Returned as by [`Loads::told`].
    pub fn sweep(&mut self, now: f64) -> Vec<(u32, u32)> {
        let late: Vec<IpAddr> = self
            .others
            .iter()
            .filter(|(_, o)| now - o.heard > KEPT && !o.out.is_empty())
            .map(|(ip, _)| *ip)
            .collect();
        let mut news = Vec::new();
        for ip in late {
            let Some(other) = self.others.get_mut(&ip) else { continue };
            let old = std::mem::take(&mut other.out);
            news.extend(self.shift(old, Vec::new()));
        }
        self.sums.retain(|_, sum| *sum > 0);
        news
    }

    /// Attempts that others have out at a worker.
    pub fn elsewhere(&self, worker: &str) -> u32 {
        self.sums.get(&key(worker)).copied().unwrap_or(0)
    }
}
