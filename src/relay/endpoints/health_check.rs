//! Health checks: requests an endpoint's load report over a persistent connection.

use bytes::BytesMut;
use honeyknot_balancer::{EndpointId, LoadReport, Micros, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::relay::connections::protocol::{EndpointLine, first_line_end, load_report_value};
use crate::relay::{DescriptorPermit, SharedRelay};

/// Timeout of a health check, in microseconds.
const HEALTH_CHECK_TIMEOUT: Micros = 500_000;
/// Initial capacity of the receive buffer, in bytes.
const ANSWER_CAPACITY: usize = 256;

/// A command to the health check task of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckCommand {
    /// Check the endpoint's health once.
    Check,
    /// Close the persistent connection.
    Close,
}

/// The persistent connection to an endpoint, and its descriptor.
struct HealthCheckConnection {
    stream: TcpStream,
    _permit: DescriptorPermit,
}

/// The result of a health check: its outcome, and the load report if the endpoint sent one.
struct HealthCheckResult {
    outcome: Outcome,
    report: Option<LoadReport>,
}

impl From<Outcome> for HealthCheckResult {
    fn from(outcome: Outcome) -> HealthCheckResult {
        HealthCheckResult { outcome, report: None }
    }
}

/// Starts the health check task of an endpoint; it ends when the returned sender is dropped.
pub fn start(relay: SharedRelay, endpoint: EndpointId) -> UnboundedSender<HealthCheckCommand> {
    let (sender, commands) = unbounded_channel();
    tokio::task::spawn_local(run(relay, endpoint, commands));
    sender
}

async fn run(relay: SharedRelay, endpoint: EndpointId, mut commands: UnboundedReceiver<HealthCheckCommand>) {
    let timers = relay.borrow().timers.clone();
    let idle_timeout = relay.borrow().idle_timeout();
    let mut connection = None;
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            () = timers.sleep(idle_timeout), if connection.is_some() => Some(HealthCheckCommand::Close),
        };
        match command {
            None => return,
            Some(HealthCheckCommand::Close) => connection = None,
            Some(HealthCheckCommand::Check) => {
                let started_at = timers.clock.now();
                let result = tokio::select! {
                    result = check(&relay, &endpoint, &mut connection) => result,
                    () = timers.sleep(HEALTH_CHECK_TIMEOUT) => Outcome::Timeout.into(),
                };
                if !matches!(result.outcome, Outcome::Ok | Outcome::Error) {
                    connection = None;
                }
                let elapsed = timers.clock.now() - started_at;
                let mut relay = relay.borrow_mut();
                relay.health_check_ended(endpoint.clone(), result.outcome, elapsed, result.report);
            }
        }
    }
}

/// Checks an endpoint's health. If the persistent connection turns out to be broken, a new one is opened.
async fn check(
    relay: &SharedRelay, endpoint: &EndpointId, connection: &mut Option<HealthCheckConnection>,
) -> HealthCheckResult {
    if let Some(open) = connection
        && let Some(result) = request_stats(relay, &mut open.stream).await
    {
        return result;
    }
    *connection = None;
    let opened = match connect(relay, endpoint).await {
        Ok(opened) => connection.insert(opened),
        Err(outcome) => return outcome.into(),
    };
    request_stats(relay, &mut opened.stream).await.unwrap_or(Outcome::Reset.into())
}

/// Connects to an endpoint.
///
/// # Errors
/// [`Outcome::ConnectFailed`] if the endpoint's address is unknown or it cannot be connected to in time, and
/// [`Outcome::Cancelled`] if no descriptor is available, which says nothing about the endpoint.
async fn connect(relay: &SharedRelay, endpoint: &EndpointId) -> Result<HealthCheckConnection, Outcome> {
    let (address, permit) = {
        let relay = relay.borrow();
        (relay.endpoint_address(endpoint), relay.acquire_descriptor())
    };
    let permit = permit.ok_or(Outcome::Cancelled)?;
    let address = address.ok_or(Outcome::ConnectFailed)?;
    let timeout = relay.borrow().connect_timeout();
    let timers = relay.borrow().timers.clone();
    let stream = tokio::select! {
        stream = TcpStream::connect(address) => stream.ok(),
        () = timers.sleep(timeout) => None,
    };
    let stream = stream.ok_or(Outcome::ConnectFailed)?;
    let _ = stream.set_nodelay(true);
    Ok(HealthCheckConnection { stream, _permit: permit })
}

/// Requests a load report and reads the answer, one line. Returns `None` if the connection broke.
async fn request_stats(relay: &SharedRelay, stream: &mut TcpStream) -> Option<HealthCheckResult> {
    stream.write_all(b"STATS\r\n").await.ok()?;
    let mut bytes = BytesMut::with_capacity(ANSWER_CAPACITY);
    let end = loop {
        match first_line_end(&bytes) {
            Ok(Some(end)) => break end,
            Ok(None) => {}
            Err(_) => return Some(Outcome::Error.into()),
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let names = &relay.borrow().names;
    let report =
        |text: &str| (!text.is_empty()).then(|| names.load_report(|name| load_report_value(text, name)));
    Some(match EndpointLine::parse(&bytes[..end]) {
        EndpointLine::Healthy(text) => HealthCheckResult { outcome: Outcome::Ok, report: report(text) },
        EndpointLine::Failed(text) => HealthCheckResult { outcome: Outcome::Error, report: report(text) },
        EndpointLine::Rejected(text) => {
            HealthCheckResult { outcome: Outcome::Rejected, report: report(text) }
        }
        EndpointLine::HealthCheckDisallowed => Outcome::NotSent.into(),
        _ => Outcome::Error.into(),
    })
}
