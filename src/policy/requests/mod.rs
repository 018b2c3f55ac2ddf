//! The life of each request, from its arrival to its one final response.
//!
//! [`RequestLifecycle`] owns the open requests, their attempts and the retry budget. It decides about retries
//! and hedged requests, and sends each request's final response.

mod attempt_end;
mod hedging;
mod lifecycle;
mod request_state;
mod retry_budget;

pub use attempt_end::AttemptEnd;
pub use lifecycle::RequestLifecycle;
pub use request_state::{AttemptTargets, RequestState};
