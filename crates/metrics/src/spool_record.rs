//! Records of a spool: export frames on disk, each recognised as valid or torn.
//!
//! A record is a header of [`HEADER_BYTES`] bytes (the body's length, the frame's number of samples and the XXH3 checksum of
//! both and the body, integers little-endian) and a body, the frame compressed with zstd. A segment is a sequence of
//! records. What follows its first invalid record is a torn tail, which was being written when the process ended.

use xxhash_rust::xxh3::Xxh3;

/// Bytes before a record's body.
pub const HEADER_BYTES: usize = 4 + 4 + 8;
/// The largest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// The zstd compression level.
const COMPRESSION_LEVEL: i32 = 3;

/// A frame and the number of samples in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The bytes that the exporter sends.
    pub frame: Vec<u8>,
    /// The samples in the frame.
    pub samples: u32,
    /// Bytes that the record takes in its segment.
    pub size_bytes: usize,
}

/// The valid records at the beginning of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ValidPrefix {
    /// Their length in bytes.
    pub bytes: usize,
    /// Their number.
    pub records: usize,
    /// The samples in them.
    pub samples: u64,
}

fn checksum(length: u32, samples: u32, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&samples.to_le_bytes());
    hasher.update(body);
    hasher.digest()
}

/// Encodes a frame as a record; none if it is larger than [`MAX_FRAME_BYTES`] or cannot be compressed.
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

/// Decodes the first record of some bytes; none where they end, are torn or are not a record.
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

/// Measures the valid records at the beginning of some bytes.
pub fn valid_prefix(bytes: &[u8]) -> ValidPrefix {
    let mut prefix = ValidPrefix::default();
    while let Some(record) = decode_first(&bytes[prefix.bytes..]) {
        prefix.bytes += record.size_bytes;
        prefix.records += 1;
        prefix.samples += u64::from(record.samples);
    }
    prefix
}
