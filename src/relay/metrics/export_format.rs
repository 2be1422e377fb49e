//! Converts snapshots to what an exporter sends.

use honeyknot_metrics::config::{ExporterConfig, Protocol};
use honeyknot_metrics::{MetricsSnapshot, collectd, graphite};
use rand::Rng;
use rand::rngs::StdRng;

use super::frame_queue::Frame;

const MICROS_PER_SECOND: u64 = 1_000_000;
/// The plugin instance of all series sent to collectd.
const COLLECTD_INSTANCE: &str = "relay";

/// How long counters last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CounterLifetime {
    /// Across restarts: they are restored from disk.
    Persistent,
    /// As long as the process: they start at zero with it.
    Process,
}

/// What an exporter remembers of its last export.
#[derive(Debug)]
pub(super) struct ExportHistory {
    /// The last snapshot; `None` before the first export.
    pub(super) last_snapshot: Option<MetricsSnapshot>,
    /// The Unix second of the last export to Graphite.
    pub(super) last_second: u64,
}

/// Returns the snapshot to export.
///
/// collectd receives the snapshot unchanged. Graphite receives increments if counters end with the process,
/// and every snapshot has a different timestamp in seconds, because Graphite stores one value per second.
pub(super) fn exported_snapshot(
    config: &ExporterConfig, snapshot: &MetricsSnapshot, lifetime: CounterLifetime,
    history: &mut ExportHistory,
) -> MetricsSnapshot {
    if matches!(config.protocol, Protocol::Collectd(_)) {
        return snapshot.clone();
    }
    history.last_second = (snapshot.timestamp / MICROS_PER_SECOND).max(history.last_second + 1);
    let exported = match lifetime {
        CounterLifetime::Persistent => snapshot.clone(),
        CounterLifetime::Process => snapshot.since(history.last_snapshot.as_ref()),
    };
    MetricsSnapshot { timestamp: snapshot.timestamp.max(history.last_second * MICROS_PER_SECOND), ..exported }
}

/// Encodes a snapshot as frames of the exporter's protocol.
pub(super) fn encode(
    config: &ExporterConfig, relay_name: &str, snapshot: &MetricsSnapshot, rng: &mut StdRng,
) -> Vec<Frame> {
    let prefix = format!("{}.{}", config.prefix, relay_name.replace('.', "_"));
    let samples = snapshot.samples.len() as u64;
    match &config.protocol {
        Protocol::GraphiteLines(paths) => {
            let text = graphite::encode_lines(&prefix, snapshot, *paths);
            vec![Frame { bytes: text.into_bytes(), samples }]
        }
        Protocol::GraphitePickle(paths) => {
            into_frames(graphite::encode_pickles(&prefix, snapshot, *paths).unwrap_or_default(), samples)
        }
        Protocol::Collectd(security) => {
            let interval = config.interval.as_micros() as u64;
            let initialization_vector = || rng.random();
            let packets = collectd::encode_packets(
                relay_name,
                COLLECTD_INSTANCE,
                snapshot,
                interval,
                security,
                initialization_vector,
            );
            into_frames(packets, samples)
        }
    }
}

/// Divides the samples evenly among the frames.
fn into_frames(encoded: Vec<Vec<u8>>, samples: u64) -> Vec<Frame> {
    let samples = samples / encoded.len().max(1) as u64;
    encoded.into_iter().map(|bytes| Frame { bytes, samples }).collect()
}
