//! What the policy's components share while they handle one event.

use crate::{
    interface::{Action, Time},
    policy::{
        replicas::Replicas,
        timers::{TimerPurpose, TimerTable},
    },
    settings::{Plan, Settings},
};

/// The current time, the settings, the source of randomness, and the actions to carry out after the event.
#[derive(Debug, Default)]
pub struct Context {
    /// The time of the event.
    pub now: Time,
    /// What the gateway was told when it started.
    pub settings: Settings,
    /// The processes that serve this gateway side by side.
    pub replicas: Replicas,
    /// The only source of randomness, so that a seed determines every decision.
    pub rng: fastrand::Rng,
    actions: Vec<Action>,
    timers: TimerTable,
}

impl Context {
    /// A context before the first event.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self { settings, rng: fastrand::Rng::with_seed(seed), ..Self::default() }
    }

    /// The plan with this index.
    pub fn plan(&self, index: usize) -> Plan {
        self.settings.plans[index]
    }

    /// Appends an action.
    pub fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Asks for a timer and returns its token.
    pub fn set_timer(&mut self, at: Time, purpose: TimerPurpose) -> u64 {
        let token = self.timers.add(purpose);
        self.push_action(Action::SetTimer { token, at });
        token
    }

    /// The purpose of a timer that is due, once.
    pub fn take_timer(&mut self, token: u64) -> Option<TimerPurpose> {
        self.timers.take(token)
    }

    /// Moves all actions since the last call to the end of `actions`.
    pub fn drain_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}
