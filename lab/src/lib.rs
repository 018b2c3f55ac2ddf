//! Measures the gateway at scale: simulates a fleet of gateways that run the real policy, and benchmarks the policy and
//! the built program.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod demo;
pub mod fleet;
pub mod process;
