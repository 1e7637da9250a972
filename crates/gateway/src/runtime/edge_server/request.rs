//! The phases of a client's request: route, tenant, attempt id, deadline, the forwarded request, and the final response.
//! Each phase up to the deadline may end the request with an error response; nothing has been sent to a worker by then.

use super::client_connections::NOT_CONFIGURED;
use super::EdgeServer;
use crate::configuration::active_config::{ActiveConfig, Route, Tenant};
use crate::data_plane::requests::{FinalResponse, IncomingRequest};
use crate::runtime::edge_loop::EdgeDriver;
use crate::transport::http_server::{text_response, Connection, OutgoingResponse, ReceivedRequest};
use crate::transport::remove_hop_by_hop;
use crate::transport::upstream_pool::{ForwardedRequest, UpstreamResponse};
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use whinstall::RequestId;

/// Time that a client without `X-Remaining-Ms` is assumed to wait for its response.
const DEFAULT_CLIENT_WAIT: Duration = Duration::from_secs(30);
/// Maximum time that any client is assumed to wait for its response.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(600);
/// Minimum value of `Retry-After`, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.001;

/// Request headers that are removed in addition to the hop-by-hop headers: the client's credentials, and headers that
/// this edge sets.
const NOT_FORWARDED: [&str; 5] =
    ["proxy-authorization", "expect", "api-key", "x-tenant", "x-target-instance"];
/// Request headers that are forwarded even if `Connection` names them.
const ALWAYS_FORWARDED: [&str; 2] = ["host", "x-attempt-id"];

/// The final response to a client.
pub(super) enum ClientResponse {
    /// A worker's complete response.
    Upstream(UpstreamResponse),
    /// A response that this edge generates.
    Local(FinalResponse),
}

/// A request that has been passed to the state machine.
pub(super) struct PendingRequest {
    /// The request that each attempt sends.
    pub(super) forward: Rc<ForwardedRequest>,
    /// Name of the tenant; `None` if the request needs no key.
    pub(super) tenant: Option<Arc<str>>,
    /// Sends the response to the client's connection; `None` once the response is sent or the client has disconnected.
    client: Option<oneshot::Sender<ClientResponse>>,
    /// Workers' responses by attempt, kept until the state machine selects one.
    pub(super) responses: HashMap<u32, UpstreamResponse>,
    /// Attempts in flight. Dropping a sender cancels the attempt.
    pub(super) attempts: HashMap<u32, oneshot::Sender<()>>,
}

/// A request that passed all phases before forwarding.
struct AcceptedRequest {
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    attempt_id: HeaderValue,
    client_wait: Duration,
}

impl EdgeServer {
    /// Serves a request. Returns `None` if the client has disconnected, so there is no response to send.
    pub(super) async fn serve_request(
        self: &Rc<Self>,
        received: ReceivedRequest,
        connection: &mut Connection,
    ) -> Option<OutgoingResponse> {
        let ReceivedRequest { head, body, reservation: _reservation } = received;
        let accepted = match self.accept_request(&head) {
            Ok(accepted) => accepted,
            Err(response) => return Some(response),
        };
        let forward = self.forwarded_request(&head, body, &accepted);
        let id = self.next_request_id();
        let (client, mut response) = oneshot::channel();
        let AcceptedRequest { route, tenant, client_wait, .. } = accepted;
        let pending = PendingRequest {
            forward: Rc::new(forward),
            tenant: tenant.as_ref().map(|t| Arc::clone(&t.label)),
            client: Some(client),
            responses: HashMap::new(),
            attempts: HashMap::new(),
        };
        self.pending.borrow_mut().insert(id.clone(), pending);
        let arrival =
            IncomingRequest { id: id.clone(), route, tenant, remaining_secs: client_wait.as_secs_f64() };
        self.update(|node, now, effects| node.on_request(now, arrival, effects));
        let response = tokio::select! {
            biased;
            response = &mut response => response.unwrap_or(ClientResponse::Local(FinalResponse::UpstreamFailed)),
            () = connection.client_disconnected() => {
                self.client_left(&id);
                return None;
            }
        };
        self.forget_if_finished(&id);
        Some(match response {
            ClientResponse::Upstream(response) => upstream_response(response),
            ClientResponse::Local(response) => local_response(response),
        })
    }

    /// Runs the phases up to forwarding. The error is the response that ends the request.
    fn accept_request(&self, head: &Request) -> Result<AcceptedRequest, OutgoingResponse> {
        let config = Arc::clone(&self.edge.node.borrow().active_config);
        if !self.edge.node.borrow().is_configured() {
            return Err(local_response(NOT_CONFIGURED));
        }
        let route = find_route(&config, head)?;
        let tenant = authenticate(&config, &route, head)?;
        Ok(AcceptedRequest { route, tenant, attempt_id: attempt_id(head)?, client_wait: client_wait(head) })
    }

    /// Builds the request that is sent to workers. The deadline is the earliest of the client's deadline, the route's
    /// deadline and, while this process drains, the end of the process.
    fn forwarded_request(
        &self,
        head: &Request,
        body: Option<Bytes>,
        accepted: &AcceptedRequest,
    ) -> ForwardedRequest {
        let AcceptedRequest { route, client_wait, .. } = accepted;
        let now = self.edge.clock.now();
        let limits = self.edge.node.borrow().time_limits(now, route, client_wait.as_secs_f64());
        let mut headers: HeaderMap = head.headers().clone();
        remove_hop_by_hop(&mut headers, &NOT_FORWARDED, &ALWAYS_FORWARDED);
        ForwardedRequest {
            method: head.method().clone(),
            uri: head.uri().clone(),
            headers,
            body,
            id: accepted.attempt_id.clone(),
            is_idempotent: route.is_idempotent,
            deadline: Instant::now() + Duration::from_secs_f64(limits.upstream_secs.max(0.0)),
        }
    }

    fn next_request_id(&self) -> RequestId {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        RequestId(number.to_string().into())
    }

    /// Passes the state machine's final response to the client if the client is still waiting.
    pub(super) fn resolve(&self, id: &RequestId, response: FinalResponse) {
        let mut pending = self.pending.borrow_mut();
        let Some(request) = pending.get_mut(id) else { return };
        let response = match response {
            FinalResponse::Upstream(attempt) => {
                request.responses.remove(&attempt).map(ClientResponse::Upstream)
            }
            other => Some(ClientResponse::Local(other)),
        };
        if let Some(client) = request.client.take() {
            let _ = client.send(response.unwrap_or(ClientResponse::Local(FinalResponse::UpstreamFailed)));
        }
    }

    /// Handles a client that closed its connection before it received a response.
    fn client_left(self: &Rc<Self>, id: &RequestId) {
        if let Some(request) = self.pending.borrow_mut().get_mut(id) {
            request.client = None;
        }
        self.update(|node, now, effects| node.on_client_disconnect(now, id, effects));
        self.forget_if_finished(id);
    }

    /// Removes a request once no client waits for it and the state machine has removed it.
    pub(super) fn forget_if_finished(&self, id: &RequestId) {
        let mut pending = self.pending.borrow_mut();
        let is_unclaimed = pending.get(id).is_some_and(|request| request.client.is_none());
        if is_unclaimed && !self.edge.node.borrow().is_pending(id) {
            pending.remove(id);
        }
    }
}

/// Finds the route by host and path. Fails with 404 if there is none.
fn find_route(config: &ActiveConfig, head: &Request) -> Result<Arc<Route>, OutgoingResponse> {
    let host = head.headers().get("host").and_then(|h| h.to_str().ok()).unwrap_or_default();
    let route = config.match_route(host, head.path()).cloned();
    route.ok_or_else(|| text_response(StatusCode::NOT_FOUND, "no route matches the host and path"))
}

/// Finds the tenant by its `Api-Key`; `None` if the route or the entire configuration needs no key. Fails with 401 if the
/// key is missing, unknown or repeated.
fn authenticate(
    config: &ActiveConfig,
    route: &Route,
    head: &Request,
) -> Result<Option<Arc<Tenant>>, OutgoingResponse> {
    if !config.requires_credentials || route.allows_anonymous {
        return Ok(None);
    }
    let mut keys = head.headers().get_all("api-key");
    let key = keys.next().and_then(|key| key.to_str().ok());
    let tenant = key.and_then(|key| config.tenant_by_credential(key)).filter(|_| keys.next().is_none());
    let unknown = || text_response(StatusCode::UNAUTHORIZED, "Api-Key is missing, repeated or unknown");
    tenant.map(|tenant| Some(Arc::clone(tenant))).ok_or_else(unknown)
}

/// Returns the `X-Attempt-Id`. Fails with 400 if it is missing, empty or repeated, because no response could be matched
/// to the request.
fn attempt_id(head: &Request) -> Result<HeaderValue, OutgoingResponse> {
    let mut ids = head.headers().get_all("x-attempt-id");
    match (ids.next(), ids.next()) {
        (Some(id), None) if !id.as_bytes().trim_ascii().is_empty() => Ok(id.clone()),
        _ => Err(text_response(StatusCode::BAD_REQUEST, "exactly one non-empty X-Attempt-Id is required")),
    }
}

/// Time that the client waits from now on, according to `X-Remaining-Ms`.
fn client_wait(head: &Request) -> Duration {
    let stated = head.headers().get("x-remaining-ms").and_then(|v| v.to_str().ok()?.trim().parse().ok());
    let stated = stated.and_then(|ms: f64| Duration::try_from_secs_f64(ms / 1e3).ok());
    stated.unwrap_or(DEFAULT_CLIENT_WAIT).min(MAX_CLIENT_WAIT)
}

/// Converts a worker's response for the client.
fn upstream_response(response: UpstreamResponse) -> OutgoingResponse {
    let mut head = Response::build(response.status);
    for (name, value) in response.headers.iter() {
        head.append_header((name.clone(), value.clone()));
    }
    OutgoingResponse { head, body: response.body }
}

/// Builds a response that this edge generates. `Retry-After` is set only if the request was not executed.
fn local_response(response: FinalResponse) -> OutgoingResponse {
    let (status, retry_after, text) = match response {
        FinalResponse::RateLimited(after) => (
            StatusCode::TOO_MANY_REQUESTS,
            Some(after),
            "tenant quota exceeded; the request was not executed",
        ),
        FinalResponse::NotExecuted(after) => (
            StatusCode::SERVICE_UNAVAILABLE,
            Some(after),
            "request was not executed; retry after the time in Retry-After",
        ),
        FinalResponse::TimedOut => {
            (StatusCode::GATEWAY_TIMEOUT, None, "no upstream response before the request deadline")
        }
        FinalResponse::UpstreamFailed | FinalResponse::Upstream(_) => {
            (StatusCode::BAD_GATEWAY, None, "failed")
        }
    };
    let mut outgoing = text_response(status, text);
    if let Some(after) = retry_after {
        outgoing.head.insert_header(("retry-after", format!("{:.3}", after.max(MIN_RETRY_AFTER_S))));
    }
    outgoing
}
