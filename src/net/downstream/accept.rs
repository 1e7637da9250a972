//! The accept loop.

use super::connection::Connection;
use super::connection_table::ConnectionTable;
use super::Listener;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Connections accepted beyond the limit where none can be evicted; their requests are denied.
const OVERFLOW_CONNECTIONS: usize = 8;
/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

impl Listener {
    /// Accepts connections for as long as the program runs, except while another process does.
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
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
                None => {
                    // The socket stays open until this process ends: connections in its backlog are the other
                    // process's to accept.
                    let _ = state.wait_for(|s| !s.is_handed_over()).await;
                }
            }
        }
    }

    async fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // Clients keep connections open and have only so many: idle ones are closed well before the limit leaves no
        // room for others.
        let (open, max) = (self.connections.len(), self.max_connections.get());
        if open >= max / 2 {
            self.connections.evict_one(open >= max);
        }
        let guard = ConnectionTable::register(&self.connections);
        actix_rt::spawn(Connection::new(Rc::clone(self), guard, stream).run());
        // Lets the connection read before the next one is accepted, so that a request that is already there is
        // seen before its connection could be evicted.
        tokio::task::yield_now().await;
    }
}
