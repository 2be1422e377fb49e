//! Decodes the simulator's messages into events of the balancer.

use honeyknot_balancer::{
    AffinityGroup, ConnectionUpdate, EndpointUpdate, Event, LoadReport, Request, SessionKey, TimerToken,
    ZoneSet,
};
use serde_json::Value;

use super::MessageError;
use super::endpoint_list::EndpointLists;
use super::message::Message;
use crate::settings::NameTable;

/// The positions of a request's values in a message, counted from 0 after the message's name.
struct RequestPositions {
    class: usize,
    session_key: usize,
    affinity_group: usize,
    tenant: usize,
    expected_load: usize,
    time_remaining: usize,
    reconnecting: usize,
    retry: usize,
    mid_flow: usize,
}

const NEW_REQUEST: RequestPositions = RequestPositions {
    expected_load: 2,
    time_remaining: 3,
    class: 4,
    reconnecting: 5,
    retry: 6,
    tenant: 7,
    mid_flow: 8,
    affinity_group: 9,
    session_key: 10,
};
const ADOPTED_CONNECTION: RequestPositions = RequestPositions {
    session_key: 2,
    retry: 3,
    reconnecting: 5,
    affinity_group: 6,
    class: 7,
    tenant: 8,
    expected_load: 9,
    time_remaining: 10,
    mid_flow: 11,
};

/// Checks a message's name and number of values.
///
/// # Errors
/// If no event has this name, or if the message has too many values.
pub(super) fn check_event(message: &Message<'_>) -> Result<(), MessageError> {
    let max_values = match message.name {
        "targets" => 4,
        "jobIn" => 11,
        "handover" => 12,
        "hintUpdate" => 6,
        "fromPeer" => 3,
        "healthResult" => 5,
        "reminder" | "dropped" => 2,
        "headers" => 5,
        "verdict" => 8,
        other => return Err(MessageError::UnknownMessage(other.to_owned())),
    };
    message.expect_at_most(max_values)
}

/// Decodes a message into an event for the instance to which `names` belongs.
pub(super) fn decode_event(
    message: &Message<'_>, names: &NameTable, lists: &EndpointLists,
) -> Result<Event, MessageError> {
    match message.name {
        "targets" => endpoints_updated(message, names, lists),
        "jobIn" => Ok(Event::Request(request(message, names, &NEW_REQUEST)?)),
        "handover" => {
            let request = request(message, names, &ADOPTED_CONNECTION)?;
            Ok(Event::ConnectionAdopted(request, message.endpoint(4)?))
        }
        "headers" => Ok(Event::ConnectionEstablished {
            id: message.request(1)?,
            attempt: message.attempt(2)?,
            endpoint: message.endpoint(3)?,
            elapsed: message.u64(4)?,
        }),
        "verdict" => attempt_ended(message, names),
        "dropped" => Ok(Event::ClientLeft(message.request(1)?)),
        "healthResult" => Ok(Event::HealthCheckEnded {
            endpoint: message.endpoint(1)?,
            outcome: message.outcome(2)?,
            elapsed: message.u64(3)?,
            report: load_report(message, 4, names)?,
        }),
        "hintUpdate" => connection_updated(message),
        "reminder" => Ok(Event::TimerFired(TimerToken(message.u64(1)?))),
        "fromPeer" => {
            Ok(Event::PeerMessage { from: message.u32(1)?, payload: from_hexadecimal(message.str(2)?)? })
        }
        other => Err(MessageError::UnknownMessage(other.to_owned())),
    }
}

fn endpoints_updated(
    message: &Message<'_>, names: &NameTable, lists: &EndpointLists,
) -> Result<Event, MessageError> {
    let endpoints = || lists.resolve(message.u64(2)?, names);
    let update = match message.str(3)? {
        "changes" => EndpointUpdate::Delta(endpoints()?),
        "all" => EndpointUpdate::Full(endpoints()?),
        "remembered" => EndpointUpdate::Cached(endpoints()?),
        "refused" => EndpointUpdate::Failed,
        _ => return Err(message.wrong(3, "a known kind of list")),
    };
    Ok(Event::EndpointsUpdated { version: message.u64_or(1, 0)?, update })
}

fn attempt_ended(message: &Message<'_>, names: &NameTable) -> Result<Event, MessageError> {
    Ok(Event::AttemptEnded {
        id: message.request(1)?,
        outcome: message.outcome(2)?,
        attempt: message.attempt(3)?,
        closed: message.bool(4)?,
        endpoint: message.endpoint(5)?,
        elapsed: message.u64(6)?,
        report: load_report(message, 7, names)?,
    })
}

fn connection_updated(message: &Message<'_>) -> Result<Event, MessageError> {
    Ok(Event::ConnectionUpdated {
        id: message.request(1)?,
        attempt: message.attempt(2)?,
        endpoint: message.endpoint(3)?,
        update: match message.u64(4)? {
            1 => ConnectionUpdate::Load(message.f64(5)?),
            2 => ConnectionUpdate::MessageLatency(message.f64(5)?),
            _ => return Err(message.wrong(4, "a known kind of update")),
        },
    })
}

fn request(
    message: &Message<'_>, names: &NameTable, positions: &RequestPositions,
) -> Result<Request, MessageError> {
    let class_name = message.str(positions.class)?;
    let class = names.class(class_name).ok_or_else(|| message.wrong(positions.class, "a known class"))?;
    let tenant_name = message.optional(positions.tenant).and_then(Value::as_str);
    Ok(Request {
        id: message.request(1)?,
        class,
        session_key: message.optional_text(positions.session_key)?.map(SessionKey),
        affinity_group: message.optional_text(positions.affinity_group)?.map(AffinityGroup),
        tenant: tenant_name.and_then(|name| names.tenant(name)),
        expected_load: message.optional_f64(positions.expected_load)?,
        time_remaining: message.u64(positions.time_remaining)?,
        reconnecting: message.bool(positions.reconnecting)?,
        retry: message.bool(positions.retry)?,
        mid_flow: message.bool(positions.mid_flow)?,
        allowed_zones: ZoneSet::ALL,
    })
}

fn load_report(
    message: &Message<'_>, index: usize, names: &NameTable,
) -> Result<Option<LoadReport>, MessageError> {
    let Some(value) = message.optional(index) else { return Ok(None) };
    let fields = value.as_object().ok_or_else(|| message.wrong(index, "a load report"))?;
    Ok(Some(names.load_report(|name| fields.get(name).and_then(Value::as_f64))))
}

fn from_hexadecimal(text: &str) -> Result<Vec<u8>, MessageError> {
    let digits: Option<Vec<u32>> = text.chars().map(|digit| digit.to_digit(16)).collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0).ok_or(MessageError::NotHexadecimal)?;
    Ok(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
}
