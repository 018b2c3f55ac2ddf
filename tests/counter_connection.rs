//! Connections of the built program to the counter: shared quotas, failures, keep-alive.

mod fakes;
use fakes::{
    CounterBehaviour, EndpointBehaviour, FakeCounter, FakeEndpoint, NodeBuilder, TestRequest, WAIT_LIMIT,
};
use serde_json::json;

#[test]
fn two_gateways_share_one_quota_and_reject_with_retry_after() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let counter = FakeCounter::start(CounterBehaviour::Normal);
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.counter(counter.addr);
    let first_gateway = builder.start();
    builder.settings["Me"] = json!(1);
    let second_gateway = builder.start();
    let mut served = 0;
    for i in 0..20 {
        for node in [&first_gateway, &second_gateway] {
            let response =
                node.send_request(&TestRequest::new(&format!("t{i}")).with_header("X-Plan", "pieni"));
            match response.status() {
                200 => served += 1,
                429 => assert!(response.header("retry-after").parse::<f64>().is_ok_and(|wait| wait > 0.0)),
                status => panic!("unexpected status {status}"),
            }
        }
    }
    // The burst is eight units, and the gateways may serve up to four more before they report them to the counter.
    // Gateways that count separately, for example by different clocks or count names, would serve sixteen.
    assert!((6..=12).contains(&served), "{served} served of a burst of 8");
    assert!(counter.total() >= 5.0, "total at the counter: {}", counter.total());
}

#[test]
fn even_share_applies_while_counter_is_silent_busy_or_invalid() {
    for behaviour in [CounterBehaviour::Silent, CounterBehaviour::Busy, CounterBehaviour::Invalid] {
        let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
        let counter = FakeCounter::start(behaviour);
        let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
        builder.counter(counter.addr);
        let node = builder.start();
        let mut client = node.connect();
        let request = |i: usize| TestRequest::new(&format!("c{i}")).with_header("X-Plan", "pieni");
        let served = (0..12).filter(|i| client.send_request(&request(*i)).status() == 200).count();
        counter.next_call();
        assert!((3..=5).contains(&served), "{served} served, not half of a burst of 8");
    }
}

#[test]
fn late_counter_reply_is_not_matched_to_another_call() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    // The count of the first customer is far beyond the quota; the count of the second customer is new.
    let counter = FakeCounter::start_with_total(CounterBehaviour::FirstReplyAwaitsSecondCall, 1000.0);
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.counter(counter.addr);
    // Long enough that the first call has not timed out when the second is made, even on a busy machine.
    builder.settings["Domain"]["CountLimit"] = json!(5.0);
    let node = builder.start();
    let request = |customer: usize, txn: &str| {
        TestRequest::new(txn)
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", &format!("{customer:016x}"))
    };
    assert_eq!(
        node.send_request(&request(1, "a")).status(),
        200,
        "new customer: admitted by the even share while the counter is called"
    );
    counter.next_call();
    // Six of the second customer's eight units exceed the even share, so the gateway must have read the right count.
    // Requests rejected while the reply is pending are repeated; with the first customer's count, all would be rejected.
    for i in 0..6 {
        let start = std::time::Instant::now();
        while node.send_request(&request(2, &format!("b{i}"))).status() != 200 {
            assert!(start.elapsed() < WAIT_LIMIT, "rejected by the count of another customer");
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
    assert_eq!(
        node.send_request(&request(1, "c")).status(),
        429,
        "the late reply was applied to the first customer"
    );
}

#[test]
fn silent_counter_connection_does_not_block_other_calls() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let counter = FakeCounter::start(CounterBehaviour::FirstConnectionSilent);
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.counter(counter.addr);
    let node = builder.start();
    let mut client = node.connect();
    let (mut served, mut connections) = (0, std::collections::BTreeSet::new());
    for i in 0..200 {
        let customer = format!("{i:016x}");
        let request = TestRequest::new(&format!("k{i}"))
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", &customer);
        served += usize::from(client.send_request(&request).status() == 200);
        connections.extend(counter.calls.try_iter().filter(|call| call.1 != "ping").map(|call| call.0));
        if connections.len() > 1 {
            break;
        }
        // Repeated until a call on the first connection has timed out after 50 ms.
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert!(served > 0 && connections.len() > 1, "{served} served, calls on {connections:?}");
}

#[test]
fn silent_counter_connections_are_replaced() {
    let counter = FakeCounter::start(CounterBehaviour::InitialConnectionsSilent);
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.counter(counter.addr);
    let _node = builder.start();
    let mut pings = [0; 4];
    // Each connection sends a ping when it opens and the next after two seconds; a silent one is replaced earlier.
    loop {
        let (connection, call) = counter.calls.recv_timeout(WAIT_LIMIT).expect("a ping");
        if connection >= 4 {
            break;
        }
        pings[connection] += usize::from(call == "ping");
    }
    assert!(pings.iter().all(|count| *count <= 1), "{pings:?} pings on silent connections");
}

#[test]
fn idle_counter_connections_are_kept_alive_by_pings() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let counter = FakeCounter::start(CounterBehaviour::Normal);
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.counter(counter.addr);
    let _node = builder.start();
    // Two connections are open from the start.
    for _ in 0..6 {
        let (connection, line) = counter.calls.recv_timeout(WAIT_LIMIT).expect("a ping");
        assert!(connection < 2 && line == "ping", "{connection} {line}");
    }
}
