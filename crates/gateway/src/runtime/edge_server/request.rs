//! A client's request in phases: its route, its tenant, its attempt id, its deadline, the request to forward, and the
//! final response. Each phase may end the request with a response of its own; nothing has been sent to a worker then.

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

/// How long a client waits that does not say so in `X-Remaining-Ms`.
const DEFAULT_CLIENT_WAIT: Duration = Duration::from_secs(30);
/// No client is taken to wait for longer.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(600);
/// The shortest `Retry-After`: seconds.
const MIN_RETRY_AFTER_S: f64 = 0.001;

/// Client's headers that are not forwarded, besides those of its connection: its credentials, and what this edge sets.
const NOT_FORWARDED: [&str; 5] =
    ["proxy-authorization", "expect", "api-key", "x-tenant", "x-target-instance"];
/// Headers that are forwarded even if `Connection` names them.
const ALWAYS_FORWARDED: [&str; 2] = ["host", "x-attempt-id"];

/// What a client gets in the end.
pub(super) enum ClientResponse {
    /// A worker's complete response.
    Upstream(UpstreamResponse),
    /// One of this edge's own.
    Local(FinalResponse),
}

/// A request that the state machine knows.
pub(super) struct PendingRequest {
    /// What each of its attempts sends.
    pub(super) forward: Rc<ForwardedRequest>,
    /// Its tenant's name.
    pub(super) tenant: Option<Arc<str>>,
    /// To the client's connection; `None` once it has its response or has left.
    client: Option<oneshot::Sender<ClientResponse>>,
    /// Workers' responses by attempt, until the state machine has chosen one.
    pub(super) responses: HashMap<u32, UpstreamResponse>,
    /// Attempts in flight: dropping a sender cancels the attempt.
    pub(super) attempts: HashMap<u32, oneshot::Sender<()>>,
}

/// A request that passed all phases before it is forwarded.
struct AcceptedRequest {
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    attempt_id: HeaderValue,
    client_wait: Duration,
}

impl EdgeServer {
    /// Serves a request. `None`: its client has left, and gets no response.
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

    /// The phases up to forwarding. `Err`: the response that ends the request.
    fn accept_request(&self, head: &Request) -> Result<AcceptedRequest, OutgoingResponse> {
        let config = Arc::clone(&self.edge.node.borrow().active_config);
        if !self.edge.node.borrow().is_configured() {
            return Err(local_response(NOT_CONFIGURED));
        }
        let route = find_route(&config, head)?;
        let tenant = authenticate(&config, &route, head)?;
        Ok(AcceptedRequest { route, tenant, attempt_id: attempt_id(head)?, client_wait: client_wait(head) })
    }

    /// The request as workers get it. Its deadline is the earliest of the client's, the route's and, while this process
    /// drains, the end of the process.
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

    /// Passes the state machine's final response to the client, if it still waits.
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

    /// The client closed its connection before it had a response.
    fn client_left(self: &Rc<Self>, id: &RequestId) {
        if let Some(request) = self.pending.borrow_mut().get_mut(id) {
            request.client = None;
        }
        self.update(|node, now, effects| node.on_client_disconnect(now, id, effects));
        self.forget_if_finished(id);
    }

    /// Forgets a request once nobody waits for it and the state machine has forgotten it.
    pub(super) fn forget_if_finished(&self, id: &RequestId) {
        let mut pending = self.pending.borrow_mut();
        let nobody_waits = pending.get(id).is_some_and(|request| request.client.is_none());
        if nobody_waits && !self.edge.node.borrow().is_pending(id) {
            pending.remove(id);
        }
    }
}

/// The route by host and path; 404 if there is none.
fn find_route(config: &ActiveConfig, head: &Request) -> Result<Arc<Route>, OutgoingResponse> {
    let host = head.headers().get("host").and_then(|h| h.to_str().ok()).unwrap_or_default();
    let route = config.match_route(host, head.path()).cloned();
    route.ok_or_else(|| text_response(StatusCode::NOT_FOUND, "no route"))
}

/// The tenant by the one `Api-Key`; `None` if the route, or the whole configuration, needs no key; 401 if the key is
/// missing, unknown, or one of several.
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
    let unknown = || text_response(StatusCode::UNAUTHORIZED, "unknown key");
    tenant.map(|tenant| Some(Arc::clone(tenant))).ok_or_else(unknown)
}

/// The one `X-Attempt-Id`. 400 if it is missing, empty, or one of several: no response could be matched to the request.
fn attempt_id(head: &Request) -> Result<HeaderValue, OutgoingResponse> {
    let mut ids = head.headers().get_all("x-attempt-id");
    match (ids.next(), ids.next()) {
        (Some(id), None) if !id.as_bytes().trim_ascii().is_empty() => Ok(id.clone()),
        _ => Err(text_response(StatusCode::BAD_REQUEST, "not one X-Attempt-Id")),
    }
}

/// How long the client waits from now on, by `X-Remaining-Ms`.
fn client_wait(head: &Request) -> Duration {
    let stated = head.headers().get("x-remaining-ms").and_then(|v| v.to_str().ok()?.trim().parse().ok());
    let stated = stated.and_then(|ms: f64| Duration::try_from_secs_f64(ms / 1e3).ok());
    stated.unwrap_or(DEFAULT_CLIENT_WAIT).min(MAX_CLIENT_WAIT)
}

/// A worker's response, as the client gets it.
fn upstream_response(response: UpstreamResponse) -> OutgoingResponse {
    let mut head = Response::build(response.status);
    for (name, value) in response.headers.iter() {
        head.append_header((name.clone(), value.clone()));
    }
    OutgoingResponse { head, body: response.body }
}

/// A response that is not a worker's. `Retry-After` only where the request was not run.
fn local_response(response: FinalResponse) -> OutgoingResponse {
    let (status, retry_after, text) = match response {
        FinalResponse::RateLimited(after) => (StatusCode::TOO_MANY_REQUESTS, Some(after), "beyond the quota"),
        FinalResponse::NotExecuted(after) => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(after), "not run: come back")
        }
        FinalResponse::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None, "no answer in time"),
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
