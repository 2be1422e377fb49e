//! The task that sends a lease client's requests and feeds it the responses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease::{LeaseClient, LeaseRequest};
use honeyknot_lease_consensus::{ReplicaId, Response};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;
use tracing::warn;

use super::Clock;
use super::config::LeaseConfig;
use super::connection::{ConnectionEvent, ServerConnection};
use super::frame::Frame;
use super::greeting::{Greeting, GreetingSender};
use honeyknot_balancer::Micros;

/// Maximum number of frames and events that wait for a connection or the loop.
const QUEUE_CAPACITY: usize = 16;
/// Maximum time between two polls of the lease client, in microseconds.
const MAX_SLEEP: Micros = 3_600_000_000;
/// Time added to each sleep, in microseconds, because the clocks of leases and of timers may differ slightly
/// in rate.
const SLEEP_MARGIN: Micros = 500;

/// A connection's queue and the request that was sent over it last.
struct ConnectionHandle {
    frames: mpsc::Sender<Frame>,
    last_request_id: u64,
}

pub(super) struct RequestLoop {
    lease_client: Rc<RefCell<LeaseClient>>,
    changed: Rc<Notify>,
    clock: Clock,
    servers: BTreeMap<ReplicaId, SocketAddr>,
    greeting: Greeting,
    connections: BTreeMap<ReplicaId, ConnectionHandle>,
    /// The last error that was logged, which is not logged again before a response arrives.
    logged_error: Option<String>,
    io_timeout: Duration,
    event_sender: mpsc::Sender<ConnectionEvent>,
    events: mpsc::Receiver<ConnectionEvent>,
}

impl RequestLoop {
    pub(super) fn new(
        config: &LeaseConfig, name: &str, clock: Clock, lease_client: Rc<RefCell<LeaseClient>>,
        changed: Rc<Notify>,
    ) -> RequestLoop {
        let (event_sender, events) = mpsc::channel(QUEUE_CAPACITY);
        RequestLoop {
            lease_client,
            changed,
            clock,
            servers: config.servers.clone(),
            greeting: Greeting::new(GreetingSender::Client(name.to_owned()), config),
            connections: BTreeMap::new(),
            logged_error: None,
            io_timeout: Duration::from_micros(config.parameters.lease_duration / 4),
            event_sender,
            events,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let now = (self.clock)();
            let request = self.lease_client.borrow_mut().next_request(now);
            if let Some(request) = request {
                self.send(request);
            }
            let next_request_at = self.lease_client.borrow().next_request_at();
            let wait = next_request_at.saturating_sub((self.clock)()).min(MAX_SLEEP);
            let changed = self.changed.clone();
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = changed.notified() => {}
                () = sleep(Duration::from_micros(wait + SLEEP_MARGIN)) => {}
            }
        }
    }

    fn send(&mut self, request: LeaseRequest) {
        let LeaseRequest { server, id, commands } = request;
        let Some(address) = self.servers.get(&server).copied() else { return };
        let connection = self.connections.entry(server).or_insert_with(|| {
            let (frame_sender, frames) = mpsc::channel(QUEUE_CAPACITY);
            let connection = ServerConnection {
                server,
                address,
                greeting: self.greeting.clone(),
                frames,
                events: self.event_sender.clone(),
                io_timeout: self.io_timeout,
            };
            tokio::task::spawn_local(connection.run());
            ConnectionHandle { frames: frame_sender, last_request_id: id }
        });
        connection.last_request_id = id;
        if connection.frames.try_send(Frame::Request { id, commands }).is_err() {
            self.connections.remove(&server);
            self.lease_client.borrow_mut().on_connection_lost((self.clock)(), id);
        }
    }

    fn on_event(&mut self, event: ConnectionEvent) {
        let now = (self.clock)();
        match event {
            ConnectionEvent::Response { id, response } => {
                self.on_response(now, id, response);
                self.logged_error = None;
            }
            ConnectionEvent::Closed { server, error } => self.on_closed(now, server, error),
        }
    }

    fn on_response(&self, now: Micros, id: u64, response: Response) {
        let mut lease_client = self.lease_client.borrow_mut();
        match response {
            Response::Results(results) => lease_client.on_response(now, id, &results),
            Response::NotLeader(leader) => lease_client.on_redirect(now, id, leader),
            Response::Overloaded => lease_client.on_overload(now, id),
            Response::Leases(_) => {}
        }
    }

    fn on_closed(&mut self, now: Micros, server: ReplicaId, error: String) {
        if let Some(connection) = self.connections.remove(&server) {
            self.lease_client.borrow_mut().on_connection_lost(now, connection.last_request_id);
        }
        if self.logged_error.as_ref() != Some(&error) {
            warn!(target: "lease_client", server, error, "lease server unavailable; trying the others");
            self.logged_error = Some(error);
        }
    }
}
