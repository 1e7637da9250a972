//! Sessions of the simulated operators: they send changes and reads, retry without a definite response, and check responses
//! against what was confirmed or rejected before.

use super::{CallOrigin, ControlCall, SimulationEvent, World};
use crate::history::Read;
use crate::operators::{items, registers, ChangeValidity, OperatorStep, SentChange};

impl World {
    /// Schedules the first steps of all operators.
    pub fn start_operators(&mut self) {
        let operator_load = self.plan.operator_load.clone();
        for operator in 0..operator_load.operators {
            for _ in 0..operator_load.at_once {
                let late = 0.2 * self.rng.f64();
                self.schedule_at(
                    operator_load.from + late,
                    SimulationEvent::OperatorTurn(OperatorStep::Next(operator)),
                );
            }
            if operator_load.reads > 0.0 {
                self.schedule_at(
                    operator_load.from,
                    SimulationEvent::OperatorTurn(OperatorStep::Read(operator)),
                );
            }
        }
    }

    /// Takes an operator's next step.
    pub fn operator_turn(&mut self, turn: OperatorStep) {
        match turn {
            // The services that changes name must exist first.
            OperatorStep::Next(_) if !self.auditor.has_acknowledged_changes() => {
                self.schedule_after(0.2, SimulationEvent::OperatorTurn(turn))
            }
            OperatorStep::Next(operator) => self.issue_change(operator),
            OperatorStep::Again(order) => {
                let (operator, core) = (self.operator_records.orders[order].operator, self.rng.usize(0..64));
                self.call(core, CallOrigin::Change { order, operator, again: true });
            }
            OperatorStep::Read(operator) => {
                let core = self.rng.usize(0..64);
                let from = self.now;
                self.call(core, CallOrigin::Read { operator, from });
            }
        }
    }

    pub(crate) fn issue_change(&mut self, operator: usize) {
        let operator_load = &self.plan.operator_load;
        if self.now > operator_load.until
            || self.operator_records.issued >= operator_load.orders
            || self.operator.done
        {
            return;
        }
        let (twins, shared, invalid, labels) = (
            operator_load.twin_fraction,
            operator_load.shared_key_fraction,
            operator_load.invalid_fraction,
            operator_load.labels,
        );
        self.operator_records.issued += 1;
        self.operator_records.version += 1;
        let (version, draw) = (self.operator_records.version, self.rng.f64());
        let validity = match draw {
            _ if draw < invalid => ChangeValidity::Invalid,
            _ if draw < invalid + shared => ChangeValidity::SharedKey,
            _ => ChangeValidity::Proper,
        };
        let some = |rng: &mut fastrand::Rng, first: usize| {
            let mut some = vec![first];
            for _ in 0..rng.usize(0..3) {
                some.push(rng.usize(0..labels));
            }
            some.sort_unstable();
            some.dedup();
            some
        };
        let first = self.rng.usize(0..labels);
        let ours = some(&mut self.rng, first);
        let one = self.record_change(operator, validity, ours.clone(), version, version);
        let twin = validity == ChangeValidity::SharedKey
            || validity == ChangeValidity::Proper && self.rng.f64() < twins;
        if twin {
            let other = self.rng.usize(0..self.plan.operator_load.operators);
            let theirs = if self.rng.bool() { ours } else { some(&mut self.rng, first) };
            let two = self.record_change(other, validity, theirs, version, version);
            (self.operator_records.orders[one].rival, self.operator_records.orders[two].rival) =
                (Some(two), Some(one));
            let core = self.rng.usize(0..64);
            self.call(core, CallOrigin::Change { order: two, operator: other, again: true });
        }
        let drawn = self.rng.usize(0..64);
        let runs = |n: &usize| self.cores[*n].listed && self.cores[*n].core.is_some();
        let running = (drawn..drawn + self.cores.len()).map(|n| n % self.cores.len()).find(runs);
        let core = running.filter(|_| self.plan.operator_load.learned).unwrap_or(drawn);
        self.call(core, CallOrigin::Change { order: one, operator, again: false });
        if self.plan.operator_load.duplicate_fraction > 0.0
            && self.rng.f64() < self.plan.operator_load.duplicate_fraction
        {
            self.call(core + 1, CallOrigin::Change { order: one, operator, again: true });
        }
    }

    pub(crate) fn record_change(
        &mut self,
        operator: usize,
        validity: ChangeValidity,
        labels: Vec<usize>,
        version: u64,
        key: u64,
    ) -> usize {
        let content = self.operator_records.orders.len() as u64;
        let items = items(validity, &labels, version, content, key, self.plan.operator_load.note);
        let (accepted_at, confirmed_at, rejected, rival) = (None, None, None, None);
        let began = self.now;
        let (open, given_up, attempts) = (true, false, 0);
        self.operator_records.orders.push(SentChange {
            operator,
            validity,
            labels,
            version,
            content,
            items,
            began,
            accepted_at,
            confirmed_at,
            rejected,
            rival,
            open,
            given_up,
            attempts,
        });
        self.operator_records.waiting.push(content as usize);
        content as usize
    }

    /// Checks a core node's response to a change. The response counts whether it reaches the operator or not.
    pub fn change_responded(&mut self, order: usize, core: usize, status: u16) {
        self.operator_records.answers += 1;
        let now = self.now;
        let o = &self.operator_records.orders[order];
        let rival = o.rival.map(|r| &self.operator_records.orders[r]);
        let who =
            format!("change {order} (r{} of {:?}, {:?}) at core {core}", o.version, o.labels, o.validity);
        let mut wrong = None;
        match status {
            200 if o.validity == ChangeValidity::Invalid => {
                wrong = Some(format!("INVALID {now:.3}: {who} was confirmed"))
            }
            200 => {
                if let Some((at, status)) = o.rejected.filter(|r| r.1 == 409) {
                    wrong = Some(format!(
                        "NUMBER {now:.3}: {who} is confirmed, rejected with {status} at {at:.3}"
                    ));
                }
                if let Some(at) = rival.and_then(|r| r.accepted_at) {
                    let (what, other) =
                        (if o.validity == ChangeValidity::Proper { "NUMBER" } else { "KEY" }, o.rival);
                    wrong = Some(format!(
                        "{what} {now:.3}: {who} is confirmed, its rival {other:?} was confirmed at {at:.3}"
                    ));
                }
            }
            400 | 409 => {
                if let Some(at) = o.accepted_at {
                    wrong = Some(format!("REFUSED {now:.3}: {who} gets {status}, confirmed at {at:.3}"));
                }
                let proper = match o.validity {
                    ChangeValidity::Proper => status == 409 && rival.is_some(),
                    ChangeValidity::Invalid | ChangeValidity::SharedKey => status == 400,
                };
                if !proper {
                    wrong = Some(format!("REFUSED {now:.3}: {who} gets {status}, rival {:?}", o.rival));
                }
            }
            307 | 503 => {}
            _ => wrong = Some(format!("STATUS {now:.3}: {who} gets unexpected status {status}")),
        }
        self.auditor.violations.extend(wrong);
        let o = &mut self.operator_records.orders[order];
        match status {
            200 => {
                let first = o.accepted_at.replace(o.accepted_at.unwrap_or(now)).is_none();
                for label in o.labels.clone().into_iter().filter(|_| o.validity == ChangeValidity::Proper) {
                    let (version, content) = (o.version, o.content);
                    self.invariants.check_content(
                        now,
                        label,
                        version,
                        content,
                        "confirmed",
                        &mut self.auditor.violations,
                    );
                }
                if first {
                    self.change_acknowledged(core);
                }
            }
            400 | 409 => {
                o.rejected.get_or_insert((now, status));
            }
            _ => {}
        }
    }

    /// Handles a response to a change at its operator.
    pub fn change_returned(&mut self, call: ControlCall, status: u16) {
        let CallOrigin::Change { order, again, .. } = call.by else { return };
        let o = &mut self.operator_records.orders[order];
        if status != 200 && status != 400 && status != 409 {
            return self.change_failed(call);
        }
        let first = std::mem::take(&mut o.open);
        if status == 200 {
            o.confirmed_at.get_or_insert(self.now);
            if first && self.rng.f64() < self.plan.operator_load.resend_fraction {
                let late = 8.0 * self.rng.f64() * self.rng.f64();
                self.schedule_after(late, SimulationEvent::OperatorTurn(OperatorStep::Again(order)));
            }
        }
        self.schedule_next_change(again, order);
    }

    pub(crate) fn schedule_next_change(&mut self, again: bool, order: usize) {
        if !again {
            let wait = self.plan.operator_load.pause * self.rng.f64();
            let operator = self.operator_records.orders[order].operator;
            self.schedule_after(wait, SimulationEvent::OperatorTurn(OperatorStep::Next(operator)));
        }
    }

    /// Retries a change without a definite response at another core node, or gives up after a number of attempts.
    pub fn change_failed(&mut self, call: ControlCall) {
        let CallOrigin::Change { order, again, .. } = call.by else { return };
        let o = &mut self.operator_records.orders[order];
        o.attempts += 1;
        // Conflicting changes and resent changes may remain without a definite response.
        let enough = if o.confirmed_at.is_some() { 40 } else { 25 };
        if (again || o.rival.is_some()) && o.attempts > enough {
            o.given_up = true;
            return self.schedule_next_change(again, order);
        }
        let pause = 0.1 + 0.2 * self.rng.f64();
        self.retry_call(call, pause);
    }

    /// A core node answered a read: checks its contents and keeps them until they reach the operator.
    pub fn read_answered(&mut self, call: u64, body: &serde_json::Value) {
        let held = registers(self.plan.operator_load.labels, body);
        for (label, held) in held.iter().enumerate() {
            if let Some((version, content)) = held {
                self.invariants.check_content(
                    self.now,
                    label,
                    *version,
                    *content,
                    "read",
                    &mut self.auditor.violations,
                );
                self.check_not_rejected(*content, "read");
            }
        }
        let mut keys = std::collections::HashMap::new();
        let list = &body["tenant_set"];
        let at = |name: &str| list["columns"].as_array().and_then(|c| c.iter().position(|c| c == name));
        if let (Some(name), Some(key)) = (at("label"), at("credentials")) {
            for row in list["records"].as_array().into_iter().flatten() {
                let owner = row[name].as_str().unwrap_or_default().to_owned();
                for key in row[key].as_array().into_iter().flatten().filter_map(|k| k.as_str()) {
                    if let Some(other) = keys.insert(key.to_owned(), owner.clone()) {
                        let now = self.now;
                        self.auditor
                            .violations
                            .push(format!("KEY {now:.3}: {other} and {owner} hold {key} as read"));
                    }
                }
            }
        }
        self.operator_records.heard.insert(call, held);
    }

    /// Handles a response to a read at its operator.
    pub fn read_returned(&mut self, call: u64, operator: usize, from: f64) {
        let Some(held) = self.operator_records.heard.remove(&call) else { return };
        self.operator_records.reads.push(Read { from, to: self.now, held });
        match self.operator.done {
            true => self.operator_records.read_at_end = true,
            false if self.plan.operator_load.reads > 0.0 => {
                let wait = self.plan.operator_load.reads * (0.5 + self.rng.f64());
                self.schedule_after(wait, SimulationEvent::OperatorTurn(OperatorStep::Read(operator)));
            }
            false => {}
        }
    }

    /// REFUSED: the content of a change that was rejected with 409 must never be visible.
    pub fn check_not_rejected(&mut self, content: u64, seen: &str) {
        let now = self.now;
        let Some(o) = self.operator_records.orders.get(content as usize) else { return };
        if let Some((at, status)) = o.rejected {
            if self.invariants.reported.insert((content, seen.into())) {
                let text = format!(
                    "REFUSED {now:.3}: change {content} is visible as {seen}, rejected with {status} at {at:.3}"
                );
                self.auditor.violations.push(text);
            }
        }
    }
}
