//! The storage of a lease server: one `redb` file in its folder, written in atomic and durable transactions.
//! A folder belongs to one server and is open in one process at a time.

mod bootstrap;
mod error;
mod format;

use std::collections::BTreeMap;
use std::path::Path;

use honeyknot_lease_consensus::{HardState, PersistedState, ReplicaId, ReplicaWrite};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable};

use format::{
    DatabaseHeader, FILE_NAME, HARD_STATE_KEY, HEADER_KEY, LOG, PEERS, SNAPSHOT_KEY, STATE, Tables, read,
};

pub use error::StorageError;
pub use format::DatabaseOwner;

type BoxedError = Box<dyn std::error::Error + Send + Sync>;

/// The content of a database when it is opened.
#[derive(Debug)]
pub struct DatabaseContent {
    /// State of the replica.
    pub state: PersistedState,
    /// Fencing tokens of the fleet are greater than this.
    pub tokens_from: u64,
    /// Random id of this database.
    pub database_id: u64,
    /// Database id that each of the other servers presented when it first connected.
    pub peer_database_ids: BTreeMap<ReplicaId, u64>,
}

/// An open database.
#[derive(Debug)]
pub struct LeaseDatabase {
    database: Database,
    path: String,
}

impl LeaseDatabase {
    /// Opens the database in a folder. If `bootstrap_tokens_from` is given, creates the database first, for
    /// fencing tokens greater than that value. Without it, a missing database is an error, because an empty
    /// replica would vote as if it had never voted.
    ///
    /// # Errors
    /// The database is missing, exists although its creation is requested, belongs to another server, is in
    /// use, or cannot be read.
    pub fn open(
        folder: &Path, owner: DatabaseOwner, bootstrap_tokens_from: Option<u64>,
    ) -> Result<(LeaseDatabase, DatabaseContent), StorageError> {
        let file = folder.join(FILE_NAME);
        let path = file.display().to_string();
        let exists = file.try_exists().map_err(|source| StorageError::io(&path, source))?;
        match bootstrap_tokens_from {
            None if !exists => return Err(StorageError::Missing { path }),
            Some(_) if exists => return Err(StorageError::AlreadyExists { path }),
            Some(tokens_from) => bootstrap::create(folder, &file, &owner, tokens_from)?,
            None => {}
        }
        let database = Database::open(&file).map_err(|source| open_error(&path, source))?;
        let database = LeaseDatabase { database, path };
        let content = database.load(&owner)?;
        Ok((database, content))
    }

    fn load(&self, owner: &DatabaseOwner) -> Result<DatabaseContent, StorageError> {
        let header = self.read_header().map_err(|source| self.access_error(source))?;
        let header = header.ok_or_else(|| StorageError::IncompleteBootstrap { path: self.path.clone() })?;
        if header.owner != *owner {
            return Err(StorageError::WrongOwner {
                path: self.path.clone(),
                found: header.owner,
                expected: owner.clone(),
            });
        }
        self.read_content(&header).map_err(|source| self.access_error(source))
    }

    fn read_header(&self) -> Result<Option<DatabaseHeader>, BoxedError> {
        read(&self.database.begin_read()?.open_table(STATE)?, HEADER_KEY)
    }

    fn read_content(&self, header: &DatabaseHeader) -> Result<DatabaseContent, BoxedError> {
        let transaction = self.database.begin_read()?;
        let mut entries = Vec::new();
        for row in transaction.open_table(LOG)?.iter()? {
            entries.push(postcard::from_bytes(row?.1.value())?);
        }
        let mut peer_database_ids = BTreeMap::new();
        for row in transaction.open_table(PEERS)?.iter()? {
            let (replica, database_id) = row?;
            peer_database_ids.insert(replica.value(), database_id.value());
        }
        let state_table = transaction.open_table(STATE)?;
        let hard_state: Option<HardState> = read(&state_table, HARD_STATE_KEY)?;
        let state = PersistedState {
            hard_state: hard_state.unwrap_or_default(),
            snapshot: read(&state_table, SNAPSHOT_KEY)?,
            entries,
        };
        let (tokens_from, database_id) = (header.tokens_from, header.database_id);
        Ok(DatabaseContent { state, tokens_from, database_id, peer_database_ids })
    }

    /// Makes a replica's write durable, in one transaction.
    ///
    /// # Errors
    /// The transaction fails, for example on a full disk. Nothing of it is stored then.
    pub fn write(&self, write: &ReplicaWrite) -> Result<(), StorageError> {
        if write.is_empty() {
            return Ok(());
        }
        self.update(|tables| {
            if let Some(hard_state) = &write.hard_state {
                tables.put(HARD_STATE_KEY, hard_state)?;
            }
            if let Some(snapshot) = &write.snapshot {
                tables.put(SNAPSHOT_KEY, snapshot)?;
                tables.log.retain_in(..=snapshot.index, |_, _| false)?;
            }
            if let Some(from) = write.truncate_from {
                tables.log.retain_in(from.., |_, _| false)?;
            }
            for entry in &write.entries {
                let bytes = postcard::to_stdvec(entry)?;
                tables.log.insert(entry.index, &bytes[..])?;
            }
            Ok(())
        })
    }

    /// Stores the database id of another server. If it is stored already, nothing is written, because servers
    /// reconnect often.
    ///
    /// # Errors
    /// The database cannot be read or written.
    pub fn remember_peer(&self, replica: ReplicaId, database_id: u64) -> Result<(), StorageError> {
        let known = self.peer_database_id(replica).map_err(|source| self.access_error(source))?;
        if known == Some(database_id) {
            return Ok(());
        }
        self.update(|tables| {
            tables.peers.insert(replica, database_id)?;
            Ok(())
        })
    }

    fn peer_database_id(&self, replica: ReplicaId) -> Result<Option<u64>, BoxedError> {
        let database_id = self.database.begin_read()?.open_table(PEERS)?.get(replica)?;
        Ok(database_id.map(|database_id| database_id.value()))
    }

    /// Changes tables in one transaction, which is durable when this returns.
    fn update(&self, change: impl FnOnce(&mut Tables) -> Result<(), BoxedError>) -> Result<(), StorageError> {
        self.try_update(change).map_err(|source| self.access_error(source))
    }

    fn try_update(
        &self, change: impl FnOnce(&mut Tables) -> Result<(), BoxedError>,
    ) -> Result<(), BoxedError> {
        let transaction = self.database.begin_write()?;
        {
            let mut tables = Tables {
                log: transaction.open_table(LOG)?,
                state: transaction.open_table(STATE)?,
                peers: transaction.open_table(PEERS)?,
            };
            change(&mut tables)?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn access_error(&self, source: BoxedError) -> StorageError {
        StorageError::Access { path: self.path.clone(), source }
    }
}

fn open_error(path: &str, source: DatabaseError) -> StorageError {
    let path = path.to_owned();
    match source {
        DatabaseError::DatabaseAlreadyOpen => StorageError::InUse { path },
        source => StorageError::Access { path, source: source.into() },
    }
}
