//! The client of discovery: it follows the list of endpoints.
//!
//! Each call is answered with a list, at once or, where the known version is still the last one, after a hold. So one
//! watch follows another. After any doubt about the known version the next call asks for the complete list. Where
//! calls have a price, the policy says when the next one may be made.

pub mod call;
pub mod error;
pub mod follower;
