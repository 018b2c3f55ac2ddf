//! Tests of parsing the log settings.

use super::*;

#[test]
fn level_and_format_are_optional_and_in_any_order() {
    let parse = |text: &str| text.parse::<LogSettings>().expect("a level or a format");
    assert_eq!(parse(""), LogSettings { level: LevelFilter::INFO, format: Format::Text });
    assert_eq!(parse("json"), LogSettings { level: LevelFilter::INFO, format: Format::Json });
    assert_eq!(parse("debug"), LogSettings { level: LevelFilter::DEBUG, format: Format::Text });
    assert_eq!(parse("json, trace"), LogSettings { level: LevelFilter::TRACE, format: Format::Json });
    assert_eq!(parse("warn,text"), parse("text,warn"));
}

#[test]
fn error_names_unknown_word() {
    let error = "info,xml".parse::<LogSettings>().expect_err("not a format");
    assert!(error.to_string().contains("\"xml\""), "{error}");
}
