//! The keeper: what it has to write, send and answer next.

use std::collections::{BTreeMap, VecDeque};

use honeyknot_lease::{
    AcquireBackoff, Answer, Command, CommandResult, ExpiryTracker, FencingToken, LeaseParameters, LeaseTable,
    Rejection,
};
use raft::eraftpb;
use raft::{Config, RawNode, Ready, StateRole, Storage};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::log::{Log, PersistedState, ReplicaWrite, ticks};
use crate::peer_message::{Entry, PeerMessage, Snapshot};
use crate::{Micros, ReplicaId};

/// What all keepers of a fleet are told alike, but for their own number.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The terms of leases.
    pub parameters: LeaseParameters,
    /// This keeper's number, from 1.
    pub me: ReplicaId,
    /// How many keepers there are.
    pub keepers: u64,
    /// How often [`Replica::max_hold`] is called.
    pub tick: Micros,
    /// A keeper that hears no leader for this long, and a part more by its number, asks to lead.
    pub election: Micros,
    /// So many entries after the last, the book is put together and they go.
    pub compact_after: u64,
    /// Tokens rise from here: of a fleet whose keepers were lost, above all that were ever given.
    pub tokens_from: u64,
}

/// What a client wants: commands, in order, all in one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Who asks, as the caller knows it.
    pub from: u64,
    /// Its number, given back with the answer.
    pub id: u64,
    /// The commands; none at all asks for the leases that there are.
    pub commands: Vec<Command>,
}

/// The answer to an [`ClientRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// One for each command, agreed on.
    Results(Vec<CommandResult>),
    /// All leases, as agreed on.
    Leases(Vec<LeaseView>),
    /// This keeper does not lead, or no more: the commands may have been taken or not. Who leads, as far as it knows.
    NotLeader(Option<ReplicaId>),
    /// Too much is under way.
    Overloaded,
}

/// One lease, as the keeper that leads sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// The task.
    pub task: String,
    /// Who.
    pub holder: String,
    /// By which token.
    pub token: FencingToken,
    /// How often it was renewed.
    pub renewals: u64,
    /// For how long this leader has known it.
    pub age: Micros,
    /// For how long yet, unless it is renewed.
    pub left: Micros,
    /// Renewed no more.
    pub revoked: bool,
}

/// What a keeper does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// To another keeper. It may be lost.
    Send(PeerMessage),
    /// To who asked.
    Respond {
        /// Who.
        to: u64,
        /// What it called its ask.
        id: u64,
        /// The answer.
        told: Response,
    },
}

/// Why a keeper cannot go on: what it must not have forgotten is not there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReplicaError {
    /// A leader counts on entries that this keeper has agreed to and does not hold.
    #[error(
        "the folder has lost entries: keeper {leader} counts on entry {presumed}, the log ends with {last}; an old copy?"
    )]
    Entries {
        /// Who counts on them.
        leader: ReplicaId,
        /// Up to which.
        presumed: u64,
        /// What is there.
        last: u64,
    },
    /// What was agreed on here differs from what another keeper says.
    #[error(
        "entry {index} was agreed on and differs from what keeper {leader} holds: a folder of another fleet?"
    )]
    Differs {
        /// The entry.
        index: u64,
        /// Who says so.
        leader: ReplicaId,
    },
    /// Something agreed on cannot be read.
    #[error("{what} {index} cannot be read: written by another version?")]
    Unreadable {
        /// An entry or a snapshot.
        what: &'static str,
        /// Which.
        index: u64,
    },
    /// What was found on disk does not hold together.
    #[error("{0}")]
    Folder(String),
    /// The engine gave up.
    #[error("the engine: {0}")]
    Engine(String),
}

/// An ask whose entry is not agreed on yet.
struct Waiting {
    from: u64,
    id: u64,
    commands: usize,
}

/// What it keeps in its memory while it leads.
struct Leading {
    term: u64,
    expiry_tracker: ExpiryTracker,
    acquire_backoff: AcquireBackoff,
}

struct Batch {
    term: u64,
    asked: Micros,
    asks: Vec<Waiting>,
}

/// One keeper.
pub struct Replica {
    settings: ReplicaSettings,
    voters: Vec<ReplicaId>,
    node: RawNode<Log>,
    lease_table: LeaseTable,
    applied: u64,
    leading: Option<Leading>,
    /// Asks since the last entry.
    gathered: VecDeque<(Micros, ClientRequest)>,
    /// By index of the entry.
    batches: BTreeMap<u64, Batch>,
    /// The entry that expires what has run out, while it is not agreed on.
    expiring: Option<u64>,
    ready: Option<Ready>,
    compacted: Option<Snapshot>,
    out: Vec<ReplicaAction>,
}

/// Asks that wait for their entry, or for agreement, at the most; more are told `Busy`.
const MAX_PENDING_REQUESTS: usize = 8_192;
/// Commands in one entry at the most.
const MAX_COMMANDS_PER_ENTRY: usize = 4_096;

impl Replica {
    /// A keeper with what it found on its disk; nothing, if it was founded just now.
    pub fn new(settings: ReplicaSettings, kept: PersistedState) -> Result<Replica, ReplicaError> {
        kept.check().map_err(ReplicaError::Folder)?;
        let voters: Vec<ReplicaId> = (1..=settings.keepers).collect();
        let election = ticks(settings.election, settings.tick).max(5);
        // An election time of its own for each keeper, without chance: the engine draws between the least and the most.
        let own = election + (settings.me as usize - 1) * (election / 4).max(1);
        let mut config = Config::new(settings.me);
        config.election_tick = election;
        config.heartbeat_tick = (election / 5).max(1);
        config.min_election_tick = own;
        config.max_election_tick = own + 1;
        config.check_quorum = true;
        config.pre_vote = true;
        config.max_size_per_msg = 256 * 1024;
        config.max_inflight_msgs = 64;
        config.max_uncommitted_size = 4 << 20;
        let mut lease_table = LeaseTable::with_tokens_from(settings.tokens_from);
        if let Some(snapshot) = &kept.snapshot {
            config.applied = snapshot.index;
            lease_table = read("snapshot", snapshot.index, &snapshot.lease_table)?;
        }
        let applied = config.applied;
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, Log::new(&voters, kept), &quiet).map_err(engine)?;
        Ok(Replica {
            settings,
            voters,
            node,
            lease_table,
            applied,
            leading: None,
            gathered: VecDeque::new(),
            batches: BTreeMap::new(),
            expiring: None,
            ready: None,
            compacted: None,
            out: Vec::new(),
        })
    }

    /// Every [`ReplicaSettings::tick`]: the engine counts, and leases that have run out are proposed to be ended.
    pub fn tick(&mut self, now: Micros) {
        self.node.tick();
        let Some(leading) = &self.leading else { return };
        if self.expiring.is_some() {
            return;
        }
        let over = leading.expiry_tracker.expired(now);
        if over.is_empty() {
            return;
        }
        self.expiring = self.propose(now, &over[..over.len().min(MAX_COMMANDS_PER_ENTRY)], Vec::new());
    }

    /// A letter of another keeper. One that is not for this keeper, or not of another, changes nothing.
    pub fn step(&mut self, letter: PeerMessage) -> Result<(), ReplicaError> {
        let (me, from) = (self.settings.me, letter.from);
        if letter.to != me || from == me || !self.voters.contains(&from) {
            return Ok(());
        }
        let last = self.node.raft.raft_log.last_index();
        // What a leader of long ago says late tells nothing about what was agreed on since.
        let current = letter.term() >= self.node.raft.term;
        // The engine ends the process on these two, as it may not go on; here they are told.
        if let Some(presumed) = letter.presumes().filter(|presumed| current && *presumed > last) {
            return Err(ReplicaError::Entries { leader: from, presumed, last });
        }
        let Some(message) = letter.message(&self.voters) else { return Ok(()) };
        let committed = self.node.raft.raft_log.committed;
        let in_order =
            message.get_entries().iter().zip(message.index + 1..).all(|(entry, index)| entry.index == index);
        let acknowledges_more =
            message.get_msg_type() == eraftpb::MessageType::MsgAppendResponse && message.index > last;
        if !in_order || acknowledges_more && !message.reject {
            return Ok(());
        }
        for entry in message.get_entries().iter().take_while(|entry| current && entry.index <= committed) {
            if self.node.raft.raft_log.term(entry.index).is_ok_and(|term| term != 0 && term != entry.term) {
                return Err(ReplicaError::Differs { index: entry.index, leader: from });
            }
        }
        // Stale terms and the like are the engine's to ignore.
        let _ = self.node.step(message);
        Ok(())
    }

    /// Another keeper cannot be reached: the engine sends it less.
    pub fn report_unreachable(&mut self, keeper: ReplicaId) {
        self.node.report_unreachable(keeper);
        self.node.report_snapshot(keeper, raft::SnapshotStatus::Failure);
    }

    /// A snapshot went out to another keeper.
    pub fn report_snapshot_sent(&mut self, keeper: ReplicaId) {
        self.node.report_snapshot(keeper, raft::SnapshotStatus::Finish);
    }

    /// Somebody asks.
    pub fn request(&mut self, now: Micros, ask: ClientRequest) {
        let waiting =
            self.gathered.len() + self.batches.values().map(|batch| batch.asks.len()).sum::<usize>();
        if self.leading.is_none() {
            let told = Response::NotLeader(self.leader());
            self.out.push(ReplicaAction::Respond { to: ask.from, id: ask.id, told });
        } else if waiting >= MAX_PENDING_REQUESTS || ask.commands.len() > MAX_COMMANDS_PER_ENTRY {
            self.out.push(ReplicaAction::Respond { to: ask.from, id: ask.id, told: Response::Overloaded });
        } else {
            self.gathered.push_back((now, ask));
        }
    }

    /// It is about to stop: another, the one that knows most, is asked to lead.
    pub fn transfer_leadership(&mut self) {
        if self.node.raft.state != StateRole::Leader {
            return;
        }
        let me = self.settings.me;
        let others = self.node.raft.prs().iter().filter(|(id, _)| **id != me);
        if let Some((next, _)) =
            others.max_by_key(|(id, progress)| (progress.matched, std::cmp::Reverse(**id)))
        {
            let next = *next;
            self.node.transfer_leader(next);
        }
    }

    /// Who leads, as far as this keeper knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        Some(self.node.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.leading.is_some()
    }

    /// The term it has come to.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// What has to be on disk next, if there is anything to do. [`Replica::written`] follows, and nothing else before it.
    pub fn ready(&mut self, now: Micros) -> Option<ReplicaWrite> {
        self.propose_gathered(now);
        if !self.node.has_ready() && self.compacted.is_none() && self.out.is_empty() {
            return None;
        }
        let mut write = ReplicaWrite { snapshot: self.compacted.take(), ..ReplicaWrite::default() };
        if self.node.has_ready() {
            let ready = self.node.ready();
            write.state = ready.hs().map(|state| state.clone().into());
            if !ready.snapshot().is_empty() {
                let snapshot = Snapshot::from(ready.snapshot().clone());
                write.drop_from = Some(snapshot.index + 1);
                write.snapshot = Some(snapshot);
            }
            write.entries = ready.entries().iter().cloned().map(Entry::from).collect();
            write.drop_from = write.entries.first().map(|entry| entry.index).or(write.drop_from);
            self.ready = Some(ready);
        }
        Some(write)
    }

    /// What [`Replica::work`] named, given back here, is on disk: what follows from it.
    pub fn advance(&mut self, now: Micros, write: ReplicaWrite) -> Result<Vec<ReplicaAction>, ReplicaError> {
        if let Some(mut ready) = self.ready.take() {
            let log = self.node.mut_store();
            if !ready.snapshot().is_empty()
                && let Some(snapshot) = write.snapshot
            {
                self.lease_table = read("snapshot", snapshot.index, &snapshot.lease_table)?;
                self.applied = snapshot.index;
                log.restore(snapshot);
            }
            log.append(write.entries);
            if let Some(state) = write.state {
                log.set_state(state);
            }
            self.send(ready.take_messages());
            self.send(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.follow_role(now);
            self.apply(now, committed)?;
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().commit(commit);
            }
            self.send(light.take_messages());
            let committed = light.take_committed_entries();
            self.apply(now, committed)?;
            self.node.advance_apply();
        }
        self.follow_role(now);
        self.compact();
        Ok(std::mem::take(&mut self.out))
    }

    /// Takes the lead up, or lets it go.
    fn follow_role(&mut self, now: Micros) {
        let term = self.node.raft.term;
        let leads = self.node.raft.state == StateRole::Leader;
        if leads && self.leading.as_ref().is_none_or(|leading| leading.term != term) {
            self.let_go();
            self.lease_table.leadership_acquired(&self.settings.parameters);
            let parameters = self.settings.parameters;
            let expiry_tracker = ExpiryTracker::new(parameters, now, &self.lease_table);
            self.leading =
                Some(Leading { term, expiry_tracker, acquire_backoff: AcquireBackoff::new(parameters) });
        } else if !leads && self.leading.is_some() {
            self.let_go();
        }
    }

    /// It leads no more: whoever waits is told so.
    fn let_go(&mut self) {
        self.leading = None;
        self.expiring = None;
        let leader = self.leader().filter(|leader| *leader != self.settings.me);
        let gathered = self.gathered.drain(..).map(|(_, ask)| (ask.from, ask.id));
        let batches = std::mem::take(&mut self.batches);
        let proposed = batches.into_values().flat_map(|batch| batch.asks).map(|ask| (ask.from, ask.id));
        for (to, id) in gathered.chain(proposed) {
            self.out.push(ReplicaAction::Respond { to, id, told: Response::NotLeader(leader) });
        }
    }

    fn propose_gathered(&mut self, now: Micros) {
        while !self.gathered.is_empty() {
            let (mut commands, mut asks, mut since) = (Vec::new(), Vec::new(), now);
            while let Some((asked, ask)) = self.gathered.front() {
                if !asks.is_empty() && commands.len() + ask.commands.len() > MAX_COMMANDS_PER_ENTRY {
                    break;
                }
                since = since.min(*asked);
                asks.push(Waiting { from: ask.from, id: ask.id, commands: ask.commands.len() });
                commands.extend(ask.commands.iter().cloned());
                self.gathered.pop_front();
            }
            self.propose(since, &commands, asks);
        }
    }

    /// Puts an entry on the log, and tells those who asked for it if the engine takes none now.
    fn propose(&mut self, asked: Micros, commands: &[Command], asks: Vec<Waiting>) -> Option<u64> {
        let data = postcard::to_stdvec(commands).ok();
        let taken = data.is_some_and(|data| self.node.propose(Vec::new(), data).is_ok());
        if !taken {
            let busy = asks.into_iter().map(|ask| ReplicaAction::Respond {
                to: ask.from,
                id: ask.id,
                told: Response::Overloaded,
            });
            self.out.extend(busy);
            return None;
        }
        let index = self.node.raft.raft_log.last_index();
        self.batches.insert(index, Batch { term: self.node.raft.term, asked, asks });
        Some(index)
    }

    fn apply(&mut self, now: Micros, entries: Vec<eraftpb::Entry>) -> Result<(), ReplicaError> {
        for entry in entries {
            let (mut answers, mut commands) = (Vec::new(), Vec::new());
            if !entry.data.is_empty() {
                commands = read::<Vec<Command>>("entry", entry.index, &entry.data)?;
                for command in &commands {
                    let answer = self.lease_table.apply(&self.settings.parameters, command);
                    let retry_after = match (&mut self.leading, command, answer) {
                        (
                            Some(leading),
                            Command::Acquire { task, .. },
                            Answer::Rejected(Rejection::SlotsTaken),
                        ) => leading.acquire_backoff.retry_after(now, task),
                        _ => 0,
                    };
                    answers.push(CommandResult { answer, retry_after });
                }
            }
            self.applied = entry.index;
            if self.expiring == Some(entry.index) {
                self.expiring = None;
            }
            let batch = self.batches.remove(&entry.index);
            let asked = batch.as_ref().map_or(now, |batch| batch.asked);
            if let Some(leading) = &mut self.leading {
                leading.expiry_tracker.commands_applied(asked, now, &self.lease_table, &commands);
            }
            if let Some(batch) = batch {
                self.answer(now, entry.term, batch, answers);
            }
        }
        Ok(())
    }

    fn answer(&mut self, now: Micros, term: u64, batch: Batch, answers: Vec<CommandResult>) {
        let mut answers = answers.into_iter();
        for ask in batch.asks {
            let told = match ask.commands {
                // Another leader's entry came to stand in this place.
                _ if batch.term != term => Response::NotLeader(self.leader()),
                0 => Response::Leases(self.view(now)),
                many => Response::Results(answers.by_ref().take(many).collect()),
            };
            self.out.push(ReplicaAction::Respond { to: ask.from, id: ask.id, told });
        }
    }

    /// All leases, with what this leader counts for each.
    fn view(&self, now: Micros) -> Vec<LeaseView> {
        let leases = self.lease_table.leases().map(|(task, lease)| {
            let counted = self
                .leading
                .as_ref()
                .and_then(|leading| leading.expiry_tracker.lease_times(task, lease.token));
            let (known, until) = counted.map_or((now, now), |times| (times.known_since, times.expires_at));
            LeaseView {
                task: task.to_owned(),
                holder: lease.holder.clone(),
                token: lease.token,
                renewals: lease.renewals,
                age: now.saturating_sub(known),
                left: until.saturating_sub(now),
                revoked: lease.revoked,
            }
        });
        leases.collect()
    }

    fn compact(&mut self) {
        let since = self.node.store().snapshot_index();
        if self.applied < since + self.settings.compact_after || self.compacted.is_some() {
            return;
        }
        let term = self.node.store().term(self.applied);
        if let (Ok(lease_table), Ok(term)) = (postcard::to_stdvec(&self.lease_table), term) {
            let snapshot = Snapshot { index: self.applied, term, lease_table };
            self.node.mut_store().compact(snapshot.clone());
            self.compacted = Some(snapshot);
        }
    }

    fn send(&mut self, messages: Vec<eraftpb::Message>) {
        self.out.extend(messages.into_iter().map(|message| ReplicaAction::Send(message.into())));
    }

    /// The entries that it holds in memory from this one on, for tests that compare keepers.
    pub fn log_entries_from(&self, index: u64) -> Vec<Entry> {
        self.node.store().from(index)
    }
}

fn read<T: for<'a> Deserialize<'a>>(what: &'static str, index: u64, bytes: &[u8]) -> Result<T, ReplicaError> {
    postcard::from_bytes(bytes).map_err(|_| ReplicaError::Unreadable { what, index })
}

fn engine(why: raft::Error) -> ReplicaError {
    ReplicaError::Engine(why.to_string())
}
