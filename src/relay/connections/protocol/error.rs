//! Errors in the lines that clients send.

use thiserror::Error;

/// A violation of the line protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line feed is not preceded by a carriage return.
    #[error("a line feed (LF) is not preceded by a carriage return (CR)")]
    LineWithoutCarriageReturn,
    /// A line is longer than [`MAX_LINE_BYTES`](super::MAX_LINE_BYTES).
    #[error("a line exceeds the maximum length")]
    LineTooLong,
    /// A request does not end with CRLF.
    #[error("the request does not end with CRLF")]
    LineWithoutCrlf,
    /// A request contains bytes other than printable ASCII and spaces.
    #[error("the request contains bytes other than printable ASCII and spaces")]
    NotPlainText,
    /// A request does not begin with `OPEN`, an id and a session key.
    #[error("the first line is not a request of the form `OPEN ID KEY`")]
    NotAnOpenRequest,
    /// A request has an empty id or session key, or more than one list of fields.
    #[error("the request has an empty id or session key, or more words than `OPEN ID KEY FIELDS`")]
    WrongWordCount,
    /// A field has no `=` or an empty value.
    #[error("a field of the request is not of the form `name=value`")]
    FieldWithoutValue,
    /// The time remaining is not a positive number of milliseconds.
    #[error("the time remaining (field `d`) is not a whole number of milliseconds of at least 1")]
    InvalidTimeRemaining,
    /// The time remaining is given more than once.
    #[error("the time remaining (field `d`) is given more than once")]
    RepeatedTimeRemaining,
    /// The expected load is not a finite number of at least 0.
    #[error("the expected load (field `h`) is not a finite number of at least 0")]
    InvalidExpectedLoad,
    /// The client did not send a complete request in time.
    #[error("no complete request within the time limit")]
    FirstLineTimeout,
    /// The client sent more data before its previous line was answered.
    #[error("the client sent more data before its previous line was answered")]
    DataBeforeAnswer,
    /// The client closed the connection in the middle of a line.
    #[error("the client closed the connection in the middle of a line")]
    FirstLineTruncated,
}
