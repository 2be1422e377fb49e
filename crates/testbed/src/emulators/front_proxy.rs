//! The emulated front proxy: sends clients to the relays of their site in turn, and notices late that one has died.

/// The front proxy, with the relays that it believes alive.
#[derive(Debug)]
pub struct FrontProxy {
    sites: usize,
    believed_alive: Vec<bool>,
    next: usize,
}

impl FrontProxy {
    /// Creates a front proxy for that many relays, evenly over the sites; it believes none alive yet.
    pub fn new(relays: usize, sites: usize) -> FrontProxy {
        FrontProxy { sites, believed_alive: vec![false; relays], next: 0 }
    }

    /// Returns the site of a relay.
    pub fn site_of(&self, relay: usize) -> usize {
        relay % self.sites
    }

    /// Sets whether a relay is believed alive.
    pub fn set_believed_alive(&mut self, relay: usize, alive: bool) {
        self.believed_alive[relay] = alive;
    }

    /// Chooses the relay for a client: those of its own site in turn, of any site where there is none.
    pub fn pick(&mut self, site: usize) -> Option<usize> {
        self.next += 1;
        let near: Vec<usize> = (0..self.believed_alive.len())
            .filter(|r| self.believed_alive[*r] && r % self.sites == site % self.sites)
            .collect();
        let any: Vec<usize> = match near.is_empty() {
            true => (0..self.believed_alive.len()).filter(|r| self.believed_alive[*r]).collect(),
            false => near,
        };
        (!any.is_empty()).then(|| any[self.next % any.len()])
    }
}
