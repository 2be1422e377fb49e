//! A folder in which the relay's counts outlast it.
//!
//! Snapshots are written beside and renamed, the folder synced after it; the last two are kept, and the newest sound one
//! counts. What was counted after it dies with the relay: so no reading may leave before a snapshot that holds it is
//! on disk, or totals would fall at the receivers.

use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use honeyknot_metrics::stored::StoredMetrics;
use tracing::warn;

/// Snapshots that are kept.
const KEPT: usize = 2;
/// The largest file that is read as a snapshot.
const LARGEST: u64 = 32 << 20;

/// The folder, held by this process alone while it lives.
pub struct Folder {
    path: Arc<PathBuf>,
    _lock: File,
    next: u64,
}

impl Folder {
    /// Takes the folder, made if it is missing, and the newest sound snapshot in it. Unsound ones, and those of another
    /// relay, are told of and passed over. Errors say why the folder cannot be used.
    pub fn open(path: &Path, relay: &str) -> Result<(Folder, Option<StoredMetrics>), String> {
        let told = |e: io::Error| format!("{}: {e}", path.display());
        fs::create_dir_all(path).map_err(told)?;
        let lock = File::create(path.join("lock")).map_err(told)?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => format!("{}: another relay uses this folder", path.display()),
            TryLockError::Error(e) => told(e),
        })?;
        for left in numbered(path, "state-", ".tmp").map_err(told)? {
            // Written when an earlier life was killed; it was never a snapshot.
            let _ = fs::remove_file(left.1);
        }
        let mut found = numbered(path, "state-", ".snap").map_err(told)?;
        let next = found.last().map_or(1, |(number, _)| number + 1);
        let mut state = None;
        while let Some((_, file)) = found.pop() {
            match read(&file) {
                Ok(read) if read.relay == relay => {
                    state = Some(read);
                    break;
                }
                Ok(read) => {
                    warn!(target: "metrics", file = %file.display(), of = read.relay, "a snapshot of another relay");
                }
                Err(why) => {
                    warn!(target: "metrics", file = %file.display(), why, "a snapshot is passed over")
                }
            }
        }
        Ok((Folder { path: Arc::new(path.to_owned()), _lock: lock, next }, state))
    }

    /// Where a sink's spool is.
    pub fn spool(&self, sink: &str) -> PathBuf {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' || c == '_' { c } else { '_' };
        self.path.join(format!("spool-{}", sink.chars().map(plain).collect::<String>()))
    }

    /// A write of a snapshot's bytes, to be run where it may block.
    pub fn write(&mut self, bytes: Vec<u8>) -> impl FnOnce() -> io::Result<()> + Send + 'static {
        let (path, number) = (self.path.clone(), self.next);
        self.next += 1;
        move || write(&path, number, &bytes)
    }
}

/// A folder's files that are named by a number between a beginning and an ending, the lowest first.
pub fn numbered(path: &Path, beginning: &str, ending: &str) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        let name = file.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        let number = name.strip_prefix(beginning).and_then(|n| n.strip_suffix(ending));
        if let Some(number) = number.and_then(|n| n.parse().ok()) {
            found.push((number, file));
        }
    }
    found.sort();
    Ok(found)
}

fn read(file: &Path) -> Result<StoredMetrics, String> {
    let size = fs::metadata(file).map_err(|e| e.to_string())?.len();
    if size > LARGEST {
        return Err(format!("it has {size} bytes"));
    }
    let bytes = fs::read(file).map_err(|e| e.to_string())?;
    StoredMetrics::decode(&bytes).map_err(|e| e.to_string())
}

fn write(path: &Path, number: u64, bytes: &[u8]) -> io::Result<()> {
    let beside = path.join(format!("state-{number:016}.tmp"));
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path.join(format!("state-{number:016}.snap")))?;
    File::open(path)?.sync_all()?;
    let found = numbered(path, "state-", ".snap")?;
    for (_, old) in found.iter().rev().skip(KEPT) {
        // One that cannot be removed now is removed after the next.
        let _ = fs::remove_file(old);
    }
    Ok(())
}
