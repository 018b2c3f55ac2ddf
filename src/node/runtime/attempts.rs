//! Carries out attempts, and tells the policy how they ended.

use crate::node::{
    connection::{
        clients::FinalAnswer,
        endpoint_attempt::AttemptEnd,
        endpoint_pool::Target,
        write_progress::{Trace, may_have_run},
    },
    runtime::{
        driver::Driver,
        open_requests::{Attempt, Given},
        timers::TimerPurpose,
    },
    wire::{
        client_request::UpstreamRequest,
        stream::{self, Content, Piece},
    },
};
use oliverack::{EndpointId, Event, LoadReport, RequestId, Status, Time};
use std::rc::Rc;
use tokio::{sync::mpsc, task::AbortHandle};
use tracing::debug;

impl Driver {
    /// Begins an attempt, if its request still waits for it and the endpoint is known.
    pub(super) fn send(
        self: &Rc<Self>,
        now: Time,
        request_id: RequestId,
        endpoint: EndpointId,
        timeout: f64,
        dedup_until: Option<Time>,
    ) {
        let mut table = self.open.borrow_mut();
        let target = self.endpoints.target(&endpoint);
        let Some(open) = table.get_mut(&request_id) else { return };
        let number = open.attempts.len() as u32;
        // No time-out of its own means the client's; none is longer.
        let left = open.expires.map_or(open.remaining, |expires| expires - now);
        let wait = if timeout == 0.0 { left } else { timeout.min(left) };
        let is_finished = !open.is_waiting();
        let (Some(target), false, true) = (target, is_finished, wait > 0.0) else {
            open.attempts.push(None);
            drop(table);
            self.wind_up(&request_id);
            return self.events.borrow_mut().push_back(not_sent(request_id, number, endpoint, is_finished));
        };
        // A body that comes in pieces goes out once at most, and may take its time.
        if let (Some(until), Content::Whole(_)) = (dedup_until, &open.upstream.body) {
            open.dedup_until = until;
            self.timers.set(until, TimerPurpose::DedupEnd(request_id.clone()));
        }
        debug!(request = ?open.upstream.transaction_id, attempt = number, endpoint = %endpoint, wait, "attempt begun");
        let trace = Trace::default();
        let upstream = open.upstream.clone();
        let task = self.spawn_attempt(request_id.clone(), number, target, upstream, wait, trace.clone());
        let timer =
            open.expires.map(|_| self.timers.set(now + wait, TimerPurpose::Attempt(request_id, number)));
        open.attempts.push(Some(Attempt { endpoint, sent: now, wait, begun: None, trace, task, timer }));
    }

    fn spawn_attempt(
        self: &Rc<Self>,
        request_id: RequestId,
        number: u32,
        target: Target,
        upstream: Rc<UpstreamRequest>,
        wait: f64,
        trace: Trace,
    ) -> AbortHandle {
        let driver = self.clone();
        let task = tokio::task::spawn_local(async move {
            let begin = |length| driver.begun(&request_id, number, length);
            let may_begin = || driver.may_begin(&request_id);
            let end = driver.endpoints.attempt(&target, &upstream, wait, &trace, may_begin, begin).await;
            driver.ended(&request_id, number, end);
        });
        task.abort_handle()
    }

    /// A large answer has begun: from here on it is the request's, however it ends. `None`: it has another one.
    fn begun(
        self: &Rc<Self>,
        request_id: &RequestId,
        number: u32,
        length: Option<u64>,
    ) -> Option<mpsc::Sender<Piece>> {
        let mut table = self.open.borrow_mut();
        let open = table.get_mut(request_id)?;
        open.attempt_mut(number)?;
        let (sender, pieces) = stream::pipe();
        let given = open.give(FinalAnswer::Streamed { length, pieces });
        if given == Given::Before {
            return None;
        }
        let attempt = open.attempt_mut(number)?;
        attempt.begun = Some(self.clock.now());
        let timer = attempt.timer.take();
        drop(table);
        timer.into_iter().for_each(|timer| self.timers.cancel(timer));
        self.wind_up(request_id);
        self.post(Event::ResponseStarted { request_id: request_id.clone() });
        (given == Given::ToClient).then_some(sender)
    }

    fn ended(self: &Rc<Self>, request_id: &RequestId, number: u32, end: AttemptEnd) {
        let mut table = self.open.borrow_mut();
        let Some(open) = table.get_mut(request_id) else { return };
        let Some(attempt) = open.attempts.get_mut(number as usize).and_then(Option::take) else { return };
        let (request, endpoint) = (&open.upstream.transaction_id, &attempt.endpoint);
        debug!(?request, attempt = number, %endpoint, reason = ?end.status, "attempt ended");
        attempt.timer.into_iter().for_each(|timer| self.timers.cancel(timer));
        if end.status == Status::Ok {
            open.give(FinalAnswer::Served(end.body));
        }
        let is_finished = !open.is_waiting();
        drop(table);
        self.wind_up(request_id);
        self.post(Event::AttemptEnded {
            request_id: request_id.clone(),
            attempt: number,
            endpoint: attempt.endpoint,
            status: end.status,
            // A long answer's time is its client's affair.
            elapsed: (attempt.begun.unwrap_or_else(|| self.clock.now()) - attempt.sent).max(0.0),
            is_finished,
            actual_units: None,
            load: end.load,
        });
    }

    /// Ends an attempt from this side: dropping its task closes the connection.
    pub(super) fn stop(self: &Rc<Self>, request_id: &RequestId, number: u32, status: Status) {
        let stopped = {
            let mut table = self.open.borrow_mut();
            let attempt = table.get_mut(request_id).and_then(|open| open.attempt_mut(number));
            attempt.map(|attempt| {
                attempt.task.abort();
                may_have_run(&attempt.trace)
            })
        };
        if let Some(may_have_run) = stopped {
            // Not written whole: it was never sent, whatever ended it.
            let status = if may_have_run { status } else { Status::NotSent };
            self.ended(request_id, number, AttemptEnd::without_response(status));
        }
    }
}

/// The outcome of an attempt that was not begun.
fn not_sent(request_id: RequestId, attempt: u32, endpoint: EndpointId, is_finished: bool) -> Event {
    let (status, load) = (Status::NotSent, LoadReport::default());
    Event::AttemptEnded {
        request_id,
        attempt,
        endpoint,
        status,
        elapsed: 0.0,
        is_finished,
        actual_units: None,
        load,
    }
}
