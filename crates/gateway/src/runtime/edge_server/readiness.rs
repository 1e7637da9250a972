//! The readiness endpoint for the platform: 200 while this edge can serve clients, 503 while it can't or is draining.

use super::EdgeServer;
use crate::transport::http_server::{self, text_response, Connection, RequestLimits};
use crate::transport::peer_link;
use actix_http::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Limits on a readiness request.
const LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 8192,
    max_body_bytes: 1024,
    head_timeout: Duration::from_secs(2),
    body_timeout: Duration::from_secs(2),
};
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts the platform's connections; never returns.
pub(super) async fn serve(server: Rc<EdgeServer>, listener: TcpListener) {
    let config = http_server::service_config();
    loop {
        let stream = peer_link::accept_connection(&listener).await;
        let connection = Connection::new(stream, &config);
        tokio::task::spawn_local(serve_connection(Rc::clone(&server), connection));
    }
}

/// Responds to every request on a connection, regardless of method and path, until the connection ends or is idle for too
/// long.
async fn serve_connection(server: Rc<EdgeServer>, mut connection: Connection) {
    while let Ok(Ok(())) = timeout(IDLE_TIMEOUT, connection.wait_readable()).await {
        let Ok(_) = connection.read_request(&LIMITS, &server.body_budget).await else { return };
        let status = if server.edge.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        if !matches!(connection.respond(text_response(status, "")).await, Ok(true)) {
            return;
        }
    }
}
