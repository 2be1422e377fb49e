//! Counters and histograms as they are stored, in a snapshot that is decoded as a whole or not at all.
//!
//! A snapshot is a header of [`HEADER_BYTES`] bytes and a body. The header holds the magic `HKGAUGES`, the format's version, the body's length
//! and the XXH3 checksum of version, length and body (integers little-endian); the body is a postcard record, compressed
//! with zstd. Any cut, or any bit that differs, fails the checksum.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The first bytes of each snapshot.
pub const MAGIC: &[u8; 8] = b"HKGAUGES";
/// The format's version.
const VERSION: u32 = 1;
/// Bytes before the body.
pub const HEADER_BYTES: usize = 8 + 4 + 4 + 8;
/// The largest body, compressed or not, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The zstd compression level.
const COMPRESSION_LEVEL: i32 = 3;

/// A stored counter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterState {
    /// The family's name.
    pub name: String,
    /// The tag's value; empty where there is no tag.
    pub tag_value: String,
    /// The total.
    pub total: u64,
}

/// A stored histogram: how often each recorded value was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramState {
    /// The family's name.
    pub name: String,
    /// Values and their counts.
    pub counts: Vec<(u64, u64)>,
}

/// The stored metrics of a relay. The order of fields is the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMetrics {
    /// The relay's name.
    pub relay: String,
    /// When they were stored, in Unix microseconds.
    pub timestamp: u64,
    /// The number of the process among those that stored metrics, from 1.
    pub incarnation: u64,
    /// The counters.
    pub counters: Vec<CounterState>,
    /// The histograms.
    pub histograms: Vec<HistogramState>,
}

/// Why bytes are not a valid snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// Their length is not that of the header and body.
    #[error("the snapshot has {0} bytes where {1} belong")]
    Length(usize, usize),
    /// They do not begin with [`MAGIC`].
    #[error("this is no snapshot")]
    Magic,
    /// A later version wrote them.
    #[error("the snapshot is of version {0}; this program reads version {VERSION}")]
    Version(u32),
    /// The checksum differs.
    #[error("the snapshot's sum is wrong: it is torn or damaged")]
    Checksum,
    /// The body cannot be encoded or decoded.
    #[error("the snapshot's record cannot be read: {0}")]
    Record(String),
}

fn checksum(version: u32, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&version.to_le_bytes());
    hasher.update(&(body.len() as u64).to_le_bytes());
    hasher.update(body);
    hasher.digest()
}

impl StoredMetrics {
    /// Encodes a snapshot.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Record`] if the metrics cannot be encoded or are too large.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let record_error = |error: &dyn std::fmt::Display| SnapshotError::Record(error.to_string());
        let record = postcard::to_allocvec(self).map_err(|e| record_error(&e))?;
        let body = zstd::bulk::compress(&record, COMPRESSION_LEVEL).map_err(|e| record_error(&e))?;
        if record.len() > MAX_BODY_BYTES || body.len() > MAX_BODY_BYTES {
            return Err(SnapshotError::Record(format!("it is larger than {MAX_BODY_BYTES} bytes")));
        }
        let mut bytes = MAGIC.to_vec();
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(checksum(VERSION, &body).to_le_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Any [`SnapshotError`] if the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<StoredMetrics, SnapshotError> {
        let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
            return Err(SnapshotError::Length(bytes.len(), HEADER_BYTES));
        };
        if &header[..8] != MAGIC {
            return Err(SnapshotError::Magic);
        }
        let word =
            |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        let (version, length) = (word(8), word(12) as usize);
        if body.len() != length {
            return Err(SnapshotError::Length(bytes.len(), HEADER_BYTES.saturating_add(length)));
        }
        let expected = u64::from(word(16)) | u64::from(word(20)) << 32;
        if checksum(version, body) != expected {
            return Err(SnapshotError::Checksum);
        }
        if version != VERSION {
            return Err(SnapshotError::Version(version));
        }
        let record =
            zstd::bulk::decompress(body, MAX_BODY_BYTES).map_err(|e| SnapshotError::Record(e.to_string()))?;
        postcard::from_bytes(&record).map_err(|e| SnapshotError::Record(e.to_string()))
    }
}
