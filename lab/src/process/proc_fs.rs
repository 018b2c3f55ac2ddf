//! Reads the processor time and the memory of a process from `/proc`.

use super::Error;
use std::{fs, time::Duration};

const BYTES_PER_KIBIBYTE: u64 = 1024;

/// Memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    /// Resident now.
    pub resident_bytes: u64,
    /// Most that was resident at once.
    pub peak_bytes: u64,
}

/// Processor time of all present threads of a process, at the resolution of the scheduler.
///
/// # Errors
/// There is no such process, or the kernel keeps no scheduler statistics.
pub fn processor_time(process: u32) -> Result<Duration, Error> {
    let unreadable = Error::system("reading /proc");
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

/// Memory of a process.
///
/// # Errors
/// There is no such process.
pub fn memory(process: u32) -> Result<Memory, Error> {
    let text = fs::read_to_string(format!("/proc/{process}/status"));
    parse_status(&text.map_err(Error::system("reading /proc"))?)
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
        kibibytes.map(|value| value * BYTES_PER_KIBIBYTE).ok_or(Error::ProcField(name))
    };
    Ok(Memory { resident_bytes: field("VmRSS")?, peak_bytes: field("VmHWM")? })
}
