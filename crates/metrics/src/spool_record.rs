//! Records of a spool: frames that wait on disk for a sink, each whole or recognised as torn.
//!
//! A record is a head of [`HEAD`] bytes (the body's length, the frame's points and the XXH3 sum of both and the body, integers
//! little-endian) and a body, the frame compressed with zstd. A segment is a row of records. What follows the first
//! record that is not sound is a torn tail: it was being written when the relay died.

use xxhash_rust::xxh3::Xxh3;

/// Bytes before a record's body.
pub const HEAD: usize = 4 + 4 + 8;
/// The largest frame.
pub const LARGEST: usize = 8 << 20;
/// Compression: lines are much alike.
const LEVEL: i32 = 3;

/// A frame and the points that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What the sink is sent.
    pub frame: Vec<u8>,
    /// How many points that is.
    pub points: u32,
    /// Bytes that the record takes in its segment.
    pub size: usize,
}

fn sum(length: u32, points: u32, body: &[u8]) -> u64 {
    let mut sum = Xxh3::new();
    sum.update(&length.to_le_bytes());
    sum.update(&points.to_le_bytes());
    sum.update(body);
    sum.digest()
}

/// A frame as a record's bytes; none if it is larger than [`LARGEST`] or cannot be compressed.
pub fn encode(frame: &[u8], points: u32) -> Option<Vec<u8>> {
    let body = zstd::bulk::compress(frame, LEVEL).ok().filter(|_| frame.len() <= LARGEST)?;
    let length = u32::try_from(body.len()).ok()?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(points.to_le_bytes());
    bytes.extend(sum(length, points, &body).to_le_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// The first record of some bytes; none where they end, are torn, or are no records.
pub fn first(bytes: &[u8]) -> Option<Record> {
    let (head, rest) = bytes.split_at_checked(HEAD)?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (length, points) = (word(0), word(4));
    let told = u64::from(word(8)) | u64::from(word(12)) << 32;
    let body = rest.get(..length as usize)?;
    if sum(length, points, body) != told {
        return None;
    }
    let frame = zstd::bulk::decompress(body, LARGEST).ok()?;
    Some(Record { frame, points, size: HEAD + body.len() })
}

/// The length of the sound records at the beginning of some bytes, how many they are and their points.
pub fn sound(bytes: &[u8]) -> (usize, usize, u64) {
    let (mut at, mut count, mut points) = (0, 0, 0);
    while let Some(record) = first(&bytes[at..]) {
        at += record.size;
        count += 1;
        points += u64::from(record.points);
    }
    (at, count, points)
}
