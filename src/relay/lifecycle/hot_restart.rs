//! One process of a relay takes over from another: listener, card servers out by hand, drains.
//!
//! The old process offers a Unix socket in a folder that only their user may enter. The new one asks there for the
//! listening descriptor, gets ready, and takes over: the old one stops accepting before the new one begins. The link
//! between the two then stays, so that each sees the other's end, and a call of operators at one holds at both.

mod state_directory;
mod takeover_channel;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;

use honeyknot_balancer::maintenance::MaintenanceWindow;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tracing::{info, warn};

use crate::relay::connections::listener;
use crate::relay::connections::{ConnectionSnapshot, ConnectionTransfer, restore_connection};
use crate::relay::timer_wheel::Timers;
use crate::relay::{Relay, SharedRelay};
use honeyknot_balancer::*;
pub use state_directory::StateDirectory;
use takeover_channel::TakeoverChannel;

/// A process that does not answer for this long is stuck.
const ANSWER: Micros = 1_000_000;
/// Discovery is waited for this long before the new process takes over with the roll that it was given.
const ROLL: Micros = 2_500_000;
/// How often a process that waits looks.
const LOOK: Micros = 20_000;
/// Descriptors of a process that are in nobody's count.
const RUNTIME: usize = 16;
/// How often the old process tells what it holds.
const TELL: Micros = 500_000;
/// A call that the other process has not confirmed by now is answered `NO`.
const CONFIRM: Micros = 600_000;

/// What a process knows by hand, in the form that is handed over and kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Card servers that are out, and since when, in Unix microseconds.
    pub out: Vec<(String, Micros)>,
    /// Those put back: from when to when they were out.
    pub back: Vec<(String, Micros, Micros)>,
}

/// What processes tell each other, one JSON object a line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum HotRestartMessage {
    /// New to old: who may take over?
    Hello,
    /// Old to new, with the listener: what binds it.
    State {
        /// Card servers out by hand.
        by_hand: MaintenanceState,
        /// Those that discovery says leave or are gone.
        leaving: Vec<String>,
    },
    /// Old to new: another process is taking over.
    Busy,
    /// New to old: let nobody in any more.
    Take,
    /// Old to new: the door is closed here.
    Yours {
        /// Card servers out by hand, as of now.
        by_hand: MaintenanceState,
    },
    /// Old to new: so many descriptors are held here.
    Holding {
        /// How many.
        descriptors: usize,
    },
    /// An operator's call has taken a card server out, or put it back.
    Hand {
        /// Which.
        id: String,
        /// Whether it is out.
        out: bool,
        /// The answer's number.
        number: u64,
    },
    /// Old to new, with the sockets of its client and its card server: a session that stands.
    Session(ConnectionSnapshot),
    /// It holds here too.
    Done {
        /// The number.
        number: u64,
    },
}

/// A message to the other process.
enum Note {
    /// An operator's call, and who waits until it holds there.
    Call(HotRestartMessage, oneshot::Sender<()>),
    /// A session that goes on there.
    Session(Box<ConnectionTransfer>),
}

/// How far a change of processes is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The new process, which is not this one, gets ready.
    Preparing,
    /// The new process, which is not this one, lets clients in.
    HandedOver,
    /// This is the new one, and the old one still lives.
    TookOver,
}

/// The relay's end of a link.
struct Link {
    notes: UnboundedSender<Note>,
    stage: Stage,
    /// Descriptors that the other process holds.
    lent: usize,
}

/// What this process holds of the relay that outlives processes.
#[derive(Default)]
pub struct ListenerOwnership {
    /// The task that lets clients in.
    pub accept_task: Option<AbortHandle>,
    folder: Option<Rc<StateDirectory>>,
    link: Option<Link>,
    /// Calls of operators that were passed to another process.
    passed: u64,
}

impl ListenerOwnership {
    /// Descriptors that another process of this relay may hold meanwhile: within the limit of both.
    pub fn lent(&self) -> usize {
        self.link.as_ref().filter(|l| l.stage == Stage::TookOver).map_or(0, |l| l.lent + RUNTIME)
    }

    /// Whether another process of this relay lets its clients in.
    pub fn handed_over(&self) -> bool {
        self.link.as_ref().is_some_and(|link| link.stage == Stage::HandedOver)
    }
}

/// What a new process has got from the old one.
pub struct Predecessor {
    line: TakeoverChannel,
    by_hand: MaintenanceState,
    leaving: Vec<String>,
}

/// Asks a process that serves this relay's clients for its listener. None if no process lives.
pub async fn connect_to_predecessor(
    folder: &StateDirectory,
) -> Result<Option<(TcpListener, Predecessor)>, String> {
    let Some(mut line) = TakeoverChannel::connect(&folder.socket()).await else { return Ok(None) };
    let asked = async {
        line.say(&HotRestartMessage::Hello, &[]).await.ok()?;
        line.next().await
    };
    let answer = tokio::time::timeout(std::time::Duration::from_micros(ANSWER), asked).await;
    match answer {
        Ok(Some(HotRestartMessage::State { by_hand, leaving })) => {
            let listener = line.descriptor().ok_or("no listener came from the process that serves here")?;
            let listener = inherit(listener).map_err(|e| format!("the listener handed over: {e}"))?;
            Ok(Some((listener, Predecessor { line, by_hand, leaving })))
        }
        Ok(Some(HotRestartMessage::Busy)) => {
            Err("another process is taking over from the one that serves here".into())
        }
        // It ended just now.
        Ok(None) => Ok(None),
        Ok(Some(_)) => {
            Err("the process that serves here speaks another language: upgrade by a restart".into())
        }
        Err(_) => Err("the process that serves here does not answer".into()),
    }
}

fn inherit(listener: OwnedFd) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::from(listener);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Takes over from an old process once this one can serve, lets clients in, and offers the relay to the next one.
/// Errors say why it cannot; the old process then serves on.
pub async fn run(
    relay: SharedRelay, folder: Rc<StateDirectory>, listener: Rc<TcpListener>, from: Option<Predecessor>,
) -> Result<(), String> {
    relay.borrow_mut().listener_ownership.folder = Some(folder.clone());
    match from {
        None => {
            let kept = folder.read();
            relay.borrow_mut().restore_maintenance(kept);
            listener::start_accepting(&relay, &listener);
        }
        Some(incumbent) => take_over(&relay, &folder, &listener, incumbent).await?,
    }
    match folder.publish() {
        Ok(offered) => accept_successors(relay, folder, listener, offered).await,
        Err(why) => {
            warn!(target: "handover", why, "no process can take over from this one");
            std::future::pending().await
        }
    }
}

async fn take_over(
    relay: &SharedRelay, folder: &Rc<StateDirectory>, listener: &Rc<TcpListener>, incumbent: Predecessor,
) -> Result<(), String> {
    let Predecessor { mut line, by_hand, leaving } = incumbent;
    let timers = relay.borrow().timers.clone();
    relay.borrow_mut().restore_maintenance(by_hand);
    relay.borrow_mut().mark_draining(&leaving);
    let born = relay.borrow().started_at;
    while !relay.borrow().has_discovery_answered() && timers.clock.now() < born + ROLL {
        if relay.borrow().is_shutting_down() {
            return Err("told to stop before it took over".into());
        }
        timers.sleep(LOOK).await;
    }
    let taken = async {
        line.say(&HotRestartMessage::Take, &[]).await.ok()?;
        loop {
            match line.next().await? {
                HotRestartMessage::Yours { by_hand } => return Some(by_hand),
                // What operators did meanwhile is in what comes with the door.
                HotRestartMessage::Hand { number, .. } => {
                    line.say(&HotRestartMessage::Done { number }, &[]).await.ok()?
                }
                _ => {}
            }
        }
    };
    let by_hand = tokio::select! {
        taken = taken => taken,
        () = timers.sleep(ANSWER) => return Err("the process that serves here does not let go of its door".into()),
    };
    if let Some(by_hand) = by_hand {
        relay.borrow_mut().restore_maintenance(by_hand);
        let notes = relay.borrow_mut().open_link(Stage::TookOver);
        tokio::task::spawn_local(run_link(relay.clone(), folder.clone(), None, line, notes));
    }
    listener::start_accepting(relay, listener);
    info!(target: "handover", old_lives = relay.borrow().listener_ownership.link.is_some(), "took over");
    Ok(())
}

/// Offers the relay to new processes, one at a time.
async fn accept_successors(
    relay: SharedRelay, folder: Rc<StateDirectory>, listener: Rc<TcpListener>, offered: UnixListener,
) -> Result<(), String> {
    let timers = relay.borrow().timers.clone();
    loop {
        let Ok((stream, _)) = offered.accept().await else {
            timers.sleep(ANSWER).await;
            continue;
        };
        let mut line = TakeoverChannel::new(stream);
        let first = tokio::time::timeout(std::time::Duration::from_micros(ANSWER), line.next()).await;
        if !matches!(first, Ok(Some(HotRestartMessage::Hello))) {
            continue;
        }
        if relay.borrow().listener_ownership.link.is_some() {
            let _ = line.say(&HotRestartMessage::Busy, &[]).await;
            continue;
        }
        let notes = relay.borrow_mut().open_link(Stage::Preparing);
        tokio::task::spawn_local(hand_over(relay.clone(), folder.clone(), listener.clone(), line, notes));
    }
}

async fn hand_over(
    relay: SharedRelay, folder: Rc<StateDirectory>, listener: Rc<TcpListener>, line: TakeoverChannel,
    notes: UnboundedReceiver<Note>,
) {
    info!(target: "handover", "a new process gets ready");
    let (by_hand, leaving) = (relay.borrow().maintenance_state(), relay.borrow().draining_endpoints());
    if line.say(&HotRestartMessage::State { by_hand, leaving }, &[listener.as_fd()]).await.is_ok() {
        run_link(relay, folder, Some(listener), line, notes).await;
    } else {
        relay.borrow_mut().listener_ownership.link = None;
    }
}

/// The link to the other process, until either ends. The old process, which has a listener here, lets clients in again
/// if the new one ends.
async fn run_link(
    relay: SharedRelay, folder: Rc<StateDirectory>, listener: Option<Rc<TcpListener>>,
    mut line: TakeoverChannel, mut notes: UnboundedReceiver<Note>,
) {
    let timers = relay.borrow().timers.clone();
    let mut waiting = Vec::new();
    loop {
        let said = tokio::select! {
            word = line.next() => match word {
                Some(word) => handle_message(&relay, &listener, &mut line, &mut waiting, word).await,
                None => break,
            },
            note = notes.recv() => match note {
                Some(Note::Call(word, confirmed)) => {
                    if let HotRestartMessage::Hand { number, .. } = &word {
                        waiting.push((*number, confirmed));
                    }
                    line.say(&word, &[]).await.is_ok()
                }
                Some(Note::Session(passed)) => send_connection(&line, *passed, &timers).await,
                None => break,
            },
            () = timers.sleep(TELL), if listener.is_some() => {
                let descriptors = relay.borrow().descriptors_in_use.get();
                line.say(&HotRestartMessage::Holding { descriptors }, &[]).await.is_ok()
            }
        };
        if !said {
            break;
        }
    }
    let link = relay.borrow_mut().listener_ownership.link.take();
    notes.close();
    while let Some(note) = notes.recv().await {
        if let Note::Session(passed) = note {
            passed.migrate(&timers);
        }
    }
    info!(target: "handover", "the other process has ended");
    let Some(listener) = listener.filter(|_| link.is_some_and(|l| l.stage == Stage::HandedOver)) else {
        return;
    };
    if !relay.borrow().is_shutting_down() {
        warn!(target: "handover", "it had taken over: clients are let in here again");
        listener::start_accepting(&relay, &listener);
        match folder.publish() {
            Ok(offered) => drop(accept_successors_again(relay, folder, listener, offered)),
            Err(why) => warn!(target: "handover", why, "no process can take over from this one"),
        }
    }
}

/// A box between [`run_link`] and [`accept_successors`], which need each other.
fn accept_successors_again(
    relay: SharedRelay, folder: Rc<StateDirectory>, listener: Rc<TcpListener>, offered: UnixListener,
) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        let offering: std::pin::Pin<Box<dyn Future<Output = _>>> =
            Box::pin(accept_successors(relay, folder, listener, offered));
        let _ = offering.await;
    })
}

/// Passes a session on; one that cannot be passed is moved. False if the line has ended.
async fn send_connection(line: &TakeoverChannel, passed: ConnectionTransfer, timers: &Rc<Timers>) -> bool {
    let sockets = [passed.downstream.as_fd(), passed.upstream.as_fd()];
    let said = line.say(&HotRestartMessage::Session(passed.snapshot.clone()), &sockets).await.is_ok();
    if !said {
        passed.migrate(timers);
    }
    said
}

/// Does what the other process says; false if it can no longer be told.
async fn handle_message(
    relay: &SharedRelay, listener: &Option<Rc<TcpListener>>, line: &mut TakeoverChannel,
    waiting: &mut Vec<(u64, oneshot::Sender<()>)>, word: HotRestartMessage,
) -> bool {
    match word {
        HotRestartMessage::Take if listener.is_some() => {
            listener::stop_accepting(relay);
            if let Some(link) = &mut relay.borrow_mut().listener_ownership.link {
                link.stage = Stage::HandedOver;
            }
            let by_hand = relay.borrow().maintenance_state();
            let descriptors = relay.borrow().descriptors_in_use.get();
            info!(target: "handover", "handed over: clients are let in by the new process");
            line.say(&HotRestartMessage::Yours { by_hand }, &[]).await.is_ok()
                && line.say(&HotRestartMessage::Holding { descriptors }, &[]).await.is_ok()
        }
        HotRestartMessage::Hand { id, out, number } => {
            let now = relay.borrow().timers.clock.now();
            relay.borrow_mut().apply_maintenance_command(now, &EndpointId(id.as_str().into()), out);
            line.say(&HotRestartMessage::Done { number }, &[]).await.is_ok()
        }
        HotRestartMessage::Done { number } => {
            let confirmed = waiting.iter().position(|(n, _)| *n == number).map(|i| waiting.swap_remove(i));
            confirmed.map(|(_, confirmed)| confirmed.send(()));
            true
        }
        HotRestartMessage::Session(snapshot) => {
            let sockets = (line.descriptor(), line.descriptor());
            if let Some(link) = &mut relay.borrow_mut().listener_ownership.link {
                link.lent = link.lent.saturating_sub(2);
            }
            if let (Some(client), Some(server)) = sockets
                && let Err(why) = restore_connection(relay, snapshot, client, server)
            {
                warn!(target: "handover", %why, "a session that was passed here cannot be taken up");
            }
            true
        }
        HotRestartMessage::Holding { descriptors } => {
            if let Some(link) = &mut relay.borrow_mut().listener_ownership.link {
                link.lent = descriptors;
            }
            true
        }
        _ => true,
    }
}

/// Takes a card server out by hand, or puts it back, here and at the other process; returns when it holds.
pub async fn set_maintenance(relay: &SharedRelay, id: &str, out: bool) -> Result<(), String> {
    let server = EndpointId(id.into());
    let done = match out {
        true => relay.borrow_mut().start_maintenance(&server),
        false => relay.borrow_mut().end_maintenance(&server),
    };
    done.map_err(|_| format!("no card server has the id {id}"))?;
    let (folder, confirmed) = {
        let mut relay = relay.borrow_mut();
        relay.listener_ownership.passed += 1;
        let word =
            HotRestartMessage::Hand { id: id.to_owned(), out, number: relay.listener_ownership.passed };
        // One that gets ready is told all of it with the door.
        let linked = relay.listener_ownership.link.as_ref().filter(|link| link.stage != Stage::Preparing);
        let told = linked.and_then(|link| {
            let (confirm, confirmed) = oneshot::channel();
            link.notes.send(Note::Call(word, confirm)).ok().map(|()| confirmed)
        });
        (relay.listener_ownership.folder.clone(), told)
    };
    if let Some(folder) = folder {
        // It holds in any case while a process lives; guards against a file that says otherwise later.
        folder.keep(relay).await.map_err(|why| format!("it holds, but cannot be kept: {why}"))?;
    }
    if let Some(confirmed) = confirmed {
        let timers = relay.borrow().timers.clone();
        let linked = || relay.borrow().listener_ownership.link.is_some();
        tokio::select! {
            // A process that ends meanwhile confirms nothing and needs nothing.
            confirmed = confirmed => if confirmed.is_err() && linked() {
                return Err("it holds here, but the other process has not confirmed it".into());
            },
            () = timers.sleep(CONFIRM) => {
                return Err("it holds here, but the other process has not confirmed it".into());
            }
        }
    }
    Ok(())
}

impl Relay {
    /// Opens this process' end of a link.
    fn open_link(&mut self, stage: Stage) -> UnboundedReceiver<Note> {
        let (notes, queue) = unbounded_channel();
        self.listener_ownership.link = Some(Link { notes, stage, lent: 0 });
        queue
    }

    /// Passes a session on to the process that lets clients in now; it comes back if there is none.
    pub fn transfer_connection(&mut self, passed: ConnectionTransfer) -> Result<(), Box<ConnectionTransfer>> {
        let link = self.listener_ownership.link.as_ref().filter(|link| link.stage == Stage::HandedOver);
        let Some(link) = link else { return Err(Box::new(passed)) };
        link.notes.send(Note::Session(Box::new(passed))).map_err(|unsent| match unsent.0 {
            Note::Session(passed) => passed,
            Note::Call(..) => unreachable!("a session was sent"),
        })
    }

    /// What is out by hand, and what was put back, in the form that is handed over.
    pub(in crate::relay) fn maintenance_state(&self) -> MaintenanceState {
        let name = |id: &EndpointId| id.0.as_ref().to_owned();
        let back = self.maintenance.last_windows().map(|(id, was)| (name(id), was.from, was.to)).collect();
        MaintenanceState {
            out: self.maintenance.in_maintenance().map(|(id, since)| (name(id), since)).collect(),
            back,
        }
    }

    /// Takes on that card servers leave, as another process was told.
    fn mark_draining(&mut self, leaving: &[String]) {
        let ids: Vec<EndpointId> = leaving.iter().map(|id| EndpointId(id.as_str().into())).collect();
        let entries = self.maintenance.mark_draining(&ids);
        entries.into_iter().for_each(|entry| self.apply_maintenance_change(Some(entry)));
    }

    /// Takes on what another process, or an earlier one, had out by hand.
    fn restore_maintenance(&mut self, by_hand: MaintenanceState) {
        let server = |id: &String| EndpointId(id.as_str().into());
        for (id, from, to) in &by_hand.back {
            let seen =
                self.maintenance.record_window(MaintenanceWindow { from: *from, to: *to }, &server(id));
            self.apply_maintenance_change(seen);
        }
        let out: BTreeMap<EndpointId, Micros> =
            by_hand.out.iter().map(|(id, since)| (server(id), *since)).collect();
        let held = self.maintenance.in_maintenance().map(|(id, _)| id);
        let gone: Vec<EndpointId> = held.filter(|id| !out.contains_key(*id)).cloned().collect();
        let now = self.timers.clock.now();
        gone.iter().for_each(|id| self.apply_maintenance_command(now, id, false));
        out.iter().for_each(|(id, since)| self.apply_maintenance_command(*since, id, true));
    }

    /// Does what an operator has done at another process.
    fn apply_maintenance_command(&mut self, at: Micros, id: &EndpointId, out: bool) {
        let seen = match out {
            true => self.maintenance.restore_maintenance(at, id),
            false => self.maintenance.end_maintenance(at, id).ok().flatten(),
        };
        self.apply_maintenance_change(seen);
    }
}

/// Where a relay of that address keeps what outlives a process, if a folder for it is told.
pub fn open_state_directory(listen: SocketAddr) -> Option<StateDirectory> {
    let place = std::env::var_os("TMPDIR").filter(|path| !path.is_empty()).map(PathBuf::from)?;
    match StateDirectory::open(&place, listen) {
        Ok(folder) => Some(folder),
        Err(why) => {
            warn!(target: "handover", why, "no process can take over from this one");
            None
        }
    }
}
