//! Tests of the order of events and actions.

use super::*;
use oliverack::{ListKind, Settings};
use std::{
    cell::OnceCell,
    panic::{AssertUnwindSafe, catch_unwind},
};

/// Records the begin and the end of each action. Runs `during_first` while it executes the first one.
struct RecordingExecutor {
    policy: OnceCell<Rc<PolicyLoop>>,
    during_first: fn(&PolicyLoop),
    log: RefCell<Vec<&'static str>>,
}

impl ActionExecutor for RecordingExecutor {
    fn execute(&self, _now: Time, action: Action) {
        assert!(matches!(action, Action::SetTimer { .. }), "{action:?}");
        let is_first = self.log.borrow().is_empty();
        self.log.borrow_mut().push("begin");
        if is_first {
            (self.during_first)(self.policy.get().expect("a loop"));
        }
        self.log.borrow_mut().push("end");
    }
}

/// Posts an event to which the policy responds with one timer.
fn post_failed_poll(policy: &PolicyLoop) {
    PolicyLoop::post(policy, Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
}

fn loop_with_executor(during_first: fn(&PolicyLoop)) -> (Rc<RecordingExecutor>, Rc<PolicyLoop>) {
    let mut settings = Settings::default();
    settings.discovery_is_polled = true;
    let gateway = Gateway::new(settings, 1).expect("usable settings");
    let executor =
        Rc::new(RecordingExecutor { policy: OnceCell::new(), during_first, log: RefCell::default() });
    let weak: Weak<RecordingExecutor> = Rc::downgrade(&executor);
    let policy = PolicyLoop::new(gateway, Rc::new(Clock::new()), weak);
    assert!(executor.policy.set(policy.clone()).is_ok());
    (executor, policy)
}

#[test]
fn event_posted_during_action_is_handled_after_it() {
    let (executor, policy) = loop_with_executor(|policy| {
        post_failed_poll(policy);
        post_failed_poll(policy);
    });
    post_failed_poll(&policy);
    assert_eq!(*executor.log.borrow(), ["begin", "end", "begin", "end", "begin", "end"]);
}

#[test]
fn loop_continues_after_panic() {
    let (executor, policy) = loop_with_executor(|policy| {
        post_failed_poll(policy);
        panic!("simulated panic of an action");
    });
    assert!(catch_unwind(AssertUnwindSafe(|| post_failed_poll(&policy))).is_err());
    // The event that was queued before the panic is handled with the next one.
    post_failed_poll(&policy);
    assert_eq!(*executor.log.borrow(), ["begin", "begin", "end", "begin", "end"]);
}
