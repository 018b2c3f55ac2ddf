//! Reads the simulator's messages.

use crate::wire::{
    error::MessageError,
    positional_values::{FieldError, PositionalValues},
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
        let values_of = |message| PositionalValues::new(message, values);
        let event = match name {
            "NEW_INSTANCE" => return read_start(values_of("NEW_INSTANCE")),
            "DESTROY" => return Ok(Command::Remove),
            "DIRECTORY" => {
                self.store_endpoint_list(values_of("DIRECTORY"))?;
                return Ok(Command::NoAction);
            }
            "HEALTH_RESULT" => {
                check_health_result(values_of("HEALTH_RESULT"))?;
                return Ok(Command::CheckGateway);
            }
            "NOTE_FROM" => return Ok(Command::CheckGateway),
            "PEERS_KNOWN" => self.read_endpoint_update(values_of("PEERS_KNOWN"))?,
            "DEMAND" => Event::Request(read_request(values_of("DEMAND"))?),
            "HEAD_RECEIVED" => {
                Event::ResponseStarted { request_id: values_of("HEAD_RECEIVED").text(0, "Job")?.into() }
            }
            "DONE" => read_attempt_end(values_of("DONE"))?,
            "LEFT" => Event::ClientDisconnected { request_id: values_of("LEFT").text(0, "Job")?.into() },
            "ELAPSED" => Event::Timer { token: values_of("ELAPSED").whole_number(0, "Name")? },
            "TALLIED" => read_counter_reply(values_of("TALLIED"))?,
            _ => return Err(MessageError::UnknownMessage(name.to_owned())),
        };
        Ok(Command::Handle(event))
    }

    fn store_endpoint_list(&mut self, values: PositionalValues) -> Result<(), FieldError> {
        let items = values.list(1, "Items")?;
        let endpoints = items.iter().map(read_endpoint).collect::<Result<_, _>>()?;
        self.endpoint_lists.insert(values.whole_number(0, "Page")?, endpoints);
        Ok(())
    }

    fn read_endpoint_update(&self, values: PositionalValues) -> Result<Event, FieldError> {
        let kind = match values.text(2, "How")? {
            "D" => ListKind::Changes,
            "F" => ListKind::Full,
            "C" => ListKind::Stale,
            "X" => ListKind::Failed,
            _ => return Err(values.unknown_value("How")),
        };
        if kind == ListKind::Failed {
            return Ok(Event::EndpointsUpdated { kind, endpoints: Vec::new() });
        }
        let endpoints = self.endpoint_lists.get(&values.whole_number(1, "Page")?);
        let endpoints = endpoints.cloned().ok_or_else(|| values.unknown_value("Page"))?;
        Ok(Event::EndpointsUpdated { kind, endpoints })
    }
}

fn read_start(values: PositionalValues) -> Result<Command, MessageError> {
    let options = Options::read(values.value(1, "Options")?).map_err(MessageError::Options)?;
    let seed = values.whole_number(0, "Nonce64")?;
    Ok(Command::Start { seed, options: Box::new(options) })
}

fn read_endpoint(item: &Value) -> Result<Endpoint, FieldError> {
    let values = PositionalValues::new("DIRECTORY", item.as_array().map_or(&[], Vec::as_slice));
    let lifecycle = match values.text(4, "Lifecycle")? {
        "Running" => Lifecycle::Running,
        "Stopping" => Lifecycle::Draining,
        "Deleted" => Lifecycle::Gone,
        _ => return Err(values.unknown_value("Lifecycle")),
    };
    Ok(Endpoint {
        id: values.text(5, "Worker")?.into(),
        zone: values.number_or(3, "Zone", 0.0)? as u32,
        cell: values.number_or(0, "Cell", 0.0)? as u32,
        started: values.number_or(1, "StartTime", 0.0)?,
        lifecycle,
    })
}

/// Bit of `StateBits` that marks a retry by the client.
const RETRY_BIT: u64 = 2;

fn read_request(values: PositionalValues) -> Result<Request, FieldError> {
    Ok(Request {
        id: values.text(0, "Job")?.into(),
        units: values.number_or(1, "Weight", 1.0)?,
        first_gateway: values.number_or(2, "FromNo", 0.0)? as u32,
        deadline: values.number(3, "Expires")?,
        plan: values.number_or(4, "GradeOfService", 0.0)? as usize,
        customer_gateway_count: values.number_or(5, "NEntries", 1.0)? as u32,
        class: values.number_or(6, "Category", 0.0)? as usize,
        customer: values.text(7, "Customer").unwrap_or("").into(),
        is_retry: values.number_or(8, "StateBits", 0.0)? as u64 & RETRY_BIT != 0,
    })
}

fn read_attempt_end(values: PositionalValues) -> Result<Event, FieldError> {
    Ok(Event::AttemptEnded {
        request_id: values.text(0, "Job")?.into(),
        attempt: values.whole_number(1, "RoundNo")? as u32,
        endpoint: values.text(2, "Worker")?.into(),
        status: values.status(3)?,
        elapsed: values.number_or(4, "Spent", 0.0)?,
        is_finished: values.boolean(5, "NoMore")?,
        actual_units: Some(values.number_or(7, "Settled", 0.0)?).filter(|units| *units > 0.0),
        load: values.load_report(8),
    })
}

/// Checks the format of a health check result. The result itself is ignored, because the policy starts no health
/// checks.
fn check_health_result(values: PositionalValues) -> Result<(), FieldError> {
    values.text(0, "Worker")?;
    values.status(1)?;
    Ok(())
}

fn read_counter_reply(values: PositionalValues) -> Result<Event, FieldError> {
    Ok(Event::CounterReplied {
        counter: values.whole_number(0, "Counter")?,
        status: values.status(1)?,
        total: values.number_or(2, "Value", 0.0)?,
        elapsed: values.number_or(3, "Spent", 0.0)?,
    })
}
