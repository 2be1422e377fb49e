//! The endpoints in maintenance, as sent to another process of this relay and saved in a file.

use honeyknot_balancer::Micros;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of the file: its format and version.
const MAGIC: &str = "honeyknot-by-hand 1";

/// The endpoints in maintenance, and the last maintenance of those where it has ended.
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
    /// When the maintenance began, in Unix microseconds.
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
    /// When the maintenance began, in Unix microseconds.
    pub from: Micros,
    /// When the maintenance ended, in Unix microseconds.
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

/// Why a maintenance file cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceFileError {
    /// The bytes are not UTF-8.
    #[error("the file is not UTF-8 text")]
    NotText,
    /// The file ends too early.
    #[error("the file is truncated")]
    Truncated,
    /// The file does not begin with the expected format and version.
    #[error("the file is not a maintenance file of this version")]
    UnknownFormat,
    /// The checksum does not match the file's content.
    #[error("checksum mismatch: the file is truncated or damaged")]
    ChecksumMismatch,
    /// The body is not a maintenance state in JSON.
    #[error(transparent)]
    NotJson(#[from] serde_json::Error),
}

impl MaintenanceState {
    /// Encodes the file: format and checksum on the first line, JSON on the second.
    pub fn to_file_bytes(&self) -> Vec<u8> {
        // Strings and numbers can always be encoded.
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {:016x}\n{body}\n", xxh3_64(body.as_bytes())).into_bytes()
    }

    /// Decodes the bytes of a maintenance file.
    ///
    /// # Errors
    /// If any byte is missing or changed, or the file has another format or version.
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
