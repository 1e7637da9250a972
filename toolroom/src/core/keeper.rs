//! Owns the configuration on the core: calls of operators, copies on enough disks, catching up. Items merge by version,
//! so there is no leader and no log; what is agreed on is only that enough disks hold an item before it is
//! acknowledged, and that enough machines were asked before a call is judged or the configuration is read. It must
//! never acknowledge for a disk that did not say so.

use super::{fault, CallId, Conn, Effect, Shared};
use crate::config::call::judge;
use crate::config::{Item, Items};
use crate::journal::Fact;
use crate::store::Records;
use crate::wire::Msg;
use serde_json::json;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

/// A call that found too few others is answered by then, so that its caller moves on: seconds.
const CALL_WITHIN: f64 = 0.85;

enum Step {
    /// Others are asked what they hold.
    Asking(BTreeSet<IpAddr>),
    /// Items are on their way to disks.
    Putting(BTreeSet<IpAddr>),
}

enum Wish {
    Amend(Vec<Item>),
    Read,
    /// This machine came back with an empty disk.
    CatchUp,
}

struct Op {
    call: CallId,
    wish: Wish,
    step: Step,
    until: f64,
    /// Were there items in any answer?
    found: bool,
}

/// Whom to tell once something is synced.
enum Waiter {
    /// A machine that put it here.
    Remote(Conn, u64),
    /// A call that is under way here.
    Own(u64),
    Nobody,
}

/// The configuration on this machine.
pub struct Keeper {
    /// All that is known here, on the disk or on its way there.
    pub items: Items,
    /// May this machine's disk be counted on to hold what it once held?
    pub caught_up: bool,
    ops: HashMap<u64, Op>,
    writing: Vec<(u64, Vec<Item>, Waiter)>,
    retry_at: f64,
}

impl Keeper {
    /// With what the disk holds; `wiped`: it holds nothing though the system has run before.
    pub fn new(items: Vec<Item>, wiped: bool) -> Self {
        let mut held = Items::default();
        for item in items {
            held.merge(item);
        }
        Keeper { items: held, caught_up: !wiped, ops: HashMap::new(), writing: Vec::new(), retry_at: 0.0 }
    }

    /// Appends items to the journal and folds them; returned: those that changed what holds.
    fn take(&mut self, items: &[Item], shared: &mut Shared) -> Vec<Item> {
        let (now, journal) = (shared.now, &mut shared.journal);
        items.iter().filter(|i| journal.item(now, (*i).clone(), &mut self.items)).cloned().collect()
    }

    /// Writes items; whoever waits hears once they are synced.
    fn write(&mut self, items: Vec<Item>, waiter: Waiter, shared: &mut Shared, out: &mut Vec<Effect>) {
        let put = shared.number();
        self.writing.push((put, items.clone(), waiter));
        out.push(Effect::Persist(put, Records { items, ..Records::default() }));
    }

    /// Writes items that nobody here waits for.
    pub fn persist(&mut self, items: Vec<Item>, shared: &mut Shared, out: &mut Vec<Effect>) {
        self.write(items, Waiter::Nobody, shared, out);
    }

    /// All up to this number is synced. Items that are on the disk now: the gatekeepers may have them.
    pub fn disk(&mut self, put: u64, shared: &mut Shared, out: &mut Vec<Effect>) -> Vec<Item> {
        let mut news = Vec::new();
        let done: Vec<_> = {
            let (done, rest) = std::mem::take(&mut self.writing).into_iter().partition(|w| w.0 <= put);
            self.writing = rest;
            done
        };
        for (_, items, waiter) in done {
            news.extend(items);
            match waiter {
                Waiter::Remote(conn, ask) => out.push(Effect::Return(conn, Msg::Synced { ask })),
                Waiter::Own(ask) => self.copied(shared.me.ip, ask, shared, out),
                Waiter::Nobody => {}
            }
        }
        news
    }

    /// Another machine wants items kept here.
    pub fn put(
        &mut self,
        conn: Conn,
        ask: u64,
        items: Vec<Item>,
        shared: &mut Shared,
        out: &mut Vec<Effect>,
    ) {
        self.take(&items, shared);
        // Also where they are no news here: what is known may not be synced yet, and writes go in order.
        self.write(items, Waiter::Remote(conn, ask), shared, out);
    }

    fn begin(&mut self, now: f64, call: CallId, wish: Wish, shared: &mut Shared, out: &mut Vec<Effect>) {
        let ask = shared.number();
        let step = Step::Asking(BTreeSet::new());
        self.ops.insert(ask, Op { call, wish, step, until: now + CALL_WITHIN, found: false });
        let digest = self.items.digest();
        out.extend(shared.peers().into_iter().map(|ip| Effect::Send(ip, Msg::Query { ask, digest })));
        self.asked(ask, shared, out);
    }

    /// An operator changes items.
    pub fn amend(
        &mut self,
        now: f64,
        call: CallId,
        items: Vec<Item>,
        shared: &mut Shared,
        out: &mut Vec<Effect>,
    ) {
        self.begin(now, call, Wish::Amend(items), shared, out);
    }

    /// An operator reads what stands.
    pub fn read(&mut self, now: f64, call: CallId, shared: &mut Shared, out: &mut Vec<Effect>) {
        self.begin(now, call, Wish::Read, shared, out);
    }

    /// What another machine holds. Returned: what is news here, to be written.
    pub fn holding(
        &mut self,
        (ip, ask): (IpAddr, u64),
        items: Vec<Item>,
        caught_up: bool,
        shared: &mut Shared,
        out: &mut Vec<Effect>,
    ) -> Vec<Item> {
        let found = !items.is_empty();
        let news = self.take(&items, shared);
        if let Some(op) = self.ops.get_mut(&ask) {
            op.found |= found;
            // One that lost its disk tells what it has, but its not having something says nothing.
            let counts = caught_up || matches!(op.wish, Wish::CatchUp);
            if let Step::Asking(replied) = &mut op.step {
                if counts {
                    replied.insert(ip);
                }
            }
            self.asked(ask, shared, out);
        }
        news
    }

    /// Were enough machines asked? Enough: those that were not can't be all that hold some item.
    fn asked(&mut self, ask: u64, shared: &mut Shared, out: &mut Vec<Effect>) {
        let Some(op) = self.ops.get(&ask) else { return };
        let Step::Asking(replied) = &op.step else { return };
        let own = (!self.caught_up).then_some(&shared.me.ip);
        let missing =
            shared.members.keys().filter(|ip| **ip != shared.me.ip && !replied.contains(ip)).chain(own);
        if shared.may_hold_all(missing) {
            // Nobody holds anything: the system has not begun yet, whatever the settings say.
            let all = replied.len() + 1 == shared.members.len();
            let fresh = matches!(op.wish, Wish::CatchUp) && all && !op.found && self.items.is_empty();
            if !fresh {
                return;
            }
        }
        let Some(mut op) = self.ops.remove(&ask) else { return };
        match &op.wish {
            Wish::CatchUp => {
                tracing::info!(items = self.items.all().count(), "caught up after the loss of the disk");
                self.caught_up = true;
                shared.journal.append(shared.now, Fact::CaughtUp);
            }
            Wish::Read => out.push(Effect::Reply(op.call, 200, self.items.render())),
            Wish::Amend(items) => match judge(&self.items, items) {
                Err(error) => {
                    tracing::warn!(%error, "refused a configuration");
                    shared.journal.append(shared.now, Fact::Refused(error.to_string()));
                    out.push(Effect::Reply(op.call, 400, fault(error)));
                }
                Ok(news) => {
                    let versions = news.iter().map(|i| format!("{}=r{}", i.label, i.version));
                    tracing::info!(items = versions.collect::<Vec<_>>().join(" "), "takes a configuration");
                    let items = items.clone();
                    self.take(&items, shared);
                    // All items of the call: what was held before may not be on enough disks either.
                    for ip in shared.peers() {
                        out.push(Effect::Send(ip, Msg::Put { ask, items: items.clone() }));
                    }
                    self.write(items, Waiter::Own(ask), shared, out);
                    op.step = Step::Putting(BTreeSet::new());
                    self.ops.insert(ask, op);
                }
            },
        }
    }

    /// Another machine's disk holds what was put there.
    pub fn synced(&mut self, ip: IpAddr, ask: u64, shared: &mut Shared, out: &mut Vec<Effect>) -> Vec<Item> {
        let items = match self.ops.get(&ask).map(|op| &op.wish) {
            Some(Wish::Amend(items)) => items.clone(),
            _ => Vec::new(),
        };
        self.copied(ip, ask, shared, out);
        // In force once enough disks hold it, though this one may hang.
        if self.ops.contains_key(&ask) {
            Vec::new()
        } else {
            items
        }
    }

    /// One more disk holds the items of a call.
    fn copied(&mut self, ip: IpAddr, ask: u64, shared: &mut Shared, out: &mut Vec<Effect>) {
        let Some(op) = self.ops.get_mut(&ask) else { return };
        let Step::Putting(copies) = &mut op.step else { return };
        copies.insert(ip);
        if shared.may_hold_all(copies.iter()) {
            tracing::info!(copies = copies.len(), "acknowledges a configuration");
            shared.journal.append(shared.now, Fact::Acknowledged(copies.len()));
            out.push(Effect::Reply(op.call, 200, json!({})));
            self.ops.remove(&ask);
        }
    }

    /// Upkeep.
    pub fn tick(&mut self, now: f64, shared: &mut Shared, out: &mut Vec<Effect>) {
        let late: Vec<u64> = self.ops.iter().filter(|(_, op)| op.until <= now).map(|(ask, _)| *ask).collect();
        for ask in late {
            let Some(op) = self.ops.remove(&ask) else { continue };
            if !matches!(op.wish, Wish::CatchUp) {
                let step = if matches!(op.step, Step::Asking(_)) { "answers" } else { "synced copies" };
                tracing::warn!(step, "too few core machines for a call in time");
                shared.journal.append(now, Fact::Unanswered(step));
                out.push(Effect::Reply(op.call, 503, fault("too few core machines in time")));
            }
        }
        if !self.caught_up && now >= self.retry_at {
            self.retry_at = now + 0.3;
            // Only by those whose own disk can be counted on... or all of them, if nobody holds anything.
            self.begin(now, 0, Wish::CatchUp, shared, out);
        }
    }
}
