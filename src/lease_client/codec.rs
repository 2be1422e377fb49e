//! Frames on a byte stream: a length of four bytes, big-endian, and a `postcard` payload. The first frame of
//! each side is the greeting; it begins with `PREAMBLE` and the protocol version, which every version can
//! read.

use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::frame::Frame;

/// Protocol version of this build. Greetings of other versions are rejected.
pub const VERSION: u32 = 1;
/// The first bytes of each greeting.
const PREAMBLE: &[u8] = b"honeyknot leases";
/// Maximum length of a frame in bytes, enough for a snapshot of a full lease table.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Maximum length of a greeting in bytes. It is small because the sender is not yet known.
const MAX_GREETING_BYTES: usize = 4 << 10;
/// Time within which the greeting of each side must be complete.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// A violation of the protocol.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The greeting did not arrive in time.
    #[error("no greeting arrived within 2 s")]
    GreetingTimeout,
    /// The connection was closed before the greeting.
    #[error("the connection was closed before the greeting")]
    ClosedBeforeGreeting,
    /// The first frame does not begin with the preamble.
    #[error("the first frame is not a greeting of the lease protocol")]
    NoPreamble,
    /// The other side speaks another protocol version.
    #[error("the greeting has version {0} of the lease protocol; this side has version {VERSION}")]
    Version(u32),
    /// A payload cannot be decoded.
    #[error("cannot decode a frame: {0}")]
    Decode(#[source] postcard::Error),
    /// A payload cannot be encoded.
    #[error(transparent)]
    Encode(postcard::Error),
    /// This side rejected the greeting, for the given reason.
    #[error("{0}")]
    GreetingRejected(String),
    /// A lease server sent a client a frame other than a response.
    #[error("the lease server sent a frame that is not a response")]
    NotAResponse,
    /// A client sent a frame other than a request.
    #[error("the client sent a frame that is not a request")]
    NotARequest,
    /// A lease server sent another one a frame other than a message from its own replica.
    #[error("the lease server sent a frame that is not a message of its replica")]
    NotAPeerMessage,
}

impl From<ProtocolError> for io::Error {
    fn from(error: ProtocolError) -> io::Error {
        let kind = match error {
            ProtocolError::NotAResponse | ProtocolError::NotARequest | ProtocolError::NotAPeerMessage => {
                ErrorKind::Other
            }
            _ => ErrorKind::InvalidData,
        };
        io::Error::new(kind, error)
    }
}

/// Reads frames from a byte stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader at the start of a connection.
    pub fn new(stream: R) -> FrameReader<R> {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_GREETING_BYTES).new_codec();
        FrameReader { stream, codec, buffer: BytesMut::new() }
    }

    /// Returns the next frame, or `None` at the end of the stream. Cancel safe.
    ///
    /// # Errors
    /// The stream fails, ends within a frame, or carries a frame that cannot be decoded.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        let Some(payload) = self.next_payload().await? else { return Ok(None) };
        Ok(Some(decode(&payload)?))
    }

    async fn next_payload(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(payload) = self.codec.decode(&mut self.buffer)? {
                return Ok(Some(payload.freeze()));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads the greeting of the other side, after which frames of the full length are accepted.
    pub(super) async fn greeting<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let payload = timeout(GREETING_TIMEOUT, self.next_payload())
            .await
            .map_err(|_| ProtocolError::GreetingTimeout)??;
        let mut payload = payload.ok_or(ProtocolError::ClosedBeforeGreeting)?;
        if !payload.starts_with(PREAMBLE) || payload.len() < PREAMBLE.len() + 4 {
            return Err(ProtocolError::NoPreamble.into());
        }
        payload.advance(PREAMBLE.len());
        let version = payload.get_u32();
        if version != VERSION {
            return Err(ProtocolError::Version(version).into());
        }
        self.codec.set_max_frame_length(MAX_FRAME_BYTES);
        Ok(decode(&payload)?)
    }
}

/// Sends a frame.
///
/// # Errors
/// The stream fails or does not take the whole frame within `send_timeout`.
pub async fn send(
    stream: &mut (impl AsyncWrite + Unpin), frame: &Frame, send_timeout: Duration,
) -> io::Result<()> {
    let payload = postcard::to_stdvec(frame).map_err(ProtocolError::Encode)?;
    write_frame(stream, &payload, send_timeout).await
}

pub(super) async fn send_greeting<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin), greeting: &T,
) -> io::Result<()> {
    let mut payload = PREAMBLE.to_vec();
    payload.extend(VERSION.to_be_bytes());
    payload.extend(postcard::to_stdvec(greeting).map_err(ProtocolError::Encode)?);
    write_frame(stream, &payload, GREETING_TIMEOUT).await
}

async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin), payload: &[u8], write_timeout: Duration,
) -> io::Result<()> {
    let mut frame = BytesMut::with_capacity(payload.len() + 4);
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    codec.encode(Bytes::copy_from_slice(payload), &mut frame)?;
    timeout(write_timeout, stream.write_all(&frame))
        .await
        .map_err(|_| io::Error::from(ErrorKind::TimedOut))?
}

fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, ProtocolError> {
    postcard::from_bytes(payload).map_err(ProtocolError::Decode)
}
