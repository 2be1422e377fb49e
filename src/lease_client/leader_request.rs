//! Single requests to whichever lease server is the leader, for admin commands and tests.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use honeyknot_lease::Command;
use honeyknot_lease_consensus::{ReplicaId, Response};
use thiserror::Error;
use tokio::time::timeout;

use super::codec::{self, ProtocolError};
use super::config::LeaseConfig;
use super::frame::Frame;
use super::greeting::{Greeting, GreetingSender};
use super::handshake;

/// Timeout of a request to one server.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of rounds over all servers. There are several, so that an election can end in between.
const MAX_ROUNDS: u32 = 5;
/// Pause after a round in which no leader answered.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Name of the client in the greeting of admin commands.
const CLIENT_NAME: &str = "staff";
const REQUEST_ID: u64 = 1;

/// No leader has answered.
#[derive(Debug, Error)]
#[error("no lease server has answered as leader: {}", join(.failures))]
pub struct NoLeaderError {
    /// The failure of each request of the last round.
    pub failures: Vec<ServerFailure>,
}

fn join(failures: &[ServerFailure]) -> String {
    failures.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// A request that a server did not answer as leader.
#[derive(Debug)]
pub struct ServerFailure {
    /// Number of the server.
    pub server: ReplicaId,
    /// The reason.
    pub reason: FailureReason,
}

/// Why a server did not answer as leader.
#[derive(Debug)]
pub enum FailureReason {
    /// The server redirects to the lease server with this number.
    Redirect(ReplicaId),
    /// The server knows no leader.
    NoLeader,
    /// The server is overloaded.
    Overloaded,
    /// The connection to this address failed.
    Connection(SocketAddr, io::Error),
}

impl fmt::Display for ServerFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let server = self.server;
        match &self.reason {
            FailureReason::Redirect(leader) => {
                write!(formatter, "lease server {server}: redirects to lease server {leader}")
            }
            FailureReason::NoLeader => write!(formatter, "lease server {server}: knows no leader"),
            FailureReason::Overloaded => write!(formatter, "lease server {server}: overloaded"),
            FailureReason::Connection(address, error) => {
                write!(formatter, "lease server {server} at {address}: {error}")
            }
        }
    }
}

/// Sends commands to the servers in turn, and to those that they redirect to, until a leader answers.
///
/// # Errors
/// No leader has answered in any of several rounds.
pub async fn request(config: &LeaseConfig, commands: Vec<Command>) -> Result<Response, NoLeaderError> {
    let greeting = Greeting::new(GreetingSender::Client(CLIENT_NAME.into()), config);
    let mut failures = Vec::new();
    for _ in 0..MAX_ROUNDS {
        failures = match request_round(config, &greeting, &commands).await {
            Ok(response) => return Ok(response),
            Err(failures) => failures,
        };
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    Err(NoLeaderError { failures })
}

async fn request_round(
    config: &LeaseConfig, greeting: &Greeting, commands: &[Command],
) -> Result<Response, Vec<ServerFailure>> {
    let mut failures = Vec::new();
    let mut order: Vec<ReplicaId> = config.servers.keys().copied().collect();
    let mut next = 0;
    while next < order.len() && next < 2 * config.servers.len() {
        let server = order[next];
        next += 1;
        let Some(address) = config.servers.get(&server).copied() else { continue };
        let response = timeout(REQUEST_TIMEOUT, request_once(address, greeting, commands)).await;
        let reason = match response.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
            Ok(Response::NotLeader(Some(leader))) => {
                order.insert(next, leader);
                FailureReason::Redirect(leader)
            }
            Ok(Response::NotLeader(None)) => FailureReason::NoLeader,
            Ok(Response::Overloaded) => FailureReason::Overloaded,
            Ok(response) => return Ok(response),
            Err(error) => FailureReason::Connection(address, error),
        };
        failures.push(ServerFailure { server, reason });
    }
    Err(failures)
}

/// Sends commands to one server.
///
/// # Errors
/// The connection fails or the server violates the protocol.
pub async fn request_once(
    address: SocketAddr, greeting: &Greeting, commands: &[Command],
) -> io::Result<Response> {
    let (mut reader, mut writer) = handshake::dial(address, greeting, REQUEST_TIMEOUT).await?;
    let request = Frame::Request { id: REQUEST_ID, commands: commands.to_vec() };
    codec::send(&mut writer, &request, REQUEST_TIMEOUT).await?;
    match reader.next().await? {
        Some(Frame::Response { response, .. }) => Ok(response),
        Some(_) => Err(ProtocolError::NotAResponse.into()),
        None => Err(ErrorKind::ConnectionReset.into()),
    }
}
