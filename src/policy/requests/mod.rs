//! The life of each request, from its arrival to its one final response.
//!
//! [`RequestLifecycle`] owns the open requests, their attempts and the retry budget. It decides about retries
//! and hedged requests, and sends each request's final response.

mod arrival_pace;
mod attempt_end;
mod hedging;
mod lifecycle;
mod request_state;
mod response_limits;
mod retry_budget;

pub use arrival_pace::{ArrivalPace, Pace};
pub use attempt_end::AttemptEnd;
pub use lifecycle::RequestLifecycle;
pub use request_state::{AttemptTargets, RequestState};
pub use response_limits::{
    AttemptEndTime, EndReason, MAX_SHORT_BODY_BYTES, ResponseLimits, ResponseProgress, StreamProgress,
};
