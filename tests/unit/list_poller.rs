use super::ListPoller;
use crate::{
    interface::{Action, ListKind},
    policy::context::Context,
    settings::Settings,
};

fn context(discovery_is_polled: bool) -> Context {
    let settings = Settings { gateway_count: 300, discovery_is_polled, ..Settings::default() };
    let mut context = Context::new(settings, 7);
    context.now = 100.0;
    context
}

/// Returns the delay of the poll that an update schedules, if any.
fn poll_delay(poller: &mut ListPoller, kind: ListKind, context: &mut Context) -> Option<f64> {
    poller.list_updated(kind, context);
    let mut actions = Vec::new();
    context.drain_actions(&mut actions);
    match actions[..] {
        [] => None,
        [Action::SetTimer { at, .. }] => Some(at - context.now),
        _ => panic!("more than one timer: {actions:?}"),
    }
}

#[test]
fn pushed_list_is_never_polled() {
    let mut context = context(false);
    let mut poller = ListPoller::default();
    for kind in [ListKind::Stale, ListKind::Failed, ListKind::Full] {
        assert_eq!(poll_delay(&mut poller, kind, &mut context), None);
    }
}

#[test]
fn stale_list_and_failed_poll_schedule_a_poll_within_their_spans() {
    let mut context = context(true);
    let mut poller = ListPoller::default();
    let start = poll_delay(&mut poller, ListKind::Stale, &mut context);
    assert!(start.is_some_and(|delay| (0.0..=3.0).contains(&delay)), "{start:?}");
    assert_eq!(poll_delay(&mut poller, ListKind::Full, &mut context), None);
    let retry = poll_delay(&mut poller, ListKind::Failed, &mut context);
    assert!(retry.is_some_and(|delay| (0.0..=1.0).contains(&delay)), "{retry:?}");
    for _ in 0..20 {
        let backoff = poll_delay(&mut poller, ListKind::Failed, &mut context);
        assert!(backoff.is_some_and(|delay| (0.0..=3.0).contains(&delay)), "{backoff:?}");
    }
}
