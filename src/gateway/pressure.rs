//! Overload protection: a request whose answer would come too late is refused at once. Requests are never queued here.

use crate::gateway::attempts::ANSWER_RATE_SECS;
use crate::gateway::interface::*;
use crate::gateway::state::*;

/// Bar on the predicted latency of requests with the least value, as a fraction of the latency target.
const MIN_LATENCY_BAR: f64 = 0.35;
/// Bar on the predicted latency of requests with the mean value for their work.
const MEAN_LATENCY_BAR: f64 = 0.55;
/// Bar on the predicted latency of requests with the highest value.
const MAX_LATENCY_BAR: f64 = 0.85;
/// A request is refused when its expected latency exceeds its client's patience by this factor.
const HOPELESS_FACTOR: f64 = 1.5;
/// The bar falls by this multiple of the fraction of attempts that time out, to one half at the least.
const TIMEOUT_GAIN: f64 = 3.0;
/// Fraction of timeouts that does not lower the bar: a few very heavy requests are no sign of overload.
const TOLERATED_TIMEOUTS: f64 = 0.04;
/// Attempts in flight per ready host, over all gateways, below which there is no overload.
const CALM_IN_FLIGHT: f64 = 2.0;
/// Before answers allow a prediction, a gateway is overloaded at this multiple of `CALM_IN_FLIGHT`.
const UNKNOWN_LATENCY_FACTOR: f64 = 2.0;
/// Attempts in flight per ready host, over all gateways, below which hosts have spare capacity.
const SPARE_IN_FLIGHT: f64 = 1.5;
/// Answers per second, at the mean latency, that are assumed besides the observed ones. Without them a gateway that
/// has no answers yet would appear overloaded.
const ANSWER_RATE_PRIOR: f64 = 0.25;
/// Weight of the newest request in the mean value per unit of work.
const VALUE_DENSITY_WEIGHT: f64 = 0.02;

impl Gateway {
    /// Whether a request must be refused because its answer would come too late, or because no zone has capacity for
    /// it.
    ///
    /// The latency is predicted from the attempts in flight and the rate of answers, by Little's law. The bar on it is
    /// higher the more value a request has for its work, and falls as attempts time out, because the predictions were
    /// too low then. Where responses are lost although hosts are idle, this refuses more than necessary.
    pub(super) fn is_overloaded(&mut self, class: usize, price: f64, units: f64, time_left: f64) -> bool {
        let work = self.expected_latency(class, units);
        let value_density = self.settings.classes[class].value * price * units / work.max(1e-6);
        self.mean_value_density += VALUE_DENSITY_WEIGHT * (value_density - self.mean_value_density);
        let is_unassigned = self.unassigned > 0.0
            && self.rng.f64() * value_density < self.unassigned * self.mean_value_density;
        self.zone_rejections += u64::from(is_unassigned);
        let is_hopeless = is_unassigned || work > HOPELESS_FACTOR * time_left;
        // Answers begin to arrive after a mean latency and are representative after another one.
        let mean_latency = self.mean_latency();
        let age = self.now - self.first_request_at.unwrap_or(self.now) - mean_latency;
        let calm = CALM_IN_FLIGHT * self.ready_hosts_per_gateway();
        if is_hopeless || self.mean_in_flight < calm || age < mean_latency {
            return is_hopeless || self.mean_in_flight >= UNKNOWN_LATENCY_FACTOR * calm;
        }
        let in_flight = self.mean_in_flight + 1.0 / f64::from(self.settings.replicas);
        // A gateway younger than the time constant of the rates has seen only this fraction of them.
        let seen = 1.0 - (-age / ANSWER_RATE_SECS).exp();
        let answers = self.answer_rate.rate(self.now, ANSWER_RATE_SECS) / seen + ANSWER_RATE_PRIOR;
        let timeouts = self.timeout_rate.rate(self.now, ANSWER_RATE_SECS) / seen;
        let mean_predicted = (in_flight + ANSWER_RATE_PRIOR * mean_latency) / answers;
        let predicted = mean_predicted * (0.5 + 0.5 * work / mean_latency);
        let relative_density = value_density / self.mean_value_density.max(1e-9);
        let bar = (MEAN_LATENCY_BAR * relative_density.sqrt()).clamp(MIN_LATENCY_BAR, MAX_LATENCY_BAR);
        let excess_timeouts = (timeouts / (timeouts + answers) - TOLERATED_TIMEOUTS).max(0.0);
        let bar = bar * (1.0 - TIMEOUT_GAIN * excess_timeouts).max(0.5);
        predicted > bar * self.settings.classes[class].latency_target.as_secs_f64().min(time_left)
    }

    /// The final answer to a refused request. `retry_after_secs` of 0 stands for the mean latency, after which the
    /// attempts that are in flight now have ended.
    pub(super) fn refusal(&self, id: RequestId, retry_after_secs: f64) -> Action {
        let secs = if retry_after_secs > 0.0 { retry_after_secs } else { self.mean_latency() };
        let retry_after = duration(secs).min(self.settings.max_retry_after);
        let retry_after = Some(retry_after).filter(|time| self.settings.sends_retry_after && !time.is_zero());
        Action::Refuse { id, retry_after }
    }

    /// Whether requests beyond the quota are admitted: only for plans whose excess earns more than it costs, and only
    /// while hosts have spare capacity.
    pub(super) fn admits_excess(&mut self, plan: usize) -> bool {
        let has_spare = self.mean_in_flight < SPARE_IN_FLIGHT * self.ready_hosts_per_gateway();
        let plan = &self.settings.plans[plan];
        has_spare && plan.excess_value_fraction > plan.excess_cost_fraction
    }
}
