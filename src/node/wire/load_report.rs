//! Reads the load reports that endpoints may give.

use oliverack::LoadReport;

/// The highest figure that a load report may give: no endpoint holds so many, and no share is so large.
const MAX_LOAD: f64 = 1e6;

/// A load report, such as `TEXT inflight=7, util=0.61`; what can't be read is left out.
pub fn parse(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split([',', ' ']).filter_map(|part| part.trim().split_once('=')) {
        let value = value.parse().ok().filter(|v: &f64| (0.0..=MAX_LOAD).contains(v));
        match name {
            "inflight" | "busy_reqs" => load.inflight = value,
            "util" | "cpu_share" => load.utilization = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
#[path = "../../../tests/unit/load_report.rs"]
mod tests;
