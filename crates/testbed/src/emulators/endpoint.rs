//! Serves the connections of emulated endpoints: requests, lines on established connections and health
//! checks. An endpoint can also drain, stop responding or die.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::emulated_endpoint::ProcessState;
use super::endpoint_model::{Admission, ConnectionLoad, Micros};
use super::environment::SharedEnvironment;
use super::protocol::{affinity_group, attribute, read_opening_line};

/// Time after the notification of a drain from which a relay must not send new connections, in microseconds:
/// the 500 ms of the setting `stopSendingWithinUs`, plus 50 ms for socket delays.
const DRAIN_GRACE: Micros = 550_000;
/// Load of an average connection in the unit of `LOAD` lines.
const AVERAGE_CONNECTION_LOAD: f64 = 58_000.0;
/// How long an endpoint takes to establish a connection.
const SETUP_TIME: Duration = Duration::from_millis(8);

/// Starts the listeners of an endpoint, one for each relay.
pub fn start(environment: &SharedEnvironment, index: usize) {
    let relays = environment.borrow().size.relays;
    for relay in 0..relays {
        let address = environment.borrow().endpoint_address(index, relay);
        spawn_local(listen(environment.clone(), index, relay, address));
    }
}

/// Accepts the connections of one relay. The listener is closed while the endpoint is dead.
async fn listen(environment: SharedEnvironment, index: usize, relay: usize, address: SocketAddr) {
    let mut process_state = environment.borrow().endpoints[index].process_state.subscribe();
    loop {
        if *process_state.borrow_and_update() != ProcessState::Serving {
            if process_state.changed().await.is_err() {
                return;
            }
            continue;
        }
        let listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(e) => {
                environment
                    .borrow_mut()
                    .record_event(format!("endpoint {index} cannot listen on {address}, retrying: {e}"));
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        loop {
            let state = *process_state.borrow_and_update();
            match state {
                ProcessState::Dead => break,
                // The kernel still accepts connections, but they are never answered.
                ProcessState::Silent => {
                    if process_state.changed().await.is_err() {
                        return;
                    }
                    if *process_state.borrow() == ProcessState::Serving {
                        break;
                    }
                }
                ProcessState::Serving => tokio::select! {
                    biased;
                    changed = process_state.changed() => if changed.is_err() { return },
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        spawn_local(serve(environment.clone(), index, relay, stream));
                    },
                },
            }
        }
    }
}

/// Serves a connection until the endpoint stops. A dead endpoint resets it; a silent one keeps it open
/// without answering until the endpoint restarts or dies.
async fn serve(environment: SharedEnvironment, index: usize, relay: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut process_state = environment.borrow().endpoints[index].process_state.subscribe();
    let mut stream = BufReader::new(stream);
    let mut guard =
        ConnectionGuard { environment: environment.clone(), index, request: None, connection: None };
    tokio::select! {
        biased;
        _ = process_state.wait_for(|process_state| *process_state != ProcessState::Serving) => {}
        () = serve_stream(&environment, index, relay, &mut stream, &mut guard) => return,
    }
    drop(guard);
    let _ = process_state.wait_for(|process_state| *process_state != ProcessState::Silent).await;
    let _ = stream.get_ref().set_zero_linger();
}

/// Removes a connection from the endpoint's model, and its attempt from the attempts in flight, when it is
/// dropped.
struct ConnectionGuard {
    environment: SharedEnvironment,
    index: usize,
    /// Id of the request whose attempt has not been answered yet.
    request: Option<String>,
    /// Number of the connection in the endpoint's model, once it is established.
    connection: Option<u64>,
}

impl ConnectionGuard {
    /// Removes the attempt from the attempts in flight.
    fn mark_answered(&mut self) {
        if let Some(request) = self.request.take()
            && let Some(attempts) = self.environment.borrow_mut().attempts.get_mut(&request)
        {
            attempts.in_flight = attempts.in_flight.saturating_sub(1);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.mark_answered();
        if let Some(connection) = self.connection {
            self.environment.borrow_mut().endpoints[self.index].model.close(connection);
        }
    }
}

/// Answers health checks and then serves the connection, if one is requested.
async fn serve_stream(
    environment: &SharedEnvironment, index: usize, relay: usize, stream: &mut BufReader<TcpStream>,
    guard: &mut ConnectionGuard,
) {
    let health_check = || {
        let mut environment = environment.borrow_mut();
        let now = environment.now();
        environment.endpoint_observations.health_checks += 1;
        environment.endpoints[index].model.report(now)
    };
    if let Some((id, attributes)) = read_opening_line(stream, health_check).await {
        serve_connection(environment, index, relay, stream, guard, &id, &attributes).await;
    }
}

/// Admits or rejects a requested connection, and answers its lines until the client closes it or the endpoint
/// drains.
async fn serve_connection(
    environment: &SharedEnvironment, index: usize, relay: usize, stream: &mut BufReader<TcpStream>,
    guard: &mut ConnectionGuard, id: &str, attributes: &str,
) {
    record_attempt(environment, index, relay, id);
    guard.request = Some(id.to_owned());
    sleep(SETUP_TIME).await;
    let load: f64 = attribute(attributes, "w").and_then(|w| w.parse().ok()).unwrap_or(1.0);
    let affinity_group = affinity_group(attributes);
    let (admission, number, mut draining) = {
        let mut environment = environment.borrow_mut();
        let (now, number, relay_zone) =
            (environment.now(), environment.next_connection_number(), environment.front_proxy.zone_of(relay));
        let endpoint = &mut environment.endpoints[index];
        let draining = endpoint.draining.subscribe();
        let is_cross_zone = endpoint.zone != relay_zone;
        let admission = match *draining.borrow() {
            true => Admission::Rejected,
            false => endpoint.model.open(
                now,
                number,
                ConnectionLoad { load, affinity_group, is_cross_zone, relay_zone },
            ),
        };
        (admission, number, draining)
    };
    if admission == Admission::Rejected {
        let _ = stream.write_all(b"BUSY\r\n").await;
        guard.mark_answered();
        return;
    }
    guard.connection = Some(number);
    let answer = format!("UP r-{index}-{number}\r\nLOAD {:.1}\r\n", load * AVERAGE_CONNECTION_LOAD);
    guard.mark_answered();
    if stream.write_all(answer.as_bytes()).await.is_err() {
        return;
    }
    let mut line = String::new();
    loop {
        line.clear();
        tokio::select! {
            biased;
            _ = draining.wait_for(|draining| *draining) => {
                let _ = stream.write_all(b"MOVE\r\n").await;
                return;
            }
            read = stream.read_line(&mut line) => match read {
                Ok(n) if n > 0 => {
                    if stream.write_all(b"OK\r\n").await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    }
}

/// Records an attempt, the first line of a connection, in the observations.
fn record_attempt(environment: &SharedEnvironment, index: usize, relay: usize, id: &str) {
    let mut environment = environment.borrow_mut();
    let now = environment.now();
    environment.endpoint_observations.attempts += 1;
    let attempts = environment.attempts.entry(id.to_owned()).or_default();
    attempts.total += 1;
    attempts.in_flight += 1;
    let attempts = *attempts;
    environment.endpoint_observations.max_attempts =
        environment.endpoint_observations.max_attempts.max(attempts.total);
    environment.endpoint_observations.overlapping_attempts += u64::from(attempts.in_flight > 1);
    let notified_at = environment.discovery.notified_at(relay, index);
    if notified_at.is_some_and(|notified_at| now > notified_at + DRAIN_GRACE) {
        environment.endpoint_observations.late_sends_to_draining += 1;
    }
}
