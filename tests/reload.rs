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
    let (old, new) = (
        FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone())),
        FakeEndpoint::start(EndpointBehaviour::Respond("new")),
    );
    let (one, two) =
        (FakeCounter::start(CounterBehaviour::Normal), FakeCounter::start(CounterBehaviour::Normal));
    let (mut builder, _discovery) = NodeBuilder::new(&[&old]);
    builder.counter(one.addr);
    let node = builder.start();
    let mut held = node.connect();
    held.send(&TestRequest::new("held").with_header("X-Plan", "pieni"));
    one.next_call();
    old.next_request();
    // The new discovery has versions of its own, which are lower: only its complete list shows that the endpoint is
    // gone.
    let elsewhere = FakeDiscovery::start(&[endpoint_entry("w9", new.addr, "SERVING")]);
    builder.discovery(elsewhere.addr).counter(two.addr);
    node.reload(&builder.config().to_string());
    node.wait_for_log("configuration reloaded");
    elsewhere.wait_until_applied(1);
    let other = TestRequest::new("other")
        .with_header("X-Plan", "pieni")
        .with_header("X-Customer", "0000000000000002");
    assert_eq!(node.send_request(&other).body, b"new");
    two.next_call();
    gate.open();
    assert_eq!(
        held.read_response().map(|response| response.status()),
        Some(200),
        "the request in flight is answered"
    );
}

#[test]
fn invalid_reload_keeps_old_configuration_and_next_valid_one_applies() {
    let (old, new) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("old")),
        FakeEndpoint::start(EndpointBehaviour::Respond("new")),
    );
    let (mut builder, discovery) = NodeBuilder::new(&[&old]);
    let node = builder.start();
    discovery.wait_until_applied(1);
    for bad in ["{", "", "{\"discovery\":\"nowhere\"}"] {
        node.reload(bad);
        node.wait_for_log("the old configuration stays");
        assert_eq!(node.send_request(&TestRequest::new("a")).body, b"old");
    }
    // The old discovery is still followed, and after the next reload the new one.
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry("w1", new.addr, "SERVING")));
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry("w0", old.addr, "DELETED")));
    assert_eq!(node.send_request(&TestRequest::new("b")).body, b"new");
    let elsewhere = FakeDiscovery::start(&[endpoint_entry("w0", old.addr, "SERVING")]);
    builder.discovery(elsewhere.addr);
    node.reload(&builder.config().to_string());
    elsewhere.wait_until_applied(1);
    assert_eq!(node.send_request(&TestRequest::new("c")).body, b"old");
}

#[test]
fn repeated_reloads_under_load_lose_no_request_and_leak_no_descriptor() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let entries = builder.known_endpoints.clone();
    let mut node = builder.start();
    let addr = node.addr;
    let (stop, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let load = std::thread::spawn({
        let (stop, asked) = (stop.clone(), asked.clone());
        move || {
            let mut client = Client::connect(addr);
            while !stop.load(Ordering::Relaxed) {
                let i = asked.fetch_add(1, Ordering::Relaxed);
                let request = TestRequest::new(&format!("l{i}")).with_header("X-Plan", "pieni");
                // Each customer sends one request, so each request causes a counter call.
                assert_eq!(
                    client.send_request(&request.with_header("X-Customer", &format!("{i:016x}"))).status(),
                    200
                );
            }
        }
    });
    // Services that are no longer used stay open, as an old address may.
    let mut kept = Vec::new();
    for _ in 0..12 {
        let (discovery, counter) =
            (FakeDiscovery::start(&entries), FakeCounter::start(CounterBehaviour::Normal));
        builder.discovery(discovery.addr).counter(counter.addr);
        node.reload(&builder.config().to_string());
        discovery.wait_until_applied(1);
        counter.next_call();
        kept.push((discovery, counter));
    }
    let before = asked.load(Ordering::Relaxed);
    while asked.load(Ordering::Relaxed) < before + 20 && !load.is_finished() {
        std::thread::yield_now();
    }
    let open = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("a process").count();
    assert!(open < 64, "{open} descriptors");
    node.reload(&builder.config().to_string());
    stop.store(true, Ordering::Relaxed);
    load.join().expect("every request was served");
    node.terminate();
    assert!(node.wait_for_exit().success(), "SIGTERM right behind a reload drains");
}
