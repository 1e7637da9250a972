//! Client connections: the accept loop, and the request loop of each connection.

use super::EdgeServer;
use crate::data_plane::requests::FinalResponse;
use crate::transport::http_server::{
    self, text_response, Connection, HttpError, IdleOutcome, OutgoingResponse, RequestLimits,
};
use crate::transport::peer_link;
use actix_http::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time within which a request body must be complete, counted from the end of the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Value of `Retry-After`, in seconds, for a request that this edge can't accept yet because it has no configuration or
/// no free memory for the body.
const RETRY_AFTER_S: f64 = 0.25;

/// Counts a connection in [`EdgeServer::client_connections`] until it is dropped.
struct CountedConnection(Rc<EdgeServer>);

impl CountedConnection {
    fn new(server: &Rc<EdgeServer>) -> Self {
        server.client_connections.set(server.client_connections.get() + 1);
        CountedConnection(Rc::clone(server))
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.client_connections.set(self.0.client_connections.get() - 1);
    }
}

/// Accepts client connections; never returns. A connection beyond the limit is closed before anything is read, so its
/// client may retry at another edge.
pub(super) async fn accept(server: Rc<EdgeServer>, listener: TcpListener) {
    let config = http_server::service_config();
    loop {
        let stream = peer_link::accept_connection(&listener).await;
        if server.client_connections.get() >= server.max_client_connections {
            continue;
        }
        let counted = CountedConnection::new(&server);
        let connection = Connection::new(stream, &config);
        tokio::task::spawn_local(async move {
            Rc::clone(&counted.0).serve_connection(connection).await;
            drop(counted);
        });
    }
}

impl EdgeServer {
    /// The limits on a request according to the active configuration.
    fn request_limits(&self) -> RequestLimits {
        let node = self.edge.node.borrow();
        let saturation = &node.active_config.client_limits;
        RequestLimits {
            max_head_bytes: saturation.max_header_bytes,
            max_body_bytes: saturation.max_body_bytes,
            head_timeout: saturation.header_timeout,
            body_timeout: BODY_TIMEOUT,
        }
    }

    /// Serves requests one after another until the connection ends, is idle for too long, or this process drains.
    async fn serve_connection(self: Rc<Self>, mut connection: Connection) {
        let mut closes_idle_at = self.closes_idle_at.subscribe();
        loop {
            let idle_timeout = || self.edge.node.borrow().active_config.client_limits.idle_timeout;
            if connection.wait_idle(idle_timeout, &mut closes_idle_at).await == IdleOutcome::Close {
                // The connection is dropped without reading: the client can safely repeat a request that arrives now only
                // if no byte of it is read.
                return;
            }
            let limits = self.request_limits();
            let mut response = match connection.read_request(&limits, &self.body_budget).await {
                Ok(received) => match self.serve_request(received, &mut connection).await {
                    Some(response) => response,
                    None => return,
                },
                Err(HttpError::ConnectionClosed) => return,
                Err(HttpError::Rejected(status, why)) => rejection(status, why),
            };
            if closes_idle_at.borrow().is_some() {
                response.head.force_close();
            }
            if !matches!(connection.respond(response).await, Ok(true)) {
                return;
            }
        }
    }
}

/// The response to a request that can't be accepted. The connection is closed after it.
fn rejection(status: StatusCode, why: &'static str) -> OutgoingResponse {
    let mut response = text_response(status, why);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.head.insert_header(("retry-after", RETRY_AFTER_S.to_string()));
    }
    response.head.force_close();
    response
}

/// The final response to requests while this edge has no configuration yet.
pub(super) const NOT_CONFIGURED: FinalResponse = FinalResponse::NotExecuted(RETRY_AFTER_S);
