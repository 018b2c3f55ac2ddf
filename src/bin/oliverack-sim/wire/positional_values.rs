//! Access to the positional values of a message by index. Errors name the value and the message.

use oliverack::{LoadReport, Status};
use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// Names of a value and of the message that contains it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Field {
    /// Name of the message.
    pub message: &'static str,
    /// Name of the value.
    pub name: &'static str,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.message, self.name)
    }
}

/// Reason to reject a value of a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldError {
    /// The value is missing or null.
    #[error("{0} is missing")]
    Missing(Field),
    /// The value has the wrong type.
    #[error("{field} is not a {expected}")]
    WrongType {
        /// Name of the value.
        field: Field,
        /// Name of the expected type.
        expected: &'static str,
    },
    /// The value is none of those that the format defines, or refers to an unknown endpoint list.
    #[error("{0} is unknown")]
    UnknownValue(Field),
}

/// The positional values of a message, or of an endpoint in a list.
#[derive(Debug, Clone, Copy)]
pub struct PositionalValues<'a> {
    message: &'static str,
    values: &'a [Value],
}

impl<'a> PositionalValues<'a> {
    /// Wraps the values of a message. Errors name `message` as their source.
    pub fn new(message: &'static str, values: &'a [Value]) -> Self {
        Self { message, values }
    }

    fn field(&self, name: &'static str) -> Field {
        Field { message: self.message, name }
    }

    fn wrong_type(&self, name: &'static str, expected: &'static str) -> FieldError {
        FieldError::WrongType { field: self.field(name), expected }
    }

    /// Returns the error for a value that the format does not define.
    pub fn unknown_value(&self, name: &'static str) -> FieldError {
        FieldError::UnknownValue(self.field(name))
    }

    /// Returns a value that must be present.
    pub fn value(&self, index: usize, name: &'static str) -> Result<&'a Value, FieldError> {
        let value = self.values.get(index).filter(|value| !value.is_null());
        value.ok_or_else(|| FieldError::Missing(self.field(name)))
    }

    /// Returns a number that must be present.
    pub fn number(&self, index: usize, name: &'static str) -> Result<f64, FieldError> {
        self.value(index, name)?.as_f64().ok_or_else(|| self.wrong_type(name, "number"))
    }

    /// Returns a number, or `default` if the value is missing or null.
    pub fn number_or(&self, index: usize, name: &'static str, default: f64) -> Result<f64, FieldError> {
        let is_missing = self.values.get(index).is_none_or(Value::is_null);
        if is_missing { Ok(default) } else { self.number(index, name) }
    }

    /// Returns a whole number that must be present and not negative.
    pub fn whole_number(&self, index: usize, name: &'static str) -> Result<u64, FieldError> {
        self.value(index, name)?.as_u64().ok_or_else(|| self.wrong_type(name, "whole number"))
    }

    /// Returns a string that must be present.
    pub fn text(&self, index: usize, name: &'static str) -> Result<&'a str, FieldError> {
        self.value(index, name)?.as_str().ok_or_else(|| self.wrong_type(name, "string"))
    }

    /// Returns a boolean that must be present.
    pub fn boolean(&self, index: usize, name: &'static str) -> Result<bool, FieldError> {
        self.value(index, name)?.as_bool().ok_or_else(|| self.wrong_type(name, "bool"))
    }

    /// Returns a list that must be present.
    pub fn list(&self, index: usize, name: &'static str) -> Result<&'a [Value], FieldError> {
        let list = self.value(index, name)?.as_array().map(Vec::as_slice);
        list.ok_or_else(|| self.wrong_type(name, "list"))
    }

    /// Returns the result of an attempt, a health check or a counter call.
    pub fn status(&self, index: usize) -> Result<Status, FieldError> {
        const NAME: &str = "Outcome";
        Ok(match self.text(index, NAME)? {
            "S" => Status::Ok,
            "E" => Status::Error,
            "F" => Status::Rejected,
            "T" => Status::Timeout,
            "C" => Status::ConnectFailed,
            "R" => Status::Reset,
            "X" => Status::Cancelled,
            "N" => Status::NotSent,
            _ => return Err(self.unknown_value(NAME)),
        })
    }

    /// Returns a load report without the values that are missing or not numbers.
    pub fn load_report(&self, index: usize) -> LoadReport {
        let report = self.values.get(index);
        let value = |key: &str| report.and_then(|report| report.get(key)).and_then(Value::as_f64);
        let mut load = LoadReport::default();
        load.in_flight = value("busy_reqs");
        load.utilization = value("cpu_share");
        load
    }
}
