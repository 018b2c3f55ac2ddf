//! The values of the variable that sets the log.

use super::*;

#[test]
fn level_and_format_in_any_order_are_parsed_and_default_if_missing() {
    let read = |text: &str| text.parse::<LogSettings>().expect("a level or a format");
    assert_eq!(read(""), LogSettings { level: LevelFilter::INFO, format: Format::Text });
    assert_eq!(read("json"), LogSettings { level: LevelFilter::INFO, format: Format::Json });
    assert_eq!(read("debug"), LogSettings { level: LevelFilter::DEBUG, format: Format::Text });
    assert_eq!(read("json, trace"), LogSettings { level: LevelFilter::TRACE, format: Format::Json });
    assert_eq!(read("warn,text"), read("text,warn"));
}

#[test]
fn unknown_word_is_an_error_that_names_it() {
    let error = "info,xml".parse::<LogSettings>().expect_err("not a format");
    assert!(error.to_string().contains("\"xml\""), "{error}");
}
