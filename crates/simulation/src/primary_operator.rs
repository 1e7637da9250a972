//! The primary operator: sends one change after the other and reads the configuration at the end of the day.

use super::{CallOrigin, World};
use crate::workers::SERVICES;
use whinstall_gateway::configuration::{parse_change, ItemKind};

/// State of the primary operator.
#[derive(Default)]
pub struct Operator {
    pub(crate) step: u64,
    pub(crate) version: u64,
    pub(crate) core: usize,
    /// The status of the final read.
    pub read: Option<u16>,
    /// When the change that still has no response was sent.
    pub waits: Option<f64>,
    /// Whether no more changes are sent.
    pub done: bool,
}

impl World {
    /// Ends all changes and lets every operator read once more.
    pub fn request_final_reads(&mut self) {
        self.operator.done = true;
        for operator in 0..self.plan.operator_load.operators {
            self.operator_turn(super::operators::OperatorStep::Read(operator));
        }
        self.call(0, CallOrigin::PrimaryRead);
    }

    /// Sends the primary operator's next change, until the plan's number of changes is reached.
    pub fn submit_primary_change(&mut self) {
        if self.operator.done {
            return;
        }
        if self.plan.steps.is_some_and(|most| self.operator.step >= most) {
            return;
        }
        let (step, version) = (self.operator.step, self.operator.version + 1 + self.rng.u64(0..3));
        (self.operator.step, self.operator.version) = (step + 1, version);
        let route = |label: &str, path: &str, class: &str, service: &str| {
            serde_json::json!([
                label,
                "shop.example",
                path,
                class,
                "1000ms",
                "400ms",
                1,
                2,
                service,
                format!("r{version}")
            ])
        };
        let columns =
            ["label", "hostname", "path_prefix", "route_class", "cutoff", "target", "rank", "max_attempts"];
        let columns: Vec<&str> = columns.into_iter().chain(["service_ref", "revision"]).collect();
        let rev = format!("r{version}");
        let body = if step == 0 {
            let mut services: Vec<_> =
                SERVICES.iter().map(|s| serde_json::json!([s, "/health", rev, null])).collect();
            let bulk = |n: usize| serde_json::json!([format!("bulk-{n}"), "/health", rev, "b".repeat(2048)]);
            services.extend((0..self.plan.bulk).map(bulk));
            let quota = Some(self.plan.quota).filter(|_| !self.plan.unlimited);
            let small = quota.map(|_| 6);
            serde_json::json!({"upsert": {
                "route_set": {"columns": columns, "records": [
                    route("r-read", "/read/", "idempotent", "planer"),
                    route("r-write", "/write/", "effectful", "lathe"),
                    route("r-flip", "/flip/", "effectful", "drill"),
                ]},
                "tenant_set": {"columns": ["label", "credentials", "rate_per_s", "burst_size", "revision"], "records": [
                    ["big", ["key-big"], quota, quota, rev], ["small", ["key-small"], small, small, rev],
                    ["free", ["key-free"], null, null, rev],
                ]},
                "service_set": {"columns": ["label", "probe_path", "revision", "note"], "records": services},
                "saturation": {"header_max_bytes": 16384, "revision": rev},
            }})
        } else {
            let service = SERVICES[(step % 2 + 1) as usize];
            let added = format!("r-{step}");
            serde_json::json!({"upsert": {"route_set": {"columns": columns, "records": [
                route("r-flip", "/flip/", "effectful", service),
                route(&added, &format!("/{step}/"), "idempotent", "planer"),
            ]}}, "remove": {"route_set": [{"label": format!("r-{}", step / 2), "revision": rev}]}})
        };
        let items = parse_change(body.to_string().as_bytes()).expect("a valid call");
        for item in items.iter().filter(|i| i.kind == ItemKind::Route && i.label == "r-flip") {
            let service = item.body.as_ref().map(|b| b.route_services().concat());
            self.auditor.flip_sent(item.version, &service.unwrap_or_default());
        }
        self.auditor.removals_requested(&items);
        self.operator.waits = Some(self.now);
        let core = self.operator.core + self.rng.usize(0..3);
        self.call(core, CallOrigin::PrimaryChange(items));
    }
}
