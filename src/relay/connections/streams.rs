//! The two sockets of an established connection.

use std::io;

use bytes::{Buf, BytesMut};
use honeyknot_balancer::Micros;
use tokio::net::TcpStream;

use super::graceful_close::CloseKind;

/// The sockets of an established connection.
#[derive(Debug)]
pub(super) struct Streams {
    pub(super) downstream: TcpStream,
    pub(super) upstream: TcpStream,
}

/// When (in Unix microseconds) and how one side of a connection was closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct SideClosed {
    pub(super) kind: CloseKind,
    pub(super) at: Micros,
}

/// Writes as many bytes as the socket accepts without waiting, and removes them from `bytes`.
///
/// # Errors
///
/// Fails if the socket is closed for writing.
pub(super) fn write_available(stream: &TcpStream, bytes: &mut BytesMut) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(count) => bytes.advance(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
