//! `honeyknot-relay keeper`: the engine, its disk and its wire round the lease book.
//!
//! One task owns the [`Replica`]: letters and asks come to it by a queue, ticks by a timer; whatever it wants written is on disk before
//! anything that follows from it leaves. It decides nothing about who holds what, and no relay needs it to serve.
//! Memory: the book and the log's tail (`honeyknot-lease-consensus`), [`MAX_CONNECTIONS`] connections with [`QUEUE`] frames each.

mod connections;
pub mod storage;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease::{ClockDriftChange, ClockDriftMonitor, Command, Micros};
use honeyknot_lease_consensus::{
    ClientRequest, PeerMessage, Replica, ReplicaAction, ReplicaId, ReplicaSettings,
};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use tracing::{error, info, warn};

use crate::lease_client::codec::{Frame, Greeting, GreetingSender};
use crate::lease_client::config::LeaseConfig;
use crate::lease_client::{Clock, boot_clock};
use storage::{DatabaseOwner, LeaseDatabase};

/// Connections of clients at the most.
pub const MAX_CONNECTIONS: usize = 4_096;
/// Frames that wait for one connection at the most; a client that does not read is closed, a keeper's letters are lost.
pub const QUEUE: usize = 256;
/// Frames that wait for the keeper at the most; who sends more waits.
const MOST_HEARD: usize = 4_096;
/// Entries after which the book is put together, and they go.
const COMPACT_AFTER: u64 = 4_096;
/// A leader that is told to stop waits this long for another to lead.
const HAND_OVER: Duration = Duration::from_millis(500);

/// Which keeper this is.
#[derive(Clone, Debug, clap::Args)]
pub struct LeaseServerOptions {
    /// Its number in the file.
    #[arg(long)]
    pub number: ReplicaId,
    /// The folder that is this keeper's alone.
    #[arg(long)]
    pub folder: PathBuf,
    /// Found the folder, once: the fleet is new, and tokens rise from here. Where an earlier fleet lost its keepers, found all anew,
    /// above all tokens that were ever given, and after the longest lease has run out.
    #[arg(long, value_name = "TOKENS_FROM")]
    pub found: Option<u64>,
}

/// Serves until SIGTERM, or until it may not go on.
pub fn serve(plan: &LeaseConfig, seat: &LeaseServerOptions) -> Result<(), String> {
    run(plan, seat, Rc::new(boot_clock))
}

/// [`serve`] by another clock.
pub fn run(plan: &LeaseConfig, seat: &LeaseServerOptions, clock: Clock) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|why| why.to_string())?;
    LocalSet::new().block_on(&runtime, keep(plan, seat, clock))
}

/// What comes to the keeper.
enum Heard {
    /// With the writer's clock when it was sent.
    PeerMessage(Micros, PeerMessage),
    Request {
        from: u64,
        id: u64,
        commands: Vec<Command>,
    },
    Came {
        from: u64,
        frames: mpsc::Sender<Frame>,
    },
    Gone {
        from: u64,
    },
    Unreachable(ReplicaId),
    /// A keeper has greeted with the mark of its folder.
    Greeted(ReplicaId, u64),
}

async fn keep(plan: &LeaseConfig, seat: &LeaseServerOptions, clock: Clock) -> Result<(), String> {
    let me = seat.number;
    let at = plan.servers.get(&me).copied();
    let at =
        at.ok_or_else(|| format!("the file names {} keepers, none of them number {me}", plan.servers.len()))?;
    let founding = DatabaseOwner { fleet: plan.fleet.clone(), keepers: plan.servers.len() as u64, me };
    let (disk, found) = LeaseDatabase::open(&seat.folder, founding, seat.found)?;
    let tick = (plan.election_timeout / 20).clamp(5_000, 200_000);
    let settings = ReplicaSettings {
        parameters: plan.parameters,
        me,
        keepers: plan.servers.len() as u64,
        tick,
        election: plan.election_timeout,
        compact_after: COMPACT_AFTER,
        tokens_from: found.tokens_from,
    };
    let keeper =
        Replica::new(settings, found.kept).map_err(|why| format!("{}: {why}", seat.folder.display()))?;
    let listener = TcpListener::bind(at).await.map_err(|why| format!("{at}: {why}"))?;
    info!(target: "keeper", number = me, at = %at, folder = %seat.folder.display(), term = keeper.term(), "keeps leases");
    let (send, heard) = mpsc::channel(MOST_HEARD);
    let hello = Greeting::new(GreetingSender::LeaseServer(me, found.mark), plan);
    let marks = connections::Marks::new(found.marks);
    tokio::task::spawn_local(connections::listen(listener, hello.clone(), marks, send.clone()));
    let mut peers = BTreeMap::new();
    for (id, at) in plan.servers.iter().filter(|(id, _)| **id != me) {
        let (letters, queue) = mpsc::channel(QUEUE);
        let patience = Duration::from_micros(plan.election_timeout);
        tokio::task::spawn_local(connections::dial(
            *id,
            *at,
            hello.clone(),
            queue,
            send.clone(),
            patience,
            clock.clone(),
        ));
        peers.insert(*id, letters);
    }
    let office = Office {
        keeper,
        disk,
        clock,
        peers,
        clients: BTreeMap::new(),
        clock_drift: ClockDriftMonitor::new(plan.parameters.drift_ppm),
        leader: None,
        leads: false,
    };
    office.run(heard, Duration::from_micros(tick)).await
}

/// The task that owns the keeper.
struct Office {
    keeper: Replica,
    disk: LeaseDatabase,
    clock: Clock,
    peers: BTreeMap<ReplicaId, mpsc::Sender<PeerMessage>>,
    clients: BTreeMap<u64, mpsc::Sender<Frame>>,
    clock_drift: ClockDriftMonitor,
    leader: Option<ReplicaId>,
    leads: bool,
}

impl Office {
    async fn run(mut self, mut heard: mpsc::Receiver<Heard>, tick: Duration) -> Result<(), String> {
        let mut stop = signal(SignalKind::terminate()).map_err(|why| why.to_string())?;
        let mut turns = interval(tick);
        // After a stop the engine counts on from where it was: ticks that were missed are no time that it was silent.
        turns.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                some = heard.recv() => {
                    let Some(first) = some else { return Ok(()) };
                    self.hears(first)?;
                    // All that waits shares one write.
                    while let Ok(more) = heard.try_recv() {
                        self.hears(more)?;
                    }
                }
                _ = turns.tick() => self.keeper.tick((self.clock)()),
                _ = stop.recv() => break,
            }
            self.work()?;
        }
        // Whoever asks next need not wait for an election.
        let until = Instant::now() + HAND_OVER;
        self.keeper.transfer_leadership();
        self.work()?;
        while self.keeper.is_leader() {
            tokio::select! {
                some = timeout_at(until, heard.recv()) => match some {
                    Ok(Some(heard)) => self.hears(heard)?,
                    _ => break,
                },
                _ = turns.tick() => self.keeper.tick((self.clock)()),
            }
            self.work()?;
        }
        info!(target: "keeper", "stops");
        Ok(())
    }

    fn hears(&mut self, heard: Heard) -> Result<(), String> {
        match heard {
            Heard::PeerMessage(said, letter) => {
                let shown = self.clock_drift.message_received((self.clock)(), letter.from, said);
                self.tell_of_clock(letter.from, shown);
                self.keeper.step(letter).map_err(|why| why.to_string())?;
            }
            Heard::Request { from, id, commands } => {
                self.keeper.request((self.clock)(), ClientRequest { from, id, commands })
            }
            Heard::Came { from, frames } => {
                self.clients.insert(from, frames);
            }
            Heard::Gone { from } => {
                self.clients.remove(&from);
            }
            Heard::Unreachable(keeper) => self.keeper.report_unreachable(keeper),
            Heard::Greeted(keeper, mark) => {
                // A new connection is perhaps a new process, on a machine that was started since.
                self.clock_drift.reset_peer(keeper);
                self.disk.remember(keeper, mark)?;
            }
        }
        Ok(())
    }

    /// It can only be told: which of two clocks is wrong nobody here can know, and leases stay as safe as tokens make them.
    fn tell_of_clock(&self, keeper: ReplicaId, shown: Option<ClockDriftChange>) {
        match shown {
            Some(ClockDriftChange::Exceeded(ppm)) => {
                error!(target: "keeper", keeper, ppm, "its clock or this one is beyond the bound that leases stand on");
            }
            Some(ClockDriftChange::WithinBound) => {
                info!(target: "keeper", keeper, "its clock is within the bound again")
            }
            None => {}
        }
    }

    /// Writes what has to be written and sends what follows, until there is nothing more.
    fn work(&mut self) -> Result<(), String> {
        while let Some(write) = self.keeper.ready((self.clock)()) {
            // A write that failed is the end: what the engine believes to be on disk is not.
            self.disk.write(&write)?;
            let out = self.keeper.advance((self.clock)(), write).map_err(|why| why.to_string())?;
            out.into_iter().for_each(|out| self.carry(out));
        }
        let (leader, leads) = (self.keeper.leader(), self.keeper.is_leader());
        if (leader, leads) != (self.leader, self.leads) {
            (self.leader, self.leads) = (leader, leads);
            let term = self.keeper.term();
            match leader {
                _ if leads => info!(target: "keeper", term, "leads"),
                Some(leader) => info!(target: "keeper", term, leader, "follows"),
                None => warn!(target: "keeper", term, "knows no leader"),
            }
        }
        Ok(())
    }

    fn carry(&mut self, out: ReplicaAction) {
        match out {
            ReplicaAction::Send(letter) => {
                let to = letter.to;
                let snapshot = letter.has_snapshot();
                let sent = self.peers.get(&to).is_some_and(|queue| queue.try_send(letter).is_ok());
                match (sent, snapshot) {
                    (false, _) => self.keeper.report_unreachable(to),
                    (true, true) => self.keeper.report_snapshot_sent(to),
                    (true, false) => {}
                }
            }
            ReplicaAction::Respond { to, id, told } => {
                let full = self
                    .clients
                    .get(&to)
                    .is_some_and(|client| client.try_send(Frame::Response { id, told }).is_err());
                if full {
                    // Its line ends with its queue.
                    self.clients.remove(&to);
                }
            }
        }
    }
}
