//! The asynchronous interface to an exporter's spool: its blocking calls run on the blocking thread pool.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use honeyknot_metrics::MetricFamily;
use honeyknot_metrics::config::ExporterConfig;
use honeyknot_metrics::spool_record::Record;
use tokio::task::spawn_blocking;
use tracing::{info, warn};

use super::frame_queue::Frame;
use super::spool::{Spool, SpoolError};
use crate::relay::SharedRelay;

/// A spool, and its record that is being sent.
#[derive(Debug)]
pub(super) struct SpoolQueue {
    /// `None` if no spool is configured or it cannot be opened.
    spool: Option<Arc<Mutex<Spool>>>,
    /// The record whose frame is in the memory queue; `None` if there is none.
    pub(super) in_flight: Option<Record>,
    write_failing: bool,
}

/// The result of storing frames: the samples that were dropped, and the last error.
#[derive(Debug)]
struct StoreResult {
    dropped_samples: u64,
    last_error: Option<SpoolError>,
}

impl SpoolQueue {
    /// Opens an exporter's spool if one is configured. If it cannot be opened, frames wait in memory only.
    pub(super) async fn open(relay: &SharedRelay, config: &ExporterConfig) -> SpoolQueue {
        let mut queue = SpoolQueue { spool: None, in_flight: None, write_failing: false };
        let directory = relay.borrow().spool_directory(&config.name).filter(|_| config.max_spool_bytes > 0);
        let Some(directory) = directory else { return queue };
        let max_bytes = config.max_spool_bytes;
        match run_blocking(move || Spool::open(&directory, max_bytes)).await {
            Ok((spool, torn_segments)) => {
                for torn in torn_segments {
                    let (path, valid_bytes, size_bytes) =
                        (torn.path.display(), torn.valid_bytes, torn.size_bytes);
                    warn!(
                        target: "metrics", exporter = config.name, %path, valid_bytes, size_bytes,
                        "torn spool segment truncated"
                    );
                }
                if !spool.is_empty() {
                    let bytes = spool.bytes();
                    info!(target: "metrics", exporter = config.name, bytes, "spool has unsent frames");
                }
                queue.spool = Some(Arc::new(Mutex::new(spool)));
            }
            Err(error) => warn!(target: "metrics", exporter = config.name, %error, "spool unavailable"),
        }
        queue
    }

    /// Returns whether there is a spool.
    pub(super) fn is_enabled(&self) -> bool {
        self.spool.is_some()
    }

    /// Returns whether the spool has a frame to send and none is being sent.
    pub(super) fn has_more(&self) -> bool {
        let spool = self.spool.as_deref().map(lock);
        self.in_flight.is_none() && spool.is_some_and(|spool| !spool.is_empty())
    }

    /// Stores frames in the spool. The samples of frames that cannot be stored are counted as dropped.
    pub(super) async fn store(&mut self, relay: &SharedRelay, config: &ExporterConfig, frames: Vec<Frame>) {
        let samples: u64 = frames.iter().map(|frame| frame.samples).sum();
        let Some(spool) = self.spool.clone().filter(|_| !frames.is_empty()) else {
            return record_dropped(relay, samples);
        };
        let stored = run_blocking(move || Ok(append_all(&mut lock(&spool), frames))).await;
        let StoreResult { dropped_samples, last_error } =
            stored.unwrap_or_else(|error| StoreResult { dropped_samples: samples, last_error: Some(error) });
        match last_error {
            Some(error) if !std::mem::replace(&mut self.write_failing, true) => {
                warn!(
                    target: "metrics", exporter = config.name, %error,
                    "writing to the spool failed; frames that cannot be written are dropped"
                );
            }
            None => self.write_failing = false,
            Some(_) => {}
        }
        record_dropped(relay, dropped_samples);
    }

    /// Returns the oldest frame of the spool and marks it as being sent; `None` if there is none or it cannot
    /// be read.
    pub(super) async fn take_first(&mut self, relay: &SharedRelay) -> Option<Frame> {
        let spool = self.spool.clone()?;
        let found = run_blocking(move || {
            let mut spool = lock(&spool);
            let record = spool.first()?;
            Ok((record, spool.take_lost_samples()))
        });
        let (record, lost_samples) = found.await.ok()?;
        record_dropped(relay, lost_samples);
        let record = record?;
        let frame = Frame { bytes: record.frame.clone(), samples: u64::from(record.samples) };
        self.in_flight = Some(record);
        Some(frame)
    }

    /// Marks the frame that was being sent as sent.
    pub(super) async fn mark_sent(&mut self) {
        let (Some(spool), Some(record)) = (self.spool.clone(), self.in_flight.take()) else { return };
        let marked = run_blocking(move || lock(&spool).mark_sent(&record));
        // If marking fails, the frame is sent again, with its original timestamp.
        let _ = marked.await;
    }
}

fn append_all(spool: &mut Spool, frames: Vec<Frame>) -> StoreResult {
    let mut result = StoreResult { dropped_samples: 0, last_error: None };
    for Frame { bytes, samples } in frames {
        match spool.append(&bytes, u32::try_from(samples).unwrap_or(u32::MAX)) {
            Ok(dropped) => result.dropped_samples += dropped,
            Err(error) => {
                result.dropped_samples += samples;
                result.last_error = Some(error);
            }
        }
    }
    result
}

fn record_dropped(relay: &SharedRelay, samples: u64) {
    relay.borrow_mut().update_metrics(|metrics| metrics.add(MetricFamily::DroppedSamples, 0, samples));
}

fn lock(spool: &Mutex<Spool>) -> MutexGuard<'_, Spool> {
    spool.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run_blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, SpoolError> + Send + 'static,
) -> Result<T, SpoolError> {
    spawn_blocking(call).await?
}
