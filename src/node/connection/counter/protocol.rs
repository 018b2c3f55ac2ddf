//! The counter's lines of text.

/// Longest answer line.
pub const MAX_LINE: usize = 256;
/// A call that costs nothing and shows that the counter is there.
pub const PING: &[u8] = b"ping\r\n";
/// Most milliseconds for which a name is kept.
const MAX_LIFE_MS: f64 = 60_000.0;

/// The line of a call that adds to a count; a new name is kept for `ttl` seconds.
pub fn call(name: u64, amount: f64, ttl: f64) -> Vec<u8> {
    let life = (ttl * 1000.0).round().clamp(1.0, MAX_LIFE_MS) as u64;
    format!("bump {name} {amount} {life}\r\n").into_bytes()
}

/// An answer of the counter.
pub enum CounterAnswer {
    Total(f64),
    NothingAdded,
    Pong,
}

/// Reads an answer line, without its end; `None`: it is none.
pub fn parse(line: &[u8]) -> Option<CounterAnswer> {
    let text = std::str::from_utf8(line).ok()?.trim_end_matches('\r');
    match text.split_once(' ') {
        Some(("ok", total)) => total.parse().ok().filter(|t: &f64| t.is_finite()).map(CounterAnswer::Total),
        Some(("error", _)) => Some(CounterAnswer::NothingAdded),
        None if text == "busy" || text == "error" => Some(CounterAnswer::NothingAdded),
        None if text == "pong" => Some(CounterAnswer::Pong),
        _ => None,
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/counter_protocol.rs"]
mod tests;
