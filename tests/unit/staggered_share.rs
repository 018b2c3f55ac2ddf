use super::StaggeredShare;

fn share(position: u32, holder_count: u32) -> StaggeredShare {
    StaggeredShare {
        rate: 6.0,
        burst: 30.0,
        quantum: 4.0,
        position: f64::from(position) + 0.3,
        holder_count: f64::from(holder_count),
    }
}

#[test]
fn holders_together_get_the_rate_and_save_up_the_burst() {
    for holder_count in [1, 3, 19, 300] {
        for now in [1e9, 1e9 + 0.7, 1e9 + 77.7] {
            let sum = |amount: &dyn Fn(StaggeredShare) -> f64| -> f64 {
                (0..holder_count).map(|position| amount(share(position, holder_count))).sum()
            };
            let granted = sum(&|share| share.granted_between(now - 60.0, now));
            assert!((granted - 360.0).abs() <= 4.0, "{holder_count} holders: {granted} units in a minute");
            let max_saved_units = sum(&|share| share.max_saved_units(now));
            assert!(
                (max_saved_units - 30.0).abs() <= 4.0,
                "{holder_count} holders: {max_saved_units} units saved up"
            );
        }
    }
}

#[test]
fn holder_gets_grants_of_whole_requests() {
    let first = share(0, 3);
    let grants: Vec<f64> =
        (0..60).map(|i| first.granted_between(f64::from(i) / 3.0, f64::from(i + 1) / 3.0)).collect();
    assert!(grants.iter().all(|units| *units == 0.0 || *units == 4.0), "{grants:?}");
    assert_eq!(grants.iter().sum::<f64>(), 40.0, "a third of 6 a second for 20 s");
}

#[test]
fn consecutive_intervals_grant_no_unit_twice() {
    let share = share(2, 5);
    let whole = share.granted_between(100.0, 200.0);
    let parts: f64 =
        (0..100).map(|i| share.granted_between(100.0 + f64::from(i), 101.0 + f64::from(i))).sum();
    assert_eq!(parts, whole);
    assert_eq!(share.granted_between(150.0, 150.0), 0.0);
}
