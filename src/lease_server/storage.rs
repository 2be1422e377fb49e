//! A keeper's folder: one `redb` file, written in whole transactions. One folder is one keeper's, and one process's.

use std::collections::BTreeMap;
use std::path::Path;

use honeyknot_lease_consensus::{HardState, PersistedState, ReplicaId, ReplicaWrite};
use rand::TryRngCore;
use rand::rngs::OsRng;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The file in the folder.
const FILE: &str = "keeper.redb";
/// Entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// `state`, `snapshot` and `founded`.
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
/// The marks of the other keepers' folders.
const MARKS: TableDefinition<u64, u64> = TableDefinition::new("marks");

/// Whose folder it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseOwner {
    /// Of which fleet.
    pub fleet: String,
    /// Of how many keepers.
    pub keepers: u64,
    /// Of which.
    pub me: ReplicaId,
}

#[derive(Serialize, Deserialize)]
struct DatabaseHeader {
    founding: DatabaseOwner,
    tokens_from: u64,
    mark: u64,
}

/// What a folder held.
#[derive(Debug)]
pub struct DatabaseContent {
    /// What the engine must not have forgotten.
    pub kept: PersistedState,
    /// Tokens rise from here.
    pub tokens_from: u64,
    /// Drawn when the folder was founded.
    pub mark: u64,
    /// The marks that the other keepers came with.
    pub marks: BTreeMap<ReplicaId, u64>,
}

/// An open folder.
pub struct LeaseDatabase {
    base: Database,
    path: String,
}

impl LeaseDatabase {
    /// Opens a folder, or founds it if told to. An empty folder is not opened without that word: its keeper would vote as if it had
    /// never voted, and what it once agreed to could be unsaid.
    pub fn open(
        folder: &Path, founding: DatabaseOwner, found: Option<u64>,
    ) -> Result<(LeaseDatabase, DatabaseContent), String> {
        let file = folder.join(FILE);
        let path = file.display().to_string();
        let there = file.try_exists().map_err(|why| format!("{path}: {why}"))?;
        match (there, found) {
            (false, None) => {
                return Err(format!(
                    "{path} is not there. If this keeper has never run, found its folder with --found TOKENS_FROM; if it has lost \
                     its disk, it must not vote as if it had not: docs/operate/leases.md says what to do"
                ));
            }
            (true, Some(_)) => return Err(format!("{path} is there already: start without --found")),
            _ => {}
        }
        if let Some(tokens_from) = found {
            create(folder, &file, &founding, tokens_from)?;
        }
        let disk = LeaseDatabase { base: Database::open(&file).map_err(|why| unopened(&path, why))?, path };
        let found = disk.read(&founding).map_err(|why| disk.wrong(why))?;
        Ok((disk, found))
    }

    fn read(&self, founding: &DatabaseOwner) -> Result<DatabaseContent, BoxedError> {
        let txn = self.base.begin_read()?;
        let kept = txn.open_table(KEPT)?;
        let founded: Option<DatabaseHeader> = read(&kept, "founded")?;
        let founded =
            founded.ok_or("the folder was never founded to its end; remove it and found it anew")?;
        if founded.founding != *founding {
            let DatabaseOwner { fleet, keepers, me } = &founded.founding;
            return Err(format!(
                "the folder is keeper {me}'s of {keepers} of the fleet `{fleet}`, not keeper {}'s of {} of `{}`",
                founding.me, founding.keepers, founding.fleet
            )
            .into());
        }
        let mut entries = Vec::new();
        for item in txn.open_table(LOG)?.iter()? {
            entries.push(postcard::from_bytes(item?.1.value())?);
        }
        let mut marks = BTreeMap::new();
        for item in txn.open_table(MARKS)?.iter()? {
            let (keeper, mark) = item?;
            marks.insert(keeper.value(), mark.value());
        }
        let state: Option<HardState> = read(&kept, "state")?;
        let kept =
            PersistedState { state: state.unwrap_or_default(), snapshot: read(&kept, "snapshot")?, entries };
        Ok(DatabaseContent { kept, tokens_from: founded.tokens_from, mark: founded.mark, marks })
    }

    /// Puts a write on disk, whole, and waits until it is there.
    pub fn write(&self, write: &ReplicaWrite) -> Result<(), String> {
        if write.is_empty() {
            return Ok(());
        }
        self.change(|tables| {
            if let Some(state) = &write.state {
                tables.keep("state", state)?;
            }
            if let Some(snapshot) = &write.snapshot {
                tables.keep("snapshot", snapshot)?;
                tables.log.retain_in(..=snapshot.index, |_, _| false)?;
            }
            if let Some(from) = write.drop_from {
                tables.log.retain_in(from.., |_, _| false)?;
            }
            for entry in &write.entries {
                let bytes = postcard::to_stdvec(entry)?;
                tables.log.insert(entry.index, &bytes[..])?;
            }
            Ok(())
        })
    }

    /// Remembers the mark of another keeper's folder. One that is known costs no write: keepers greet again and again.
    pub fn remember(&self, keeper: ReplicaId, mark: u64) -> Result<(), String> {
        if self.known(keeper).map_err(|why| self.wrong(why))? == Some(mark) {
            return Ok(());
        }
        self.change(|tables| {
            tables.marks.insert(keeper, mark)?;
            Ok(())
        })
    }

    fn known(&self, keeper: ReplicaId) -> Result<Option<u64>, BoxedError> {
        let mark = self.base.begin_read()?.open_table(MARKS)?.get(keeper)?;
        Ok(mark.map(|mark| mark.value()))
    }

    fn wrong(&self, why: BoxedError) -> String {
        format!("{}: {why}", self.path)
    }

    fn change(&self, change: impl FnOnce(&mut Tables) -> Result<(), BoxedError>) -> Result<(), String> {
        self.changed(change).map_err(|why| self.wrong(why))
    }

    fn changed(&self, change: impl FnOnce(&mut Tables) -> Result<(), BoxedError>) -> Result<(), BoxedError> {
        // Durable when `commit` returns: the store's own default.
        let txn = self.base.begin_write()?;
        {
            let mut tables = Tables {
                log: txn.open_table(LOG)?,
                kept: txn.open_table(KEPT)?,
                marks: txn.open_table(MARKS)?,
            };
            change(&mut tables)?;
        }
        txn.commit()?;
        Ok(())
    }
}

fn unopened(path: &str, why: DatabaseError) -> String {
    match why {
        DatabaseError::DatabaseAlreadyOpen => format!("{path} is in use by another process"),
        why => format!("{path}: {why}"),
    }
}

/// Makes a folder's file under another name until it is whole: what a full disk or a kill leaves half founded is neither opened
/// nor in the way of the next try.
fn create(folder: &Path, file: &Path, founding: &DatabaseOwner, tokens_from: u64) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|why| format!("{}: {why}", folder.display()))?;
    let half = file.with_extension("founding");
    let path = half.display().to_string();
    let told = |why: std::io::Error| format!("{path}: {why}");
    if half.try_exists().map_err(told)? {
        std::fs::remove_file(&half).map_err(told)?;
    }
    let mark = OsRng.try_next_u64().map_err(|why| format!("the system gives no chance: {why}"))?;
    let base = Database::create(&half).map_err(|why| unopened(&path, why))?;
    let disk = LeaseDatabase { base, path: path.clone() };
    let founded = DatabaseHeader { founding: founding.clone(), tokens_from, mark };
    disk.change(|tables| tables.keep("founded", &founded))?;
    drop(disk);
    std::fs::rename(&half, file).map_err(told)?;
    // The new name has to last as well.
    std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(told)
}

type BoxedError = Box<dyn std::error::Error>;

struct Tables<'t> {
    log: redb::Table<'t, u64, &'static [u8]>,
    kept: redb::Table<'t, &'static str, &'static [u8]>,
    marks: redb::Table<'t, u64, u64>,
}

impl Tables<'_> {
    fn keep(&mut self, name: &str, what: &impl Serialize) -> Result<(), BoxedError> {
        let bytes = postcard::to_stdvec(what)?;
        self.kept.insert(name, &bytes[..])?;
        Ok(())
    }
}

fn read<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>, name: &str,
) -> Result<Option<T>, BoxedError> {
    let Some(bytes) = table.get(name)? else { return Ok(None) };
    Ok(Some(postcard::from_bytes(bytes.value())?))
}
