//! Client of discovery, which keeps the endpoint list up to date.
//!
//! Calls are long polls, called watches: discovery holds the response while the known version is the latest one, and
//! the next call follows each response. When the known version may be wrong, the next call requests the complete
//! list. If discovery charges for calls, the first call, and the next one after a failure, wait for the policy's
//! request.

pub mod call;
pub mod error;
pub mod follower;
