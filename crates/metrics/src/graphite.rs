//! Graphite's formats: the plaintext and pickle protocols, with tags as path nodes or as Graphite tags.
//!
//! Sources: Graphite's documentation, "Feeding in your data" (plaintext: `path value timestamp\n`; pickle: a
//! big-endian length of four bytes, followed by a pickled list of `(path, (timestamp, value))`) and "Tag
//! support" (`path;tag=value`; the name of a tag is not empty and contains none of `;!^=`; its value is not
//! empty, contains no `;` and does not begin with `~`).

use crate::snapshot::{MetricValue, MetricsSnapshot, Sample};

/// How the tag of a sample is written in its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathStyle {
    /// As path nodes: `prefix.refused.reason.capacity`.
    Nodes,
    /// As a Graphite tag: `prefix.refused;reason=capacity`.
    Tags,
}

/// Maximum length of a path, in bytes. Graphite's storage uses paths as file names, whose length is limited.
const MAX_PATH_BYTES: usize = 250;
/// Maximum number of samples in a pickle. Graphite's receiver accepts pickles of up to 1 MiB.
pub const MAX_PICKLE_SAMPLES: usize = 500;

/// Returns a valid path node: all characters other than ASCII letters, digits, `_` and `-` are replaced by
/// `_`.
fn node(text: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '_' || c == '-' { c } else { '_' };
    let node: String = text.chars().map(plain).collect();
    if node.is_empty() { "_".to_owned() } else { node }
}

/// Returns a valid tag value: white space, control characters, `;` and a `~` at the beginning are replaced by
/// `_`.
fn tag_value(text: &str) -> String {
    let plain = |c: char| if c == ';' || c.is_whitespace() || c.is_control() { '_' } else { c };
    let value: String = text.chars().map(plain).collect();
    match value.strip_prefix('~') {
        Some(rest) => format!("_{rest}"),
        None if value.is_empty() => "_".to_owned(),
        None => value,
    }
}

/// Returns the path of a sample. `prefix` is a list of path nodes joined by dots, which may be empty.
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

/// Encodes a snapshot in the plaintext protocol. Gauges that are not finite are left out.
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

/// An entry of a pickle: the path, the time in Unix seconds and the value.
pub type PickledSample = (String, (i64, f64));

/// Decodes a pickle with its length prefix, as Graphite's receiver does. Returns `None` if the bytes are not
/// a valid pickle.
pub fn decode_pickle(bytes: &[u8]) -> Option<Vec<PickledSample>> {
    let (length, body) = bytes.split_at_checked(4)?;
    let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
    (body.len() == length).then(|| serde_pickle::from_slice(body, serde_pickle::DeOptions::new()).ok())?
}

/// Encodes a snapshot in the pickle protocol, as frames of a length prefix and a pickle of at most
/// [`MAX_PICKLE_SAMPLES`] samples. Gauges that are not finite are left out.
///
/// # Errors
///
/// If a list of samples cannot be pickled.
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
