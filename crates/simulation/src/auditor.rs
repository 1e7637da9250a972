//! The auditor: checks the rules of the system by what workers, clients and the primary operator see.

use super::{DeploymentPlan, WorkerAttempt};
use std::collections::{BTreeMap, HashMap};
use whinstall_gateway::configuration::{ConfigItem, ItemKind};
use whinstall_gateway::data_plane::requests::FinalResponse;

const DRAIN: f64 = 2.5;
const SETTLE: f64 = 2.5;
const HORIZON: f64 = 5.0;
const WINDOW: f64 = 10.0;

struct AuditedRequest {
    at: f64,
    key: &'static str,
    path: &'static str,
    runs: u32,
    answer: Option<u16>,
    arrivals: u32,
}

/// Checks what workers, clients and operators see, and records each violation as a line of text.
pub struct Auditor {
    asked: Vec<AuditedRequest>,
    quotas: HashMap<&'static str, f64>,
    /// Runs by key.
    runs: HashMap<&'static str, Vec<f64>>,
    /// Arrivals beyond the first of each request, and requests, by path.
    further: HashMap<&'static str, Vec<f64>>,
    leaving: HashMap<String, f64>,
    /// Services of the route that flips, by version.
    flips: BTreeMap<u64, String>,
    acknowledged_items: Vec<(f64, ConfigItem)>,
    /// Newest version at which an item was told to be dropped, acknowledged or not.
    drops: HashMap<(ItemKind, String), u64>,
    /// Newest flip version that an edge's life was seen to serve by.
    seen: HashMap<(usize, u64), u64>,
    /// The violations found so far, in order of time.
    pub violations: Vec<String>,
    /// The configuration that the final read returned.
    pub read: Option<serde_json::Value>,
    /// When the final read was last attempted.
    pub read_at: f64,
}

impl Auditor {
    /// An auditor that knows the tenants' quotas from the plan.
    pub fn new(plan: &DeploymentPlan) -> Self {
        Auditor {
            asked: Vec::new(),
            quotas: HashMap::from([("key-big", plan.quota), ("key-small", 6.0)]),
            runs: HashMap::new(),
            further: HashMap::new(),
            leaving: HashMap::new(),
            flips: BTreeMap::new(),
            acknowledged_items: Vec::new(),
            drops: HashMap::new(),
            seen: HashMap::new(),
            violations: Vec::new(),
            read: None,
            read_at: 0.0,
        }
    }

    /// Records a client's request and returns its number.
    pub fn asked(&mut self, at: f64, _: usize, _: u64, key: &'static str, path: &'static str) -> u64 {
        self.asked.push(AuditedRequest { at, key, path, runs: 0, answer: None, arrivals: 0 });
        self.asked.len() as u64 - 1
    }

    /// An edge node had no route or no tenant for this request.
    pub fn turned_back(&mut self, request: u64) {
        self.asked[request as usize].answer = Some(404);
    }

    /// This incarnation of an edge node ended.
    pub fn edge_died(&mut self, edge: usize, incarnation: u64) {
        self.seen.remove(&(edge, incarnation));
    }

    /// Records which service the alternating route names as of this version.
    pub fn sent(&mut self, version: u64, service: &str) {
        self.flips.insert(version, service.into());
    }

    /// Records the removals that a change asks for, acknowledged or not.
    pub fn told(&mut self, items: &[ConfigItem]) {
        for item in items.iter().filter(|i| i.body.is_none()) {
            let held = self.drops.entry((item.kind, item.label.clone())).or_default();
            *held = item.version.max(*held);
        }
    }

    /// Records the items of a change that was acknowledged to the primary operator.
    pub fn acknowledged(&mut self, at: f64, items: &[ConfigItem]) {
        self.acknowledged_items.extend(items.iter().map(|i| (at, i.clone())));
    }

    /// Was anything acknowledged yet?
    pub fn begun(&self) -> bool {
        !self.acknowledged_items.is_empty()
    }

    /// A core node acknowledged that this worker drains.
    pub fn leaving(&mut self, worker: &str, at: f64) {
        self.leaving.insert(worker.into(), at);
    }

    /// An attempt reaches a worker: none may, long after the worker's drain was acknowledged (DRAIN).
    pub fn arrives(&mut self, now: f64, hit: &WorkerAttempt, worker: &str, in_touch: bool) {
        let asked = &mut self.asked[hit.request as usize];
        asked.arrivals += 1;
        if asked.arrivals > 1 {
            self.further.entry(asked.path).or_default().push(now);
        }
        let left = self.leaving.get(worker).filter(|at| now - **at > DRAIN);
        if let Some(at) = left.filter(|_| in_touch) {
            self.violations.push(format!("DRAIN {now:.3}: {worker} left at {at:.3}, edge {}", hit.edge));
        }
    }

    /// A worker starts a request: at most once if it has effects (TWICE), never after a rejection (REFUSED), and only
    /// at a service that the configuration allowed (CONFIG).
    pub fn runs(&mut self, now: f64, hit: &WorkerAttempt, service: &str, calm: bool) {
        let asked = &mut self.asked[hit.request as usize];
        asked.runs += 1;
        let effectful = asked.path != "/read/x";
        if effectful && asked.runs > 1 {
            self.violations.push(format!("TWICE {now:.3}: request {} on {}", hit.request, asked.path));
        }
        if effectful && matches!(asked.answer, Some(429 | 503)) {
            self.violations.push(format!("REFUSED {now:.3}: request {} runs after its refusal", hit.request));
        }
        self.runs.entry(asked.key).or_default().push(now);
        if asked.path != "/flip/x" {
            return;
        }
        // By which versions may this have been sent there?
        let (sent, edge) = (asked.at, (hit.edge, hit.incarnation));
        let settled = self
            .acknowledged_items
            .iter()
            .filter(|(at, i)| sent > at + SETTLE && i.kind == ItemKind::Route && i.label == "r-flip");
        let settled = settled.map(|(_, i)| i.version).max().filter(|_| calm).unwrap_or(0);
        let floor = settled.max(self.seen.get(&edge).copied().unwrap_or(0));
        let allowed: Vec<u64> =
            self.flips.range(floor..).filter(|(_, s)| *s == service).map(|(v, _)| *v).collect();
        match allowed.first() {
            None => self
                .violations
                .push(format!("CONFIG {now:.3}: edge {} sends to {service}, floor r{floor}", hit.edge)),
            Some(oldest) => {
                // Requests in flight overlap: only what was surely seen counts.
                let _ = self.seen.entry(edge).and_modify(|v| *v = (*v).max(*oldest)).or_insert(*oldest);
            }
        }
    }

    /// Requests by the status of their answer; 0: none.
    pub fn statuses(&self) -> BTreeMap<u16, u64> {
        let mut all = BTreeMap::new();
        for asked in &self.asked {
            *all.entry(asked.answer.unwrap_or(0)).or_default() += 1;
        }
        all
    }

    /// Orders that were acknowledged to the first operator, as items; runs of requests at workers.
    pub fn counts(&self) -> (usize, u64) {
        (self.acknowledged_items.len(), self.asked.iter().map(|a| u64::from(a.runs)).sum())
    }

    /// An edge node answers a request: once, in time, and without a rejection of what has run.
    pub fn answered(&mut self, now: f64, request: u64, answer: &FinalResponse, ran_all_the_while: bool) {
        let asked = &mut self.asked[request as usize];
        let status = match answer {
            FinalResponse::Upstream(_) => 200,
            FinalResponse::RateLimited(_) => 429,
            FinalResponse::NotExecuted(_) => 503,
            FinalResponse::UpstreamFailed => 502,
            FinalResponse::TimedOut => 504,
        };
        if asked.answer.replace(status).is_some() {
            self.violations.push(format!("{now:.3}: request {request} is answered twice"));
        }
        if asked.path != "/read/x" && asked.runs > 0 && matches!(status, 429 | 503) {
            self.violations.push(format!("REFUSED {now:.3}: request {request} has run"));
        }
        if ran_all_the_while && now - asked.at > 1.05 {
            self.violations
                .push(format!("{now:.3}: request {request} is answered after {:.3}", now - asked.at));
        }
    }

    /// What is acknowledged by now must be in what is read.
    pub fn reads(&mut self, now: f64) {
        self.read_at = now;
    }

    /// Records what the final read returned.
    pub fn read_back(&mut self, body: &serde_json::Value) {
        self.read = Some(body.clone());
    }

    /// Part of the requests of a span that the quota denied.
    pub fn denied(&self, from: f64, to: f64, key: &str) -> f64 {
        let all = self.asked.iter().filter(|a| a.at >= from && a.at < to && a.key == key);
        let (no, all) = all.fold((0, 0), |(no, all), a| (no + u32::from(a.answer == Some(429)), all + 1));
        f64::from(no) / f64::from(all.max(1))
    }

    /// Parts of requests from then on that were served, and refused beyond a quota.
    pub fn served(&self, from: f64, to: f64, key: &str) -> f64 {
        let all = self.asked.iter().filter(|a| a.at >= from && a.at < to && a.key == key);
        let (ok, all) = all.fold((0, 0), |(ok, all), a| (ok + u32::from(a.answer == Some(200)), all + 1));
        f64::from(ok) / f64::from(all.max(1))
    }

    /// The same of those that a single token bucket of the tenant's quota would let pass.
    pub fn served_of_owed(&self, from: f64, to: f64, key: &str) -> f64 {
        let quota = self.quotas.get(key).copied().unwrap_or(f64::INFINITY);
        let (mut bucket, mut last, mut ok, mut owed) = (quota, 0.0, 0, 0);
        for asked in self.asked.iter().filter(|a| a.key == key) {
            bucket = (bucket + quota * (asked.at - last)).min(quota);
            last = asked.at;
            let passes = bucket >= 1.0;
            bucket -= f64::from(u8::from(passes));
            if asked.at >= from && asked.at < to {
                owed += u32::from(passes);
                ok += u32::from(asked.answer == Some(200));
            }
        }
        f64::from(ok) / f64::from(owed.max(1))
    }

    /// The most units that ran in a horizon, over what the rule allows.
    pub fn quota_use(&self) -> f64 {
        let used = |(key, runs): (&&'static str, &Vec<f64>)| {
            let quota = self.quotas.get(key)?;
            let most = (quota * HORIZON + quota) * 1.1 + 20.0;
            let counts =
                runs.iter().map(|at| runs.iter().filter(|r| **r >= *at && **r < at + HORIZON).count());
            Some(counts.max()? as f64 / most)
        };
        self.runs.iter().filter_map(used).fold(0.0, f64::max)
    }

    /// What can be told only at the end.
    pub fn close(&mut self) {
        if self.quota_use() > 1.0 {
            self.violations.push(format!("QUOTA: {:.2} of what is allowed", self.quota_use()));
        }
        for (path, further) in &self.further {
            for at in further {
                let within = |t: f64| t >= *at && t < at + WINDOW;
                let more = further.iter().filter(|t| within(**t)).count() as f64;
                let asked = self.asked.iter().filter(|a| a.path == *path && within(a.at)).count() as f64;
                if more > 0.2 * asked + 62.0 {
                    self.violations
                        .push(format!("BUDGET {at:.3}: {more} further tries for {asked} requests on {path}"));
                    break;
                }
            }
        }
        let Some(read) = &self.read else {
            self.violations.push("nothing was read back".into());
            return;
        };
        let mut newest: BTreeMap<(ItemKind, String), ConfigItem> = BTreeMap::new();
        for (_, item) in self.acknowledged_items.iter().filter(|(at, _)| *at < self.read_at) {
            let held = newest.entry((item.kind, item.label.clone())).or_insert_with(|| item.clone());
            if held.version < item.version {
                *held = item.clone();
            }
        }
        for ((kind, label), item) in newest {
            let list = &read[kind.set_name()];
            let at = |name: &str| list["columns"].as_array()?.iter().position(|c| c == name);
            let (Some(name), Some(version)) = (at("label"), at("revision")) else { continue };
            let mut rows = list["records"].as_array().into_iter().flatten();
            let row = rows.find(|r| r[name] == label.as_str());
            let told = row.and_then(|r| r[version].as_str()?.strip_prefix('r')?.parse::<u64>().ok());
            let good = match (&item.body, told) {
                (Some(_), Some(told)) => told >= item.version,
                (None, Some(told)) => told > item.version,
                // Dropped since, by a call that got no clear answer yet.
                (Some(_), None) => self.drops.get(&(kind, label.clone())).is_some_and(|v| *v > item.version),
                (None, None) => true,
            };
            if !good {
                self.violations
                    .push(format!("CONFIG: {label} r{} was acknowledged, {told:?} is read", item.version));
            }
        }
    }
}
