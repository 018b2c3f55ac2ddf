//! Decides what a process that follows this one takes over of what it has learned, as in an upgrade.

use super::servers::{MAX_EJECTION, MIN_EJECTION};
use super::*;

/// Longest time of an answer that is believed, in seconds.
const MAX_LATENCY: f64 = 60.0;

impl Gateway {
    /// What one that follows should know.
    pub fn memory(&self) -> Memory {
        let latency = &self.overload.latency;
        Memory {
            servers: self.servers.iter().map(|(id, server)| server.known(id, MIN_EJECTION)).collect(),
            left_out: self.servers.left_out().cloned().collect(),
            carried: self.peak_units.level,
            times: [latency.mean, latency.typical, latency.idle.level],
            call_rate: self.budget.rate,
        }
    }

    /// Takes over what another process knew. Its servers are used once the list names them.
    pub(super) fn inherit(&mut self, memory: Memory) {
        let now = self.now;
        for known in memory.servers.into_iter().filter(|k| k.out_for > 0.0) {
            let cold = TokenBucket { level: self.rng.f64(), at: now };
            let place = self.servers.find_or_add(known.id.clone());
            if self.servers[place].restore(&known, now, cold, MAX_LATENCY, MIN_EJECTION..=MAX_EJECTION) {
                self.servers.note_ejected(place);
            }
        }
        self.servers.replace_left_out(memory.left_out);
        self.none_beyond_until = 0.0;
        let [mean, typical, idle] = memory.times.map(|t| t.clamp(0.0, MAX_LATENCY));
        self.overload.latency = LatencyEstimate { mean, typical, idle: DecayingSum { level: idle, at: now } };
        self.peak_units = DecayingSum { level: memory.carried.max(0.0), at: now };
        self.budget.inherit_rate(memory.call_rate);
        self.inherited_at = now;
    }
}
