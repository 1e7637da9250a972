//! Owns an edge while it runs: hands it what happens, with the time, and says when its next tick is due. It must never carry
//! anything out.

use crate::data_plane::{EdgeNode, Effect};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;

/// An edge and its clock.
pub struct EdgeLoop {
    /// The state machine.
    pub state: RefCell<EdgeNode>,
    /// Its clock.
    pub clock: crate::runtime::Clock,
    /// Until when [`EventLoop::due`] waits; woken where something is due earlier.
    due: Cell<f64>,
    wake: Notify,
}

impl EdgeLoop {
    /// With nothing due.
    pub fn new(edge: EdgeNode, clock: crate::runtime::Clock) -> Self {
        EdgeLoop { state: RefCell::new(edge), clock, due: Cell::new(0.0), wake: Notify::new() }
    }

    /// Something happens; returned: what is to be done.
    pub fn with(&self, f: impl FnOnce(&mut EdgeNode, f64, &mut Vec<Effect>)) -> Vec<Effect> {
        let mut out = Vec::new();
        let now = self.clock.now();
        let mut edge = self.state.borrow_mut();
        f(&mut edge, now, &mut out);
        if edge.next_wakeup(now) + 1e-3 < self.due.get() {
            self.wake.notify_one();
        }
        out
    }

    /// Waits until a tick is due; returned: by how much it comes late, in seconds.
    pub async fn due(&self) -> f64 {
        let now = self.clock.now();
        let next = self.state.borrow().next_wakeup(now);
        self.due.set(next);
        let wait = (next - now).max(0.001);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(wait)) => self.clock.now() - now - wait,
            () = self.wake.notified() => 0.0,
        }
    }
}
