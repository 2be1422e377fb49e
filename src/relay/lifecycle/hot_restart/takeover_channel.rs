//! The line between two processes: JSON objects, one a line, with descriptors beside some.

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

/// The longest message: far above what the ids of a fleet take.
const LONGEST: usize = 4 << 20;

/// Descriptors beside one message at the most: both sockets of a session.
pub const MOST: usize = 2;

/// One end of the line.
pub struct TakeoverChannel {
    stream: UnixStream,
    bytes: Vec<u8>,
    /// Those that came, in order: messages take theirs.
    descriptors: VecDeque<OwnedFd>,
}

impl TakeoverChannel {
    /// A line over a connection that stands.
    pub fn new(stream: UnixStream) -> TakeoverChannel {
        TakeoverChannel { stream, bytes: Vec::new(), descriptors: VecDeque::new() }
    }

    /// Connects to a process that offers one; none if no process does.
    pub async fn connect(path: &Path) -> Option<TakeoverChannel> {
        UnixStream::connect(path).await.ok().map(TakeoverChannel::new)
    }

    /// Sends a message, with these descriptors beside it, [`MOST`] at the most.
    pub async fn say(&self, word: &HotRestartMessage, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let mut bytes = serde_json::to_vec(word)?;
        bytes.push(b'\n');
        let (mut rest, mut beside) = (&bytes[..], descriptors);
        while !rest.is_empty() {
            self.stream.writable().await?;
            let sent = self.stream.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !beside.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(beside));
                }
                Ok(sendmsg(&self.stream, &[IoSlice::new(rest)], &mut control, SendFlags::NOSIGNAL)?)
            });
            match sent {
                Ok(count) => (rest, beside) = (&rest[count..], &[]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// The first descriptor that came and was not taken yet.
    pub fn descriptor(&mut self) -> Option<OwnedFd> {
        self.descriptors.pop_front()
    }

    /// The next message; none when the other end has ended or makes no sense. Descriptors that belong to it have come
    /// by then. Dropped before it is ready, it loses nothing.
    pub async fn next(&mut self) -> Option<HotRestartMessage> {
        loop {
            if let Some(end) = self.bytes.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return serde_json::from_slice(&line).ok();
            }
            if self.bytes.len() > LONGEST {
                return None;
            }
            self.stream.readable().await.ok()?;
            match self.stream.try_io(Interest::READABLE, || receive(&self.stream)) {
                Ok((bytes, _)) if bytes.is_empty() => return None,
                Ok((bytes, descriptors)) => {
                    self.bytes.extend_from_slice(&bytes);
                    self.descriptors.extend(descriptors);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}

/// What lies there, with the descriptors beside it.
fn receive(stream: &UnixStream) -> io::Result<(Vec<u8>, Vec<OwnedFd>)> {
    let mut room = vec![0; 16 * 1024];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(stream, &mut [IoSliceMut::new(&mut room)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    room.truncate(got.bytes);
    let rights = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok((room, rights.flatten().collect()))
}
