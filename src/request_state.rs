//! A request on its way, and the attempts to have it served.

use crate::interface::{EndpointId, Request, Time};

/// Where an attempt stands, as far as a repeat could do harm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ran {
    /// It is out.
    Out,
    /// It has ended and has surely not run.
    Never,
    /// It has ended and may have run.
    Maybe,
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent: Time,
    /// Where it stands.
    pub ran: Ran,
    /// Its answer has begun: the work is done, whatever time the client takes to read of it.
    pub has_started: bool,
}

/// A request that is open, or whose attempts are.
#[derive(Debug)]
pub struct RequestState {
    /// What came.
    pub request: Request,
    /// When it came.
    pub arrived: Time,
    /// In the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or is owed none.
    pub is_finished: bool,
    /// Its answer streams.
    pub streaming: bool,
}

impl RequestState {
    /// A request that has just come.
    pub fn new(request: Request, arrived: Time) -> Self {
        Self { request, arrived, attempts: Vec::new(), is_finished: false, streaming: false }
    }

    /// The first attempt that may have run, or may yet.
    pub fn first_that_may_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.ran != Ran::Never)
    }

    /// Its one attempt's answer has begun to stream; where that went. `None`: it is not the only one, or has begun
    /// before.
    pub fn begin_stream(&mut self) -> Option<EndpointId> {
        self.streaming = true;
        let mut out = self.attempts.iter_mut().filter(|a| a.ran == Ran::Out && !a.has_started);
        let (Some(attempt), None) = (out.next(), out.next()) else { return None };
        attempt.has_started = true;
        Some(attempt.endpoint.clone())
    }

    /// Whether the answer to this attempt has begun to stream.
    pub fn has_begun(&self, attempt: u32) -> bool {
        self.attempts.get(attempt as usize).is_some_and(|a| a.has_started)
    }

    /// How many attempts are out.
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ran == Ran::Out).count()
    }
}
