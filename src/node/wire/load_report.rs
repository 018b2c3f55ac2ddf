//! Parses the load reports that endpoints may attach to their responses.

use oliverack::LoadReport;

/// Highest plausible value in a load report; larger values are ignored.
const MAX_REPORTED_VALUE: f64 = 1e6;

/// Parses a load report such as `TEXT inflight=7, util=0.61`. Unknown names and invalid values are ignored.
pub fn parse(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split([',', ' ']).filter_map(|part| part.trim().split_once('=')) {
        let value = value.parse().ok().filter(|value: &f64| (0.0..=MAX_REPORTED_VALUE).contains(value));
        match name {
            "inflight" | "busy_reqs" => load.in_flight = value,
            "util" | "cpu_share" => load.utilization = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
#[path = "../../../tests/unit/load_report.rs"]
mod tests;
