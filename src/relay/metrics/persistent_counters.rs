//! Counters that persist across restarts of the relay.
//!
//! What was counted after the last saved snapshot is lost with the process. A snapshot is therefore saved
//! before its values are exported: otherwise exported counters would appear to fall after a restart.

use std::io;
use std::path::{Path, PathBuf};

use honeyknot_balancer::Micros;
use honeyknot_metrics::stored::SnapshotError;
use tracing::{info, warn};

use super::snapshot_directory::SnapshotDirectory;
use crate::relay::{Relay, SharedRelay};

/// Why the counters were not saved.
#[derive(Debug, thiserror::Error)]
pub(super) enum SaveError {
    /// The counters cannot be encoded.
    #[error(transparent)]
    Encode(#[from] SnapshotError),
    /// The snapshot file cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The blocking task was cancelled or panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
}

/// Where counters are saved, and up to which time they have been.
#[derive(Debug)]
pub(in crate::relay) struct PersistentCounters {
    directory: SnapshotDirectory,
    relay_name: String,
    /// How many processes have used the directory so far, including this one.
    incarnation: u64,
    /// Everything counted up to this time, in Unix microseconds, is saved.
    saved_at: Micros,
    save_failing: bool,
}

impl PersistentCounters {
    /// Records the result of a save, and logs when saves begin to fail or succeed again.
    fn record_save(&mut self, result: &Result<(), SaveError>, snapshot_at: Micros) {
        match result {
            Ok(()) => {
                self.saved_at = self.saved_at.max(snapshot_at);
                if std::mem::take(&mut self.save_failing) {
                    info!(target: "metrics", "saving persistent counters recovered");
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut self.save_failing, true) {
                    warn!(target: "metrics", %error, "saving persistent counters failed, exports are paused");
                }
            }
        }
    }
}

/// Saves everything counted up to a time. Does nothing if that is already saved or counters are not
/// persistent.
///
/// # Errors
///
/// If the counters cannot be encoded or written.
pub(super) async fn save(relay: &SharedRelay, up_to: Micros) -> Result<(), SaveError> {
    let (write, snapshot_at) = {
        let mut relay = relay.borrow_mut();
        let now = relay.timers.clock.now();
        let Relay { metrics, persistent_counters, .. } = &mut *relay;
        let Some(counters) = persistent_counters else { return Ok(()) };
        if counters.saved_at >= up_to {
            return Ok(());
        }
        let encoded = metrics.to_stored(&counters.relay_name, now, counters.incarnation).encode();
        (encoded.map(|bytes| counters.directory.write(bytes)), now)
    };
    let result = match write {
        Ok(write) => run_blocking(write).await,
        Err(error) => Err(error.into()),
    };
    if let Some(counters) = &mut relay.borrow_mut().persistent_counters {
        counters.record_save(&result, snapshot_at);
    }
    result
}

async fn run_blocking(write: impl FnOnce() -> io::Result<()> + Send + 'static) -> Result<(), SaveError> {
    Ok(tokio::task::spawn_blocking(write).await??)
}

impl Relay {
    /// Restores the counters saved in a directory. If the directory cannot be used, counters last as long as
    /// the process.
    pub(in crate::relay) fn restore_counters(&mut self, path: &Path, relay_name: &str) {
        match SnapshotDirectory::open(path, relay_name) {
            Ok((directory, stored)) => {
                let incarnation = stored.as_ref().map_or(1, |stored| stored.incarnation + 1);
                let unknown_metrics = stored.map_or(0, |stored| self.metrics.restore(&stored));
                info!(target: "metrics", incarnation, unknown_metrics, "persistent counters restored");
                self.persistent_counters = Some(PersistentCounters {
                    directory,
                    relay_name: relay_name.to_owned(),
                    incarnation,
                    saved_at: 0,
                    save_failing: false,
                });
            }
            Err(error) => warn!(target: "metrics", %error, "persistent counters unavailable"),
        }
    }

    /// Returns the directory of an exporter's spool; `None` if counters are not persistent.
    pub(super) fn spool_directory(&self, exporter: &str) -> Option<PathBuf> {
        self.persistent_counters.as_ref().map(|counters| counters.directory.spool_directory(exporter))
    }

    /// Returns whether counters persist across restarts.
    pub(super) fn counters_persist(&self) -> bool {
        self.persistent_counters.is_some()
    }
}
