//! Test support for the policy: a harness around one gateway, builders of settings and events, a fake counter, and a
//! simulation of a fleet. Performs no I/O.
// Each test file uses only a part of this module.
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
