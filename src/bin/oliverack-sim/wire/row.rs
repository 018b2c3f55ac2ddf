//! The positional values of one message, read by index and named in errors.

use oliverack::{LoadReport, Status};
use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// The name of a value and of its message.
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

/// A value that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldError {
    /// It is missing.
    #[error("{0} is missing")]
    Missing(Field),
    /// It has the wrong type.
    #[error("{field} is not a {expected}")]
    WrongType {
        /// The value.
        field: Field,
        /// The type that it should have.
        expected: &'static str,
    },
    /// It is none of the values that the wire has.
    #[error("{0} is unknown")]
    UnknownValue(Field),
}

/// The values of one message.
#[derive(Debug, Clone, Copy)]
pub struct Row<'a> {
    message: &'static str,
    values: &'a [Value],
}

impl<'a> Row<'a> {
    /// The values of `message`, in order.
    pub fn new(message: &'static str, values: &'a [Value]) -> Self {
        Self { message, values }
    }

    fn field(&self, name: &'static str) -> Field {
        Field { message: self.message, name }
    }

    fn wrong_type(&self, name: &'static str, expected: &'static str) -> FieldError {
        FieldError::WrongType { field: self.field(name), expected }
    }

    /// The error for a value that is none of those that the wire has.
    pub fn unknown_value(&self, name: &'static str) -> FieldError {
        FieldError::UnknownValue(self.field(name))
    }

    /// A value that must be present.
    pub fn value(&self, index: usize, name: &'static str) -> Result<&'a Value, FieldError> {
        let value = self.values.get(index).filter(|value| !value.is_null());
        value.ok_or_else(|| FieldError::Missing(self.field(name)))
    }

    /// A number.
    pub fn number(&self, index: usize, name: &'static str) -> Result<f64, FieldError> {
        self.value(index, name)?.as_f64().ok_or_else(|| self.wrong_type(name, "number"))
    }

    /// A number that may be missing.
    pub fn number_or(&self, index: usize, name: &'static str, default: f64) -> Result<f64, FieldError> {
        let is_missing = self.values.get(index).is_none_or(Value::is_null);
        if is_missing { Ok(default) } else { self.number(index, name) }
    }

    /// A number without a fraction.
    pub fn whole_number(&self, index: usize, name: &'static str) -> Result<u64, FieldError> {
        self.value(index, name)?.as_u64().ok_or_else(|| self.wrong_type(name, "whole number"))
    }

    /// A string.
    pub fn text(&self, index: usize, name: &'static str) -> Result<&'a str, FieldError> {
        self.value(index, name)?.as_str().ok_or_else(|| self.wrong_type(name, "string"))
    }

    /// A boolean.
    pub fn flag(&self, index: usize, name: &'static str) -> Result<bool, FieldError> {
        self.value(index, name)?.as_bool().ok_or_else(|| self.wrong_type(name, "bool"))
    }

    /// A list.
    pub fn list(&self, index: usize, name: &'static str) -> Result<&'a [Value], FieldError> {
        let list = self.value(index, name)?.as_array().map(Vec::as_slice);
        list.ok_or_else(|| self.wrong_type(name, "list"))
    }

    /// How an attempt, a health check or a counter call ended.
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

    /// A load report. Values that are missing or not numbers are left out.
    pub fn load_report(&self, index: usize) -> LoadReport {
        let report = self.values.get(index);
        let value = |key: &str| report.and_then(|report| report.get(key)).and_then(Value::as_f64);
        let mut load = LoadReport::default();
        load.in_flight = value("busy_reqs");
        load.utilization = value("cpu_share");
        load
    }
}
