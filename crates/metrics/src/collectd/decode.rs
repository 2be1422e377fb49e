//! Decodes packets as a collectd server does.

use hmac::Mac;
use sha1::Sha1;
use sha2::Digest;

use super::security::{crypt, mac};
use super::{DERIVE, GAUGE, PART_HEADER_BYTES, part_type};
use crate::snapshot::MetricValue;

/// Size of a signature (HMAC-SHA-256), in bytes.
const SIGNATURE_BYTES: usize = 32;
/// Size of an initialization vector (AES), in bytes.
const INITIALIZATION_VECTOR_BYTES: usize = 16;
/// Size of the checksum (SHA-1) in an encrypted packet, in bytes.
const CHECKSUM_BYTES: usize = 20;

/// Why a packet is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The length or the content of a part is invalid. Holds the type of the part and its offset in bytes.
    #[error("the packet has a malformed part of type {0:#06x} at byte {1}")]
    Malformed(u16, usize),
    /// The packet is neither signed nor encrypted, although that is required.
    #[error("the packet is neither signed nor encrypted, although that is required")]
    Unprotected,
    /// The signature or checksum is wrong, or the user is unknown. Holds the user's name.
    #[error(
        "the packet of user `{0}` cannot be verified: the user is unknown, the password is wrong or the packet is \
         damaged"
    )]
    VerificationFailed(String),
}

/// A decoded value with its identifier.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedValue {
    /// Name of the host.
    pub host: String,
    /// Instance of the plugin.
    pub plugin_instance: String,
    /// Type of the value, such as `gauge`.
    pub type_name: String,
    /// Instance of the type, which names the series.
    pub type_instance: String,
    /// Time of the value in Unix microseconds, rounded to the nearest.
    pub timestamp: u64,
    /// The value.
    pub value: MetricValue,
}

/// Returns a user's password, or `None` if the user is unknown.
pub type PasswordLookup<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Decodes a packet. If `passwords` is given, the packet must be signed or encrypted by a user that it knows.
/// Without `passwords`, a signature is not verified.
///
/// # Errors
///
/// If a part is malformed, or the packet is not signed or encrypted as required.
pub fn decode_packet(
    packet: &[u8], passwords: Option<PasswordLookup>,
) -> Result<Vec<ReceivedValue>, PacketError> {
    let (kind, body, rest) = split_part(packet, 0)?;
    match (kind, passwords) {
        (part_type::SIGNATURE, Some(passwords)) => {
            verify_signature(body, rest, passwords)?;
            decode_parts(rest)
        }
        (part_type::SIGNATURE, None) => decode_parts(rest),
        (part_type::ENCRYPTION, Some(passwords)) => decode_parts(&decrypt(body, passwords)?),
        (_, Some(_)) => Err(PacketError::Unprotected),
        (_, None) => decode_parts(packet),
    }
}

fn verify_signature(body: &[u8], content: &[u8], passwords: PasswordLookup) -> Result<(), PacketError> {
    let malformed = PacketError::Malformed(part_type::SIGNATURE, 0);
    let (signature, user) = body.split_at_checked(SIGNATURE_BYTES).ok_or(malformed)?;
    let (user, password) = credentials(user, passwords)?;
    match mac(&user, &password, content).is_some_and(|mac| mac.verify_slice(signature).is_ok()) {
        true => Ok(()),
        false => Err(PacketError::VerificationFailed(user)),
    }
}

fn decrypt(body: &[u8], passwords: PasswordLookup) -> Result<Vec<u8>, PacketError> {
    let malformed = || PacketError::Malformed(part_type::ENCRYPTION, 0);
    let (length, body) = body.split_at_checked(2).ok_or_else(malformed)?;
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    let (user, body) = body.split_at_checked(length).ok_or_else(malformed)?;
    let (vector, encrypted) = body.split_at_checked(INITIALIZATION_VECTOR_BYTES).ok_or_else(malformed)?;
    let (user, password) = credentials(user, passwords)?;
    let mut encrypted = encrypted.to_vec();
    crypt(&password, &vector.try_into().map_err(|_| malformed())?, &mut encrypted);
    let (checksum, content) = encrypted.split_at_checked(CHECKSUM_BYTES).ok_or_else(malformed)?;
    if Sha1::digest(content).as_slice() != checksum {
        return Err(PacketError::VerificationFailed(user));
    }
    Ok(content.to_vec())
}

/// Decodes a user's name and returns it with the password.
fn credentials(user: &[u8], passwords: PasswordLookup) -> Result<(String, String), PacketError> {
    let user = String::from_utf8_lossy(user).into_owned();
    let password = passwords(&user).ok_or_else(|| PacketError::VerificationFailed(user.clone()))?;
    Ok((user, password))
}

/// Splits off the first part. Returns its type, its body and the remaining bytes. `offset` is its offset in
/// the packet, for errors.
fn split_part(bytes: &[u8], offset: usize) -> Result<(u16, &[u8], &[u8]), PacketError> {
    let [a, b, c, d, ..] = *bytes else { return Err(PacketError::Malformed(0xffff, offset)) };
    let (kind, length) = (u16::from_be_bytes([a, b]), usize::from(u16::from_be_bytes([c, d])));
    if length < PART_HEADER_BYTES || length > bytes.len() {
        return Err(PacketError::Malformed(kind, offset));
    }
    Ok((kind, &bytes[PART_HEADER_BYTES..length], &bytes[length..]))
}

/// Decodes the parts of an unprotected packet.
fn decode_parts(mut bytes: &[u8]) -> Result<Vec<ReceivedValue>, PacketError> {
    let size = bytes.len();
    let mut current = ReceivedValue {
        host: String::new(),
        plugin_instance: String::new(),
        type_name: String::new(),
        type_instance: String::new(),
        timestamp: 0,
        value: MetricValue::Counter(0),
    };
    let mut received = Vec::new();
    while !bytes.is_empty() {
        let offset = size - bytes.len();
        let (kind, body, rest) = split_part(bytes, offset)?;
        bytes = rest;
        let malformed = PacketError::Malformed(kind, offset);
        match kind {
            part_type::HOST => current.host = decode_string(body).ok_or(malformed)?,
            part_type::PLUGIN_INSTANCE => current.plugin_instance = decode_string(body).ok_or(malformed)?,
            part_type::TYPE => current.type_name = decode_string(body).ok_or(malformed)?,
            part_type::TYPE_INSTANCE => current.type_instance = decode_string(body).ok_or(malformed)?,
            part_type::TIME => current.timestamp = decode_time(body).ok_or(malformed)?,
            part_type::VALUES => {
                let values = decode_values(body).ok_or(malformed)?;
                received.extend(values.into_iter().map(|value| ReceivedValue { value, ..current.clone() }));
            }
            _ => {}
        }
    }
    Ok(received)
}

fn decode_string(body: &[u8]) -> Option<String> {
    String::from_utf8(body.strip_suffix(&[0])?.to_vec()).ok()
}

/// Converts a time in units of 2^-30 s to microseconds, rounded to the nearest.
fn decode_time(body: &[u8]) -> Option<u64> {
    let ticks = u64::from_be_bytes(body.try_into().ok()?);
    Some(((u128::from(ticks) * 1_000_000 + (1 << 29)) >> 30) as u64)
}

fn decode_values(body: &[u8]) -> Option<Vec<MetricValue>> {
    let (count, body) = body.split_at_checked(2)?;
    let count = usize::from(u16::from_be_bytes([count[0], count[1]]));
    let (codes, values) = body.split_at_checked(count)?;
    if values.len() != count * 8 {
        return None;
    }
    codes.iter().zip(values.chunks_exact(8)).map(|(code, value)| decode_value(*code, value)).collect()
}

fn decode_value(code: u8, value: &[u8]) -> Option<MetricValue> {
    let value = <[u8; 8]>::try_from(value).ok()?;
    match code {
        GAUGE => Some(MetricValue::Gauge(f64::from_le_bytes(value))),
        DERIVE => Some(MetricValue::Counter(u64::try_from(i64::from_be_bytes(value)).ok()?)),
        _ => None,
    }
}
