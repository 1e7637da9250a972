//! The event loop of an edge. It passes events and the current time to the state machine and executes the returned
//! effects. The edge role and the simulated edges of the capacity tool use it.

use crate::data_plane::{EdgeNode, Effect, Event};
use crate::runtime::Clock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Minimum wait between two ticks, in seconds. A running wait is interrupted only if the next tick becomes due earlier by
/// more than this.
const MIN_TICK_WAIT_S: f64 = 1e-3;

/// The state machine of an edge with its clock and the timer of its next tick.
pub struct EdgeLoop {
    /// The state machine.
    pub node: RefCell<EdgeNode>,
    /// The clock that provides the time for the state machine.
    pub clock: Clock,
    /// Time until which [`EdgeLoop::wait_for_tick`] sleeps, in seconds of `clock`.
    next_tick: Cell<f64>,
    /// Interrupts the sleep of [`EdgeLoop::wait_for_tick`] when a tick becomes due earlier.
    wake: Notify,
}

impl EdgeLoop {
    /// Creates a loop that has not ticked yet.
    pub fn new(node: EdgeNode, clock: Clock) -> Self {
        EdgeLoop { node: RefCell::new(node), clock, next_tick: Cell::new(0.0), wake: Notify::new() }
    }

    /// Whether the edge can currently serve clients.
    pub fn is_ready(&self) -> bool {
        self.node.borrow().is_ready(self.clock.now())
    }

    /// Runs `change` on the state machine with the current time and returns the effects to execute.
    fn update(&self, change: impl FnOnce(&mut EdgeNode, f64, &mut Vec<Effect>)) -> Vec<Effect> {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let mut node = self.node.borrow_mut();
        change(&mut node, now, &mut effects);
        if node.next_wakeup(now) + MIN_TICK_WAIT_S < self.next_tick.get() {
            self.wake.notify_one();
        }
        effects
    }

    /// Sleeps until a tick is due. Returns the delay of the wake-up in seconds.
    async fn wait_for_tick(&self) -> f64 {
        let now = self.clock.now();
        let next = self.node.borrow().next_wakeup(now);
        self.next_tick.set(next);
        let wait = (next - now).max(MIN_TICK_WAIT_S);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(wait)) => self.clock.now() - now - wait,
            () = self.wake.notified() => 0.0,
        }
    }
}

/// The driver of an [`EdgeLoop`]: owns the sockets and executes the effects on them.
pub trait EdgeDriver: Sized {
    /// The loop that this driver runs.
    fn edge(&self) -> &EdgeLoop;

    /// Executes one effect, which may pass further events to the loop.
    fn carry_out(self: &Rc<Self>, effect: Effect);

    /// Runs `change` on the state machine and executes the resulting effects.
    fn update(self: &Rc<Self>, change: impl FnOnce(&mut EdgeNode, f64, &mut Vec<Effect>)) {
        for effect in self.edge().update(change) {
            self.carry_out(effect);
        }
    }

    /// Passes an event to the state machine and executes the resulting effects.
    fn handle(self: &Rc<Self>, event: Event) {
        self.update(|node, now, effects| node.handle(now, event, effects));
    }
}

/// Runs the ticks; never returns. After each tick, `ticked` is called with the delay of that tick in seconds.
pub async fn run_ticks<D: EdgeDriver>(driver: Rc<D>, mut ticked: impl FnMut(&D, f64)) {
    let mut late = 0.0;
    loop {
        driver.handle(Event::Tick);
        ticked(&driver, late);
        late = driver.edge().wait_for_tick().await;
    }
}
