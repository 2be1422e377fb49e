//! The emulated front proxy: distributes clients round-robin over the relays of their zone, and detects the
//! death of a relay with a delay.

/// The front proxy, with its view of which relays are alive.
#[derive(Debug)]
pub struct FrontProxy {
    zones: usize,
    believed_alive: Vec<bool>,
    next: usize,
}

impl FrontProxy {
    /// Creates a front proxy for `relays` relays, distributed evenly over the zones; none is believed alive
    /// yet.
    pub fn new(relays: usize, zones: usize) -> FrontProxy {
        FrontProxy { zones, believed_alive: vec![false; relays], next: 0 }
    }

    /// Returns the index of a relay's zone.
    pub fn zone_of(&self, relay: usize) -> usize {
        relay % self.zones
    }

    /// Sets whether the front proxy believes a relay to be alive.
    pub fn set_believed_alive(&mut self, relay: usize, alive: bool) {
        self.believed_alive[relay] = alive;
    }

    /// Selects the relay for a client: round-robin over the relays of the client's zone that are believed
    /// alive, or of all zones if its zone has none. Returns `None` if no relay is believed alive.
    pub fn select_relay(&mut self, zone: usize) -> Option<usize> {
        self.next += 1;
        let same_zone: Vec<usize> = (0..self.believed_alive.len())
            .filter(|relay| self.believed_alive[*relay] && relay % self.zones == zone % self.zones)
            .collect();
        let candidates: Vec<usize> = match same_zone.is_empty() {
            true => (0..self.believed_alive.len()).filter(|relay| self.believed_alive[*relay]).collect(),
            false => same_zone,
        };
        (!candidates.is_empty()).then(|| candidates[self.next % candidates.len()])
    }
}
