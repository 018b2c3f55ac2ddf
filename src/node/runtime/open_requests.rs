//! Requests that are open, and their attempts.

use crate::node::{
    connection::{
        clients::FinalAnswer,
        write_progress::{Trace, may_have_run},
    },
    runtime::timers::TimerKey,
    wire::client_request::UpstreamRequest,
};
use oliverack::{EndpointId, Time};
use std::rc::Rc;
use tokio::{sync::oneshot, task::AbortHandle};
use tracing::debug;

/// An attempt that is out.
pub struct Attempt {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent: Time,
    /// Seconds to wait for its answer, once its request is written.
    pub wait: f64,
    /// When its answer began to pass on.
    pub begun: Option<Time>,
    /// How much of its request has been written.
    pub trace: Trace,
    /// Ends it, and closes its connection.
    pub task: AbortHandle,
    /// None before the request has come whole, and after its answer has begun.
    pub timer: Option<TimerKey>,
}

impl Attempt {
    /// Its endpoint cannot have begun to work on it.
    fn is_unsent(&self) -> bool {
        self.begun.is_none() && !may_have_run(&self.trace)
    }
}

/// Where a final answer went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Given {
    /// To the client that waited.
    ToClient,
    /// Nowhere: the client has gone.
    ToNobody,
    /// Nowhere: there was one before, or none is owed.
    Before,
}

/// A request that waits for its answer, or whose attempts are out.
pub struct OpenRequest {
    /// Takes the one final answer; `None` once that was given, or is owed to nobody.
    answer: Option<oneshot::Sender<FinalAnswer>>,
    /// What its attempts send.
    pub upstream: Rc<UpstreamRequest>,
    /// Seconds that the client waits, from its last byte on.
    pub remaining: f64,
    /// `None`: its body is still on its way.
    pub expires: Option<Time>,
    /// Set once it has come whole.
    pub deadline: Option<TimerKey>,
    /// From then on none of its attempts may be written.
    pub dedup_until: Time,
    /// By number; `None` once it has ended.
    pub attempts: Vec<Option<Attempt>>,
}

impl OpenRequest {
    /// A request that has just come.
    pub fn new(answer: oneshot::Sender<FinalAnswer>, upstream: Rc<UpstreamRequest>, remaining: f64) -> Self {
        Self {
            answer: Some(answer),
            upstream,
            remaining,
            expires: None,
            deadline: None,
            dedup_until: f64::INFINITY,
            attempts: Vec::new(),
        }
    }

    /// The client has gone; whether it was waiting.
    pub fn abandon(&mut self) -> bool {
        self.answer.take().is_some()
    }

    /// Its client waits for the final answer.
    pub fn is_waiting(&self) -> bool {
        self.answer.is_some()
    }

    /// Gives the one final answer.
    pub fn give(&mut self, answer: FinalAnswer) -> Given {
        let Some(sender) = self.answer.take() else { return Given::Before };
        debug!(request = ?self.upstream.transaction_id, answer = answer.name(), "final answer");
        // A receiver that is gone belongs to a client that is gone, and says so itself.
        sender.send(answer).map_or(Given::ToNobody, |()| Given::ToClient)
    }

    /// Nothing more is owed for it, and nothing of it is out.
    pub fn is_done(&self) -> bool {
        self.answer.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// An attempt that is out.
    pub fn attempt_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize)?.as_mut()
    }

    /// The numbers of the attempts that no endpoint can have begun to work on.
    pub fn unsent_attempts(&self) -> Vec<u32> {
        let attempts = (0..).zip(&self.attempts);
        let unsent = attempts.filter(|(_, attempt)| attempt.as_ref().is_some_and(Attempt::is_unsent));
        unsent.map(|(number, _)| number).collect()
    }
}
