//! Why a client's line is not a valid request.

use thiserror::Error;

/// A violation of the line protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line feed follows another byte than a carriage return.
    #[error("a line ends without CR")]
    LineWithoutCarriageReturn,
    /// A line is longer than [`MAX_LINE_BYTES`](super::MAX_LINE_BYTES).
    #[error("a line is too long")]
    LineTooLong,
    /// A request is not terminated by CRLF.
    #[error("a line ends without CRLF")]
    LineWithoutCrlf,
    /// A request has other bytes than printable ASCII and spaces.
    #[error("a line is not plain text")]
    NotPlainText,
    /// A request does not begin with `OPEN`, an id and a session key.
    #[error("a first line is no OPEN with id and key")]
    NotAnOpenRequest,
    /// An `OPEN` has an empty id or key, or more than one list of fields.
    #[error("an OPEN has words missing or too many")]
    WrongWordCount,
    /// A field has no name or no value.
    #[error("a figure has no value")]
    FieldWithoutValue,
    /// The time that the client waits is not a positive number of milliseconds.
    #[error("a client's wait is no number of 1 or more")]
    InvalidTimeRemaining,
    /// The time that the client waits is given more than once.
    #[error("a client's wait is told twice")]
    RepeatedTimeRemaining,
    /// The expected load is not a finite number of zero or more.
    #[error("a guess at the load is no number")]
    InvalidExpectedLoad,
    /// The request was not complete in time.
    #[error("a first line is not whole in time")]
    FirstLineTimeout,
    /// The client sent further bytes before its request was answered.
    #[error("more than a first line before any answer")]
    DataBeforeAnswer,
    /// The client closed the connection within its request.
    #[error("a first line is cut short")]
    FirstLineTruncated,
}
