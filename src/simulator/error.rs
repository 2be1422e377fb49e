//! Why the simulator's input is rejected.

use honeyknot_balancer::SettingsError as RejectedSettings;

use crate::settings::SettingsError;

/// Why the host stopped, and where in the input.
#[derive(Debug, thiserror::Error)]
#[error("batch {batch}, line {line}: {source}")]
pub struct SimulatorError {
    /// The batch's number, given by its first message; 0 before the first batch.
    pub batch: u64,
    /// The line within the batch, from 1; before the first batch, the line of the input.
    pub line: u64,
    /// The cause.
    pub source: MessageError,
}

/// Why a message, or the order of messages, is invalid.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The input cannot be read.
    #[error("cannot read the input: {0}")]
    Unreadable(std::io::Error),
    /// The output cannot be written.
    #[error("cannot write to standard output")]
    OutputClosed,
    /// A line is not JSON.
    #[error("the line is not valid JSON: {0}")]
    NotJson(serde_json::Error),
    /// A line is JSON, but not an array.
    #[error("a message must be a JSON array")]
    NotAnArray,
    /// A message's first element is not a string.
    #[error("a message must begin with its name")]
    NoName,
    /// A batch begins before the one before it has ended.
    #[error("a batch begins inside another")]
    NestedBatch,
    /// The input ends before the batch does.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
    /// A message is outside a batch.
    #[error("`{0}` outside a batch")]
    OutsideBatch(String),
    /// A message has an unknown name.
    #[error("unknown message `{0}`")]
    UnknownMessage(String),
    /// A message is for an instance that is not configured.
    #[error("`{0}` for an instance that is not configured")]
    UnknownInstance(String),
    /// A message has more values than its kind allows.
    #[error("`{message}` has {found} values; at most {allowed} are allowed")]
    TooManyValues {
        /// Name of the message.
        message: String,
        /// The number of its values.
        found: usize,
        /// The largest allowed number.
        allowed: usize,
    },
    /// A required value is absent.
    #[error("`{message}`: value {position} is missing")]
    MissingValue {
        /// Name of the message.
        message: String,
        /// Position of the value, from 1.
        position: usize,
    },
    /// A value is not what was expected.
    #[error("`{message}`: value {position} is not {expected}")]
    WrongValue {
        /// Name of the message.
        message: String,
        /// Position of the value, from 1.
        position: usize,
        /// What was expected, such as "a whole number".
        expected: &'static str,
    },
    /// An entry of an endpoint list is not an array.
    #[error("`page`: an entry of the endpoint list is not an array")]
    ListEntryNotAnArray,
    /// An endpoint update names a list that was not sent before.
    #[error("`targets` names an endpoint list that was never sent")]
    UnknownList,
    /// The payload of a peer message is not pairs of hexadecimal digits.
    #[error("the payload is not pairs of hexadecimal digits")]
    NotHexadecimal,
    /// The settings of an instance cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The balancer rejects the settings of an instance.
    #[error("settings: {0}")]
    RejectedSettings(RejectedSettings),
}
