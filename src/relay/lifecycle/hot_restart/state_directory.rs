//! The state directory of a relay, shared by its processes. It holds the running process's socket and the
//! maintenance file.
//!
//! The file is written under a temporary name and renamed, and has a checksum. A damaged file is ignored.

use std::cell::Cell;
use std::fs::{self, DirBuilder, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::os::unix::fs::{DirBuilderExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::net::UnixListener;
use tokio::sync::Mutex;
use tracing::warn;

use super::{MaintenanceFileError, MaintenanceState, StateDirectoryError};
use crate::relay::SharedRelay;

/// The largest maintenance file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// The longest path of a Unix socket, in bytes; the system's limit is slightly higher.
const MAX_SOCKET_PATH_BYTES: usize = 100;
/// Bytes of the path that are reserved for the file's name.
const FILE_NAME_BYTES: usize = 16;
/// The directory's mode: only its owner may enter it.
const DIRECTORY_MODE: u32 = 0o700;
/// The permission bits of the directory's group and of others.
const ACCESSIBLE_TO_OTHERS: u32 = 0o077;
/// The file name of the maintenance file.
const MAINTENANCE_FILE: &str = "by-hand";
/// The file name of the socket.
const SOCKET: &str = "serving";

/// Why the maintenance file cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the file has {0} bytes; the maximum is {MAX_FILE_BYTES}")]
    TooLarge(u64),
    #[error(transparent)]
    Invalid(#[from] MaintenanceFileError),
}

/// The state directory of a relay.
#[derive(Debug)]
pub struct StateDirectory {
    path: PathBuf,
    /// The open directory if its path is too long for a socket's path: files in it are then reached by its
    /// descriptor.
    descriptor: Option<File>,
    /// Locked while the maintenance file is written.
    writing: Mutex<()>,
    /// Whether a save in the background waits for `writing`. It will write all changes made until then.
    background_save_waits: Cell<bool>,
}

/// Opens the state directory of the relay that listens on an address, below `$TMPDIR`. Returns `None` if
/// `TMPDIR` is not set or the directory cannot be used; hot restart is then unavailable.
pub fn open_state_directory(listen: SocketAddr) -> Option<StateDirectory> {
    let parent = std::env::var_os("TMPDIR").filter(|path| !path.is_empty()).map(PathBuf::from)?;
    match StateDirectory::open(&parent, listen) {
        Ok(directory) => Some(directory),
        Err(error) => {
            warn!(target: "hot_restart", %error, "hot restart unavailable");
            None
        }
    }
}

impl StateDirectory {
    /// Opens the state directory of the relay that listens on an address, and creates it if needed.
    ///
    /// # Errors
    /// If it cannot be created or opened, belongs to another user, or is accessible to its group or to
    /// others.
    pub fn open(parent: &Path, listen: SocketAddr) -> Result<StateDirectory, StateDirectoryError> {
        let file_name_character = |c: char| if c.is_ascii_alphanumeric() || c == '.' { c } else { '-' };
        let address: String = listen.to_string().chars().map(file_name_character).collect();
        let path = parent.join(format!("honeyknot-{address}"));
        let failed = |source| io_error(&path, source);
        DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(&path).map_err(failed)?;
        // Another user may have created the directory first, in a parent that is writable by everyone.
        let metadata = fs::symlink_metadata(&path).map_err(failed)?;
        let own_uid = fs::metadata("/proc/self").map_or(metadata.uid(), |process| process.uid());
        let accessible_to_others = metadata.permissions().mode() & ACCESSIBLE_TO_OTHERS != 0;
        if !metadata.is_dir() || accessible_to_others || metadata.uid() != own_uid {
            return Err(StateDirectoryError::NotPrivate { path: path.display().to_string() });
        }
        let long_path = path.as_os_str().len() > MAX_SOCKET_PATH_BYTES - FILE_NAME_BYTES;
        let descriptor = if long_path { Some(File::open(&path).map_err(failed)?) } else { None };
        Ok(StateDirectory {
            path,
            descriptor,
            writing: Mutex::new(()),
            background_save_waits: Cell::new(false),
        })
    }

    fn file(&self, name: &str) -> PathBuf {
        match &self.descriptor {
            Some(directory) => PathBuf::from(format!("/proc/self/fd/{}/{name}", directory.as_raw_fd())),
            None => self.path.join(name),
        }
    }

    /// Returns the path of the socket on which the running process accepts successors.
    pub fn socket_path(&self) -> PathBuf {
        self.file(SOCKET)
    }

    /// Listens on the socket, in place of any earlier process. The new socket is renamed over the old one, so
    /// that its path always exists.
    ///
    /// # Errors
    /// If the socket cannot be bound or renamed.
    pub fn bind_socket(&self) -> Result<UnixListener, StateDirectoryError> {
        let new_socket = self.file(&format!("new-{}", std::process::id()));
        let failed = |source| io_error(&self.path, source);
        let _ = fs::remove_file(&new_socket);
        let listener = UnixListener::bind(&new_socket).map_err(failed)?;
        fs::rename(&new_socket, self.socket_path()).map_err(failed)?;
        Ok(listener)
    }

    /// Reads the maintenance state that an earlier process has saved. A file that cannot be read is logged
    /// and ignored.
    pub fn load_maintenance(&self) -> MaintenanceState {
        let path = self.file(MAINTENANCE_FILE);
        match read_file(&path) {
            Ok(state) => state,
            Err(error) => {
                warn!(target: "hot_restart", file = %path.display(), %error, "maintenance file ignored");
                MaintenanceState::default()
            }
        }
    }

    /// Saves the maintenance state in the background after a change that was made in the other process. An
    /// error is logged.
    pub(super) fn save_in_background(self: &Rc<Self>, relay: &SharedRelay) {
        if self.background_save_waits.replace(true) {
            return;
        }
        let (directory, relay) = (self.clone(), relay.clone());
        tokio::task::spawn_local(async move {
            let writing = directory.writing.lock().await;
            directory.background_save_waits.set(false);
            if let Err(error) = directory.write_maintenance(&relay).await {
                warn!(target: "hot_restart", %error, "maintenance state not saved");
            }
            drop(writing);
        });
    }

    /// Saves the current maintenance state.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub async fn save_maintenance(&self, relay: &SharedRelay) -> io::Result<()> {
        // Serializes the writes, so that the last one has the latest state.
        let _writing = self.writing.lock().await;
        self.write_maintenance(relay).await
    }

    /// Writes the current maintenance state; the caller holds the lock `writing`.
    async fn write_maintenance(&self, relay: &SharedRelay) -> io::Result<()> {
        let bytes = relay.borrow().maintenance_state().to_file_bytes();
        let new_file = self.file(&format!("{MAINTENANCE_FILE}-{}", std::process::id()));
        let file = self.file(MAINTENANCE_FILE);
        let write = move || {
            let mut new = File::create(&new_file)?;
            new.write_all(&bytes)?;
            new.sync_data()?;
            fs::rename(&new_file, file)
        };
        tokio::task::spawn_blocking(write).await.map_err(io::Error::other)?
    }
}

fn io_error(path: &Path, source: io::Error) -> StateDirectoryError {
    StateDirectoryError::Io { path: path.display().to_string(), source }
}

/// Reads the maintenance file. If it does not exist, the state is empty.
fn read_file(path: &Path) -> Result<MaintenanceState, ReadError> {
    let size = match fs::metadata(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(MaintenanceState::default()),
        metadata => metadata?.len(),
    };
    if size > MAX_FILE_BYTES {
        return Err(ReadError::TooLarge(size));
    }
    Ok(MaintenanceState::from_file_bytes(&fs::read(path)?)?)
}
