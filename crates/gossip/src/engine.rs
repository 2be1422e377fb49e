//! One member: the membership engine (SWIM), its timers, and the states that members publish.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use foca::{Foca, PostcardCodec};
use honeyknot_balancer::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::broadcast::{SharedMemberStates, StateReceiver};
use crate::config::GossipConfig;
use crate::counters::GossipCounters;
use crate::datagram::{DatagramError, Envelope, OutgoingDatagram};
use crate::engine_runtime::{EngineRuntime, EngineTimers};
use crate::engine_settings::{
    MAX_MEMBERS, SEED_INTERVAL_MICROS, SEED_INTERVAL_WHEN_ALONE_MICROS, engine_config,
};
use crate::member_id::{MemberId, member_number};
use crate::member_state::{MAX_OBSERVATIONS, MemberState};
use crate::member_states::MemberStates;
use crate::observation::HealthObservation;
use crate::view::GossipView;

type Engine = Foca<MemberId, PostcardCodec, Pcg64Mcg, StateReceiver>;

/// One relay's membership in the fleet. Does no I/O: the caller passes in datagrams and the time, and sends
/// the datagrams that it returns.
pub struct GossipMember {
    id: MemberId,
    envelope: Envelope,
    seeds: Vec<SocketAddr>,
    states: SharedMemberStates,
    engine: Engine,
    timers: EngineTimers,
    /// When the member next announces itself to the seeds.
    announce_at: Micros,
    /// Number of states published so far.
    published: u64,
    counters: GossipCounters,
}

impl fmt::Debug for GossipMember {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("GossipMember");
        output.field("id", &self.id).field("seeds", &self.seeds).field("counters", &self.counters);
        output.finish_non_exhaustive()
    }
}

impl GossipMember {
    /// Creates a member of a fleet of about `expected_members` members.
    ///
    /// The incarnation in `id` must increase from one start of the relay to the next; the start time is
    /// suitable.
    pub fn new(
        config: &GossipConfig, id: MemberId, expected_members: usize, seed: u64, now: Micros,
    ) -> GossipMember {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ member_number(id.address));
        let engine_config = engine_config(expected_members).unwrap_or_else(foca::Config::simple);
        let states: SharedMemberStates = Rc::new(RefCell::new(MemberStates::new(id, now)));
        let receiver = StateReceiver(states.clone());
        GossipMember {
            id,
            envelope: Envelope::new(&config.fleet),
            seeds: config.seeds.iter().copied().filter(|address| *address != id.address).collect(),
            states,
            engine: Foca::with_custom_broadcast(id, engine_config, rng, PostcardCodec, receiver),
            timers: EngineTimers::default(),
            announce_at: now,
            published: 0,
            counters: GossipCounters::default(),
        }
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) must be called next.
    pub fn next_timeout(&self) -> Micros {
        self.timers.next_deadline().map_or(self.announce_at, |deadline| deadline.min(self.announce_at))
    }

    /// Handles expired timers. Datagrams to send are appended to `datagrams`.
    pub fn handle_timeout(&mut self, now: Micros, datagrams: &mut Vec<OutgoingDatagram>) {
        self.set_time(now);
        let first_new = datagrams.len();
        while let Some(timer) = self.timers.pop_expired(now) {
            self.call_engine(now, datagrams, |engine, runtime| engine.handle_timer(timer, runtime));
        }
        if now >= self.announce_at {
            self.announce_to_seeds(now, datagrams);
        }
        self.count_sent(&datagrams[first_new..]);
    }

    /// Handles a received datagram. Replies are appended to `datagrams`.
    ///
    /// # Errors
    /// If the datagram is dropped.
    pub fn handle_datagram(
        &mut self, now: Micros, from: SocketAddr, bytes: &[u8], datagrams: &mut Vec<OutgoingDatagram>,
    ) -> Result<(), DatagramError> {
        self.set_time(now);
        let first_new = datagrams.len();
        let result = self.receive(now, from, bytes, datagrams);
        match &result {
            Ok(()) => self.counters.received += 1,
            Err(_) => self.counters.dropped += 1,
        }
        self.count_sent(&datagrams[first_new..]);
        result
    }

    /// Publishes the local member's observations, at most the first [`MAX_OBSERVATIONS`].
    pub fn publish(&mut self, now: Micros, mut observations: Vec<HealthObservation>) {
        self.set_time(now);
        self.published += 1;
        observations.truncate(MAX_OBSERVATIONS);
        let state = MemberState {
            member: self.id.address,
            incarnation: self.id.incarnation,
            sequence: self.published,
            published_at: now,
            observations,
        };
        // The engine rejects only states that are too long, which `MAX_OBSERVATIONS` rules out.
        if let Ok(bytes) = postcard::to_allocvec(&state) {
            let _ = self.engine.add_broadcast(&bytes);
        }
    }

    /// Announces to the fleet that this member leaves, so that the others need not detect its failure.
    pub fn leave(&mut self, now: Micros, datagrams: &mut Vec<OutgoingDatagram>) {
        self.call_engine(now, datagrams, |engine, runtime| engine.leave_cluster(runtime));
    }

    /// Returns the living members and their observations at `now`, with this many probers assigned to each
    /// endpoint.
    pub fn view(&self, now: Micros, probers_per_endpoint: usize) -> GossipView {
        let mut alive: Vec<u64> = self.engine.iter_members().map(|member| member.id().number()).collect();
        alive.push(self.id.number());
        alive.sort_unstable();
        alive.dedup();
        let states = self.states.borrow();
        GossipView::new(now, self.id.number(), alive, probers_per_endpoint, states.current(now))
    }

    /// Returns the counters.
    pub fn counters(&self) -> GossipCounters {
        GossipCounters { rejected_states: self.states.borrow().rejected_states(), ..self.counters }
    }

    fn receive(
        &mut self, now: Micros, from: SocketAddr, bytes: &[u8], datagrams: &mut Vec<OutgoingDatagram>,
    ) -> Result<(), DatagramError> {
        let message = self.envelope.unwrap(bytes, from)?;
        if self.engine.iter_membership_state().len() >= MAX_MEMBERS {
            return Err(DatagramError::Size { length: bytes.len(), from });
        }
        let mut result = Ok(());
        self.call_engine(now, datagrams, |engine, runtime| {
            result = engine.handle_data(message, runtime);
            Ok(())
        });
        match result {
            // Not an error: a late reply, to a probe that has ended or to an earlier incarnation of this
            // member.
            Ok(()) | Err(foca::Error::DataFromOurselves | foca::Error::NotConnected) => Ok(()),
            Err(error) => Err(DatagramError::Undecodable { reason: error.to_string(), from }),
        }
    }

    fn announce_to_seeds(&mut self, now: Micros, datagrams: &mut Vec<OutgoingDatagram>) {
        let alone = self.engine.num_members() == 0;
        self.announce_at = now + if alone { SEED_INTERVAL_WHEN_ALONE_MICROS } else { SEED_INTERVAL_MICROS };
        for address in self.seeds.clone() {
            // The seed's incarnation is unknown; the engine uses only the address.
            let seed = MemberId { address, incarnation: 0 };
            self.call_engine(now, datagrams, |engine, runtime| engine.announce(seed, runtime));
        }
    }

    fn set_time(&mut self, now: Micros) {
        self.states.borrow_mut().set_time(now);
    }

    fn call_engine(
        &mut self, now: Micros, datagrams: &mut Vec<OutgoingDatagram>,
        call: impl FnOnce(&mut Engine, &mut EngineRuntime) -> Result<(), foca::Error>,
    ) {
        let mut runtime = EngineRuntime { now, envelope: self.envelope, timers: &mut self.timers, datagrams };
        // The engine rejects a protocol period that is overdue, such as after a suspension of the process;
        // the next one runs as usual.
        let _ = call(&mut self.engine, &mut runtime);
    }

    fn count_sent(&mut self, datagrams: &[OutgoingDatagram]) {
        self.counters.sent_bytes += datagrams.iter().map(|datagram| datagram.bytes.len() as u64).sum::<u64>();
    }
}
