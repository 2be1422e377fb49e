//! Discovery's JSON form of endpoint lists. Its words (`servers`, `leaving`, `left`, `addr`) occur here only.

use std::net::SocketAddr;

use honeyknot_balancer::{CellId, Endpoint, EndpointId, EndpointState, Micros};
use serde_json::Value;

use crate::relay::connections::protocol::parse_socket_address;
use crate::settings::NameTable;

/// An endpoint list, or changes of one, with the endpoints' addresses.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointListUpdate {
    /// Version that discovery gave it.
    pub version: u64,
    /// Whether it names all endpoints and not only those that changed.
    pub full: bool,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Addresses at which this relay reaches them.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// Why an endpoint list cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// `version` is missing or not a whole number.
    #[error("the roll has no version")]
    MissingVersion,
    /// `full` is missing or not a boolean.
    #[error("the roll does not say if it is whole")]
    MissingFull,
    /// `servers` is missing or not an array.
    #[error("the roll has no servers")]
    MissingEndpoints,
    /// An endpoint has no `id`.
    #[error("a card server has no id")]
    MissingId,
    /// An endpoint that is not removed has no valid `addr`.
    #[error("a card server has no address")]
    MissingAddress,
    /// An endpoint's `state` is missing or unknown.
    #[error("{id} has no known state")]
    UnknownState {
        /// The endpoint.
        id: String,
    },
    /// A field of an endpoint is not a number of 0 or more.
    #[error("{id}: `{field}` is no number")]
    NotANumber {
        /// The endpoint.
        id: String,
        /// Name of the field.
        field: &'static str,
    },
}

/// Parses an endpoint list.
///
/// # Errors
/// If a field is missing or has no valid value. Unknown kinds and zones are ignored.
pub fn parse_endpoint_list(
    value: &Value, names: &NameTable,
) -> Result<EndpointListUpdate, EndpointListError> {
    let version = value.get("version").and_then(Value::as_u64).ok_or(EndpointListError::MissingVersion)?;
    let full = value.get("full").and_then(Value::as_bool).ok_or(EndpointListError::MissingFull)?;
    let servers =
        value.get("servers").and_then(Value::as_array).ok_or(EndpointListError::MissingEndpoints)?;
    let mut update = EndpointListUpdate { version, full, endpoints: Vec::new(), addresses: Vec::new() };
    for server in servers {
        let endpoint = parse_endpoint(server, names)?;
        match server.get("addr").and_then(Value::as_str).and_then(parse_socket_address) {
            Some(address) => update.addresses.push((endpoint.id.clone(), address)),
            None if endpoint.state == EndpointState::Removed => {}
            None => return Err(EndpointListError::MissingAddress),
        }
        update.endpoints.push(endpoint);
    }
    Ok(update)
}

fn parse_endpoint(server: &Value, names: &NameTable) -> Result<Endpoint, EndpointListError> {
    let text = |field: &str| server.get(field).and_then(Value::as_str);
    let id = text("id").filter(|id| !id.is_empty()).ok_or(EndpointListError::MissingId)?;
    let state = match text("state") {
        Some("active") => EndpointState::Ready,
        Some("leaving") => EndpointState::Draining,
        Some("left") => EndpointState::Removed,
        _ => return Err(EndpointListError::UnknownState { id: id.to_owned() }),
    };
    let number = |field: &'static str, default: f64| match server.get(field) {
        None | Some(Value::Null) => Ok(default),
        Some(value) => value
            .as_f64()
            .filter(|number| *number >= 0.0)
            .ok_or_else(|| EndpointListError::NotANumber { id: id.to_owned(), field }),
    };
    Ok(Endpoint {
        id: EndpointId(id.into()),
        machine_type: text("kind").and_then(|kind| names.kind(kind)),
        weight: number("weight", 1.0)?,
        started_at: (number("started_ms", 0.0)? * 1e3) as Micros,
        zone: text("zone").and_then(|zone| names.zone(zone)),
        cell: CellId(number("cell", 0.0)? as u64),
        state,
    })
}
