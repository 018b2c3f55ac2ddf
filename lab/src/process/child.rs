//! Runs the built program as a child process, which is killed when its handle is dropped.

use super::{Error, kill_on_drop::KillOnDrop, proc_fs};
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::Path,
    process::{ChildStderr, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{RecvTimeoutError, Sender, channel},
    },
    thread,
    time::Duration,
};
use tempfile::NamedTempFile;

/// Longest time from the start of the program until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait for the program to become idle before its processor time is read.
const SCHEDULER_UPDATE_DELAY: Duration = Duration::from_millis(5);
/// Text that precedes the listening address in a line of the program's log.
const LISTEN_MARKER: &str = "listen";
/// Number of log lines that are kept.
const MAX_LOG_LINES: usize = 20;

/// Values of the program's configuration that differ between runs.
#[derive(Debug)]
pub struct Configuration {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter; `None` for a program without one.
    pub counter: Option<SocketAddr>,
    /// Endpoint list with which the program starts.
    pub initial_list: Value,
    /// Number of gateways in the settings.
    pub gateways: u32,
    /// Memory limit, in MiB.
    pub memory_mb: usize,
}

/// Name of the plan without a quota.
pub const PLAN_FREE: &str = "free";
/// Name of the plan whose quota comes from the counter.
pub const PLAN_METERED: &str = "metered";
/// Name of the only class of requests.
pub const CLASS: &str = "lookup";

impl Configuration {
    fn to_json(&self) -> Value {
        json!({
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery,
            "seed": "8c1f30d27a5be964",
            "counter": self.counter,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "known": self.initial_list,
            "settings": self.settings(),
        })
    }

    fn settings(&self) -> Value {
        json!({
            "Classes": [
                {"Name": CLASS, "Effect": "idempotent", "Group": "all", "Slo": 2.0, "Deadline": 5.0},
            ],
            "Dcs": ["zone-a"],
            "Discovery": "push",
            "Locality": 0,
            "Me": 0,
            "PeersTotal": self.gateways,
            "Step": 0.002,
            "Domain": {"HasCounter": self.counter.is_some(), "CountLimit": 0.05, "MaxUnits": 1, "PostPaid": false},
            "Limits": {
                "Cancelling": true, "ConnIdle": 30.0, "ConnectTimeout": 0.25, "SendCap": 3,
                "SecondCopies": true, "RetryAfter": true, "MaxRetryAfter": 1.0, "MayProbe": false, "OpenCap": 1000,
            },
            "Plans": [
                {"Name": PLAN_FREE, "QuotaRate": 0.0, "Depth": 0.0},
                {"Name": PLAN_METERED, "QuotaRate": 1000.0, "Depth": 2000.0, "OverrunCost": 1.0},
            ],
            "Rules": {"Cold": 16.0, "ColdFrom": 0.25, "Fall": 1.0, "FallMultiple": 4.0},
        })
    }
}

/// Latest lines of the program's log, oldest first.
type Log = Arc<Mutex<VecDeque<String>>>;

/// Running program, which is killed when this handle is dropped.
#[derive(Debug)]
pub struct ChildProgram {
    /// Address on which the program listens for clients.
    pub address: SocketAddr,
    child: KillOnDrop,
    log: Log,
    _configuration: NamedTempFile,
}

impl ChildProgram {
    /// Starts the program and waits until it listens.
    ///
    /// # Errors
    /// The program cannot be started, ends before it listens, or does not listen in time.
    pub fn start(program: &Path, configuration: &Configuration) -> Result<Self, Error> {
        let file =
            write_configuration(configuration).map_err(Error::io("writing the program's configuration"))?;
        let mut command = Command::new(program);
        command
            .env("NODE_CONFIG", file.path())
            .env_remove("NODE_OPERATOR")
            .env_remove("NODE_ACCEPT_FD")
            .env_remove("OLIVERACK_LOG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let child = command.spawn().map_err(Error::io("starting the program"))?;
        let mut child = KillOnDrop(child);
        let stderr = child.0.stderr.take().ok_or(Error::ProcessFieldUnreadable("stderr"))?;
        let log = Log::default();
        let (address_sender, address) = channel();
        let thread_log = log.clone();
        thread::spawn(move || follow_log(stderr, &thread_log, &address_sender));
        let address = address.recv_timeout(START_TIMEOUT).map_err(|error| match error {
            RecvTimeoutError::Timeout => {
                Error::TimedOut { event: "the program to listen", limit: START_TIMEOUT }
            }
            RecvTimeoutError::Disconnected => Error::ProgramEnded(last_log_line(&log)),
        })?;
        Ok(Self { address, child, log, _configuration: file })
    }

    /// Returns the processor time that the program has used so far. First waits for the program to become idle, because
    /// the kernel updates the time of a thread when the thread goes to sleep.
    ///
    /// # Errors
    /// The program has ended.
    pub fn processor_time(&self) -> Result<Duration, Error> {
        thread::sleep(SCHEDULER_UPDATE_DELAY);
        proc_fs::processor_time(self.child.0.id())
    }

    /// Returns the current and peak memory of the program.
    ///
    /// # Errors
    /// The program has ended.
    pub fn memory(&self) -> Result<proc_fs::Memory, Error> {
        proc_fs::memory(self.child.0.id())
    }

    /// Returns the last line of the program's log; empty if there is none.
    pub fn last_log_line(&self) -> String {
        last_log_line(&self.log)
    }
}

fn last_log_line(log: &Log) -> String {
    log.lock().unwrap_or_else(PoisonError::into_inner).back().cloned().unwrap_or_default()
}

fn write_configuration(configuration: &Configuration) -> std::io::Result<NamedTempFile> {
    let mut file = NamedTempFile::new()?;
    file.write_all(configuration.to_json().to_string().as_bytes())?;
    file.flush()?;
    Ok(file)
}

/// Returns the address in a log line about listening: the last word, or the value of the last field. Accepts both, so
/// that builds with an older log format can be compared.
fn listen_address(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(LISTEN_MARKER)?;
    rest.rsplit([' ', '=']).next()?.trim().parse().ok()
}

/// Reads the log until it ends, keeps its latest lines, and sends the address on which the program listens.
fn follow_log(stderr: ChildStderr, log: &Log, address_sender: &Sender<SocketAddr>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if let Some(address) = listen_address(&line) {
            let _ = address_sender.send(address);
        }
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.len() == MAX_LOG_LINES {
            log.pop_front();
        }
        log.push_back(line);
    }
}
