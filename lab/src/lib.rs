//! Measurements of the gateway at scale: a simulated fleet that hosts the policy itself, and benchmarks of the policy
//! and of the built program.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod demo;
pub mod fleet;
pub mod process;
