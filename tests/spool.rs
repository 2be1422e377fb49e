//! The spool on disk: frame order, size limit, and torn or damaged segments.

use std::fs;
use std::path::{Path, PathBuf};

use honeyknot_metrics::spool_record;
use honeyknot_relay::relay::metrics::spool::Spool;

/// A temporary directory, removed when dropped.
struct ScratchDirectory(PathBuf);

impl ScratchDirectory {
    fn new(name: &str) -> ScratchDirectory {
        let path = std::env::temp_dir().join(format!("honeyknot-spool-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        ScratchDirectory(path)
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a frame of pseudo-random bytes, which zstd cannot compress, that begins with its number.
fn frame(number: u64, size: usize) -> Vec<u8> {
    let mut state = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    let mut frame = number.to_le_bytes().to_vec();
    frame.extend((8..size).map(|_| next()));
    frame
}

/// Returns the path of the oldest segment file.
fn oldest_segment(directory: &Path) -> PathBuf {
    let entries = fs::read_dir(directory).expect("the directory is readable");
    entries.map(|entry| entry.expect("the entry is readable").path()).min().expect("the spool has a segment")
}

/// Marks every frame as sent and returns their numbers in order.
fn send_all(spool: &mut Spool) -> Vec<u64> {
    let mut numbers = Vec::new();
    while let Some(record) = spool.first().expect("the record is read") {
        numbers.push(u64::from_le_bytes(
            record.frame[..8].try_into().expect("the frame begins with its number"),
        ));
        spool.mark_sent(&record).expect("the record is marked as sent");
    }
    numbers
}

#[test]
fn spool_reopened_and_appended_to_returns_frames_in_order() {
    let directory = ScratchDirectory::new("order");
    let (mut spool, _) = Spool::open(&directory.0, 64 << 20).expect("the spool opens");
    for number in 0..30 {
        assert_eq!(spool.append(&frame(number, 200_000), 1).expect("the frame is appended"), 0);
    }
    let record = spool.first().expect("the record is read").expect("the spool has a record");
    spool.mark_sent(&record).expect("the record is marked as sent");
    drop(spool);
    let (mut spool, torn) = Spool::open(&directory.0, 64 << 20).expect("the spool opens");
    assert!(torn.is_empty() && !spool.is_empty());
    // The first segment is sent again from its beginning.
    spool.append(&frame(30, 100), 1).expect("the frame is appended");
    assert_eq!(send_all(&mut spool), (0..31).collect::<Vec<_>>());
    assert!(spool.is_empty() && spool.bytes() == 0);
    spool.append(&frame(31, 100), 1).expect("the frame is appended");
    assert_eq!(send_all(&mut spool), [31]);
}

#[test]
fn append_beyond_limit_drops_oldest_frames_and_returns_their_samples() {
    let directory = ScratchDirectory::new("bound");
    let (mut spool, _) = Spool::open(&directory.0, 3 << 20).expect("the spool opens");
    let dropped: u64 =
        (0..40).map(|n| spool.append(&frame(n, 200_000), 7).expect("the frame is appended")).sum();
    assert!(spool.bytes() <= 3 << 20);
    let remaining = send_all(&mut spool);
    assert_eq!(dropped, 7 * (40 - remaining.len() as u64));
    assert_eq!(remaining.last(), Some(&39));
    assert!(remaining.len() > 8, "{remaining:?}");
}

#[test]
fn torn_or_corrupted_records_are_rejected_and_open_truncates_the_segment() {
    let records: Vec<Vec<u8>> =
        (0..3).map(|n| spool_record::encode(&frame(n, 40), 1).expect("the record is encoded")).collect();
    let bytes = records.concat();
    let ends: Vec<usize> = records
        .iter()
        .scan(0, |end, record| {
            *end += record.len();
            Some(*end)
        })
        .collect();
    for cut in 0..bytes.len() {
        let prefix = spool_record::valid_prefix(&bytes[..cut]);
        assert_eq!(prefix.records, ends.iter().filter(|end| **end <= cut).count());
        assert!(prefix.bytes <= cut);
    }
    for bit in 0..bytes.len() * 8 {
        let mut torn = bytes.clone();
        torn[bit / 8] ^= 1 << (bit % 8);
        assert!(spool_record::valid_prefix(&torn).records < 3, "bit {bit}");
    }
    let directory = ScratchDirectory::new("torn");
    fs::create_dir_all(&directory.0).expect("the directory is created");
    let file = directory.0.join("wait-0000000000000001.spool");
    fs::write(&file, &bytes[..bytes.len() - 1]).expect("the file is written");
    let (mut spool, torn) = Spool::open(&directory.0, 1 << 20).expect("the spool opens");
    assert_eq!((torn.len(), torn[0].valid_bytes as usize), (1, ends[1]));
    spool.append(&frame(9, 40), 1).expect("the frame is appended");
    assert_eq!(send_all(&mut spool), [0, 1, 9]);
}

#[test]
fn segment_damaged_after_writing_loses_only_its_remaining_frames() {
    let directory = ScratchDirectory::new("damage");
    let (mut spool, _) = Spool::open(&directory.0, 64 << 20).expect("the spool opens");
    assert!((0..12).all(|n| spool.append(&frame(n, 300_000), 2).is_ok()));
    let segment = oldest_segment(&directory.0);
    let mut bytes = fs::read(&segment).expect("the segment is readable");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&segment, bytes).expect("the segment is written");
    assert_eq!(send_all(&mut spool), [0, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    assert_eq!(spool.take_lost_samples(), 4);
}
