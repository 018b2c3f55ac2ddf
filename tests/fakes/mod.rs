//! Runs the built program between fake endpoints, counters and discovery services on loopback sockets, and test
//! clients. Tests wait for events instead of fixed times wherever an event shows the progress.
// No test file uses all of these items.
#![allow(dead_code, unused_imports)]

mod client;
mod counter;
mod discovery;
mod endpoint;
mod message;
mod node;
mod node_builder;
mod ports;
mod raw_endpoint;
mod temp_dir;

pub use client::{Client, PacedReader, TestRequest, connect_with_small_buffer};
pub use counter::{CounterBehaviour, FakeCounter};
pub use discovery::{FakeDiscovery, endpoint_entry};
pub use endpoint::{EndpointBehaviour, EndpointEvent, FakeEndpoint, Gate, wait_until_connection_is_reusable};
pub use message::{Message, read_message};
pub use node::{LaunchOptions, Node, spawn_program};
pub use node_builder::NodeBuilder;
pub use ports::{ReservedPort, SaturatedListener, count_pending_sockets, wait_for_pending_connections};
pub use raw_endpoint::{
    PacedPart, RawEndpoint, ResponseFraming, read_at_rate, read_past_head, start_paced_writer,
};
pub use temp_dir::TempDir;

use std::time::Duration;

/// Longest wait for any event; events take far less.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
