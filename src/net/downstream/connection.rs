//! Client connection: serves requests one after another until the connection is closed or evicted.

use super::connection_table::ConnectionGuard;
use super::http_stream::{Disconnected, HttpStream, IncomingRequest, OutgoingResponse, ReadError};
use super::request::RequestError;
use super::Listener;
use crate::net::core::{CoreMessage, SessionResult};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Path of the readiness endpoint.
const READY_PATH: &str = "/ready";

/// One client connection.
pub(super) struct Connection {
    // Declared before the guard and thus dropped first: the socket is closed before its table entry is removed.
    stream: HttpStream,
    guard: ConnectionGuard,
    listener: Rc<Listener>,
}

impl Connection {
    pub(super) fn new(listener: Rc<Listener>, guard: ConnectionGuard, stream: TcpStream) -> Self {
        let stream = HttpStream::new(stream, listener.http_config.clone(), listener.state.subscribe());
        Connection { stream, guard, listener }
    }

    /// Serves the connection until it is closed or evicted.
    pub(super) async fn run(mut self) {
        let state = Rc::clone(&self.guard.state);
        tokio::select! {
            biased;
            _ = self.serve_requests() => {}
            () = state.evicted.notified() => {}
        }
    }

    /// Serves requests one after another; pipelined requests wait in the buffer.
    async fn serve_requests(&mut self) -> Result<(), Disconnected> {
        loop {
            let state = &self.guard.state;
            self.stream.wait_for_request(state.idle_since.get(), state.has_served.get()).await?;
            state.is_reading.set(true);
            let mut response = match self.stream.read_request().await {
                Ok(request) => self.respond(request).await?,
                Err(ReadError::Invalid(error)) => rejection(&error),
                Err(ReadError::Disconnected) => return Err(Disconnected),
            };
            if !response.keep_alive || self.listener.is_closing() {
                response.head.force_close();
            }
            let keep_alive = response.keep_alive;
            let written = self.stream.write(response).await;
            self.guard.state.has_served.set(keep_alive);
            self.guard.state.is_reading.set(false);
            self.guard.set_busy(false);
            written?;
            if !self.stream.is_keep_alive() {
                self.stream.linger().await;
                return Err(Disconnected);
            }
        }
    }

    /// Answers the readiness check, denies a request beyond the connection limit, rejects an invalid request, or
    /// submits a valid one to the core and waits for the result.
    async fn respond(&mut self, request: IncomingRequest) -> Result<OutgoingResponse, Disconnected> {
        let IncomingRequest { head, body } = request;
        if head.path() == READY_PATH {
            return Ok(self.readiness());
        }
        if self.listener.connections.len() > self.listener.max_connections.get() {
            let retry_after = Some(self.listener.max_retry_after.get());
            return Ok(OutgoingResponse { keep_alive: false, ..denial(retry_after) });
        }
        let rules = Rc::clone(&self.listener.rules.borrow());
        let (sender, result) = oneshot::channel();
        let session = match rules.parse(&head, body, sender) {
            Ok(session) => session,
            Err(error) => return Ok(rejection(&error)),
        };
        let id = session.id.clone();
        self.guard.set_busy(true);
        let _ = self.listener.core.send(CoreMessage::NewSession(Box::new(session)));
        match self.await_result(result).await {
            Some(result) => Ok(session_response(result)),
            None => {
                let _ = self.listener.core.send(CoreMessage::ClientDisconnected(id));
                Err(Disconnected)
            }
        }
    }

    /// Waits for the result of the session; `None` if the client disconnects first. In that case the receiver is
    /// dropped, by which the core distinguishes this client from another one with the same request id.
    async fn await_result(
        &mut self,
        mut result: oneshot::Receiver<SessionResult<Bytes>>,
    ) -> Option<SessionResult<Bytes>> {
        tokio::select! {
            biased;
            result = &mut result => Some(result.unwrap_or(SessionResult::Failed)),
            () = self.stream.disconnected() => None,
        }
    }

    fn readiness(&self) -> OutgoingResponse {
        let is_ready = self.listener.endpoints.can_serve() && !self.listener.is_closing();
        OutgoingResponse::empty(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

fn session_response(result: SessionResult<Bytes>) -> OutgoingResponse {
    match result {
        SessionResult::Response(body) => OutgoingResponse { body, ..OutgoingResponse::empty(StatusCode::OK) },
        SessionResult::Denied { retry_after } => denial(retry_after),
        SessionResult::Failed => OutgoingResponse::empty(StatusCode::BAD_GATEWAY),
        SessionResult::DuplicateId => OutgoingResponse::empty(StatusCode::CONFLICT),
    }
}

fn denial(retry_after: Option<Duration>) -> OutgoingResponse {
    let mut response = OutgoingResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
    if let Some(after) = retry_after.filter(|after| !after.is_zero()) {
        response.head.insert_header(("retry-after", format!("{:.3}", after.as_secs_f64())));
    }
    response
}

fn rejection(error: &RequestError) -> OutgoingResponse {
    tracing::debug!(status = error.status.as_u16(), reason = error.reason, "request rejected");
    let body = Bytes::from_static(error.reason.as_bytes());
    OutgoingResponse { head: Response::build(error.status), body, keep_alive: false }
}
