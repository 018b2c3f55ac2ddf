//! Runs one case of the second review: `review-2 CASE RECORD`, from the root of the repository. The environment variable
//! `TROUBLE=0` leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod deployment;
mod gateway;
mod http;
mod record;
mod sites;
mod stand_ins;

use record::Record;
use std::{process::ExitCode, sync::Arc};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    gateway::end_at_time_limit();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(path));
    record.line(format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let verdict = match cases::run(case, trouble, &record) {
        Some(verdict) => verdict,
        None => Verdict::CouldNotRun,
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::CouldNotRun => (2, "the case could not run"),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
