//! collectd's formats: the binary network protocol (unsigned, signed or encrypted) and the plain text
//! protocol.
//!
//! Source: collectd's documentation, "Binary protocol" and "Plain text protocol". A packet is a sequence of
//! parts. Each part begins with its type and its total length, both two bytes and big-endian. Strings end
//! with a zero byte. Values are big-endian, except gauges, which are little-endian doubles. Times are in
//! units of 2^-30 s.

mod decode;
mod encode;
mod security;

pub use decode::{PacketError, PasswordLookup, ReceivedValue, decode_packet};
pub use encode::{encode_packets, encode_putvals};
pub use security::Security;

/// Maximum size of a packet, in bytes: collectd's default, with which a packet fits in one Ethernet frame.
pub const MAX_PACKET_BYTES: usize = 1452;
/// Plugin name of all series.
pub const PLUGIN_NAME: &str = "honeyknot";

/// Type codes of parts.
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

/// Value code of gauges.
const GAUGE: u8 = 1;
/// Value code of counters.
const DERIVE: u8 = 2;
/// Size of a part's type and length, in bytes.
const PART_HEADER_BYTES: usize = 4;
