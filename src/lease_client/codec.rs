//! The wire of keepers: frames under a length of four bytes. The first of each side says what it is and which version it speaks, in
//! a form that every version reads; the rest are `postcard`.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use honeyknot_lease::Command;
use honeyknot_lease_consensus::{PeerMessage, ReplicaId, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::config::LeaseConfig;
use honeyknot_balancer::Micros;

/// The version that this build speaks. Others are told so and turned away.
pub const VERSION: u32 = 1;
/// Before the version, in each side's first frame.
const MARK: &[u8] = b"honeyknot leases";
/// The largest frame: a snapshot of a full book has room in it.
const LARGEST: usize = 8 << 20;
/// The largest first frame: nobody has said yet who they are.
const LARGEST_FIRST: usize = 4 << 10;
/// Within this both sides have said their first frame.
const GREETING: Duration = Duration::from_secs(2);

/// What a side says first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Who.
    pub who: GreetingSender,
    /// The fleet's name.
    pub fleet: String,
    /// How many keepers it has.
    pub keepers: u64,
    /// Lease, drift in parts of a million, margin: both sides must reckon alike.
    pub parameters: (Micros, u64, Micros),
}

/// Who speaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GreetingSender {
    /// A keeper: its number, and its folder's mark, drawn when that was founded.
    LeaseServer(ReplicaId, u64),
    /// A relay or staff, by name.
    Client(String),
}

/// What follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Keeper to keeper: the writer's clock when it was sent, and the letter.
    PeerMessage(Micros, PeerMessage),
    /// Client to keeper.
    Request {
        /// Given back with the answer.
        id: u64,
        /// Commands; none asks for all leases.
        commands: Vec<Command>,
    },
    /// Keeper to client.
    Response {
        /// The ask's.
        id: u64,
        /// The answer.
        told: Response,
    },
}

impl Greeting {
    /// What a side with this plan says.
    pub fn new(who: GreetingSender, plan: &LeaseConfig) -> Greeting {
        let parameters = (plan.parameters.lease_duration, plan.parameters.drift_ppm, plan.parameters.margin);
        Greeting { who, fleet: plan.fleet.clone(), keepers: plan.servers.len() as u64, parameters }
    }

    /// Why the other side is not to be talked to, if so.
    pub fn differs(&self, other: &Greeting) -> Option<String> {
        if self.fleet != other.fleet {
            return Some(format!("fleet `{}`, here `{}`", other.fleet, self.fleet));
        }
        if self.keepers != other.keepers {
            return Some(format!("{} keepers, here {}", other.keepers, self.keepers));
        }
        let told = |(lease, drift, margin): (Micros, u64, Micros)| {
            format!("lease {} ms, drift {drift} ppm, margin {} ms", lease / 1_000, margin / 1_000)
        };
        (self.parameters != other.parameters)
            .then(|| format!("{}, here {}", told(other.parameters), told(self.parameters)))
    }
}

/// Frames out of a socket's reading half.
pub struct FrameReader<R> {
    from: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Nothing read yet.
    pub fn new(from: R) -> FrameReader<R> {
        let codec = LengthDelimitedCodec::builder().max_frame_length(LARGEST_FIRST).new_codec();
        FrameReader { from, codec, buffer: BytesMut::new() }
    }

    /// The next frame's bytes; nothing at the end of the stream. Nothing is lost if it is cancelled.
    async fn bytes(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.buffer)? {
                return Ok(Some(frame.freeze()));
            }
            if self.from.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// The next frame.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        let Some(bytes) = self.bytes().await? else { return Ok(None) };
        read(&bytes).map(Some)
    }

    async fn first<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let frame = timeout(GREETING, self.bytes()).await.map_err(|_| told("no greeting in 2 s"))??;
        let mut frame = frame.ok_or_else(|| told("closed before its greeting"))?;
        if !frame.starts_with(MARK) || frame.len() < MARK.len() + 4 {
            return Err(told("what came is not of the leases' protocol"));
        }
        frame.advance(MARK.len());
        let version = frame.get_u32();
        if version != VERSION {
            return Err(told(&format!(
                "it speaks version {version} of the leases' protocol, this build {VERSION}"
            )));
        }
        self.codec.set_max_frame_length(LARGEST);
        read(&frame)
    }
}

fn told(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what)
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(|why| told(&format!("a frame that cannot be read: {why}")))
}

fn framed(bytes: &[u8]) -> io::Result<BytesMut> {
    let mut out = BytesMut::with_capacity(bytes.len() + 4);
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(LARGEST).new_codec();
    codec.encode(Bytes::copy_from_slice(bytes), &mut out)?;
    Ok(out)
}

/// Sends a frame, unless the other side takes none for this long.
pub async fn send(to: &mut (impl AsyncWrite + Unpin), frame: &Frame, patience: Duration) -> io::Result<()> {
    let bytes = framed(&postcard::to_stdvec(frame).map_err(|why| told(&why.to_string()))?)?;
    timeout(patience, to.write_all(&bytes)).await.map_err(|_| io::Error::from(ErrorKind::TimedOut))?
}

async fn say_first<T: Serialize>(to: &mut (impl AsyncWrite + Unpin), what: &T) -> io::Result<()> {
    let mut bytes = MARK.to_vec();
    bytes.extend(VERSION.to_be_bytes());
    bytes.extend(postcard::to_stdvec(what).map_err(|why| told(&why.to_string()))?);
    timeout(GREETING, to.write_all(&framed(&bytes)?))
        .await
        .map_err(|_| io::Error::from(ErrorKind::TimedOut))?
}

/// Dials a keeper, says who this is, and hears whether it is welcome. The connection itself has `patience` to come about.
pub async fn dial(
    at: SocketAddr, hello: &Greeting, patience: Duration,
) -> io::Result<(FrameReader<OwnedReadHalf>, OwnedWriteHalf)> {
    let late = |_| io::Error::from(ErrorKind::TimedOut);
    let stream = timeout(patience, TcpStream::connect(at)).await.map_err(late)??;
    stream.set_nodelay(true)?;
    let (from, mut to) = stream.into_split();
    let mut reader = FrameReader::new(from);
    say_first(&mut to, hello).await?;
    let welcome: Result<(), String> = reader.first().await?;
    welcome.map_err(|why| io::Error::new(ErrorKind::PermissionDenied, format!("turned away: {why}")))?;
    Ok((reader, to))
}

/// The listening side's greeting: hears who comes, and says whether they are welcome.
pub async fn welcome<R, W>(
    reader: &mut FrameReader<R>, writer: &mut W, check: impl FnOnce(&Greeting) -> Result<(), String>,
) -> io::Result<Greeting>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let hello = match reader.first::<Greeting>().await {
        Ok(hello) => hello,
        Err(why) => {
            // Who speaks another version learns why it is not answered.
            let _ = say_first(writer, &Err::<(), String>(why.to_string())).await;
            return Err(why);
        }
    };
    let checked = check(&hello);
    say_first(writer, &checked).await?;
    checked.map(|()| hello).map_err(|why| told(&why))
}
