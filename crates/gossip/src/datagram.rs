//! The envelope of a datagram: one byte of version and eight of the fleet's hash, before the engine's message.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of the envelope, in bytes.
pub(crate) const ENVELOPE_BYTES: usize = 9;
/// Version of the format. Members drop datagrams of other versions.
const VERSION: u8 = 1;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The datagram's content.
    pub bytes: Vec<u8>,
}

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is too short or too long, or the member knows as many members as it may.
    #[error("a datagram of {length} bytes from {from}: check what else sends to this port")]
    Size {
        /// Length in bytes.
        length: usize,
        /// The sender.
        from: SocketAddr,
    },
    /// The sender uses another version of the format.
    #[error(
        "{from} speaks version {version} of the neighbours' language, this relay {VERSION}: finish the upgrade"
    )]
    Version {
        /// The sender's version.
        version: u8,
        /// The sender.
        from: SocketAddr,
    },
    /// The sender belongs to another fleet.
    #[error("{from} is of another fleet: check `fleet` and the seeds in both files")]
    Fleet {
        /// The sender.
        from: SocketAddr,
    },
    /// The engine could not decode the message.
    #[error("{from} sent what cannot be read ({reason}): check what else sends to this port")]
    Undecodable {
        /// The engine's error.
        reason: String,
        /// The sender.
        from: SocketAddr,
    },
}

/// Adds and checks the envelope of one fleet's datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Envelope {
    fleet_hash: u64,
}

impl Envelope {
    /// Creates the envelope of the fleet of this name.
    pub(crate) fn new(fleet: &str) -> Envelope {
        Envelope { fleet_hash: xxh3_64(fleet.as_bytes()) }
    }

    /// Returns the datagram that carries a message.
    pub(crate) fn wrap(self, message: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(ENVELOPE_BYTES + message.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.fleet_hash.to_le_bytes());
        datagram.extend_from_slice(message);
        datagram
    }

    /// Returns the message in a datagram.
    ///
    /// # Errors
    /// If the length is out of range, or the version or the fleet is another.
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
