//! Attempt execution: sends a session's request to the node that the core selected and reports the outcome to the
//! core exactly once.
//!
//! Node selection and retries are the core's. Nothing is written to a node that is draining or absent in the
//! endpoint table.

use super::core::{Attempt, AttemptReport, CoreMessage};
use super::downstream::ForwardedRequest;
use super::endpoints::EndpointTable;
use super::outcome::ExchangeOutcome;
use super::upstream::{ExchangeOptions, Peer, Request, Response, UpstreamClient};
use super::CoreSender;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::StatusCode;
use bytes::Bytes;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use whinstall::{HostId, RequestId};

/// Executes the core's attempts, each in a task of its own.
pub struct AttemptRunner {
    client: Rc<UpstreamClient>,
    endpoints: Rc<EndpointTable>,
    core: CoreSender,
}

impl AttemptRunner {
    /// Creates a runner that resolves nodes in `endpoints`, sends through `client` and reports outcomes to `core`.
    pub fn new(client: Rc<UpstreamClient>, endpoints: Rc<EndpointTable>, core: CoreSender) -> Self {
        AttemptRunner { client, endpoints, core }
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&self, node: &HostId) {
        close_idle(&self.client, node);
    }

    /// Starts an attempt in a task of its own.
    pub fn start(&self, attempt: Attempt<ForwardedRequest>) {
        let (client, endpoints) = (Rc::clone(&self.client), Rc::clone(&self.endpoints));
        let Attempt { id, number, node, request, timeout, cancelled } = attempt;
        let report = ReportOnDrop {
            core: self.core.clone(),
            id,
            number,
            node,
            started: Instant::now(),
            result: AttemptResult::without_response(ExchangeOutcome::ConnectionLost),
        };
        actix_rt::spawn(async move {
            let cancelled = async {
                let _ = cancelled.await;
            };
            let mut report = report;
            report.result = run(&client, &endpoints, &report.node, &request, timeout, cancelled).await;
        });
    }
}

/// Result of an attempt, as reported to the core.
struct AttemptResult {
    outcome: ExchangeOutcome,
    /// Response body for the session's client; present only with [`ExchangeOutcome::Answered`].
    response: Option<Bytes>,
    /// Usage of the customer over all gatekeepers, as a fraction of its rate, if the node reported one.
    usage: Option<f64>,
}

impl AttemptResult {
    fn without_response(outcome: ExchangeOutcome) -> Self {
        AttemptResult { outcome, response: None, usage: None }
    }
}

/// Drop guard that reports the attempt to the core exactly once, also if the task panics. A panic reports the
/// initial result, `ConnectionLost`, since the request may have run. Without the report the session would never
/// finish.
struct ReportOnDrop {
    core: CoreSender,
    id: RequestId,
    number: u32,
    node: HostId,
    started: Instant,
    result: AttemptResult,
}

impl Drop for ReportOnDrop {
    fn drop(&mut self) {
        let _ = self.core.send(CoreMessage::AttemptFinished(AttemptReport {
            id: self.id.clone(),
            number: self.number,
            node: self.node.clone(),
            outcome: self.result.outcome,
            response: self.result.response.take(),
            usage: self.result.usage,
            elapsed: self.started.elapsed(),
        }));
    }
}

async fn run(
    client: &UpstreamClient,
    endpoints: &Rc<EndpointTable>,
    node: &HostId,
    forwarded: &ForwardedRequest,
    timeout: Duration,
    cancelled: impl Future<Output = ()>,
) -> AttemptResult {
    let Some(address) = endpoints.address(node) else {
        return AttemptResult::without_response(ExchangeOutcome::Withdrawn);
    };
    let Ok(timeout_header) = HeaderValue::from_str(&format!("{:.3}", timeout.as_secs_f64())) else {
        return AttemptResult::without_response(ExchangeOutcome::NotAttempted);
    };
    let peer = Peer { name: node.0.clone(), address };
    let request = Request {
        method: forwarded.method.clone(),
        target: forwarded.target.clone(),
        headers: vec![
            (HeaderName::from_static("request-id"), forwarded.id.clone()),
            (HeaderName::from_static("request-timeout"), timeout_header),
        ],
        body: forwarded.body.clone(),
    };
    let may_send = {
        let (endpoints, node) = (Rc::clone(endpoints), node.clone());
        Box::new(move || endpoints.accepts_work(&node))
    };
    let options = ExchangeOptions { timeout, may_send };
    let (outcome, response) = client.exchange(&peer, request, options, cancelled).await;
    // The node may have been removed or moved during the attempt: connections to its old address must not be reused.
    if endpoints.address(node) != Some(address) {
        close_idle(client, node);
    }
    let usage = response.as_ref().and_then(|response| Some(response.usage_percent? / 100.0));
    match (outcome, response) {
        (ExchangeOutcome::Answered, Some(response)) => {
            AttemptResult { outcome, response: Some(response.body), usage }
        }
        (ExchangeOutcome::UnexpectedStatus, Some(response)) if proves_not_started(&response) => {
            AttemptResult { outcome: ExchangeOutcome::NotStarted, response: None, usage }
        }
        (outcome, _) => AttemptResult { outcome, response: None, usage },
    }
}

fn close_idle(client: &UpstreamClient, node: &HostId) {
    client.retain_idle(|name, _| name != &*node.0);
}

/// Whether the response proves that the node did not begin the request, so that a retry is safe. Both are required:
/// status 503 or 504, and the header `Not-Started: 1`.
fn proves_not_started(response: &Response) -> bool {
    let status = matches!(response.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    status && response.not_started
}
