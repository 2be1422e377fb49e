//! The channel between two processes: JSON objects, one a line, with descriptors beside some.

use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::Path;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

use super::HotRestartMessage;

/// The longest message in bytes, far above the ids of a fleet.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Bytes that are received at a time.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Descriptors beside one message at most: both sockets of a connection.
const MAX_DESCRIPTORS: usize = 2;

/// One end of the channel.
#[derive(Debug)]
pub(super) struct TakeoverChannel {
    stream: UnixStream,
    received: Vec<u8>,
    /// Received descriptors in order; messages take theirs.
    descriptors: VecDeque<OwnedFd>,
}

impl TakeoverChannel {
    /// Makes a channel of a connected socket.
    pub(super) fn new(stream: UnixStream) -> TakeoverChannel {
        TakeoverChannel { stream, received: Vec::new(), descriptors: VecDeque::new() }
    }

    /// Connects to the process that listens on a socket; none if no process does.
    pub(super) async fn connect(path: &Path) -> Option<TakeoverChannel> {
        UnixStream::connect(path).await.ok().map(TakeoverChannel::new)
    }

    /// Sends a message with descriptors beside it, [`MAX_DESCRIPTORS`] at most.
    ///
    /// # Errors
    /// If the other end is closed, or the message cannot be encoded.
    pub(super) async fn send(
        &self, message: &HotRestartMessage, descriptors: &[BorrowedFd<'_>],
    ) -> io::Result<()> {
        let mut bytes = serde_json::to_vec(message)?;
        bytes.push(b'\n');
        let (mut unsent, mut descriptors) = (&bytes[..], descriptors);
        while !unsent.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_io(Interest::WRITABLE, || send_once(&self.stream, unsent, descriptors)) {
                // The descriptors go with the message's first bytes.
                Ok(count) => (unsent, descriptors) = (&unsent[count..], &[]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Returns the first received descriptor that was not taken yet.
    pub(super) fn take_descriptor(&mut self) -> Option<OwnedFd> {
        self.descriptors.pop_front()
    }

    /// Receives the next message, and the descriptors beside it; none if the other end is closed or sends no
    /// message.
    ///
    /// It is cancel safe.
    pub(super) async fn next(&mut self) -> Option<HotRestartMessage> {
        loop {
            if let Some(end) = self.received.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.received.drain(..=end).collect();
                return serde_json::from_slice(&line).ok();
            }
            if self.received.len() > MAX_MESSAGE_BYTES {
                return None;
            }
            self.stream.readable().await.ok()?;
            match self.stream.try_io(Interest::READABLE, || receive(&self.stream)) {
                Ok((bytes, _)) if bytes.is_empty() => return None,
                Ok((bytes, descriptors)) => {
                    self.received.extend_from_slice(&bytes);
                    self.descriptors.extend(descriptors);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}

/// Sends what the socket takes at once, and returns its number of bytes.
fn send_once(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        control.push(SendAncillaryMessage::ScmRights(descriptors));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
}

/// Receives what the socket holds, with the descriptors beside it.
fn receive(stream: &UnixStream) -> io::Result<(Vec<u8>, Vec<OwnedFd>)> {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received =
        recvmsg(stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    buffer.truncate(received.bytes);
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok((buffer, descriptors.flatten().collect()))
}
