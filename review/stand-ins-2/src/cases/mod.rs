//! The cases, by name.

mod endless_answer;
mod hang_in_answer;
mod no_key;
mod quick_reloads;
mod restart_in_answer;

use crate::{Verdict, record::Record};
use std::sync::Arc;

/// Runs a case. `None` if there is no such case, or it could not run.
pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    match case {
        "endless-answer" => endless_answer::run(trouble, record),
        "hang-in-answer" => hang_in_answer::run(trouble, record),
        "restart-in-answer" => restart_in_answer::run(trouble, record),
        "no-key" => no_key::run(trouble, record),
        "quick-reloads" => quick_reloads::run(trouble, record),
        _ => None,
    }
}

/// Returns the verdict: broken if any request is listed.
fn verdict(record: &Record, broken: &[String]) -> Verdict {
    for line in broken {
        record.line(format!("BROKEN: {line}"));
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken }
}
