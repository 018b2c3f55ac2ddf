//! Parsing of the counter's replies.

use super::*;

#[test]
fn only_valid_replies_are_parsed() {
    assert!(matches!(parse(b"ok 41.5\r"), Some(CounterReply::Total(total)) if total == 41.5));
    assert!(matches!(parse(b"ok -2"), Some(CounterReply::Total(total)) if total == -2.0));
    assert!(matches!(parse(b"busy\r"), Some(CounterReply::NothingAdded)));
    assert!(matches!(parse(b"error no such call\r"), Some(CounterReply::NothingAdded)));
    assert!(matches!(parse(b"pong\r"), Some(CounterReply::Pong)));
    // A total that is not a finite number must not reach the quotas.
    for invalid in ["ok", "ok ", "ok NaN", "ok inf", "ok 1 2", "okay 1", "", "\u{fffd}"] {
        assert!(parse(invalid.as_bytes()).is_none(), "{invalid}");
    }
    assert!(parse(&[0xff, 0xfe]).is_none());
}
