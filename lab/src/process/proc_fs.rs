//! Readings of `/proc`: a process's processor time and memory.

use super::Error;
use std::{fs, time::Duration};

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    /// Memory resident now, in bytes.
    pub resident: u64,
    /// The most that was resident at a time, in bytes.
    pub peak: u64,
}

/// Processor time of all threads that the process has now, in the resolution of the scheduler.
///
/// # Errors
/// There is no such process, or the kernel keeps no scheduler statistics.
pub fn processor_time(process: u32) -> Result<Duration, Error> {
    let unreadable = |error| Error::System("reading /proc", error);
    let threads = fs::read_dir(format!("/proc/{process}/task")).map_err(unreadable)?;
    let mut total = Duration::ZERO;
    for thread in threads {
        let path = thread.map_err(unreadable)?.path().join("schedstat");
        // A thread may end between the listing and the reading.
        if let Ok(text) = fs::read_to_string(path) {
            total += parse_schedstat(&text)?;
        }
    }
    Ok(total)
}

/// Memory of a process.
///
/// # Errors
/// There is no such process.
pub fn memory(process: u32) -> Result<Memory, Error> {
    let text = fs::read_to_string(format!("/proc/{process}/status"));
    parse_status(&text.map_err(|error| Error::System("reading /proc", error))?)
}

/// Processor time in the text of `/proc/PID/schedstat`.
///
/// # Errors
/// It does not begin with a number.
pub fn parse_schedstat(text: &str) -> Result<Duration, Error> {
    let first = text.split_whitespace().next().and_then(|field| field.parse().ok());
    first.map(Duration::from_nanos).ok_or(Error::ProcField("schedstat"))
}

/// Memory in the text of `/proc/PID/status`.
///
/// # Errors
/// A field is missing.
pub fn parse_status(text: &str) -> Result<Memory, Error> {
    let field = |name: &'static str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        kibibytes.map(|value| value * 1024).ok_or(Error::ProcField(name))
    };
    Ok(Memory { resident: field("VmRSS")?, peak: field("VmHWM")? })
}
