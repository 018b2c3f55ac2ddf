//! Tests the decisions of the policy with the configuration of the `demo` command.

use oliverack::{Action, Endpoint, Event, Gateway, Lifecycle, ListKind, Options, Request, Status};
use oliverack_lab::{
    demo::{Addresses, configuration},
    process::stand_in_discovery::{EntryState, ListEntry},
};

fn addresses() -> Addresses {
    let unused_address = "127.0.0.1:0".parse().expect("a valid address");
    Addresses {
        listen: unused_address,
        operator: unused_address,
        discovery: unused_address,
        counter: unused_address,
    }
}

#[test]
fn request_beyond_burst_is_rejected_with_retry_after() {
    let entry = ListEntry::new(0, "127.0.0.1:9".parse().expect("a valid address"), EntryState::Serving);
    let configuration = configuration(addresses(), &[entry]);
    let options = Options::read(&configuration["settings"]).expect("readable settings");
    let mut gateway = Gateway::new(options.settings, 7).expect("accepted settings");
    let (mut now, mut actions) = (100.0, Vec::new());
    let endpoint = Endpoint { id: "w".into(), zone: 0, cell: 0, started: 0.0, lifecycle: Lifecycle::Running };
    gateway.handle(
        now,
        Event::EndpointsUpdated { kind: ListKind::Stale, endpoints: vec![endpoint] },
        &mut actions,
    );
    let (mut sent, mut retry_afters, mut total) = (0, Vec::new(), 0.0);
    for number in 0..4 {
        let request = Request {
            id: format!("j{number}").into(),
            units: 1.0,
            deadline: now + 5.0,
            plan: 0,
            customer_gateway_count: 1,
            first_gateway: 0,
            class: 0,
            customer: "c".into(),
            is_retry: false,
        };
        gateway.handle(now, Event::Request(request), &mut actions);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                Action::AddToCounter { counter, amount, .. } => {
                    total += amount;
                    let event = Event::CounterReplied { counter, status: Status::Ok, total, elapsed: 0.001 };
                    gateway.handle(now, event, &mut actions);
                }
                Action::StartAttempt { .. } => sent += 1,
                Action::Reject { retry_after, .. } => retry_afters.push(retry_after),
                _ => {}
            }
        }
        now += 0.01;
    }
    assert_eq!((sent, retry_afters.len()), (3, 1));
    assert!(
        retry_afters[0] > 1.0 && retry_afters[0] <= 2.0,
        "a quota of one request in two seconds: {retry_afters:?}"
    );
}
