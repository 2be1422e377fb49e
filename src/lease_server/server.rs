//! Startup of a lease server.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease::Micros;
use honeyknot_lease_consensus::{PeerMessage, Replica, ReplicaId, ReplicaSettings};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tracing::info;

use super::connections::ConnectionAcceptor;
use super::error::LeaseServerError;
use super::event::{EVENT_QUEUE_CAPACITY, QUEUE_CAPACITY, ServerEvent};
use super::event_loop::EventLoop;
use super::known_databases::KnownDatabases;
use super::options::LeaseServerOptions;
use super::peer_sender::PeerSender;
use super::storage::{DatabaseOwner, LeaseDatabase};
use crate::lease_client::config::LeaseConfig;
use crate::lease_client::greeting::{Greeting, GreetingSender};
use crate::lease_client::{Clock, boot_clock};

/// Number of applied entries after which the log is compacted into a snapshot.
const COMPACT_AFTER: u64 = 4_096;
const TICKS_PER_ELECTION_TIMEOUT: Micros = 20;
const MIN_TICK_INTERVAL: Micros = 5_000;
const MAX_TICK_INTERVAL: Micros = 200_000;

/// Runs a lease server with [`boot_clock`] until SIGTERM.
///
/// # Errors
/// The server does not start, or its storage or replica fails.
pub fn serve(config: &LeaseConfig, options: &LeaseServerOptions) -> Result<(), LeaseServerError> {
    serve_with_clock(config, options, Rc::new(boot_clock))
}

/// Runs a lease server like [`serve`], with another clock.
///
/// # Errors
/// The same as those of [`serve`].
pub fn serve_with_clock(
    config: &LeaseConfig, options: &LeaseServerOptions, clock: Clock,
) -> Result<(), LeaseServerError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(LeaseServerError::Runtime)?;
    LocalSet::new().block_on(&runtime, start(config, options, clock))
}

async fn start(
    config: &LeaseConfig, options: &LeaseServerOptions, clock: Clock,
) -> Result<(), LeaseServerError> {
    let (id, server_count) = (options.number, config.server_count());
    let address = config.servers.get(&id).copied();
    let address = address.ok_or(LeaseServerError::UnknownNumber { number: id, server_count })?;
    let owner = DatabaseOwner { fleet: config.fleet.clone(), server_count, server: id };
    let (database, content) = LeaseDatabase::open(&options.folder, owner, options.bootstrap_tokens_from)?;
    let tick_interval =
        (config.election_timeout / TICKS_PER_ELECTION_TIMEOUT).clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
    let settings = ReplicaSettings {
        parameters: config.parameters,
        id,
        replica_count: server_count,
        tick_interval,
        election_timeout: config.election_timeout,
        compact_after: COMPACT_AFTER,
        tokens_from: content.tokens_from,
    };
    let replica = Replica::new(settings, content.state)
        .map_err(|source| LeaseServerError::InvalidState { folder: options.folder.clone(), source })?;
    let listener =
        TcpListener::bind(address).await.map_err(|source| LeaseServerError::Bind { address, source })?;
    let (folder, term) = (options.folder.display(), replica.term());
    info!(target: "lease_server", replica = id, %address, %folder, term, "lease server started");
    let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let greeting = Greeting::new(GreetingSender::LeaseServer(id, content.database_id), config);
    let acceptor = ConnectionAcceptor {
        greeting: greeting.clone(),
        known_databases: KnownDatabases::new(content.peer_database_ids),
        events: event_sender.clone(),
    };
    tokio::task::spawn_local(acceptor.run(listener));
    let peers = start_peer_senders(config, id, &greeting, &event_sender, &clock);
    let event_loop = EventLoop::new(replica, database, clock, peers, config.parameters.drift_ppm);
    event_loop.run(events, Duration::from_micros(tick_interval)).await
}

/// Starts one sender for each other server and returns their queues.
fn start_peer_senders(
    config: &LeaseConfig, own_id: ReplicaId, greeting: &Greeting, events: &mpsc::Sender<ServerEvent>,
    clock: &Clock,
) -> BTreeMap<ReplicaId, mpsc::Sender<PeerMessage>> {
    let mut queues = BTreeMap::new();
    for (peer, address) in config.servers.iter().filter(|(id, _)| **id != own_id) {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let sender = PeerSender {
            peer: *peer,
            address: *address,
            greeting: greeting.clone(),
            messages,
            events: events.clone(),
            election_timeout: Duration::from_micros(config.election_timeout),
            clock: clock.clone(),
        };
        tokio::task::spawn_local(sender.run());
        queues.insert(*peer, queue);
    }
    queues
}
