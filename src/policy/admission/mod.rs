//! Decides whether a request is admitted: by its customer's quota, hard ceiling and limit on concurrent
//! attempts.
//!
//! [`AdmissionControl`] owns the state of all customers. The ordinary path: a request is covered by the units
//! that this gateway holds on lease, else it waits for a block from the counter, else it is rejected at once.
//! While the counter can't be used, the gateway's even share of the quota decides.

mod ceiling;
mod concurrency;
mod control;
mod customer;
mod customer_table;
mod leased_quota;
mod leasing;
mod unreported_units;

pub use control::AdmissionControl;

use crate::{
    interface::{Request, Seconds},
    policy::{backends::Backends, context::Context},
    settings::Plan,
};
use leasing::Leasing;

/// Batches of events that have to fit between a request's arrival and its deadline.
const MIN_EVENT_INTERVALS: f64 = 4.0;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It is admitted; its units are spent.
    Admit,
    /// It waits for the counter's reply to a lease call.
    AwaitLease,
    /// Its units are spent, but it waits for one of its customer's concurrency slots.
    AwaitSlot,
    /// It is rejected.
    Reject {
        /// How long the client should wait before a retry.
        retry_after: Seconds,
    },
}

/// A request to decide about, and what the decision rests on besides its customer's state.
pub struct Candidate<'a> {
    /// The request.
    pub request: &'a Request,
    /// The plan that its customer has at present.
    pub plan: Plan,
    /// The endpoints that would serve it.
    pub backends: &'a Backends,
    /// The context of the event.
    pub context: &'a mut Context,
}

/// Whether the settings know what a request names, and there is time to serve it.
pub fn is_servable(request: &Request, context: &Context) -> bool {
    let settings = &context.settings;
    let waits = 2.0 * Leasing::max_wait(settings);
    let has_time = request.deadline > context.now + waits + MIN_EVENT_INTERVALS * settings.event_interval;
    let is_known = request.class < settings.classes.len() && request.plan < settings.plans.len();
    let has_units = request.units.is_finite() && request.units >= 0.0;
    is_known && has_units && has_time
}
