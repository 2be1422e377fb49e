//! The format in which counters and histograms are stored on disk. A stored snapshot is decoded completely or
//! not at all.
//!
//! A snapshot is a header of [`HEADER_BYTES`] bytes and a body. The header holds the magic bytes `HKGAUGES`,
//! the version of the format, the length of the body and the XXH3 checksum of version, length and body; all
//! integers are little-endian. The body is a postcard record, compressed with zstd. A truncated snapshot, or
//! one with any bit changed, is rejected.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// First bytes of every snapshot.
pub const MAGIC: &[u8; 8] = b"HKGAUGES";
/// Version of the format.
const VERSION: u32 = 1;
/// Size of the header, in bytes.
pub const HEADER_BYTES: usize = 8 + 4 + 4 + 8;
/// Maximum size of the body before and after compression, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// zstd compression level.
const COMPRESSION_LEVEL: i32 = 3;

/// A stored counter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterState {
    /// Name of the metric family.
    pub name: String,
    /// Value of the tag; empty if the family has no tag.
    pub tag_value: String,
    /// Total of the counter.
    pub total: u64,
}

/// A stored histogram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramState {
    /// Name of the metric family.
    pub name: String,
    /// Recorded values, each with the number of times it was recorded.
    pub counts: Vec<(u64, u64)>,
}

/// Stored metrics of a relay. The order of the fields is part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMetrics {
    /// Name of the relay.
    pub relay: String,
    /// Time at which the metrics were stored, in Unix microseconds.
    pub timestamp: u64,
    /// Number of the process among all processes that stored metrics for this relay, counted from 1.
    pub incarnation: u64,
    /// Counters other than 0.
    pub counters: Vec<CounterState>,
    /// Histograms.
    pub histograms: Vec<HistogramState>,
}

/// Why a snapshot cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The length is not the one that the header requires. Holds the actual and the required number of bytes.
    #[error("the snapshot has {0} bytes, but {1} are expected: it is truncated or damaged")]
    Length(usize, usize),
    /// The bytes do not begin with [`MAGIC`].
    #[error("the file is not a snapshot: it does not begin with `HKGAUGES`")]
    Magic,
    /// Another version of the program wrote the snapshot. Holds the version of the format.
    #[error("the snapshot has format version {0}, but this program reads only version {VERSION}")]
    Version(u32),
    /// The checksum does not match.
    #[error("the checksum of the snapshot does not match: it is truncated or damaged")]
    Checksum,
    /// The body cannot be encoded or decoded.
    #[error("the snapshot cannot be encoded or decoded: {0}")]
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
    /// Encodes the metrics as a snapshot.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Record`] if the metrics cannot be encoded or are too large.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let record_error = |error: &dyn std::fmt::Display| SnapshotError::Record(error.to_string());
        let record = postcard::to_allocvec(self).map_err(|e| record_error(&e))?;
        let body = zstd::bulk::compress(&record, COMPRESSION_LEVEL).map_err(|e| record_error(&e))?;
        if record.len() > MAX_BODY_BYTES || body.len() > MAX_BODY_BYTES {
            return Err(SnapshotError::Record(format!("the metrics are larger than {MAX_BODY_BYTES} bytes")));
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
