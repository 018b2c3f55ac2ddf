//! The counter's answers, read from their bytes.

use super::*;

#[test]
fn only_the_counters_own_words_are_answers() {
    assert!(matches!(parse(b"ok 41.5\r"), Some(CounterAnswer::Total(t)) if t == 41.5));
    assert!(matches!(parse(b"ok -2"), Some(CounterAnswer::Total(t)) if t == -2.0));
    assert!(matches!(parse(b"busy\r"), Some(CounterAnswer::NothingAdded)));
    assert!(matches!(parse(b"error no such call\r"), Some(CounterAnswer::NothingAdded)));
    assert!(matches!(parse(b"pong\r"), Some(CounterAnswer::Pong)));
    // A total that is no number must not reach the quotas.
    for garbage in ["ok", "ok ", "ok NaN", "ok inf", "ok 1 2", "okay 1", "", "\u{fffd}"] {
        assert!(parse(garbage.as_bytes()).is_none(), "{garbage}");
    }
    assert!(parse(&[0xff, 0xfe]).is_none());
}
