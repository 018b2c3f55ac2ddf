//! The simulator's adapter: translates its wire to the policy's events and the policy's actions back. It decides
//! nothing.
#![forbid(unsafe_code)]

mod events;
mod row;

use events::{EventError, Pages};
use oliverack::{Action, Gateway, Options, OptionsError, SettingsError, Time};
use row::{Row, RowError};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    fmt,
    io::{self, BufRead, Write},
    process::ExitCode,
};

/// What the simulator tells at one moment.
#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "Moment")]
    moment: f64,
    n: u64,
    groups: Vec<Inbox>,
}

/// The messages for one instance.
#[derive(Deserialize)]
struct Inbox {
    #[serde(rename = "GatekeeperId")]
    gateway: u64,
    msgs: Vec<Vec<Value>>,
}

/// A message that can't be carried out.
#[derive(Debug)]
enum MessageError {
    /// It has no name.
    Nameless,
    /// It can't be translated.
    Event(EventError),
    /// The settings object can't be read.
    Options(OptionsError),
    /// No gateway can work with the settings.
    Settings(SettingsError),
    /// The named message is for an instance that is not there.
    NoInstance(String, u64),
}

impl From<EventError> for MessageError {
    fn from(error: EventError) -> Self {
        Self::Event(error)
    }
}

impl From<RowError> for MessageError {
    fn from(error: RowError) -> Self {
        Self::Event(error.into())
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nameless => f.write_str("a message has no name"),
            Self::Event(error) => error.fmt(f),
            Self::Options(error) => error.fmt(f),
            Self::Settings(error) => write!(f, "NEW_INSTANCE.Options: {error}"),
            Self::NoInstance(message, id) => write!(f, "{message} for unknown instance {id}"),
        }
    }
}

/// Why the adapter ends before its input does.
#[derive(Debug)]
enum AdapterError {
    Input(io::Error),
    Output(io::Error),
    Malformed(serde_json::Error),
    /// In the batch of this number.
    Message(u64, MessageError),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Input(error) => write!(f, "input: {error}"),
            Self::Output(error) => write!(f, "output: {error}"),
            Self::Malformed(error) => write!(f, "a batch is malformed: {error}"),
            Self::Message(number, error) => write!(f, "batch {number}: {error}"),
        }
    }
}

/// The instances that this process hosts, and the numbered lists of the wire. Instances share nothing else.
#[derive(Default)]
struct Host {
    gateways: BTreeMap<u64, Gateway>,
    pages: Pages,
}

impl Host {
    fn message(
        &mut self,
        now: Time,
        id: u64,
        message: &[Value],
        actions: &mut Vec<Action>,
    ) -> Result<(), MessageError> {
        let (name, values) = message.split_first().ok_or(MessageError::Nameless)?;
        match name.as_str().ok_or(MessageError::Nameless)? {
            "NEW_INSTANCE" => self.start(id, Row { message: "NEW_INSTANCE", values }),
            "DESTROY" => {
                let destroyed = self.gateways.remove(&id);
                destroyed.ok_or_else(|| MessageError::NoInstance("DESTROY".to_owned(), id))?;
                actions.clear();
                Ok(())
            }
            "DIRECTORY" => {
                let row = Row { message: "DIRECTORY", values };
                let page = events::page(row.list(1, "Items")?)?;
                self.pages.insert(row.whole_number(0, "Page")?, page);
                Ok(())
            }
            name => {
                let event = events::event(name, values, &self.pages)?;
                let gateway = self.gateways.get_mut(&id);
                let gateway = gateway.ok_or_else(|| MessageError::NoInstance(name.to_owned(), id))?;
                event.into_iter().for_each(|event| gateway.handle(now, event, actions));
                Ok(())
            }
        }
    }

    fn start(&mut self, id: u64, row: Row) -> Result<(), MessageError> {
        let options = Options::read(row.value(1, "Options")?).map_err(MessageError::Options)?;
        let seed = row.whole_number(0, "Nonce64")?;
        let gateway = Gateway::new(options.settings, seed).map_err(MessageError::Settings)?;
        self.gateways.insert(id, gateway);
        Ok(())
    }

    fn batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::Malformed)?;
        let mut groups = Vec::new();
        for inbox in &batch.groups {
            let mut actions = Vec::new();
            for message in &inbox.msgs {
                let done = self.message(batch.moment, inbox.gateway, message, &mut actions);
                done.map_err(|error| AdapterError::Message(batch.n, error))?;
            }
            if !actions.is_empty() {
                let decisions: Vec<Value> = actions.into_iter().map(decision).collect();
                groups.push(json!({"GatekeeperId": inbox.gateway, "decisions": decisions}));
            }
        }
        Ok(json!({"n": batch.n, "groups": groups}))
    }
}

/// An action as the wire has it.
fn decision(action: Action) -> Value {
    match action {
        Action::StartAttempt { request_id, endpoint, timeout, .. } => {
            json!(["PLACE", &*request_id, timeout, &*endpoint])
        }
        Action::Reject { request_id, retry_after } => json!(["PUSH_BACK", &*request_id, retry_after]),
        Action::Fail { request_id } => json!(["SURRENDER", &*request_id]),
        Action::SetTimer { token, at } => json!(["DEFER", token, at]),
        Action::AddToCounter { counter, amount, ttl } => json!(["INCR", counter, amount, ttl]),
        Action::PollEndpoints => json!(["SUBSCRIBE", true]),
        other => json!(["PANIC", format!("no wire form for {other:?}")]),
    }
}

fn serve() -> Result<(), AdapterError> {
    let (stdin, mut stdout) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.map_err(AdapterError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line)?;
        writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).map_err(AdapterError::Output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oliverack-sim: {error}");
            ExitCode::FAILURE
        }
    }
}
