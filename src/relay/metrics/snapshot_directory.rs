//! The directory in which snapshots of the counters are saved. Only one process may use it at a time.
//!
//! A snapshot is written to a temporary file and renamed, then the directory is synced. The last two
//! snapshots are kept, and the newest valid one is read.

use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use honeyknot_metrics::stored::{SnapshotError, StoredMetrics};
use tracing::warn;

/// The number of snapshots to keep.
const MAX_SNAPSHOTS: usize = 2;
/// The largest snapshot file that is read, in bytes.
const MAX_SNAPSHOT_FILE_BYTES: u64 = 32 << 20;

/// Why a snapshot directory cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum SnapshotDirectoryError {
    /// Another process holds the directory's lock.
    #[error("{}: another process uses this directory", path.display())]
    InUse { path: PathBuf },
    /// The directory or a file in it cannot be read or written.
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
}

/// Why a file cannot be read as a snapshot.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    /// The file is larger than [`MAX_SNAPSHOT_FILE_BYTES`].
    #[error("the file has {0} bytes; the maximum is {MAX_SNAPSHOT_FILE_BYTES}")]
    TooLarge(u64),
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file's content is not a valid snapshot.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// A snapshot directory, which is locked while this value exists.
#[derive(Debug)]
pub(super) struct SnapshotDirectory {
    path: Arc<PathBuf>,
    _lock: File,
    next_number: u64,
}

impl SnapshotDirectory {
    /// Locks the directory, which is created if it is missing, and reads the newest valid snapshot of this
    /// relay. The snapshot is `None` if there is no valid one.
    ///
    /// # Errors
    ///
    /// If another process uses the directory, or it cannot be read or written.
    pub(super) fn open(
        path: &Path, relay_name: &str,
    ) -> Result<(SnapshotDirectory, Option<StoredMetrics>), SnapshotDirectoryError> {
        let io_error = |source| SnapshotDirectoryError::Io { path: path.to_owned(), source };
        fs::create_dir_all(path).map_err(io_error)?;
        let lock = File::create(path.join("lock")).map_err(io_error)?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => SnapshotDirectoryError::InUse { path: path.to_owned() },
            TryLockError::Error(error) => io_error(error),
        })?;
        for (_, unfinished) in numbered_files(path, "state-", ".tmp").map_err(io_error)? {
            let _ = fs::remove_file(unfinished);
        }
        let found = numbered_files(path, "state-", ".snap").map_err(io_error)?;
        let next_number = found.last().map_or(1, |(number, _)| number + 1);
        let stored = found.into_iter().rev().find_map(|(_, file)| read_own(&file, relay_name));
        Ok((SnapshotDirectory { path: Arc::new(path.to_owned()), _lock: lock, next_number }, stored))
    }

    /// Returns the directory of an exporter's spool.
    pub(super) fn spool_directory(&self, exporter: &str) -> PathBuf {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' || c == '_' { c } else { '_' };
        self.path.join(format!("spool-{}", exporter.chars().map(plain).collect::<String>()))
    }

    /// Returns a blocking function that writes a snapshot.
    pub(super) fn write(&mut self, bytes: Vec<u8>) -> impl FnOnce() -> io::Result<()> + Send + 'static {
        let (path, number) = (self.path.clone(), self.next_number);
        self.next_number += 1;
        move || write_snapshot(&path, number, &bytes)
    }
}

/// Returns the files of a directory that are named by a number between a prefix and a suffix, lowest number
/// first.
///
/// # Errors
///
/// If the directory cannot be read.
pub(super) fn numbered_files(path: &Path, prefix: &str, suffix: &str) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        let name = file.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let number = name.strip_prefix(prefix).and_then(|name| name.strip_suffix(suffix));
        if let Some(number) = number.and_then(|number| number.parse().ok()) {
            found.push((number, file));
        }
    }
    found.sort();
    Ok(found)
}

/// Reads a snapshot of this relay. Logs a warning and returns `None` if the snapshot is invalid or of another
/// relay.
fn read_own(file: &Path, relay_name: &str) -> Option<StoredMetrics> {
    let path = file.display();
    match read_snapshot(file) {
        Ok(stored) if stored.relay == relay_name => return Some(stored),
        Ok(stored) => {
            warn!(target: "metrics", %path, relay = stored.relay, "snapshot of another relay skipped")
        }
        Err(error) => warn!(target: "metrics", %path, %error, "snapshot skipped"),
    }
    None
}

fn read_snapshot(file: &Path) -> Result<StoredMetrics, ReadError> {
    let size_bytes = fs::metadata(file)?.len();
    if size_bytes > MAX_SNAPSHOT_FILE_BYTES {
        return Err(ReadError::TooLarge(size_bytes));
    }
    Ok(StoredMetrics::decode(&fs::read(file)?)?)
}

fn write_snapshot(directory: &Path, number: u64, bytes: &[u8]) -> io::Result<()> {
    let temporary = directory.join(format!("state-{number:016}.tmp"));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, directory.join(format!("state-{number:016}.snap")))?;
    File::open(directory)?.sync_all()?;
    let found = numbered_files(directory, "state-", ".snap")?;
    for (_, old) in found.iter().rev().skip(MAX_SNAPSHOTS) {
        // If the removal fails, it is tried again after the next snapshot.
        let _ = fs::remove_file(old);
    }
    Ok(())
}
