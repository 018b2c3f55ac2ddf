use super::{Health, ServerState};
use crate::{interface::ServerId, ordered_table::Place, token_bucket::TokenBucket};
use std::mem::size_of;

/// Most bytes that a server takes to which nothing is sent.
const MOST: usize = 150;

#[test]
fn a_server_that_is_sent_nothing_takes_little() {
    // Its entry, its places in the order and the selection, and its name with two counts of references, as the
    // allocator rounds it up.
    let name =
        (2 * size_of::<usize>() + "worker-hall-a-0123".len() + size_of::<usize>()).next_multiple_of(16);
    let bytes = size_of::<Option<(ServerId, ServerState)>>() + 2 * size_of::<Place>() + name;
    assert!(bytes < MOST, "{bytes} bytes");
}

#[test]
fn a_new_life_keeps_only_what_is_out() {
    let mut server = ServerState::default();
    assert_eq!((server.health().inflight, server.health().out_until), (0.0, 0.0));
    let cold = TokenBucket { level: 0.5, at: 3.0 };
    *server.health_mut() = Health { failures: 2, out_until: 9.0, gone: true, ..Health::default() };
    server.renew(3.0, cold, 0.25);
    assert!(server.health.is_none() && server.known);
    assert_eq!((server.cold_since, server.latency, server.cold.level), (3.0, 0.25, 0.5));
    *server.health_mut() = Health { inflight: 2.0, failures: 2, out_until: 9.0, ..Health::default() };
    server.renew(4.0, cold, 0.5);
    let health = server.health();
    assert_eq!((health.inflight, health.failures, health.out_until), (2.0, 0, 0.0));
}
