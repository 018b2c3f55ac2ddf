//! The counter's replies, read from their bytes.

use super::*;

#[test]
fn line_that_is_not_a_reply_is_rejected() {
    assert!(matches!(parse(b"ok 41.5\r"), Some(CounterReply::Total(t)) if t == 41.5));
    assert!(matches!(parse(b"ok -2"), Some(CounterReply::Total(t)) if t == -2.0));
    assert!(matches!(parse(b"busy\r"), Some(CounterReply::NothingAdded)));
    assert!(matches!(parse(b"error no such call\r"), Some(CounterReply::NothingAdded)));
    assert!(matches!(parse(b"pong\r"), Some(CounterReply::Pong)));
    // A total that is no number must not reach the quotas.
    for garbage in ["ok", "ok ", "ok NaN", "ok inf", "ok 1 2", "okay 1", "", "\u{fffd}"] {
        assert!(parse(garbage.as_bytes()).is_none(), "{garbage}");
    }
    assert!(parse(&[0xff, 0xfe]).is_none());
}
