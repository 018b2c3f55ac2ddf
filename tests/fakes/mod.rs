//! Fakes around the gateway under test: endpoints, a counter and discovery on loopback sockets, clients, and the
//! built program itself. They wait for events, with limits far beyond what any of them takes.
// No test file uses all of it.
#![allow(dead_code, unused_imports)]

mod client;
mod counter;
mod discovery;
mod endpoint;
mod message;
mod node;
mod node_builder;
mod ports;
mod temp_dir;

pub use client::{Client, TestRequest};
pub use counter::{CounterBehaviour, FakeCounter};
pub use discovery::{FakeDiscovery, endpoint_entry};
pub use endpoint::{EndpointBehaviour, EndpointEvent, FakeEndpoint, Gate, wait_until_connection_is_reusable};
pub use message::{Message, read_message};
pub use node::{LaunchOptions, Node, spawn_program};
pub use node_builder::NodeBuilder;
pub use ports::{ReservedPort, SaturatedListener, pending_in, wait_for_pending_connections};
pub use temp_dir::TempDir;

use std::time::Duration;

/// Limit of every wait; nothing here takes nearly so long.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
