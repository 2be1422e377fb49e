//! Probes: asks a card server for its load, over one connection that is kept.

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::relay::connections::protocol::{EndpointLine, first_line_end, load_report_value};
use crate::relay::{DescriptorPermit, SharedRelay};
use honeyknot_balancer::*;

/// A probe without an answer after this has failed.
const PROBE_WAIT: Micros = 500_000;

/// What the probe of a card server is asked to do.
pub enum HealthCheckCommand {
    /// Ask for its load.
    Look,
    /// Close the connection.
    Close,
}

/// Starts the probe of a card server.
pub fn start(relay: SharedRelay, server: EndpointId) -> UnboundedSender<HealthCheckCommand> {
    let (errands, asked) = unbounded_channel();
    tokio::task::spawn_local(run(relay, server, asked));
    errands
}

/// The kept connection of a probe, and its descriptor in the count.
type Line = Option<(TcpStream, DescriptorPermit)>;

async fn run(relay: SharedRelay, server: EndpointId, mut errands: UnboundedReceiver<HealthCheckCommand>) {
    let timers = relay.borrow().timers.clone();
    let idle = relay.borrow().idle_close();
    let mut line: Line = None;
    loop {
        let errand = tokio::select! {
            errand = errands.recv() => errand,
            () = timers.sleep(idle), if line.is_some() => Some(HealthCheckCommand::Close),
        };
        match errand {
            None => return,
            Some(HealthCheckCommand::Close) => line = None,
            Some(HealthCheckCommand::Look) => {
                let sent = timers.clock.now();
                let found = tokio::select! {
                    found = look(&relay, &server, &mut line) => found,
                    () = timers.sleep(PROBE_WAIT) => (Outcome::Timeout, None),
                };
                if !matches!(found.0, Outcome::Ok | Outcome::Error) {
                    line = None;
                }
                let elapsed = timers.clock.now() - sent;
                relay.borrow_mut().health_check_ended(server.clone(), found.0, elapsed, found.1);
            }
        }
    }
}

/// One probe. A kept connection that turns out closed is opened anew: only its closing was seen late.
async fn look(relay: &SharedRelay, server: &EndpointId, line: &mut Line) -> (Outcome, Option<LoadReport>) {
    if let Some((stream, _)) = line
        && let Some(found) = ask(relay, stream).await
    {
        return found;
    }
    *line = None;
    let (address, held) = {
        let relay = relay.borrow();
        (relay.endpoint_address(server), relay.acquire_descriptor())
    };
    // Without a descriptor to spare it says nothing about the card server.
    let Some(held) = held else { return (Outcome::Cancelled, None) };
    let Some(address) = address else { return (Outcome::ConnectFailed, None) };
    let wait = relay.borrow().connect_timeout();
    let timers = relay.borrow().timers.clone();
    let dialled = tokio::select! {
        dialled = TcpStream::connect(address) => dialled.ok(),
        () = timers.sleep(wait) => None,
    };
    let Some(stream) = dialled else { return (Outcome::ConnectFailed, None) };
    let _ = stream.set_nodelay(true);
    let (stream, _) = line.insert((stream, held));
    ask(relay, stream).await.unwrap_or((Outcome::Reset, None))
}

/// Asks and reads one line; nothing if the connection broke.
async fn ask(relay: &SharedRelay, stream: &mut TcpStream) -> Option<(Outcome, Option<LoadReport>)> {
    stream.write_all(b"STATS\r\n").await.ok()?;
    let mut bytes = BytesMut::with_capacity(256);
    let end = loop {
        match first_line_end(&bytes) {
            Ok(Some(end)) => break end,
            Ok(None) => {}
            Err(_) => return Some((Outcome::Error, None)),
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let names = &relay.borrow().names;
    let report =
        |text: &str| (!text.is_empty()).then(|| names.load_report(|name| load_report_value(text, name)));
    Some(match EndpointLine::parse(&bytes[..end]) {
        EndpointLine::Healthy(text) => (Outcome::Ok, report(text)),
        EndpointLine::Failed(text) => (Outcome::Error, report(text)),
        EndpointLine::Rejected(text) => (Outcome::Rejected, report(text)),
        EndpointLine::HealthCheckDisallowed => (Outcome::NotSent, None),
        _ => (Outcome::Error, None),
    })
}
