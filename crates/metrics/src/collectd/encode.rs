//! Encodes snapshots as packets and as text.

use super::security::{Security, protect};
use super::{DERIVE, GAUGE, MAX_PACKET_BYTES, PART_HEADER_BYTES, PLUGIN_NAME, part_type};
use crate::snapshot::{MetricValue, MetricsSnapshot, Sample};

/// The longest string of a part in bytes, with its zero byte.
const MAX_STRING_BYTES: usize = 128;
const MICROS_PER_SECOND: f64 = 1e6;

pub(super) fn push_part(out: &mut Vec<u8>, kind: u16, body: &[u8]) {
    out.extend(kind.to_be_bytes());
    out.extend(((body.len() + PART_HEADER_BYTES) as u16).to_be_bytes());
    out.extend(body);
}

/// Returns a part's string: cut at a character; zero bytes and slashes, which separate identifiers, become `_`.
fn string(text: &str) -> Vec<u8> {
    let plain: String = text.chars().map(|c| if c == '\0' || c == '/' { '_' } else { c }).collect();
    let cut = (0..MAX_STRING_BYTES).rev().find(|at| plain.is_char_boundary(*at)).unwrap_or(0);
    let mut bytes = plain.as_bytes()[..cut.min(plain.len())].to_vec();
    bytes.push(0);
    bytes
}

fn high_resolution_time(micros: u64) -> u64 {
    ((u128::from(micros) << 30) / 1_000_000) as u64
}

/// Returns a sample's type and value code: `derive` or `gauge`, which every collectd knows.
fn type_of(value: MetricValue) -> (&'static str, u8) {
    match value {
        MetricValue::Counter(_) => ("derive", DERIVE),
        MetricValue::Gauge(_) => ("gauge", GAUGE),
    }
}

/// Returns a sample's type instance: the series' name, statistic and tag value.
fn type_instance(sample: &Sample) -> String {
    let mut name = sample.name.to_owned();
    for suffix in [sample.statistic, sample.tag.as_ref().map_or("", |(_, value)| value)] {
        if !suffix.is_empty() {
            name.push('-');
            name.push_str(suffix);
        }
    }
    name
}

/// Encodes a snapshot as packets of at most [`MAX_PACKET_BYTES`].
///
/// `instance` is the plugin's instance; `initialization_vector` is called for each encrypted packet.
pub fn encode_packets(
    host: &str, instance: &str, snapshot: &MetricsSnapshot, interval_micros: u64, security: &Security,
    mut initialization_vector: impl FnMut() -> [u8; 16],
) -> Vec<Vec<u8>> {
    let header = packet_header(host, instance, snapshot.timestamp, interval_micros);
    let max_bytes = MAX_PACKET_BYTES - security.overhead();
    let (mut packets, mut packet, mut last_type) = (Vec::new(), header.clone(), "");
    for sample in &snapshot.samples {
        let (kind, _) = type_of(sample.value);
        let parts = value_parts(sample);
        let mut type_part = Vec::new();
        push_part(&mut type_part, part_type::TYPE, &string(kind));
        let added = if kind == last_type { parts.len() } else { parts.len() + type_part.len() };
        if packet.len() + added > max_bytes {
            packets.push(std::mem::replace(&mut packet, header.clone()));
            last_type = "";
        }
        if kind != last_type {
            packet.extend(&type_part);
            last_type = kind;
        }
        packet.extend(parts);
    }
    if packet.len() > header.len() {
        packets.push(packet);
    }
    packets.into_iter().map(|packet| protect(packet, security, &mut initialization_vector)).collect()
}

/// Returns the parts that begin each packet.
fn packet_header(host: &str, instance: &str, timestamp: u64, interval_micros: u64) -> Vec<u8> {
    let mut header = Vec::new();
    push_part(&mut header, part_type::HOST, &string(host));
    push_part(&mut header, part_type::TIME, &high_resolution_time(timestamp).to_be_bytes());
    push_part(&mut header, part_type::INTERVAL, &high_resolution_time(interval_micros).to_be_bytes());
    push_part(&mut header, part_type::PLUGIN, &string(PLUGIN_NAME));
    push_part(&mut header, part_type::PLUGIN_INSTANCE, &string(instance));
    header
}

/// Returns the parts of a sample's type instance and value.
fn value_parts(sample: &Sample) -> Vec<u8> {
    let value: [u8; 8] = match sample.value {
        MetricValue::Counter(total) => i64::try_from(total).unwrap_or(i64::MAX).to_be_bytes(),
        MetricValue::Gauge(gauge) => gauge.to_le_bytes(),
    };
    let (_, code) = type_of(sample.value);
    let mut values = 1u16.to_be_bytes().to_vec();
    values.push(code);
    values.extend(value);
    let mut parts = Vec::new();
    push_part(&mut parts, part_type::TYPE_INSTANCE, &string(&type_instance(sample)));
    push_part(&mut parts, part_type::VALUES, &values);
    parts
}

/// Encodes a snapshot in the text protocol, as a unixsock or exec plugin reads it: one `PUTVAL` a sample.
pub fn encode_putvals(
    host: &str, instance: &str, snapshot: &MetricsSnapshot, interval_micros: u64,
) -> String {
    let mut text = String::new();
    for sample in &snapshot.samples {
        let (kind, _) = type_of(sample.value);
        let value = match sample.value {
            MetricValue::Counter(total) => total.to_string(),
            MetricValue::Gauge(gauge) if gauge.is_finite() => gauge.to_string(),
            // Undefined, by the protocol.
            MetricValue::Gauge(_) => "U".to_owned(),
        };
        text.push_str(&format!(
            "PUTVAL \"{}/{PLUGIN_NAME}-{}/{kind}-{}\" interval={:.3} {:.3}:{value}\n",
            text_word(host),
            text_word(instance),
            text_word(&type_instance(sample)),
            interval_micros as f64 / MICROS_PER_SECOND,
            snapshot.timestamp as f64 / MICROS_PER_SECOND
        ));
    }
    text
}

fn text_word(text: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "._-:".contains(c) { c } else { '_' };
    text.chars().map(plain).collect()
}
