//! The calls of workers and operators: HTTP connections on the control address, decoded into commands for the state
//! machine, whose responses go back as JSON.

use super::CoreServer;
use crate::configuration::parse_change;
use crate::control_plane::{error_body, ApiCommand, Event};
use crate::discovery::{Worker, WorkerPhase};
use crate::json_path::{self, JsonNode, JsonPathError};
use crate::transport::http_server::{
    self, json_response, matches_endpoint, text_response, Connection, HttpError, OutgoingResponse,
    RequestLimits,
};
use crate::transport::peer_link;
use actix_http::{Method, Request, StatusCode};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Bounds on a call.
const LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 16 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(10),
};
/// A connection is closed once it has been idle for so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// What a call gets that this process can't answer any more: its caller retries at another core machine.
const SHUTTING_DOWN: &str = "ending";

const AMEND_PATH: &str = "/whinstall/configuration/amend";
const READ_PATH: &str = "/whinstall/configuration/read";
const STATUS_PATH: &str = "/whinstall/core";
const JOURNAL_PATH: &str = "/whinstall/journal";
/// Followed by a worker's id, `/`, and `heartbeat` or `departure`.
const INSTANCES_PREFIX: &str = "/whinstall/instances/";

/// A worker's capacity if its heartbeat doesn't say: requests at a time.
const DEFAULT_CAPACITY: u32 = 1;

/// The state machine's response to a call.
pub(super) struct ApiResponse {
    /// The HTTP status.
    pub(super) status: u16,
    /// The body, as JSON.
    pub(super) body: Value,
}

impl ApiResponse {
    fn shutting_down() -> Self {
        ApiResponse { status: 503, body: error_body(SHUTTING_DOWN) }
    }
}

/// Why a call can't be decoded. Its caller gets the text with status 400; nothing was run.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub(super) enum DecodeError {
    /// an instance without an id
    MissingInstanceId,
    /// {0}
    Body(JsonPathError),
}

impl std::error::Error for DecodeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            DecodeError::MissingInstanceId => None,
            DecodeError::Body(error) => Some(error),
        }
    }
}

impl From<JsonPathError> for DecodeError {
    fn from(error: JsonPathError) -> Self {
        DecodeError::Body(error)
    }
}

/// Accepts connections for ever.
pub(super) async fn serve(server: Rc<CoreServer>, listener: TcpListener) {
    let config = http_server::service_config();
    loop {
        let connection = Connection::new(peer_link::accept_connection(&listener).await, &config);
        tokio::task::spawn_local(Rc::clone(&server).serve_connection(connection));
    }
}

impl CoreServer {
    /// Serves one call after the other, until the connection ends, is idle for too long, or this process shuts down.
    async fn serve_connection(self: Rc<Self>, mut connection: Connection) {
        while let Ok(Ok(())) = timeout(IDLE_TIMEOUT, connection.wait_readable()).await {
            let mut response = match connection.read_request(&LIMITS, &self.body_budget).await {
                Ok(call) => self.serve_call(&call.head, call.body.as_deref().unwrap_or_default()).await,
                Err(HttpError::ConnectionClosed) => return,
                Err(HttpError::Rejected(status, why)) => {
                    let mut response = text_response(status, why);
                    response.head.force_close();
                    response
                }
            };
            // The caller of a process that shuts down is to know that its connection ends.
            if self.is_shutting_down.get() {
                response.head.force_close();
            }
            let stays_open = matches!(connection.respond(response).await, Ok(true));
            if !stays_open || self.is_shutting_down.get() {
                return;
            }
        }
    }

    /// Passes a call to the state machine, and waits for its response. A call that comes while this process shuts down
    /// is not passed on: it may take longer than this process lives.
    async fn serve_call(self: &Rc<Self>, head: &Request, body: &[u8]) -> OutgoingResponse {
        let response = if self.is_shutting_down.get() {
            ApiResponse::shutting_down()
        } else {
            let command = match decode_call(head, body) {
                Ok(Some(command)) => command,
                Ok(None) => return text_response(StatusCode::NOT_FOUND, "no such call"),
                Err(error) => {
                    tracing::warn!(%error, path = head.path(), "rejected a malformed call");
                    ApiCommand::Malformed(error.to_string())
                }
            };
            self.run_command(command).await
        };
        json_response(response.status, &response.body)
    }

    async fn run_command(self: &Rc<Self>, command: ApiCommand) -> ApiResponse {
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        let (respond, response) = oneshot::channel();
        self.calls.borrow_mut().insert(call, respond);
        self.handle(Event::ApiCall(call, command));
        response.await.unwrap_or_else(|_| ApiResponse::shutting_down())
    }
}

/// The command of a call by its method, path and body; `None` if there is no such call.
pub(super) fn decode_call(head: &Request, body: &[u8]) -> Result<Option<ApiCommand>, DecodeError> {
    if matches_endpoint(head, Method::POST, AMEND_PATH) {
        // The state machine responds to an unreadable one too: it does so only in contact with most of the core.
        let change = parse_change(body);
        return Ok(Some(change.map_or_else(|e| ApiCommand::InvalidChange(e.to_string()), ApiCommand::Amend)));
    }
    if matches_endpoint(head, Method::GET, READ_PATH) {
        return Ok(Some(ApiCommand::Read));
    }
    if matches_endpoint(head, Method::GET, STATUS_PATH) {
        return Ok(Some(ApiCommand::Status));
    }
    if matches_endpoint(head, Method::GET, JOURNAL_PATH) {
        return Ok(Some(ApiCommand::Journal));
    }
    let Some(instance) = head.path().strip_prefix(INSTANCES_PREFIX) else { return Ok(None) };
    match instance.split_once('/') {
        Some(("", _)) => Err(DecodeError::MissingInstanceId),
        Some((id, "heartbeat")) if head.method() == Method::POST => {
            let value = json_path::parse(body)?;
            Ok(Some(ApiCommand::Heartbeat(decode_heartbeat(id, &JsonNode::root(&value))?)))
        }
        Some((id, "departure")) if head.method() == Method::POST => {
            Ok(Some(ApiCommand::Departure(id.into())))
        }
        _ => Ok(None),
    }
}

/// The worker that a heartbeat describes. Of several faults one is reported, always the same.
fn decode_heartbeat(id: &str, body: &JsonNode) -> Result<Worker, JsonPathError> {
    let address = body.required("address")?;
    let socket = address.as_str()?.parse();
    let phase = body.required("phase")?;
    Ok(Worker {
        id: id.into(),
        service: body.required("service_ref")?.as_non_empty_str()?.into(),
        address: socket
            .map_err(|_| JsonPathError::Invalid(address.path(), "an address such as 10.0.0.1:80"))?,
        zone: body.required("zone_name")?.as_str()?.into(),
        capacity: body
            .optional("capacity")
            .map_or(Ok(DEFAULT_CAPACITY), |c| c.as_non_negative().map(|c| c as u32))?,
        phase: match phase.as_str()? {
            "settled" => WorkerPhase::Serving,
            "decaying" => WorkerPhase::Draining,
            _ => return Err(JsonPathError::Invalid(phase.path(), "settled or decaying")),
        },
        warmup_ms: body
            .optional("warmup_left")
            .map_or(Ok(0), |w| w.as_duration().map(|w| w.as_millis() as u32))?,
        heartbeat_seq: body.required("call_count")?.as_non_negative()? as u64,
    })
}
