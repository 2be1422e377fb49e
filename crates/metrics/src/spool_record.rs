//! Records of a spool: export frames on disk, with a checksum that detects incomplete and damaged records.
//!
//! A record is a header of [`HEADER_BYTES`] bytes and a body. The header holds the length of the body, the
//! number of samples in the frame and the XXH3 checksum of these two and the body; all integers are
//! little-endian. The body is the frame, compressed with zstd. A segment is a sequence of records. Bytes from
//! the first invalid record on are a torn write: they were being written when the process ended.

use xxhash_rust::xxh3::Xxh3;

/// Size of the header of a record, in bytes.
pub const HEADER_BYTES: usize = 4 + 4 + 8;
/// Maximum size of a frame before compression, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// zstd compression level.
const COMPRESSION_LEVEL: i32 = 3;

/// A decoded record: an export frame and its number of samples.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Bytes to send to the receiver.
    pub frame: Vec<u8>,
    /// Number of samples in the frame.
    pub samples: u32,
    /// Size of the record in its segment, in bytes.
    pub size_bytes: usize,
}

/// The valid records at the beginning of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ValidPrefix {
    /// Total size of the records, in bytes.
    pub bytes: usize,
    /// Number of records.
    pub records: usize,
    /// Total number of samples in the records.
    pub samples: u64,
}

fn checksum(length: u32, samples: u32, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&samples.to_le_bytes());
    hasher.update(body);
    hasher.digest()
}

/// Encodes a frame as a record. Returns `None` if the frame is larger than [`MAX_FRAME_BYTES`] or cannot be
/// compressed.
pub fn encode(frame: &[u8], samples: u32) -> Option<Vec<u8>> {
    let body =
        zstd::bulk::compress(frame, COMPRESSION_LEVEL).ok().filter(|_| frame.len() <= MAX_FRAME_BYTES)?;
    let length = u32::try_from(body.len()).ok()?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(samples.to_le_bytes());
    bytes.extend(checksum(length, samples, &body).to_le_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// Decodes the record at the beginning of `bytes`. Returns `None` if it is incomplete, damaged or not a
/// record.
pub fn decode_first(bytes: &[u8]) -> Option<Record> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let word = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let (length, samples) = (word(0), word(4));
    let expected = u64::from(word(8)) | u64::from(word(12)) << 32;
    let body = rest.get(..length as usize)?;
    if checksum(length, samples, body) != expected {
        return None;
    }
    let frame = zstd::bulk::decompress(body, MAX_FRAME_BYTES).ok()?;
    Some(Record { frame, samples, size_bytes: HEADER_BYTES + body.len() })
}

/// Finds the valid records at the beginning of `bytes`.
pub fn valid_prefix(bytes: &[u8]) -> ValidPrefix {
    let mut prefix = ValidPrefix::default();
    while let Some(record) = decode_first(&bytes[prefix.bytes..]) {
        prefix.bytes += record.size_bytes;
        prefix.records += 1;
        prefix.samples += u64::from(record.samples);
    }
    prefix
}
