//! The emulated front proxy: sends clients to the relays of their zone in turn, and notices late that one has died.

/// The front proxy, with the relays that it believes alive.
#[derive(Debug)]
pub struct FrontProxy {
    zones: usize,
    believed_alive: Vec<bool>,
    next: usize,
}

impl FrontProxy {
    /// Creates a front proxy for that many relays, evenly over the zones; it believes none alive yet.
    pub fn new(relays: usize, zones: usize) -> FrontProxy {
        FrontProxy { zones, believed_alive: vec![false; relays], next: 0 }
    }

    /// Returns the zone of a relay.
    pub fn zone_of(&self, relay: usize) -> usize {
        relay % self.zones
    }

    /// Sets whether a relay is believed alive.
    pub fn set_believed_alive(&mut self, relay: usize, alive: bool) {
        self.believed_alive[relay] = alive;
    }

    /// Chooses the relay for a client: those of its own zone in turn, of any zone where there is none.
    pub fn select_relay(&mut self, zone: usize) -> Option<usize> {
        self.next += 1;
        let near: Vec<usize> = (0..self.believed_alive.len())
            .filter(|r| self.believed_alive[*r] && r % self.zones == zone % self.zones)
            .collect();
        let any: Vec<usize> = match near.is_empty() {
            true => (0..self.believed_alive.len()).filter(|r| self.believed_alive[*r]).collect(),
            false => near,
        };
        (!any.is_empty()).then(|| any[self.next % any.len()])
    }
}
