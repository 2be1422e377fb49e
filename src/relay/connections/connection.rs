//! The state machine of a client connection.

use honeyknot_balancer::EndpointId;
use tokio::net::TcpStream;

use super::adoption::AdoptingConnection;
use super::client_stream::ClientStream;
use super::established::{EstablishedConnection, FinalState};
use super::handshake::IdleConnection;
use super::idle::IdleSlot;
use super::opening::OpeningConnection;
use crate::relay::{DescriptorPermit, SharedRelay};

/// The state of a connection.
///
/// | from | to | when |
/// | --- | --- | --- |
/// | `Idle` | `Opening` | the client has sent a valid request and the relay has capacity for it |
/// | `Idle` | `Adopting` | the request names the endpoint at which the connection was established before |
/// | `Opening` | `Established` | an endpoint has accepted the connection |
/// | `Adopting` | `Established` | the endpoint has accepted the connection again |
/// | `Idle`, `Opening`, `Adopting` | `Closed` | the client has its response, or has disconnected |
/// | `Established` | `Closed` | one side has closed it, the endpoint is silent, or the client is migrated |
/// | `Established` | `Transferred` | another process of this relay continues it in the state `Established` |
///
/// The sockets are closed before the transition to `Closed`.
pub(super) enum ConnectionState {
    /// The client has not sent a complete request.
    Idle(Box<IdleConnection>),
    /// Attempts are made to connect to an endpoint.
    Opening(Box<OpeningConnection>),
    /// A connection that was established before the relay started is connected to its endpoint again.
    Adopting(Box<AdoptingConnection>),
    /// Lines are relayed both ways.
    Established(Box<EstablishedConnection>),
    /// Both sides are closed.
    Closed,
    /// The connection continues in another process.
    Transferred,
}

/// Serves an accepted connection until it is closed or transferred.
pub(super) async fn serve(relay: SharedRelay, stream: TcpStream, permit: DescriptorPermit, slot: IdleSlot) {
    let _ = stream.set_nodelay(true);
    let downstream = ClientStream::new(stream, permit, &relay);
    let idle = IdleConnection { relay, downstream, slot };
    ConnectionState::Idle(Box::new(idle)).run().await;
}

impl ConnectionState {
    /// Runs the state machine until it reaches a final state.
    pub(super) async fn run(self) {
        let mut state = self;
        while !matches!(state, ConnectionState::Closed | ConnectionState::Transferred) {
            state = state.next().await;
        }
    }

    /// Runs this state until it ends and returns the next one; a final state returns itself.
    async fn next(self) -> ConnectionState {
        match self {
            ConnectionState::Idle(idle) => after_idle(*idle).await,
            ConnectionState::Opening(opening) => established_or_closed(opening.run().await),
            ConnectionState::Adopting(adopting) => established_or_closed(adopting.run().await),
            ConnectionState::Established(established) => match established.run().await {
                FinalState::Closed => ConnectionState::Closed,
                FinalState::Transferred => ConnectionState::Transferred,
            },
            ConnectionState::Closed | ConnectionState::Transferred => self,
        }
    }
}

async fn after_idle(idle: IdleConnection) -> ConnectionState {
    let Some(valid) = idle.run().await else { return ConnectionState::Closed };
    match valid.request.established_endpoint().map(|id| EndpointId(id.into())) {
        Some(endpoint) => {
            let admitted = AdoptingConnection::admit(valid, endpoint).await;
            admitted.map_or(ConnectionState::Closed, |adopting| ConnectionState::Adopting(Box::new(adopting)))
        }
        None => {
            let admitted = OpeningConnection::admit(valid).await;
            admitted.map_or(ConnectionState::Closed, |opening| ConnectionState::Opening(Box::new(opening)))
        }
    }
}

fn established_or_closed(established: Option<EstablishedConnection>) -> ConnectionState {
    established
        .map_or(ConnectionState::Closed, |connection| ConnectionState::Established(Box::new(connection)))
}
