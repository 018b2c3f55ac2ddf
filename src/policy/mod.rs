//! Every decision of a gateway, without I/O or clock; its events and actions are defined in `src/interface/`.
//!
//! [`Gateway`] takes the events and hands each to the component that decides about it:
//!
//! - `admission` owns the customers: quota on lease, even share, hard ceiling and limit on concurrent
//!   attempts.
//! - `counter` owns the calls to the counter and limits their rate.
//! - `routing` owns the endpoints, and picks one for each attempt.
//! - `load_shedder` limits the attempts in flight; `backends` joins it with the router.
//! - `requests` owns the open requests, and decides about retries, hedged requests and final responses.
//! - `handover` is what a process hands to its successor.
//!
//! A component changes its own state only. What all of them share during an event is in `context`.

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
