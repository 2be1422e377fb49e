//! Exporters: one task per receiver of metrics, which sends a snapshot at each interval.
//!
//! An exporter never delays the relay: queued frames are limited in bytes, in memory and on disk, and beyond
//! the limit the oldest are dropped and counted.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use honeyknot_metrics::MetricFamily;
use honeyknot_metrics::config::{ExporterConfig, MetricsConfig};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, Interval, MissedTickBehavior, interval_at, sleep_until};

use super::export_format::{self, CounterLifetime, ExportHistory};
use super::exporter_connection::{self, ExporterConnection};
use super::frame_queue::{Frame, FrameQueue};
use super::persistent_counters;
use super::spool_queue::SpoolQueue;
use crate::relay::SharedRelay;

/// Number of snapshots that wait in memory if there is a spool.
const SNAPSHOTS_IN_MEMORY: usize = 2;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A running exporter.
#[derive(Debug)]
pub(in crate::relay) struct Exporter {
    config: ExporterConfig,
    stop: oneshot::Sender<()>,
    task: JoinHandle<ExporterState>,
}

impl Exporter {
    fn start(
        relay: &SharedRelay, config: &ExporterConfig, relay_name: &str, previous: Option<StoppedExporter>,
    ) -> Exporter {
        let (stop, stopped) = oneshot::channel();
        let task = run(relay.clone(), config.clone(), relay_name.to_owned(), previous, stopped);
        Exporter { config: config.clone(), stop, task: spawn_local(task) }
    }

    /// Asks the task to end as soon as it can.
    fn stop(self) -> StoppedExporter {
        // Sending fails if the task has already ended.
        let _ = self.stop.send(());
        StoppedExporter { config: self.config, task: self.task }
    }
}

/// An exporter whose task is ending.
#[derive(Debug)]
struct StoppedExporter {
    config: ExporterConfig,
    task: JoinHandle<ExporterState>,
}

/// The state that an exporter passes on to the one that replaces it.
#[derive(Debug)]
pub(super) struct ExporterState {
    queue: FrameQueue,
    history: ExportHistory,
}

/// Starts and stops exporters so that exactly the configured ones run.
///
/// An exporter whose configuration is unchanged continues. One whose configuration has changed is replaced,
/// and the new one takes over its queued frames.
pub(in crate::relay) fn apply_config(relay: &SharedRelay, config: &MetricsConfig, relay_name: &str) {
    let mut previous = std::mem::take(&mut relay.borrow_mut().exporters);
    let mut running = BTreeMap::new();
    for exporter_config in &config.exporters {
        let exporter = match previous.remove(&exporter_config.name) {
            Some(unchanged) if unchanged.config == *exporter_config => unchanged,
            replaced => Exporter::start(relay, exporter_config, relay_name, replaced.map(Exporter::stop)),
        };
        running.insert(exporter_config.name.clone(), exporter);
    }
    previous.into_values().for_each(|removed| drop(removed.stop()));
    relay.borrow_mut().exporters = running;
}

/// Runs an exporter until it is stopped.
async fn run(
    relay: SharedRelay, config: ExporterConfig, relay_name: String, previous: Option<StoppedExporter>,
    mut stop: oneshot::Receiver<()>,
) -> ExporterState {
    let state = initial_state(&relay, &config, previous).await;
    let spool = SpoolQueue::open(&relay, &config).await;
    let mut ticks = interval_at(Instant::now() + config.interval, config.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let now = Instant::now();
    let connection = ExporterConnection::new(now);
    let rng = StdRng::from_os_rng();
    let mut task =
        ExporterTask { relay, config, relay_name, state, spool, connection, next_refill_at: now, rng };
    loop {
        match task.next_event(&mut stop, &mut ticks).await {
            ExporterEvent::Stopped => return task.into_state(),
            ExporterEvent::ExportDue => task.export_snapshot().await,
            ExporterEvent::ConnectDue => task.connect().await,
            ExporterEvent::Written(result) => task.handle_written(result).await,
            ExporterEvent::RefillDue => task.refill_from_spool().await,
            ExporterEvent::Stalled => task.fail_connection(&io::Error::other("the receiver accepts no data")),
        }
    }
}

/// Returns the initial state of an exporter, taken over from the one that it replaces if there is one.
async fn initial_state(
    relay: &SharedRelay, config: &ExporterConfig, previous: Option<StoppedExporter>,
) -> ExporterState {
    let max_bytes = config.max_buffer_bytes as usize;
    // A previous process may have exported in the current second, so the first export uses the next one.
    let last_second = relay.borrow().timers.clock.now() / MICROS_PER_SECOND + 1;
    let history = ExportHistory { last_snapshot: None, last_second };
    let mut initial = ExporterState { queue: FrameQueue::new(max_bytes), history };
    let Some(previous) = previous else { return initial };
    let Ok(mut state) = previous.task.await else { return initial };
    state.queue.set_max_bytes(max_bytes);
    state.queue.restart_first();
    if previous.config.protocol == config.protocol && previous.config.prefix == config.prefix {
        return state;
    }
    // Queued frames have the old format and cannot be sent.
    let dropped = state.queue.samples();
    relay.borrow_mut().update_metrics(|metrics| metrics.add(MetricFamily::DroppedSamples, 0, dropped));
    initial.history.last_snapshot = state.history.last_snapshot;
    initial.history.last_second = state.history.last_second.max(last_second);
    initial
}

/// An event that an exporter's task handles.
#[derive(Debug)]
enum ExporterEvent {
    Stopped,
    ExportDue,
    ConnectDue,
    Written(io::Result<usize>),
    RefillDue,
    Stalled,
}

struct ExporterTask {
    relay: SharedRelay,
    config: ExporterConfig,
    relay_name: String,
    state: ExporterState,
    spool: SpoolQueue,
    connection: ExporterConnection,
    /// When the next frame may be taken from the spool.
    next_refill_at: Instant,
    rng: StdRng,
}

impl ExporterTask {
    async fn next_event(&mut self, stop: &mut oneshot::Receiver<()>, ticks: &mut Interval) -> ExporterEvent {
        let pending = !self.state.queue.is_empty();
        let open = self.connection.is_open();
        tokio::select! {
            biased;
            _ = stop => ExporterEvent::Stopped,
            _ = ticks.tick() => ExporterEvent::ExportDue,
            () = sleep_until(self.connection.retry_at()), if pending && !open => ExporterEvent::ConnectDue,
            result = self.connection.write(&self.state.queue), if pending && open => {
                ExporterEvent::Written(result)
            }
            // Spooled frames are sent only when no newer frame is queued.
            () = sleep_until(self.next_refill_at),
                if !pending && !self.connection.is_failing() && self.spool.has_more() =>
            {
                ExporterEvent::RefillDue
            }
            () = sleep_until(self.connection.stalled_at()), if pending && open => ExporterEvent::Stalled,
        }
    }

    /// Returns the state for the next exporter, without a frame from the spool, which the next exporter reads
    /// again.
    fn into_state(mut self) -> ExporterState {
        if self.spool.in_flight.take().is_some() {
            self.state.queue.remove_first();
        }
        self.state
    }

    /// Takes a snapshot, saves its counters, and queues its frames.
    async fn export_snapshot(&mut self) {
        let was_idle = self.state.queue.is_empty();
        let snapshot = self.relay.borrow_mut().metrics_snapshot();
        // If counters were exported but not saved, they would appear to fall after a restart.
        if persistent_counters::save(&self.relay, snapshot.timestamp).await.is_err() {
            return;
        }
        let lifetime = match self.relay.borrow().counters_persist() {
            true => CounterLifetime::Persistent,
            false => CounterLifetime::Process,
        };
        let exported =
            export_format::exported_snapshot(&self.config, &snapshot, lifetime, &mut self.state.history);
        let frames = export_format::encode(&self.config, &self.relay_name, &exported, &mut self.rng);
        let evicted = self.queue_frames(frames);
        self.state.history.last_snapshot = Some(snapshot);
        self.spool.store(&self.relay, &self.config, evicted).await;
        if was_idle {
            self.connection.record_progress();
        }
    }

    /// Queues frames. Returns the frames that no longer fit in memory, oldest first.
    fn queue_frames(&mut self, frames: Vec<Frame>) -> Vec<Frame> {
        let frame_count = frames.len();
        let queue = &mut self.state.queue;
        let mut evicted: Vec<Frame> = frames.into_iter().flat_map(|frame| queue.push(frame)).collect();
        if self.spool.is_enabled() {
            evicted.extend(queue.drain_older_than(SNAPSHOTS_IN_MEMORY * frame_count));
        }
        if self.spool.in_flight.is_some() && !queue.is_partly_written() && !evicted.is_empty() {
            // The first evicted frame came from the spool, which still has it.
            evicted.remove(0);
            self.spool.in_flight = None;
        }
        evicted
    }

    async fn connect(&mut self) {
        let permit = self.relay.borrow().acquire_descriptor();
        match exporter_connection::open(&self.config, permit).await {
            Ok(transport) => self.connection.record_opened(&self.config, transport),
            Err(error) => self.connection.record_failure(&self.config, &error, &mut self.rng),
        }
    }

    async fn handle_written(&mut self, result: io::Result<usize>) {
        match result {
            Ok(count) => {
                self.connection.record_progress();
                if self.state.queue.record_written(count) {
                    self.spool.mark_sent().await;
                }
            }
            Err(error) => self.fail_connection(&error),
        }
    }

    /// Closes the connection after a failure; the first frame will be sent again from its beginning.
    fn fail_connection(&mut self, error: &io::Error) {
        self.state.queue.restart_first();
        self.connection.record_failure(&self.config, error, &mut self.rng);
    }

    /// Queues the oldest frame of the spool for sending.
    async fn refill_from_spool(&mut self) {
        self.next_refill_at =
            Instant::now() + Duration::from_secs_f64(1.0 / self.config.spool_frames_per_second);
        if let Some(frame) = self.spool.take_first(&self.relay).await {
            let evicted = self.state.queue.push(frame);
            if !evicted.is_empty() {
                // The frame is larger than the queue; it is skipped.
                self.spool.mark_sent().await;
            }
        }
    }
}
