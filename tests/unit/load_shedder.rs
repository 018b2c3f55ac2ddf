use super::{LoadShedder, SPARE_CAPACITY_SHARE};
use crate::{
    policy::context::Context,
    settings::{Class, Settings},
};

fn context() -> Context {
    Context::new(Settings { classes: vec![Class::default()], ..Settings::default() }, 7)
}

/// Returns the number of attempts that may be in flight at once within a share of the limit.
fn capacity(shedder: &mut LoadShedder, share: f64, endpoint_count: usize, context: &mut Context) -> usize {
    let mut admitted = 0;
    while admitted < 1000 && shedder.has_capacity(share, endpoint_count, context) {
        shedder.record_start();
        admitted += 1;
    }
    for _ in 0..admitted {
        shedder.record_end();
    }
    admitted
}

#[test]
fn capacity_grows_with_endpoint_count_and_share() {
    let mut shedder = LoadShedder::default();
    let mut context = context();
    let few = capacity(&mut shedder, 1.0, 2, &mut context);
    let many = capacity(&mut shedder, 1.0, 20, &mut context);
    let spare = capacity(&mut shedder, SPARE_CAPACITY_SHARE, 20, &mut context);
    assert!(few >= 6 && few < many && spare < many, "{few}, {many}, {spare}");
}

#[test]
fn slow_responses_lower_limit() {
    let mut shedder = LoadShedder::default();
    let mut context = context();
    for _ in 0..50 {
        shedder.record_response(1.0, 0.02, false, true);
    }
    let quick = capacity(&mut shedder, 1.0, 10, &mut context);
    for _ in 0..50 {
        shedder.record_response(1.0, 2.0, false, true);
    }
    let slow = capacity(&mut shedder, 1.0, 10, &mut context);
    assert!(slow < quick, "{slow} of {quick}");
    assert!(shedder.mean_latency() > 1.0);
}

#[test]
fn many_timeouts_mark_fleet_as_timing_out() {
    let mut shedder = LoadShedder::default();
    shedder.record_response(1.0, 1.0, true, true);
    assert!(!shedder.is_fleet_timing_out(), "a single timeout is not enough");
    for _ in 0..10 {
        shedder.record_response(1.0, 1.0, true, true);
    }
    assert!(shedder.is_fleet_timing_out());
}
