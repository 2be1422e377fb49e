//! The task that polls discovery while the relay runs.

use std::net::SocketAddr;
use std::rc::Rc;

use honeyknot_balancer::{DiscoveryMode, Micros, Settings};
use honeyknot_discovery::{
    DiscoveryConfig, DiscoveryPoller, DiscoveryRequest, DiscoveryState, EndpointList, Poll,
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::command::{DiscoveryCommand, Interruption, handle_command, next_interruption};
use super::connection::DiscoveryConnection;
use super::error::DiscoveryError;
use super::list_codec::{EndpointListUpdate, parse_endpoint_list};
use super::shared_list::with_addresses;
use crate::relay::SharedRelay;
use crate::relay::timer_wheel::Timers;

/// Makes the poller's random numbers differ from the balancer's, which has the same seed.
const SEED_SALT: u64 = 0x115_7e4;

/// How a request ended.
enum PollOutcome {
    Completed(Result<EndpointListUpdate, DiscoveryError>),
    Interrupted(Interruption),
    /// The client must end. The response has arrived if there is one.
    Stopped(Option<Result<EndpointListUpdate, DiscoveryError>>, oneshot::Sender<()>),
    /// The relay has stopped, so the channel of commands is closed.
    RelayStopped,
}

/// Creates the poller of a relay that starts with the endpoint list `known`.
pub fn new_poller(
    settings: &Settings, seed: u64, service: SocketAddr, known: &EndpointListUpdate, now: Micros,
) -> DiscoveryPoller {
    let initial = EndpointList { version: known.version, full: true, endpoints: known.endpoints.clone() };
    let is_pushed = settings.discovery == DiscoveryMode::Pushed;
    let config = DiscoveryConfig {
        fleet_size: settings.fleet_size,
        max_list_age: settings.rules.max_list_age,
        agent_drain_grace: is_pushed.then_some(settings.rules.drain_grace),
        seed: seed.rotate_left(32) ^ SEED_SALT,
    };
    let mut poller = DiscoveryPoller::new(config, &initial, now);
    poller.set_service(service);
    poller
}

/// Makes the requests that the poller schedules, one at a time, until the relay stops.
///
/// The endpoint list is polled from the start, even if the settings say that it is pushed: it is then
/// pushed to a local agent, which the relay polls, and the relay counts as notified of a change once the
/// agent has it. A change of address abandons the request in flight and requests the full list at the new
/// address; the current list stays in use meanwhile.
pub async fn run(
    relay: SharedRelay, address: SocketAddr, poller: DiscoveryPoller,
    commands: UnboundedReceiver<DiscoveryCommand>,
) {
    let timers = relay.borrow().timers.clone();
    let connection = DiscoveryConnection::new(address, &timers);
    let stopped = DiscoveryClient { relay, timers, poller, connection, commands }.run().await;
    // The client has been dropped, so that its connection is closed.
    drop(stopped);
}

struct DiscoveryClient {
    relay: SharedRelay,
    timers: Rc<Timers>,
    poller: DiscoveryPoller,
    connection: DiscoveryConnection,
    commands: UnboundedReceiver<DiscoveryCommand>,
}

impl DiscoveryClient {
    /// Returns the sender of the command that has stopped the client, if one has.
    async fn run(mut self) -> Option<oneshot::Sender<()>> {
        loop {
            self.relay.borrow_mut().discovery_state = self.poller.state();
            let next_poll_at = self.poller.next_poll_at();
            tokio::select! {
                biased;
                command = self.commands.recv() => {
                    match command? {
                        DiscoveryCommand::Stop(stopped) => return Some(stopped),
                        command => self.handle_idle_command(command),
                    }
                    continue;
                }
                () = self.timers.sleep_until(next_poll_at.unwrap_or(0)), if next_poll_at.is_some() => {}
            }
            match self.poll().await {
                PollOutcome::Completed(result) => self.complete(result),
                PollOutcome::Interrupted(interruption) => self.interrupt(interruption),
                PollOutcome::Stopped(response, stopped) => {
                    response.into_iter().for_each(|result| self.complete(result));
                    return Some(stopped);
                }
                PollOutcome::RelayStopped => return None,
            }
        }
    }

    fn complete(&mut self, result: Result<EndpointListUpdate, DiscoveryError>) {
        match result {
            Ok(update) => self.apply(update),
            Err(error) => self.fail(&error),
        }
    }

    fn handle_idle_command(&mut self, command: DiscoveryCommand) {
        match handle_command(command, &mut self.poller, &self.relay, self.timers.clock.now()) {
            // Only a request in flight can be abandoned as stale.
            None | Some(Interruption::StaleList) => {}
            Some(interruption) => self.interrupt(interruption),
        }
    }

    fn interrupt(&mut self, interruption: Interruption) {
        match interruption {
            Interruption::StaleList => {
                self.connection.close();
                self.fail(&DiscoveryError::StaleList);
            }
            Interruption::AddressChanged(address) => {
                self.connection.change_address(address);
                self.poller.set_service(address);
                self.poller.change_service(self.timers.clock.now());
            }
            Interruption::FullListNeeded => {
                self.connection.close();
                self.poller.change_service(self.timers.clock.now());
            }
            Interruption::Stopped(_) => unreachable!("the client ends instead"),
        }
    }

    /// Makes the request that is due; a command may interrupt it.
    async fn poll(&mut self) -> PollOutcome {
        let Poll { request, timeout } = self.poller.start_poll(self.timers.clock.now());
        let path = request_path(request);
        let fetch = fetch_list(&mut self.connection, &self.relay, &path, timeout);
        tokio::pin!(fetch);
        let interruption = tokio::select! {
            biased;
            interruption = next_interruption(&mut self.commands, &mut self.poller, &self.relay) => interruption,
            result = &mut fetch => return PollOutcome::Completed(result),
        };
        let Some(Interruption::Stopped(stopped)) = interruption else {
            return interruption.map_or(PollOutcome::RelayStopped, PollOutcome::Interrupted);
        };
        let response = tokio::select! {
            biased;
            result = fetch => Some(result),
            () = std::future::ready(()) => None,
        };
        PollOutcome::Stopped(response, stopped)
    }

    /// Applies the part of an endpoint list that the poller accepts.
    fn apply(&mut self, update: EndpointListUpdate) {
        let held_older_list = self.poller.state() == DiscoveryState::ValidatingOlderList;
        let accepted = accept_list(&mut self.poller, self.timers.clock.now(), update);
        let version = accepted.version;
        match self.poller.state() {
            DiscoveryState::ValidatingOlderList if !held_older_list => {
                warn!(target: "discovery", version, "older endpoint list accepted in part");
            }
            DiscoveryState::Following if held_older_list => {
                info!(target: "discovery", version, "endpoint list accepted in full again");
            }
            _ => {}
        }
        let mut relay = self.relay.borrow_mut();
        relay.list_origin = self.poller.origin();
        relay.share_list(self.poller.response_scope(), &accepted);
        relay.apply_endpoint_list(accepted);
    }

    fn fail(&mut self, error: &DiscoveryError) {
        self.poller.poll_failed(self.timers.clock.now(), error.kind());
        self.relay.borrow_mut().discovery_failed(error);
    }
}

async fn fetch_list(
    connection: &mut DiscoveryConnection, relay: &SharedRelay, path: &str, timeout: Micros,
) -> Result<EndpointListUpdate, DiscoveryError> {
    let body = connection.get(path, timeout).await?;
    let value = serde_json::from_slice(&body)?;
    Ok(parse_endpoint_list(&value, &relay.borrow().names)?)
}

/// Returns the path and query of a request's URL.
fn request_path(request: DiscoveryRequest) -> String {
    match request {
        DiscoveryRequest::FullList => "/registry/instances".to_owned(),
        DiscoveryRequest::Watch { since_version, max_wait } => {
            format!("/registry/instances?index={since_version}&wait={}", max_wait / 1_000)
        }
    }
}

/// Returns the part of an endpoint list that the poller accepts, with the addresses of its endpoints.
fn accept_list(poller: &mut DiscoveryPoller, now: Micros, update: EndpointListUpdate) -> EndpointListUpdate {
    let EndpointListUpdate { version, full, endpoints, addresses } = update;
    with_addresses(poller.poll_succeeded(now, EndpointList { version, full, endpoints }), addresses)
}
