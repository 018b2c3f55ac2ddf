//! Configuration reloads of the built program.

mod fakes;
use fakes::{
    Client, CounterBehaviour, EndpointBehaviour, FakeCounter, FakeDiscovery, FakeEndpoint, Gate, NodeBuilder,
    TestRequest, endpoint_entry,
};
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

#[test]
fn reload_switches_discovery_and_counter_without_losing_requests() {
    let gate = Arc::new(Gate::default());
    let (old_endpoint, new_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone())),
        FakeEndpoint::start(EndpointBehaviour::Respond("new")),
    );
    let (old_counter, new_counter) =
        (FakeCounter::start(CounterBehaviour::Normal), FakeCounter::start(CounterBehaviour::Normal));
    let (mut builder, _discovery) = NodeBuilder::new(&[&old_endpoint]);
    builder.counter(old_counter.addr);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::new("held").with_header("X-Plan", "pieni"));
    old_counter.next_call();
    old_endpoint.next_request();
    // The new discovery service numbers its versions separately and lower, so only its complete list shows that the old
    // endpoint is gone.
    let new_discovery = FakeDiscovery::start(&[endpoint_entry("w9", new_endpoint.addr, "SERVING")]);
    builder.discovery(new_discovery.addr).counter(new_counter.addr);
    node.reload(&builder.config().to_string());
    node.wait_for_log("configuration reloaded");
    new_discovery.wait_until_applied(1);
    let other_customer = TestRequest::new("other")
        .with_header("X-Plan", "pieni")
        .with_header("X-Customer", "0000000000000002");
    assert_eq!(node.send_request(&other_customer).body, b"new");
    new_counter.next_call();
    gate.open();
    assert_eq!(
        client.read_response().map(|response| response.status()),
        Some(200),
        "the request in flight is answered"
    );
}

#[test]
fn invalid_reload_keeps_old_configuration_and_next_valid_one_applies() {
    let (old_endpoint, new_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("old")),
        FakeEndpoint::start(EndpointBehaviour::Respond("new")),
    );
    let (mut builder, discovery) = NodeBuilder::new(&[&old_endpoint]);
    let node = builder.start();
    discovery.wait_until_applied(1);
    for invalid_config in ["{", "", "{\"discovery\":\"nowhere\"}"] {
        node.reload(invalid_config);
        node.wait_for_log("the old configuration stays");
        assert_eq!(node.send_request(&TestRequest::new("a")).body, b"old");
    }
    // The gateway still follows the old discovery service, and after the next reload the new one.
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry("w1", new_endpoint.addr, "SERVING")));
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry("w0", old_endpoint.addr, "DELETED")));
    assert_eq!(node.send_request(&TestRequest::new("b")).body, b"new");
    let new_discovery = FakeDiscovery::start(&[endpoint_entry("w0", old_endpoint.addr, "SERVING")]);
    builder.discovery(new_discovery.addr);
    node.reload(&builder.config().to_string());
    new_discovery.wait_until_applied(1);
    assert_eq!(node.send_request(&TestRequest::new("c")).body, b"old");
}

#[test]
fn repeated_reloads_under_load_lose_no_request_and_leak_no_descriptor() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let entries = builder.known_endpoints.clone();
    let mut node = builder.start();
    let addr = node.addr;
    let (is_stopping, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let load_thread = std::thread::spawn({
        let (is_stopping, sent) = (is_stopping.clone(), sent.clone());
        move || {
            let mut client = Client::connect(addr);
            while !is_stopping.load(Ordering::Relaxed) {
                let i = sent.fetch_add(1, Ordering::Relaxed);
                let request = TestRequest::new(&format!("l{i}")).with_header("X-Plan", "pieni");
                // Each customer sends one request, so each request causes a counter call.
                assert_eq!(
                    client.send_request(&request.with_header("X-Customer", &format!("{i:016x}"))).status(),
                    200
                );
            }
        }
    });
    // Services that are no longer used keep running, as they may at an old address.
    let mut services = Vec::new();
    for _ in 0..12 {
        let (discovery, counter) =
            (FakeDiscovery::start(&entries), FakeCounter::start(CounterBehaviour::Normal));
        builder.discovery(discovery.addr).counter(counter.addr);
        node.reload(&builder.config().to_string());
        discovery.wait_until_applied(1);
        counter.next_call();
        services.push((discovery, counter));
    }
    let sent_before = sent.load(Ordering::Relaxed);
    while sent.load(Ordering::Relaxed) < sent_before + 20 && !load_thread.is_finished() {
        std::thread::yield_now();
    }
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("a process").count();
    assert!(descriptors < 64, "{descriptors} descriptors");
    node.reload(&builder.config().to_string());
    is_stopping.store(true, Ordering::Relaxed);
    load_thread.join().expect("every request was served");
    node.terminate();
    assert!(node.wait_for_exit().success(), "SIGTERM right after a reload drains");
}
