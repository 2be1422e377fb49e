//! Which lists are believed, how soon, and what is kept beside them.
//!
//! - A version that is not older than the one held is believed at once and in whole: what it lacks is gone. The platform's
//!   rule on drains counts from the moment at which it was written to the relay, so no doubt may delay it.
//! - An older version is a service that started anew, or a copy that is behind. What it adds is believed, and so is every
//!   card server that it says leaves. What it lacks stays listed, and a card server that was said to leave stays away unless
//!   it has started since. Shrinking needs better evidence: the whole list again after [`DOUBT`], or a version as
//!   high as the one held before.

use std::collections::BTreeMap;

use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, Micros};

/// How long an older list must last before what it lacks is taken for gone: a service that fills its list from nothing is
/// given this long.
pub const DOUBT: Micros = 12_000_000;
/// Card servers that are held in memory, gone ones included, for each listed one.
const REMEMBERED: usize = 4;

/// A list of card servers, or changes of one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Roll {
    /// Its version.
    pub version: u64,
    /// It names all card servers, not only those that changed.
    pub whole: bool,
    /// The card servers.
    pub entries: Vec<Endpoint>,
}

/// A list that is believed in part.
struct Doubt {
    /// The version held before.
    highest: u64,
    /// From then on the whole list counts, whatever its version.
    until: Micros,
    /// When it is asked for.
    check_at: Micros,
}

/// What is held, as far as believing needs it.
pub struct Belief {
    version: u64,
    held: BTreeMap<EndpointId, (EndpointState, Micros)>,
    doubt: Option<Doubt>,
    /// Another service, which numbers its lists anew, has not answered yet.
    anew: bool,
}

impl Belief {
    pub fn new(held: &Roll) -> Belief {
        let mut belief = Belief { version: held.version, held: BTreeMap::new(), doubt: None, anew: false };
        belief.note(held);
        belief
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn doubts(&self) -> bool {
        self.doubt.is_some()
    }

    /// Nothing has ever been listed: there is nobody to send to.
    pub fn bare(&self) -> bool {
        self.version == 0 && self.held.is_empty()
    }

    /// Without a list, changes would be the whole one all the same; a doubt ends by it.
    pub fn wants_whole(&self, now: Micros) -> bool {
        self.bare() || self.check_at().is_some_and(|at| now >= at)
    }

    pub fn check_at(&self) -> Option<Micros> {
        self.doubt.as_ref().map(|doubt| doubt.check_at)
    }

    pub fn anew(&self) -> bool {
        self.anew
    }

    pub fn renew(&mut self) {
        (self.anew, self.doubt) = (true, None);
    }

    /// Notes a list or changes. Those that are gone are remembered, within bounds, as an older list could bring them back.
    fn note(&mut self, roll: &Roll) {
        if roll.whole {
            self.held.values_mut().for_each(|(state, _)| *state = EndpointState::Removed);
        }
        for entry in &roll.entries {
            self.held.insert(entry.id.clone(), (entry.state, entry.started_at));
        }
        let listed = self.held.values().filter(|(state, _)| *state != EndpointState::Removed).count();
        if self.held.len() > REMEMBERED * (listed + 16) {
            self.held.retain(|_, (state, _)| *state != EndpointState::Removed);
        }
    }

    /// Takes an answer; what of it is believed comes back. `check` is drawn by the caller: a doubt that all relays share ends
    /// at each so much later.
    pub fn hear(&mut self, now: Micros, answer: Roll, check: Micros) -> Roll {
        let highest = self.doubt.as_ref().map_or(self.version, |doubt| doubt.highest);
        let proven = self.doubt.as_ref().is_some_and(|doubt| answer.whole && now >= doubt.until);
        let anew = std::mem::take(&mut self.anew);
        if anew && answer.whole {
            self.held.clear();
        }
        if anew || answer.version >= highest || proven {
            // A doubt that only changes have ended still lacks proof of what the older list did not name.
            let ends = answer.whole || self.doubt.is_none();
            if ends {
                self.doubt = None;
            }
            self.version = answer.version;
            self.note(&answer);
            return answer;
        }
        self.version = answer.version;
        if self.doubt.is_none() {
            let until = now + DOUBT;
            self.doubt = Some(Doubt { highest, until, check_at: until + check });
        } else if let Some(doubt) = &mut self.doubt
            && now >= doubt.check_at
        {
            doubt.check_at = now + DOUBT / 4 + check;
        }
        let entries = answer.entries.into_iter().filter(|entry| self.adds(entry)).collect();
        let believed = Roll { version: answer.version, whole: false, entries };
        self.note(&believed);
        believed
    }

    /// Whether an entry of an older list is believed.
    fn adds(&self, entry: &Endpoint) -> bool {
        match self.held.get(&entry.id) {
            Some((EndpointState::Ready, started)) => {
                entry.state != EndpointState::Ready || entry.started_at >= *started
            }
            Some((_, started)) => entry.state != EndpointState::Ready || entry.started_at > *started,
            None => true,
        }
    }
}
