//! The lease server's database: a file written by the previous version is opened, read value by value and
//! extended.

use std::path::{Path, PathBuf};

use honeyknot_lease_consensus::{Replica, ReplicaSettings, ReplicaWrite};
use honeyknot_relay::lease_server::storage::{DatabaseContent, DatabaseOwner, LeaseDatabase};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

use super::fixture::{decode_hex, encode, path, read_all, read_one};
use super::lease_table::{
    TOKENS_FROM, hard_state, lease_parameters, log_entry, recorded_commands, renew, replica_snapshot,
};

/// The recorded database. Each row has an offset, a length, and the bytes that are repeated up to that
/// length; all other bytes are zero.
const DATABASE: &str = "lease_database.txt";
/// The raw values in the tables of the recorded database.
const VALUES: &str = "lease_database_values.txt";
const FILE_NAME: &str = "keeper.redb";
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
const MARKS: TableDefinition<u64, u64> = TableDefinition::new("marks");
const PEER_DATABASE_IDS: [(u64, u64); 2] = [(1, 0x1111_2222_3333_4444), (3, 0x5555_6666_7777_8888)];

pub fn owner() -> DatabaseOwner {
    DatabaseOwner { fleet: "alpha".into(), server_count: 3, server: 2 }
}

/// Returns the writes that produce the recorded database, in order.
pub fn recorded_writes(lease_table: Vec<u8>) -> [ReplicaWrite; 3] {
    let before_compaction = ReplicaWrite {
        hard_state: Some(hard_state(6, 1, 39)),
        snapshot: None,
        truncate_from: Some(39),
        entries: vec![log_entry(39, 6, &[]), log_entry(40, 6, &recorded_commands())],
    };
    let compaction =
        ReplicaWrite { snapshot: Some(replica_snapshot(40, 6, lease_table)), ..ReplicaWrite::default() };
    let after_compaction = ReplicaWrite {
        hard_state: Some(hard_state(8, 3, 41)),
        snapshot: None,
        truncate_from: Some(41),
        entries: vec![log_entry(41, 8, &[]), log_entry(42, 8, &[renew("sweep", 70_001, 1)])],
    };
    [before_compaction, compaction, after_compaction]
}

/// A temporary directory, removed when dropped.
pub struct TemporaryDirectory(pub PathBuf);

impl TemporaryDirectory {
    pub fn new(name: &str) -> TemporaryDirectory {
        let name = format!("honeyknot-compatibility-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the directory is created");
        TemporaryDirectory(folder)
    }

    fn with_recorded_database(name: &str) -> TemporaryDirectory {
        let folder = TemporaryDirectory::new(name);
        std::fs::write(folder.0.join(FILE_NAME), recorded_database()).expect("the file is written");
        folder
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the bytes of the recorded database file.
fn recorded_database() -> Vec<u8> {
    let text = std::fs::read_to_string(path(DATABASE)).expect("the fixture file is readable");
    let mut lines = text.lines().filter(|line| !line.starts_with('#'));
    let length = lines
        .next()
        .and_then(|line| line.strip_prefix("length "))
        .expect("the first line is the file's length");
    let mut bytes = vec![0; length.parse().expect("the length is a number")];
    for line in lines {
        let [offset, length, hex] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("a row has three columns")
        };
        let (offset, length): (usize, usize) = (
            offset.parse().expect("the offset is a number"),
            length.parse().expect("the length is a number"),
        );
        let row = decode_hex(hex).into_iter().cycle().take(length);
        bytes.splice(offset..offset + length, row);
    }
    bytes
}

/// Returns every value in the tables of a database, labeled by table and key.
pub fn raw_values(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let database = Database::open(folder.join(FILE_NAME)).expect("the database opens");
    let transaction = database.begin_read().expect("a read transaction");
    let mut values = Vec::new();
    for row in transaction.open_table(KEPT).expect("the table exists").iter().expect("the table is readable")
    {
        let (key, value) = row.expect("the row is readable");
        values.push((format!("kept/{}", key.value()), value.value().to_vec()));
    }
    for row in transaction.open_table(LOG).expect("the table exists").iter().expect("the table is readable") {
        let (key, value) = row.expect("the row is readable");
        values.push((format!("log/{}", key.value()), value.value().to_vec()));
    }
    for row in transaction.open_table(MARKS).expect("the table exists").iter().expect("the table is readable")
    {
        let (key, value) = row.expect("the row is readable");
        values.push((format!("marks/{}", key.value()), value.value().to_le_bytes().to_vec()));
    }
    values
}

/// Creates a database and applies the writes that produced the recorded one.
pub fn create_recorded_database(folder: &Path) -> DatabaseContent {
    let (database, content) =
        LeaseDatabase::open(folder, owner(), Some(TOKENS_FROM)).expect("the database is created");
    for write in recorded_writes(read_one("lease_table.txt", "table")) {
        database.write(&write).expect("the write succeeds");
    }
    for (replica, database_id) in PEER_DATABASE_IDS {
        database.remember_peer(replica, database_id).expect("the id is stored");
    }
    content
}

fn open_recorded(folder: &TemporaryDirectory) -> (LeaseDatabase, DatabaseContent) {
    LeaseDatabase::open(&folder.0, owner(), None).expect("the recorded database opens")
}

#[test]
fn a_database_of_the_previous_version_opens_with_its_recorded_content() {
    let folder = TemporaryDirectory::with_recorded_database("content");
    let (_database, content) = open_recorded(&folder);
    assert_eq!(content.state.hard_state, hard_state(8, 3, 41));
    assert_eq!(content.state.snapshot, Some(replica_snapshot(40, 6, read_one("lease_table.txt", "table"))));
    let entries = vec![log_entry(41, 8, &[]), log_entry(42, 8, &[renew("sweep", 70_001, 1)])];
    assert_eq!(content.state.entries, entries);
    assert_eq!(content.tokens_from, TOKENS_FROM);
    assert_eq!(content.peer_database_ids.into_iter().collect::<Vec<_>>(), PEER_DATABASE_IDS);
}

#[test]
fn a_database_of_the_previous_version_holds_the_recorded_values() {
    let folder = TemporaryDirectory::with_recorded_database("values");
    assert_eq!(raw_values(&folder.0), read_all(VALUES));
}

#[test]
fn each_value_read_from_a_database_of_the_previous_version_is_written_unchanged() {
    let folder = TemporaryDirectory::with_recorded_database("encoded");
    let (_database, content) = open_recorded(&folder);
    let database_id = content.database_id;
    assert_eq!(encode(&(owner(), TOKENS_FROM, database_id)), read_one(VALUES, "kept/founded"));
    assert_eq!(encode(&content.state.hard_state), read_one(VALUES, "kept/state"));
    assert_eq!(
        encode(&content.state.snapshot.expect("the database has a snapshot")),
        read_one(VALUES, "kept/snapshot")
    );
    for entry in &content.state.entries {
        assert_eq!(encode(entry), read_one(VALUES, &format!("log/{}", entry.index)));
    }
}

#[test]
fn a_new_database_holds_the_recorded_values_after_the_recorded_writes() {
    let folder = TemporaryDirectory::new("anew");
    let content = create_recorded_database(&folder.0);
    let mut expected = read_all(VALUES);
    let (_, owner_value) =
        expected.iter_mut().find(|(label, _)| label == "kept/founded").expect("the fixture has the owner");
    // Each database gets a random id.
    *owner_value = encode(&(owner(), TOKENS_FROM, content.database_id));
    assert_eq!(raw_values(&folder.0), expected);
}

#[test]
fn a_database_of_the_previous_version_accepts_further_entries() {
    let folder = TemporaryDirectory::with_recorded_database("written-on");
    let (database, _) = open_recorded(&folder);
    let entry = log_entry(43, 8, &[renew("sweep", 70_001, 2)]);
    let write = ReplicaWrite { entries: vec![entry.clone()], ..ReplicaWrite::default() };
    database.write(&write).expect("the write succeeds");
    drop(database);
    let mut expected = read_all(VALUES);
    let after_last_entry =
        expected.iter().position(|(label, _)| label == "log/42").expect("the fixture has the entry") + 1;
    expected.insert(after_last_entry, ("log/43".into(), encode(&entry)));
    assert_eq!(raw_values(&folder.0), expected);
}

#[test]
fn a_replica_starts_from_a_database_of_the_previous_version_at_its_term() {
    let folder = TemporaryDirectory::with_recorded_database("replica");
    let (_database, content) = open_recorded(&folder);
    let settings = ReplicaSettings {
        parameters: lease_parameters(),
        id: 2,
        replica_count: 3,
        tick_interval: 50_000,
        election_timeout: 1_000_000,
        compact_after: 4_096,
        tokens_from: content.tokens_from,
    };
    let replica = Replica::new(settings, content.state).expect("the database content is valid");
    assert_eq!(replica.term(), 8);
    let indices: Vec<u64> = replica.log_entries_from(0).iter().map(|entry| entry.index).collect();
    assert_eq!(indices, [41, 42]);
}
