//! Translates the simulator's messages to the policy's events.

use crate::row::{Row, RowError};
use oliverack::{Endpoint, Event, Lifecycle, ListKind, Request};
use serde_json::Value;
use std::{collections::BTreeMap, fmt};

/// The numbered lists that the wire refers to.
pub type Pages = BTreeMap<u64, Vec<Endpoint>>;

/// An event that can't be translated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventError {
    /// One of its values can't be read.
    Row(RowError),
    /// The wire knows no event of this name.
    Unknown(String),
}

impl From<RowError> for EventError {
    fn from(error: RowError) -> Self {
        Self::Row(error)
    }
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Row(error) => error.fmt(f),
            Self::Unknown(name) => write!(f, "event {name} is unknown"),
        }
    }
}

impl std::error::Error for EventError {}

/// The entries of a numbered list.
pub fn page(items: &[Value]) -> Result<Vec<Endpoint>, RowError> {
    items.iter().map(entry).collect()
}

fn entry(item: &Value) -> Result<Endpoint, RowError> {
    let row = Row { message: "DIRECTORY", values: item.as_array().map_or(&[], Vec::as_slice) };
    let lifecycle = match row.text(4, "Lifecycle")? {
        "Running" => Lifecycle::Running,
        "Stopping" => Lifecycle::Draining,
        "Deleted" => Lifecycle::Gone,
        _ => return Err(row.unknown("Lifecycle")),
    };
    Ok(Endpoint {
        id: row.text(5, "Worker")?.into(),
        zone: row.number_or(3, "Zone", 0.0)? as u32,
        cell: row.number_or(0, "Cell", 0.0)? as u32,
        started: row.number_or(1, "StartTime", 0.0)?,
        lifecycle,
    })
}

/// The event that a message tells of; `None`: it is none of the policy's.
pub fn event(name: &str, values: &[Value], pages: &Pages) -> Result<Option<Event>, EventError> {
    let row = |message| Row { message, values };
    let event = match name {
        "PEERS_KNOWN" => list(row("PEERS_KNOWN"), pages)?,
        "DEMAND" => Event::Request(request(row("DEMAND"))?),
        "HEAD_RECEIVED" => Event::ResponseStarted { request_id: row("HEAD_RECEIVED").text(0, "Job")?.into() },
        "DONE" => outcome(row("DONE"))?,
        "LEFT" => Event::ClientDisconnected { request_id: row("LEFT").text(0, "Job")?.into() },
        "ELAPSED" => Event::Timer { token: row("ELAPSED").whole_number(0, "Name")? },
        "HEALTH_RESULT" => {
            check_health_result(row("HEALTH_RESULT"))?;
            return Ok(None);
        }
        "TALLIED" => counted(row("TALLIED"))?,
        "NOTE_FROM" => return Ok(None),
        _ => return Err(EventError::Unknown(name.to_owned())),
    };
    Ok(Some(event))
}

fn list(row: Row, pages: &Pages) -> Result<Event, RowError> {
    let kind = match row.text(2, "How")? {
        "D" => ListKind::Changes,
        "F" => ListKind::Full,
        "C" => ListKind::Stale,
        "X" => ListKind::Failed,
        _ => return Err(row.unknown("How")),
    };
    if kind == ListKind::Failed {
        return Ok(Event::EndpointsUpdated { kind, endpoints: Vec::new() });
    }
    let endpoints = pages.get(&row.whole_number(1, "Page")?).cloned();
    Ok(Event::EndpointsUpdated { kind, endpoints: endpoints.ok_or_else(|| row.unknown("Page"))? })
}

/// The bit of a request's state that says that it is a client's marked repeat.
const REPEAT_BIT: u64 = 2;

fn request(row: Row) -> Result<Request, RowError> {
    Ok(Request {
        id: row.text(0, "Job")?.into(),
        units: row.number_or(1, "Weight", 1.0)?,
        first_gateway: row.number_or(2, "FromNo", 0.0)? as u32,
        deadline: row.number(3, "Expires")?,
        plan: row.number_or(4, "GradeOfService", 0.0)? as usize,
        customer_gateway_count: row.number_or(5, "NEntries", 1.0)? as u32,
        class: row.number_or(6, "Category", 0.0)? as usize,
        customer: row.text(7, "Customer").unwrap_or("").into(),
        is_retry: row.number_or(8, "StateBits", 0.0)? as u64 & REPEAT_BIT != 0,
    })
}

fn outcome(row: Row) -> Result<Event, RowError> {
    Ok(Event::AttemptEnded {
        request_id: row.text(0, "Job")?.into(),
        attempt: row.whole_number(1, "RoundNo")? as u32,
        endpoint: row.text(2, "Worker")?.into(),
        status: row.status(3)?,
        elapsed: row.number_or(4, "Spent", 0.0)?,
        is_finished: row.flag(5, "NoMore")?,
        actual_units: Some(row.number_or(7, "Settled", 0.0)?).filter(|units| *units > 0.0),
        load: row.load(8),
    })
}

/// The policy asks for no health checks, so a well-formed result is ignored.
fn check_health_result(row: Row) -> Result<(), RowError> {
    row.text(0, "Worker")?;
    row.status(1)?;
    Ok(())
}

fn counted(row: Row) -> Result<Event, RowError> {
    Ok(Event::CounterReplied {
        counter: row.whole_number(0, "Counter")?,
        status: row.status(1)?,
        total: row.number_or(2, "Value", 0.0)?,
        elapsed: row.number_or(3, "Spent", 0.0)?,
    })
}
