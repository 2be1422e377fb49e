//! Commands in log entries, and the snapshot of the lease table.

use honeyknot_lease::{Command, CommandOutcome, FencingToken, LeaseParameters, LeaseTable};
use honeyknot_lease_consensus::{Entry, HardState, PersistedState, Snapshot};

use super::fixture::{assert_labels, decode, encode, read_all, read_one};

const COMMANDS: &str = "lease_commands.txt";
const TABLE: &str = "lease_table.txt";
/// Fencing tokens of the recorded table are greater than this.
pub const TOKENS_FROM: u64 = 70_000;
const LEASE_DURATION_MICROS: u64 = 10_000_000;

pub fn lease_parameters() -> LeaseParameters {
    LeaseParameters::new(LEASE_DURATION_MICROS)
}

pub fn fencing_token(number: u64) -> FencingToken {
    FencingToken(number)
}

pub fn acquire(task: &str, slots: u32, holder: &str, nonce: u64, unanswered: u32) -> Command {
    let (task, holder) = (task.to_owned(), holder.to_owned());
    Command::Acquire { task, slots, holder, nonce, unanswered }
}

pub fn renew(task: &str, token: u64, unanswered: u32) -> Command {
    Command::Renew { task: task.to_owned(), token: fencing_token(token), unanswered }
}

pub fn release(task: &str, token: u64) -> Command {
    Command::Release { task: task.to_owned(), token: fencing_token(token) }
}

pub fn revoke(task: &str, token: u64) -> Command {
    Command::Revoke { task: task.to_owned(), token: fencing_token(token) }
}

pub fn expire(task: &str, token: u64, renewals: u64) -> Command {
    Command::Expire { task: task.to_owned(), token: fencing_token(token), renewals }
}

pub fn log_entry(index: u64, term: u64, commands: &[Command]) -> Entry {
    let data = if commands.is_empty() { Vec::new() } else { encode(&commands) };
    Entry { index, term, data }
}

pub fn replica_snapshot(index: u64, term: u64, table: Vec<u8>) -> Snapshot {
    Snapshot { index, term, lease_table: table }
}

pub fn hard_state(term: u64, vote: u64, commit: u64) -> HardState {
    HardState { term, vote, commit }
}

pub fn persisted_state(
    hard_state: HardState, snapshot: Option<Snapshot>, entries: Vec<Entry>,
) -> PersistedState {
    PersistedState { hard_state, snapshot, entries }
}

/// Returns a command of each variant, with a different value in each field.
pub fn command_variants() -> [(&'static str, Command); 5] {
    [
        ("acquire", acquire("sweep", 2, "relay-a", 901, 3)),
        ("renew", renew("sweep", 70_001, 4)),
        ("release", release("rebuild", 70_002)),
        ("revoke", revoke("sweep", 70_003)),
        ("expire", expire("audit", 70_004, 300)),
    ]
}

/// Returns the commands that produce the recorded table.
pub fn recorded_commands() -> Vec<Command> {
    vec![
        acquire("sweep", 2, "relay-a", 901, 0),
        acquire("sweep", 2, "relay-b", 902, 0),
        acquire("rebuild", 1, "relay-a", 903, 0),
        acquire("audit", 1, "relay-c", 904, 0),
        renew("sweep", 70_001, 0),
        renew("sweep", 70_001, 0),
        revoke("sweep", 70_002),
        release("rebuild", 70_001),
        expire("audit", 70_001, 0),
    ]
}

fn empty_table() -> LeaseTable {
    LeaseTable::with_tokens_from(TOKENS_FROM)
}

fn apply_all(table: &mut LeaseTable, commands: &[Command]) {
    for command in commands {
        table.apply(&lease_parameters(), command);
    }
}

/// Returns the task, holder, nonce, token and number of renewals of each lease, and whether it is revoked.
fn leases(table: &LeaseTable) -> Vec<(&str, &str, u64, u64, u64, bool)> {
    let rows = table.leases().map(|(task, lease)| {
        (task, lease.holder.as_str(), lease.nonce, lease.token.0, lease.renewals, lease.revoked)
    });
    rows.collect()
}

#[test]
fn a_lease_command_from_the_previous_version_is_read_and_written_unchanged() {
    assert_labels(COMMANDS, command_variants().iter().map(|(label, _)| *label));
    for (label, command) in command_variants() {
        let bytes = read_one(COMMANDS, label);
        assert_eq!(decode::<Command>(&bytes), command, "{label} is read");
        assert_eq!(encode(&command), bytes, "{label} is written");
    }
}

#[test]
fn a_log_entry_from_the_previous_version_is_read_and_written_unchanged() {
    let bytes = read_one(TABLE, "entry");
    let entry: Entry = decode(&bytes);
    assert_eq!((entry.index, entry.term), (41, 7));
    assert_eq!(decode::<Vec<Command>>(&entry.data), recorded_commands());
    assert_eq!(encode(&log_entry(41, 7, &recorded_commands())), bytes);

    let bytes = read_one(TABLE, "entry_without_commands");
    assert_eq!(decode::<Entry>(&bytes), log_entry(42, 8, &[]));
    assert_eq!(encode(&log_entry(42, 8, &[])), bytes);
}

#[test]
fn a_hard_state_from_the_previous_version_is_read_and_written_unchanged() {
    let bytes = read_one(TABLE, "hard_state");
    assert_eq!(decode::<HardState>(&bytes), hard_state(8, 3, 300));
    assert_eq!(encode(&hard_state(8, 3, 300)), bytes);
}

#[test]
fn a_lease_table_snapshot_from_the_previous_version_is_read_and_written_unchanged() {
    let bytes = read_one(TABLE, "snapshot");
    let snapshot: Snapshot = decode(&bytes);
    let table_bytes = read_one(TABLE, "table");
    assert_eq!(snapshot, replica_snapshot(40, 6, table_bytes.clone()));
    assert_eq!(encode(&snapshot), bytes);

    let table: LeaseTable = decode(&table_bytes);
    let expected = [("sweep", "relay-a", 901, 70_001, 2, false), ("sweep", "relay-b", 902, 70_002, 0, true)];
    assert_eq!(leases(&table), expected);
    assert_eq!(encode(&table), table_bytes);
}

#[test]
fn the_recorded_commands_produce_the_recorded_lease_table() {
    let entry: Entry = decode(&read_one(TABLE, "entry"));
    let mut table = empty_table();
    apply_all(&mut table, &decode::<Vec<Command>>(&entry.data));
    assert_eq!(encode(&table), read_one(TABLE, "table"));
}

#[test]
fn a_recorded_lease_table_gives_the_next_fencing_token_of_each_task() {
    let mut table: LeaseTable = decode(&read_one(TABLE, "table"));
    for (task, next) in [("audit", 70_002), ("rebuild", 70_002), ("sweep", 70_003), ("new", 70_001)] {
        let outcome = table.apply(&lease_parameters(), &acquire(task, 3, "relay-d", 905, 0));
        assert_eq!(outcome, CommandOutcome::Held(fencing_token(next)), "{task}");
    }
}

#[test]
fn all_recorded_table_fixtures_are_covered() {
    assert_labels(TABLE, ["table", "snapshot", "entry", "entry_without_commands", "hard_state"]);
    assert!(read_all(TABLE).iter().all(|(_, bytes)| !bytes.is_empty()));
}
