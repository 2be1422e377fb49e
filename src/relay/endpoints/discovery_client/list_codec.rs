//! Discovery's JSON encoding of endpoint lists. Its field names and states (`servers`, `leaving`, `left`,
//! `addr`) are used in this module only.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use honeyknot_balancer::{CellId, Endpoint, EndpointId, EndpointState, Micros};
use serde_json::{Value, json};

use crate::relay::connections::protocol::parse_socket_address;
use crate::settings::NameTable;

/// A full endpoint list, or the changes since an earlier one, with the endpoints' addresses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListUpdate {
    /// The list's version, assigned by discovery.
    pub version: u64,
    /// Whether this is the full list and not only the endpoints that changed.
    pub full: bool,
    /// The listed endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The addresses by which this relay reaches the endpoints; removed endpoints may have none.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// Why an endpoint list is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// `version` is missing or not a whole number.
    #[error("`version` of the endpoint list is missing or not a whole number")]
    MissingVersion,
    /// `full` is missing or not a boolean.
    #[error("`full` of the endpoint list is missing or not a boolean")]
    MissingFull,
    /// `servers` is missing or not an array.
    #[error("`servers` of the endpoint list is missing or not an array")]
    MissingEndpoints,
    /// An endpoint's `id` is missing, empty or not a string.
    #[error("an entry of `servers` has no `id`")]
    MissingId,
    /// An endpoint that is not removed has no valid `addr`.
    #[error("an entry of `servers` has no valid `addr`, an IP address with a port")]
    MissingAddress,
    /// An endpoint's `state` is missing or unknown.
    #[error("endpoint {id}: `state` is missing or none of `active`, `leaving` and `left`")]
    UnknownState {
        /// The endpoint's id.
        id: String,
    },
    /// A field of an endpoint is not a number of 0 or more.
    #[error("endpoint {id}: `{field}` is not a number of 0 or more")]
    NotANumber {
        /// The endpoint's id.
        id: String,
        /// The field's name.
        field: &'static str,
    },
}

/// Parses an endpoint list.
///
/// # Errors
/// If a required field is missing or a value is invalid. An unknown `kind` or `zone` is not an error:
/// the endpoint then has no machine type or zone.
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
        machine_type: text("kind").and_then(|name| names.machine_type(name)),
        weight: number("weight", 1.0)?,
        started_at: (number("started_ms", 0.0)? * 1e3) as Micros,
        zone: text("zone").and_then(|zone| names.zone(zone)),
        cell: CellId(number("cell", 0.0)? as u64),
        state,
    })
}

/// Encodes an endpoint list so that [`parse_endpoint_list`] returns the same list, but for the last digit of a weight.
pub fn encode_endpoint_list(update: &EndpointListUpdate, names: &NameTable) -> Value {
    let addresses: BTreeMap<&EndpointId, SocketAddr> =
        update.addresses.iter().map(|(id, address)| (id, *address)).collect();
    let encode = |endpoint| encode_endpoint(endpoint, addresses.get(&endpoint.id).copied(), names);
    let servers: Vec<Value> = update.endpoints.iter().map(encode).collect();
    json!({"version": update.version, "full": update.full, "servers": servers})
}

fn encode_endpoint(endpoint: &Endpoint, address: Option<SocketAddr>, names: &NameTable) -> Value {
    let state = match endpoint.state {
        EndpointState::Ready => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    };
    json!({
        "id": &*endpoint.id.0,
        "addr": address.map(|address| address.to_string()),
        "zone": endpoint.zone.and_then(|zone| names.zones().get(zone.0)),
        "kind": endpoint.machine_type.and_then(|machine_type| names.machine_types().get(machine_type.0)),
        "cell": endpoint.cell.0,
        "state": state,
        "weight": endpoint.weight,
        "started_ms": milliseconds(endpoint.started_at),
    })
}

/// Returns a time in milliseconds from which the same number of microseconds is decoded.
fn milliseconds(time: Micros) -> f64 {
    if time.is_multiple_of(1_000) { (time / 1_000) as f64 } else { (time as f64 + 0.5) / 1e3 }
}
