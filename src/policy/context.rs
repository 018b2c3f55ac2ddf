//! State that the policy's components share while they handle an event.

use crate::{
    interface::{Action, Time},
    policy::{
        replicas::Replicas,
        timers::{TimerPurpose, TimerTable},
    },
    settings::{Plan, Settings},
};

/// Current time, settings, random numbers, and the actions to carry out after the event.
#[derive(Debug, Default)]
pub struct Context {
    /// Time of the event that is being handled.
    pub now: Time,
    /// Settings that the gateway was started with.
    pub settings: Settings,
    /// Position of this process among those that serve the gateway during a hot restart.
    pub replicas: Replicas,
    /// Only source of randomness, so that the seed determines every random decision.
    pub rng: fastrand::Rng,
    actions: Vec<Action>,
    timers: TimerTable,
}

impl Context {
    /// Creates a context whose random numbers `seed` determines.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self { settings, rng: fastrand::Rng::with_seed(seed), ..Self::default() }
    }

    /// Returns the plan at an index of the settings' plans.
    pub fn plan(&self, index: usize) -> Plan {
        self.settings.plans[index]
    }

    /// Appends an action to those that the event leads to.
    pub fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Appends the action that sets a timer, and returns the timer's token.
    pub fn set_timer(&mut self, at: Time, purpose: TimerPurpose) -> u64 {
        let token = self.timers.add(purpose);
        self.push_action(Action::SetTimer { token, at });
        token
    }

    /// Removes a timer that is due and returns its purpose; `None` if the timer was taken before.
    pub fn take_timer(&mut self, token: u64) -> Option<TimerPurpose> {
        self.timers.take(token)
    }

    /// Moves the collected actions to the end of `actions`, in order.
    pub fn drain_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}
