//! The folder in which processes of one relay meet: the socket of the one that serves, and the maintenance
//! file.
//!
//! The file is written under another name and renamed, and has a checksum: a torn one is ignored.

use std::fs::{self, DirBuilder, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::os::unix::fs::{DirBuilderExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;
use tokio::sync::Mutex;
use tracing::warn;

use super::{MaintenanceFileError, MaintenanceState, StateDirectoryError};
use crate::relay::SharedRelay;

/// The largest maintenance file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// The longest path that a Unix socket can have, with some margin, in bytes.
const MAX_SOCKET_PATH_BYTES: usize = 100;
/// Bytes of that path that are left for a file's name.
const FILE_NAME_BYTES: usize = 16;
/// The folder's mode: only its owner may enter it.
const DIRECTORY_MODE: u32 = 0o700;
/// The permission bits of group and others.
const ACCESSIBLE_TO_OTHERS: u32 = 0o077;
/// The name of the maintenance file.
const MAINTENANCE_FILE: &str = "by-hand";
/// The name of the socket.
const SOCKET: &str = "serving";

/// Why a saved maintenance state cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("it has {0} bytes")]
    TooLarge(u64),
    #[error(transparent)]
    Invalid(#[from] MaintenanceFileError),
}

/// The folder in which processes of one relay meet.
#[derive(Debug)]
pub struct StateDirectory {
    path: PathBuf,
    /// Kept open where its path is too long for a socket's: it is then reached by its descriptor.
    descriptor: Option<File>,
    /// Held while the maintenance file is written.
    writing: Mutex<()>,
}

/// Opens the folder of the relay that serves an address, below `$TMPDIR`; none if that is not set or cannot
/// be used.
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
    /// Opens the folder of the relay that serves an address, and creates it if needed.
    ///
    /// # Errors
    /// If it cannot be created or opened, or others than this user may enter it.
    pub fn open(parent: &Path, listen: SocketAddr) -> Result<StateDirectory, StateDirectoryError> {
        let file_name_character = |c: char| if c.is_ascii_alphanumeric() || c == '.' { c } else { '-' };
        let address: String = listen.to_string().chars().map(file_name_character).collect();
        let path = parent.join(format!("honeyknot-{address}"));
        let failed = |source| io_error(&path, source);
        DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(&path).map_err(failed)?;
        // Guards against a folder that another user has created in a place that all may write to.
        let metadata = fs::symlink_metadata(&path).map_err(failed)?;
        let own_uid = fs::metadata("/proc/self").map_or(metadata.uid(), |process| process.uid());
        let accessible_to_others = metadata.permissions().mode() & ACCESSIBLE_TO_OTHERS != 0;
        if !metadata.is_dir() || accessible_to_others || metadata.uid() != own_uid {
            return Err(StateDirectoryError::NotPrivate { path: path.display().to_string() });
        }
        let long_path = path.as_os_str().len() > MAX_SOCKET_PATH_BYTES - FILE_NAME_BYTES;
        let descriptor = if long_path { Some(File::open(&path).map_err(failed)?) } else { None };
        Ok(StateDirectory { path, descriptor, writing: Mutex::new(()) })
    }

    fn file(&self, name: &str) -> PathBuf {
        match &self.descriptor {
            Some(directory) => PathBuf::from(format!("/proc/self/fd/{}/{name}", directory.as_raw_fd())),
            None => self.path.join(name),
        }
    }

    /// Returns the path of the socket that the process that serves listens on.
    pub fn socket_path(&self) -> PathBuf {
        self.file(SOCKET)
    }

    /// Listens on the socket in the place of any process before. The socket's path is never missing
    /// meanwhile.
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

    /// Reads the maintenance state that an earlier process has saved; a file that cannot be used is ignored.
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

    /// Saves the maintenance state as of now.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub async fn save_maintenance(&self, relay: &SharedRelay) -> io::Result<()> {
        // One write at a time, so that the last one has the latest state.
        let _writing = self.writing.lock().await;
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

/// Reads the maintenance file; a missing one is an empty state.
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
