//! Graphite's formats: plaintext lines and pickled lists, with plain paths or tags.
//!
//! Sources: Graphite's documentation, "Feeding in your data" (plaintext: `path value timestamp\n`; pickle: a length of
//! four bytes, big-endian, before a pickled list of `(path, (timestamp, value))`) and "Tag support"
//! (`path;tag=value`; a tag's name is not empty and holds none of `;!^=`, its value is not empty, holds no `;` and does
//! not begin with `~`).

use crate::registry::{MetricValue, MetricsSnapshot, Sample};

/// How a point's tag and part are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paths {
    /// As further nodes: `prefix.refused.reason.full`.
    Nodes,
    /// As tags: `prefix.refused;reason=full`.
    Tags,
}

/// The longest path that is written: Graphite's stores make file names of them.
const LONGEST: usize = 250;
/// The largest pickle that Graphite's receiver takes (1 MiB); lists are cut well below it.
pub const PICKLE_POINTS: usize = 500;

/// A node of a path: letters, digits, `_`, `-`; anything else becomes `_`, as a dot would begin a new node.
fn node(text: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '_' || c == '-' { c } else { '_' };
    let node: String = text.chars().map(plain).collect();
    if node.is_empty() { "_".to_owned() } else { node }
}

/// A tag's value: what the format does not allow, and what would break a line, becomes `_`.
fn tag_value(text: &str) -> String {
    let plain = |c: char| if c == ';' || c.is_whitespace() || c.is_control() { '_' } else { c };
    let value: String = text.chars().map(plain).collect();
    match value.strip_prefix('~') {
        Some(rest) => format!("_{rest}"),
        None if value.is_empty() => "_".to_owned(),
        None => value,
    }
}

/// The path of a point below a prefix of nodes joined by dots.
pub fn path(prefix: &str, point: &Sample, paths: Paths) -> String {
    let prefix: Vec<String> = prefix.split('.').filter(|n| !n.is_empty()).map(node).collect();
    let mut path = prefix.join(".");
    if !path.is_empty() {
        path.push('.');
    }
    path.push_str(&node(point.name));
    if !point.part.is_empty() {
        path.push('.');
        path.push_str(&node(point.part));
    }
    match (&point.tag, paths) {
        (Some((name, value)), Paths::Nodes) => path.push_str(&format!(".{}.{}", node(name), node(value))),
        (Some((name, value)), Paths::Tags) => path.push_str(&format!(";{}={}", node(name), tag_value(value))),
        (None, _) => {}
    }
    if path.len() > LONGEST {
        let cut = (0..=LONGEST).rev().find(|at| path.is_char_boundary(*at)).unwrap_or(0);
        path.truncate(cut);
    }
    path
}

/// A reading as plaintext lines.
pub fn lines(prefix: &str, reading: &MetricsSnapshot, paths: Paths) -> String {
    let at = reading.at / 1_000_000;
    let mut text = String::with_capacity(reading.points.len() * 64);
    for point in &reading.points {
        let path = path(prefix, point, paths);
        match point.value {
            MetricValue::Counter(total) => text.push_str(&format!("{path} {total} {at}\n")),
            // What is no number has no place in a series.
            MetricValue::Gauge(gauge) if !gauge.is_finite() => {}
            MetricValue::Gauge(gauge) => text.push_str(&format!("{path} {gauge} {at}\n")),
        }
    }
    text
}

/// A point of a pickle: its path, its time in Unix seconds and its value.
pub type Pickled = (String, (i64, f64));

/// Reads a pickle with its length before it, as a receiver does; none if the bytes are no such thing.
pub fn read_pickle(bytes: &[u8]) -> Option<Vec<Pickled>> {
    let (length, body) = bytes.split_at_checked(4)?;
    let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
    (body.len() == length).then(|| serde_pickle::from_slice(body, serde_pickle::DeOptions::new()).ok())?
}

/// A reading as pickled lists, each with its length before it.
pub fn pickles(
    prefix: &str, reading: &MetricsSnapshot, paths: Paths,
) -> Result<Vec<Vec<u8>>, serde_pickle::Error> {
    let at = (reading.at / 1_000_000) as i64;
    let points: Vec<Pickled> = reading
        .points
        .iter()
        .filter_map(|point| {
            let value = match point.value {
                MetricValue::Counter(total) => total as f64,
                MetricValue::Gauge(gauge) => gauge,
            };
            value.is_finite().then(|| (path(prefix, point, paths), (at, value)))
        })
        .collect();
    let pickle = |list: &[Pickled]| {
        let options = serde_pickle::SerOptions::new().proto_v2();
        let body = serde_pickle::to_vec(&list, options)?;
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend(body);
        Ok(frame)
    };
    points.chunks(PICKLE_POINTS).map(pickle).collect()
}
