//! Invalid settings and unexpected events.

mod common;
use common::{GatewayHarness, rejected_count, request, settings};
use oliverack::{
    Effect, Event, Gateway, IdempotencyScope, Options, Request, Settings, SettingsError, Status,
};

fn refused_settings(change: impl Fn(&mut Settings)) -> SettingsError {
    let mut settings = settings();
    change(&mut settings);
    Gateway::new(settings, 1).expect_err("impossible settings")
}

#[test]
fn invalid_settings_return_typed_error() {
    assert_eq!(refused_settings(|settings| settings.gateway_count = 0), SettingsError::NoGateways);
    assert_eq!(
        refused_settings(|settings| settings.gateway_index = 2),
        SettingsError::GatewayIndexOutOfRange
    );
    assert_eq!(
        refused_settings(|settings| settings.plans[0].rate = -1.0),
        SettingsError::InvalidNumber("rate")
    );
    assert_eq!(
        refused_settings(|settings| settings.counter_timeout = f64::NAN),
        SettingsError::InvalidNumber("counter_timeout")
    );
    assert_eq!(
        refused_settings(|settings| settings.classes[0].latency_objective = f64::INFINITY),
        SettingsError::InvalidNumber("latency_objective")
    );
}

#[test]
fn unexpected_events_end_request_once_and_start_no_attempt() {
    let mut harness = GatewayHarness::new(settings());
    for (i, change) in [
        (|r: &mut Request| r.class = 9) as fn(&mut Request),
        |r| r.plan = 9,
        |r| r.units = f64::NAN,
        |r| r.deadline = 1.0,
    ]
    .iter()
    .enumerate()
    {
        let mut odd = request(&format!("odd{i}"), harness.now);
        change(&mut odd);
        let actions = harness.handle(Event::Request(odd));
        assert_eq!((actions.len(), rejected_count(&actions)), (1, 1));
    }
    assert!(harness.handle(Event::Timer { token: 999 }).is_empty());
    assert!(harness.counter_replied(5, Status::Ok, 1.0).is_empty());
    assert!(harness.attempt_ended("never", 0, &"nowhere".into(), Status::Reset).is_empty());
    assert!(harness.handle(Event::ClientDisconnected { request_id: "never".into() }).is_empty());
}

#[test]
fn unknown_idempotency_group_gets_narrowest_scope() {
    let effect = |class: serde_json::Value| {
        let options = Options::read(&serde_json::json!({ "Classes": [class] })).expect("readable");
        options.settings.classes[0].effect
    };
    let class = |group: &str| serde_json::json!({"Effect": "deduplicated", "Group": group, "Window": 1.5});
    let keyed = |group| Effect::IdempotencyKey { scope: group, window: 1.5 };
    assert_eq!(effect(class("all")), keyed(IdempotencyScope::All));
    assert_eq!(effect(class("zone")), keyed(IdempotencyScope::Zone));
    assert_eq!(effect(class("cell")), keyed(IdempotencyScope::Cell));
    assert_eq!(effect(class("hall")), keyed(IdempotencyScope::Cell));
    // Without a window nothing is deduplicated.
    assert_eq!(
        effect(serde_json::json!({"Effect": "deduplicated"})),
        Effect::IdempotencyKey { scope: IdempotencyScope::Cell, window: 0.0 }
    );
}
