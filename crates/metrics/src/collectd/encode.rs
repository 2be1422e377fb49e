//! Encodes snapshots as packets and in the plain text protocol.

use super::security::{Security, protect};
use super::{DERIVE, GAUGE, MAX_PACKET_BYTES, PART_HEADER_BYTES, PLUGIN_NAME, part_type};
use crate::snapshot::{MetricValue, MetricsSnapshot, Sample};

/// Maximum length of a string in a part, in bytes, including its zero byte.
const MAX_STRING_BYTES: usize = 128;
const MICROS_PER_SECOND: f64 = 1e6;

/// Appends a part with its header.
pub(super) fn push_part(out: &mut Vec<u8>, kind: u16, body: &[u8]) {
    out.extend(kind.to_be_bytes());
    out.extend(((body.len() + PART_HEADER_BYTES) as u16).to_be_bytes());
    out.extend(body);
}

/// Encodes a string with its zero byte, truncated to [`MAX_STRING_BYTES`] at a character boundary. Zero bytes
/// and slashes, which separate the elements of an identifier, are replaced by `_`.
fn encode_string(text: &str) -> Vec<u8> {
    let plain: String = text.chars().map(|c| if c == '\0' || c == '/' { '_' } else { c }).collect();
    let cut = (0..MAX_STRING_BYTES).rev().find(|at| plain.is_char_boundary(*at)).unwrap_or(0);
    let mut bytes = plain.as_bytes()[..cut.min(plain.len())].to_vec();
    bytes.push(0);
    bytes
}

/// Converts microseconds to units of 2^-30 s.
fn high_resolution_time(micros: u64) -> u64 {
    ((u128::from(micros) << 30) / 1_000_000) as u64
}

/// Returns the type and the value code of a sample. Every collectd server knows the types `derive` and
/// `gauge`.
fn type_of(value: MetricValue) -> (&'static str, u8) {
    match value {
        MetricValue::Counter(_) => ("derive", DERIVE),
        MetricValue::Gauge(_) => ("gauge", GAUGE),
    }
}

/// Returns the type instance of a sample: the name, statistic and tag value of its series, joined by `-`.
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
/// `instance` is the plugin instance. `initialization_vector` is called once for each encrypted packet.
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
        push_part(&mut type_part, part_type::TYPE, &encode_string(kind));
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

/// Returns the parts at the beginning of each packet: host, time, interval, plugin and plugin instance.
fn packet_header(host: &str, instance: &str, timestamp: u64, interval_micros: u64) -> Vec<u8> {
    let mut header = Vec::new();
    push_part(&mut header, part_type::HOST, &encode_string(host));
    push_part(&mut header, part_type::TIME, &high_resolution_time(timestamp).to_be_bytes());
    push_part(&mut header, part_type::INTERVAL, &high_resolution_time(interval_micros).to_be_bytes());
    push_part(&mut header, part_type::PLUGIN, &encode_string(PLUGIN_NAME));
    push_part(&mut header, part_type::PLUGIN_INSTANCE, &encode_string(instance));
    header
}

/// Returns the parts for the type instance and the value of a sample.
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
    push_part(&mut parts, part_type::TYPE_INSTANCE, &encode_string(&type_instance(sample)));
    push_part(&mut parts, part_type::VALUES, &values);
    parts
}

/// Encodes a snapshot in the plain text protocol of collectd's unixsock and exec plugins: one `PUTVAL` line
/// per sample.
pub fn encode_putvals(
    host: &str, instance: &str, snapshot: &MetricsSnapshot, interval_micros: u64,
) -> String {
    let mut text = String::new();
    for sample in &snapshot.samples {
        let (kind, _) = type_of(sample.value);
        let value = match sample.value {
            MetricValue::Counter(total) => total.to_string(),
            MetricValue::Gauge(gauge) if gauge.is_finite() => gauge.to_string(),
            // `U` is the undefined value in the protocol.
            MetricValue::Gauge(_) => "U".to_owned(),
        };
        text.push_str(&format!(
            "PUTVAL \"{}/{PLUGIN_NAME}-{}/{kind}-{}\" interval={:.3} {:.3}:{value}\n",
            text_identifier(host),
            text_identifier(instance),
            text_identifier(&type_instance(sample)),
            interval_micros as f64 / MICROS_PER_SECOND,
            snapshot.timestamp as f64 / MICROS_PER_SECOND
        ));
    }
    text
}

/// Replaces characters that could end an identifier in the plain text protocol by `_`.
fn text_identifier(text: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "._-:".contains(c) { c } else { '_' };
    text.chars().map(plain).collect()
}
