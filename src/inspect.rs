//! `honeyknot-relay metrics`: the names of all series, and captured packets and snapshots made readable.

use std::io::{self, Write};
use std::path::{Path, PathBuf};

use honeyknot_metrics::collectd;
use honeyknot_metrics::names::NAMES;
use honeyknot_metrics::state::State;
use honeyknot_metrics::{Value, graphite};

use crate::relay::lifecycle::config::read_key_file;

/// What to show.
#[derive(clap::Subcommand)]
pub enum Show {
    /// List all series: name, kind, unit, tag, its values, meaning; separated by tabs.
    Names,
    /// Print a captured collectd packet, a Graphite pickle or a snapshot of counts.
    Decode {
        /// The file.
        file: PathBuf,
        /// The key file of a signed or encrypted packet; without it, a signature is not checked.
        #[arg(long, value_name = "FILE")]
        key: Option<String>,
    },
}

/// Writes what is asked for to standard output.
pub fn show(what: &Show) -> Result<(), String> {
    let text = match what {
        Show::Names => names(),
        Show::Decode { file, key } => decode(file, key.as_deref())?,
    };
    match io::stdout().lock().write_all(text.as_bytes()) {
        // Whoever reads has seen enough.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        wrote => wrote.map_err(|e| format!("standard output: {e}")),
    }
}

fn names() -> String {
    let line = |n: &honeyknot_metrics::names::Name| {
        let kind = format!("{:?}", n.kind).to_lowercase();
        format!("{}\t{kind}\t{}\t{}\t{}\t{}\n", n.name, n.unit, n.tag, n.values.join(","), n.help)
    };
    NAMES.iter().map(line).collect()
}

fn decode(file: &Path, key: Option<&str>) -> Result<String, String> {
    let told = |why: String| format!("{}: {why}", file.display());
    let bytes = std::fs::read(file).map_err(|e| told(e.to_string()))?;
    if bytes.starts_with(honeyknot_metrics::state::MAGIC) {
        let state = State::decode(&bytes).map_err(|e| told(e.to_string()))?;
        return Ok(snapshot(&state));
    }
    if let Some(points) = graphite::read_pickle(&bytes) {
        return Ok(points.iter().map(|(path, (at, value))| format!("{path} {value} {at}\n")).collect());
    }
    let key = key.map(|path| read_key_file(path).map_err(|error| format!("{path}: {error}"))).transpose()?;
    let password = |user: &str| key.as_ref().filter(|(u, _)| u == user).map(|(_, password)| password.clone());
    let passwords: Option<collectd::Passwords> = if key.is_some() { Some(&password) } else { None };
    let values = collectd::read(&bytes, passwords).map_err(|e| told(e.to_string()))?;
    let line = |v: &collectd::Received| {
        let value = match v.value {
            Value::Total(total) => total.to_string(),
            Value::Gauge(gauge) => gauge.to_string(),
        };
        let at = v.at as f64 / 1e6;
        format!("{}/{}-{}/{}-{} {value} {at:.3}\n", v.host, collectd::PLUGIN_NAME, v.instance, v.kind, v.name)
    };
    Ok(values.iter().map(line).collect())
}

fn snapshot(state: &State) -> String {
    let mut text = format!("relay {} at {:.3}, life {}\n", state.relay, state.at as f64 / 1e6, state.lives);
    for total in &state.totals {
        let tag = if total.value.is_empty() { String::new() } else { format!(" {}", total.value) };
        text.push_str(&format!("{}{tag} {}\n", total.name, total.total));
    }
    for spread in &state.spreads {
        let count: u64 = spread.counts.iter().map(|(_, count)| count).sum();
        let most = spread.counts.last().map_or(0, |(value, _)| *value);
        text.push_str(&format!("{} {count} values up to {most}\n", spread.name));
    }
    text
}
