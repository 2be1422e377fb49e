//! One attempt at an endpoint: connects, forwards the request and reads the first line of the response.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use honeyknot_balancer::{EndpointId, LoadReport, Micros, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::protocol::{self, EndpointLine, MICROS_PER_MILLISECOND, OpenRequest, load_report_value};
use crate::relay::{AttemptRequest, ConnectionIdGuard, SharedRelay};

/// Initial size of the buffer for a response, in bytes.
const RESPONSE_BUFFER_BYTES: usize = 512;

/// Size of the kernel's buffer for bytes that an endpoint has not taken yet, in bytes.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// A connection to an endpoint and the bytes received on it.
pub(super) struct UpstreamStream {
    pub(super) stream: TcpStream,
    /// Bytes received and not relayed yet, starting with the endpoint's first line.
    pub(super) received: BytesMut,
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The endpoint has accepted the connection.
    Established(UpstreamStream),
    /// The endpoint completed the connection at once; contains its response.
    Completed(BytesMut),
    /// The attempt failed; contains the endpoint's load report, if it sent one.
    Failed(Outcome, Option<LoadReport>),
}

/// Makes an attempt at an endpoint.
///
/// `deadline`, in Unix microseconds, only determines the time remaining that is sent to the endpoint: the
/// caller ends the attempt. Nothing is sent if another request with this connection id has been sent in the
/// meantime and may not be repeated. `request_sent` is set once the whole request has been written; before that the
/// endpoint cannot have processed it.
pub(super) async fn connect(
    relay: &SharedRelay, request: &OpenRequest, connection_id: &ConnectionIdGuard, attempt: &AttemptRequest,
    deadline: Micros, request_sent: &Cell<bool>,
) -> AttemptResult {
    let timers = relay.borrow().timers.clone();
    let connect_timeout = relay.borrow().connect_timeout();
    let connected = tokio::select! {
        connected = open_socket(attempt.address) => connected,
        () = timers.sleep(connect_timeout) => Err(io::ErrorKind::TimedOut.into()),
    };
    if connected.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
        relay.borrow().connection_refused_by(&attempt.endpoint);
    }
    // While the attempt was connecting, the endpoint may have started to drain, and the period in which
    // endpoints recognize a repeated attempt may have ended.
    let in_time = |now| attempt.send_before.is_none_or(|send_before| now < send_before);
    let may_send = || {
        connection_id.may_be_sent()
            && relay.borrow().may_send_to(&attempt.endpoint)
            && in_time(timers.clock.now())
    };
    let Some(mut upstream) = connected.ok().filter(|_| may_send()) else {
        return AttemptResult::Failed(Outcome::ConnectFailed, None);
    };
    let remaining_ms = deadline.saturating_sub(timers.clock.now()) / MICROS_PER_MILLISECOND;
    if forward_request(&mut upstream, request, remaining_ms.max(1)).await.is_err() {
        return AttemptResult::Failed(Outcome::ConnectFailed, None);
    }
    request_sent.set(true);
    relay.borrow_mut().request_sent(request, connection_id);
    read_response(relay, upstream).await
}

/// Makes one attempt to connect a connection that was established before the relay started to its endpoint
/// again. Returns `None` if the attempt failed.
pub(super) async fn reconnect(
    relay: &SharedRelay, request: &OpenRequest, endpoint: &EndpointId, address: SocketAddr,
) -> Option<UpstreamStream> {
    let mut upstream = open_socket(address).await.ok()?;
    // An operator may have put the endpoint into maintenance in the meantime.
    if relay.borrow().in_maintenance(endpoint) {
        return None;
    }
    upstream.write_all(request.as_bytes()).await.ok()?;
    relay.borrow_mut().record_forwarded(request);
    match read_response(relay, upstream).await {
        AttemptResult::Established(upstream) => Some(upstream),
        AttemptResult::Completed(_) | AttemptResult::Failed(..) => None,
    }
}

/// Connects a socket to an endpoint.
async fn open_socket(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Without these options, the kernel's defaults apply.
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    let stream = socket.connect(address).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Writes the request with the time remaining replaced by this number of milliseconds.
async fn forward_request(
    upstream: &mut TcpStream, request: &OpenRequest, remaining_ms: u64,
) -> io::Result<()> {
    let digits = remaining_ms.to_string();
    let mut pieces = request.with_time_remaining_ms(digits.as_bytes());
    let mut pieces = &mut pieces[..];
    while pieces.iter().any(|piece| !piece.is_empty()) {
        let written = upstream.write_vectored(pieces).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        io::IoSlice::advance_slices(&mut pieces, written);
    }
    Ok(())
}

async fn read_response(relay: &SharedRelay, mut upstream: TcpStream) -> AttemptResult {
    let mut received = BytesMut::with_capacity(RESPONSE_BUFFER_BYTES);
    let end = loop {
        match protocol::first_line_end(&received) {
            Ok(Some(end)) => break end,
            Ok(None) => {}
            Err(_) => return AttemptResult::Failed(Outcome::Error, None),
        }
        match upstream.read_buf(&mut received).await {
            Ok(0) | Err(_) => return AttemptResult::Failed(Outcome::Reset, None),
            Ok(_) => {}
        }
    };
    let load_report = |text: &str| {
        let relay = relay.borrow();
        (!text.is_empty()).then(|| relay.names.load_report(|name| load_report_value(text, name)))
    };
    match EndpointLine::parse(&received[..end]) {
        EndpointLine::Established => {
            AttemptResult::Established(UpstreamStream { stream: upstream, received })
        }
        EndpointLine::Completed(_) => AttemptResult::Completed(received),
        EndpointLine::Migrate => AttemptResult::Failed(Outcome::Cancelled, None),
        EndpointLine::Rejected(report) => AttemptResult::Failed(Outcome::Rejected, load_report(report)),
        EndpointLine::Failed(report) => AttemptResult::Failed(Outcome::Error, load_report(report)),
        _ => AttemptResult::Failed(Outcome::Error, None),
    }
}
