//! Decides what a process that follows this one takes over of what it has learned, as in an upgrade.

use super::endpoints::{MAX_EJECTION, MIN_EJECTION};
use super::*;

/// Longest time of an answer that is believed, in seconds.
const MAX_LATENCY: f64 = 60.0;

impl Gateway {
    /// What one that follows should know.
    pub fn snapshot(&self) -> HandoverSnapshot {
        let latency = &self.overload.latency;
        HandoverSnapshot {
            endpoints: self.endpoints.iter().map(|(id, endpoint)| endpoint.known(id, MIN_EJECTION)).collect(),
            in_maintenance: self.endpoints.in_maintenance().cloned().collect(),
            peak_units_per_second: self.peak_units.level,
            response_times: ResponseTimes {
                mean: latency.mean,
                median: latency.typical,
                idle: latency.idle.level,
            },
            counter_calls_per_second: self.budget.rate,
        }
    }

    /// Takes over what another process knew. Its endpoints are used once the list names them.
    pub(super) fn inherit(&mut self, memory: HandoverSnapshot) {
        let now = self.now;
        for known in memory.endpoints.into_iter().filter(|k| k.ejection_time > 0.0) {
            let cold = TokenBucket { level: self.rng.f64(), at: now };
            let place = self.endpoints.find_or_add(known.id.clone());
            if self.endpoints[place].restore(&known, now, cold, MAX_LATENCY, MIN_EJECTION..=MAX_EJECTION) {
                self.endpoints.note_ejected(place);
            }
        }
        self.endpoints.replace_maintenance(memory.in_maintenance);
        self.none_beyond_until = 0.0;
        let usable = |time: Seconds| time.clamp(0.0, MAX_LATENCY);
        let times = memory.response_times;
        self.overload.latency = LatencyEstimate {
            mean: usable(times.mean),
            typical: usable(times.median),
            idle: DecayingSum { level: usable(times.idle), at: now },
        };
        self.peak_units = DecayingSum { level: memory.peak_units_per_second.max(0.0), at: now };
        self.budget.inherit_rate(memory.counter_calls_per_second);
        self.inherited_at = now;
    }
}
