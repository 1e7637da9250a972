//! The HTTP API for workers and operators on the control address. Calls are decoded into commands for the state machine,
//! whose responses are returned as JSON.

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

/// Limits on an API call.
const LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 16 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(10),
};
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Error text of the response to a call during shutdown. The caller retries at another core machine.
const SHUTTING_DOWN: &str = "ending";

const AMEND_PATH: &str = "/whinstall/configuration/amend";
const READ_PATH: &str = "/whinstall/configuration/read";
const STATUS_PATH: &str = "/whinstall/core";
const JOURNAL_PATH: &str = "/whinstall/journal";
/// Prefix of the paths `ID/heartbeat` and `ID/departure`, where `ID` is the id of a worker.
const INSTANCES_PREFIX: &str = "/whinstall/instances/";

/// Capacity of a worker whose heartbeat does not state one, in concurrent requests.
const DEFAULT_CAPACITY: u32 = 1;

/// The state machine's response to an API call.
pub(super) struct ApiResponse {
    /// The HTTP status code.
    pub(super) status: u16,
    /// The JSON body.
    pub(super) body: Value,
}

impl ApiResponse {
    fn shutting_down() -> Self {
        ApiResponse { status: 503, body: error_body(SHUTTING_DOWN) }
    }
}

/// Failure to decode an API call. The caller receives the text with status 400, and no command was executed.
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

/// Accepts connections to the control address; never returns.
pub(super) async fn serve(server: Rc<CoreServer>, listener: TcpListener) {
    let config = http_server::service_config();
    loop {
        let connection = Connection::new(peer_link::accept_connection(&listener).await, &config);
        tokio::task::spawn_local(Rc::clone(&server).serve_connection(connection));
    }
}

impl CoreServer {
    /// Serves calls one after another until the connection ends, is idle for too long, or this process shuts down.
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
            // During shutdown the response announces that the connection is closed after it.
            if self.is_shutting_down.get() {
                response.head.force_close();
            }
            let stays_open = matches!(connection.respond(response).await, Ok(true));
            if !stays_open || self.is_shutting_down.get() {
                return;
            }
        }
    }

    /// Passes a call to the state machine and waits for the response. A call that arrives during shutdown is rejected,
    /// because the process may end before the call completes.
    async fn serve_call(self: &Rc<Self>, head: &Request, body: &[u8]) -> OutgoingResponse {
        let response = if self.is_shutting_down.get() {
            ApiResponse::shutting_down()
        } else {
            let command = match decode_call(head, body) {
                Ok(Some(command)) => command,
                Ok(None) => {
                    return text_response(StatusCode::NOT_FOUND, "no endpoint with this method and path")
                }
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

/// Decodes a call into a command by its method, path and body; `None` if no endpoint matches.
pub(super) fn decode_call(head: &Request, body: &[u8]) -> Result<Option<ApiCommand>, DecodeError> {
    if matches_endpoint(head, Method::POST, AMEND_PATH) {
        // An invalid change is passed on as well, because the state machine responds only while it is in contact with a
        // majority of the core.
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

/// Decodes the worker that a heartbeat describes. Fields are checked in a fixed order, and the first fault is reported.
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
