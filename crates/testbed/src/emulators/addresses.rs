//! The loopback addresses of an environment.

use std::net::{Ipv4Addr, SocketAddr};

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Lowest port used by any environment.
const FIRST_PORT: u16 = 10_000;
/// Number of ports from which an environment's first port is drawn.
const PORT_RANGE: u32 = 20_000;
/// Number of endpoints that share a port; they differ in the last byte of the address.
const ENDPOINTS_PER_PORT: usize = 200;
/// Number of relays that share a port; they differ in the third byte of the address.
const RELAYS_PER_PORT: usize = 250;
/// Distance between the ports of two such sets of relays.
const PORTS_PER_RELAY_SET: u16 = 256;
/// Offset of the discovery port from the environment's first port, and last address byte of discovery.
const DISCOVERY_SLOT: usize = 250;
/// Offset of the relay port from the environment's first port, and last address byte of relays.
const RELAY_SLOT: usize = 251;

/// The addresses of one environment. They are drawn at random, so that those of two environments rarely
/// overlap.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoopbackAddresses {
    /// The second address byte, and the third address byte of the first relay.
    net: [u8; 2],
    /// First port of the environment.
    port: u16,
}

impl LoopbackAddresses {
    /// Draws the addresses. The process id is included so that processes with the same seed can run in
    /// parallel.
    pub(super) fn generate(rng: &mut Pcg64Mcg) -> LoopbackAddresses {
        let net = [rng.random_range(32..224), rng.random_range(0..250)];
        let port = FIRST_PORT + ((rng.random::<u32>() ^ std::process::id()) % PORT_RANGE) as u16;
        LoopbackAddresses { net, port }
    }

    /// Returns the address at which a relay reaches an endpoint.
    pub(super) fn endpoint(&self, index: usize, relay: usize) -> SocketAddr {
        self.address(index / ENDPOINTS_PER_PORT, relay, index % ENDPOINTS_PER_PORT)
    }

    /// Returns the address at which a relay reaches discovery.
    pub(super) fn discovery(&self, relay: usize) -> SocketAddr {
        self.address(DISCOVERY_SLOT, relay, DISCOVERY_SLOT)
    }

    /// Returns the address at which clients reach a relay.
    pub(super) fn relay(&self, relay: usize) -> SocketAddr {
        self.address(RELAY_SLOT, relay, RELAY_SLOT)
    }

    fn address(&self, port_offset: usize, relay: usize, slot: usize) -> SocketAddr {
        let third = (self.net[1] as usize + relay) % RELAYS_PER_PORT;
        let ip = Ipv4Addr::new(127, self.net[0], third as u8, (slot + 1) as u8);
        let port = self.port + port_offset as u16 + PORTS_PER_RELAY_SET * (relay / RELAYS_PER_PORT) as u16;
        SocketAddr::from((ip, port))
    }
}
