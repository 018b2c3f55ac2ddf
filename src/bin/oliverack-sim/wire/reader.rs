//! Reads the simulator's messages.

use crate::wire::{
    error::MessageError,
    row::{FieldError, Row},
};
use oliverack::{Endpoint, Event, Lifecycle, ListKind, Options, Request};
use serde_json::Value;
use std::collections::BTreeMap;

/// The effect that a message has on a gateway.
pub enum Command {
    /// Start the addressed gateway.
    Start {
        /// Seed of the gateway's random numbers.
        seed: u64,
        /// Options of the gateway.
        options: Box<Options>,
    },
    /// Remove the addressed gateway.
    Remove,
    /// Pass an event to the addressed gateway.
    Handle(Event),
    /// Check that the addressed gateway exists, and ignore the message.
    CheckGateway,
    /// Nothing to do: the reader has stored the contents of the message.
    NoAction,
}

/// Reader of messages, which stores the numbered endpoint lists that later messages refer to.
#[derive(Default)]
pub struct Reader {
    endpoint_lists: BTreeMap<u64, Vec<Endpoint>>,
}

impl Reader {
    /// Reads a message, given by name and positional values.
    ///
    /// # Errors
    /// Returns an error if the message is unknown or one of its values is missing or invalid.
    pub fn read(&mut self, name: &str, values: &[Value]) -> Result<Command, MessageError> {
        let row = |message| Row::new(message, values);
        let event = match name {
            "NEW_INSTANCE" => return read_start(row("NEW_INSTANCE")),
            "DESTROY" => return Ok(Command::Remove),
            "DIRECTORY" => {
                self.store_endpoint_list(row("DIRECTORY"))?;
                return Ok(Command::NoAction);
            }
            "HEALTH_RESULT" => {
                check_health_result(row("HEALTH_RESULT"))?;
                return Ok(Command::CheckGateway);
            }
            "NOTE_FROM" => return Ok(Command::CheckGateway),
            "PEERS_KNOWN" => self.read_endpoint_update(row("PEERS_KNOWN"))?,
            "DEMAND" => Event::Request(read_request(row("DEMAND"))?),
            "HEAD_RECEIVED" => {
                Event::ResponseStarted { request_id: row("HEAD_RECEIVED").text(0, "Job")?.into() }
            }
            "DONE" => read_attempt_end(row("DONE"))?,
            "LEFT" => Event::ClientDisconnected { request_id: row("LEFT").text(0, "Job")?.into() },
            "ELAPSED" => Event::Timer { token: row("ELAPSED").whole_number(0, "Name")? },
            "TALLIED" => read_counter_reply(row("TALLIED"))?,
            _ => return Err(MessageError::UnknownMessage(name.to_owned())),
        };
        Ok(Command::Handle(event))
    }

    fn store_endpoint_list(&mut self, row: Row) -> Result<(), FieldError> {
        let items = row.list(1, "Items")?;
        let endpoints = items.iter().map(read_endpoint).collect::<Result<_, _>>()?;
        self.endpoint_lists.insert(row.whole_number(0, "Page")?, endpoints);
        Ok(())
    }

    fn read_endpoint_update(&self, row: Row) -> Result<Event, FieldError> {
        let kind = match row.text(2, "How")? {
            "D" => ListKind::Changes,
            "F" => ListKind::Full,
            "C" => ListKind::Stale,
            "X" => ListKind::Failed,
            _ => return Err(row.unknown_value("How")),
        };
        if kind == ListKind::Failed {
            return Ok(Event::EndpointsUpdated { kind, endpoints: Vec::new() });
        }
        let endpoints = self.endpoint_lists.get(&row.whole_number(1, "Page")?);
        let endpoints = endpoints.cloned().ok_or_else(|| row.unknown_value("Page"))?;
        Ok(Event::EndpointsUpdated { kind, endpoints })
    }
}

fn read_start(row: Row) -> Result<Command, MessageError> {
    let options = Options::read(row.value(1, "Options")?).map_err(MessageError::Options)?;
    let seed = row.whole_number(0, "Nonce64")?;
    Ok(Command::Start { seed, options: Box::new(options) })
}

fn read_endpoint(item: &Value) -> Result<Endpoint, FieldError> {
    let row = Row::new("DIRECTORY", item.as_array().map_or(&[], Vec::as_slice));
    let lifecycle = match row.text(4, "Lifecycle")? {
        "Running" => Lifecycle::Running,
        "Stopping" => Lifecycle::Draining,
        "Deleted" => Lifecycle::Gone,
        _ => return Err(row.unknown_value("Lifecycle")),
    };
    Ok(Endpoint {
        id: row.text(5, "Worker")?.into(),
        zone: row.number_or(3, "Zone", 0.0)? as u32,
        cell: row.number_or(0, "Cell", 0.0)? as u32,
        started: row.number_or(1, "StartTime", 0.0)?,
        lifecycle,
    })
}

/// Bit of `StateBits` that marks a retry by the client.
const RETRY_BIT: u64 = 2;

fn read_request(row: Row) -> Result<Request, FieldError> {
    Ok(Request {
        id: row.text(0, "Job")?.into(),
        units: row.number_or(1, "Weight", 1.0)?,
        first_gateway: row.number_or(2, "FromNo", 0.0)? as u32,
        deadline: row.number(3, "Expires")?,
        plan: row.number_or(4, "GradeOfService", 0.0)? as usize,
        customer_gateway_count: row.number_or(5, "NEntries", 1.0)? as u32,
        class: row.number_or(6, "Category", 0.0)? as usize,
        customer: row.text(7, "Customer").unwrap_or("").into(),
        is_retry: row.number_or(8, "StateBits", 0.0)? as u64 & RETRY_BIT != 0,
    })
}

fn read_attempt_end(row: Row) -> Result<Event, FieldError> {
    Ok(Event::AttemptEnded {
        request_id: row.text(0, "Job")?.into(),
        attempt: row.whole_number(1, "RoundNo")? as u32,
        endpoint: row.text(2, "Worker")?.into(),
        status: row.status(3)?,
        elapsed: row.number_or(4, "Spent", 0.0)?,
        is_finished: row.boolean(5, "NoMore")?,
        actual_units: Some(row.number_or(7, "Settled", 0.0)?).filter(|units| *units > 0.0),
        load: row.load_report(8),
    })
}

/// Checks the format of a health check result. The result itself is ignored, because the policy starts no health
/// checks.
fn check_health_result(row: Row) -> Result<(), FieldError> {
    row.text(0, "Worker")?;
    row.status(1)?;
    Ok(())
}

fn read_counter_reply(row: Row) -> Result<Event, FieldError> {
    Ok(Event::CounterReplied {
        counter: row.whole_number(0, "Counter")?,
        status: row.status(1)?,
        total: row.number_or(2, "Value", 0.0)?,
        elapsed: row.number_or(3, "Spent", 0.0)?,
    })
}
