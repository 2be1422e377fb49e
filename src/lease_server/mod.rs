//! `honeyknot-relay keeper`: the engine, its disk and its wire round the lease book.
//!
//! One task owns the [`Keeper`]: letters and asks come to it by a queue, ticks by a timer; whatever it wants written is on disk before
//! anything that follows from it leaves. It decides nothing about who holds what, and no relay needs it to serve.
//! Memory: the book and the log's tail (`honeyknot-lease-consensus`), [`MOST_CLIENTS`] connections with [`QUEUE`] frames each.

pub mod disk;
mod lines;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease::{Command, Micros, Rates, Shown};
use honeyknot_lease_consensus::{Ask, Keeper, KeeperId, Letter, Out, Settings};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use tracing::{error, info, warn};

use crate::lease_client::plan::Plan;
use crate::lease_client::wire::{Frame, Hello, Who};
use crate::lease_client::{Clock, boot_clock};
use disk::{Disk, Founding};

/// Connections of clients at the most.
pub const MOST_CLIENTS: usize = 4_096;
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
pub struct Seat {
    /// Its number in the file.
    #[arg(long)]
    pub number: KeeperId,
    /// The folder that is this keeper's alone.
    #[arg(long)]
    pub folder: PathBuf,
    /// Found the folder, once: the fleet is new, and tokens rise from here. Where an earlier fleet lost its keepers, found all anew,
    /// above all tokens that were ever given, and after the longest lease has run out.
    #[arg(long, value_name = "TOKENS_FROM")]
    pub found: Option<u64>,
}

/// Serves until SIGTERM, or until it may not go on.
pub fn serve(plan: &Plan, seat: &Seat) -> Result<(), String> {
    run(plan, seat, Rc::new(boot_clock))
}

/// [`serve`] by another clock.
pub fn run(plan: &Plan, seat: &Seat, clock: Clock) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|why| why.to_string())?;
    LocalSet::new().block_on(&runtime, keep(plan, seat, clock))
}

/// What comes to the keeper.
enum Heard {
    /// With the writer's clock when it was sent.
    Letter(Micros, Letter),
    Ask {
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
    Unreachable(KeeperId),
    /// A keeper has greeted with the mark of its folder.
    Greeted(KeeperId, u64),
}

async fn keep(plan: &Plan, seat: &Seat, clock: Clock) -> Result<(), String> {
    let me = seat.number;
    let at = plan.keepers.get(&me).copied();
    let at =
        at.ok_or_else(|| format!("the file names {} keepers, none of them number {me}", plan.keepers.len()))?;
    let founding = Founding { fleet: plan.fleet.clone(), keepers: plan.keepers.len() as u64, me };
    let (disk, found) = Disk::open(&seat.folder, founding, seat.found)?;
    let tick = (plan.election / 20).clamp(5_000, 200_000);
    let settings = Settings {
        terms: plan.terms,
        me,
        keepers: plan.keepers.len() as u64,
        tick,
        election: plan.election,
        compact_after: COMPACT_AFTER,
        tokens_from: found.tokens_from,
    };
    let keeper =
        Keeper::new(settings, found.kept).map_err(|why| format!("{}: {why}", seat.folder.display()))?;
    let listener = TcpListener::bind(at).await.map_err(|why| format!("{at}: {why}"))?;
    info!(target: "keeper", number = me, at = %at, folder = %seat.folder.display(), term = keeper.term(), "keeps leases");
    let (send, heard) = mpsc::channel(MOST_HEARD);
    let hello = Hello::new(Who::Keeper(me, found.mark), plan);
    let marks = lines::Marks::new(found.marks);
    tokio::task::spawn_local(lines::listen(listener, hello.clone(), marks, send.clone()));
    let mut peers = BTreeMap::new();
    for (id, at) in plan.keepers.iter().filter(|(id, _)| **id != me) {
        let (letters, queue) = mpsc::channel(QUEUE);
        let patience = Duration::from_micros(plan.election);
        tokio::task::spawn_local(lines::dial(
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
        rates: Rates::new(plan.terms.drift_ppm),
        leader: None,
        leads: false,
    };
    office.run(heard, Duration::from_micros(tick)).await
}

/// The task that owns the keeper.
struct Office {
    keeper: Keeper,
    disk: Disk,
    clock: Clock,
    peers: BTreeMap<KeeperId, mpsc::Sender<Letter>>,
    clients: BTreeMap<u64, mpsc::Sender<Frame>>,
    rates: Rates,
    leader: Option<KeeperId>,
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
                _ = turns.tick() => self.keeper.turn((self.clock)()),
                _ = stop.recv() => break,
            }
            self.work()?;
        }
        // Whoever asks next need not wait for an election.
        let until = Instant::now() + HAND_OVER;
        self.keeper.hand_over();
        self.work()?;
        while self.keeper.leads() {
            tokio::select! {
                some = timeout_at(until, heard.recv()) => match some {
                    Ok(Some(heard)) => self.hears(heard)?,
                    _ => break,
                },
                _ = turns.tick() => self.keeper.turn((self.clock)()),
            }
            self.work()?;
        }
        info!(target: "keeper", "stops");
        Ok(())
    }

    fn hears(&mut self, heard: Heard) -> Result<(), String> {
        match heard {
            Heard::Letter(said, letter) => {
                let shown = self.rates.heard((self.clock)(), letter.from, said);
                self.tell_of_clock(letter.from, shown);
                self.keeper.heard(letter).map_err(|why| why.to_string())?;
            }
            Heard::Ask { from, id, commands } => {
                self.keeper.asked((self.clock)(), Ask { from, id, commands })
            }
            Heard::Came { from, frames } => {
                self.clients.insert(from, frames);
            }
            Heard::Gone { from } => {
                self.clients.remove(&from);
            }
            Heard::Unreachable(keeper) => self.keeper.unreachable(keeper),
            Heard::Greeted(keeper, mark) => {
                // A new connection is perhaps a new process, on a machine that was started since.
                self.rates.forget(keeper);
                self.disk.remember(keeper, mark)?;
            }
        }
        Ok(())
    }

    /// It can only be told: which of two clocks is wrong nobody here can know, and leases stay as safe as tokens make them.
    fn tell_of_clock(&self, keeper: KeeperId, shown: Option<Shown>) {
        match shown {
            Some(Shown::Beyond(ppm)) => {
                error!(target: "keeper", keeper, ppm, "its clock or this one is beyond the bound that leases stand on");
            }
            Some(Shown::Within) => info!(target: "keeper", keeper, "its clock is within the bound again"),
            None => {}
        }
    }

    /// Writes what has to be written and sends what follows, until there is nothing more.
    fn work(&mut self) -> Result<(), String> {
        while let Some(write) = self.keeper.work((self.clock)()) {
            // A write that failed is the end: what the engine believes to be on disk is not.
            self.disk.write(&write)?;
            let out = self.keeper.written((self.clock)(), write).map_err(|why| why.to_string())?;
            out.into_iter().for_each(|out| self.carry(out));
        }
        let (leader, leads) = (self.keeper.leader(), self.keeper.leads());
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

    fn carry(&mut self, out: Out) {
        match out {
            Out::Send(letter) => {
                let to = letter.to;
                let snapshot = letter.brings_snapshot();
                let sent = self.peers.get(&to).is_some_and(|queue| queue.try_send(letter).is_ok());
                match (sent, snapshot) {
                    (false, _) => self.keeper.unreachable(to),
                    (true, true) => self.keeper.snapshot_sent(to),
                    (true, false) => {}
                }
            }
            Out::Tell { to, id, told } => {
                let full = self
                    .clients
                    .get(&to)
                    .is_some_and(|client| client.try_send(Frame::Told { id, told }).is_err());
                if full {
                    // Its line ends with its queue.
                    self.clients.remove(&to);
                }
            }
        }
    }
}
