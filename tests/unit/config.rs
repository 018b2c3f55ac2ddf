//! Tests that a complete configuration file, as the platform writes it, is read into the right fields.

use super::*;
use oliverack::{Class, Effect, IdempotencyScope, Lifecycle, Plan};

const FILE: &str = r#"{
    "name": "n2",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:9001",
    "seed": "00ff00ff00ff00ff",
    "limits": {"sockets": 512, "memory_mb": 32, "cores": 0.5},
    "counter": "127.0.0.1:9002",
    "operator": "127.0.0.1:9003",
    "known": {
        "version": 17,
        "full": true,
        "servers": [
            {"id": "s-00000001", "addr": "127.0.0.1:9100", "zone": "b", "cell": 4, "state": "SERVING",
             "started_ms": 12500, "kind": 0, "weight": 1.0}
        ]
    },
    "settings": {
        "Classes": [
            {"Name": "lookup", "Slo": 0.4, "Deadline": 2.5, "Effect": "idempotent", "LateWorth": 0.25,
             "Streamed": true},
            {"Name": "submit", "Slo": 0.8, "Deadline": 4.0, "Effect": "deduplicated", "Group": "zone",
             "Window": 1.5},
            {"Name": "order", "Slo": 0.6, "Deadline": 3.0, "Effect": "at_most_once"}
        ],
        "Plans": [
            {"Name": "small", "QuotaRate": 2.0, "Depth": 6.0, "Open": 3, "Pays": 1.5, "ExcessWorth": 0.2,
             "OverrunCost": 0.1, "CeilingRate": 4.0, "CeilingBurst": 12.0}
        ],
        "Dcs": ["a", "b"],
        "Discovery": "ask",
        "Locality": 1,
        "Me": 2,
        "PeersTotal": 5,
        "Step": 0.002,
        "Domain": {"HasCounter": true, "CountLimit": 0.06, "MaxUnits": 3.0, "PostPaid": true},
        "Limits": {"Cancelling": true, "ConnIdle": 9.0, "ConnectTimeout": 0.3, "MaxRetryAfter": 2.0,
                   "MayProbe": true, "OpenCap": 700, "RetryAfter": true, "SecondCopies": true, "SendCap": 4},
        "Rules": {"Cold": 7.0, "ColdFrom": 0.3, "Fall": 1.2, "FallMultiple": 2.5, "MustAskIn": 8.0}
    }
}"#;

fn parse_file() -> Config {
    Config::parse(FILE.as_bytes()).expect("a complete file")
}

#[test]
fn file_sets_addresses_limits_and_endpoint_list() {
    let config = parse_file();
    assert_eq!(config.name, "n2");
    assert_eq!(config.listen.to_string(), "127.0.0.1:9000");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:9001");
    assert_eq!(config.counter.map(|address| address.to_string()).as_deref(), Some("127.0.0.1:9002"));
    assert_eq!(config.operator.map(|address| address.to_string()).as_deref(), Some("127.0.0.1:9003"));
    assert_eq!(config.seed, 0x00ff_00ff_00ff_00ff);
    assert_eq!((config.max_descriptors, config.memory_bytes), (512, 32 << 20));
    assert_eq!(config.cached_version, 17);
    let [listed] = &config.cached_endpoints[..] else {
        panic!("expected one endpoint: {:?}", config.cached_endpoints)
    };
    let endpoint = &listed.endpoint;
    assert_eq!((&*endpoint.id, endpoint.zone, endpoint.cell), ("s-00000001", 1, 4));
    assert_eq!((endpoint.started, endpoint.lifecycle), (12.5, Lifecycle::Running));
    assert_eq!(listed.address.map(|address| address.to_string()).as_deref(), Some("127.0.0.1:9100"));
}

#[test]
fn file_sets_policy_settings() {
    let options = parse_file().options;
    let settings = &options.settings;
    assert_eq!((settings.gateway_index, settings.gateway_count, settings.zone), (2, 5, 1));
    assert_eq!((settings.has_counter, settings.counter_timeout), (true, 0.06));
    assert_eq!((settings.max_units, settings.units_settled_after_response), (3.0, true));
    assert_eq!(
        (settings.health_checks_enabled, settings.cancellation_enabled, settings.hedging_enabled),
        (true, true, true)
    );
    assert_eq!((settings.max_attempts, settings.max_open_requests), (4, 700));
    assert_eq!((settings.retry_after_enabled, settings.max_retry_after), (true, 2.0));
    assert_eq!((settings.discovery_is_polled, settings.max_poll_interval), (true, 8.0));
    assert_eq!((settings.slow_start_initial_share, settings.slow_start_window), (0.3, 7.0));
    assert_eq!((settings.overload_multiple, settings.overload_window), (2.5, 1.2));
    assert_eq!((settings.event_interval, settings.max_customers), (0.002, (32 << 20) / 4 / 512));
}

#[test]
fn file_sets_classes_and_plans() {
    let options = parse_file().options;
    let mut lookup = Class::default();
    lookup.latency_objective = 0.4;
    lookup.late_weight_share = 0.25;
    lookup.is_streamed = true;
    let mut submit = Class::default();
    submit.latency_objective = 0.8;
    submit.effect = Effect::IdempotencyKey { scope: IdempotencyScope::Zone, window: 1.5 };
    let mut order = Class::default();
    order.latency_objective = 0.6;
    order.effect = Effect::AtMostOnce;
    assert_eq!(options.settings.classes, [lookup, submit, order]);
    let mut small = Plan::default();
    small.rate = 2.0;
    small.burst = 6.0;
    small.max_concurrent_attempts = 3;
    small.priority_weight = 1.5;
    small.over_quota_weight_share = 0.2;
    small.over_quota_cost_share = 0.1;
    small.ceiling_rate = 4.0;
    small.ceiling_burst = 12.0;
    assert_eq!(options.settings.plans, [small]);
    assert_eq!(options.class_names, ["lookup", "submit", "order"]);
    assert_eq!(
        (options.plan_names, options.zone_names),
        (vec!["small".to_owned()], vec!["a".into(), "b".into()])
    );
    assert_eq!(
        (options.endpoint_idle_timeout, options.connect_timeout, options.longest_deadline),
        (9.0, 0.3, 4.0)
    );
}
