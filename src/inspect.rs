//! `honeyknot-relay metrics`: lists all metrics, and prints captured export packets and counter snapshots as
//! text.

use std::io::{self, Write};
use std::path::{Path, PathBuf};

use honeyknot_metrics::collectd;
use honeyknot_metrics::families::{METRIC_FAMILIES, MetricDescriptor};
use honeyknot_metrics::stored::{self, StoredMetrics};
use honeyknot_metrics::{MetricValue, graphite};

use crate::relay::lifecycle::config::{KeyFileError, read_key_file};

/// The sub-commands of `honeyknot-relay metrics`.
#[derive(Debug, clap::Subcommand)]
pub enum MetricsCommand {
    /// List all metrics, one a line: name, kind, unit, tag, the tag's values and description, separated by
    /// tabs.
    Names,
    /// Print a captured collectd packet, a captured Graphite pickle or a counter snapshot as text.
    Decode {
        /// The file to print.
        file: PathBuf,
        /// Key file for a signed or encrypted packet; without it, signatures are not verified.
        #[arg(long, value_name = "FILE")]
        key: Option<String>,
    },
}

/// Why a sub-command of `honeyknot-relay metrics` failed.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// Standard output cannot be written.
    #[error("cannot write to standard output: {0}")]
    Output(#[source] io::Error),
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file begins as a counter snapshot, but cannot be decoded.
    #[error("{}: {source}", path.display())]
    Snapshot {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: stored::SnapshotError,
    },
    /// The file is neither a snapshot nor a pickle, and cannot be decoded as a collectd packet.
    #[error("{}: {source}", path.display())]
    Packet {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: collectd::PacketError,
    },
    /// The key file cannot be used.
    #[error("{path}: {source}")]
    KeyFile {
        /// Path of the key file.
        path: String,
        /// The cause.
        source: KeyFileError,
    },
}

/// The user and password from a key file.
struct Credentials {
    user: String,
    password: String,
}

/// Runs a sub-command and writes its result to standard output.
///
/// # Errors
/// If a file cannot be read or decoded, or the output cannot be written.
pub fn run(command: &MetricsCommand) -> Result<(), InspectError> {
    let text = match command {
        MetricsCommand::Names => list_names(),
        MetricsCommand::Decode { file, key } => decode(file, key.as_deref())?,
    };
    match io::stdout().lock().write_all(text.as_bytes()) {
        // Not an error: the reader, such as `head`, has closed the pipe.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.map_err(InspectError::Output),
    }
}

fn list_names() -> String {
    let line = |family: &MetricDescriptor| {
        let (kind, values) = (family.kind.as_str(), family.tag_values.join(","));
        format!("{}\t{kind}\t{}\t{}\t{values}\t{}\n", family.name, family.unit, family.tag, family.help)
    };
    METRIC_FAMILIES.iter().map(line).collect()
}

fn decode(file: &Path, key_file: Option<&str>) -> Result<String, InspectError> {
    let path = file.to_owned();
    let bytes = std::fs::read(file).map_err(|source| InspectError::Read { path: path.clone(), source })?;
    if bytes.starts_with(stored::MAGIC) {
        let snapshot = StoredMetrics::decode(&bytes);
        return snapshot
            .map(|snapshot| describe_snapshot(&snapshot))
            .map_err(|source| InspectError::Snapshot { path, source });
    }
    if let Some(points) = graphite::decode_pickle(&bytes) {
        return Ok(points.iter().map(|(name, (at, value))| format!("{name} {value} {at}\n")).collect());
    }
    let credentials = key_file.map(read_credentials).transpose()?;
    decode_packet(&bytes, credentials.as_ref()).map_err(|source| InspectError::Packet { path, source })
}

fn read_credentials(path: &str) -> Result<Credentials, InspectError> {
    let (user, password) =
        read_key_file(path).map_err(|source| InspectError::KeyFile { path: path.to_owned(), source })?;
    Ok(Credentials { user, password })
}

fn decode_packet(bytes: &[u8], credentials: Option<&Credentials>) -> Result<String, collectd::PacketError> {
    let password_of = |user: &str| {
        let known = credentials.filter(|credentials| credentials.user == user);
        known.map(|credentials| credentials.password.clone())
    };
    let passwords: Option<collectd::PasswordLookup<'_>> = credentials.is_some().then_some(&password_of);
    let values = collectd::decode_packet(bytes, passwords)?;
    Ok(values.iter().map(describe_value).collect())
}

fn describe_value(received: &collectd::ReceivedValue) -> String {
    let value = match received.value {
        MetricValue::Counter(total) => total.to_string(),
        MetricValue::Gauge(gauge) => gauge.to_string(),
    };
    let seconds = received.timestamp as f64 / 1e6;
    let plugin = format!("{}-{}", collectd::PLUGIN_NAME, received.plugin_instance);
    format!(
        "{}/{plugin}/{}-{} {value} {seconds:.3}\n",
        received.host, received.type_name, received.type_instance
    )
}

fn describe_snapshot(snapshot: &StoredMetrics) -> String {
    let mut text = format!(
        "relay {} at {:.3}, incarnation {}\n",
        snapshot.relay,
        snapshot.timestamp as f64 / 1e6,
        snapshot.incarnation
    );
    for total in &snapshot.counters {
        let tag = if total.tag_value.is_empty() { String::new() } else { format!(" {}", total.tag_value) };
        text.push_str(&format!("{}{tag} {}\n", total.name, total.total));
    }
    for histogram in &snapshot.histograms {
        let count: u64 = histogram.counts.iter().map(|(_, count)| count).sum();
        let largest = histogram.counts.last().map_or(0, |(value, _)| *value);
        text.push_str(&format!("{} {count} values up to {largest}\n", histogram.name));
    }
    text
}
