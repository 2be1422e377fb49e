#![forbid(unsafe_code)]
//! The neighbourhood: which relays of the fleet live, and what they say of the card servers.
//!
//! Membership is SWIM's ([`foca`]), which does no I/O of its own; what relays say rides on its messages. Datagrams and
//! the time go into [`Neighbors`]; datagrams to send and a [`View`] come out. Every draw comes from the seed. Here nothing is
//! decided: a view says who lives and what the witnesses of a card server have found, each with its age, and what is stale or from
//! somebody who is no witness is left out. A relay that hears nobody has a view of itself alone, which is an ordinary state.
//!
//! What it costs, with R relays that each have something to say: one relay sends `MEMBERS` datagrams of at most [`DATAGRAM`] bytes
//! each `GOSSIP`, whatever R, and one probe a second; all together R times that; memory is one word a living relay, bounded by
//! [`MOST_RELAYS`]. At a card server or the list service it costs nothing.

mod plan;
mod view;
mod word;

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{Foca, PeriodicParams, PostcardCodec, Timer};
use honeyknot_balancer::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

pub use plan::{NotTrusted, Plan};
pub use view::{Joined, Said, View, card_number, witnesses};
pub use word::{Finding, Found, MOST_FINDINGS, WORD_ENDS};
use word::{Heard, Shared, Word, Words};

/// The longest datagram.
pub const DATAGRAM: usize = 1_200;
/// Relays that are kept in mind at the most.
pub const MOST_RELAYS: usize = 2_000;
/// Version and fleet stand before what the engine says.
const ENVELOPE: usize = 9;
/// Grows with each change that older versions cannot read; they drop each other's datagrams.
const VERSION: u8 = 1;
/// Words travel on datagrams that go out this often ...
const GOSSIP: Duration = Duration::from_millis(150);
/// ... to so many relays.
const MEMBERS: usize = 4;
/// A relay is asked whether it lives once in this time, by each.
const PROBE: Duration = Duration::from_millis(800);
/// How long its answer may take.
const ANSWER: Duration = Duration::from_millis(300);
/// A suspect that does not speak up for this long is dead.
const SUSPECT: Duration = Duration::from_millis(1_600);
/// The dead are remembered for this long, so that old news does not bring them back.
const REMEMBER: Duration = Duration::from_secs(30);
/// Lonely relays call at their seeds this often.
const CALL: Micros = 1_000_000;
/// ... and all do this often, so that a fleet that was cut in two finds itself again.
const CALL_AGAIN: Micros = 5_000_000;

/// A relay, in one of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Where it listens for the others.
    pub at: SocketAddr,
    /// Grows with each start.
    pub life: u64,
}

impl Peer {
    /// What its share of the work hangs on: the same in all its lives.
    pub fn number(&self) -> u64 {
        number_of(self.at)
    }
}

fn number_of(at: SocketAddr) -> u64 {
    xxh3_64(at.to_string().as_bytes())
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Peer> {
        Some(Peer { life: self.life.saturating_add(1), ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.at
    }

    fn win_addr_conflict(&self, other: &Peer) -> bool {
        self.life > other.life
    }
}

/// Why a datagram or a word was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Dropped {
    /// Shorter than any, or longer than allowed.
    #[error("a datagram of {0} bytes from {1}: check what else sends to this port")]
    Size(usize, SocketAddr),
    /// Another version of the program.
    #[error("{1} speaks version {0} of the neighbours' language, this relay {VERSION}: finish the upgrade")]
    Version(u8, SocketAddr),
    /// Another fleet.
    #[error("{0} is of another fleet: check `fleet` and the seeds in both files")]
    Fleet(SocketAddr),
    /// The engine could not read it.
    #[error("{1} sent what cannot be read ({0}): check what else sends to this port")]
    Senseless(String, SocketAddr),
}

/// What is counted of the neighbourhood.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams taken.
    pub heard: u64,
    /// Datagrams dropped.
    pub dropped: u64,
    /// Words that were not newer than what was held, were too old, or said more than a word may.
    pub stale: u64,
    /// Bytes sent.
    pub sent: u64,
}

/// One relay's neighbourhood.
pub struct Neighbors {
    me: Peer,
    fleet: u64,
    seeds: Vec<SocketAddr>,
    /// What relays say; the engine hands it on to this.
    words: Shared,
    foca: Foca<Peer, PostcardCodec, Pcg64Mcg, Heard>,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerOf)>>,
    order: u64,
    /// When the seeds are called at next.
    call_at: Micros,
    said: u64,
    counts: Counts,
}

/// A timer of the engine; its order among equals is that of its coming.
struct TimerOf(Timer<Peer>);

impl PartialEq for TimerOf {
    fn eq(&self, _: &TimerOf) -> bool {
        true
    }
}
impl Eq for TimerOf {}
impl PartialOrd for TimerOf {
    fn partial_cmp(&self, other: &TimerOf) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for TimerOf {
    fn cmp(&self, _: &TimerOf) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// What the engine wants, gathered.
struct Wants<'a> {
    now: Micros,
    fleet: u64,
    order: &'a mut u64,
    timers: &'a mut BinaryHeap<Reverse<(Micros, u64, TimerOf)>>,
    out: &'a mut Vec<(SocketAddr, Vec<u8>)>,
}

impl foca::Runtime<Peer> for Wants<'_> {
    fn notify(&mut self, _: foca::Notification<'_, Peer>) {}

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        let mut bytes = Vec::with_capacity(ENVELOPE + data.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.fleet.to_le_bytes());
        bytes.extend_from_slice(data);
        self.out.push((to.at, bytes));
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        *self.order += 1;
        self.timers.push(Reverse((self.now + after.as_micros() as Micros, *self.order, TimerOf(event))));
    }
}

/// How the engine is set up.
fn engine(relays: usize) -> Option<foca::Config> {
    // Twice what the engine would take: news of a death that passes one relay by is found out by it alone only a round later.
    let transmissions = (8.0 * (relays.max(2) as f64 + 1.0).log10()).ceil() as u8;
    Some(foca::Config {
        probe_period: PROBE,
        probe_rtt: ANSWER,
        num_indirect_probes: NonZeroUsize::new(3)?,
        max_transmissions: NonZeroU8::new(transmissions.max(4))?,
        suspect_to_down_after: SUSPECT,
        remove_down_after: Some(REMEMBER),
        max_packet_size: NonZeroUsize::new(DATAGRAM - ENVELOPE)?,
        // One that was taken for dead while it stood still hears of it and comes back as a new life.
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(3),
            num_members: NonZeroUsize::new(1)?,
        }),
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP, num_members: NonZeroUsize::new(MEMBERS)? }),
    })
}

impl Neighbors {
    /// The neighbourhood of a relay that starts now. `life` grows from one start to the next, such as the time of the start.
    pub fn new(plan: &Plan, me: Peer, relays: usize, seed: u64, now: Micros) -> Neighbors {
        let seed = seed ^ number_of(me.at);
        let rng = Pcg64Mcg::seed_from_u64(seed);
        // The figures are sound, whatever the number.
        let config = engine(relays).unwrap_or_else(foca::Config::simple);
        let seeds = plan.seeds.iter().copied().filter(|at| *at != me.at).collect();
        let words: Shared = Rc::new(RefCell::new(Words::new(me, now)));
        Neighbors {
            me,
            fleet: xxh3_64(plan.fleet.as_bytes()),
            seeds,
            foca: Foca::with_custom_broadcast(me, config, rng, PostcardCodec, Heard(words.clone())),
            words,
            timers: BinaryHeap::new(),
            order: 0,
            call_at: now,
            said: 0,
            counts: Counts::default(),
        }
    }

    /// When [`due`](Self::due) has something to do next.
    pub fn due_at(&self) -> Micros {
        self.timers.peek().map_or(self.call_at, |Reverse((at, ..))| (*at).min(self.call_at))
    }

    /// Lets time pass. Datagrams to send are appended.
    pub fn due(&mut self, now: Micros, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        self.at(now);
        let from = out.len();
        while self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, TimerOf(timer)))) = self.timers.pop() else { break };
            self.engine(now, out, |foca, wants| foca.handle_timer(timer, wants));
        }
        if now >= self.call_at {
            let alone = self.foca.num_members() == 0;
            self.call_at = now + if alone { CALL } else { CALL_AGAIN };
            for at in self.seeds.clone() {
                // Its life is not known; the engine asks by address.
                self.engine(now, out, |foca, wants| foca.announce(Peer { at, life: 0 }, wants));
            }
        }
        self.count_sent(out, from);
    }

    /// A datagram came.
    pub fn heard(
        &mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Vec<(SocketAddr, Vec<u8>)>,
    ) -> Result<(), Dropped> {
        self.at(now);
        let sent = out.len();
        let done = self.take(now, from, bytes, out);
        match &done {
            Ok(()) => self.counts.heard += 1,
            Err(_) => self.counts.dropped += 1,
        }
        self.count_sent(out, sent);
        done
    }

    fn take(
        &mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Vec<(SocketAddr, Vec<u8>)>,
    ) -> Result<(), Dropped> {
        if bytes.len() <= ENVELOPE || bytes.len() > DATAGRAM {
            return Err(Dropped::Size(bytes.len(), from));
        }
        if bytes[0] != VERSION {
            return Err(Dropped::Version(bytes[0], from));
        }
        if bytes[1..ENVELOPE] != self.fleet.to_le_bytes() {
            return Err(Dropped::Fleet(from));
        }
        if self.foca.iter_membership_state().len() >= MOST_RELAYS {
            return Err(Dropped::Size(bytes.len(), from));
        }
        let mut done = Ok(());
        self.engine(now, out, |foca, wants| {
            done = foca.handle_data(&bytes[ENVELOPE..], wants);
            Ok(())
        });
        match done {
            // It answers to a life of this relay that is over, or to a round that is: nothing is wrong.
            Ok(()) | Err(foca::Error::DataFromOurselves | foca::Error::NotConnected) => Ok(()),
            Err(why) => Err(Dropped::Senseless(why.to_string(), from)),
        }
    }

    /// This relay has found something out, or wants to say again what holds. At most [`MOST_FINDINGS`] are said, the first ones.
    pub fn say(&mut self, now: Micros, findings: Vec<Finding>) {
        self.at(now);
        self.said += 1;
        let mut word =
            Word { from: self.me.at, life: self.me.life, number: self.said, said_at: now, findings };
        word.findings.truncate(MOST_FINDINGS);
        // Refused only where the word is too long, which the bound rules out.
        if let Ok(bytes) = postcard::to_allocvec(&word) {
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Says good-bye, so that nobody has to find out.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        self.engine(now, out, |foca, wants| foca.leave_cluster(wants));
    }

    /// Who lives and what is known, as of now.
    pub fn view(&self, now: Micros, wanted: usize) -> View {
        let mut alive: Vec<u64> = self.foca.iter_members().map(|member| member.id().number()).collect();
        alive.push(self.me.number());
        alive.sort_unstable();
        alive.dedup();
        View::join(now, self.me.number(), alive, wanted, self.words.borrow().held(now))
    }

    /// What is counted.
    pub fn counts(&self) -> Counts {
        Counts { stale: self.words.borrow().stale(), ..self.counts }
    }

    fn at(&mut self, now: Micros) {
        self.words.borrow_mut().at(now);
    }

    fn engine(
        &mut self, now: Micros, out: &mut Vec<(SocketAddr, Vec<u8>)>,
        tell: impl FnOnce(&mut Foca<Peer, PostcardCodec, Pcg64Mcg, Heard>, &mut Wants) -> Result<(), foca::Error>,
    ) {
        let (fleet, order, timers) = (self.fleet, &mut self.order, &mut self.timers);
        let mut wants = Wants { now, fleet, order, timers, out };
        // What the engine refuses here is a round that a stop of this process has made late; the next one comes.
        let _ = tell(&mut self.foca, &mut wants);
    }

    fn count_sent(&mut self, out: &[(SocketAddr, Vec<u8>)], from: usize) {
        self.counts.sent += out[from..].iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
    }
}
