//! What relays say of themselves, and which of it counts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use honeyknot_balancer::Micros;
use serde::{Deserialize, Serialize};

use crate::{MOST_RELAYS, Peer};

/// Findings in one word at the most: a word shares its datagram with others.
pub const MOST_FINDINGS: usize = 40;
/// A word says nothing once it is this old.
pub const WORD_ENDS: Micros = 3_000_000;
/// How far another relay's clock may be ahead. All machines read one clock; one that is far off must not make its words last.
const AHEAD: Micros = 500_000;

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    /// With a report.
    Well,
    /// With an error: it answers.
    Ill,
    /// With nothing, or no connection.
    Silent,
}

/// What a witness has found of a card server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// The card server's number, see [`card_number`](crate::card_number).
    pub card: u32,
    /// How the probe ended.
    pub found: Found,
    /// Load over capacity in hundredths, as reported; no report is none.
    pub load: Option<u8>,
    /// What a message takes there in milliseconds, as reported; no report is none.
    pub delay_ms: Option<u16>,
    /// How old this was when it was said, in milliseconds.
    pub age_ms: u16,
}

/// What one relay says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Word {
    pub from: SocketAddr,
    pub life: u64,
    pub number: u64,
    pub said_at: Micros,
    pub findings: Vec<Finding>,
}

/// Which word it is: the newer one of a relay replaces the older.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    from: SocketAddr,
    age: (u64, u64),
}

impl foca::Invalidates for Key {
    fn invalidates(&self, other: &Key) -> bool {
        self.from == other.from && self.age >= other.age
    }
}

/// A word that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("a word cannot be read ({0}): finish the upgrade of all relays")]
pub struct Unreadable(#[from] postcard::Error);

/// The newest word of each relay.
pub(crate) struct Words {
    me: Peer,
    now: Micros,
    held: BTreeMap<SocketAddr, Word>,
    stale: u64,
}

impl Words {
    pub fn new(me: Peer, now: Micros) -> Words {
        Words { me, now, held: BTreeMap::new(), stale: 0 }
    }

    /// Time passes. Words that have ended stay until their room is needed: an older one must not come back.
    pub fn at(&mut self, now: Micros) {
        self.now = now;
    }

    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// The words that still say something, and how old each is.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = (Micros, &Word)> {
        let aged = self.held.values().map(move |word| (now.saturating_sub(word.said_at), word));
        aged.filter(|(age, _)| *age < WORD_ENDS)
    }

    fn counts(&self, word: &Word) -> bool {
        let newer =
            self.held.get(&word.from).is_none_or(|held| (held.life, held.number) < (word.life, word.number));
        let timely = word.said_at <= self.now + AHEAD && word.said_at + WORD_ENDS > self.now;
        newer && timely && word.findings.len() <= MOST_FINDINGS
    }
}

/// The words as the engine and the neighbourhood share them.
pub(crate) type Shared = Rc<RefCell<Words>>;

/// The engine's way to them.
pub(crate) struct Heard(pub Shared);

impl foca::BroadcastHandler<Peer> for Heard {
    type Key = Key;
    type Error = Unreadable;

    fn receive_item(&mut self, data: &[u8], sender: Option<&Peer>) -> Result<Option<Key>, Unreadable> {
        self.0.borrow_mut().take(data, sender)
    }
}

impl Words {
    fn take(&mut self, data: &[u8], sender: Option<&Peer>) -> Result<Option<Key>, Unreadable> {
        let word: Word = postcard::from_bytes(data)?;
        // What others say in this relay's name is an echo, or a lie.
        let echo = sender.is_some() && word.from == self.me.at;
        if echo || !self.counts(&word) {
            self.stale += u64::from(!echo);
            return Ok(None);
        }
        if self.held.len() >= MOST_RELAYS {
            let now = self.now;
            self.held.retain(|_, word| word.said_at + WORD_ENDS > now);
        }
        let key = Key { from: word.from, age: (word.life, word.number) };
        if self.held.len() < MOST_RELAYS {
            self.held.insert(word.from, word);
        }
        Ok(Some(key))
    }
}
