//! Command line of the built program.

mod fakes;
use fakes::{EndpointBehaviour, FakeEndpoint, LaunchOptions, NodeBuilder, spawn_program};
use serde_json::{Value, json};
use std::{
    path::PathBuf,
    process::{Command, Output},
};

/// Configuration file, removed when dropped.
struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("oliverack-check-{name}-{}", std::process::id()));
        std::fs::write(&path, text).expect("a writable folder for temporary files");
        Self { path }
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Runs the program with `arguments` until it exits.
fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oliverack"));
    for name in ["NODE_CONFIG", "NODE_OPERATOR", "NODE_ACCEPT_FD", "OLIVERACK_LOG"] {
        command.env_remove(name);
    }
    command.args(arguments).output().expect("the program starts")
}

/// Result of `oliverack check`.
struct CheckResult {
    has_succeeded: bool,
    stdout: String,
    stderr: String,
}

fn run_check(file: &ConfigFile) -> CheckResult {
    let output = run_program(&["check", file.path.to_str().expect("a plain path")]);
    let text = |bytes| String::from_utf8(bytes).expect("text");
    CheckResult {
        has_succeeded: output.status.success(),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}

/// Returns a valid configuration; no process is started with it.
fn valid_config() -> Value {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.config()
}

/// Returns the valid configuration with the value at `pointer` replaced.
fn config_with(pointer: &str, value: Value) -> String {
    let mut config = valid_config();
    *config.pointer_mut(pointer).expect("an existing key") = value;
    config.to_string()
}

#[test]
fn check_of_valid_configuration_succeeds_and_lists_only_unknown_keys() {
    let mut config = valid_config();
    // Keys of the protocol that the gateway doesn't use.
    config["settings"]["Prices"] = json!({"Waste": 0.08});
    config["settings"]["Classes"][0]["Worth"] = json!(2.0);
    config["limits"]["cores"] = json!(1.0);
    let file = ConfigFile::new("usable", &config.to_string());
    let CheckResult { has_succeeded, stdout, stderr } = run_check(&file);
    assert!(has_succeeded && stderr.is_empty(), "{stderr}");
    assert_eq!(stdout, format!("{}: usable\n", file.path.display()));
    // Two misspelled keys.
    config["settings"]["Limits"]["ConIdle"] = json!(3);
    config["settings"]["Classes"][1]["slo"] = json!(3);
    let file = ConfigFile::new("unknown", &config.to_string());
    let CheckResult { has_succeeded, stdout, .. } = run_check(&file);
    let name = file.path.display();
    let expected = format!(
        "{name}: unknown key settings.Classes[].slo\n{name}: unknown key settings.Limits.ConIdle\n{name}: usable\n"
    );
    assert!(has_succeeded);
    assert_eq!(stdout, expected);
}

#[test]
fn check_of_invalid_configuration_prints_one_line_with_key_path() {
    let invalid_configs = [
        ("listen", config_with("/listen", json!("nowhere"))),
        ("seed", config_with("/seed", json!("xyz"))),
        ("limits.sockets", config_with("/limits/sockets", json!(3))),
        ("limits.sockets", config_with("/limits/sockets", json!("many"))),
        ("limits.memory_mb", config_with("/limits/memory_mb", json!(1))),
        ("known.servers[0].cell", config_with("/known/servers/0/cell", json!("hall"))),
        ("settings.PeersTotal", config_with("/settings/PeersTotal", json!(0))),
        ("settings.Me", config_with("/settings/Me", json!(7))),
        ("settings.Step", config_with("/settings/Step", json!("soon"))),
        ("settings.Classes[1].Effect", config_with("/settings/Classes/1/Effect", json!("twice"))),
        ("settings.Classes[0].Slo", config_with("/settings/Classes/0/Slo", json!("soon"))),
        ("settings.Limits.ConnIdle", config_with("/settings/Limits/ConnIdle", json!(-1))),
        ("settings.Limits.SecondCopies", config_with("/settings/Limits/SecondCopies", json!("yes"))),
        ("settings.Domain.CountLimit", config_with("/settings/Domain/CountLimit", json!(-1))),
        ("settings.Plans[].QuotaRate", config_with("/settings/Plans/0/QuotaRate", json!(-1))),
        ("malformed", "{".to_owned()),
        ("malformed", valid_config().to_string() + "}"),
    ];
    for (key_path, text) in invalid_configs {
        let CheckResult { has_succeeded, stdout, stderr } = run_check(&ConfigFile::new("bad", &text));
        assert!(!has_succeeded && stdout.is_empty(), "{key_path}: {stdout}");
        assert!(stderr.lines().count() == 1 && stderr.starts_with("oliverack: "), "{key_path}: {stderr}");
        assert!(stderr.contains(key_path), "{key_path}: {stderr}");
    }
    let CheckResult { has_succeeded, stderr, .. } =
        run_check(&ConfigFile { path: std::env::temp_dir().join("oliverack-check-no-such-file") });
    assert!(!has_succeeded && stderr.lines().count() == 1, "{stderr}");
}

#[test]
fn schema_covers_every_configuration_key() {
    let output = run_program(&["schema"]);
    assert!(output.status.success());
    let schema: Value = serde_json::from_slice(&output.stdout).expect("a schema is JSON");
    /// Returns the schema behind references and optional alternatives.
    fn resolve<'a>(schema: &'a Value, root: &'a Value) -> &'a Value {
        if let Some(name) = schema["$ref"].as_str() {
            return resolve(root.pointer(&name[1..]).expect("the referenced schema"), root);
        }
        let alternatives = schema["anyOf"].as_array().into_iter().flatten();
        let mut alternatives = alternatives.filter(|alternative| alternative["type"] != "null");
        alternatives.next().map_or(schema, |alternative| resolve(alternative, root))
    }
    fn assert_covers(schema: &Value, value: &Value, path: &str, root: &Value) {
        let schema = resolve(schema, root);
        match value {
            Value::Object(keys) => {
                for (key, value) in keys {
                    let property = &schema["properties"][key];
                    let is_unused = ["cores", "kind", "weight"].contains(&key.as_str());
                    assert!(!property.is_null() || is_unused, "{path}.{key} is not in {schema}");
                    assert_covers(property, value, &format!("{path}.{key}"), root);
                }
            }
            Value::Array(items) => {
                for item in items {
                    assert_covers(&schema["items"], item, &format!("{path}[]"), root);
                }
            }
            _ => {}
        }
    }
    assert_covers(&schema, &valid_config(), "", &schema);
}

#[test]
fn help_and_version_are_printed_and_unknown_command_fails() {
    let help = run_program(&["--help"]);
    let text = String::from_utf8(help.stdout).expect("text");
    assert!(help.status.success());
    for word in ["check", "schema", "NODE_CONFIG", "OLIVERACK_LOG"] {
        assert!(text.contains(word));
    }
    let version = run_program(&["--version"]);
    assert!(version.status.success());
    assert_eq!(version.stdout, format!("oliverack {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
    assert!(!run_program(&["chek"]).status.success());
    let stderr = String::from_utf8(run_program(&[]).stderr).expect("text");
    assert_eq!(stderr, "oliverack: NODE_CONFIG is not set: it must name the configuration file\n");
}

#[test]
fn invalid_configuration_prints_one_line_and_fails() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let invalid_config = |pointer: &str, value: Value| {
        let mut config = builder.config();
        *config.pointer_mut(pointer).expect("an existing key") = value;
        config.to_string()
    };
    let invalid_configs = [
        "{".to_owned(),
        invalid_config("/listen", json!("nowhere")),
        invalid_config("/listen", json!(endpoint.addr.to_string())),
        invalid_config("/seed", json!("xyz")),
        invalid_config("/limits/sockets", json!(3)),
        invalid_config("/settings/PeersTotal", json!(0)),
        invalid_config("/settings/Step", json!("soon")),
        invalid_config("/settings/Limits/ConnIdle", json!(-1)),
        invalid_config("/settings/Domain/CountLimit", json!(-1)),
    ];
    for config in invalid_configs {
        let (child, path) = spawn_program(&config, &LaunchOptions::default());
        let output = child.wait_with_output().expect("the process exits");
        let _ = std::fs::remove_file(path);
        let stderr = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && stderr.lines().count() == 1, "{config}: {stderr}");
        assert!(stderr.starts_with("oliverack: ") && !stderr.contains("panicked"), "{stderr}");
    }
}
