//! Decodes packets as a receiver does.

use hmac::Mac;
use sha1::Sha1;
use sha2::Digest;

use super::security::{crypt, mac};
use super::{DERIVE, GAUGE, PART_HEADER_BYTES, part_type};
use crate::snapshot::MetricValue;

/// Bytes of a signature.
const SIGNATURE_BYTES: usize = 32;
/// Bytes of an initialization vector.
const INITIALIZATION_VECTOR_BYTES: usize = 16;
/// Bytes of an encrypted packet's checksum.
const CHECKSUM_BYTES: usize = 20;

/// Why a packet is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// A part's length does not fit, or a string has no end.
    #[error("a part of type {0:#06x} is malformed at byte {1}")]
    Malformed(u16, usize),
    /// It is neither signed nor encrypted, though that is required.
    #[error("the packet is not protected")]
    Unprotected,
    /// The signature or the checksum is wrong, or the user is unknown.
    #[error("the packet of user {0} is not genuine")]
    NotGenuine(String),
}

/// A value as a receiver decodes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedValue {
    /// The host's name.
    pub host: String,
    /// The plugin's instance.
    pub plugin_instance: String,
    /// The type.
    pub type_name: String,
    /// The type's instance.
    pub type_instance: String,
    /// Unix microseconds, rounded to the nearest.
    pub timestamp: u64,
    /// The value.
    pub value: MetricValue,
}

/// Looks up a user's password.
pub type PasswordLookup<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Decodes a packet; with `passwords` it has to be signed or encrypted by one of their users.
///
/// # Errors
///
/// If a part is malformed, or the packet is not protected as required.
pub fn decode_packet(
    packet: &[u8], passwords: Option<PasswordLookup>,
) -> Result<Vec<ReceivedValue>, PacketError> {
    let (kind, body, rest) = split_part(packet, 0)?;
    match (kind, passwords) {
        (part_type::SIGNATURE, Some(passwords)) => {
            verify_signature(body, rest, passwords)?;
            parts(rest)
        }
        (part_type::SIGNATURE, None) => parts(rest),
        (part_type::ENCRYPTION, Some(passwords)) => parts(&decrypt(body, passwords)?),
        (_, Some(_)) => Err(PacketError::Unprotected),
        (_, None) => parts(packet),
    }
}

fn verify_signature(body: &[u8], content: &[u8], passwords: PasswordLookup) -> Result<(), PacketError> {
    let malformed = PacketError::Malformed(part_type::SIGNATURE, 0);
    let (signature, user) = body.split_at_checked(SIGNATURE_BYTES).ok_or(malformed)?;
    let (user, password) = credentials(user, passwords)?;
    match mac(&user, &password, content).is_some_and(|mac| mac.verify_slice(signature).is_ok()) {
        true => Ok(()),
        false => Err(PacketError::NotGenuine(user)),
    }
}

fn decrypt(body: &[u8], passwords: PasswordLookup) -> Result<Vec<u8>, PacketError> {
    let malformed = || PacketError::Malformed(part_type::ENCRYPTION, 0);
    let (length, body) = body.split_at_checked(2).ok_or_else(malformed)?;
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    let (user, body) = body.split_at_checked(length).ok_or_else(malformed)?;
    let (vector, sealed) = body.split_at_checked(INITIALIZATION_VECTOR_BYTES).ok_or_else(malformed)?;
    let (user, password) = credentials(user, passwords)?;
    let mut sealed = sealed.to_vec();
    crypt(&password, &vector.try_into().map_err(|_| malformed())?, &mut sealed);
    let (checksum, content) = sealed.split_at_checked(CHECKSUM_BYTES).ok_or_else(malformed)?;
    if Sha1::digest(content).as_slice() != checksum {
        return Err(PacketError::NotGenuine(user));
    }
    Ok(content.to_vec())
}

/// Returns a user's name and password.
fn credentials(user: &[u8], passwords: PasswordLookup) -> Result<(String, String), PacketError> {
    let user = String::from_utf8_lossy(user).into_owned();
    let password = passwords(&user).ok_or_else(|| PacketError::NotGenuine(user.clone()))?;
    Ok((user, password))
}

/// Splits off the first part: its type, its body and what follows it.
fn split_part(bytes: &[u8], at: usize) -> Result<(u16, &[u8], &[u8]), PacketError> {
    let [a, b, c, d, ..] = *bytes else { return Err(PacketError::Malformed(0xffff, at)) };
    let (kind, length) = (u16::from_be_bytes([a, b]), usize::from(u16::from_be_bytes([c, d])));
    if length < PART_HEADER_BYTES || length > bytes.len() {
        return Err(PacketError::Malformed(kind, at));
    }
    Ok((kind, &bytes[PART_HEADER_BYTES..length], &bytes[length..]))
}

/// Decodes the parts of a packet's content.
fn parts(mut bytes: &[u8]) -> Result<Vec<ReceivedValue>, PacketError> {
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
            part_type::HOST => current.host = string(body).ok_or(malformed)?,
            part_type::PLUGIN_INSTANCE => current.plugin_instance = string(body).ok_or(malformed)?,
            part_type::TYPE => current.type_name = string(body).ok_or(malformed)?,
            part_type::TYPE_INSTANCE => current.type_instance = string(body).ok_or(malformed)?,
            part_type::TIME => current.timestamp = time(body).ok_or(malformed)?,
            part_type::VALUES => {
                let values = values(body).ok_or(malformed)?;
                received.extend(values.into_iter().map(|value| ReceivedValue { value, ..current.clone() }));
            }
            _ => {}
        }
    }
    Ok(received)
}

fn string(body: &[u8]) -> Option<String> {
    String::from_utf8(body.strip_suffix(&[0])?.to_vec()).ok()
}

/// Returns a time in microseconds, rounded to the nearest.
fn time(body: &[u8]) -> Option<u64> {
    let ticks = u64::from_be_bytes(body.try_into().ok()?);
    Some(((u128::from(ticks) * 1_000_000 + (1 << 29)) >> 30) as u64)
}

fn values(body: &[u8]) -> Option<Vec<MetricValue>> {
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
