//! Checks messages from other replicas before they reach the engine, which panics on some that contradict its
//! log.

use raft::eraftpb::{Message, MessageType};

use super::Replica;
use crate::{PeerMessage, ReplicaError, ReplicaId};

impl Replica {
    /// Checks a message and converts it to the engine's type. Returns `None` if it must be ignored.
    pub(super) fn check_message(&self, message: PeerMessage) -> Result<Option<Message>, ReplicaError> {
        let (own_id, sender) = (self.settings.id, message.from);
        if message.to != own_id || sender == own_id || !self.voters.contains(&sender) {
            return Ok(None);
        }
        let last_index = self.node.raft.raft_log.last_index();
        // A late message of an earlier term does not reflect what was committed since.
        let is_current_term = message.term() >= self.node.raft.term;
        let heartbeat_commit = message.heartbeat_commit().filter(|commit| *commit > last_index);
        if let Some(expected) = heartbeat_commit.filter(|_| is_current_term) {
            return Err(ReplicaError::MissingEntries { leader: sender, expected, last: last_index });
        }
        let Some(message) = message.into_raft(&self.voters) else { return Ok(None) };
        if !entries_are_consecutive(&message) || acknowledges_beyond(&message, last_index) {
            return Ok(None);
        }
        if is_current_term {
            self.check_committed_entries(&message, sender)?;
        }
        Ok(Some(message))
    }

    /// Checks that a leader's entries have the same terms as the entries that are committed here.
    fn check_committed_entries(&self, message: &Message, leader: ReplicaId) -> Result<(), ReplicaError> {
        let log = &self.node.raft.raft_log;
        for entry in message.get_entries().iter().take_while(|entry| entry.index <= log.committed) {
            if log.term(entry.index).is_ok_and(|term| term != 0 && term != entry.term) {
                return Err(ReplicaError::ConflictingEntry { index: entry.index, leader });
            }
        }
        Ok(())
    }
}

fn entries_are_consecutive(message: &Message) -> bool {
    message.get_entries().iter().zip(message.index + 1..).all(|(entry, index)| entry.index == index)
}

/// Whether a message acknowledges entries that this replica never sent.
fn acknowledges_beyond(message: &Message, last_index: u64) -> bool {
    let is_acknowledgement = message.get_msg_type() == MessageType::MsgAppendResponse && !message.reject;
    is_acknowledgement && message.index > last_index
}
