//! The front layer: deals clients out among the relays of their site, and notices late that one has died.

/// What the front layer believes.
pub struct Front {
    sites: usize,
    believed: Vec<bool>,
    next: usize,
}

impl Front {
    /// A front before so many relays, dealt out evenly over the sites; it knows of none yet.
    pub fn new(relays: usize, sites: usize) -> Front {
        Front { sites, believed: vec![false; relays], next: 0 }
    }

    /// The site of a relay.
    pub fn site_of(&self, relay: usize) -> usize {
        relay % self.sites
    }

    /// Takes a relay in, or out.
    pub fn believe(&mut self, relay: usize, alive: bool) {
        self.believed[relay] = alive;
    }

    /// The relay that a client of a site is sent to: of its own site in turn, of any where there is none.
    pub fn pick(&mut self, site: usize) -> Option<usize> {
        self.next += 1;
        let near: Vec<usize> = (0..self.believed.len())
            .filter(|r| self.believed[*r] && r % self.sites == site % self.sites)
            .collect();
        let any: Vec<usize> = match near.is_empty() {
            true => (0..self.believed.len()).filter(|r| self.believed[*r]).collect(),
            false => near,
        };
        (!any.is_empty()).then(|| any[self.next % any.len()])
    }
}
