//! The ids of the databases with which the other lease servers have connected.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use honeyknot_lease_consensus::ReplicaId;
use thiserror::Error;

/// A server connected with a new database. It has lost entries that it acknowledged, so its votes must not
/// count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "lease server {0} connected with another database than before; it has lost entries that it acknowledged"
)]
pub(super) struct ReplacedDatabaseError(ReplicaId);

/// The database id of each server that ever connected.
#[derive(Clone, Debug)]
pub(super) struct KnownDatabases(Rc<RefCell<BTreeMap<ReplicaId, u64>>>);

impl KnownDatabases {
    pub(super) fn new(ids: BTreeMap<ReplicaId, u64>) -> KnownDatabases {
        KnownDatabases(Rc::new(RefCell::new(ids)))
    }

    /// Checks a server's database id against the known one, or records it if none is known.
    pub(super) fn check(&self, replica: ReplicaId, database_id: u64) -> Result<(), ReplacedDatabaseError> {
        let known = *self.0.borrow_mut().entry(replica).or_insert(database_id);
        if known == database_id { Ok(()) } else { Err(ReplacedDatabaseError(replica)) }
    }
}
