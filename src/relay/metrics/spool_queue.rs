//! What waits for a sink on disk, as the sink's task uses it: calls that block are made on a thread that may.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use honeyknot_metrics::MetricFamily;
use honeyknot_metrics::config::ExporterConfig;
use honeyknot_metrics::spool_record::Record;
use tokio::task::spawn_blocking;
use tracing::{info, warn};

use super::spool::Spool;
use crate::relay::SharedRelay;

/// A sink's spool, and the record of it that is on its way.
pub struct SpoolQueue {
    spool: Option<Arc<Mutex<Spool>>>,
    /// The record whose frame is in the queue.
    pub filling: Option<Record>,
    trouble: bool,
}

impl SpoolQueue {
    /// A sink's spool, if it has one; one that cannot be opened is told of and done without.
    pub async fn open(relay: &SharedRelay, sink: &ExporterConfig) -> SpoolQueue {
        let mut waiting = SpoolQueue { spool: None, filling: None, trouble: false };
        let folder = relay.borrow().spool_directory(&sink.name).filter(|_| sink.spool > 0);
        let Some(folder) = folder else { return waiting };
        let most = sink.spool;
        match run(move || Spool::open(&folder, most)).await {
            Ok((spool, torn)) => {
                for torn in torn {
                    let (file, sound, size) = (torn.path.display(), torn.sound, torn.size);
                    warn!(target: "metrics", sink = sink.name, %file, sound, size, "a torn tail was cut off");
                }
                if !spool.is_empty() {
                    info!(target: "metrics", sink = sink.name, bytes = spool.bytes(), "readings wait on disk");
                }
                waiting.spool = Some(Arc::new(Mutex::new(spool)));
            }
            Err(why) => {
                warn!(target: "metrics", sink = sink.name, %why, "no spool: readings wait in memory alone")
            }
        }
        waiting
    }

    /// Whether there is a spool.
    pub fn lasts(&self) -> bool {
        self.spool.is_some()
    }

    /// Whether something waits that is not on its way.
    pub fn has_more(&self) -> bool {
        let held = self.spool.as_ref().map(|spool| spool.lock().unwrap_or_else(PoisonError::into_inner));
        self.filling.is_none() && held.is_some_and(|spool| !spool.is_empty())
    }

    /// Puts frames away; what cannot be kept is counted as dropped.
    pub async fn put(&mut self, relay: &SharedRelay, sink: &ExporterConfig, frames: Vec<(Vec<u8>, u64)>) {
        let points: u64 = frames.iter().map(|(_, points)| points).sum();
        let Some(spool) = self.spool.clone().filter(|_| !frames.is_empty()) else {
            return relay
                .borrow_mut()
                .update_metrics(|metrics| metrics.add(MetricFamily::DroppedSamples, 0, points));
        };
        let wrote = run(move || {
            let mut spool = spool.lock().unwrap_or_else(PoisonError::into_inner);
            let (mut dropped, mut failed) = (0, None);
            for (frame, points) in frames {
                match spool.append(&frame, u32::try_from(points).unwrap_or(u32::MAX)) {
                    Ok(older) => dropped += older,
                    Err(e) => (dropped, failed) = (dropped + points, Some(e)),
                }
            }
            Ok((dropped, failed))
        });
        let (dropped, failed) = wrote.await.unwrap_or_else(|e| (points, Some(e)));
        match failed {
            Some(why) if !std::mem::replace(&mut self.trouble, true) => {
                warn!(target: "metrics", sink = sink.name, %why, "the spool takes nothing: readings are dropped");
            }
            None => self.trouble = false,
            Some(_) => {}
        }
        relay.borrow_mut().update_metrics(|metrics| metrics.add(MetricFamily::DroppedSamples, 0, dropped));
    }

    /// The oldest frame that waits; it is on its way from now on.
    pub async fn take(&mut self, relay: &SharedRelay) -> Option<(Vec<u8>, u64)> {
        let spool = self.spool.clone()?;
        let found = run(move || {
            let mut spool = spool.lock().unwrap_or_else(PoisonError::into_inner);
            let record = spool.first()?;
            Ok((record, spool.take_damaged()))
        });
        let (record, damaged) = found.await.ok()?;
        relay.borrow_mut().update_metrics(|metrics| metrics.add(MetricFamily::DroppedSamples, 0, damaged));
        let record = record?;
        let frame = (record.frame.clone(), u64::from(record.points));
        self.filling = Some(record);
        Some(frame)
    }

    /// The frame that was on its way has been sent.
    pub async fn sent(&mut self) {
        let (Some(spool), Some(record)) = (self.spool.clone(), self.filling.take()) else { return };
        let noted = run(move || spool.lock().unwrap_or_else(PoisonError::into_inner).sent(&record));
        // What cannot be noted is sent again, with the time that it had.
        let _ = noted.await;
    }
}

/// Runs what may block where it may.
async fn run<T: Send + 'static>(what: impl FnOnce() -> io::Result<T> + Send + 'static) -> io::Result<T> {
    spawn_blocking(what).await.map_err(io::Error::other).flatten()
}
