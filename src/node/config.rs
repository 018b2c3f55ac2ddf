//! What a gateway is told at its start: the configuration's file, and variables of the environment beside it.

use crate::node::wire::endpoint_list::{List, Listed};
use oliverack::{Options, SettingsDocument};
use schemars::JsonSchema;
use serde::Deserialize;
use std::{
    env::{self, VarError},
    fmt,
    net::SocketAddr,
    os::fd::RawFd,
    path::PathBuf,
    str::FromStr,
};

/// What the process may hold.
#[derive(Debug, Deserialize, JsonSchema)]
struct LimitsDocument {
    /// File descriptors.
    sockets: usize,
    /// Memory, in MB.
    memory_mb: usize,
}

/// The configuration's file.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ConfigDocument<'a> {
    /// The gateway's name, the same after a restart.
    name: String,
    /// Where clients connect.
    listen: SocketAddr,
    /// Where discovery listens.
    discovery: SocketAddr,
    /// For random numbers: up to 16 hexadecimal digits.
    seed: String,
    /// What the process may hold.
    limits: LimitsDocument,
    /// Where the counter listens, if there is one.
    counter: Option<SocketAddr>,
    /// Where operators call, if they may.
    operator: Option<SocketAddr>,
    /// The list of endpoints as last held; it may be old.
    #[serde(borrow)]
    known: List<'a>,
    /// The settings object.
    settings: SettingsDocument,
}

/// The configuration, read and found usable.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may hold, in bytes.
    pub memory: usize,
    /// Where the counter listens, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where operators call; none where there are no such calls.
    pub operator: Option<SocketAddr>,
    /// The descriptor that clients come in by, where the platform holds their listening socket.
    pub accept_fd: Option<RawFd>,
    /// The list of endpoints at the start.
    pub known: Vec<Listed>,
    /// The version of that list.
    pub version: u64,
    /// The settings, and what stands beside them.
    pub options: Options,
}

/// Why a configuration can't be used.
#[derive(Debug)]
#[non_exhaustive]
pub enum ConfigError {
    /// No file is named.
    NoPath,
    /// The file can't be read.
    Unreadable(std::io::Error),
    /// The file is no JSON, or a key does not hold what it should.
    Malformed {
        /// The path of the key, such as `settings.Classes[0].Effect`; `.` for the whole.
        path: String,
        /// What is wrong there.
        reason: serde_json::Error,
    },
    /// The seed is no number.
    BadSeed,
    /// The named key holds no time that can be worked with.
    BadTime(&'static str),
    /// Fewer descriptors than can be worked with.
    TooFewSockets {
        /// How many there are.
        sockets: usize,
        /// How many are needed.
        least: usize,
    },
    /// Less memory, in MB, than can be worked with.
    TooLittleMemory(usize),
    /// The named variable of the environment can't be understood.
    BadVariable(&'static str),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPath => f.write_str("NODE_CONFIG names no file"),
            Self::Unreadable(e) => write!(f, "the configuration can't be read: {e}"),
            Self::Malformed { path, reason } if path == WHOLE || !reason.is_data() => {
                write!(f, "the configuration is malformed: {reason}")
            }
            Self::Malformed { path, reason } => write!(f, "the configuration's {path}: {reason}"),
            Self::BadSeed => f.write_str("the configuration's seed: not a hexadecimal number"),
            Self::BadTime(path) => write!(f, "the configuration's {path}: not a usable time"),
            Self::TooFewSockets { sockets, least } => {
                write!(f, "the configuration's limits.sockets: {sockets} are too few, {least} at least")
            }
            Self::TooLittleMemory(megabytes) => {
                let least = Config::LEAST_MEMORY_MB;
                write!(f, "the configuration's limits.memory_mb: {megabytes} are too few, {least} at least")
            }
            Self::BadVariable(name) => write!(f, "{name} can't be understood"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The path of the whole file in an error.
const WHOLE: &str = ".";
/// The longest time that a limit may name, in seconds.
const MAX_TIME: f64 = 3600.0;

/// What a variable of the environment says; `None` where it is unset or empty.
fn variable<T: FromStr>(name: &'static str) -> Result<Option<T>, ConfigError> {
    match env::var(name) {
        Err(VarError::NotPresent) => Ok(None),
        Ok(text) if text.is_empty() => Ok(None),
        Ok(text) => text.parse().map(Some).map_err(|_| ConfigError::BadVariable(name)),
        Err(VarError::NotUnicode(_)) => Err(ConfigError::BadVariable(name)),
    }
}

impl Config {
    /// The fewest descriptors that leave some for clients and endpoints; operators' calls come on top.
    const LEAST_SOCKETS: usize = 64;
    /// Descriptors that operators' calls may take.
    pub const OPERATOR_SOCKETS: usize = 18;
    /// The least memory, in MB, that leaves some beside the program itself, which takes about two.
    pub const LEAST_MEMORY_MB: usize = 16;

    /// Bytes that a customer takes at most in the module's table: some 300, and the table's own.
    const CUSTOMER: usize = 512;

    /// The share of the memory that the text of a list may take. Some 420 bytes for each of 10,000 endpoints at
    /// 32 MB: an indented entry has some 300. While it is read, the entries take less than half as much beside it,
    /// and the tables of endpoints that it leads to not more; requests and customers may fill half of the memory.
    const LIST_SHARE: usize = 8;

    /// Longest list of endpoints, in bytes.
    pub fn list_bound(&self) -> usize {
        self.memory / Self::LIST_SHARE
    }

    /// The file that `NODE_CONFIG` names.
    pub fn path() -> Result<PathBuf, ConfigError> {
        env::var_os("NODE_CONFIG").map(PathBuf::from).ok_or(ConfigError::NoPath)
    }

    /// Reads the file that `NODE_CONFIG` names.
    ///
    /// # Errors
    /// There is none, or it can't be used.
    pub fn load() -> Result<Self, ConfigError> {
        Self::read(&std::fs::read(Self::path()?).map_err(ConfigError::Unreadable)?)
    }

    /// Reads a configuration; unknown keys are passed over.
    ///
    /// # Errors
    /// It can't be used.
    pub fn read(text: &[u8]) -> Result<Self, ConfigError> {
        Self::read_noting(text, |_| {})
    }

    /// The same, and tells of each key that is passed over.
    pub fn read_noting(text: &[u8], mut note: impl FnMut(serde_ignored::Path)) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let noting = serde_ignored::Deserializer::new(&mut reader, &mut note);
        let document = serde_path_to_error::deserialize(noting).map_err(|error| {
            let path = error.path().to_string();
            ConfigError::Malformed { path, reason: error.into_inner() }
        })?;
        let whole = |reason| ConfigError::Malformed { path: WHOLE.to_owned(), reason };
        reader.end().map_err(whole)?;
        Self::check(document)
    }

    fn check(document: ConfigDocument) -> Result<Self, ConfigError> {
        let mut options = Options::from(document.settings);
        let usable = |seconds: f64| seconds > 0.0 && seconds <= MAX_TIME;
        let times = [
            ("settings.Limits.ConnIdle", options.conn_idle),
            ("settings.Limits.ConnectTimeout", options.connect_timeout),
        ];
        if let Some((path, _)) = times.into_iter().find(|(_, seconds)| !usable(*seconds)) {
            return Err(ConfigError::BadTime(path));
        }
        let operator = document.operator.map_or_else(|| variable("NODE_OPERATOR"), |addr| Ok(Some(addr)))?;
        let least = Self::LEAST_SOCKETS + operator.map_or(0, |_| Self::OPERATOR_SOCKETS);
        let LimitsDocument { sockets, memory_mb } = document.limits;
        if sockets < least {
            return Err(ConfigError::TooFewSockets { sockets, least });
        }
        if memory_mb < Self::LEAST_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory(memory_mb));
        }
        let memory = memory_mb.saturating_mul(1 << 20);
        options.settings.max_customers = memory / 4 / Self::CUSTOMER;
        Ok(Self {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            seed: u64::from_str_radix(&document.seed, 16).map_err(|_| ConfigError::BadSeed)?,
            sockets,
            memory,
            counter: document.counter,
            operator,
            accept_fd: variable("NODE_ACCEPT_FD")?,
            known: document.known.endpoints(&options.zones),
            version: document.known.version,
            options,
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/config.rs"]
mod tests;
