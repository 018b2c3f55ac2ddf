//! Invariants of one gateway under random valid event sequences with fixed seeds.

mod common;
use common::{GatewayHarness, PlanBuilder, endpoint, request, settings};
use oliverack::{
    Action, Effect, EndpointId, Event, Lifecycle, ListKind, Plan, Request, RequestId, Status, Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// A linear congruential generator: a seed always gives the same sequence.
struct Random(u64);

impl Random {
    /// Returns a number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % limit
    }
}

/// An attempt that has not ended.
struct RunningAttempt {
    request_id: RequestId,
    index: u32,
    endpoint: EndpointId,
    times_out_at: Time,
}

/// Surroundings of the gateway, and the history of its requests.
#[derive(Default)]
struct Environment {
    deadlines: BTreeMap<RequestId, Time>,
    /// Requests that have their final response.
    ended: BTreeSet<RequestId>,
    /// For each request, whether each of its attempts certainly never ran.
    attempts: BTreeMap<RequestId, Vec<bool>>,
    running_attempts: Vec<RunningAttempt>,
    /// Counts of the counter calls without a reply, in the order of the calls.
    counter_calls: Vec<u64>,
    /// Time and token of each timer that is not yet due.
    timers: Vec<(Time, u64)>,
    /// Endpoints that are draining or no longer exist.
    stopped: BTreeSet<EndpointId>,
    /// Units in each count, by the name of the count.
    counter_totals: BTreeMap<u64, f64>,
}

impl Environment {
    /// Checks the actions against the invariants and records them.
    fn check_actions(&mut self, now: Time, is_at_most_once: bool, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { request_id, endpoint, timeout, .. } => {
                    assert!(!self.ended.contains(request_id), "attempt after the final response");
                    assert!(!self.stopped.contains(endpoint), "attempt at a draining or deleted endpoint");
                    let attempts = self.attempts.entry(request_id.clone()).or_default();
                    assert!(
                        !is_at_most_once || attempts.iter().all(|never_ran| *never_ran),
                        "a request that must not run twice may do so"
                    );
                    self.running_attempts.push(RunningAttempt {
                        request_id: request_id.clone(),
                        index: attempts.len() as u32,
                        endpoint: endpoint.clone(),
                        times_out_at: now + timeout,
                    });
                    attempts.push(false);
                }
                Action::Reject { request_id, .. } | Action::Fail { request_id } => {
                    let never_ran = self
                        .attempts
                        .get(request_id)
                        .is_none_or(|attempts| attempts.iter().all(|never_ran| *never_ran));
                    let is_rejection = matches!(action, Action::Reject { .. });
                    assert!(
                        !(is_at_most_once && is_rejection) || never_ran,
                        "rejected though the request may have run"
                    );
                    assert!(self.ended.insert(request_id.clone()), "second final response");
                    assert!(
                        now <= self.deadlines[request_id] + 0.008,
                        "final response more than 8 ms after the deadline"
                    );
                }
                Action::AddToCounter { counter, amount, .. } => {
                    *self.counter_totals.entry(*counter).or_default() += amount;
                    self.counter_calls.push(*counter);
                }
                Action::SetTimer { token, at } => self.timers.push((*at, *token)),
                _ => {}
            }
        }
    }
}

/// Sends random events to a gateway and checks the resulting actions. Returns all actions.
fn run_random_events(seed: u64) -> Vec<Action> {
    let (mut random, mut environment) = (Random(seed), Environment::default());
    let is_at_most_once = seed % 3 == 0;
    let mut settings = settings();
    settings.classes[0].effect = if is_at_most_once { Effect::AtMostOnce } else { Effect::Idempotent };
    settings.plans = vec![
        PlanBuilder::new(10.0, 20.0).ceiling(20.0, 40.0).build(),
        PlanBuilder::new(1.0, 3.0).max_concurrent_attempts(2).build(),
        Plan::default(),
    ];
    let mut harness = GatewayHarness::new(settings);
    for n in 0..1500 {
        harness.now += 0.002 * random.below(4) as f64;
        let due: Vec<u64> =
            environment.timers.iter().filter(|timer| timer.0 <= harness.now).map(|timer| timer.1).collect();
        environment.timers.retain(|timer| timer.0 > harness.now);
        for token in due {
            let actions = harness.handle(Event::Timer { token });
            environment.check_actions(harness.now, is_at_most_once, &actions);
        }
        while let Some(i) =
            environment.running_attempts.iter().position(|attempt| attempt.times_out_at <= harness.now)
        {
            let RunningAttempt { request_id, index, endpoint, .. } = environment.running_attempts.remove(i);
            let actions = harness.attempt_ended(&request_id, index, &endpoint, Status::Timeout);
            environment.check_actions(harness.now, is_at_most_once, &actions);
        }
        let actions = match random.below(10) {
            0..4 => {
                let request = Request {
                    plan: random.below(3) as usize,
                    customer_gateway_count: 1 + random.below(3) as u32,
                    customer: format!("c{}", random.below(4)).as_str().into(),
                    deadline: harness.now + 0.01 * random.below(100) as f64,
                    ..request(&format!("j{n}"), harness.now)
                };
                environment.deadlines.insert(request.id.clone(), request.deadline);
                harness.handle(Event::Request(request))
            }
            4..7 if !environment.running_attempts.is_empty() => {
                let i = random.below(environment.running_attempts.len() as u64) as usize;
                let RunningAttempt { request_id, index, endpoint, .. } =
                    environment.running_attempts.remove(i);
                let statuses =
                    [Status::Ok, Status::Error, Status::Rejected, Status::ConnectFailed, Status::Reset];
                let status = statuses[random.below(5) as usize];
                let never_ran = matches!(status, Status::Rejected | Status::ConnectFailed);
                environment.attempts.get_mut(&request_id).expect("a request with attempts")[index as usize] =
                    never_ran;
                if status == Status::Ok {
                    environment.ended.insert(request_id.clone());
                }
                harness.attempt_ended(&request_id, index, &endpoint, status)
            }
            7 | 8 if !environment.counter_calls.is_empty() => {
                let counter_name = environment.counter_calls.remove(0);
                if random.below(200) == 0 {
                    environment.counter_totals.clear();
                }
                let statuses = [Status::Ok, Status::Ok, Status::Ok, Status::Timeout, Status::Rejected];
                let total = environment.counter_totals.get(&counter_name).copied().unwrap_or(0.0);
                harness.counter_replied(counter_name, statuses[random.below(5) as usize], total)
            }
            _ => {
                let name = ["a", "b", "c"][random.below(3) as usize];
                let lifecycle =
                    [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone][random.below(3) as usize];
                match lifecycle {
                    Lifecycle::Running => environment.stopped.remove(name),
                    _ => environment.stopped.insert(name.into()),
                };
                harness.handle(Event::EndpointsUpdated {
                    kind: ListKind::Changes,
                    endpoints: vec![endpoint(name, lifecycle, harness.now)],
                })
            }
        };
        environment.check_actions(harness.now, is_at_most_once, &actions);
    }
    for (request_id, deadline) in &environment.deadlines {
        let is_running = environment.running_attempts.iter().any(|attempt| attempt.request_id == *request_id);
        assert!(
            environment.ended.contains(request_id) || is_running || *deadline > harness.now,
            "{request_id} has no final response after its deadline"
        );
    }
    harness.actions
}

#[test]
fn random_event_sequences_keep_invariants() {
    for seed in 0..60 {
        run_random_events(seed);
    }
}

#[test]
fn same_events_give_same_actions() {
    assert_eq!(run_random_events(5), run_random_events(5));
}
