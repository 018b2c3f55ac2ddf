use super::Allotment;

fn allotment(place: u32, holders: u32) -> Allotment {
    let (place, holders) = (f64::from(place) + 0.3, f64::from(holders));
    Allotment { rate: 6.0, burst: 30.0, deal: 4.0, place, holders }
}

#[test]
fn the_holders_are_dealt_the_rate_in_sum_and_may_hold_the_burst() {
    for holders in [1, 3, 19, 300] {
        for now in [1e9, 1e9 + 0.7, 1e9 + 77.7] {
            let sum = |part: &dyn Fn(Allotment) -> f64| -> f64 {
                (0..holders).map(|place| part(allotment(place, holders))).sum()
            };
            let dealt = sum(&|a| a.between(now - 60.0, now));
            assert!((dealt - 360.0).abs() <= 4.0, "{holders} holders: {dealt} in a minute");
            let most = sum(&|a| a.most(now));
            assert!((most - 30.0).abs() <= 4.0, "{holders} holders: {most} may be held");
        }
    }
}

#[test]
fn a_holder_is_dealt_whole_requests_in_turn() {
    let first = allotment(0, 3);
    let deals: Vec<f64> =
        (0..60).map(|i| first.between(f64::from(i) / 3.0, f64::from(i + 1) / 3.0)).collect();
    assert!(deals.iter().all(|units| *units == 0.0 || *units == 4.0), "{deals:?}");
    assert_eq!(deals.iter().sum::<f64>(), 40.0, "a third of 6 a second for 20 s");
}

#[test]
fn nothing_is_dealt_twice() {
    let one = allotment(2, 5);
    let whole = one.between(100.0, 200.0);
    let parts: f64 = (0..100).map(|i| one.between(100.0 + f64::from(i), 101.0 + f64::from(i))).sum();
    assert_eq!(parts, whole);
    assert_eq!(one.between(150.0, 150.0), 0.0);
}
