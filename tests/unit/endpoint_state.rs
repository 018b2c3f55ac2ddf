use super::{EndpointState, Health};
use crate::{interface::EndpointId, ordered_table::Place, token_bucket::TokenBucket};
use std::mem::size_of;

/// Most bytes that an endpoint takes to which nothing is sent.
const MOST: usize = 150;

#[test]
fn an_endpoint_that_is_sent_nothing_takes_little() {
    // Its entry, its places in the order and the selection, and its name with two counts of references, as the
    // allocator rounds it up.
    let name =
        (2 * size_of::<usize>() + "worker-hall-a-0123".len() + size_of::<usize>()).next_multiple_of(16);
    let bytes = size_of::<Option<(EndpointId, EndpointState)>>() + 2 * size_of::<Place>() + name;
    assert!(bytes < MOST, "{bytes} bytes");
}

#[test]
fn a_new_life_keeps_only_what_is_out() {
    let mut endpoint = EndpointState::default();
    assert_eq!((endpoint.health().inflight, endpoint.health().out_until), (0.0, 0.0));
    let cold = TokenBucket { level: 0.5, at: 3.0 };
    *endpoint.health_mut() = Health { failures: 2, out_until: 9.0, gone: true, ..Health::default() };
    endpoint.renew(3.0, cold, 0.25);
    assert!(endpoint.health.is_none() && endpoint.known);
    assert_eq!((endpoint.cold_since, endpoint.latency, endpoint.cold.level), (3.0, 0.25, 0.5));
    *endpoint.health_mut() = Health { inflight: 2.0, failures: 2, out_until: 9.0, ..Health::default() };
    endpoint.renew(4.0, cold, 0.5);
    let health = endpoint.health();
    assert_eq!((health.inflight, health.failures, health.out_until), (2.0, 0, 0.0));
}
