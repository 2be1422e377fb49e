//! The loopback addresses of an environment.

use std::net::{Ipv4Addr, SocketAddr};

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The first port of all environments.
const FIRST_PORT: u16 = 10_000;
/// Ports that an environment's own first port is drawn from.
const PORT_RANGE: u32 = 20_000;
/// Endpoints that share a port, each with a last byte of its own.
const ENDPOINTS_PER_PORT: usize = 200;
/// Relays that share a port, each with a third byte of its own.
const RELAYS_PER_PORT: usize = 250;
/// Ports between those of two lots of relays.
const PORTS_PER_LOT: u16 = 256;
/// Discovery's port, above the environment's first, and its last byte.
const DISCOVERY_SLOT: usize = 250;
/// The relays' port, above the environment's first, and their last byte.
const RELAY_SLOT: usize = 251;

/// Addresses of one environment; those of environments with different draws hardly ever overlap.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoopbackAddresses {
    /// The second byte, and where the third bytes begin.
    net: [u8; 2],
    port: u16,
}

impl LoopbackAddresses {
    /// Draws the addresses; the process number keeps apart environments that run beside each other with the same seed.
    pub(super) fn generate(rng: &mut Pcg64Mcg) -> LoopbackAddresses {
        let net = [rng.random_range(32..224), rng.random_range(0..250)];
        let port = FIRST_PORT + ((rng.random::<u32>() ^ std::process::id()) % PORT_RANGE) as u16;
        LoopbackAddresses { net, port }
    }

    /// Returns where one relay reaches an endpoint.
    pub(super) fn endpoint(&self, index: usize, relay: usize) -> SocketAddr {
        self.address(index / ENDPOINTS_PER_PORT, relay, index % ENDPOINTS_PER_PORT)
    }

    /// Returns where one relay reaches discovery.
    pub(super) fn discovery(&self, relay: usize) -> SocketAddr {
        self.address(DISCOVERY_SLOT, relay, DISCOVERY_SLOT)
    }

    /// Returns where clients reach a relay.
    pub(super) fn relay(&self, relay: usize) -> SocketAddr {
        self.address(RELAY_SLOT, relay, RELAY_SLOT)
    }

    fn address(&self, port_offset: usize, relay: usize, last: usize) -> SocketAddr {
        let third = (self.net[1] as usize + relay) % RELAYS_PER_PORT;
        let ip = Ipv4Addr::new(127, self.net[0], third as u8, (last + 1) as u8);
        let port = self.port + port_offset as u16 + PORTS_PER_LOT * (relay / RELAYS_PER_PORT) as u16;
        SocketAddr::from((ip, port))
    }
}
