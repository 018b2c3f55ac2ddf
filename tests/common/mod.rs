//! A harness that drives one gateway alone and records the actions that it returns, and what the tests build for it.
// No test file uses all of it.
#![allow(dead_code, unused_imports)]

mod builders;
mod counter;
mod harness;
pub mod simulation;

pub use builders::{
    AttemptEnd, PlanBuilder, endpoint, plan, request, running_endpoints, settings, settings_without_quota,
};
pub use counter::FakeCounter;
pub use harness::{
    GatewayHarness, HarnessBuilder, counter_calls, failed_count, fire_timers, fleet, rejected_count,
    started_attempts,
};
