//! Why the simulator's input was refused.

use honeyknot_balancer::SettingsError as RejectedSettings;

use crate::settings::SettingsError;

/// Why the host stopped: the place in the input and what is wrong there.
#[derive(Debug, thiserror::Error)]
#[error("batch {batch}, line {line}: {source}")]
pub struct SimulatorError {
    /// Number of the batch, as its first message gives it.
    pub batch: u64,
    /// Line within the batch, from 1; before the first batch, line of the input.
    pub line: u64,
    /// What is wrong.
    pub source: MessageError,
}

/// What is wrong with a message, or with the order of messages.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The input cannot be read.
    #[error("unreadable input: {0}")]
    Unreadable(std::io::Error),
    /// The output cannot be written.
    #[error("standard output is closed")]
    OutputClosed,
    /// A line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A line is JSON, but not an array.
    #[error("a message is an array")]
    NotAnArray,
    /// A message does not begin with its name.
    #[error("a message begins with its name")]
    NoName,
    /// A batch begins before the one before it has ended.
    #[error("a batch begins inside another")]
    NestedBatch,
    /// The input ends before the batch does.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
    /// A message stands outside a batch.
    #[error("`{0}` outside a batch")]
    OutsideBatch(String),
    /// No message has this name.
    #[error("unknown message `{0}`")]
    UnknownMessage(String),
    /// A message is for an instance that is not configured.
    #[error("`{0}` for an instance that is not configured")]
    UnknownInstance(String),
    /// A message has more values than its kind allows.
    #[error("`{message}` has {found} values, not {allowed}")]
    TooManyValues {
        /// Name of the message.
        message: String,
        /// How many values it has.
        found: usize,
        /// How many it may have.
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
    /// A value is not of the expected form.
    #[error("`{message}`: value {position} is not {expected}")]
    WrongValue {
        /// Name of the message.
        message: String,
        /// Position of the value, from 1.
        position: usize,
        /// The expected form.
        expected: &'static str,
    },
    /// An entry of an endpoint list is not an array.
    #[error("`page`: a member is an array")]
    ListEntryNotAnArray,
    /// An endpoint update names a list that was not sent before.
    #[error("`targets` names a list that was never sent")]
    UnknownList,
    /// A payload is not pairs of hexadecimal digits.
    #[error("bytes are pairs of hex digits")]
    NotHexadecimal,
    /// The settings of an instance cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings of an instance contradict the balancer's limits.
    #[error("settings: {0}")]
    RejectedSettings(RejectedSettings),
}
