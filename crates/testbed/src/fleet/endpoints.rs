//! Endpoints as a process: some of the fleet's endpoints, each with a model of its capacity.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Plan;
use super::event_log::{Event, EventLog};
use crate::emulators::endpoint_model::{Admission, ConnectionLoad, EndpointModel, EndpointParameters};
use crate::emulators::protocol::{affinity_group, read_opening_line};

/// Minimum capacity of an endpoint, in connections of usual load; a fleet with many clients has endpoints of
/// more.
const MIN_CAPACITY: f64 = 30.0;
/// Utilization of the whole fleet when all clients are served, without the cost of affinity groups.
const FLEET_UTILIZATION: f64 = 0.4;
/// Fraction of its capacity with which an endpoint starts.
const INITIAL_CAPACITY: f64 = 0.32;
/// Time after which an endpoint has its full capacity, in microseconds.
const SLOW_START_US: u64 = 9_000_000;
/// Interval at which each endpoint records its state.
const STATE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which an endpoint refreshes its load report, in microseconds.
const LOAD_REPORT_INTERVAL_US: u64 = 500_000;
/// Time that an endpoint takes to establish a connection.
const SETUP_TIME: Duration = Duration::from_millis(8);
/// Load of a usual connection, in the unit of the `LOAD` line.
const USUAL_LOAD: f64 = 58_000.0;

struct Endpoint {
    number: usize,
    model: EndpointModel,
    open_connections: usize,
    event_log: EventLog,
    /// Number of requests that have reached the admission check.
    attempts: u64,
    is_draining: bool,
}

type SharedEndpoint = Rc<RefCell<Endpoint>>;

/// Starts the endpoints of this process. Commands: `drain ENDPOINT`, `undrain ENDPOINT`.
///
/// # Errors
///
/// A message if the event log cannot be opened or an address is in use.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let (process_index, process_count) = plan.process_parameters;
    let event_log = EventLog::open(&plan.folder, &format!("cards{process_index}"))?;
    event_log.record_scheduling_lag();
    let mut endpoints = BTreeMap::new();
    for number in (0..plan.endpoints).filter(|number| number % process_count == process_index) {
        let endpoint = Rc::new(RefCell::new(new_endpoint(&plan, number, event_log.clone())));
        let address = plan.endpoint_address(number);
        let listener = TcpListener::bind(address)
            .await
            .map_err(|e| format!("endpoint: cannot listen at {address}: {e}"))?;
        spawn_local(accept(endpoint.clone(), listener));
        endpoints.insert(number, endpoint);
    }
    spawn_local(record_states(endpoints.values().cloned().collect()));
    Ok(move |line: &str| match line.split(' ').collect::<Vec<_>>()[..] {
        [action @ ("drain" | "undrain"), number] => {
            if let Some(endpoint) = number.parse().ok().and_then(|number: usize| endpoints.get(&number)) {
                endpoint.borrow_mut().is_draining = action == "drain";
            }
        }
        ["end"] => {}
        _ => eprintln!("endpoints: unknown command: {line}"),
    })
}

fn new_endpoint(plan: &Plan, number: usize, event_log: EventLog) -> Endpoint {
    let clients = (plan.relays * plan.clients) as f64;
    let parameters = EndpointParameters {
        weight: 1.0,
        capacity: (clients / plan.endpoints as f64 / FLEET_UTILIZATION).max(MIN_CAPACITY),
        cold_capacity_fraction: INITIAL_CAPACITY,
        warm_up: SLOW_START_US,
        affinity_group_cost: 3.0,
        report_interval: LOAD_REPORT_INTERVAL_US,
        report_delay: 0,
    };
    let started_at = if plan.cold_endpoints { super::now() } else { super::now() - 2 * SLOW_START_US };
    let model = EndpointModel::new(parameters, started_at);
    Endpoint { number, model, open_connections: 0, event_log, attempts: 0, is_draining: false }
}

async fn accept(endpoint: SharedEndpoint, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(endpoint.clone(), stream));
        }
    }
}

async fn record_states(endpoints: Vec<SharedEndpoint>) {
    loop {
        sleep(STATE_INTERVAL).await;
        for endpoint in &endpoints {
            let endpoint = endpoint.borrow();
            endpoint.event_log.record(Event::EndpointState {
                endpoint: endpoint.number,
                open_connections: endpoint.open_connections,
                utilization: endpoint.model.utilization(super::now()),
                max_overload: endpoint.model.max_overload(),
                has_failed: endpoint.model.collapsed(),
            });
        }
    }
}

/// A connection to an endpoint, which it releases when dropped.
struct Connection {
    endpoint: SharedEndpoint,
    /// Id of the connection in the endpoint's model; `None` unless it was admitted.
    model_id: Option<u64>,
    /// Connection id of the attempt; `None` before it starts and once it has ended.
    attempt: Option<String>,
}

impl Connection {
    fn end_attempt(&mut self, is_established: bool) {
        if let Some(id) = self.attempt.take() {
            let endpoint = self.endpoint.borrow();
            let number = endpoint.number;
            endpoint.event_log.record(Event::AttemptEnded { endpoint: number, id, is_established });
        }
    }

    /// Reserves capacity for the connection; returns whether the endpoint admits it.
    fn admit(&mut self, affinity_group: u64) -> bool {
        let mut endpoint = self.endpoint.borrow_mut();
        endpoint.attempts += 1;
        let model_id = endpoint.attempts;
        if endpoint.is_draining {
            return false;
        }
        let load = ConnectionLoad { load: 1.0, affinity_group, is_cross_zone: false, relay_zone: 0 };
        let is_admitted = endpoint.model.open(super::now(), model_id, load) != Admission::Rejected;
        if is_admitted {
            self.model_id = Some(model_id);
        }
        is_admitted
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.end_attempt(false);
        let mut endpoint = self.endpoint.borrow_mut();
        endpoint.open_connections -= 1;
        if let Some(model_id) = self.model_id {
            endpoint.model.close(model_id);
        }
    }
}

async fn serve(endpoint: SharedEndpoint, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    {
        let mut endpoint = endpoint.borrow_mut();
        endpoint.open_connections += 1;
        endpoint.event_log.record(Event::ConnectionAccepted { endpoint: endpoint.number });
    }
    let mut connection = Connection { endpoint: endpoint.clone(), model_id: None, attempt: None };
    let mut stream = BufReader::new(stream);
    let load_report = || {
        let mut endpoint = endpoint.borrow_mut();
        endpoint.event_log.record(Event::HealthCheck { endpoint: endpoint.number });
        endpoint.model.report(super::now())
    };
    if let Some((id, parameters)) = read_opening_line(&mut stream, load_report).await {
        handle_request(&mut connection, &mut stream, id, &parameters).await;
    }
}

async fn handle_request(
    connection: &mut Connection, stream: &mut BufReader<TcpStream>, id: String, parameters: &str,
) {
    let endpoint = connection.endpoint.clone();
    let number = endpoint.borrow().number;
    endpoint.borrow().event_log.record(Event::AttemptStarted { endpoint: number, id: id.clone() });
    connection.attempt = Some(id);
    sleep(SETUP_TIME).await;
    if !connection.admit(affinity_group(parameters)) {
        let _ = stream.write_all(b"BUSY\r\n").await;
        return connection.end_attempt(false);
    }
    let answer = format!("UP r-{number}\r\nLOAD {USUAL_LOAD:.1}\r\n");
    connection.end_attempt(true);
    if stream.write_all(answer.as_bytes()).await.is_ok() {
        answer_lines(&endpoint, stream).await;
    }
}

/// Answers the lines of an established connection until it ends or, because the endpoint drains, is migrated.
async fn answer_lines(endpoint: &SharedEndpoint, stream: &mut BufReader<TcpStream>) {
    let mut line = String::new();
    loop {
        line.clear();
        match stream.read_line(&mut line).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
        if endpoint.borrow().is_draining {
            let _ = stream.write_all(b"MOVE\r\n").await;
            return;
        }
        if stream.write_all(b"OK\r\n").await.is_err() {
            return;
        }
    }
}
