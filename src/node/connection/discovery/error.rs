//! Why a call to discovery brought no list.

use hyper::StatusCode;
use thiserror::Error;

/// Why a call to discovery brought no list.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum DiscoveryError {
    /// The connection could not be made.
    #[error("no connection")]
    Connect,
    /// The answer was not complete in time.
    #[error("no answer")]
    Timeout,
    /// The connection ended before the answer did.
    #[error("the connection broke")]
    ConnectionLost,
    /// Discovery rejected the call.
    #[error("status {0}")]
    Status(StatusCode),
    /// The list is longer than what may be read of it.
    #[error("the list is longer than the {max_bytes} bytes that fit in memory")]
    TooLong {
        /// Length of the longest list that is read.
        max_bytes: usize,
    },
    /// The answer is not a list.
    #[error("the list is unreadable")]
    Unreadable,
}
