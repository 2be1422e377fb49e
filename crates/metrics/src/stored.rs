//! What a book holds, as bytes that last: a snapshot that is recognised whole or not at all.
//!
//! A snapshot is a head of [`HEAD`] bytes and a body. The head holds the magic `HKGAUGES`, the format's version, the body's length
//! and the XXH3 sum of version, length and body (integers little-endian); the body is a postcard record, compressed
//! with zstd. Any cut, or any bit that differs, fails the sum: a torn snapshot never brings a wrong number.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// What each snapshot begins with.
pub const MAGIC: &[u8; 8] = b"HKGAUGES";
/// The format's version.
const VERSION: u32 = 1;
/// Bytes before the body.
pub const HEAD: usize = 8 + 4 + 4 + 8;
/// The largest body, and the largest record in it: far above what the cap on series allows.
const LARGEST: usize = 16 << 20;
/// Compression: the records are small and alike.
const LEVEL: i32 = 3;

/// A total by its names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterState {
    /// The family's name.
    pub name: String,
    /// The tag's value; empty where there is no tag.
    pub value: String,
    /// The total.
    pub total: u64,
}

/// A histogram by its name: how often each recorded value was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramState {
    /// The family's name.
    pub name: String,
    /// Values and their counts.
    pub counts: Vec<(u64, u64)>,
}

/// All that lasts of a book. Gauges are of the moment and do not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMetrics {
    /// The relay's name: a snapshot of another relay is not taken.
    pub relay: String,
    /// When it was taken, in Unix microseconds.
    pub at: u64,
    /// Lives of the relay so far.
    pub lives: u64,
    /// The totals.
    pub counters: Vec<CounterState>,
    /// The histograms.
    pub histograms: Vec<HistogramState>,
}

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// They are too few, or more than the head tells.
    #[error("the snapshot has {0} bytes where {1} belong")]
    Length(usize, usize),
    /// They do not begin as a snapshot does.
    #[error("this is no snapshot")]
    Magic,
    /// A later program wrote them.
    #[error("the snapshot is of version {0}; this program reads version {VERSION}")]
    Version(u32),
    /// The sum differs: torn or damaged.
    #[error("the snapshot's sum is wrong: it is torn or damaged")]
    Sum,
    /// The sum is right, but the record makes no sense.
    #[error("the snapshot's record cannot be read: {0}")]
    Record(String),
}

fn sum(version: u32, body: &[u8]) -> u64 {
    let mut sum = Xxh3::new();
    sum.update(&version.to_le_bytes());
    sum.update(&(body.len() as u64).to_le_bytes());
    sum.update(body);
    sum.digest()
}

impl StoredMetrics {
    /// The snapshot's bytes.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let told = |e: &dyn std::fmt::Display| SnapshotError::Record(e.to_string());
        let record = postcard::to_allocvec(self).map_err(|e| told(&e))?;
        let body = zstd::bulk::compress(&record, LEVEL).map_err(|e| told(&e))?;
        if record.len() > LARGEST || body.len() > LARGEST {
            return Err(SnapshotError::Record(format!("it is larger than {LARGEST} bytes")));
        }
        let mut bytes = MAGIC.to_vec();
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(sum(VERSION, &body).to_le_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Reads a snapshot's bytes.
    pub fn decode(bytes: &[u8]) -> Result<StoredMetrics, SnapshotError> {
        let Some((head, body)) = bytes.split_at_checked(HEAD) else {
            return Err(SnapshotError::Length(bytes.len(), HEAD));
        };
        if &head[..8] != MAGIC {
            return Err(SnapshotError::Magic);
        }
        let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (version, length) = (word(8), word(12) as usize);
        if body.len() != length {
            return Err(SnapshotError::Length(bytes.len(), HEAD.saturating_add(length)));
        }
        let told = u64::from(word(16)) | u64::from(word(20)) << 32;
        if sum(version, body) != told {
            return Err(SnapshotError::Sum);
        }
        if version != VERSION {
            return Err(SnapshotError::Version(version));
        }
        let record =
            zstd::bulk::decompress(body, LARGEST).map_err(|e| SnapshotError::Record(e.to_string()))?;
        postcard::from_bytes(&record).map_err(|e| SnapshotError::Record(e.to_string()))
    }
}
