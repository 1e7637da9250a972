//! What one process of a gateway knows, as the next process of the same gateway takes it over: a plain record, to
//! and from the state. It owns which part of the state outlives a process. It must never decide on a request, and
//! never let two processes spend the same part of a hard ceiling.

use crate::gateway::state::{Customer, Flow, Gateway, Health, Host};
use crate::identifiers::{CustomerId, HostId};
use crate::quota::share::Share;
use std::sync::Arc;

/// A rate that forgets: amount a second, and as of when (Unix time in seconds).
type Level = (f64, f64);
/// Share of failures, outcomes that it goes by, and as of when.
type Judged = (f64, f64, f64);

macro_rules! record {
    ($(#[$about:meta])* $name:ident { $($(#[$doc:meta])* $field:ident: $kind:ty,)* }) => {
        $(#[$about])*
        #[derive(Clone, Debug, Default, PartialEq)]
        #[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize), serde(default))]
        pub struct $name { $($(#[$doc])* pub $field: $kind,)* }
    };
}

record! {
    /// What is handed on. Times are Unix time in seconds; what one version does not know of another is left out.
    ExportedState {
        /// When the gateway began, and when it had its first request.
        started: Option<f64>,
        /// When it had its first request.
        serving: Option<f64>,
        /// Its customers.
        customers: Vec<ExportedCustomer>,
        /// Hosts of which something is known.
        hosts: Vec<ExportedHost>,
        /// Latency by kind of host, over what was expected.
        kinds: Vec<(String, f64)>,
        /// By class: its name, mean latency, mean units and the answers that they go by.
        seen: Vec<(String, f64, f64, f64)>,
        /// How attempts ended by the span that their connection stood idle before.
        idle: Vec<Judged>,
        /// Calls a second to the counter, and where they last began to fail.
        pace: (f64, f64),
        /// Share of the last calls that were late, lost or turned away.
        misses: f64,
        /// Units a second told, and not told; calls a second wanted; work sent; answers; time-outs.
        flows: Vec<Level>,
        /// Mean worth for the work, and attempts out as requests found them.
        press: (f64, f64),
        /// Further attempts saved up.
        retries: f64,
    }
}

record! {
    /// One customer. Units are those of its plan.
    ExportedCustomer {
        /// Which.
        id: String,
        /// Its plan, by name.
        plan: String,
        /// Gateways through which its requests come.
        width: f64,
        /// Where in a window the clock's zero falls, as a part of the window.
        phase: f64,
        /// When its last request came.
        seen: f64,
        /// Number of the window of the charges below.
        window: i64,
        /// Its total over all gateways, with what is in calls not answered yet, and when it was told.
        total: Option<f64>,
        /// When that was told.
        told_at: f64,
        /// Charges that the counter was not told.
        unsynced: f64,
        /// All charges of this gateway in the window.
        own: f64,
        /// Units that the window started with.
        store: f64,
        /// What it asks here.
        asked: Level,
        /// What it asked just before.
        surge: Level,
        /// Estimates where no total tells.
        share: Share,
        /// Units in this gateway's part of the ceiling's store, and as of when.
        ceiling: f64,
        /// As of when.
        ceiling_at: f64,
    }
}

record! {
    /// One host: what was learnt of it since its last start.
    ExportedHost {
        /// Which.
        id: String,
        /// Its last start; what is known of another life is of no use.
        started: Option<f64>,
        /// When it last answered anything.
        heard: f64,
        /// Its answers' latency over what was expected, and as of when.
        slow: Level,
        /// How its attempts ended lately, by the classes of [`ExportedState::seen`].
        health: Vec<Judged>,
        /// Work that it may be sent while cold, in seconds of expected latency, and as of when.
        cold: Level,
    }
}

fn judged(h: &Health) -> Judged {
    (h.fails, h.count, h.at)
}

fn health(j: Judged) -> Health {
    Health { fails: j.0, count: j.1, at: j.2 }
}

impl Gateway {
    fn flows(&mut self) -> [&mut Flow; 6] {
        [&mut self.told, &mut self.untold, &mut self.wants, &mut self.sent, &mut self.done, &mut self.lost]
    }

    /// Hands on what this gateway knows. It goes on with what it took, but from now on every hard ceiling is the
    /// next process's to spend, and charges not told yet are the next one's to tell.
    pub fn export_state(&mut self) -> ExportedState {
        let plans: Vec<String> = self.s.plans.iter().map(|p| p.name.clone()).collect();
        let customers = self.customers.iter_mut().map(|(id, c)| {
            let told = ExportedCustomer {
                id: id.0.to_string(),
                plan: plans[c.plan].clone(),
                width: c.width,
                phase: c.phase,
                seen: c.seen,
                window: c.window,
                total: c.total.map(|t| t + c.calling),
                told_at: c.told_at,
                unsynced: std::mem::take(&mut c.unsynced),
                own: c.own,
                store: c.store,
                asked: (c.asked.level, c.asked.at),
                surge: (c.surge.level, c.surge.at),
                share: c.share.clone(),
                ceiling: c.ceiling,
                ceiling_at: c.ceiling_at,
            };
            c.total = c.total.map(|t| t + told.unsynced);
            told
        });
        let customers = customers.collect();
        self.bequeathed = true;
        let host = |(id, h): (&HostId, &Host)| ExportedHost {
            id: id.0.to_string(),
            started: h.started,
            heard: h.heard,
            slow: (h.slow, h.slow_at),
            health: h.health.iter().map(judged).collect(),
            cold: (h.cold, h.cold_at),
        };
        ExportedState {
            started: self.started,
            serving: self.serving,
            customers,
            hosts: self.hosts.iter().map(host).collect(),
            kinds: self.kinds.iter().map(|(k, v)| (k.to_string(), *v)).collect(),
            seen: self
                .s
                .classes
                .iter()
                .zip(&self.seen)
                .map(|(c, s)| (c.name.clone(), s.0, s.1, s.2))
                .collect(),
            idle: self.idle.iter().map(judged).collect(),
            pace: (self.pace, self.pace_goal),
            misses: self.misses,
            flows: self.flows().map(|f| (f.level, f.at)).to_vec(),
            press: (self.density, self.queue),
            retries: self.retries,
        }
    }

    /// What was handed on was not taken: this gateway goes on as before, and tells its charges itself.
    pub fn resume_after_export(&mut self, legacy: &ExportedState) {
        self.bequeathed = false;
        for told in legacy.customers.iter().filter(|c| c.unsynced != 0.0) {
            let Some(c) = self.customers.get_mut(told.id.as_str()) else { continue };
            if c.window == told.window {
                c.total = c.total.map(|t| t - told.unsynced);
                c.unsynced += told.unsynced;
            }
        }
    }

    /// Takes over what the process before knew, before the first request. What its settings or hosts do not have
    /// any more is left out.
    pub fn import_state(&mut self, legacy: ExportedState) {
        if legacy.customers.is_empty() && legacy.seen.is_empty() {
            return;
        }
        (self.started, self.serving) = (legacy.started.or(self.started), legacy.serving);
        let class = |name: &str| self.s.classes.iter().rposition(|c| c.name == name);
        let classes: Vec<Option<usize>> = legacy.seen.iter().map(|s| class(&s.0)).collect();
        for (told, at) in legacy.seen.iter().zip(&classes) {
            if let Some(at) = at {
                self.seen[*at] = (told.1, told.2, told.3);
            }
        }
        for told in legacy.customers {
            let plan = self.s.plans.iter().rposition(|p| p.name == told.plan);
            let Some(plan) = plan else { continue };
            let c = Customer {
                seen: told.seen,
                window: told.window,
                total: told.total,
                told_at: told.told_at,
                unsynced: told.unsynced,
                own: told.own,
                store: told.store,
                asked: Flow { level: told.asked.0, at: told.asked.1 },
                surge: Flow { level: told.surge.0, at: told.surge.1 },
                share: told.share,
                ceiling: told.ceiling,
                ceiling_at: told.ceiling_at,
                sync_at: if told.unsynced > 0.0 { self.now } else { f64::INFINITY },
                ..Customer::new(plan, told.width.max(1.0), told.phase)
            };
            let id = CustomerId(Arc::from(told.id));
            self.customers.insert(id.clone(), c);
            self.schedule(&id);
        }
        for told in legacy.hosts {
            let Some(h) = self.hosts.get_mut(told.id.as_str()).filter(|h| h.started == told.started) else {
                continue;
            };
            (h.heard, h.slow, h.slow_at) = (told.heard, told.slow.0, told.slow.1);
            (h.cold, h.cold_at) = told.cold;
            h.health.resize_with(self.s.classes.len(), Health::default);
            for (j, at) in told.health.into_iter().zip(&classes) {
                if let Some(at) = at {
                    h.health[*at] = health(j);
                }
            }
        }
        self.kinds.extend(legacy.kinds.into_iter().map(|(k, v)| (Arc::from(k), v)));
        for (mine, told) in self.idle.iter_mut().zip(legacy.idle) {
            *mine = health(told);
        }
        (self.pace, self.pace_goal) = legacy.pace;
        self.misses = legacy.misses;
        for (mine, told) in self.flows().into_iter().zip(legacy.flows) {
            *mine = Flow { level: told.0, at: told.1 };
        }
        (self.density, self.queue) = legacy.press;
        self.retries = legacy.retries;
        self.table_until = self.now;
    }
}
