//! The folder in which processes of one relay meet: the socket of the one that serves, and what is out by hand.
//!
//! The file is written beside and renamed, and holds the sum of what it says: a torn one is passed over.

use std::fs::{self, DirBuilder, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::os::unix::fs::{DirBuilderExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;
use tokio::sync::Mutex;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use super::MaintenanceState;
use crate::relay::SharedRelay;

/// What the file begins with: its form and version.
const MAGIC: &str = "honeyknot-by-hand 1";
/// The largest file that is read.
const LARGEST: u64 = 4 << 20;
/// The longest path that a Unix socket can have, with some room.
const LONGEST: usize = 100;

/// The folder.
pub struct StateDirectory {
    path: PathBuf,
    /// Kept open where its path is too long for a socket's: there it is reached by its descriptor.
    open: Option<File>,
    /// Whose turn it is to write.
    turn: Mutex<()>,
}

impl StateDirectory {
    /// Makes or takes up the folder of the relay that serves an address.
    pub fn open(place: &Path, listen: SocketAddr) -> Result<StateDirectory, String> {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '.' { c } else { '-' };
        let name: String = listen.to_string().chars().map(plain).collect();
        let path = place.join(format!("honeyknot-{name}"));
        let told = |e: io::Error| format!("{}: {e}", path.display());
        DirBuilder::new().recursive(true).mode(0o700).create(&path).map_err(told)?;
        // Guards against a folder that somebody else has laid in a place that all may write to.
        let about = fs::symlink_metadata(&path).map_err(told)?;
        let own = fs::metadata("/proc/self").map_or(about.uid(), |me| me.uid());
        if !about.is_dir() || about.permissions().mode() & 0o077 != 0 || about.uid() != own {
            return Err(format!("{}: not a folder of this user alone", path.display()));
        }
        let open =
            if path.as_os_str().len() > LONGEST - 16 { Some(File::open(&path).map_err(told)?) } else { None };
        Ok(StateDirectory { path, open, turn: Mutex::new(()) })
    }

    fn file(&self, name: &str) -> PathBuf {
        match &self.open {
            Some(open) => PathBuf::from(format!("/proc/self/fd/{}/{name}", open.as_raw_fd())),
            None => self.path.join(name),
        }
    }

    /// Where the process that serves offers itself.
    pub fn socket(&self) -> PathBuf {
        self.file("serving")
    }

    /// Offers this process there, in the place of any before it. Nobody finds the place empty.
    pub fn publish(&self) -> Result<UnixListener, String> {
        let beside = self.file(&format!("new-{}", std::process::id()));
        let told = |e: io::Error| format!("{}: {e}", self.path.display());
        let _ = fs::remove_file(&beside);
        let offered = UnixListener::bind(&beside).map_err(told)?;
        fs::rename(&beside, self.socket()).map_err(told)?;
        Ok(offered)
    }

    /// What an earlier process has kept. A file that is torn counts as none, and is told of.
    pub fn read(&self) -> MaintenanceState {
        let path = self.file("by-hand");
        let size = fs::metadata(&path).map(|about| about.len());
        let read = match size {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return MaintenanceState::default(),
            Ok(size) if size <= LARGEST => fs::read(&path).map_err(|e| e.to_string()),
            Ok(size) => Err(format!("it has {size} bytes")),
            Err(e) => Err(e.to_string()),
        };
        match read.and_then(|bytes| decode(&bytes)) {
            Ok(by_hand) => by_hand,
            Err(why) => {
                warn!(target: "handover", file = %path.display(), why, "what was out by hand is passed over");
                MaintenanceState::default()
            }
        }
    }

    /// Keeps what is out by hand as of now.
    pub async fn keep(&self, relay: &SharedRelay) -> Result<(), String> {
        // One write at a time, so that the last one to land holds the most.
        let _turn = self.turn.lock().await;
        let bytes = encode(&relay.borrow().maintenance_state());
        let (beside, file) = (self.file(&format!("by-hand-{}", std::process::id())), self.file("by-hand"));
        let written = tokio::task::spawn_blocking(move || {
            let mut new = File::create(&beside)?;
            new.write_all(&bytes)?;
            new.sync_data()?;
            fs::rename(&beside, file)
        });
        written.await.map_err(|e| e.to_string())?.map_err(|e| e.to_string())
    }
}

/// The file's bytes.
fn encode(by_hand: &MaintenanceState) -> Vec<u8> {
    // A record of plain strings and numbers always has a form.
    let body = serde_json::to_string(by_hand).unwrap_or_default();
    format!("{MAGIC} {:016x}\n{body}\n", xxh3_64(body.as_bytes())).into_bytes()
}

/// What a file's bytes say, if they are whole.
fn decode(bytes: &[u8]) -> Result<MaintenanceState, String> {
    let text = std::str::from_utf8(bytes).map_err(|_| "it is no text")?;
    let (head, body) = text.split_once('\n').ok_or("it ends early")?;
    let sum = head.strip_prefix(MAGIC).ok_or("it is of another form")?.trim();
    let body = body.strip_suffix('\n').ok_or("it ends early")?;
    if u64::from_str_radix(sum, 16) != Ok(xxh3_64(body.as_bytes())) {
        return Err("its sum is wrong: it is torn or damaged".into());
    }
    serde_json::from_str(body).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_kept_reads_back_whole_or_not_at_all() {
        let by_hand = MaintenanceState {
            out: vec![("s-1".into(), 5), ("s-2".into(), 7)],
            back: vec![("s-3".into(), 9, 17)],
        };
        let bytes = encode(&by_hand);
        assert_eq!(decode(&bytes), Ok(by_hand));
        for cut in 0..bytes.len() {
            assert!(decode(&bytes[..cut]).is_err(), "cut at {cut}");
            let mut flipped = bytes.clone();
            flipped[cut] ^= 1;
            assert!(decode(&flipped).is_err(), "flipped at {cut}");
        }
    }
}
