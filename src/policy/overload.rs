//! Decides how many attempts may be in flight: as many as keep responses quick by Little's law.

use super::*;

/// Share of the aim that answers may take over an idle fleet's before less is let in: the rest is for swings.
const QUEUEING_SHARE: f64 = 0.08;
/// Share of the bound that second attempts and what is beyond quotas may fill: none in a slow fleet.
pub const SPARE_SHARE: f64 = 0.5;
/// Attempts an endpoint, over all gateways, that the bound rests on: to keep its cores in work.
const MIN_OUT_PER_ENDPOINT: f64 = 3.0;
/// Most that the bound may be above what was out of late.
const MAX_GROWTH: f64 = 3.0;
/// Deviations over the mean that what is out may swing while answers come fast: few requests come by chance.
const SWING: f64 = 2.0;
/// Seconds over which the time of an idle fleet's answers is forgotten: longer than a rush.
const IDLE_MEMORY: f64 = 60.0;
/// Share of attempts without an answer in time from which they count as slow answers, not as lost ones.
const LOST_MOST: f64 = 0.5;
/// Share of time-outs of late over which one says nothing of its endpoint: the fleet is slow.
const MANY_TIMEOUTS: f64 = 0.3;

/// What this gateway has out, and how quickly its answers come. Times are in seconds.
#[derive(Debug, Default)]
pub struct Overload {
    /// Attempts that endpoints work on.
    pub in_flight: f64,
    mean_in_flight: f64,
    /// Lost answers and sick endpoints do not move the middle one, a slow fleet does. An idle fleet takes the
    /// best one, too, so that says nothing of a queue.
    pub latency: LatencyEstimate,
    /// Share of the attempts of late that had no answer in time.
    lost: f64,
}

impl Overload {
    /// Whether one more attempt may go out within `share` of the bound. Room for chance fades as answers slow
    /// down, later where few are out. `chance`, from 0 to 1, lets in a fraction, so that many gateways of
    /// little load keep the bound together.
    pub fn has_room(&self, share: f64, endpoints: usize, gateways: u32, aim: f64, chance: f64) -> bool {
        let least = MIN_OUT_PER_ENDPOINT * endpoints as f64 / f64::from(gateways);
        let wanted = self.latency.idle.level + QUEUEING_SHARE * aim;
        let ease = (wanted / self.latency.typical.max(1e-3)).min(MAX_GROWTH);
        let mean = (self.mean_in_flight + least) * ease;
        let fade = (1.0 - 1.0 / ease + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        self.in_flight + chance <= share * (mean + fade * (1.0 + SWING * mean.sqrt()))
    }

    /// In overload all time out, and no endpoint is sick.
    pub fn has_many_timeouts(&self) -> bool {
        self.lost > MANY_TIMEOUTS
    }

    /// An endpoint has turned an attempt away: the bound shrinks.
    pub fn note_turned_away(&mut self) {
        self.mean_in_flight *= 1.0 - GAIN;
    }

    /// Notes a response after `elapsed` seconds, or that none came in that time. A warming endpoint is slow
    /// without any queue and has a budget of its own, so it says nothing of the fleet's load.
    pub fn note_answer(&mut self, now: Time, elapsed: f64, timed_out: bool, warm: bool) {
        self.latency.note_mean(elapsed, GAIN);
        // Over the same number of answers' times whether many are out or few.
        let gain = 2.0 * GAIN / (1.0 + self.mean_in_flight);
        // Lost answers are no overload: in that most are late, and those that come are slow.
        self.lost += GAIN * (f64::from(u8::from(timed_out)) - self.lost);
        if warm && (!timed_out || self.lost > LOST_MOST) {
            self.latency.note_typical(now, elapsed, gain, IDLE_MEMORY);
        }
        let in_flight = self.in_flight + 1.0;
        self.mean_in_flight += gain * (in_flight - self.mean_in_flight);
    }
}
