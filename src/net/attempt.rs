//! Owns the gatekeeper's side towards the drafting nodes: carries out a dispatch on a connection of its own and
//! reports how it ended, exactly once. It must never choose a node, try again, or write to a node that the
//! server table says drains or is gone.

use super::core::{Dispatch, Input};
use super::downstream::Forward;
use super::endpoints::ServerTable;
use super::outcome::ConnectionEnd;
use super::upstream::{Bounds, Exchanger, Peer, Reply, Request};
use super::Inputs;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::StatusCode;
use bytes::Bytes;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use whinstall::{HostId, RequestId};

/// What sends dispatches on.
pub struct Dispatcher {
    exchanger: Rc<Exchanger>,
    table: Rc<ServerTable>,
    queue: Inputs,
}

impl Dispatcher {
    /// Sends on to the nodes of this table; ends are reported to this queue.
    pub fn new(exchanger: Rc<Exchanger>, table: Rc<ServerTable>, queue: Inputs) -> Self {
        Dispatcher { exchanger, table, queue }
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&self, node: &HostId) {
        self.exchanger.close_unless(|name, _| name != &*node.0);
    }

    /// Begins a dispatch.
    pub fn begin(&self, dispatch: Dispatch<Forward>) {
        let (exchanger, table) = (Rc::clone(&self.exchanger), Rc::clone(&self.table));
        let Dispatch { id, number, node, request, within, called_off } = dispatch;
        let (queue, began) = (self.queue.clone(), Instant::now());
        let report =
            Report { queue, id, number, node, began, end: ConnectionEnd::Broken, reply: None, metered: None };
        actix_rt::spawn(async move {
            let called_off = async {
                let _ = called_off.await;
            };
            let mut report = report;
            let ended = run(&exchanger, &table, &report.node, &request, within, called_off).await;
            (report.end, report.reply, report.metered) = ended;
        });
    }
}

/// Reports a dispatch's end when it is dropped, so exactly once. Guards against a session that waits for ever:
/// should the task panic, the dispatch has ended as one that may have run.
struct Report {
    queue: Inputs,
    id: RequestId,
    number: u32,
    node: HostId,
    began: Instant,
    end: ConnectionEnd,
    reply: Option<Bytes>,
    metered: Option<f64>,
}

impl Drop for Report {
    fn drop(&mut self) {
        let _ = self.queue.send(Input::DispatchEnded {
            id: self.id.clone(),
            number: self.number,
            node: self.node.clone(),
            end: self.end,
            reply: self.reply.take(),
            metered: self.metered,
            took: self.began.elapsed(),
        });
    }
}

async fn run(
    exchanger: &Exchanger,
    table: &Rc<ServerTable>,
    node: &HostId,
    forward: &Forward,
    within: Duration,
    called_off: impl Future<Output = ()>,
) -> (ConnectionEnd, Option<Bytes>, Option<f64>) {
    let Some(address) = table.address(node) else { return (ConnectionEnd::Withdrawn, None, None) };
    let peer = Peer { name: node.0.clone(), address };
    let timeout = HeaderValue::from_str(&format!("{:.3}", within.as_secs_f64()));
    let Ok(timeout) = timeout else { return (ConnectionEnd::NotBegun, None, None) };
    let request = Request {
        method: forward.method.clone(),
        target: forward.target.clone(),
        headers: vec![
            (HeaderName::from_static("request-id"), forward.id.clone()),
            (HeaderName::from_static("request-timeout"), timeout),
        ],
        body: forward.body.clone(),
    };
    let may_begin = {
        let (table, node) = (Rc::clone(table), node.clone());
        Box::new(move || table.takes_work(&node))
    };
    let bounds = Bounds { within, may_begin };
    let ended = exchanger.exchange(&peer, request, bounds, called_off).await;
    // Guards a node that comes up at the address of one that went while this was out: nothing is left for it.
    if table.address(node) != Some(address) {
        exchanger.close_unless(|name, _| name != &*node.0);
    }
    let metered = ended.1.as_ref().and_then(|reply| Some(reply.meter? / 100.0));
    match ended {
        (ConnectionEnd::Answered, Some(reply)) => (ConnectionEnd::Answered, Some(reply.body), metered),
        (ConnectionEnd::Declined, Some(reply)) if never_begun(&reply) => {
            (ConnectionEnd::TurnedAway, None, metered)
        }
        (end, _) => (end, None, metered),
    }
}

/// Only these statuses, and only with the node's word for it, prove that a request never ran.
fn never_begun(reply: &Reply) -> bool {
    let status = matches!(reply.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    status && reply.not_started
}
