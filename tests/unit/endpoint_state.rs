use super::{EndpointState, Health};
use crate::{
    interface::EndpointId,
    primitives::{ordered_table::EntryHandle, token_bucket::TokenBucket},
};
use std::mem::size_of;

/// Most bytes of memory for an endpoint without attempts.
const MAX_BYTES: usize = 150;

#[test]
fn endpoint_without_attempts_takes_little_memory() {
    // The entry, the two handles in the ordered lists, and the identifier with its two reference counts,
    // rounded up as by the allocator.
    let id_bytes =
        (2 * size_of::<usize>() + "worker-hall-a-0123".len() + size_of::<usize>()).next_multiple_of(16);
    let bytes = size_of::<Option<(EndpointId, EndpointState)>>() + 2 * size_of::<EntryHandle>() + id_bytes;
    assert!(bytes < MAX_BYTES, "{bytes} bytes");
}

#[test]
fn restart_keeps_only_attempts_in_flight() {
    let mut endpoint = EndpointState::default();
    assert_eq!((endpoint.health().in_flight, endpoint.health().ejected_until), (0.0, 0.0));
    let allowance = TokenBucket { level: 0.5, updated_at: 3.0 };
    *endpoint.health_mut() =
        Health { consecutive_failures: 2, ejected_until: 9.0, may_have_restarted: true, ..Health::default() };
    endpoint.restart(3.0, allowance, 0.25);
    assert!(endpoint.health.is_none() && endpoint.is_observed);
    assert_eq!(
        (endpoint.warming_up_since, endpoint.mean_latency, endpoint.slow_start_allowance.level),
        (3.0, 0.25, 0.5)
    );
    *endpoint.health_mut() =
        Health { in_flight: 2.0, consecutive_failures: 2, ejected_until: 9.0, ..Health::default() };
    endpoint.restart(4.0, allowance, 0.5);
    let health = endpoint.health();
    assert_eq!((health.in_flight, health.consecutive_failures, health.ejected_until), (2.0, 0, 0.0));
}
