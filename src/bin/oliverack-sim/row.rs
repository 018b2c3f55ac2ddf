//! The positional values of one message of the wire, read by place and name.

use oliverack::{LoadReport, Status};
use serde_json::Value;
use std::fmt;

/// A value of a message, by their names on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Field {
    /// The message.
    pub message: &'static str,
    /// The value in it.
    pub name: &'static str,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.message, self.name)
    }
}

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// It is not there.
    Missing,
    /// It is of another kind than this.
    NotA(&'static str),
    /// It is none of those that the wire knows.
    Unknown,
}

/// A message that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowError {
    /// The value at fault.
    pub field: Field,
    /// What is wrong with it.
    pub fault: Fault,
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.fault {
            Fault::Missing => write!(f, "{} is missing", self.field),
            Fault::NotA(kind) => write!(f, "{} is not a {kind}", self.field),
            Fault::Unknown => write!(f, "{} is unknown", self.field),
        }
    }
}

impl std::error::Error for RowError {}

/// The values of one message.
#[derive(Debug, Clone, Copy)]
pub struct Row<'a> {
    /// The message's name on the wire.
    pub message: &'static str,
    /// Its values, in order.
    pub values: &'a [Value],
}

impl<'a> Row<'a> {
    fn error(&self, name: &'static str, fault: Fault) -> RowError {
        RowError { field: Field { message: self.message, name }, fault }
    }

    /// A value of no known name.
    pub fn unknown(&self, name: &'static str) -> RowError {
        self.error(name, Fault::Unknown)
    }

    /// A value that must be there.
    pub fn value(&self, place: usize, name: &'static str) -> Result<&'a Value, RowError> {
        let value = self.values.get(place).filter(|v| !v.is_null());
        value.ok_or_else(|| self.error(name, Fault::Missing))
    }

    /// A number.
    pub fn number(&self, place: usize, name: &'static str) -> Result<f64, RowError> {
        self.value(place, name)?.as_f64().ok_or_else(|| self.error(name, Fault::NotA("number")))
    }

    /// A number that may be missing.
    pub fn number_or(&self, place: usize, name: &'static str, default: f64) -> Result<f64, RowError> {
        let is_missing = self.values.get(place).is_none_or(Value::is_null);
        if is_missing { Ok(default) } else { self.number(place, name) }
    }

    /// A number without a fraction.
    pub fn whole_number(&self, place: usize, name: &'static str) -> Result<u64, RowError> {
        self.value(place, name)?.as_u64().ok_or_else(|| self.error(name, Fault::NotA("whole number")))
    }

    /// A string.
    pub fn text(&self, place: usize, name: &'static str) -> Result<&'a str, RowError> {
        self.value(place, name)?.as_str().ok_or_else(|| self.error(name, Fault::NotA("string")))
    }

    /// True or false.
    pub fn flag(&self, place: usize, name: &'static str) -> Result<bool, RowError> {
        self.value(place, name)?.as_bool().ok_or_else(|| self.error(name, Fault::NotA("bool")))
    }

    /// A list.
    pub fn list(&self, place: usize, name: &'static str) -> Result<&'a [Value], RowError> {
        let list = self.value(place, name)?.as_array().map(Vec::as_slice);
        list.ok_or_else(|| self.error(name, Fault::NotA("list")))
    }

    /// How an attempt, a probe or a counter call ended.
    pub fn status(&self, place: usize) -> Result<Status, RowError> {
        const NAME: &str = "Outcome";
        Ok(match self.text(place, NAME)? {
            "S" => Status::Ok,
            "E" => Status::Error,
            "F" => Status::Rejected,
            "T" => Status::Timeout,
            "C" => Status::ConnectFailed,
            "R" => Status::Reset,
            "X" => Status::Cancelled,
            "N" => Status::NotSent,
            _ => return Err(self.unknown(NAME)),
        })
    }

    /// A load report; values that are missing, or are no numbers, are left out.
    pub fn load(&self, place: usize) -> LoadReport {
        let report = self.values.get(place);
        let value = |key: &str| report.and_then(|r| r.get(key)).and_then(Value::as_f64);
        let mut load = LoadReport::default();
        load.inflight = value("busy_reqs");
        load.utilization = value("cpu_share");
        load
    }
}
