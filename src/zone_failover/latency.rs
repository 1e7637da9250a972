//! Congestion of each zone, inferred from response times.
//!
//! The spillover limit ([`super::locality::Headroom::limit_per_sec`]) estimates the utilization of the whole
//! fleet from this gatekeeper's own request rate. That is wrong wherever traffic is uneven over the
//! gatekeepers, and nothing but response times shows it. [`LatencyTracker`] therefore compares each zone's
//! mean response time with a common baseline, the response time of an uncongested zone, and derives from the
//! ratio a factor that lowers the spillover limit. It never raises a limit.
//!
//! Pure: times are passed in, in seconds on the caller's clock.

/// Weight of the newest sample in a zone's mean: some twenty samples, a second or two of traffic.
const MEAN_WEIGHT: f64 = 0.1;
/// Samples from which on a zone's mean is used.
const MIN_SAMPLES: f64 = 8.0;
/// A zone's mean is discarded when its last sample is older than this, in seconds.
const SAMPLE_MAX_AGE_SECS: f64 = 5.0;
/// Time constant, in seconds, with which the baseline rises towards a mean above it. A mean below it is
/// adopted at once. What has been slow for minutes is taken for the usual response time.
const BASELINE_RISE_SECS: f64 = 120.0;
/// Slowdown up to which a zone is certainly not congested.
const UNCONGESTED_SLOWDOWN: f64 = 1.15;
/// Slowdown from which a zone is certainly congested. Up to here the spillover limit is not lowered: a mean
/// over a mix of request classes varies by a third on its own.
const CONGESTED_SLOWDOWN: f64 = 1.4;
/// Slowdown from which a zone takes no spillover.
const SATURATED_SLOWDOWN: f64 = 2.2;

/// Response times of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ZoneLatency {
    /// Moving mean, in seconds.
    mean_secs: f64,
    /// Samples in the mean, up to the reciprocal of [`MEAN_WEIGHT`].
    samples: f64,
    /// Time of the last sample.
    updated_secs: f64,
}

/// Response time of an uncongested zone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Baseline {
    latency_secs: f64,
    updated_secs: f64,
}

/// Response times of all zones and the baseline that they are compared with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LatencyTracker {
    zones: Vec<ZoneLatency>,
    baseline: Option<Baseline>,
}

impl LatencyTracker {
    /// Records a successful response of an endpoint of `zone` that took `latency_secs`. Latencies that are
    /// negative or not finite are ignored.
    pub fn record(&mut self, now_secs: f64, zone: usize, latency_secs: f64) {
        if !latency_secs.is_finite() || latency_secs < 0.0 {
            return;
        }
        if self.zones.len() <= zone {
            self.zones.resize(zone + 1, ZoneLatency::default());
        }
        let latency = &mut self.zones[zone];
        if now_secs - latency.updated_secs > SAMPLE_MAX_AGE_SECS {
            latency.samples = 0.0;
        }
        latency.samples = (latency.samples + 1.0).min(1.0 / MEAN_WEIGHT);
        latency.updated_secs = now_secs;
        latency.mean_secs += (latency_secs - latency.mean_secs) / latency.samples;
        if latency.samples >= MIN_SAMPLES {
            let mean_secs = latency.mean_secs;
            self.update_baseline(now_secs, mean_secs);
        }
    }

    fn update_baseline(&mut self, now_secs: f64, mean_secs: f64) {
        let latency_secs = match self.baseline {
            Some(Baseline { latency_secs, updated_secs }) if mean_secs > latency_secs => {
                let step = 1.0 - ((updated_secs - now_secs) / BASELINE_RISE_SECS).exp();
                latency_secs + (mean_secs - latency_secs) * step.clamp(0.0, 1.0)
            }
            _ => mean_secs,
        };
        self.baseline = Some(Baseline { latency_secs, updated_secs: now_secs });
    }

    /// Ratio of a zone's mean response time to the baseline; `None` if it has too few recent samples.
    pub fn slowdown(&self, now_secs: f64, zone: usize) -> Option<f64> {
        let latency = self
            .zones
            .get(zone)
            .filter(|l| l.samples >= MIN_SAMPLES && now_secs - l.updated_secs <= SAMPLE_MAX_AGE_SECS)?;
        let baseline = self.baseline?;
        Some(if baseline.latency_secs > 0.0 { latency.mean_secs / baseline.latency_secs } else { 1.0 })
    }

    /// Factor on a zone's spillover limit, from 1 (not congested, or unknown) down to 0 (saturated).
    pub fn limit_factor(&self, now_secs: f64, zone: usize) -> f64 {
        let range = SATURATED_SLOWDOWN - CONGESTED_SLOWDOWN;
        self.slowdown(now_secs, zone).map_or(1.0, |s| ((SATURATED_SLOWDOWN - s) / range).clamp(0.0, 1.0))
    }

    /// Degree of congestion of a zone, from 0 (response times as usual) to 1 (clearly longer). A zone with too
    /// few recent samples counts as not congested: the first spillover into it provides them.
    pub fn congestion(&self, now_secs: f64, zone: usize) -> f64 {
        let range = CONGESTED_SLOWDOWN - UNCONGESTED_SLOWDOWN;
        self.slowdown(now_secs, zone).map_or(0.0, |s| ((s - UNCONGESTED_SLOWDOWN) / range).clamp(0.0, 1.0))
    }
}

#[cfg(test)]
#[path = "latency_tests.rs"]
mod tests;
