//! Overload: what would come too late is refused at once. It must never hold a request or its answer.
use crate::gateway::attempts::DONE_S;
use crate::gateway::interface::*;
use crate::gateway::state::*;

const PRESSED: [f64; 3] = [0.35, 0.55, 0.85]; // refuse when predicted so late in the latency_target: low to high worth
const HOPELESS: f64 = 1.5; // an answer expected so much later than its client leaves is not begun
const LOST_GAIN: f64 = 3.0; // bars fall so steeply with the share of time-outs, to a half at the most...
const LOST_FREE: f64 = 0.04; // ...past this: a few very heavy requests are no sign of press
const CALM_OUT: f64 = 2.0; // so many attempts out a host, over all gateways, are no press at any rate
const YOUNG_OUT: f64 = 2.0; // ...and so many times that, before answers can tell anything
const SPARE_OUT: f64 = 1.5; // under so many attempts out a host, over all gateways, there is work to spare
const THIN: f64 = 0.25; // answers a second at the mean latency mixed in: none at all are no sign of press

impl Gateway {
    /// Would the answer come too late? Predicted by what is out over what gets done, by Little's law; the bar
    /// is higher the more worth a request has for its work, and falls as attempts run out of time: then
    /// predictions were too hopeful. Harm: where answers get lost on idle hosts.
    pub(super) fn pressed(&mut self, class: usize, price: f64, units: f64, left: f64) -> bool {
        let work = self.expected(class, units);
        let density = self.s.classes[class].value * price * units / work.max(1e-6);
        self.density += 0.02 * (density - self.density);
        let unplaced = self.unplaced > 0.0 && self.rng.f64() * density < self.unplaced * self.density;
        self.turned_out += u64::from(unplaced);
        let hopeless = unplaced || work > HOPELESS * left;
        // Answers begin to come after a mean latency, and tell something after another one.
        let mean = self.mean_latency();
        let age = self.now - self.serving.unwrap_or(self.now) - mean;
        let calm = CALM_OUT * self.ready_each();
        if hopeless || self.queue < calm || age < mean {
            return hopeless || self.queue >= YOUNG_OUT * calm;
        }
        let queue = self.queue + 1.0 / f64::from(self.s.replicas);
        // A gateway that serves for less than the flows' time has seen only so much of its rates.
        let seen = 1.0 - (-age / DONE_S).exp();
        let done = self.done.rate(self.now, DONE_S) / seen + THIN;
        let lost = self.lost.rate(self.now, DONE_S) / seen;
        let wait = (queue + THIN * mean) / done;
        let predicted = wait * (0.5 + 0.5 * work / mean);
        let bar = (PRESSED[1] * (density / self.density.max(1e-9)).sqrt()).clamp(PRESSED[0], PRESSED[2]);
        let bar = bar * (1.0 - LOST_GAIN * (lost / (lost + done) - LOST_FREE).max(0.0)).max(0.5);
        predicted > bar * self.s.classes[class].latency_target.as_secs_f64().min(left)
    }

    /// The final answer to what is given up, at once; clients that hear it are told when to come back.
    pub(super) fn refuse(&self, id: RequestId, seconds: f64) -> Action {
        // Where nothing tells when there will be room: once what is out now has ended.
        let seconds = if seconds > 0.0 { seconds } else { self.mean_latency() };
        let away = span(seconds).min(self.s.max_retry_after);
        Action::Refuse {
            id,
            retry_after: Some(away).filter(|away| self.s.sends_retry_after && !away.is_zero()),
        }
    }

    /// Beyond the quota only where that earns more than it costs, and only while hosts are calm.
    pub(super) fn spare(&mut self, plan: usize) -> bool {
        let calm = self.queue < SPARE_OUT * self.ready_each();
        calm && self.s.plans[plan].excess_value_fraction > self.s.plans[plan].excess_cost_fraction
    }
}
