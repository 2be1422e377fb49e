//! Tables, keys and values of the database. The names and the order of fields are the stored format.

use honeyknot_lease_consensus::ReplicaId;
use redb::{ReadableTable, Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::BoxedError;

/// File name of the database in the server's folder.
pub(super) const FILE_NAME: &str = "keeper.redb";
/// Extension of the database's file while it is created.
pub(super) const BOOTSTRAP_EXTENSION: &str = "founding";

/// Entries by index.
pub(super) const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Header, hard state and snapshot.
pub(super) const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
/// Database ids of the other servers.
pub(super) const PEERS: TableDefinition<u64, u64> = TableDefinition::new("marks");

pub(super) const HEADER_KEY: &str = "founded";
pub(super) const HARD_STATE_KEY: &str = "state";
pub(super) const SNAPSHOT_KEY: &str = "snapshot";

/// The server that a database belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseOwner {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of its lease servers.
    pub server_count: u64,
    /// Number of the server.
    pub server: ReplicaId,
}

/// The header of the database, written once when it is created.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct DatabaseHeader {
    pub(super) owner: DatabaseOwner,
    pub(super) tokens_from: u64,
    pub(super) database_id: u64,
}

/// The tables of a write transaction.
pub(super) struct Tables<'transaction> {
    pub(super) log: Table<'transaction, u64, &'static [u8]>,
    pub(super) state: Table<'transaction, &'static str, &'static [u8]>,
    pub(super) peers: Table<'transaction, u64, u64>,
}

impl Tables<'_> {
    pub(super) fn put(&mut self, key: &str, value: &impl Serialize) -> Result<(), BoxedError> {
        let bytes = postcard::to_stdvec(value)?;
        self.state.insert(key, &bytes[..])?;
        Ok(())
    }
}

pub(super) fn read<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>, key: &str,
) -> Result<Option<T>, BoxedError> {
    let Some(bytes) = table.get(key)? else { return Ok(None) };
    Ok(Some(postcard::from_bytes(bytes.value())?))
}
