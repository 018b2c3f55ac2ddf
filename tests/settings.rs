//! Invalid settings, unexpected events, and the idempotency scopes that options name.

mod common;
use common::{GatewayHarness, rejected_count, request, settings};
use oliverack::{
    Effect, Event, Gateway, IdempotencyScope, Options, Request, Settings, SettingsError, Status,
};

/// Applies `change` to valid settings and returns the error that a gateway reports for the result.
fn settings_error(change: impl Fn(&mut Settings)) -> SettingsError {
    let mut settings = settings();
    change(&mut settings);
    Gateway::new(settings, 1).expect_err("invalid settings")
}

#[test]
fn invalid_settings_return_typed_error() {
    assert_eq!(settings_error(|settings| settings.gateway_count = 0), SettingsError::NoGateways);
    assert_eq!(settings_error(|settings| settings.gateway_index = 2), SettingsError::GatewayIndexOutOfRange);
    assert_eq!(
        settings_error(|settings| settings.plans[0].rate = -1.0),
        SettingsError::InvalidNumber("rate")
    );
    assert_eq!(
        settings_error(|settings| settings.counter_timeout = f64::NAN),
        SettingsError::InvalidNumber("counter_timeout")
    );
    assert_eq!(
        settings_error(|settings| settings.classes[0].latency_objective = f64::INFINITY),
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
        let mut invalid = request(&format!("invalid{i}"), harness.now);
        change(&mut invalid);
        let actions = harness.handle(Event::Request(invalid));
        assert_eq!((actions.len(), rejected_count(&actions)), (1, 1));
    }
    assert!(harness.handle(Event::Timer { token: 999 }).is_empty());
    assert!(harness.counter_replied(5, Status::Ok, 1.0).is_empty());
    assert!(harness.attempt_ended("never", 0, &"nowhere".into(), Status::Reset).is_empty());
    assert!(harness.handle(Event::ClientDisconnected { request_id: "never".into() }).is_empty());
}

#[test]
fn unknown_idempotency_scope_is_read_as_narrowest_scope() {
    let effect = |class: serde_json::Value| {
        let options = Options::read(&serde_json::json!({ "Classes": [class] })).expect("valid options");
        options.settings.classes[0].effect
    };
    let class =
        |scope_name: &str| serde_json::json!({"Effect": "deduplicated", "Group": scope_name, "Window": 1.5});
    let effect_with_key =
        |idempotency_scope| Effect::IdempotencyKey { scope: idempotency_scope, window: 1.5 };
    assert_eq!(effect(class("all")), effect_with_key(IdempotencyScope::All));
    assert_eq!(effect(class("zone")), effect_with_key(IdempotencyScope::Zone));
    assert_eq!(effect(class("cell")), effect_with_key(IdempotencyScope::Cell));
    assert_eq!(effect(class("hall")), effect_with_key(IdempotencyScope::Cell));
    // A missing window is read as 0: endpoints deduplicate nothing.
    assert_eq!(
        effect(serde_json::json!({"Effect": "deduplicated"})),
        Effect::IdempotencyKey { scope: IdempotencyScope::Cell, window: 0.0 }
    );
}
