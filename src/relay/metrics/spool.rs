//! A spool: a queue of export frames on disk, limited in bytes.
//!
//! A frame is synced to disk when it is appended, so it outlasts the process. Frames are sent oldest first. A
//! segment is deleted once all its frames have been sent. After a restart the oldest remaining segment is
//! sent from its beginning, possibly a second time, with the frames' original timestamps, for which Graphite
//! stores one value. All calls block.

use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use honeyknot_metrics::spool_record::{self, Record, ValidPrefix};

use super::snapshot_directory::numbered_files;

/// The largest segment, in bytes, unless its only record is larger.
const MAX_SEGMENT_BYTES: u64 = 1 << 20;
/// The most bytes that are read of a segment: [`MAX_SEGMENT_BYTES`] and one record of the largest size.
const MAX_READ_BYTES: u64 =
    MAX_SEGMENT_BYTES + (spool_record::MAX_FRAME_BYTES + spool_record::HEADER_BYTES) as u64;

/// Why a spool operation failed.
#[derive(Debug, thiserror::Error)]
pub enum SpoolError {
    /// A file or the directory cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The frame is larger than a record may be, or cannot be compressed.
    #[error("the frame is too large for a spool record or cannot be compressed")]
    FrameTooLarge,
    /// The blocking task was cancelled or panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
}

/// A segment file.
#[derive(Debug)]
struct Segment {
    path: PathBuf,
    size_bytes: u64,
    samples: u64,
}

/// The spool of one exporter.
#[derive(Debug)]
pub struct Spool {
    directory: PathBuf,
    segments: VecDeque<Segment>,
    /// The file of the last segment, to which records are appended; `None` if the next record starts a
    /// segment.
    open_file: Option<File>,
    next_number: u64,
    max_bytes: u64,
    /// Bytes of the first segment that have been sent.
    sent_bytes: u64,
    /// Samples of the first segment that have been sent.
    sent_samples: u64,
    /// The bytes of the first segment that have been read.
    first_segment: Vec<u8>,
    /// Samples lost with segments that were damaged after they were written.
    lost_samples: u64,
}

/// A segment that was truncated at its first invalid record.
#[derive(Debug)]
pub struct TornSegment {
    /// Path of the segment's file.
    pub path: PathBuf,
    /// Bytes of its valid records, which are kept.
    pub valid_bytes: u64,
    /// Bytes that it had before it was truncated.
    pub size_bytes: u64,
}

impl Spool {
    /// Opens a directory, which is created if it is missing, and truncates torn segments.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`] if the directory or a segment cannot be read or changed.
    pub fn open(directory: &Path, max_bytes: u64) -> Result<(Spool, Vec<TornSegment>), SpoolError> {
        fs::create_dir_all(directory)?;
        let found = numbered_files(directory, "wait-", ".spool")?;
        let mut spool = Spool {
            directory: directory.to_owned(),
            segments: VecDeque::new(),
            open_file: None,
            next_number: found.last().map_or(1, |(number, _)| number + 1),
            max_bytes,
            sent_bytes: 0,
            sent_samples: 0,
            first_segment: Vec::new(),
            lost_samples: 0,
        };
        let mut torn_segments = Vec::new();
        for (_, path) in found {
            torn_segments.extend(spool.open_segment(path)?);
        }
        Ok((spool, torn_segments))
    }

    /// Adds an existing segment. Truncates and returns it if it is torn, and deletes it if it has no valid
    /// record.
    fn open_segment(&mut self, path: PathBuf) -> Result<Option<TornSegment>, SpoolError> {
        let bytes = read_segment(&path)?;
        let ValidPrefix { bytes: valid_bytes, samples, .. } = spool_record::valid_prefix(&bytes);
        let mut torn = None;
        if valid_bytes < bytes.len() {
            OpenOptions::new().write(true).open(&path)?.set_len(valid_bytes as u64)?;
            let (valid_bytes, size_bytes) = (valid_bytes as u64, bytes.len() as u64);
            torn = Some(TornSegment { path: path.clone(), valid_bytes, size_bytes });
        }
        match valid_bytes {
            0 => fs::remove_file(&path)?,
            _ => self.segments.push_back(Segment { path, size_bytes: valid_bytes as u64, samples }),
        }
        Ok(torn)
    }

    /// Returns the number of bytes on disk.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.size_bytes).sum()
    }

    /// Returns whether all frames have been sent.
    pub fn is_empty(&self) -> bool {
        self.segments.len() <= 1
            && self.segments.front().is_none_or(|segment| segment.size_bytes == self.sent_bytes)
    }

    /// Appends and syncs a frame, then deletes the oldest segments beyond the limit. Returns the number of
    /// samples lost with them.
    ///
    /// # Errors
    ///
    /// [`SpoolError::FrameTooLarge`], or [`SpoolError::Io`] if a file cannot be written or deleted.
    pub fn append(&mut self, frame: &[u8], samples: u32) -> Result<u64, SpoolError> {
        let record = spool_record::encode(frame, samples).ok_or(SpoolError::FrameTooLarge)?;
        let size_bytes = record.len() as u64;
        let full = self.segments.back().is_none_or(|last| last.size_bytes + size_bytes > MAX_SEGMENT_BYTES);
        if full || self.open_file.is_none() {
            self.start_segment()?;
        }
        let (Some(file), Some(segment)) = (&mut self.open_file, self.segments.back_mut()) else {
            return Ok(0);
        };
        if let Err(error) = file.write_all(&record).and_then(|()| file.sync_data()) {
            // Removes the torn record; the next record starts a new segment.
            let _ = file.set_len(segment.size_bytes);
            self.open_file = None;
            return Err(error.into());
        }
        segment.size_bytes += size_bytes;
        segment.samples += u64::from(samples);
        self.drop_oldest_segments()
    }

    fn start_segment(&mut self) -> Result<(), SpoolError> {
        let path = self.directory.join(format!("wait-{:016}.spool", self.next_number));
        self.open_file = Some(OpenOptions::new().append(true).create_new(true).open(&path)?);
        self.next_number += 1;
        self.segments.push_back(Segment { path, size_bytes: 0, samples: 0 });
        File::open(&self.directory)?.sync_all()?;
        Ok(())
    }

    fn drop_oldest_segments(&mut self) -> Result<u64, SpoolError> {
        let mut dropped_samples = 0;
        while self.bytes() > self.max_bytes && self.segments.len() > 1 {
            dropped_samples += self.drop_first_segment()?;
        }
        Ok(dropped_samples)
    }

    /// Deletes the first segment. Returns the number of its samples that were not sent.
    fn drop_first_segment(&mut self) -> Result<u64, SpoolError> {
        let Some(first) = self.segments.front() else { return Ok(0) };
        fs::remove_file(&first.path)?;
        let unsent_samples = first.samples.saturating_sub(self.sent_samples);
        self.segments.pop_front();
        (self.sent_bytes, self.sent_samples) = (0, 0);
        self.first_segment.clear();
        Ok(unsent_samples)
    }

    /// Returns the oldest frame that has not been sent; `None` if there is none. Damaged segments are
    /// deleted.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`] if a segment cannot be read or deleted.
    pub fn first(&mut self) -> Result<Option<Record>, SpoolError> {
        while let Some(segment) = self.segments.front() {
            let sent = self.sent_bytes as usize;
            if self.sent_bytes >= segment.size_bytes {
                return Ok(None);
            }
            if sent >= self.first_segment.len() {
                self.first_segment = read_segment(&segment.path)?;
            }
            if let Some(record) = self.first_segment.get(sent..).and_then(spool_record::decode_first) {
                return Ok(Some(record));
            }
            if self.segments.len() == 1 {
                self.open_file = None;
            }
            self.lost_samples += self.drop_first_segment()?;
        }
        Ok(None)
    }

    /// Returns the number of samples lost with damaged segments since the last call.
    pub fn take_lost_samples(&mut self) -> u64 {
        std::mem::take(&mut self.lost_samples)
    }

    /// Marks the oldest frame as sent, and deletes its segment if it was the last frame there.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`] if the segment cannot be deleted.
    pub fn mark_sent(&mut self, record: &Record) -> Result<(), SpoolError> {
        self.sent_bytes += record.size_bytes as u64;
        self.sent_samples += u64::from(record.samples);
        if self.segments.front().is_some_and(|first| self.sent_bytes >= first.size_bytes) {
            if self.segments.len() == 1 {
                self.open_file = None;
            }
            self.drop_first_segment()?;
        }
        Ok(())
    }
}

fn read_segment(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_READ_BYTES).read_to_end(&mut bytes)?;
    Ok(bytes)
}
