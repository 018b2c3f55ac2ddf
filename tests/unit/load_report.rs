//! Parsing of load reports.

use super::*;

/// The policy does not use load reports, so no end-to-end test covers their parsing.
#[test]
fn both_spellings_parse_and_invalid_values_are_ignored() {
    let load = parse("TEXT inflight=7, queue=2, util=0.61");
    assert_eq!((load.in_flight, load.utilization), (Some(7.0), Some(0.61)));
    let load = parse("busy_reqs=3,cpu_share=NaN");
    assert_eq!((load.in_flight, load.utilization), (Some(3.0), None));
    let out_of_range = "inflight=-1, util=1e300";
    assert_eq!(parse(out_of_range), LoadReport::default());
    assert_eq!(parse("util=much = more"), LoadReport::default());
}
