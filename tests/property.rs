//! Random valid event sequences with fixed seeds: the invariants that one gateway can keep hold.

mod common;
use common::{GatewayHarness, PlanBuilder, endpoint, request, settings};
use oliverack::{
    Action, Effect, EndpointId, Event, Lifecycle, ListKind, Plan, Request, RequestId, Status, Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// A small fixed generator, so that a seed always gives the same sequence.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

/// An attempt that has not ended.
struct RunningAttempt {
    request_id: RequestId,
    index: u32,
    endpoint: EndpointId,
    times_out_at: Time,
}

/// What surrounds the gateway, and what has happened so far.
#[derive(Default)]
struct World {
    deadline: BTreeMap<RequestId, Time>,
    ended: BTreeSet<RequestId>,
    /// For each attempt of a request, whether it certainly never ran.
    attempts: BTreeMap<RequestId, Vec<bool>>,
    running: Vec<RunningAttempt>,
    calls: Vec<u64>,
    timers: Vec<(Time, u64)>,
    stopped: BTreeSet<EndpointId>,
    counter: BTreeMap<u64, f64>,
}

impl World {
    fn check(&mut self, now: Time, unsafe_class: bool, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { request_id, endpoint, timeout, .. } => {
                    assert!(!self.ended.contains(request_id), "sent after its end");
                    assert!(!self.stopped.contains(endpoint), "sent to a draining or deleted endpoint");
                    let attempts = self.attempts.entry(request_id.clone()).or_default();
                    assert!(!unsafe_class || attempts.iter().all(|never| *never), "may run twice");
                    self.running.push(RunningAttempt {
                        request_id: request_id.clone(),
                        index: attempts.len() as u32,
                        endpoint: endpoint.clone(),
                        times_out_at: now + timeout,
                    });
                    attempts.push(false);
                }
                Action::Reject { request_id, .. } | Action::Fail { request_id } => {
                    let clean = self.attempts.get(request_id).is_none_or(|a| a.iter().all(|never| *never));
                    let refuses = matches!(action, Action::Reject { .. });
                    assert!(!(unsafe_class && refuses) || clean, "rejected though it may have run");
                    assert!(self.ended.insert(request_id.clone()), "ended twice");
                    assert!(now <= self.deadline[request_id] + 0.008, "answered too late");
                }
                Action::AddToCounter { counter, amount, .. } => {
                    *self.counter.entry(*counter).or_default() += amount;
                    self.calls.push(*counter);
                }
                Action::SetTimer { token, at } => self.timers.push((*at, *token)),
                _ => {}
            }
        }
    }
}

fn play(seed: u64) -> Vec<Action> {
    let (mut dice, mut world) = (Dice(seed), World::default());
    let unsafe_class = seed % 3 == 0;
    let mut settings = settings();
    settings.classes[0].effect = if unsafe_class { Effect::AtMostOnce } else { Effect::Idempotent };
    settings.plans = vec![
        PlanBuilder::new(10.0, 20.0).ceiling(20.0, 40.0).build(),
        PlanBuilder::new(1.0, 3.0).max_concurrent_attempts(2).build(),
        Plan::default(),
    ];
    let mut harness = GatewayHarness::new(settings);
    for n in 0..1500 {
        harness.now += 0.002 * dice.roll(4) as f64;
        let due: Vec<u64> = world.timers.iter().filter(|t| t.0 <= harness.now).map(|t| t.1).collect();
        world.timers.retain(|t| t.0 > harness.now);
        for token in due {
            let actions = harness.handle(Event::Timer { token });
            world.check(harness.now, unsafe_class, &actions);
        }
        while let Some(i) = world.running.iter().position(|attempt| attempt.times_out_at <= harness.now) {
            let RunningAttempt { request_id, index, endpoint, .. } = world.running.remove(i);
            let actions = harness.attempt_ended(&request_id, index, &endpoint, Status::Timeout);
            world.check(harness.now, unsafe_class, &actions);
        }
        let actions = match dice.roll(10) {
            0..4 => {
                let request = Request {
                    plan: dice.roll(3) as usize,
                    customer_gateway_count: 1 + dice.roll(3) as u32,
                    customer: format!("c{}", dice.roll(4)).as_str().into(),
                    deadline: harness.now + 0.01 * dice.roll(100) as f64,
                    ..request(&format!("j{n}"), harness.now)
                };
                world.deadline.insert(request.id.clone(), request.deadline);
                harness.handle(Event::Request(request))
            }
            4..7 if !world.running.is_empty() => {
                let i = dice.roll(world.running.len() as u64) as usize;
                let RunningAttempt { request_id, index, endpoint, .. } = world.running.remove(i);
                let ends =
                    [Status::Ok, Status::Error, Status::Rejected, Status::ConnectFailed, Status::Reset];
                let status = ends[dice.roll(5) as usize];
                let never = matches!(status, Status::Rejected | Status::ConnectFailed);
                world.attempts.get_mut(&request_id).expect("sent")[index as usize] = never;
                if status == Status::Ok {
                    world.ended.insert(request_id.clone());
                }
                harness.attempt_ended(&request_id, index, &endpoint, status)
            }
            7 | 8 if !world.calls.is_empty() => {
                let name = world.calls.remove(0);
                if dice.roll(200) == 0 {
                    world.counter.clear();
                }
                let ends = [Status::Ok, Status::Ok, Status::Ok, Status::Timeout, Status::Rejected];
                let total = world.counter.get(&name).copied().unwrap_or(0.0);
                harness.counter_replied(name, ends[dice.roll(5) as usize], total)
            }
            _ => {
                let name = ["a", "b", "c"][dice.roll(3) as usize];
                let life = [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone][dice.roll(3) as usize];
                match life {
                    Lifecycle::Running => world.stopped.remove(name),
                    _ => world.stopped.insert(name.into()),
                };
                harness.handle(Event::EndpointsUpdated {
                    kind: ListKind::Changes,
                    endpoints: vec![endpoint(name, life, harness.now)],
                })
            }
        };
        world.check(harness.now, unsafe_class, &actions);
    }
    for (request_id, deadline) in &world.deadline {
        let is_running = world.running.iter().any(|attempt| attempt.request_id == *request_id);
        assert!(
            world.ended.contains(request_id) || is_running || *deadline > harness.now,
            "{request_id} was never answered"
        );
    }
    harness.actions
}

#[test]
fn random_valid_event_sequences_keep_invariants() {
    for seed in 0..60 {
        play(seed);
    }
}

#[test]
fn same_events_give_same_actions() {
    assert_eq!(play(5), play(5));
}
