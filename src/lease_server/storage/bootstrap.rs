//! Creation of a new database.

use std::fs;
use std::path::Path;

use rand::TryRngCore;
use rand::rngs::OsRng;
use redb::Database;

use super::format::{BOOTSTRAP_EXTENSION, DatabaseHeader, HEADER_KEY};
use super::{DatabaseOwner, LeaseDatabase, StorageError, open_error};

/// Creates a database under a temporary name and renames it once it is complete, so that a database whose
/// creation was interrupted is never opened and does not block the next creation.
pub(super) fn create(
    folder: &Path, file: &Path, owner: &DatabaseOwner, tokens_from: u64,
) -> Result<(), StorageError> {
    fs::create_dir_all(folder).map_err(|source| StorageError::io(&folder.display().to_string(), source))?;
    let temporary = file.with_extension(BOOTSTRAP_EXTENSION);
    let path = temporary.display().to_string();
    let io_error = |source| StorageError::io(&path, source);
    if temporary.try_exists().map_err(io_error)? {
        fs::remove_file(&temporary).map_err(io_error)?;
    }
    let database_id = OsRng.try_next_u64().map_err(StorageError::Random)?;
    let database = Database::create(&temporary).map_err(|source| open_error(&path, source))?;
    let database = LeaseDatabase { database, path: path.clone() };
    let header = DatabaseHeader { owner: owner.clone(), tokens_from, database_id };
    database.update(|tables| tables.put(HEADER_KEY, &header))?;
    drop(database);
    fs::rename(&temporary, file).map_err(io_error)?;
    // Makes the rename durable as well.
    fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(io_error)
}
