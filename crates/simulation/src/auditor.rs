//! The auditor: checks the invariants of the data plane against what workers, clients and the primary operator observe.

use super::{DeploymentPlan, WorkerAttempt};
use std::collections::{BTreeMap, HashMap};
use whinstall_gateway::configuration::{ConfigItem, ItemKind};
use whinstall_gateway::data_plane::requests::FinalResponse;

/// Seconds after the acknowledgement of a worker's drain in which attempts may still reach the worker.
const DRAIN_BOUND_SECS: f64 = 2.5;
/// Seconds after the acknowledgement of a change until edge nodes must route by it.
const SETTLE_SECS: f64 = 2.5;
/// Length in seconds of the window over which a tenant's quota is checked.
const QUOTA_HORIZON_SECS: f64 = 5.0;
/// Length in seconds of the window over which the retry budget is checked.
const RETRY_WINDOW_SECS: f64 = 10.0;

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
    requests: Vec<AuditedRequest>,
    quotas: HashMap<&'static str, f64>,
    /// Start times of request executions at workers, by the tenant's key.
    runs: HashMap<&'static str, Vec<f64>>,
    /// Times of retries (arrivals of a request at a worker after its first), by path.
    retries: HashMap<&'static str, Vec<f64>>,
    drained_at: HashMap<String, f64>,
    /// Service that the alternating route `r-flip` names, by version.
    flips: BTreeMap<u64, String>,
    acknowledged_items: Vec<(f64, ConfigItem)>,
    /// Highest version at which the removal of an item was requested, acknowledged or not.
    removals: HashMap<(ItemKind, String), u64>,
    /// Highest version of `r-flip` that each incarnation of an edge node was observed to route by.
    observed_versions: HashMap<(usize, u64), u64>,
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
            requests: Vec::new(),
            quotas: HashMap::from([("key-big", plan.quota), ("key-small", 6.0)]),
            runs: HashMap::new(),
            retries: HashMap::new(),
            drained_at: HashMap::new(),
            flips: BTreeMap::new(),
            acknowledged_items: Vec::new(),
            removals: HashMap::new(),
            observed_versions: HashMap::new(),
            violations: Vec::new(),
            read: None,
            read_at: 0.0,
        }
    }

    /// Records a client's request and returns its number.
    pub fn request_sent(&mut self, at: f64, _: usize, _: u64, key: &'static str, path: &'static str) -> u64 {
        self.requests.push(AuditedRequest { at, key, path, runs: 0, answer: None, arrivals: 0 });
        self.requests.len() as u64 - 1
    }

    /// Records that an edge node found no route or no tenant for this request.
    pub fn request_unroutable(&mut self, request: u64) {
        self.requests[request as usize].answer = Some(404);
    }

    /// Forgets an incarnation of an edge node that ended.
    pub fn edge_died(&mut self, edge: usize, incarnation: u64) {
        self.observed_versions.remove(&(edge, incarnation));
    }

    /// Records which service the alternating route names as of this version.
    pub fn flip_sent(&mut self, version: u64, service: &str) {
        self.flips.insert(version, service.into());
    }

    /// Records the removals that a change asks for, acknowledged or not.
    pub fn removals_requested(&mut self, items: &[ConfigItem]) {
        for item in items.iter().filter(|i| i.body.is_none()) {
            let held = self.removals.entry((item.kind, item.label.clone())).or_default();
            *held = item.version.max(*held);
        }
    }

    /// Records the items of a change that was acknowledged to the primary operator.
    pub fn acknowledged(&mut self, at: f64, items: &[ConfigItem]) {
        self.acknowledged_items.extend(items.iter().map(|i| (at, i.clone())));
    }

    /// Whether any change was acknowledged to the primary operator yet.
    pub fn has_acknowledged_changes(&self) -> bool {
        !self.acknowledged_items.is_empty()
    }

    /// Records that a core node acknowledged this worker's drain.
    pub fn drain_acknowledged(&mut self, worker: &str, at: f64) {
        self.drained_at.insert(worker.into(), at);
    }

    /// Records that an attempt reached a worker. DRAIN: no attempt arrives more than `DRAIN_BOUND_SECS` after the worker's
    /// drain was acknowledged, unless the edge node is out of contact with the core.
    pub fn attempt_arrived(&mut self, now: f64, hit: &WorkerAttempt, worker: &str, in_touch: bool) {
        let asked = &mut self.requests[hit.request as usize];
        asked.arrivals += 1;
        if asked.arrivals > 1 {
            self.retries.entry(asked.path).or_default().push(now);
        }
        let left = self.drained_at.get(worker).filter(|at| now - **at > DRAIN_BOUND_SECS);
        if let Some(at) = left.filter(|_| in_touch) {
            self.violations.push(format!(
                "DRAIN {now:.3}: edge {} sends to {worker}, whose drain was acknowledged at {at:.3}",
                hit.edge
            ));
        }
    }

    /// Records that a worker started a request. TWICE: a request with effects runs at most once. REFUSED: none runs after
    /// a 429 or 503 response. CONFIG: the service is one that the configuration allowed.
    pub fn attempt_started(&mut self, now: f64, hit: &WorkerAttempt, service: &str, calm: bool) {
        let asked = &mut self.requests[hit.request as usize];
        asked.runs += 1;
        let effectful = asked.path != "/read/x";
        if effectful && asked.runs > 1 {
            self.violations.push(format!(
                "TWICE {now:.3}: request {} on {} runs a second time",
                hit.request, asked.path
            ));
        }
        if effectful && matches!(asked.answer, Some(429 | 503)) {
            self.violations
                .push(format!("REFUSED {now:.3}: request {} runs after it was rejected", hit.request));
        }
        self.runs.entry(asked.key).or_default().push(now);
        if asked.path != "/flip/x" {
            return;
        }
        // The versions of the route by which the edge node may have sent the request to this service.
        let (sent, edge) = (asked.at, (hit.edge, hit.incarnation));
        let settled = self
            .acknowledged_items
            .iter()
            .filter(|(at, i)| sent > at + SETTLE_SECS && i.kind == ItemKind::Route && i.label == "r-flip");
        let settled = settled.map(|(_, i)| i.version).max().filter(|_| calm).unwrap_or(0);
        let floor = settled.max(self.observed_versions.get(&edge).copied().unwrap_or(0));
        let allowed: Vec<u64> =
            self.flips.range(floor..).filter(|(_, s)| *s == service).map(|(v, _)| *v).collect();
        match allowed.first() {
            None => self.violations.push(format!(
                "CONFIG {now:.3}: edge {} sends to {service}, which no version from r{floor} on names",
                hit.edge
            )),
            Some(oldest) => {
                // Requests in flight overlap, so only the oldest version that explains this one is known to be in use.
                let _ = self
                    .observed_versions
                    .entry(edge)
                    .and_modify(|v| *v = (*v).max(*oldest))
                    .or_insert(*oldest);
            }
        }
    }

    /// Counts requests by the status of their response; status 0 stands for requests without a response.
    pub fn statuses(&self) -> BTreeMap<u16, u64> {
        let mut all = BTreeMap::new();
        for asked in &self.requests {
            *all.entry(asked.answer.unwrap_or(0)).or_default() += 1;
        }
        all
    }

    /// Number of items acknowledged to the primary operator, and number of request executions at workers.
    pub fn counts(&self) -> (usize, u64) {
        (self.acknowledged_items.len(), self.requests.iter().map(|a| u64::from(a.runs)).sum())
    }

    /// Records an edge node's response to a request. A request gets one response, within its time limit, and none that ran
    /// gets 429 or 503 (REFUSED).
    pub fn request_answered(
        &mut self,
        now: f64,
        request: u64,
        answer: &FinalResponse,
        edge_ran_throughout: bool,
    ) {
        let asked = &mut self.requests[request as usize];
        let status = match answer {
            FinalResponse::Upstream(_) => 200,
            FinalResponse::RateLimited(_) => 429,
            FinalResponse::NotExecuted(_) => 503,
            FinalResponse::UpstreamFailed => 502,
            FinalResponse::TimedOut => 504,
        };
        if asked.answer.replace(status).is_some() {
            self.violations.push(format!("{now:.3}: request {request} gets a second response"));
        }
        if asked.path != "/read/x" && asked.runs > 0 && matches!(status, 429 | 503) {
            self.violations.push(format!("REFUSED {now:.3}: request {request} has run and gets {status}"));
        }
        if edge_ran_throughout && now - asked.at > 1.05 {
            self.violations.push(format!(
                "{now:.3}: request {request} is answered after {:.3} s, limit 1.05 s",
                now - asked.at
            ));
        }
    }

    /// Records that the final read was sent: it must return everything acknowledged before this time.
    pub fn final_read_sent(&mut self, now: f64) {
        self.read_at = now;
    }

    /// Records what the final read returned.
    pub fn final_read_answered(&mut self, body: &serde_json::Value) {
        self.read = Some(body.clone());
    }

    /// Fraction of a tenant's requests between two times that the quota rejected (429).
    pub fn rate_limited_fraction(&self, from: f64, to: f64, key: &str) -> f64 {
        let all = self.requests.iter().filter(|a| a.at >= from && a.at < to && a.key == key);
        let (no, all) = all.fold((0, 0), |(no, all), a| (no + u32::from(a.answer == Some(429)), all + 1));
        f64::from(no) / f64::from(all.max(1))
    }

    /// Fraction of a tenant's requests between two times that were served (200).
    pub fn served_fraction(&self, from: f64, to: f64, key: &str) -> f64 {
        let all = self.requests.iter().filter(|a| a.at >= from && a.at < to && a.key == key);
        let (ok, all) = all.fold((0, 0), |(ok, all), a| (ok + u32::from(a.answer == Some(200)), all + 1));
        f64::from(ok) / f64::from(all.max(1))
    }

    /// Fraction served among the requests that a single token bucket with the tenant's quota admits.
    pub fn served_fraction_within_quota(&self, from: f64, to: f64, key: &str) -> f64 {
        let quota = self.quotas.get(key).copied().unwrap_or(f64::INFINITY);
        let (mut bucket, mut last, mut ok, mut admitted) = (quota, 0.0, 0, 0);
        for asked in self.requests.iter().filter(|a| a.key == key) {
            bucket = (bucket + quota * (asked.at - last)).min(quota);
            last = asked.at;
            let passes = bucket >= 1.0;
            bucket -= f64::from(u8::from(passes));
            if asked.at >= from && asked.at < to {
                admitted += u32::from(passes);
                ok += u32::from(asked.answer == Some(200));
            }
        }
        f64::from(ok) / f64::from(admitted.max(1))
    }

    /// Highest number of requests that ran in any quota horizon, as a fraction of the allowed number, over all tenants.
    pub fn quota_usage(&self) -> f64 {
        let used = |(key, runs): (&&'static str, &Vec<f64>)| {
            let quota = self.quotas.get(key)?;
            let most = (quota * QUOTA_HORIZON_SECS + quota) * 1.1 + 20.0;
            let counts = runs
                .iter()
                .map(|at| runs.iter().filter(|r| **r >= *at && **r < at + QUOTA_HORIZON_SECS).count());
            Some(counts.max()? as f64 / most)
        };
        self.runs.iter().filter_map(used).fold(0.0, f64::max)
    }

    /// Runs the checks that need the whole day: quotas, retry budgets, and the final read against acknowledged items.
    pub fn check_end_of_day(&mut self) {
        if self.quota_usage() > 1.0 {
            self.violations.push(format!(
                "QUOTA: {:.2} times the allowed requests ran in one horizon",
                self.quota_usage()
            ));
        }
        for (path, retries) in &self.retries {
            for at in retries {
                let within = |t: f64| t >= *at && t < at + RETRY_WINDOW_SECS;
                let count = retries.iter().filter(|t| within(**t)).count() as f64;
                let asked = self.requests.iter().filter(|a| a.path == *path && within(a.at)).count() as f64;
                if count > 0.2 * asked + 62.0 {
                    self.violations.push(format!(
                        "BUDGET {at:.3}: {count} retries in {RETRY_WINDOW_SECS} s for {asked} requests on {path}"
                    ));
                    break;
                }
            }
        }
        let Some(read) = &self.read else {
            self.violations.push("the final read got no response".into());
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
            let read_version = row.and_then(|r| r[version].as_str()?.strip_prefix('r')?.parse::<u64>().ok());
            let good = match (&item.body, read_version) {
                (Some(_), Some(read)) => read >= item.version,
                (None, Some(read)) => read > item.version,
                // Removed since, by a call that got no definite response yet.
                (Some(_), None) => {
                    self.removals.get(&(kind, label.clone())).is_some_and(|v| *v > item.version)
                }
                (None, None) => true,
            };
            if !good {
                self.violations.push(format!(
                    "CONFIG: {label} r{} was acknowledged, the final read shows version {read_version:?}",
                    item.version
                ));
            }
        }
    }
}
