//! Concurrent operators: their load, the changes that they sent and the responses that they received. Operators know only
//! what arrives on their connections.

use crate::history::{Held, Read};
use whinstall_gateway::configuration::{parse_change, ConfigItem};

/// The load that the concurrent operators generate.
#[derive(Clone, Debug)]
pub struct OperatorLoad {
    /// How many operators there are.
    pub operators: usize,
    /// Number of changes that one operator has in flight at once.
    pub at_once: usize,
    /// Total number of changes, conflicting changes not counted.
    pub orders: usize,
    /// When the first changes are sent.
    pub from: f64,
    /// No change is sent after this time.
    pub until: f64,
    /// Maximum seconds between a response and the operator's next change.
    pub pause: f64,
    /// Fraction of the changes that get a conflicting change with the same version and other content.
    pub twin_fraction: f64,
    /// Fraction of the responses that are lost on their way.
    pub lost_fraction: f64,
    /// Fraction of the confirmed changes that are sent again.
    pub resend_fraction: f64,
    /// Fraction of the changes that are invalid.
    pub invalid_fraction: f64,
    /// Fraction of the changes whose key another change gives to another tenant.
    pub shared_key_fraction: f64,
    /// Fraction of the changes that are sent to two core nodes at once.
    pub duplicate_fraction: f64,
    /// How many registers the changes write.
    pub labels: usize,
    /// Seconds between two reads of one operator; 0 means only the final read.
    pub reads: f64,
    /// Whether operators know which core nodes run and call those first.
    pub learned: bool,
    /// Bytes of an additional field in the first item of a valid change.
    pub note: usize,
}

impl Default for OperatorLoad {
    fn default() -> Self {
        OperatorLoad {
            operators: 0,
            at_once: 2,
            orders: 10_000,
            from: 2.0,
            until: f64::INFINITY,
            pause: 0.6,
            twin_fraction: 0.3,
            lost_fraction: 0.1,
            resend_fraction: 0.3,
            invalid_fraction: 0.05,
            shared_key_fraction: 0.1,
            duplicate_fraction: 0.0,
            labels: 6,
            reads: 0.7,
            learned: false,
            note: 0,
        }
    }
}

/// The validity of a change, which determines the expected response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeValidity {
    /// Valid: confirmed unless its rival was.
    Proper,
    /// Names a service that does not exist.
    Invalid,
    /// Valid by itself, but its rival gives the same key to another tenant.
    SharedKey,
}

/// A change that was sent, and the responses to it.
#[derive(Clone, Debug)]
pub struct SentChange {
    /// The operator that sent it.
    pub operator: usize,
    /// Whether a core node should confirm the change.
    pub validity: ChangeValidity,
    /// The registers that it writes.
    pub labels: Vec<usize>,
    /// The version of its items.
    pub version: u64,
    /// The content of its items, unique among all changes.
    pub content: u64,
    /// The items that it writes.
    pub items: Vec<ConfigItem>,
    /// When it was first sent.
    pub began: f64,
    /// When a core node first sent a 200.
    pub accepted_at: Option<f64>,
    /// When its operator first received a 200.
    pub confirmed_at: Option<f64>,
    /// When a core node first rejected it, and with which status.
    pub rejected: Option<(f64, u16)>,
    /// The other change with the same version or the same key.
    pub rival: Option<usize>,
    /// Whether its operator has received no definite response yet.
    pub open: bool,
    /// Whether its operator stopped retrying.
    pub given_up: bool,
    pub(crate) attempts: u32,
}

impl SentChange {
    /// Whether the core sent no definite response yet. A response that is lost on the network counts as sent.
    pub fn unanswered(&self) -> bool {
        self.accepted_at.is_none() && self.rejected.is_none() && !self.given_up
    }
}

/// The next action of an operator.
#[derive(Clone, Debug)]
pub enum OperatorStep {
    /// This operator sends its next change.
    Next(usize),
    /// This change is sent again.
    Again(usize),
    /// This operator reads.
    Read(usize),
}

/// The operators' records.
#[derive(Default)]
pub struct OperatorRecords {
    /// The changes that were sent.
    pub orders: Vec<SentChange>,
    /// The reads that were answered.
    pub reads: Vec<Read>,
    /// Whether an operator read after the last change.
    pub read_at_end: bool,
    /// Contents of responses to reads that are in transit, by call.
    pub heard: std::collections::HashMap<u64, Vec<Held>>,
    /// Changes without a definite response.
    pub waiting: Vec<usize>,
    pub(crate) version: u64,
    pub(crate) issued: usize,
    /// Number of responses to changes that the core sent.
    pub answers: u64,
}

/// The label of a register's route.
pub fn label(n: usize) -> String {
    format!("x-{n}")
}

fn route(label: &str, prefix: &str, service: &str, version: u64) -> serde_json::Value {
    serde_json::json!({"label": label, "hostname": "x.example", "path_prefix": prefix, "route_class": "idempotent",
        "cutoff": "1000ms", "target": "400ms", "rank": 1, "max_attempts": 2, "service_ref": service,
        "revision": format!("r{version}")})
}

pub(crate) fn items(
    validity: ChangeValidity,
    labels: &[usize],
    version: u64,
    content: u64,
    key: u64,
    note: usize,
) -> Vec<ConfigItem> {
    let body = match validity {
        ChangeValidity::Proper => {
            let prefix = |l: &usize| format!("/{l}/{content}/");
            let mut all: Vec<_> =
                labels.iter().map(|l| route(&label(*l), &prefix(l), "planer", version)).collect();
            if let Some(first) = all.first_mut().filter(|_| note > 0) {
                first["note"] = "n".repeat(note).into();
            }
            serde_json::json!({"upsert": {"route_set": all}})
        }
        ChangeValidity::Invalid => {
            let wrong = route(&format!("bad-{content}"), &format!("/bad/{content}/"), "nowhere", version);
            serde_json::json!({"upsert": {"route_set": [wrong]}})
        }
        ChangeValidity::SharedKey => {
            serde_json::json!({"upsert": {"tenant_set": [{"label": format!("t-{content}"),
            "credentials": [format!("shared-{key}")], "revision": format!("r{version}")}]}})
        }
    };
    parse_change(body.to_string().as_bytes()).expect("a readable call")
}

/// The registers that a read returned, by label. The content is encoded in the path prefix.
pub fn registers(labels: usize, body: &serde_json::Value) -> Vec<Held> {
    let list = &body["route_set"];
    let at = |name: &str| list["columns"].as_array().and_then(|c| c.iter().position(|c| c == name));
    let (Some(name), Some(revision), Some(prefix)) = (at("label"), at("revision"), at("path_prefix")) else {
        return vec![None; labels];
    };
    let mut held = vec![None; labels];
    for row in list["records"].as_array().into_iter().flatten() {
        let n = row[name].as_str().and_then(|l| l.strip_prefix("x-")?.parse::<usize>().ok());
        let Some(n) = n.filter(|n| *n < labels) else { continue };
        let version = row[revision].as_str().and_then(|r| r.strip_prefix('r')?.parse::<u64>().ok());
        held[n] = version.zip(row[prefix].as_str().and_then(content));
    }
    held
}

/// The content that is encoded in a path prefix.
pub fn content(prefix: &str) -> Option<u64> {
    prefix.trim_end_matches('/').rsplit('/').next()?.parse().ok()
}
