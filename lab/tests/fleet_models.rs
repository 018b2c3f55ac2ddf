//! Unit tests of the models of the simulated fleet.

use oliverack::{Endpoint, Event, Lifecycle, Status};
use oliverack_lab::fleet::configuration::{
    Counter as CounterConfiguration, Discovery as DiscoveryConfiguration,
};
use oliverack_lab::fleet::configuration::{DiscoveryMode, Endpoints as EndpointsConfiguration, Range};
use oliverack_lab::fleet::counter::{CallAdmission, Counter};
use oliverack_lab::fleet::counter_calls::{CallResult, CounterCalls};
use oliverack_lab::fleet::discovery::{Discovery, PollResult};
use oliverack_lab::fleet::endpoints::{Admission, EndpointState, SimulatedEndpoint};
use oliverack_lab::fleet::event_queue::{EventQueue, RUN_START};
use oliverack_lab::fleet::randomness::{Stream, stream};
use oliverack_lab::fleet::requests::AttemptKey;
use oliverack_lab::fleet::tenants::TokenBucket;
use oliverack_lab::fleet::wire_size;

/// Returns a counter of one shard that serves 100 calls a second and queues two.
fn counter() -> Counter {
    Counter::new(&CounterConfiguration { shards: 1, calls_per_second: 100.0, queue: 2, delay: 0.0 })
}

fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-9, "{actual} is not close to {expected}");
}

#[test]
fn events_are_ordered_by_time_then_scheduling() {
    let mut queue = EventQueue::default();
    for (seconds, event) in [(3.0, 'd'), (1.0, 'a'), (2.0, 'b'), (2.0, 'c'), (9.0, 'e')] {
        queue.schedule(RUN_START + seconds, event);
    }
    let order: String = std::iter::from_fn(|| queue.pop_until(RUN_START + 5.0)).collect();
    assert_eq!(order, "abcd");
    assert_close(queue.now(), RUN_START + 3.0);
}

#[test]
fn event_in_the_past_is_due_now() {
    let mut queue = EventQueue::default();
    queue.schedule(RUN_START + 2.0, 'a');
    queue.pop_until(RUN_START + 2.0);
    queue.schedule(RUN_START + 1.0, 'b');
    assert_eq!(queue.pop_until(RUN_START + 2.0), Some('b'));
    assert_close(queue.now(), RUN_START + 2.0);
}

#[test]
fn counter_queues_calls_then_rejects() {
    let mut counter = counter();
    let admissions: Vec<CallAdmission> = (0..4).map(|_| counter.admit(RUN_START, 1)).collect();
    let CallAdmission::Admitted { completes_at: third_completion } = admissions[2] else {
        panic!("{admissions:?}")
    };
    assert_close(third_completion, RUN_START + 0.03);
    assert_eq!(admissions[3], CallAdmission::Rejected);
    assert!(matches!(counter.admit(RUN_START + 0.02, 1), CallAdmission::Admitted { .. }));
}

#[test]
fn counter_shards_have_separate_queues() {
    let mut counter =
        Counter::new(&CounterConfiguration { shards: 2, calls_per_second: 100.0, queue: 0, delay: 0.0 });
    assert!(matches!(counter.admit(RUN_START, 0), CallAdmission::Admitted { .. }));
    assert!(matches!(counter.admit(RUN_START, 1), CallAdmission::Admitted { .. }));
    assert_eq!(counter.admit(RUN_START, 2), CallAdmission::Rejected);
}

#[test]
fn slowdown_multiplies_service_time() {
    let mut counter = counter();
    counter.set_slowdown(5.0);
    let CallAdmission::Admitted { completes_at } = counter.admit(RUN_START, 1) else {
        panic!("the call is rejected")
    };
    assert_close(completes_at, RUN_START + 0.05);
}

#[test]
fn first_call_sets_time_to_live_of_entry() {
    let mut counter = counter();
    assert_close(counter.add(RUN_START, 7, 2.0, 4.0), 2.0);
    assert_close(counter.add(RUN_START + 3.9, 7, 1.0, 4.0), 3.0);
    assert_close(counter.add(RUN_START + 4.0, 7, 1.0, 4.0), 1.0);
}

#[test]
fn counter_loses_given_share_of_entries() {
    let mut counter = counter();
    for name in 0..1000 {
        counter.add(RUN_START, name, 1.0, 60.0);
    }
    let mut generator = stream(1, Stream::Counter);
    let lost_count = counter.lose_entries(0.3, &mut generator);
    assert!((250..350).contains(&lost_count), "{lost_count} of 1000 are lost");
    assert_eq!(counter.entry_count(), 1000 - lost_count);
    counter.lose_entries(1.0, &mut generator);
    assert_eq!(counter.entry_count(), 0);
}

#[test]
fn silent_counter_does_not_respond() {
    let mut counter = counter();
    counter.set_silent(true);
    assert_eq!(counter.admit(RUN_START, 1), CallAdmission::NoResponse);
    counter.set_silent(false);
    assert!(matches!(counter.admit(RUN_START, 1), CallAdmission::Admitted { .. }));
}

#[test]
fn results_for_one_entry_keep_the_order_of_calls() {
    let mut calls = CounterCalls::default();
    let (first, second) = (calls.start(RUN_START, 1), calls.start(RUN_START, 1));
    let rejected = CallResult { status: Status::Rejected, total: 0.0 };
    let served = CallResult { status: Status::Ok, total: 3.0 };
    assert!(calls.end(RUN_START + 0.01, second, rejected).is_empty());
    let statuses: Vec<Status> =
        calls.end(RUN_START + 0.02, first, served).iter().map(counter_reply_status).collect();
    assert_eq!(statuses, [Status::Ok, Status::Rejected]);
    // A response after the timeout causes no further notification.
    assert!(!calls.is_in_flight(first));
    assert!(calls.end(RUN_START + 0.03, first, served).is_empty());
}

fn counter_reply_status(event: &Event) -> Status {
    match event {
        Event::CounterReplied { status, .. } => *status,
        other_event => panic!("not a counter reply: {other_event:?}"),
    }
}

fn endpoints_configuration() -> EndpointsConfiguration {
    EndpointsConfiguration {
        count: 1,
        cells: 1,
        slots: 1,
        queue: 1,
        service_seconds: 0.1,
        service_seconds_per_unit: 0.0,
        service_variation: 0.0,
        slow_start_initial_share: 0.2,
        slow_start_window: 10.0,
        overload_multiple: 3.0,
        overload_window: 1.0,
    }
}

fn attempt(request: u64) -> AttemptKey {
    AttemptKey { request, attempt: 0 }
}

#[test]
fn endpoint_serves_then_queues_then_rejects() {
    let mut endpoint = SimulatedEndpoint::new(&endpoints_configuration(), 0, 0.0);
    let admissions: Vec<Admission> = (0..3).map(|number| endpoint.receive(attempt(number))).collect();
    assert_eq!(admissions, [Admission::Started, Admission::Queued, Admission::Rejected(Status::Rejected)]);
    assert_eq!(endpoint.start_next(|_| true), None);
    endpoint.finish(attempt(0));
    assert_eq!(endpoint.start_next(|_| true), Some(attempt(1)));
}

#[test]
fn endpoint_skips_abandoned_queued_attempts() {
    let mut endpoint = SimulatedEndpoint::new(&endpoints_configuration(), 0, 0.0);
    endpoint.receive(attempt(0));
    endpoint.receive(attempt(1));
    endpoint.finish(attempt(0));
    assert_eq!(endpoint.start_next(|_| false), None);
    assert_eq!(endpoint.receive(attempt(2)), Admission::Started);
}

#[test]
fn admission_depends_on_endpoint_state() {
    let mut endpoint = SimulatedEndpoint::new(&endpoints_configuration(), 0, 0.0);
    endpoint.state = EndpointState::Draining;
    assert_eq!(endpoint.receive(attempt(0)), Admission::Rejected(Status::Rejected));
    endpoint.stop(EndpointState::Hung);
    assert_eq!(endpoint.receive(attempt(0)), Admission::NoResponse);
    endpoint.stop(EndpointState::Unreachable);
    assert_eq!(endpoint.receive(attempt(0)), Admission::NoResponse);
    endpoint.resume(None);
    endpoint.receive(attempt(1));
    assert_eq!(endpoint.stop(EndpointState::Down), [attempt(1)]);
    assert_eq!(endpoint.receive(attempt(2)), Admission::Rejected(Status::ConnectFailed));
}

#[test]
fn capacity_rises_during_slow_start() {
    let configuration = endpoints_configuration();
    let endpoint = SimulatedEndpoint::new(&configuration, 0, RUN_START);
    assert_close(endpoint.capacity(RUN_START, &configuration), 0.2);
    assert_close(endpoint.capacity(RUN_START + 5.0, &configuration), 0.6);
    assert_close(endpoint.capacity(RUN_START + 10.0, &configuration), 1.0);
    assert_close(SimulatedEndpoint::new(&configuration, 0, 0.0).capacity(RUN_START, &configuration), 1.0);
}

fn list_entry(id: &str, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { id: id.into(), zone: 0, cell: 0, started: 0.0, lifecycle }
}

fn discovery() -> Discovery {
    let configuration = DiscoveryConfiguration {
        mode: DiscoveryMode::Poll,
        propagation_delay: Range { min: 0.0, max: 0.0 },
        calls_per_second: 10.0,
        poll_timeout: 0.15,
        watch_hold: 2.5,
    };
    Discovery::new(
        &configuration,
        vec![list_entry("a", Lifecycle::Running), list_entry("b", Lifecycle::Running)],
    )
}

#[test]
fn polls_are_queued_and_time_out() {
    let mut discovery = discovery();
    let results: Vec<PollResult> = (0..3).map(|_| discovery.poll(RUN_START)).collect();
    assert_eq!(results[0], PollResult::Answered(RUN_START + 0.1));
    assert!(
        matches!(results[1], PollResult::Answered(answered_at) if (answered_at - RUN_START - 0.2).abs() < 1e-9)
    );
    assert_eq!(results[2], PollResult::TimedOut(RUN_START + 0.15));
}

#[test]
fn list_at_past_time_has_changes_until_then() {
    let mut discovery = discovery();
    discovery.record_change(RUN_START + 1.0, list_entry("a", Lifecycle::Gone));
    discovery.record_change(RUN_START + 2.0, list_entry("c", Lifecycle::Running));
    let mut ids_at = |seconds: f64| -> Vec<String> {
        discovery.list_at(RUN_START + seconds).endpoints.iter().map(|entry| entry.id.to_string()).collect()
    };
    assert_eq!(ids_at(0.5), ["a", "b"]);
    assert_eq!(ids_at(1.0), ["b"]);
    assert_eq!(ids_at(2.5), ["b", "c"]);
    assert_eq!(discovery.version(), 2);
}

#[test]
fn token_bucket_refills_to_burst_and_can_be_overdrawn() {
    let mut bucket = TokenBucket::full(1.0, 4.0);
    assert!(bucket.try_take(RUN_START, 4.0));
    assert!(!bucket.try_take(RUN_START + 0.5, 1.0));
    assert!(bucket.try_take(RUN_START + 100.0, 4.0));
    assert_close(bucket.overdraw(RUN_START + 100.0, 1.0), -0.25);
}

#[test]
fn message_sizes_match_protocol() {
    assert_eq!(wire_size::counter_call(42, -2.5, 4.0), "bump 42 -2.5 4000\r\n".len() as u64);
    assert_eq!(wire_size::counter_call(1, 1.0, 90.0), "bump 1 1 60000\r\n".len() as u64);
    assert_eq!(wire_size::counter_total(12.5), "ok 12.5\r\n".len() as u64);
    assert_eq!(wire_size::counter_busy(), "busy\r\n".len() as u64);
    assert_eq!(wire_size::served(2), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".len() as u64);
    let watch_request = "GET /discovery/hosts?from=41&hold_ms=2500 HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    assert_eq!(wire_size::watch_request(41, 2.5), watch_request.len() as u64);
}
