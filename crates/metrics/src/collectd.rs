//! collectd's formats: the binary network protocol, unsigned, signed or encrypted, and the text protocol.
//!
//! Source: collectd's documentation, "Binary protocol" and "Plain text protocol". A packet is a row of parts, each with
//! a type and its whole length, two bytes each and big-endian. Strings end with a zero byte. Values are big-endian, but
//! for gauges, which are little-endian doubles. Times are in units of 2^-30 s. A signature is an HMAC-SHA-256 of the
//! user's name and all that follows it; encryption is AES-256 in OFB under the SHA-256 of the password, over a SHA-1
//! of the content and the content.

use aes::Aes256;
use hmac::{Hmac, KeyInit, Mac};
use ofb::Ofb;
use ofb::cipher::{KeyIvInit, StreamCipher};
use sha1::Sha1;
use sha2::{Digest, Sha256};

use crate::registry::{MetricValue, MetricsSnapshot, Sample};

/// The largest packet that is sent: what fits a datagram on Ethernet, as collectd's own default.
pub const PACKET: usize = 1452;
/// The longest string of a part, with its zero byte.
const STRING: usize = 128;

const HOST: u16 = 0x0000;
const TIME: u16 = 0x0008;
const PLUGIN: u16 = 0x0002;
const PLUGIN_INSTANCE: u16 = 0x0003;
const TYPE: u16 = 0x0004;
const TYPE_INSTANCE: u16 = 0x0005;
const VALUES: u16 = 0x0006;
const INTERVAL: u16 = 0x0009;
const SIGNATURE: u16 = 0x0200;
const ENCRYPTION: u16 = 0x0210;
/// Value kinds.
const GAUGE: u8 = 1;
const DERIVE: u8 = 2;

/// The plugin that all series stand under.
pub const PLUGIN_NAME: &str = "honeyknot";

/// How packets are protected.
#[derive(Clone, PartialEq, Eq)]
pub enum Security {
    /// They are not.
    None,
    /// Signed with the user's password.
    Sign {
        /// The user's name.
        user: String,
        /// The password.
        password: String,
    },
    /// Encrypted with the user's password.
    Encrypt {
        /// The user's name.
        user: String,
        /// The password.
        password: String,
    },
}

impl std::fmt::Debug for Security {
    /// Passwords stay out of logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Security::None => f.write_str("None"),
            Security::Sign { user, .. } => write!(f, "Sign({user})"),
            Security::Encrypt { user, .. } => write!(f, "Encrypt({user})"),
        }
    }
}

impl Security {
    /// Bytes that protection adds to a packet.
    fn overhead(&self) -> usize {
        match self {
            Security::None => 0,
            Security::Sign { user, .. } => 4 + 32 + user.len(),
            Security::Encrypt { user, .. } => 4 + 2 + user.len() + 16 + 20,
        }
    }
}

fn part(out: &mut Vec<u8>, kind: u16, body: &[u8]) {
    out.extend(kind.to_be_bytes());
    out.extend(((body.len() + 4) as u16).to_be_bytes());
    out.extend(body);
}

/// A string of a part: cut at a character, zero bytes and slashes, which part identifiers, made `_`.
fn string(text: &str) -> Vec<u8> {
    let plain: String = text.chars().map(|c| if c == '\0' || c == '/' { '_' } else { c }).collect();
    let cut = (0..STRING).rev().find(|at| plain.is_char_boundary(*at)).unwrap_or(0);
    let mut bytes = plain.as_bytes()[..cut.min(plain.len())].to_vec();
    bytes.push(0);
    bytes
}

fn high_resolution(us: u64) -> u64 {
    ((u128::from(us) << 30) / 1_000_000) as u64
}

/// The type and type instance of a point: `derive` or `gauge`, which every collectd knows, and the series' own name.
fn identity(point: &Sample) -> (&'static str, String) {
    let kind = match point.value {
        MetricValue::Counter(_) => "derive",
        MetricValue::Gauge(_) => "gauge",
    };
    let mut name = point.name.to_owned();
    for more in [point.part, point.tag.as_ref().map_or("", |(_, value)| value)] {
        if !more.is_empty() {
            name.push('-');
            name.push_str(more);
        }
    }
    (kind, name)
}

/// A reading as packets. `instance` tells one life of a relay from the next where its totals do not last: a total that
/// starts anew is then a series of its own and no fall. `iv` brings 16 random bytes for each encrypted packet.
pub fn packets(
    host: &str, instance: &str, reading: &MetricsSnapshot, interval_us: u64, security: &Security,
    mut iv: impl FnMut() -> [u8; 16],
) -> Vec<Vec<u8>> {
    let mut head = Vec::new();
    part(&mut head, HOST, &string(host));
    part(&mut head, TIME, &high_resolution(reading.at).to_be_bytes());
    part(&mut head, INTERVAL, &high_resolution(interval_us).to_be_bytes());
    part(&mut head, PLUGIN, &string(PLUGIN_NAME));
    part(&mut head, PLUGIN_INSTANCE, &string(instance));
    let room = PACKET - security.overhead();
    let (mut packets, mut packet, mut last) = (Vec::new(), head.clone(), "");
    for point in &reading.points {
        let (kind, name) = identity(point);
        let value: [u8; 8] = match point.value {
            MetricValue::Counter(total) => i64::try_from(total).unwrap_or(i64::MAX).to_be_bytes(),
            MetricValue::Gauge(gauge) => gauge.to_le_bytes(),
        };
        let code = if kind == "derive" { DERIVE } else { GAUGE };
        let mut values = 1u16.to_be_bytes().to_vec();
        values.push(code);
        values.extend(value);
        let mut parts = Vec::new();
        part(&mut parts, TYPE_INSTANCE, &string(&name));
        part(&mut parts, VALUES, &values);
        let mut typed = Vec::new();
        part(&mut typed, TYPE, &string(kind));
        let more = if kind == last { parts.len() } else { parts.len() + typed.len() };
        if packet.len() + more > room {
            packets.push(std::mem::replace(&mut packet, head.clone()));
            last = "";
        }
        if kind != last {
            packet.extend(&typed);
            last = kind;
        }
        packet.extend(parts);
    }
    if packet.len() > head.len() {
        packets.push(packet);
    }
    packets.into_iter().map(|packet| protect(packet, security, &mut iv)).collect()
}

fn mac(user: &str, password: &str, content: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(password.as_bytes()).ok()?;
    mac.update(user.as_bytes());
    mac.update(content);
    Some(mac)
}

fn protect(packet: Vec<u8>, security: &Security, iv: &mut impl FnMut() -> [u8; 16]) -> Vec<u8> {
    match security {
        Security::None => packet,
        Security::Sign { user, password } => {
            let Some(mac) = mac(user, password, &packet) else { return packet };
            let mut body = mac.finalize().into_bytes().to_vec();
            body.extend(user.as_bytes());
            let mut out = Vec::with_capacity(packet.len() + body.len() + 4);
            part(&mut out, SIGNATURE, &body);
            out.extend(packet);
            out
        }
        Security::Encrypt { user, password } => {
            let mut sealed = Sha1::digest(&packet).to_vec();
            sealed.extend(packet);
            let iv = iv();
            crypt(password, &iv, &mut sealed);
            let mut body = (user.len() as u16).to_be_bytes().to_vec();
            body.extend(user.as_bytes());
            body.extend(iv);
            body.extend(sealed);
            let mut out = Vec::with_capacity(body.len() + 4);
            part(&mut out, ENCRYPTION, &body);
            out
        }
    }
}

/// Encrypts or decrypts, which are the same.
fn crypt(password: &str, iv: &[u8; 16], bytes: &mut [u8]) {
    let key: [u8; 32] = Sha256::digest(password.as_bytes()).into();
    Ofb::<Aes256>::new(&key.into(), &(*iv).into()).apply_keystream(bytes);
}

/// Why a packet is turned down.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// A part's length does not fit, or a string has no end.
    #[error("a part of type {0:#06x} is malformed at byte {1}")]
    Malformed(u16, usize),
    /// It is neither signed nor encrypted, though that is asked for.
    #[error("the packet is not protected")]
    Unprotected,
    /// The signature or the checksum is wrong, or the user is unknown.
    #[error("the packet of user {0} is not genuine")]
    NotGenuine(String),
}

/// A value as a receiver reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The host's name.
    pub host: String,
    /// The plugin's instance.
    pub instance: String,
    /// The type.
    pub kind: String,
    /// The type's instance.
    pub name: String,
    /// Unix microseconds, rounded to the nearest.
    pub at: u64,
    /// The value.
    pub value: MetricValue,
}

/// Looks up a user's password.
pub type Passwords<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads a packet as a receiver does that asks for protection by the password of a user, if `passwords` is there.
pub fn read(packet: &[u8], passwords: Option<Passwords>) -> Result<Vec<Received>, PacketError> {
    let (kind, body, rest) = next(packet, 0)?;
    let secret = |user: &[u8]| {
        let user = String::from_utf8_lossy(user).into_owned();
        let password = passwords.and_then(|of| of(&user)).ok_or(PacketError::NotGenuine(user.clone()))?;
        Ok((user, password))
    };
    match (kind, passwords) {
        (SIGNATURE, Some(_)) => {
            let (told, user) = body.split_at_checked(32).ok_or(PacketError::Malformed(kind, 0))?;
            let (user, password) = secret(user)?;
            let genuine = mac(&user, &password, rest).is_some_and(|mac| mac.verify_slice(told).is_ok());
            if !genuine {
                return Err(PacketError::NotGenuine(user));
            }
            parts(rest)
        }
        (SIGNATURE, None) => parts(rest),
        (ENCRYPTION, Some(_)) => {
            let short = PacketError::Malformed(kind, 0);
            let (length, body) = body.split_at_checked(2).ok_or(short.clone())?;
            let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
            let (user, body) = body.split_at_checked(length).ok_or(short.clone())?;
            let (iv, sealed) = body.split_at_checked(16).ok_or(short.clone())?;
            let (user, password) = secret(user)?;
            let mut sealed = sealed.to_vec();
            crypt(&password, &<[u8; 16]>::try_from(iv).map_err(|_| short.clone())?, &mut sealed);
            let (told, content) = sealed.split_at_checked(20).ok_or(short)?;
            if Sha1::digest(content).as_slice() != told {
                return Err(PacketError::NotGenuine(user));
            }
            parts(content)
        }
        (_, Some(_)) => Err(PacketError::Unprotected),
        (_, None) => parts(packet),
    }
}

/// The first part's type and body, and what follows it.
fn next(bytes: &[u8], at: usize) -> Result<(u16, &[u8], &[u8]), PacketError> {
    let [a, b, c, d, ..] = *bytes else { return Err(PacketError::Malformed(0xffff, at)) };
    let (kind, length) = (u16::from_be_bytes([a, b]), usize::from(u16::from_be_bytes([c, d])));
    if length < 4 || length > bytes.len() {
        return Err(PacketError::Malformed(kind, at));
    }
    Ok((kind, &bytes[4..length], &bytes[length..]))
}

fn parts(mut bytes: &[u8]) -> Result<Vec<Received>, PacketError> {
    let whole = bytes.len();
    let mut held = Received {
        host: String::new(),
        instance: String::new(),
        kind: String::new(),
        name: String::new(),
        at: 0,
        value: MetricValue::Counter(0),
    };
    let mut found = Vec::new();
    while !bytes.is_empty() {
        let at = whole - bytes.len();
        let (kind, body, rest) = next(bytes, at)?;
        bytes = rest;
        let bad = PacketError::Malformed(kind, at);
        let text = || {
            let body = body.strip_suffix(&[0]).ok_or(bad.clone())?;
            String::from_utf8(body.to_vec()).map_err(|_| bad.clone())
        };
        match kind {
            HOST => held.host = text()?,
            PLUGIN_INSTANCE => held.instance = text()?,
            TYPE => held.kind = text()?,
            TYPE_INSTANCE => held.name = text()?,
            TIME => {
                let ticks = u64::from_be_bytes(body.try_into().map_err(|_| bad)?);
                held.at = ((u128::from(ticks) * 1_000_000 + (1 << 29)) >> 30) as u64;
            }
            VALUES => {
                let (count, body) = body.split_at_checked(2).ok_or(bad.clone())?;
                let count = usize::from(u16::from_be_bytes([count[0], count[1]]));
                let (codes, values) = body.split_at_checked(count).ok_or(bad.clone())?;
                if values.len() != count * 8 {
                    return Err(bad);
                }
                for (code, value) in codes.iter().zip(values.chunks_exact(8)) {
                    let value = <[u8; 8]>::try_from(value).map_err(|_| bad.clone())?;
                    let value = match *code {
                        GAUGE => MetricValue::Gauge(f64::from_le_bytes(value)),
                        DERIVE => MetricValue::Counter(
                            u64::try_from(i64::from_be_bytes(value)).map_err(|_| bad.clone())?,
                        ),
                        _ => return Err(bad),
                    };
                    found.push(Received { value, ..held.clone() });
                }
            }
            _ => {}
        }
    }
    Ok(found)
}

/// A reading in the text protocol, as a unixsock or exec plugin takes it: one `PUTVAL` a point.
pub fn putvals(host: &str, instance: &str, reading: &MetricsSnapshot, interval_us: u64) -> String {
    let mut text = String::new();
    let word = |text: &str| {
        let plain = |c: char| if c.is_ascii_alphanumeric() || "._-:".contains(c) { c } else { '_' };
        text.chars().map(plain).collect::<String>()
    };
    for point in &reading.points {
        let (kind, name) = identity(point);
        let value = match point.value {
            MetricValue::Counter(total) => total.to_string(),
            MetricValue::Gauge(gauge) if gauge.is_finite() => gauge.to_string(),
            // Undefined, by the protocol.
            MetricValue::Gauge(_) => "U".to_owned(),
        };
        text.push_str(&format!(
            "PUTVAL \"{}/{PLUGIN_NAME}-{}/{kind}-{}\" interval={:.3} {:.3}:{value}\n",
            word(host),
            word(instance),
            word(&name),
            interval_us as f64 / 1e6,
            reading.at as f64 / 1e6
        ));
    }
    text
}
