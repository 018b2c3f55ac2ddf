//! What the variable of the log may say.

use super::*;

#[test]
fn a_level_and_a_form_stand_in_any_order_and_each_may_be_missing() {
    let read = |text: &str| text.parse::<LogSettings>().expect("a level or a form");
    assert_eq!(read(""), LogSettings { level: LevelFilter::INFO, form: Form::Text });
    assert_eq!(read("json"), LogSettings { level: LevelFilter::INFO, form: Form::Json });
    assert_eq!(read("debug"), LogSettings { level: LevelFilter::DEBUG, form: Form::Text });
    assert_eq!(read("json, trace"), LogSettings { level: LevelFilter::TRACE, form: Form::Json });
    assert_eq!(read("warn,text"), read("text,warn"));
}

#[test]
fn another_word_is_an_error_that_names_it() {
    let error = "info,xml".parse::<LogSettings>().expect_err("no form");
    assert!(error.to_string().contains("\"xml\""), "{error}");
}
