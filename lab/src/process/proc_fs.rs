//! Reads the processor time and the memory of a process from `/proc`.

use super::Error;
use std::{fs, time::Duration};

const BYTES_PER_KIBIBYTE: u64 = 1024;

/// Memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    /// Memory that is resident now.
    pub resident_bytes: u64,
    /// Most memory that was resident at once.
    pub peak_bytes: u64,
}

/// Returns the processor time of all threads that a process has now, at the resolution of the scheduler.
///
/// # Errors
/// There is no such process, or the kernel keeps no scheduler statistics.
pub fn processor_time(process: u32) -> Result<Duration, Error> {
    let unreadable = Error::io("reading /proc");
    let threads = fs::read_dir(format!("/proc/{process}/task")).map_err(&unreadable)?;
    let mut total = Duration::ZERO;
    for thread in threads {
        let path = thread.map_err(&unreadable)?.path().join("schedstat");
        // A thread may have ended since it was listed.
        if let Ok(text) = fs::read_to_string(path) {
            total += parse_schedstat(&text)?;
        }
    }
    Ok(total)
}

/// Returns the current and peak memory of a process.
///
/// # Errors
/// There is no such process.
pub fn memory(process: u32) -> Result<Memory, Error> {
    let text = fs::read_to_string(format!("/proc/{process}/status"));
    parse_status(&text.map_err(Error::io("reading /proc"))?)
}

/// Returns the processor time in the text of `/proc/PID/task/TID/schedstat`.
///
/// # Errors
/// The text does not begin with a number.
pub fn parse_schedstat(text: &str) -> Result<Duration, Error> {
    let first = text.split_whitespace().next().and_then(|field| field.parse().ok());
    first.map(Duration::from_nanos).ok_or(Error::ProcessFieldUnreadable("schedstat"))
}

/// Returns the memory in the text of `/proc/PID/status`.
///
/// # Errors
/// A field is missing or malformed.
pub fn parse_status(text: &str) -> Result<Memory, Error> {
    let field = |name: &'static str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        kibibytes.map(|value| value * BYTES_PER_KIBIBYTE).ok_or(Error::ProcessFieldUnreadable(name))
    };
    Ok(Memory { resident_bytes: field("VmRSS")?, peak_bytes: field("VmHWM")? })
}
