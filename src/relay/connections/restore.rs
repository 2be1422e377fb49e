//! Restores connections that another process of this relay has transferred to this one.

use std::io;
use std::os::fd::OwnedFd;

use bytes::Bytes;
use honeyknot_balancer::EndpointId;
use tokio::net::TcpStream;

use super::connection::ConnectionState;
use super::connection_guard::{ConnectionGuard, Reservations};
use super::established::EstablishedConnection;
use super::line_relay::LineRelay;
use super::protocol::OpenRequest;
use super::streams::Streams;
use super::transfer::{ConnectionSnapshot, ConnectionTransfer, TransferResources};
use crate::relay::SharedRelay;

/// Restores a connection that another process of this relay has transferred, and starts its task.
///
/// # Errors
///
/// Fails if a socket cannot be used, or if the connection cannot be served here. In the second case the
/// client is migrated.
pub fn restore_connection(
    relay: &SharedRelay, snapshot: ConnectionSnapshot, downstream: OwnedFd, upstream: OwnedFd,
) -> io::Result<()> {
    let stream = |socket: OwnedFd| TcpStream::from_std(std::net::TcpStream::from(socket));
    let (downstream, upstream) = (stream(downstream)?, stream(upstream)?);
    let timers = relay.borrow().timers.clone();
    let resources = TransferResources::new(relay.borrow().final_writes.add_one(), None);
    let request = OpenRequest::parse(Bytes::copy_from_slice(&snapshot.request));
    let (downstream_permit, upstream_permit) =
        (relay.borrow().acquire_descriptor(), relay.borrow().acquire_descriptor());
    let (Ok(request), Some(downstream_permit), Some(upstream_permit)) =
        (request, downstream_permit, upstream_permit)
    else {
        ConnectionTransfer { snapshot, downstream, upstream, resources }.migrate(&timers);
        return Err(io::Error::other("no free descriptors, or its request is not valid"));
    };
    let connection_id = relay.borrow().reserve_transferred_id(&request).ok();
    let endpoint = EndpointId(snapshot.endpoint.as_str().into());
    // Registered last: only the guard of a connection that is served removes its entry from the table.
    let restored = connection_id.and_then(|connection_id| {
        Some((connection_id, relay.borrow_mut().restore_connection(&request, endpoint)?))
    });
    let Some((connection_id, (id, commands))) = restored else {
        ConnectionTransfer { snapshot, downstream, upstream, resources }.migrate(&timers);
        return Err(io::Error::other("its connection id is already open here, or its class is unknown"));
    };
    if let Some(load) = snapshot.load {
        relay.borrow_mut().connection_load_reported(id, load);
    }
    let streams = Streams { downstream, upstream };
    let established = EstablishedConnection {
        relay: relay.clone(),
        guard: ConnectionGuard::new(relay.clone(), id),
        line_relay: LineRelay::new(relay.clone(), id, request, streams).with_snapshot(snapshot),
        commands,
        reservations: Reservations::new(downstream_permit, upstream_permit, connection_id),
    };
    tokio::task::spawn_local(ConnectionState::Established(Box::new(established)).run());
    Ok(())
}
