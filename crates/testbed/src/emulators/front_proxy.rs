//! The front proxy: deals clients out among the relays of their site, and notices late that one has died.

/// What the front proxy believes.
pub struct FrontProxy {
    sites: usize,
    believed_alive: Vec<bool>,
    next: usize,
}

impl FrontProxy {
    /// A front before so many relays, dealt out evenly over the sites; it knows of none yet.
    pub fn new(relays: usize, sites: usize) -> FrontProxy {
        FrontProxy { sites, believed_alive: vec![false; relays], next: 0 }
    }

    /// The site of a relay.
    pub fn site_of(&self, relay: usize) -> usize {
        relay % self.sites
    }

    /// Takes a relay in, or out.
    pub fn set_believed_alive(&mut self, relay: usize, alive: bool) {
        self.believed_alive[relay] = alive;
    }

    /// The relay that a client of a site is sent to: of its own site in turn, of any where there is none.
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
