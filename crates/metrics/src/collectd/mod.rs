//! collectd's formats: the binary network protocol, unsigned, signed or encrypted, and the text protocol.
//!
//! Source: collectd's documentation, "Binary protocol" and "Plain text protocol". A packet is a sequence of parts, each with
//! its type and its whole length, two bytes each and big-endian. Strings end with a zero byte. Values are big-endian, except
//! gauges, which are little-endian doubles. Times are in units of 2^-30 s.

mod decode;
mod encode;
mod security;

pub use decode::{PacketError, PasswordLookup, ReceivedValue, decode_packet};
pub use encode::{encode_packets, encode_putvals};
pub use security::Security;

/// The largest packet in bytes, which fits a datagram on Ethernet; collectd's own default.
pub const MAX_PACKET_BYTES: usize = 1452;
/// The plugin of all series.
pub const PLUGIN_NAME: &str = "honeyknot";

/// Types of parts.
mod part_type {
    pub(super) const HOST: u16 = 0x0000;
    pub(super) const PLUGIN: u16 = 0x0002;
    pub(super) const PLUGIN_INSTANCE: u16 = 0x0003;
    pub(super) const TYPE: u16 = 0x0004;
    pub(super) const TYPE_INSTANCE: u16 = 0x0005;
    pub(super) const VALUES: u16 = 0x0006;
    pub(super) const TIME: u16 = 0x0008;
    pub(super) const INTERVAL: u16 = 0x0009;
    pub(super) const SIGNATURE: u16 = 0x0200;
    pub(super) const ENCRYPTION: u16 = 0x0210;
}

/// The value code of gauges.
const GAUGE: u8 = 1;
/// The value code of counters.
const DERIVE: u8 = 2;
/// Bytes of a part's type and length.
const PART_HEADER_BYTES: usize = 4;
