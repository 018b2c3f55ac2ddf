//! Reads and validates the configuration file, and the environment variables that complete it.

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

/// Environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// Environment variable with the address on which operators connect; used if the file has none.
const OPERATOR_VARIABLE: &str = "NODE_OPERATOR";
/// Environment variable with the descriptor of the clients' listening socket; set if the platform holds the socket.
const ACCEPT_FD_VARIABLE: &str = "NODE_ACCEPT_FD";

/// Maximum value of a time limit, in seconds.
const MAX_LIMIT_SECONDS: f64 = 3600.0;
/// Minimum number of descriptors that leaves some for clients and endpoints. Operator calls need
/// [`Config::OPERATOR_DESCRIPTORS`] more.
const MIN_DESCRIPTORS: usize = 64;
/// Minimum memory, in MB. The program itself takes about 2 MB.
const MIN_MEMORY_MB: usize = 16;
/// Memory that the policy keeps for one customer, in bytes: about 300 bytes of state, and a part of the table.
const CUSTOMER_BYTES: usize = 512;
/// The memory of the process divided by this is the limit for the state of customers.
const CUSTOMER_MEMORY_DIVISOR: usize = 4;
/// Clients may hold the number of descriptors divided by this for their requests.
const CLIENT_DESCRIPTOR_DIVISOR: usize = 3;
/// The memory of the process divided by this is the limit for request and response bodies in transit.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Memory for remembering one request that must not run again, in bytes.
const RECENT_REQUEST_ID_BYTES: usize = 32;
/// The memory of the process divided by this is the limit for remembering such requests.
const RECENT_REQUEST_ID_MEMORY_DIVISOR: usize = 64;
/// Maximum number of such requests.
const MAX_RECENT_REQUEST_IDS: usize = 16_384;
/// The memory of the process divided by this is the maximum length of an endpoint list's text. With 32 MB this is
/// about 420 bytes for each of 10,000 endpoints; an indented entry has about 300 bytes. While the list is read, the
/// parsed entries take less than half as much as the text, and the endpoint tables built from them take no more
/// than the text. Requests and customers may take half of the memory.
const LIST_MEMORY_DIVISOR: usize = 8;

/// A validated configuration.
#[derive(Debug)]
pub struct Config {
    /// Name of the gateway, the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Address of the counter; `None` if there is none.
    pub counter: Option<SocketAddr>,
    /// Address on which operators connect; `None` if there are no operator calls.
    pub operator: Option<SocketAddr>,
    /// Descriptor of the clients' listening socket; `None` if the process opens the socket itself.
    pub accept_fd: Option<RawFd>,
    /// The last cached endpoint list, which may be out of date.
    pub cached_endpoints: Vec<ListedEndpoint>,
    /// Version of the cached endpoint list.
    pub cached_version: u64,
    /// The settings of the policy, and the other options of the settings object.
    pub options: Options,
}

impl Config {
    /// Maximum number of descriptors that operator calls take.
    pub const OPERATOR_DESCRIPTORS: usize = 18;

    /// Loads the configuration file that the environment variable `NODE_CONFIG` names.
    ///
    /// # Errors
    /// The variable is not set, or the file can't be read or is not a valid configuration.
    pub fn load() -> Result<Self, ConfigError> {
        let path = env::var_os(CONFIG_VARIABLE).map(PathBuf::from).ok_or(ConfigError::NoPath)?;
        Self::parse(&fs::read(path).map_err(ConfigError::Unreadable)?)
    }

    /// Parses and validates the text of a configuration file. Unknown keys are ignored.
    ///
    /// # Errors
    /// The text is not a valid configuration.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        Self::parse_reporting_unknown_keys(text, |_| {})
    }

    /// Parses and validates the text of a configuration file, and calls `on_unknown_key` for each key that is ignored.
    ///
    /// # Errors
    /// The text is not a valid configuration.
    pub fn parse_reporting_unknown_keys(
        text: &[u8],
        mut on_unknown_key: impl FnMut(serde_ignored::Path),
    ) -> Result<Self, ConfigError> {
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let reporting = serde_ignored::Deserializer::new(&mut deserializer, &mut on_unknown_key);
        let document = serde_path_to_error::deserialize(reporting).map_err(|error| {
            let path = error.path().to_string();
            ConfigError::at_path(path, error.into_inner())
        })?;
        deserializer.end().map_err(ConfigError::Malformed)?;
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
        check_descriptors(max_descriptors, operator.is_some())?;
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
            cached_endpoints: document.known.endpoints(&options.zone_names),
            cached_version: document.known.version,
            options,
        })
    }

    /// Returns the maximum number of clients with a request in flight, which hold a third of the descriptors.
    pub fn max_open_requests(&self) -> usize {
        self.max_descriptors / CLIENT_DESCRIPTOR_DIVISOR
    }

    /// Returns the maximum memory for the bodies of requests and responses in transit, in bytes.
    pub fn body_memory_bytes(&self) -> usize {
        self.memory_bytes / BODY_MEMORY_DIVISOR
    }

    /// Returns the number of requests to remember that have run and must not run again.
    pub fn max_recent_request_ids(&self) -> usize {
        let fitting = self.memory_bytes / RECENT_REQUEST_ID_MEMORY_DIVISOR / RECENT_REQUEST_ID_BYTES;
        fitting.min(MAX_RECENT_REQUEST_IDS)
    }

    /// Returns the maximum length of an endpoint list's text, in bytes.
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

fn check_descriptors(descriptors: usize, has_operator_calls: bool) -> Result<(), ConfigError> {
    let operator_descriptors = if has_operator_calls { Config::OPERATOR_DESCRIPTORS } else { 0 };
    let min_descriptors = MIN_DESCRIPTORS + operator_descriptors;
    if descriptors < min_descriptors {
        return Err(ConfigError::TooFewDescriptors { descriptors, min_descriptors });
    }
    Ok(())
}

fn checked_memory_bytes(memory_mb: usize) -> Result<usize, ConfigError> {
    if memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::TooLittleMemory { memory_mb, min_memory_mb: MIN_MEMORY_MB });
    }
    Ok(memory_mb.saturating_mul(1 << 20))
}

/// Parses an environment variable. Returns `None` if it is unset or empty.
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
