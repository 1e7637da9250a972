//! The event loop of an edge: feeds the state machine with events and the time, and carries out the effects it asks for.
//! Used by the edge role and by the capacity tool's simulated edges.

use crate::data_plane::{EdgeNode, Effect, Event};
use crate::runtime::Clock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The shortest wait between two ticks, and the precision with which a tick counts as due earlier than planned: seconds.
const MIN_TICK_WAIT_S: f64 = 1e-3;

/// An edge's state machine, its clock and the timer of its next tick.
pub struct EdgeLoop {
    /// The state machine.
    pub node: RefCell<EdgeNode>,
    /// The clock whose time the state machine is given.
    pub clock: Clock,
    /// Until when [`EdgeLoop::wait_for_tick`] sleeps: seconds of `clock`.
    next_tick: Cell<f64>,
    /// Wakes that sleep when a tick becomes due earlier.
    wake: Notify,
}

impl EdgeLoop {
    /// A loop that has not ticked yet.
    pub fn new(node: EdgeNode, clock: Clock) -> Self {
        EdgeLoop { node: RefCell::new(node), clock, next_tick: Cell::new(0.0), wake: Notify::new() }
    }

    /// Whether the edge can serve clients now.
    pub fn is_ready(&self) -> bool {
        self.node.borrow().is_ready(self.clock.now())
    }

    /// Runs `change` on the state machine with the current time and returns the effects to carry out.
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

    /// Sleeps until a tick is due. Returns by how much it is late, in seconds.
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

/// What drives an [`EdgeLoop`]: holds the sockets, and carries out the effects on them.
pub trait EdgeDriver: Sized {
    /// The loop that is driven.
    fn edge(&self) -> &EdgeLoop;

    /// Carries out one effect. It may feed further events into the loop.
    fn carry_out(self: &Rc<Self>, effect: Effect);

    /// Changes the state machine, and carries out the effects.
    fn update(self: &Rc<Self>, change: impl FnOnce(&mut EdgeNode, f64, &mut Vec<Effect>)) {
        for effect in self.edge().update(change) {
            self.carry_out(effect);
        }
    }

    /// Feeds an event into the state machine, and carries out the effects.
    fn handle(self: &Rc<Self>, event: Event) {
        self.update(|node, now, effects| node.handle(now, event, effects));
    }
}

/// Ticks for ever. After each tick `ticked` runs with the seconds by which that tick was late.
pub async fn run_ticks<D: EdgeDriver>(driver: Rc<D>, mut ticked: impl FnMut(&D, f64)) {
    let mut late = 0.0;
    loop {
        driver.handle(Event::Tick);
        ticked(&driver, late);
        late = driver.edge().wait_for_tick().await;
    }
}
