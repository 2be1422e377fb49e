//! Endpoint lists, which the simulator sends once for all instances. Names in them are resolved for each
//! instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use honeyknot_balancer::{CellId, Endpoint, EndpointState};
use serde_json::Value;

use super::MessageError;
use super::message::Message;
use crate::settings::NameTable;

/// An endpoint whose machine type and zone are still names, because each instance has its own [`NameTable`].
#[derive(Debug)]
pub(super) struct UnresolvedEndpoint {
    endpoint: Endpoint,
    machine_type: String,
    zone: String,
}

impl UnresolvedEndpoint {
    /// Decodes one entry of a list: machine type, weight, id, start time, zone, cell and state.
    pub(super) fn decode(value: &Value) -> Result<UnresolvedEndpoint, MessageError> {
        let values = value.as_array().ok_or(MessageError::ListEntryNotAnArray)?;
        let entry = Message { name: "page entry", values };
        entry.expect_at_most(7)?;
        let state = match entry.str(6)? {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            _ => return Err(entry.wrong(6, "a known state")),
        };
        let endpoint = Endpoint {
            id: entry.endpoint(2)?,
            machine_type: None,
            weight: entry.optional_f64(1)?.unwrap_or(1.0),
            started_at: entry.u64_or(3, 0)?,
            zone: None,
            cell: CellId(entry.u64_or(5, 0)?),
            state,
        };
        let name =
            |index| entry.optional_text(index).map(|text| text.as_deref().unwrap_or_default().to_owned());
        Ok(UnresolvedEndpoint { endpoint, machine_type: name(0)?, zone: name(4)? })
    }

    fn resolve(&self, names: &NameTable) -> Endpoint {
        Endpoint {
            machine_type: names.machine_type(&self.machine_type),
            zone: names.zone(&self.zone),
            ..self.endpoint.clone()
        }
    }
}

/// The lists that the simulator has sent, by number.
#[derive(Debug, Default)]
pub(super) struct EndpointLists(BTreeMap<u64, Vec<UnresolvedEndpoint>>);

impl EndpointLists {
    /// Stores a list, which replaces an earlier one with the same number.
    pub(super) fn insert(&mut self, number: u64, endpoints: Vec<UnresolvedEndpoint>) {
        self.0.insert(number, endpoints);
    }

    /// Returns the endpoints of a list, with their names resolved by an instance's table.
    ///
    /// # Errors
    /// [`MessageError::UnknownList`] if no list has this number.
    pub(super) fn resolve(&self, number: u64, names: &NameTable) -> Result<Arc<Vec<Endpoint>>, MessageError> {
        let list = self.0.get(&number).ok_or(MessageError::UnknownList)?;
        Ok(Arc::new(list.iter().map(|endpoint| endpoint.resolve(names)).collect()))
    }
}
