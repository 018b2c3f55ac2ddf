//! Format of the lines of text that the counter and its clients exchange.

/// Length of the longest reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 256;
/// Line of a call that changes nothing.
pub const PING: &[u8] = b"ping\r\n";
/// Longest time for which the counter may keep a new counter, in milliseconds.
const MAX_TTL_MS: f64 = 60_000.0;

/// Returns the line of a call that adds `amount` to a counter, which is kept for `ttl` seconds if it is new.
pub fn add_line(counter: u64, amount: f64, ttl: f64) -> Vec<u8> {
    let ttl_ms = (ttl * 1000.0).round().clamp(1.0, MAX_TTL_MS) as u64;
    format!("bump {counter} {amount} {ttl_ms}\r\n").into_bytes()
}

/// Reply of the counter.
pub enum CounterReply {
    /// The amount was added; the counter's total after it.
    Total(f64),
    /// The counter was busy or found an error, and added nothing.
    NothingAdded,
    /// The reply to a ping.
    Pong,
}

/// Parses a reply from a line without its line feed. Returns `None` if the line is not a reply.
pub fn parse(line: &[u8]) -> Option<CounterReply> {
    let text = std::str::from_utf8(line).ok()?.trim_end_matches('\r');
    match text.split_once(' ') {
        Some(("ok", total)) => {
            total.parse().ok().filter(|value: &f64| value.is_finite()).map(CounterReply::Total)
        }
        Some(("error", _)) => Some(CounterReply::NothingAdded),
        None if text == "busy" || text == "error" => Some(CounterReply::NothingAdded),
        None if text == "pong" => Some(CounterReply::Pong),
        _ => None,
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/counter_protocol.rs"]
mod tests;
