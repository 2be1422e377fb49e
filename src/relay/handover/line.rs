//! The line between two processes: JSON objects, one a line, with at most one descriptor beside each.

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

use super::Word;

/// The longest message: far above what the ids of a fleet take.
const LONGEST: usize = 4 << 20;

/// One end of the line.
pub struct Line {
    stream: UnixStream,
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

impl Line {
    /// A line over a connection that stands.
    pub fn new(stream: UnixStream) -> Line {
        Line { stream, bytes: Vec::new(), descriptor: None }
    }

    /// Connects to a process that offers one; none if no process does.
    pub async fn connect(path: &Path) -> Option<Line> {
        UnixStream::connect(path).await.ok().map(Line::new)
    }

    /// Sends a message, with a descriptor beside it where one is given.
    pub async fn say(&self, word: &Word, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let mut bytes = serde_json::to_vec(word)?;
        bytes.push(b'\n');
        let (mut rest, mut beside) = (&bytes[..], descriptor);
        while !rest.is_empty() {
            self.stream.writable().await?;
            let sent = self.stream.try_io(Interest::WRITABLE, || {
                let held: Vec<BorrowedFd<'_>> = beside.into_iter().collect();
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !held.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(&held));
                }
                Ok(sendmsg(&self.stream, &[IoSlice::new(rest)], &mut control, SendFlags::NOSIGNAL)?)
            });
            match sent {
                Ok(count) => (rest, beside) = (&rest[count..], None),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// The next message and the descriptor that came with it; none when the other end has ended or makes no sense.
    /// Dropped before it is ready, it loses nothing.
    pub async fn next(&mut self) -> Option<(Word, Option<OwnedFd>)> {
        loop {
            if let Some(end) = self.bytes.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return Some((serde_json::from_slice(&line).ok()?, self.descriptor.take()));
            }
            if self.bytes.len() > LONGEST {
                return None;
            }
            self.stream.readable().await.ok()?;
            match self.stream.try_io(Interest::READABLE, || receive(&self.stream)) {
                Ok((bytes, _)) if bytes.is_empty() => return None,
                Ok((bytes, descriptor)) => {
                    self.bytes.extend_from_slice(&bytes);
                    self.descriptor = descriptor.or(self.descriptor.take());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}

/// What lies there, with the descriptor beside it. Any that is not the first is closed.
fn receive(stream: &UnixStream) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut room = vec![0; 16 * 1024];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(stream, &mut [IoSliceMut::new(&mut room)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    room.truncate(got.bytes);
    let rights = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok((room, rights.flatten().next()))
}
