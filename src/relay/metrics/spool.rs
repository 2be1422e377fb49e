//! A spool: frames that wait on disk for a sink, the oldest first, within a bound.
//!
//! A frame is synced when it is appended, so what waits here outlasts the relay. Segments are deleted once all in them
//! is sent; a relay that returns sends the oldest segment that is left again from its beginning, with the
//! times that its points had, which Graphite stores once. All calls block and are made where they may.

use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use honeyknot_metrics::spool_record::{self, Record};

use super::persistent_counters::numbered;

/// A segment is closed when it is as large as this.
const SEGMENT: u64 = 1 << 20;
/// The largest segment that is read: one record beyond the limit above.
const LARGEST: u64 = SEGMENT + (spool_record::LARGEST + spool_record::HEAD) as u64;

/// A segment on disk.
struct Segment {
    path: PathBuf,
    size: u64,
    points: u64,
}

/// A spool of one sink.
pub struct Spool {
    folder: PathBuf,
    segments: VecDeque<Segment>,
    /// The last segment, to which records are appended.
    open: Option<File>,
    next: u64,
    most: u64,
    /// Bytes of the first segment that are sent, and their points.
    sent: (u64, u64),
    /// The first segment's bytes as far as they were read.
    head: Vec<u8>,
    /// Points of segments that were damaged after they were written.
    damaged: u64,
}

/// What is wrong with a segment.
pub struct Torn {
    /// The segment.
    pub path: PathBuf,
    /// Its sound bytes, and all.
    pub sound: u64,
    /// See `sound`.
    pub size: u64,
}

impl Spool {
    /// Takes up a folder, made if it is missing, with a bound on its bytes. Torn tails are cut off and told.
    pub fn open(folder: &Path, most: u64) -> io::Result<(Spool, Vec<Torn>)> {
        fs::create_dir_all(folder)?;
        let found = numbered(folder, "wait-", ".spool")?;
        let next = found.last().map_or(1, |(number, _)| number + 1);
        let (mut segments, mut torn) = (VecDeque::new(), Vec::new());
        for (_, path) in found {
            let bytes = read(&path)?;
            let (sound, _, points) = spool_record::sound(&bytes);
            if sound < bytes.len() {
                OpenOptions::new().write(true).open(&path)?.set_len(sound as u64)?;
                torn.push(Torn { path: path.clone(), sound: sound as u64, size: bytes.len() as u64 });
            }
            match sound {
                0 => fs::remove_file(&path)?,
                _ => segments.push_back(Segment { path, size: sound as u64, points }),
            }
        }
        let folder = folder.to_owned();
        let (open, sent, head, damaged) = (None, (0, 0), Vec::new(), 0);
        Ok((Spool { folder, segments, open, next, most, sent, head, damaged }, torn))
    }

    /// Bytes on disk.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.size).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.segments.len() <= 1 && self.segments.front().is_none_or(|s| s.size == self.sent.0)
    }

    /// Appends a frame and syncs it; how many older points had to make room, segment by segment.
    pub fn append(&mut self, frame: &[u8], points: u32) -> io::Result<u64> {
        let record =
            spool_record::encode(frame, points).ok_or_else(|| io::Error::other("a frame is too large"))?;
        let size = record.len() as u64;
        let full = self.segments.back().is_none_or(|s| s.size + size > SEGMENT);
        if full || self.open.is_none() {
            let path = self.folder.join(format!("wait-{:016}.spool", self.next));
            self.open = Some(OpenOptions::new().append(true).create_new(true).open(&path)?);
            self.next += 1;
            self.segments.push_back(Segment { path, size: 0, points: 0 });
            File::open(&self.folder)?.sync_all()?;
        }
        let (Some(file), Some(segment)) = (&mut self.open, self.segments.back_mut()) else { return Ok(0) };
        if let Err(e) = file.write_all(&record).and_then(|()| file.sync_data()) {
            // What was written of it is cut off, or the next record would lie behind a torn one.
            let _ = file.set_len(segment.size);
            self.open = None;
            return Err(e);
        }
        segment.size += size;
        segment.points += u64::from(points);
        let mut dropped = 0;
        while self.bytes() > self.most && self.segments.len() > 1 {
            dropped += self.drop_first()?;
        }
        Ok(dropped)
    }

    /// Deletes the first segment; the points in it that were not sent.
    fn drop_first(&mut self) -> io::Result<u64> {
        let Some(first) = self.segments.front() else { return Ok(0) };
        fs::remove_file(&first.path)?;
        let unsent = first.points.saturating_sub(self.sent.1);
        self.segments.pop_front();
        self.sent = (0, 0);
        self.head.clear();
        Ok(unsent)
    }

    /// The oldest frame that is not sent yet. A segment is read once, and again only as it grows.
    pub fn first(&mut self) -> io::Result<Option<Record>> {
        while let Some(segment) = self.segments.front() {
            let at = self.sent.0 as usize;
            if self.sent.0 >= segment.size {
                // All that is there is sent; more may be appended.
                return Ok(None);
            }
            if at >= self.head.len() {
                self.head = read(&segment.path)?;
            }
            if let Some(record) = self.head.get(at..).and_then(spool_record::first) {
                return Ok(Some(record));
            }
            // Damaged since it was written: what follows in this segment cannot be told apart.
            if self.segments.len() == 1 {
                self.open = None;
            }
            self.damaged += self.drop_first()?;
        }
        Ok(None)
    }

    /// Points that were lost as segments had been damaged, since the last call.
    pub fn take_damaged(&mut self) -> u64 {
        std::mem::take(&mut self.damaged)
    }

    /// The oldest frame is sent.
    pub fn sent(&mut self, record: &Record) -> io::Result<()> {
        self.sent.0 += record.size as u64;
        self.sent.1 += u64::from(record.points);
        let done = self.segments.front().is_some_and(|s| self.sent.0 >= s.size);
        if done {
            if self.segments.len() == 1 {
                self.open = None;
            }
            self.drop_first()?;
        }
        Ok(())
    }
}

fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(LARGEST).read_to_end(&mut bytes)?;
    Ok(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Folder {
            let path = std::env::temp_dir().join(format!("honeyknot-spool-{name}-{}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            Folder(path)
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    /// Frames that zstd cannot make small.
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

    fn drain(spool: &mut Spool) -> Vec<u64> {
        let mut numbers = Vec::new();
        while let Some(record) = spool.first().expect("a record") {
            numbers.push(u64::from_le_bytes(record.frame[..8].try_into().expect("a number")));
            spool.sent(&record).expect("a note");
        }
        numbers
    }

    #[test]
    fn frames_come_back_in_order_also_after_a_restart_and_while_more_come() {
        let folder = Folder::new("order");
        let (mut spool, _) = Spool::open(&folder.0, 64 << 20).expect("a spool");
        for number in 0..30 {
            assert_eq!(spool.append(&frame(number, 200_000), 1).expect("an append"), 0);
        }
        let record = spool.first().expect("a read").expect("a record");
        spool.sent(&record).expect("a note");
        drop(spool);
        let (mut spool, torn) = Spool::open(&folder.0, 64 << 20).expect("a spool");
        assert!(torn.is_empty() && !spool.is_empty());
        // The first segment is sent again from its beginning.
        spool.append(&frame(30, 100), 1).expect("an append");
        assert_eq!(drain(&mut spool), (0..31).collect::<Vec<_>>());
        assert!(spool.is_empty() && spool.bytes() == 0);
        spool.append(&frame(31, 100), 1).expect("an append");
        assert_eq!(drain(&mut spool), [31]);
    }

    #[test]
    fn the_bound_drops_the_oldest_and_counts_their_points() {
        let folder = Folder::new("bound");
        let (mut spool, _) = Spool::open(&folder.0, 3 << 20).expect("a spool");
        let dropped: u64 = (0..40).map(|n| spool.append(&frame(n, 200_000), 7).expect("an append")).sum();
        assert!(spool.bytes() <= 3 << 20);
        let left = drain(&mut spool);
        assert_eq!(dropped, 7 * (40 - left.len() as u64));
        assert_eq!(left.last(), Some(&39));
        assert!(left.len() > 8, "{left:?}");
    }

    #[test]
    fn a_torn_tail_is_cut_off_at_any_byte_and_a_flipped_bit_never_passes() {
        let whole: Vec<Vec<u8>> =
            (0..3).map(|n| spool_record::encode(&frame(n, 40), 1).expect("a record")).collect();
        let bytes = whole.concat();
        let ends: Vec<usize> = whole
            .iter()
            .scan(0, |at, r| {
                *at += r.len();
                Some(*at)
            })
            .collect();
        for cut in 0..bytes.len() {
            let (sound, count, _) = spool_record::sound(&bytes[..cut]);
            assert_eq!(count, ends.iter().filter(|end| **end <= cut).count());
            assert!(sound <= cut);
        }
        for bit in 0..bytes.len() * 8 {
            let mut torn = bytes.clone();
            torn[bit / 8] ^= 1 << (bit % 8);
            assert!(spool_record::sound(&torn).1 < 3, "bit {bit}");
        }
        let folder = Folder::new("torn");
        fs::create_dir_all(&folder.0).expect("a folder");
        let file = folder.0.join("wait-0000000000000001.spool");
        fs::write(&file, &bytes[..bytes.len() - 1]).expect("a file");
        let (mut spool, torn) = Spool::open(&folder.0, 1 << 20).expect("a spool");
        assert_eq!((torn.len(), torn[0].sound as usize), (1, ends[1]));
        spool.append(&frame(9, 40), 1).expect("an append");
        assert_eq!(drain(&mut spool), [0, 1, 9]);
    }

    #[test]
    fn a_segment_damaged_while_it_waits_costs_what_follows_in_it_and_no_more() {
        let folder = Folder::new("damage");
        let (mut spool, _) = Spool::open(&folder.0, 64 << 20).expect("a spool");
        assert!((0..12).all(|n| spool.append(&frame(n, 300_000), 2).is_ok()));
        let first = spool.segments[0].path.clone();
        let mut bytes = fs::read(&first).expect("bytes");
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        fs::write(&first, bytes).expect("a write");
        assert_eq!(drain(&mut spool), [0, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
        assert_eq!(spool.take_damaged(), 4);
    }
}
