//! The neighbourhood on sockets: a thread of its own beside the relay's loop.
//!
//! The thread reads and writes datagrams and publishes a [`GossipView`]; the loop takes it with one read-copy-update load and never waits
//! for the thread, which may stand still for as long as it likes: views age, and an old one says nothing. What the loop
//! has found goes to the thread by a queue with a bound; what finds no room is dropped and counted. Nothing is decided here.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::time::Duration;

use arc_swap::ArcSwap;
use honeyknot_gossip::{
    DatagramError, GossipConfig, GossipMember, GossipView, HealthObservation, MAX_DATAGRAM_BYTES, MemberId,
    NetworkNotTrusted, endpoint_number,
};
use honeyknot_health_check_budget::{HealthCheckBudget, HealthCheckDecision};
use tracing::{info, warn};

use crate::relay::clock::Clock;
use honeyknot_balancer::*;

/// Sets of findings that may wait for the thread.
const QUEUE: usize = 16;
/// A view is published this often.
const PUBLISH: Micros = 100_000;
/// The thread waits for datagrams no longer than this at a time.
const NAP_MOST: Micros = 50_000;
/// A dropped datagram is told of in the log once in this time.
const TELL: Micros = 10_000_000;

/// Why the neighbourhood cannot be entered.
#[derive(Debug, thiserror::Error)]
pub enum Unreachable {
    /// The file allows loopback only.
    #[error(transparent)]
    NotTrusted(#[from] NetworkNotTrusted),
    /// The socket cannot be had.
    #[error(
        "neighbours cannot be heard at {0} ({1}): free the port, or write another `port` into the file of all relays"
    )]
    Socket(SocketAddr, std::io::Error),
    /// The thread does not start.
    #[error(
        "the neighbours' thread does not start ({0}): raise the limit on threads, or leave the file away"
    )]
    Thread(std::io::Error),
}

/// What is counted of it, for any thread.
#[derive(Debug, Default)]
pub struct Counts {
    /// Relays that live, this one among them.
    pub alive: AtomicU64,
    /// Datagrams taken.
    pub heard: AtomicU64,
    /// Datagrams dropped.
    pub dropped: AtomicU64,
    /// Words that said nothing new.
    pub stale: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Sets of findings that found no room on their way to the thread.
    pub unsaid: AtomicU64,
}

/// The neighbourhood as the relay's loop holds it. Dropping it says good-bye to the others.
pub struct GossipHandle {
    view: Arc<ArcSwap<GossipView>>,
    say: SyncSender<Vec<HealthObservation>>,
    counts: Arc<Counts>,
    probes: HealthCheckBudget,
}

impl GossipHandle {
    /// Enters the neighbourhood.
    pub fn enter(
        plan: &GossipConfig, listen: SocketAddr, relays: u32, seed: u64,
    ) -> Result<GossipHandle, Unreachable> {
        let at = plan.gossip_address(listen)?;
        let told = |why| Unreachable::Socket(at, why);
        let socket = UdpSocket::bind(at).map_err(told)?;
        let clock = Clock::start();
        let me = MemberId { address: at, incarnation: clock.now() };
        let first = GossipView::alone(clock.now(), me.number());
        let view = Arc::new(ArcSwap::from_pointee(first));
        let counts = Arc::new(Counts::default());
        let (say, said) = sync_channel(QUEUE);
        let (shown, counted, plan_held) = (view.clone(), counts.clone(), plan.clone());
        let run = move || {
            let neighbors = GossipMember::new(&plan_held, me, relays as usize, seed, clock.now());
            let wanted = plan_held.probers_per_endpoint;
            Thread { socket, clock, neighbors, said, shown, counted, wanted, told: None }.run();
        };
        std::thread::Builder::new().name("neighbors".into()).spawn(run).map_err(Unreachable::Thread)?;
        info!(target: "neighbors", %at, seeds = plan.seeds.len(), "listening");
        Ok(GossipHandle {
            view,
            say,
            counts,
            probes: HealthCheckBudget::new(plan.probers_per_endpoint, seed),
        })
    }

    /// What is counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What becomes of the wish to probe a card server.
    pub fn wish(&mut self, now: Micros, server: &EndpointId) -> HealthCheckDecision {
        self.probes.request(now, &self.view.load(), endpoint_number(server))
    }

    /// A probe has ended.
    pub fn ended(&mut self, now: Micros, server: &EndpointId, outcome: Outcome, report: Option<&LoadReport>) {
        self.probes.check_ended(now, endpoint_number(server), outcome, report);
    }

    /// The card servers out of these that are to be asked now, as this relay is their witness. What it found of late is said again.
    pub fn duties<'a>(
        &mut self, now: Micros, servers: impl Iterator<Item = &'a EndpointId>,
    ) -> Vec<EndpointId> {
        let view = self.view.load();
        let servers: Vec<(u32, &EndpointId)> = servers.map(|id| (endpoint_number(id), id)).collect();
        let due = self.probes.start_due_checks(now, &view, servers.iter().map(|(card, _)| *card));
        let findings = self.probes.observations(now, &view);
        if !findings.is_empty() && self.say.try_send(findings).is_err() {
            self.counts.unsaid.fetch_add(1, Ordering::Relaxed);
        }
        servers.into_iter().filter(|(card, _)| due.contains(card)).map(|(_, id)| id.clone()).collect()
    }
}

/// The thread.
struct Thread {
    socket: UdpSocket,
    clock: Clock,
    neighbors: GossipMember,
    said: Receiver<Vec<HealthObservation>>,
    shown: Arc<ArcSwap<GossipView>>,
    counted: Arc<Counts>,
    wanted: usize,
    /// When a dropped datagram was last told of.
    told: Option<Micros>,
}

impl Thread {
    fn run(mut self) {
        let (mut bytes, mut out, mut publish_at) = (vec![0; MAX_DATAGRAM_BYTES + 1], Vec::new(), 0);
        loop {
            let now = self.clock.now();
            match self.said.try_recv() {
                Ok(findings) => self.neighbors.publish(now, findings),
                Err(TryRecvError::Empty) => {}
                Err(TryRecvError::Disconnected) => break,
            }
            self.neighbors.handle_timeout(now, &mut out);
            self.send(&mut out);
            if now >= publish_at {
                publish_at = now + PUBLISH;
                self.publish(now);
            }
            let nap =
                self.neighbors.next_timeout().min(publish_at).saturating_sub(now).clamp(1_000, NAP_MOST);
            // It cannot be refused for a time that is not zero.
            let _ = self.socket.set_read_timeout(Some(Duration::from_micros(nap)));
            let Ok((n, from)) = self.socket.recv_from(&mut bytes) else { continue };
            let now = self.clock.now();
            if let Err(why) = self.neighbors.handle_datagram(now, from, &bytes[..n], &mut out) {
                self.tell(now, &why);
            }
            self.send(&mut out);
        }
        let now = self.clock.now();
        self.neighbors.leave(now, &mut out);
        self.send(&mut out);
    }

    /// Datagrams get lost; one that the system will not take is such a one.
    fn send(&self, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        for (to, bytes) in out.drain(..) {
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    fn tell(&mut self, now: Micros, why: &DatagramError) {
        if self.told.is_none_or(|told| now >= told + TELL) {
            self.told = Some(now);
            warn!(target: "neighbors", %why, "a datagram is dropped");
        }
    }

    fn publish(&self, now: Micros) {
        let (view, counts) = (self.neighbors.view(now, self.wanted), self.neighbors.counters());
        let shown = [
            (&self.counted.alive, view.alive.len() as u64),
            (&self.counted.heard, counts.received),
            (&self.counted.dropped, counts.dropped),
            (&self.counted.stale, counts.stale),
            (&self.counted.sent, counts.sent_bytes),
        ];
        shown.iter().for_each(|(count, value)| count.store(*value, Ordering::Relaxed));
        self.shown.store(Arc::new(view));
    }
}
