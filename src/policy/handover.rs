//! Builds the snapshot that a process hands over in a hot restart, and restores the successor from it.

use crate::{
    interface::{HandoverSnapshot, ResponseTimes, Seconds},
    policy::{backends::Backends, context::Context, requests::RequestLifecycle, routing::MAX_LATENCY},
    primitives::{decaying_sum::DecayingSum, latency_estimate::LatencyEstimate},
};

/// Collects the state that the successor needs.
pub fn snapshot(backends: &Backends, requests: &RequestLifecycle) -> HandoverSnapshot {
    let router = &backends.router;
    let latency = backends.load_shedder.latency();
    HandoverSnapshot {
        endpoints: router.endpoints().iter().map(|(id, endpoint)| endpoint.snapshot(id)).collect(),
        in_maintenance: router.endpoints().in_maintenance().cloned().collect(),
        peak_units_per_second: router.peak_units_per_second(),
        response_times: ResponseTimes {
            mean: latency.mean,
            median: latency.median,
            idle: latency.idle.level,
        },
        counter_calls_per_second: requests.counter_calls_per_second(),
    }
}

/// Restores the state that a predecessor handed over. Response times are clamped to at most [`MAX_LATENCY`].
pub fn restore(
    snapshot: HandoverSnapshot,
    backends: &mut Backends,
    requests: &mut RequestLifecycle,
    context: &mut Context,
) {
    let now = context.now;
    let peak_units = snapshot.peak_units_per_second;
    backends.router.restore(&snapshot.endpoints, snapshot.in_maintenance, peak_units, context);
    let clamp_latency = |time: Seconds| time.clamp(0.0, MAX_LATENCY);
    let times = snapshot.response_times;
    backends.load_shedder.restore_latency(LatencyEstimate {
        mean: clamp_latency(times.mean),
        median: clamp_latency(times.median),
        idle: DecayingSum { level: clamp_latency(times.idle), updated_at: now },
    });
    requests.admission().restore(now, snapshot.counter_calls_per_second);
}
