//! What a gateway is told when it starts: the configuration file, and environment variables beside it.

mod document;
mod error;

pub use document::ConfigDocument;
pub use error::ConfigError;

use crate::node::wire::endpoint_list::ListedEndpoint;
use oliverack::Options;
use std::{
    env::{self, VarError},
    fs,
    net::SocketAddr,
    os::fd::RawFd,
    path::PathBuf,
    str::FromStr,
};

/// Names the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// Where operators call, if the file does not say.
const OPERATOR_VARIABLE: &str = "NODE_OPERATOR";
/// The descriptor of the clients' listening socket, if the platform holds it.
const ACCEPT_FD_VARIABLE: &str = "NODE_ACCEPT_FD";

/// Longest time that a limit may name.
const MAX_LIMIT_SECONDS: f64 = 3600.0;
/// Fewest descriptors that leave some for clients and endpoints. Operator calls need more beside them.
const MIN_SOCKETS: usize = 64;
/// Least memory that leaves some beside the program itself, which takes about two.
const MIN_MEMORY_MB: usize = 16;
/// Memory that the policy keeps for one customer: some 300 bytes, and its part of the table.
const CUSTOMER_BYTES: usize = 512;
/// Customers may take one part of the memory in this many.
const CUSTOMER_MEMORY_DIVISOR: usize = 4;
/// The text of an endpoint list may take one part of the memory in this many. That is some 420
/// bytes for each of 10,000 endpoints at 32 MB, and an indented entry has some 300. The entries take less than
/// half as much while the list is read, and the endpoint tables that result take no more than the text.
/// Requests and customers may take half of the memory.
const LIST_MEMORY_DIVISOR: usize = 8;

/// A configuration that can be used.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may hold, in bytes.
    pub memory_bytes: usize,
    /// Where the counter listens, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if the platform holds it.
    pub accept_fd: Option<RawFd>,
    /// The endpoint list as last cached.
    pub cached_endpoints: Vec<ListedEndpoint>,
    /// The version of that list.
    pub cached_version: u64,
    /// The settings of the policy, and what stands beside them in the settings object.
    pub options: Options,
}

impl Config {
    /// Descriptors that operator calls may take.
    pub const OPERATOR_SOCKETS: usize = 18;

    /// Reads the file that `NODE_CONFIG` names.
    ///
    /// # Errors
    /// There is no such file, or it can't be used.
    pub fn load() -> Result<Self, ConfigError> {
        let path = env::var_os(CONFIG_VARIABLE).map(PathBuf::from).ok_or(ConfigError::NoPath)?;
        Self::read(&fs::read(path).map_err(ConfigError::Unreadable)?)
    }

    /// Reads a configuration. Unknown keys are ignored.
    ///
    /// # Errors
    /// It can't be used.
    pub fn read(text: &[u8]) -> Result<Self, ConfigError> {
        Self::read_reporting_unknown_keys(text, |_| {})
    }

    /// Reads a configuration, and calls `on_unknown_key` for each key that is ignored.
    ///
    /// # Errors
    /// It can't be used.
    pub fn read_reporting_unknown_keys(
        text: &[u8],
        mut on_unknown_key: impl FnMut(serde_ignored::Path),
    ) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let reporting = serde_ignored::Deserializer::new(&mut reader, &mut on_unknown_key);
        let document = serde_path_to_error::deserialize(reporting).map_err(|error| {
            let path = error.path().to_string();
            ConfigError::at_path(path, error.into_inner())
        })?;
        reader.end().map_err(ConfigError::Malformed)?;
        Self::validate(document)
    }

    fn validate(document: ConfigDocument) -> Result<Self, ConfigError> {
        let mut options = Options::from(document.settings);
        check_times(&options)?;
        let operator = match document.operator {
            Some(address) => Some(address),
            None => parse_variable(OPERATOR_VARIABLE)?,
        };
        let max_descriptors = document.limits.sockets;
        check_sockets(max_descriptors, operator.is_some())?;
        let memory_bytes = checked_memory_bytes(document.limits.memory_mb)?;
        options.settings.max_customers = memory_bytes / CUSTOMER_MEMORY_DIVISOR / CUSTOMER_BYTES;
        Ok(Self {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            seed: u64::from_str_radix(&document.seed, 16).map_err(|_| ConfigError::InvalidSeed)?,
            max_descriptors,
            memory_bytes,
            counter: document.counter,
            operator,
            accept_fd: parse_variable(ACCEPT_FD_VARIABLE)?,
            cached_endpoints: document.known.endpoints(&options.zones),
            cached_version: document.known.version,
            options,
        })
    }

    /// Longest text of an endpoint list.
    pub fn max_list_bytes(&self) -> usize {
        self.memory_bytes / LIST_MEMORY_DIVISOR
    }
}

fn check_times(options: &Options) -> Result<(), ConfigError> {
    let times = [
        ("settings.Limits.ConnIdle", options.endpoint_idle_timeout),
        ("settings.Limits.ConnectTimeout", options.connect_timeout),
    ];
    for (path, seconds) in times {
        let is_usable = seconds > 0.0 && seconds <= MAX_LIMIT_SECONDS;
        if !is_usable {
            return Err(ConfigError::InvalidTime(path));
        }
    }
    Ok(())
}

fn check_sockets(sockets: usize, has_operator_calls: bool) -> Result<(), ConfigError> {
    let operator_sockets = if has_operator_calls { Config::OPERATOR_SOCKETS } else { 0 };
    let min_sockets = MIN_SOCKETS + operator_sockets;
    if sockets < min_sockets {
        return Err(ConfigError::TooFewSockets { sockets, min_sockets });
    }
    Ok(())
}

fn checked_memory_bytes(memory_mb: usize) -> Result<usize, ConfigError> {
    if memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::TooLittleMemory { memory_mb, min_memory_mb: MIN_MEMORY_MB });
    }
    Ok(memory_mb.saturating_mul(1 << 20))
}

/// Parses an environment variable; `None` if it is unset or empty.
fn parse_variable<T: FromStr>(name: &'static str) -> Result<Option<T>, ConfigError> {
    match env::var(name) {
        Err(VarError::NotPresent) => Ok(None),
        Ok(text) if text.is_empty() => Ok(None),
        Ok(text) => text.parse().map(Some).map_err(|_| ConfigError::InvalidVariable(name)),
        Err(VarError::NotUnicode(_)) => Err(ConfigError::InvalidVariable(name)),
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/config.rs"]
mod tests;
