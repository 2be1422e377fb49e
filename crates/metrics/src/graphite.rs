//! Graphite's formats: plaintext lines and pickled lists, with plain paths or tags.
//!
//! Sources: Graphite's documentation, "Feeding in your data" (plaintext: `path value timestamp\n`; pickle: a length of
//! four bytes, big-endian, before a pickled list of `(path, (timestamp, value))`) and "Tag support"
//! (`path;tag=value`; a tag's name is not empty and holds none of `;!^=`, its value is not empty, holds no `;` and does
//! not begin with `~`).

use crate::snapshot::{MetricValue, MetricsSnapshot, Sample};

/// How a sample's tag is written in its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathStyle {
    /// As further nodes: `prefix.refused.reason.capacity`.
    Nodes,
    /// As a tag: `prefix.refused;reason=capacity`.
    Tags,
}

/// The longest path in bytes; Graphite's stores make file names of paths.
const MAX_PATH_BYTES: usize = 250;
/// The largest number of samples in a pickle; Graphite's receiver takes up to 1 MiB.
pub const MAX_PICKLE_SAMPLES: usize = 500;

/// Returns a node of a path: characters other than letters, digits, `_` and `-` become `_`.
fn node(text: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '_' || c == '-' { c } else { '_' };
    let node: String = text.chars().map(plain).collect();
    if node.is_empty() { "_".to_owned() } else { node }
}

/// Returns a tag's value: characters that the format does not allow, and white space, become `_`.
fn tag_value(text: &str) -> String {
    let plain = |c: char| if c == ';' || c.is_whitespace() || c.is_control() { '_' } else { c };
    let value: String = text.chars().map(plain).collect();
    match value.strip_prefix('~') {
        Some(rest) => format!("_{rest}"),
        None if value.is_empty() => "_".to_owned(),
        None => value,
    }
}

/// Returns the path of a sample below a prefix of nodes joined by dots.
pub fn path(prefix: &str, sample: &Sample, style: PathStyle) -> String {
    let prefix: Vec<String> = prefix.split('.').filter(|n| !n.is_empty()).map(node).collect();
    let mut path = prefix.join(".");
    if !path.is_empty() {
        path.push('.');
    }
    path.push_str(&node(sample.name));
    if !sample.statistic.is_empty() {
        path.push('.');
        path.push_str(&node(sample.statistic));
    }
    match (&sample.tag, style) {
        (Some((name, value)), PathStyle::Nodes) => path.push_str(&format!(".{}.{}", node(name), node(value))),
        (Some((name, value)), PathStyle::Tags) => {
            path.push_str(&format!(";{}={}", node(name), tag_value(value)))
        }
        (None, _) => {}
    }
    if path.len() > MAX_PATH_BYTES {
        let cut = (0..=MAX_PATH_BYTES).rev().find(|at| path.is_char_boundary(*at)).unwrap_or(0);
        path.truncate(cut);
    }
    path
}

/// Encodes a snapshot as plaintext lines; gauges that are not finite are left out.
pub fn encode_lines(prefix: &str, snapshot: &MetricsSnapshot, style: PathStyle) -> String {
    let timestamp = snapshot.timestamp / 1_000_000;
    let mut text = String::with_capacity(snapshot.samples.len() * 64);
    for sample in &snapshot.samples {
        let path = path(prefix, sample, style);
        match sample.value {
            MetricValue::Counter(total) => text.push_str(&format!("{path} {total} {timestamp}\n")),
            MetricValue::Gauge(gauge) if !gauge.is_finite() => {}
            MetricValue::Gauge(gauge) => text.push_str(&format!("{path} {gauge} {timestamp}\n")),
        }
    }
    text
}

/// An entry of a pickle: its path, its time in Unix seconds and its value.
pub type PickledSample = (String, (i64, f64));

/// Decodes a pickle with its length before it, as a receiver does; none if the bytes are not one.
pub fn decode_pickle(bytes: &[u8]) -> Option<Vec<PickledSample>> {
    let (length, body) = bytes.split_at_checked(4)?;
    let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
    (body.len() == length).then(|| serde_pickle::from_slice(body, serde_pickle::DeOptions::new()).ok())?
}

/// Encodes a snapshot as pickled lists, each with its length before it.
///
/// # Errors
///
/// If a list cannot be pickled.
pub fn encode_pickles(
    prefix: &str, snapshot: &MetricsSnapshot, style: PathStyle,
) -> Result<Vec<Vec<u8>>, serde_pickle::Error> {
    let timestamp = (snapshot.timestamp / 1_000_000) as i64;
    let samples: Vec<PickledSample> = snapshot
        .samples
        .iter()
        .filter_map(|sample| {
            let value = match sample.value {
                MetricValue::Counter(total) => total as f64,
                MetricValue::Gauge(gauge) => gauge,
            };
            value.is_finite().then(|| (path(prefix, sample, style), (timestamp, value)))
        })
        .collect();
    let pickle = |list: &[PickledSample]| {
        let options = serde_pickle::SerOptions::new().proto_v2();
        let body = serde_pickle::to_vec(&list, options)?;
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend(body);
        Ok(frame)
    };
    samples.chunks(MAX_PICKLE_SAMPLES).map(pickle).collect()
}
