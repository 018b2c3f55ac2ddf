//! Makes all decisions of a gateway without I/O or a clock; `src/interface/` defines its events and actions.
//!
//! [`Gateway`] passes each event to the component that handles it:
//!
//! - `admission` owns the customers' state: leased quota, even share, hard ceiling and limit on concurrent
//!   attempts.
//! - `counter` owns the calls to the counter and limits their rate.
//! - `routing` owns the endpoints and picks one for each attempt.
//! - `load_shedder` limits the attempts in flight; `backends` combines it with the router.
//! - `requests` owns the open requests and decides about retries, hedged requests and final responses.
//! - `handover` builds and restores the snapshot that a process hands to its successor.
//!
//! Each component changes only its own state. `context` holds the state that they share during an event.

mod admission;
mod backends;
mod context;
mod counter;
mod gateway;
mod handover;
mod load_shedder;
mod replicas;
mod requests;
mod routing;
mod timers;

pub use gateway::Gateway;
pub use requests::{
    ArrivalPace, AttemptEndTime, EndReason, MAX_SHORT_BODY_BYTES, Pace, ResponseLimits, ResponseProgress,
    StreamProgress,
};
