//! Decides when an attempt ends whose response is still awaited or still arriving.
//!
//! No other part of the gateway ends a response because of its time. Two demands meet here. A response of up
//! to [`MAX_SHORT_BODY_BYTES`] must be complete or visibly broken soon after the client's deadline. A longer
//! one must not be cut off while its endpoint still gives it, and its length may be unknown. While less than
//! the limit has arrived of such a response, its pace decides which demand holds.

use crate::{
    interface::{Seconds, Status, Time},
    policy::requests::arrival_pace::Pace,
};

/// Longest response body that must end soon after the deadline.
pub const MAX_SHORT_BODY_BYTES: u64 = 64 * 1024;
/// Time after the deadline at which a short response is broken off. Clients give it up 0.5 s after the
/// deadline, and a process may be held up for 0.15 s before it acts.
const SHORT_RESPONSE_GRACE: Seconds = 0.3;
/// Time after the deadline by which a response that arrives slowly must have turned out to be long.
const LONG_RESPONSE_GRACE: Seconds = 0.45;
/// Longest silence of an endpoint within a long response after the deadline.
const MAX_SILENCE: Seconds = 10.0;
/// Time until a response is checked again that may go on for now.
const CHECK_INTERVAL: Seconds = 0.02;

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ResponseProgress {
    /// Nothing is in transit: the attempt waits for a connection, or for the first byte of the response.
    Awaited,
    /// The request is written partly.
    SendingRequest,
    /// The response is arriving, and the client has been sent nothing of it.
    Arriving,
    /// The response is forwarded to the client as it arrives.
    Streaming(StreamProgress),
}

/// How far a response has come that is forwarded as it arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamProgress {
    /// Length of the complete body in bytes; `None` if it is unknown.
    pub length: Option<u64>,
    /// Bytes of the body that have arrived.
    pub received_bytes: u64,
    /// Pace at which they arrived.
    pub pace: Pace,
    /// Time since the gateway has received anything from the endpoint; `None` while it waits for the client
    /// to take what has arrived.
    pub silence: Option<Seconds>,
    /// Time for which the gateway has waited for the client to take what had arrived.
    pub client_wait: Seconds,
}

impl StreamProgress {
    fn is_long(&self) -> bool {
        self.received_bytes.max(self.length.unwrap_or(0)) > MAX_SHORT_BODY_BYTES
    }

    /// Returns whether a response that has not passed the limit may turn out to be long: it passes the limit
    /// by `until` at its present rate, or arrives as a long one of a slow endpoint does.
    fn may_become_long(&self, now: Time, until: Time) -> bool {
        let expected_bytes = self.pace.bytes_per_second * (until - now).max(0.0);
        let will_pass = self.received_bytes as f64 + expected_bytes > MAX_SHORT_BODY_BYTES as f64;
        self.length.is_none() && (will_pass || self.pace.goes_on(self.received_bytes))
    }
}

/// Reason why an attempt is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// No byte of the response has arrived in time.
    NoResponse,
    /// The response has begun, and its time is over.
    ResponseOverdue,
    /// The endpoint has been silent within a long response for too long.
    EndpointSilent,
}

impl EndReason {
    /// Returns the status of an attempt that is ended for this reason.
    pub fn status(self) -> Status {
        match self {
            Self::NoResponse | Self::ResponseOverdue => Status::Timeout,
            Self::EndpointSilent => Status::Reset,
        }
    }
}

/// Time at which an attempt ends unless it has made progress by then, and the reason.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEndTime {
    /// The attempt ends if this is not in the future. Otherwise it is checked again at this time.
    pub at: Time,
    /// Reason why it ends.
    pub reason: EndReason,
}

/// Times that limit one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseLimits {
    /// Time by which the first byte of the response must arrive.
    pub timeout_at: Time,
    /// Time until which the client waits.
    pub deadline: Time,
}

impl ResponseLimits {
    /// Returns when the attempt ends, given how far it has come.
    pub fn end_time(&self, progress: &ResponseProgress, now: Time) -> AttemptEndTime {
        let (at, reason) = match progress {
            ResponseProgress::Awaited => (self.timeout_at, EndReason::NoResponse),
            ResponseProgress::SendingRequest => (self.deadline, EndReason::NoResponse),
            ResponseProgress::Arriving => (self.deadline, EndReason::ResponseOverdue),
            ResponseProgress::Streaming(stream) if stream.is_long() => {
                (self.long_stream_end(stream, now), EndReason::EndpointSilent)
            }
            ResponseProgress::Streaming(stream) => {
                (self.short_stream_end(stream, now), EndReason::ResponseOverdue)
            }
        };
        AttemptEndTime { at, reason }
    }

    fn long_stream_end(&self, stream: &StreamProgress, now: Time) -> Time {
        let silence = stream.silence.unwrap_or(0.0);
        (now - silence + MAX_SILENCE).max(self.deadline)
    }

    fn short_stream_end(&self, stream: &StreamProgress, now: Time) -> Time {
        let deadline = self.deadline + stream.client_wait;
        let end_at = deadline + SHORT_RESPONSE_GRACE;
        if stream.may_become_long(now, deadline + LONG_RESPONSE_GRACE) {
            return end_at.max(now + CHECK_INTERVAL);
        }
        end_at
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/response_limits.rs"]
mod tests;
