//! Drives the policy: one clock, timers, open requests, and what carries out the actions.

pub mod attempts;
pub mod clock;
pub mod counters;
pub mod driver;
pub mod open_requests;
pub mod operations;
pub mod requests;
pub mod timers;
