//! The endpoints in maintenance, in the form that is sent to another process and kept in a file.

use honeyknot_balancer::Micros;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// What the file begins with: its format and version.
const MAGIC: &str = "honeyknot-by-hand 1";

/// The endpoints in maintenance, and those whose maintenance has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Endpoints in maintenance.
    #[serde(rename = "out")]
    pub ongoing: Vec<OngoingMaintenance>,
    /// Endpoints whose maintenance has ended.
    #[serde(rename = "back")]
    pub ended: Vec<EndedMaintenance>,
}

/// An endpoint in maintenance; encoded as an array of its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, Micros)", into = "(String, Micros)")]
pub struct OngoingMaintenance {
    /// The endpoint's id.
    pub id: String,
    /// When it began, in Unix microseconds.
    pub since: Micros,
}

impl From<(String, Micros)> for OngoingMaintenance {
    fn from((id, since): (String, Micros)) -> OngoingMaintenance {
        OngoingMaintenance { id, since }
    }
}

impl From<OngoingMaintenance> for (String, Micros) {
    fn from(ongoing: OngoingMaintenance) -> (String, Micros) {
        (ongoing.id, ongoing.since)
    }
}

/// An endpoint whose maintenance has ended; encoded as an array of its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, Micros, Micros)", into = "(String, Micros, Micros)")]
pub struct EndedMaintenance {
    /// The endpoint's id.
    pub id: String,
    /// When it began, in Unix microseconds.
    pub from: Micros,
    /// When it ended, in Unix microseconds.
    pub to: Micros,
}

impl From<(String, Micros, Micros)> for EndedMaintenance {
    fn from((id, from, to): (String, Micros, Micros)) -> EndedMaintenance {
        EndedMaintenance { id, from, to }
    }
}

impl From<EndedMaintenance> for (String, Micros, Micros) {
    fn from(ended: EndedMaintenance) -> (String, Micros, Micros) {
        (ended.id, ended.from, ended.to)
    }
}

/// Why a file's bytes hold no maintenance state.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceFileError {
    /// The bytes are not UTF-8.
    #[error("it is no text")]
    NotText,
    /// The bytes end before the state does.
    #[error("it ends early")]
    Truncated,
    /// The file begins with another format or version.
    #[error("it is of another form")]
    UnknownFormat,
    /// The checksum does not match.
    #[error("its sum is wrong: it is torn or damaged")]
    ChecksumMismatch,
    /// The body is not the state's JSON.
    #[error(transparent)]
    NotJson(#[from] serde_json::Error),
}

impl MaintenanceState {
    /// Encodes the file's bytes: format and checksum on the first line, JSON on the second.
    pub fn to_file_bytes(&self) -> Vec<u8> {
        // A record of strings and numbers can always be encoded.
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {:016x}\n{body}\n", xxh3_64(body.as_bytes())).into_bytes()
    }

    /// Decodes a file's bytes.
    ///
    /// # Errors
    /// If any byte is missing or changed, or the file is of another format.
    pub fn from_file_bytes(bytes: &[u8]) -> Result<MaintenanceState, MaintenanceFileError> {
        let text = std::str::from_utf8(bytes).map_err(|_| MaintenanceFileError::NotText)?;
        let (head, body) = text.split_once('\n').ok_or(MaintenanceFileError::Truncated)?;
        let checksum = head.strip_prefix(MAGIC).ok_or(MaintenanceFileError::UnknownFormat)?.trim();
        let body = body.strip_suffix('\n').ok_or(MaintenanceFileError::Truncated)?;
        if u64::from_str_radix(checksum, 16) != Ok(xxh3_64(body.as_bytes())) {
            return Err(MaintenanceFileError::ChecksumMismatch);
        }
        Ok(serde_json::from_str(body)?)
    }
}
