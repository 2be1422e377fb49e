//! An exporter's connection to its receiver, with exponential backoff between connection attempts.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use honeyknot_metrics::config::{ExporterConfig, Protocol};
use rand::Rng;
use rand::rngs::StdRng;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::frame_queue::FrameQueue;
use crate::relay::DescriptorPermit;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The mean backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The largest number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Time without progress after which a connection with queued frames counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A socket to the receiver.
#[derive(Debug)]
enum Transport {
    Tcp(TcpStream),
    Udp(UdpSocket),
}

/// A socket, and the permit for its descriptor.
#[derive(Debug)]
pub(super) struct OpenTransport {
    transport: Transport,
    _permit: DescriptorPermit,
}

/// The connection of one exporter.
#[derive(Debug)]
pub(super) struct ExporterConnection {
    open: Option<OpenTransport>,
    consecutive_failures: u32,
    retry_at: Instant,
    /// When the receiver last accepted data.
    last_progress: Instant,
}

impl ExporterConnection {
    pub(super) fn new(now: Instant) -> ExporterConnection {
        ExporterConnection { open: None, consecutive_failures: 0, retry_at: now, last_progress: now }
    }

    pub(super) fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Returns whether the last attempt or write failed.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns when the next connection attempt may be made.
    pub(super) fn retry_at(&self) -> Instant {
        self.retry_at
    }

    /// Returns when the connection counts as stalled if it makes no progress until then.
    pub(super) fn stalled_at(&self) -> Instant {
        self.last_progress + STALL_TIMEOUT
    }

    pub(super) fn record_progress(&mut self) {
        self.last_progress = Instant::now();
    }

    /// Closes the connection and schedules the next attempt. Only the first of consecutive failures is
    /// logged.
    pub(super) fn record_failure(&mut self, config: &ExporterConfig, error: &io::Error, rng: &mut StdRng) {
        if self.consecutive_failures == 0 {
            warn!(target: "metrics", exporter = config.name, %error, "exporter failed");
        }
        let backoff = INITIAL_BACKOFF * (1 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        // Jitter keeps relays from reconnecting at the same time.
        self.retry_at = Instant::now() + backoff.mul_f64(rng.random_range(0.5..1.5));
        self.open = None;
    }

    /// Starts to use a newly opened transport.
    pub(super) fn record_opened(&mut self, config: &ExporterConfig, transport: OpenTransport) {
        if std::mem::take(&mut self.consecutive_failures) > 0 {
            info!(target: "metrics", exporter = config.name, "exporter recovered");
        }
        self.open = Some(transport);
        self.record_progress();
    }

    /// Writes from the queue's first frame as soon as the socket accepts data. Returns the number of bytes
    /// written.
    ///
    /// Waits forever if there is no connection or no frame.
    pub(super) async fn write(&self, queue: &FrameQueue) -> io::Result<usize> {
        let (Some(open), Some(frame), Some(unwritten)) = (&self.open, queue.first(), queue.unwritten())
        else {
            return std::future::pending().await;
        };
        loop {
            let written = match &open.transport {
                Transport::Tcp(stream) => {
                    stream.writable().await?;
                    stream.try_write(unwritten)
                }
                Transport::Udp(socket) => {
                    socket.writable().await?;
                    // A datagram carries the whole frame.
                    socket.try_send(frame).map(|_| frame.len())
                }
            };
            match written {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                written => return written,
            }
        }
    }
}

/// Opens a transport to the receiver.
///
/// # Errors
///
/// If no descriptor is available, or the receiver cannot be connected to in time.
pub(super) async fn open(
    config: &ExporterConfig, permit: Option<DescriptorPermit>,
) -> io::Result<OpenTransport> {
    let permit =
        permit.ok_or_else(|| io::Error::other("no file descriptor available within `limits.sockets`"))?;
    let transport = match config.protocol {
        Protocol::GraphiteLines(_) | Protocol::GraphitePickle(_) => {
            let timed_out = |_| io::Error::other("connecting timed out");
            let connecting = TcpStream::connect(config.address);
            Transport::Tcp(timeout(CONNECT_TIMEOUT, connecting).await.map_err(timed_out)??)
        }
        Protocol::Collectd(_) => {
            let local: SocketAddr = match config.address.is_ipv4() {
                true => (Ipv4Addr::UNSPECIFIED, 0).into(),
                false => (Ipv6Addr::UNSPECIFIED, 0).into(),
            };
            let socket = UdpSocket::bind(local).await?;
            socket.connect(config.address).await?;
            Transport::Udp(socket)
        }
    };
    Ok(OpenTransport { transport, _permit: permit })
}
