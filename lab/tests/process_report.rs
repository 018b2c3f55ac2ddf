//! Tests of the parsing of `/proc`, of medians and ratios, and of the two formats of the report.

use oliverack_lab::process::{
    Error, proc_fs,
    report::{Axis, Metric, Report, RowKey},
};
use serde_json::Value;
use std::time::Duration;

const METRIC: Metric = Metric::RequestProcessorMicros;

fn endpoint_row(size: usize) -> RowKey {
    RowKey { axis: Axis::Endpoints, gateways: 1, size }
}

fn sample_report() -> Report {
    let mut report = Report::default();
    for value in [30.0, 10.0, 20.0] {
        report.record(endpoint_row(100), METRIC, value);
    }
    for value in [50.0, 30.0] {
        report.record(endpoint_row(9200), METRIC, value);
    }
    for _ in 0..2 {
        report.record_failure(
            endpoint_row(9200),
            &Error::ProgramEnded("cannot read the configuration".to_owned()),
        );
    }
    report
}

#[test]
fn proc_files_are_parsed() {
    let processor_time = proc_fs::parse_schedstat("364058052 17 15\n").expect("valid schedstat");
    assert_eq!(processor_time, Duration::from_nanos(364_058_052));
    let status = "Name:\toliverack\nVmPeak:\t   90 kB\nVmHWM:\t    21568 kB\nVmRSS:\t    16052 kB\n";
    let memory = proc_fs::parse_status(status).expect("valid status");
    assert_eq!((memory.resident_bytes, memory.peak_bytes), (16_052 * 1024, 21_568 * 1024));
    assert!(proc_fs::parse_schedstat("").is_err());
    assert!(proc_fs::parse_status("VmRSS:\t 1 kB\n").is_err());
    let own = proc_fs::memory(std::process::id()).expect("this process is running");
    assert!(own.resident_bytes > 0 && own.peak_bytes >= own.resident_bytes);
    proc_fs::processor_time(std::process::id()).expect("this process is running");
}

#[test]
fn summary_has_median_extremes_and_ratio_to_base_row() {
    let report = sample_report();
    let base = report.summary(endpoint_row(100), METRIC).expect("measured");
    assert_eq!((base.median, base.lowest, base.highest, base.rounds), (20.0, 10.0, 30.0, 3));
    let large = report.summary(endpoint_row(9200), METRIC).expect("measured");
    assert_eq!((large.median, large.ratio), (40.0, Some(2.0)));
    assert_eq!(report.summary(endpoint_row(10), METRIC), None);
}

#[test]
fn table_and_json_lines_contain_values_and_failures() {
    let table = sample_report().table();
    assert!(table.contains("processor time a request [us]"), "{table}");
    assert!(table.contains("FAILED: 9200 workers, 1 gateways, in 2 rounds: the program ended"), "{table}");
    let lines = sample_report().json_lines("policy");
    let lines: Vec<Value> =
        lines.lines().map(|line| serde_json::from_str(line).expect("the line should be JSON")).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!((&lines[1]["size"], &lines[1]["ratio"]), (&9200.into(), &2.0.into()));
    assert_eq!((&lines[1]["part"], &lines[1]["axis"]), (&"policy".into(), &"workers".into()));
    assert_eq!(lines[1]["metric"], "request_processor_micros");
    assert!(
        lines[2]["failed"].as_str().is_some_and(|reason| reason.ends_with("cannot read the configuration"))
    );
}

#[test]
fn metrics_and_axes_keep_serialized_names() {
    let names = [
        (Metric::RequestProcessorMicros, "request_processor_micros"),
        (Metric::ServedShare, "served_share"),
        (Metric::CounterCallsPerRequest, "counter_calls_per_request"),
        (Metric::ChangeProcessorMicros, "change_processor_micros"),
        (Metric::ChangeElapsedMicros, "change_elapsed_micros"),
        (Metric::TimerProcessorMicros, "timer_processor_micros"),
        (Metric::SweepProcessorMicros, "sweep_processor_micros"),
        (Metric::CompactListProcessorMillis, "compact_list_processor_millis"),
        (Metric::CompactListElapsedMillis, "compact_list_elapsed_millis"),
        (Metric::IndentedListProcessorMillis, "indented_list_processor_millis"),
        (Metric::IndentedListElapsedMillis, "indented_list_elapsed_millis"),
        (Metric::ResidentKibibytes, "resident_kibibytes"),
        (Metric::PeakResidentKibibytes, "peak_resident_kibibytes"),
        (Metric::PeakIndentedKibibytes, "peak_indented_kibibytes"),
        (Metric::EndpointOutsideBytes, "worker_outside_bytes"),
        (Metric::EndpointInsideBytes, "worker_inside_bytes"),
        (Metric::EndpointRespondedBytes, "worker_answered_bytes"),
        (Metric::TenantBytes, "tenant_bytes"),
        (Metric::OpenRequestBytes, "open_request_bytes"),
    ];
    for (metric, name) in names {
        assert_eq!(serde_json::to_value(metric).expect("serializable"), name);
    }
    assert_eq!(serde_json::to_value(Axis::Endpoints).expect("serializable"), "workers");
    assert_eq!(serde_json::to_value(Axis::Tenants).expect("serializable"), "tenants");
}
