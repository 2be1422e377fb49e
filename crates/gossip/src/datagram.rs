//! The envelope of a datagram: one byte for the format version and eight for the hash of the fleet's name,
//! followed by the membership engine's message.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of the envelope, in bytes.
pub(crate) const ENVELOPE_BYTES: usize = 9;
/// Version of the datagram format. Datagrams of other versions are dropped.
const VERSION: u8 = 1;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Content of the datagram.
    pub bytes: Vec<u8>,
}

/// Why a received datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The length is out of range, or this member already knows the maximum number of members.
    #[error(
        "datagram of {length} bytes from {from} is shorter than its header or longer than {MAX_DATAGRAM_BYTES} \
         bytes, or the fleet has too many members: check what sends to this port"
    )]
    Size {
        /// Length of the datagram, in bytes.
        length: usize,
        /// Address of the sender.
        from: SocketAddr,
    },
    /// The sender uses another version of the datagram format.
    #[error(
        "datagram from {from} has format version {version}, but this relay uses version {VERSION}: finish the \
         upgrade of all relays"
    )]
    Version {
        /// Format version of the datagram.
        version: u8,
        /// Address of the sender.
        from: SocketAddr,
    },
    /// The sender belongs to another fleet.
    #[error(
        "datagram from {from} belongs to another fleet: check `fleet` and `seed` in the gossip files of both \
         relays"
    )]
    Fleet {
        /// Address of the sender.
        from: SocketAddr,
    },
    /// The membership engine could not decode the message.
    #[error("datagram from {from} cannot be decoded ({reason}): check what else sends to this port")]
    Undecodable {
        /// Error message of the engine.
        reason: String,
        /// Address of the sender.
        from: SocketAddr,
    },
}

/// Adds the envelope to the datagrams of one fleet, and checks it on received ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Envelope {
    fleet_hash: u64,
}

impl Envelope {
    /// Creates the envelope for the fleet with this name.
    pub(crate) fn new(fleet: &str) -> Envelope {
        Envelope { fleet_hash: xxh3_64(fleet.as_bytes()) }
    }

    /// Returns a message with the envelope before it.
    pub(crate) fn wrap(self, message: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(ENVELOPE_BYTES + message.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.fleet_hash.to_le_bytes());
        datagram.extend_from_slice(message);
        datagram
    }

    /// Checks the envelope of a received datagram and returns the message in it.
    ///
    /// # Errors
    /// If the length is out of range, or the version or the fleet differs.
    pub(crate) fn unwrap(self, datagram: &[u8], from: SocketAddr) -> Result<&[u8], DatagramError> {
        if datagram.len() <= ENVELOPE_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Size { length: datagram.len(), from });
        }
        if datagram[0] != VERSION {
            return Err(DatagramError::Version { version: datagram[0], from });
        }
        if datagram[1..ENVELOPE_BYTES] != self.fleet_hash.to_le_bytes() {
            return Err(DatagramError::Fleet { from });
        }
        Ok(&datagram[ENVELOPE_BYTES..])
    }
}
