//! Accept loop of the client listener.

use super::connection::Connection;
use super::connection_table::ConnectionTable;
use super::Listener;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Number of connections accepted beyond the limit if none can be evicted; their requests are denied.
const OVERFLOW_CONNECTIONS: usize = 8;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

impl Listener {
    /// Accepts connections until the program exits, except while the service is handed over to another process.
    pub async fn serve(self: Rc<Self>, socket: TcpListener) {
        let mut state = self.state.subscribe();
        loop {
            self.connections.wait_below(|| self.max_connections.get() + OVERFLOW_CONNECTIONS).await;
            let accepted = tokio::select! {
                biased;
                _ = state.wait_for(|s| s.is_handed_over()) => None,
                accepted = socket.accept() => Some(accepted),
            };
            match accepted {
                Some(Ok((stream, _))) => self.start_connection(stream).await,
                Some(Err(error)) => {
                    tracing::warn!(%error, "cannot accept a client connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => {
                    // The socket stays open until this process exits: the other process accepts the connections in
                    // its backlog.
                    let _ = state.wait_for(|s| !s.is_handed_over()).await;
                }
            }
        }
    }

    async fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // Clients keep idle connections open. Eviction starts at half of the limit, so that a burst of new connections
        // does not reach it.
        let (open, max) = (self.connections.len(), self.max_connections.get());
        if open >= max / 2 {
            self.connections.evict_one(open >= max);
        }
        let guard = ConnectionTable::register(&self.connections);
        actix_rt::spawn(Connection::new(Rc::clone(self), guard, stream).run());
        // Lets the connection read before the next one is accepted: otherwise the connection could be evicted although
        // its request has arrived.
        tokio::task::yield_now().await;
    }
}
