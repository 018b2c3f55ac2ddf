//! What a run counts.

use super::clock::START;
use hdrhistogram::Histogram;
use oliverack::{Status, Time};
use serde::Serialize;
use std::ops::AddAssign;

/// Messages and their bytes, both ways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn count(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Self) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// Messages that services and workers take and give.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleTraffic {
    /// The counter.
    pub counter: Traffic,
    /// Discovery.
    pub discovery: Traffic,
    /// All workers.
    pub workers: Traffic,
}

/// How the wishes of clients ended, and their worth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct WishCounts {
    /// Asked for.
    pub asked: u64,
    /// Answered within the aim of their class.
    pub served: u64,
    /// Answered later.
    pub served_late: u64,
    /// Refused, retries included.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Abandoned by the client.
    pub abandoned: u64,
    /// Lost with a gatekeeper, or sent to one that was down.
    pub lost: u64,
}

impl WishCounts {
    fn of(&mut self, ending: Ending) -> &mut u64 {
        match ending {
            Ending::Served => &mut self.served,
            Ending::ServedLate => &mut self.served_late,
            Ending::Refused => &mut self.refused,
            Ending::Failed => &mut self.failed,
            Ending::Abandoned => &mut self.abandoned,
            Ending::Lost => &mut self.lost,
        }
    }
}

/// How a wish ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answered within the aim.
    Served,
    /// Answered later.
    ServedLate,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The client left.
    Abandoned,
    /// Its gatekeeper died or was down.
    Lost,
}

/// Worth that was asked for inside quotas, and what became of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct InsideWorth {
    /// Asked for.
    pub asked: f64,
    /// Answered within the aim.
    pub served: f64,
    /// Refused.
    pub refused: f64,
    /// Ended in any other way.
    pub otherwise: f64,
}

/// What was sent to workers, against the true quotas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct QuotaCounts {
    /// Units sent inside quotas.
    pub units_inside: f64,
    /// Units sent beyond them.
    pub units_beyond: f64,
    /// Worth sent beyond them.
    pub worth_beyond: f64,
    /// What that costs by the plans' prices.
    pub overrun_cost: f64,
}

/// Attempts and how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Sent.
    pub sent: u64,
    /// Served.
    pub ok: u64,
    /// Turned away.
    pub full: u64,
    /// Without an answer in time.
    pub timeout: u64,
    /// Without a connection.
    pub connect_failed: u64,
    /// Broken.
    pub reset: u64,
    /// Called off, or never sent.
    pub cancelled: u64,
}

impl AttemptCounts {
    /// Counts an outcome.
    pub fn count(&mut self, status: Status) {
        let counted = match status {
            Status::Ok => &mut self.ok,
            Status::Rejected => &mut self.full,
            Status::Timeout => &mut self.timeout,
            Status::ConnectFailed => &mut self.connect_failed,
            Status::Error | Status::Reset => &mut self.reset,
            Status::Cancelled | Status::NotSent => &mut self.cancelled,
        };
        *counted += 1;
    }
}

/// Counter calls and how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CounterCallCounts {
    /// Made.
    pub made: u64,
    /// Answered in time with a total.
    pub ok: u64,
    /// Answered in time that the counter is full.
    pub full: u64,
    /// Not answered in time.
    pub timeout: u64,
    /// Added though nobody waited any more.
    pub added_in_vain: u64,
    /// Names lost.
    pub names_lost: u64,
}

/// What happened to the list of workers and to the gatekeepers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct FleetCounts {
    /// Changes of the list.
    pub list_changes: u64,
    /// Whole lists told.
    pub lists_told: u64,
    /// Calls for the list that failed.
    pub list_calls_failed: u64,
    /// Restarts of gatekeepers.
    pub restarts: u64,
}

/// One second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Wishes, by the second in which they ended.
    pub wishes: WishCounts,
    /// Units sent.
    pub quotas: QuotaCounts,
    /// Counter calls made.
    pub counter_calls: u64,
    /// Attempts sent.
    pub attempts: u64,
}

/// All counts of a run.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Wishes.
    pub wishes: WishCounts,
    /// Tries that reached a gatekeeper: wishes and their retries.
    pub tries: u64,
    /// Worth inside quotas.
    pub inside: InsideWorth,
    /// Units sent.
    pub quotas: QuotaCounts,
    /// Attempts.
    pub attempts: AttemptCounts,
    /// Counter calls.
    pub counter_calls: CounterCallCounts,
    /// Lists and restarts.
    pub fleet: FleetCounts,
    /// Traffic of services and workers.
    pub traffic: RoleTraffic,
    /// Times of the answers that served, from the client's first try on, in microseconds.
    pub latency: Histogram<u64>,
    /// Most requests that were open in the fleet at once.
    pub most_open: usize,
    /// The run, second by second.
    pub seconds: Vec<SecondCounts>,
}

/// Longest latency that is told apart, in microseconds.
const LONGEST_LATENCY: u64 = 3_600_000_000;

impl Default for Measures {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, LONGEST_LATENCY, 3).expect("constant bounds are usable");
        Self {
            wishes: WishCounts::default(),
            tries: 0,
            inside: InsideWorth::default(),
            quotas: QuotaCounts::default(),
            attempts: AttemptCounts::default(),
            counter_calls: CounterCallCounts::default(),
            fleet: FleetCounts::default(),
            traffic: RoleTraffic::default(),
            latency,
            most_open: 0,
            seconds: Vec::new(),
        }
    }
}

/// What was sent and whether the quota held it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    /// Units.
    pub units: f64,
    /// Their worth.
    pub worth: f64,
    /// The plan's price of an overrun, as a share of the worth.
    pub overrun_cost: f64,
    /// The quota held them.
    pub inside: bool,
}

impl QuotaCounts {
    fn count(&mut self, sent: Sent) {
        if sent.inside {
            self.units_inside += sent.units;
        } else {
            self.units_beyond += sent.units;
            self.worth_beyond += sent.worth;
            self.overrun_cost += sent.worth * sent.overrun_cost;
        }
    }
}

impl Measures {
    /// The counts of the second that `now` lies in.
    pub fn second(&mut self, now: Time) -> &mut SecondCounts {
        let index = (now - START).max(0.0) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondCounts::default);
        }
        &mut self.seconds[index]
    }

    /// Counts a wish; `inside_worth` is its worth where the quota holds it, else 0.
    pub fn count_wish(&mut self, now: Time, inside_worth: f64) {
        self.wishes.asked += 1;
        self.second(now).wishes.asked += 1;
        self.inside.asked += inside_worth;
    }

    /// Counts the end of a wish.
    pub fn count_ending(&mut self, now: Time, ending: Ending, inside_worth: f64) {
        *self.wishes.of(ending) += 1;
        *self.second(now).wishes.of(ending) += 1;
        let worth = match ending {
            Ending::Served => &mut self.inside.served,
            Ending::Refused => &mut self.inside.refused,
            _ => &mut self.inside.otherwise,
        };
        *worth += inside_worth;
    }

    /// Counts what was sent first for a try.
    pub fn count_sent(&mut self, now: Time, sent: Sent) {
        self.quotas.count(sent);
        self.second(now).quotas.count(sent);
    }

    /// Counts the time of an answer that served.
    pub fn count_latency(&mut self, seconds: f64) {
        self.latency.saturating_record((seconds * 1e6).round().max(1.0) as u64);
    }
}
