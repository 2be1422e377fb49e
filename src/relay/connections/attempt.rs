//! One attempt at an endpoint: connects, forwards the request and reads the first line of the answer.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use honeyknot_balancer::{EndpointId, LoadReport, Micros, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::protocol::{self, EndpointLine, MICROS_PER_MILLISECOND, OpenRequest, load_report_value};
use crate::relay::{AttemptRequest, SharedRelay};

/// Initial size in bytes of the buffer for an answer.
const ANSWER_BUFFER_BYTES: usize = 512;

/// A connection to an endpoint, and what has been received on it.
pub(super) struct UpstreamStream {
    pub(super) stream: TcpStream,
    /// Begins with the endpoint's first line.
    pub(super) received: BytesMut,
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The endpoint has accepted the connection.
    Established(UpstreamStream),
    /// The endpoint served the connection to its end at once; these bytes are its answer.
    Completed(BytesMut),
    /// The attempt failed, perhaps with a load report.
    Failed(Outcome, Option<LoadReport>),
}

/// Makes an attempt at an endpoint.
///
/// `request_sent` is set once the last byte of the request is written: until then the endpoint cannot have run it.
pub(super) async fn connect(
    relay: &SharedRelay, request: &OpenRequest, attempt: &AttemptRequest, due: Micros,
    request_sent: &Cell<bool>,
) -> AttemptResult {
    let timers = relay.borrow().timers.clone();
    let connect_timeout = relay.borrow().connect_timeout();
    let connected = tokio::select! {
        connected = TcpStream::connect(attempt.address) => connected,
        () = timers.sleep(connect_timeout) => Err(io::ErrorKind::TimedOut.into()),
    };
    if connected.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
        relay.borrow().connection_refused_by(&attempt.endpoint);
    }
    // Since the attempt began, the endpoint may have started to drain, and the time in which endpoints recognize a
    // repeated attempt may have passed.
    let in_time = |now| attempt.send_before.is_none_or(|end| now < end);
    let may_send = || relay.borrow().may_send_to(&attempt.endpoint) && in_time(timers.clock.now());
    let Some(mut upstream) = connected.ok().filter(|_| may_send()) else {
        return AttemptResult::Failed(Outcome::ConnectFailed, None);
    };
    let _ = upstream.set_nodelay(true);
    let remaining_ms = due.saturating_sub(timers.clock.now()) / MICROS_PER_MILLISECOND;
    if forward_request(&mut upstream, request, remaining_ms.max(1)).await.is_err() {
        return AttemptResult::Failed(Outcome::ConnectFailed, None);
    }
    request_sent.set(true);
    relay.borrow_mut().record_forwarded(request);
    read_answer(relay, upstream).await
}

/// Connects once to the endpoint of a connection that was established before the relay started.
pub(super) async fn reconnect(
    relay: &SharedRelay, request: &OpenRequest, endpoint: &EndpointId, address: SocketAddr,
) -> Option<UpstreamStream> {
    let mut upstream = TcpStream::connect(address).await.ok()?;
    // An operator may have started the endpoint's maintenance meanwhile.
    if relay.borrow().in_maintenance(endpoint) {
        return None;
    }
    let _ = upstream.set_nodelay(true);
    upstream.write_all(request.as_bytes()).await.ok()?;
    relay.borrow_mut().record_forwarded(request);
    match read_answer(relay, upstream).await {
        AttemptResult::Established(upstream) => Some(upstream),
        AttemptResult::Completed(_) | AttemptResult::Failed(..) => None,
    }
}

/// Writes the request with another time remaining.
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

async fn read_answer(relay: &SharedRelay, mut upstream: TcpStream) -> AttemptResult {
    let mut received = BytesMut::with_capacity(ANSWER_BUFFER_BYTES);
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
