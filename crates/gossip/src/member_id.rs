//! The identity of a member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies one incarnation of a member. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Increases with each start of the relay at this address.
    pub incarnation: u64,
}

impl MemberId {
    /// Returns the member's number, which is a hash of its address and so is the same in all incarnations.
    pub fn number(&self) -> u64 {
        member_number(self.address)
    }
}

/// Returns the number of the member at an address.
pub(crate) fn member_number(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

impl foca::Identity for MemberId {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<MemberId> {
        Some(MemberId { incarnation: self.incarnation.saturating_add(1), ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        self.incarnation > other.incarnation
    }
}
