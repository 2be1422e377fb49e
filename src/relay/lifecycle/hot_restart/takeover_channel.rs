//! The channel between two processes of a relay: one JSON object a line, some with descriptors as ancillary
//! data.

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

/// The longest message, in bytes: far more than the endpoint list of a large fleet takes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Size of the receive buffer, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// The largest number of descriptors sent with a message: both sockets of a connection.
const MAX_DESCRIPTORS: usize = 2;

/// One end of the channel.
#[derive(Debug)]
pub(super) struct TakeoverChannel {
    stream: UnixStream,
    received: Vec<u8>,
    /// Received descriptors that were not taken yet, in order.
    descriptors: VecDeque<OwnedFd>,
}

impl TakeoverChannel {
    /// Creates a channel from a connected socket.
    pub(super) fn new(stream: UnixStream) -> TakeoverChannel {
        TakeoverChannel { stream, received: Vec::new(), descriptors: VecDeque::new() }
    }

    /// Connects to the process that listens on a socket; returns `None` if it cannot be connected to.
    pub(super) async fn connect(path: &Path) -> Option<TakeoverChannel> {
        UnixStream::connect(path).await.ok().map(TakeoverChannel::new)
    }

    /// Sends a message together with descriptors, at most [`MAX_DESCRIPTORS`].
    ///
    /// Meanwhile, what arrives is received, so that two processes that send each other long messages do not wait for
    /// each other.
    ///
    /// # Errors
    /// If the channel is closed, or the message cannot be encoded.
    pub(super) async fn send(
        &mut self, message: &HotRestartMessage, descriptors: &[BorrowedFd<'_>],
    ) -> io::Result<()> {
        let mut bytes = serde_json::to_vec(message)?;
        bytes.push(b'\n');
        let (mut unsent, mut descriptors) = (&bytes[..], descriptors);
        while !unsent.is_empty() {
            let interest = if self.received.len() < MAX_MESSAGE_BYTES {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::WRITABLE
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() && !self.receive_available()? {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            if !ready.is_writable() {
                continue;
            }
            match self.stream.try_io(Interest::WRITABLE, || send_once(&self.stream, unsent, descriptors)) {
                // The descriptors were sent with the message's first bytes.
                Ok(count) => (unsent, descriptors) = (&unsent[count..], &[]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Removes and returns the first received descriptor; `None` if all were taken.
    pub(super) fn take_descriptor(&mut self) -> Option<OwnedFd> {
        self.descriptors.pop_front()
    }

    /// Receives the next message; its descriptors are then returned by [`Self::take_descriptor`]. Returns
    /// `None` if the channel is closed or what was received is not a message.
    ///
    /// This is cancel safe.
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
            if !self.receive_available().ok()? {
                return None;
            }
        }
    }

    /// Receives what has arrived. Returns `false` if the other end has closed the channel.
    fn receive_available(&mut self) -> io::Result<bool> {
        match self.stream.try_io(Interest::READABLE, || receive(&self.stream)) {
            Ok((bytes, descriptors)) => {
                self.received.extend_from_slice(&bytes);
                self.descriptors.extend(descriptors);
                Ok(!bytes.is_empty())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(error) => Err(error),
        }
    }
}

/// Sends as many bytes as the socket accepts at once, and returns their number.
fn send_once(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        control.push(SendAncillaryMessage::ScmRights(descriptors));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
}

/// Receives available bytes, and the descriptors sent with them.
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
