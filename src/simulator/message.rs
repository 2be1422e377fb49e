//! A message of the simulator: its name, and typed access to its values by position.

use std::sync::Arc;

use honeyknot_balancer::{AttemptId, EndpointId, Outcome, RequestId};
use serde_json::Value;

use super::MessageError;

/// A message of the simulator. Values are indexed from 0 after the name; absent values at the end may be
/// omitted.
#[derive(Debug)]
pub(super) struct Message<'a> {
    pub(super) name: &'a str,
    pub(super) values: &'a [Value],
}

impl<'a> Message<'a> {
    /// Splits a line's JSON into the message's name and values.
    ///
    /// # Errors
    /// If the line is not a JSON array that begins with a string.
    pub(super) fn from_line(line: &'a Value) -> Result<Message<'a>, MessageError> {
        let fields = line.as_array().ok_or(MessageError::NotAnArray)?;
        let (first, values) = fields.split_first().ok_or(MessageError::NoName)?;
        let name = first.as_str().ok_or(MessageError::NoName)?;
        Ok(Message { name, values })
    }

    /// Checks that the message has at most `allowed` values.
    pub(super) fn expect_at_most(&self, allowed: usize) -> Result<(), MessageError> {
        let found = self.values.len();
        if found > allowed {
            return Err(MessageError::TooManyValues { message: self.name.to_owned(), found, allowed });
        }
        Ok(())
    }

    /// Returns a required value.
    pub(super) fn required(&self, index: usize) -> Result<&'a Value, MessageError> {
        let missing = || MessageError::MissingValue { message: self.name.to_owned(), position: index + 1 };
        self.optional(index).ok_or_else(missing)
    }

    /// Returns a value, or `None` if it is absent or null.
    pub(super) fn optional(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    /// Returns the error for a value that is not what was expected.
    pub(super) fn wrong(&self, index: usize, expected: &'static str) -> MessageError {
        MessageError::WrongValue { message: self.name.to_owned(), position: index + 1, expected }
    }

    /// Reads a required whole number.
    pub(super) fn u64(&self, index: usize) -> Result<u64, MessageError> {
        self.required(index)?.as_u64().ok_or_else(|| self.wrong(index, "a whole number"))
    }

    /// Reads a whole number, or the default if it is absent.
    pub(super) fn u64_or(&self, index: usize, default: u64) -> Result<u64, MessageError> {
        if self.optional(index).is_some() { self.u64(index) } else { Ok(default) }
    }

    /// Reads a required whole number below 2^32.
    pub(super) fn u32(&self, index: usize) -> Result<u32, MessageError> {
        u32::try_from(self.u64(index)?).map_err(|_| self.wrong(index, "a number below 2^32"))
    }

    /// Reads a required string.
    pub(super) fn str(&self, index: usize) -> Result<&'a str, MessageError> {
        self.required(index)?.as_str().ok_or_else(|| self.wrong(index, "a string"))
    }

    /// Reads a required array.
    pub(super) fn array(&self, index: usize) -> Result<&'a [Value], MessageError> {
        self.required(index)?.as_array().map(Vec::as_slice).ok_or_else(|| self.wrong(index, "an array"))
    }

    /// Reads a required number.
    pub(super) fn f64(&self, index: usize) -> Result<f64, MessageError> {
        self.required(index)?.as_f64().ok_or_else(|| self.wrong(index, "a number"))
    }

    /// Reads a number; returns `None` if it is absent.
    pub(super) fn optional_f64(&self, index: usize) -> Result<Option<f64>, MessageError> {
        if self.optional(index).is_some() { self.f64(index).map(Some) } else { Ok(None) }
    }

    /// Reads a boolean, which is false if it is absent.
    pub(super) fn bool(&self, index: usize) -> Result<bool, MessageError> {
        match self.optional(index) {
            None => Ok(false),
            Some(value) => value.as_bool().ok_or_else(|| self.wrong(index, "a boolean")),
        }
    }

    /// Reads a string; returns `None` if it is absent.
    pub(super) fn optional_text(&self, index: usize) -> Result<Option<Arc<str>>, MessageError> {
        match self.optional(index) {
            None => Ok(None),
            Some(value) => {
                value.as_str().map(|text| Some(Arc::from(text))).ok_or_else(|| self.wrong(index, "a string"))
            }
        }
    }

    /// Reads a request's id.
    pub(super) fn request(&self, index: usize) -> Result<RequestId, MessageError> {
        self.u32(index).map(RequestId)
    }

    /// Reads an attempt's number.
    pub(super) fn attempt(&self, index: usize) -> Result<AttemptId, MessageError> {
        self.u32(index).map(AttemptId)
    }

    /// Reads an endpoint's id.
    pub(super) fn endpoint(&self, index: usize) -> Result<EndpointId, MessageError> {
        self.str(index).map(|id| EndpointId(Arc::from(id)))
    }

    /// Reads the outcome of an attempt or a health check, encoded as a status code.
    pub(super) fn outcome(&self, index: usize) -> Result<Outcome, MessageError> {
        match self.u64(index)? {
            200 => Ok(Outcome::Ok),
            410 => Ok(Outcome::NotSent),
            499 => Ok(Outcome::Cancelled),
            500 => Ok(Outcome::Error),
            502 => Ok(Outcome::ConnectFailed),
            503 => Ok(Outcome::Rejected),
            504 => Ok(Outcome::Timeout),
            598 => Ok(Outcome::Reset),
            _ => Err(self.wrong(index, "a known outcome")),
        }
    }
}
