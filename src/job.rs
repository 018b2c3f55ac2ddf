//! A request on its way, and the attempts to have it served.

use crate::interface::{Request, ServerId, Time};

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
    pub server: ServerId,
    /// When it was sent.
    pub sent: Time,
    /// Where it stands.
    pub ran: Ran,
    /// Its answer has begun: the work is done, whatever time the client takes to read of it.
    pub begun: bool,
}

/// A request that is open, or whose attempts are.
#[derive(Debug)]
pub struct Job {
    /// What came.
    pub request: Request,
    /// When it came.
    pub arrived: Time,
    /// In the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or is owed none.
    pub over: bool,
    /// Its answer streams.
    pub streaming: bool,
}

impl Job {
    /// How many attempts are out.
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ran == Ran::Out).count()
    }
}
