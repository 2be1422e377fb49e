//! Configuration of the raft engine.

use raft::Config;

use crate::ReplicaSettings;

const MIN_ELECTION_TICKS: usize = 5;
const HEARTBEATS_PER_ELECTION: usize = 5;
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// Returns the engine's configuration. Each replica has a fixed election timeout that depends on its number
/// instead of a random one, so that the same events give the same actions.
pub(super) fn raft_config(settings: &ReplicaSettings) -> Config {
    let election_ticks = settings.ticks(settings.election_timeout).max(MIN_ELECTION_TICKS);
    let stagger = (election_ticks / 4).max(1);
    let own_election_ticks = election_ticks + (settings.id as usize - 1) * stagger;
    let mut config = Config::new(settings.id);
    config.election_tick = election_ticks;
    config.heartbeat_tick = (election_ticks / HEARTBEATS_PER_ELECTION).max(1);
    config.min_election_tick = own_election_ticks;
    config.max_election_tick = own_election_ticks + 1;
    config.check_quorum = true;
    config.pre_vote = true;
    config.max_size_per_msg = MAX_MESSAGE_BYTES;
    config.max_inflight_msgs = MAX_MESSAGES_IN_FLIGHT;
    config.max_uncommitted_size = MAX_UNCOMMITTED_BYTES;
    config
}
