//! Discovery as a process: one worker handles queued requests in turn and rejects those that were queued too
//! long; a watch is queued when it begins and again when it ends.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::event_log::{Event, EventLog, RequestKind, RequestOutcome};
use super::{CURRENT_LIST_VERSION, InitialList, Plan};
use crate::emulators::protocol::{DiscoveryRequest, read_request};

/// Time in the queue after which a request is rejected, in microseconds.
const MAX_QUEUED_US: u64 = 2_000_000;
/// Work of rejecting a request, in microseconds.
const REJECTION_WORK_US: u64 = 200;
/// Cost of a watch when it begins, and again when it ends without changes, as a fraction of a full list's
/// cost.
const WATCH_COST: f64 = 0.05;

/// Returns the cost of sending `new` changed endpoints of `endpoints`, as a fraction of a full list's cost.
pub fn changes_cost(new: usize, endpoints: usize) -> f64 {
    (2.0 * WATCH_COST + new as f64 / endpoints.max(1) as f64).min(1.0)
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
struct ListEntry {
    state: &'static str,
    /// Version of the list in which the entry last changed.
    changed: u64,
    /// Time at which the endpoint started, in Unix milliseconds.
    started_ms: u64,
}

/// A request in the queue.
struct QueuedRequest {
    relay: usize,
    kind: RequestKind,
    /// Version of the list that the relay has; 0 in a request for the full list.
    since: u64,
    received_at_us: u64,
    queue_length: usize,
    is_first_pass: bool,
    /// Set once the relay has closed the connection.
    is_abandoned: Rc<Cell<bool>>,
    answer: oneshot::Sender<Option<String>>,
}

struct Service {
    plan: Plan,
    event_log: EventLog,
    entries: BTreeMap<usize, ListEntry>,
    version: watch::Sender<u64>,
    queue: VecDeque<QueuedRequest>,
    /// Time that a request for the full list takes, in microseconds.
    full_list_us: u64,
    /// Whether answers are held back.
    is_mute: bool,
    /// Whether requests are never rejected, however long they were queued.
    is_patient: bool,
}

type Shared = Rc<RefCell<Service>>;

/// Returns whether the list that relays start with lacks an endpoint.
pub fn is_missing(initial_list: InitialList, endpoint: usize) -> bool {
    match initial_list {
        InitialList::Old => endpoint % 4 == 3,
        InitialList::Absent => true,
        InitialList::Stale => endpoint.is_multiple_of(2),
    }
}

/// Encodes a list entry with the address at which a relay reaches the endpoint.
fn entry_json(plan: &Plan, relay: usize, endpoint: usize, entry: &ListEntry) -> serde_json::Value {
    json!({"id": format!("s-{endpoint}"), "addr": plan.endpoint_address_for(relay, endpoint).to_string(),
        "zone": "z", "kind": "m", "cell": 0, "state": entry.state, "weight": 1.0, "started_ms": entry.started_ms})
}

/// Returns the endpoint list in a relay's configuration, or JSON null if relays start without a list.
pub fn initial_list(plan: &Plan, relay: usize) -> serde_json::Value {
    if plan.initial_list == InitialList::Absent {
        return serde_json::Value::Null;
    }
    let old_entry = ListEntry { state: "active", changed: 0, started_ms: 0 };
    let mut servers: Vec<_> = (0..plan.endpoints)
        .filter(|endpoint| !is_missing(plan.initial_list, *endpoint))
        .map(|endpoint| entry_json(plan, relay, endpoint, &old_entry))
        .collect();
    if plan.initial_list == InitialList::Stale {
        for endpoint in (0..plan.endpoints).filter(|endpoint| is_missing(plan.initial_list, *endpoint)) {
            // An endpoint that no longer exists: nothing listens on port 6001.
            let mut removed = entry_json(plan, relay, endpoint, &old_entry);
            removed["id"] = json!(format!("dead-{endpoint}"));
            let mut address = plan.endpoint_address(endpoint);
            address.set_port(6001);
            removed["addr"] = json!(address.to_string());
            servers.push(removed);
        }
    }
    json!({"version": super::INITIAL_LIST_VERSION, "full": true, "servers": servers})
}

/// Starts discovery. Commands: `cost MS`, `mute on|off`, `patient on|off`, `state ENDPOINT STATE`.
///
/// # Errors
///
/// A message if the event log cannot be opened or an address is in use.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "list")?;
    event_log.record_scheduling_lag();
    let started_ms = if plan.cold_endpoints { super::now() / 1_000 } else { 0 };
    let mut entries = BTreeMap::new();
    if plan.fill_ms.is_none() {
        for endpoint in 0..plan.endpoints {
            let changed = if is_missing(plan.initial_list, endpoint) || plan.cold_endpoints {
                CURRENT_LIST_VERSION - 5
            } else {
                1
            };
            entries.insert(endpoint, ListEntry { state: "active", changed, started_ms });
        }
    }
    let version = watch::Sender::new(if plan.fill_ms.is_some() { 1 } else { CURRENT_LIST_VERSION });
    let full_list_us = plan.full_list_ms * 1_000;
    let service = Service {
        plan: plan.clone(),
        event_log,
        entries,
        version,
        queue: VecDeque::new(),
        full_list_us,
        is_mute: false,
        is_patient: false,
    };
    let service = Rc::new(RefCell::new(service));
    let wake = Rc::new(Notify::new());
    for relay in 0..plan.relays {
        let address = plan.discovery_address(relay);
        let listener = TcpListener::bind(address)
            .await
            .map_err(|e| format!("discovery: cannot listen at {address}: {e}"))?;
        let (service, wake) = (service.clone(), wake.clone());
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(service.clone(), wake.clone(), relay, stream));
                }
            }
        });
    }
    spawn_local(run_worker(service.clone(), wake.clone()));
    if let Some(fill_ms) = plan.fill_ms {
        let service = service.clone();
        spawn_local(async move {
            let interval = Duration::from_millis(fill_ms) / plan.endpoints.max(1) as u32;
            for endpoint in 0..plan.endpoints {
                sleep(interval).await;
                change_endpoint(&service, endpoint, "active", started_ms);
            }
        });
    }
    Ok(move |line: &str| match line.split(' ').collect::<Vec<_>>()[..] {
        ["cost", ms] => service.borrow_mut().full_list_us = ms.parse::<u64>().unwrap_or(20) * 1_000,
        ["patient", switch] => service.borrow_mut().is_patient = switch == "on",
        ["mute", switch] => service.borrow_mut().is_mute = switch == "on",
        ["state", endpoint, state] => {
            let state = match state {
                "leaving" => "leaving",
                "left" => "left",
                _ => "active",
            };
            if let Ok(endpoint) = endpoint.parse() {
                change_endpoint(&service, endpoint, state, super::now() / 1_000);
            }
        }
        ["end"] => {}
        _ => eprintln!("discovery: unknown command: {line}"),
    })
}

/// Publishes a new version of the list with a changed endpoint.
fn change_endpoint(service: &Shared, endpoint: usize, state: &'static str, started_ms: u64) {
    let mut service = service.borrow_mut();
    let version = *service.version.borrow() + 1;
    let started_ms = match service.entries.get(&endpoint) {
        Some(entry) if state != "active" => entry.started_ms,
        _ => started_ms,
    };
    service.entries.insert(endpoint, ListEntry { state, changed: version, started_ms });
    service.event_log.record(Event::ListVersion { version, endpoint, state: state.to_owned() });
    service.version.send_replace(version);
}

/// Handles queued requests one after another.
async fn run_worker(service: Shared, wake: Rc<Notify>) {
    let mut worker_free_at = Instant::now();
    loop {
        let next = service.borrow_mut().queue.pop_front();
        let Some(request) = next else {
            wake.notified().await;
            continue;
        };
        let is_rejected = !service.borrow().is_patient
            && super::now().saturating_sub(request.received_at_us) > MAX_QUEUED_US;
        let (work_us, is_full) = {
            let service = service.borrow();
            let new = service.entries.values().filter(|entry| entry.changed > request.since).count();
            let cost_fraction = match request.kind {
                RequestKind::FullList => 1.0,
                RequestKind::Changes => changes_cost(new, service.plan.endpoints),
                RequestKind::NoChanges => WATCH_COST,
            };
            let work_us = if is_rejected {
                REJECTION_WORK_US
            } else {
                (service.full_list_us as f64 * cost_fraction) as u64
            };
            (work_us, request.kind == RequestKind::FullList)
        };
        worker_free_at = worker_free_at.max(Instant::now()) + Duration::from_micros(work_us);
        if worker_free_at > Instant::now() + Duration::from_millis(1) {
            sleep_until(worker_free_at).await;
        }
        let service = service.borrow();
        let version = *service.version.borrow();
        let answer = (!is_rejected).then(|| {
            let sent_entries = service.entries.iter().filter(|(_, entry)| {
                is_full && entry.state != "left" || !is_full && entry.changed > request.since
            });
            let servers: Vec<_> = sent_entries
                .map(|(endpoint, entry)| entry_json(&service.plan, request.relay, *endpoint, entry))
                .collect();
            json!({"version": version, "full": is_full, "servers": servers}).to_string()
        });
        let outcome = match (is_rejected, request.is_abandoned.get()) {
            (_, true) => RequestOutcome::Abandoned,
            (true, false) => RequestOutcome::Rejected,
            (false, false) => RequestOutcome::Answered,
        };
        service.event_log.record(Event::DiscoveryRequest {
            relay: request.relay,
            kind: request.kind,
            received_at_us: request.received_at_us,
            work_us,
            outcome,
            version,
            queue_length: request.queue_length,
            is_first_pass: request.is_first_pass,
        });
        let _ = request.answer.send(answer);
    }
}

/// Serves one connection of a relay.
async fn serve(service: Shared, wake: Rc<Notify>, relay: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(DiscoveryRequest { since, wait }) = read_request(&mut stream).await {
        let is_abandoned = Rc::new(Cell::new(false));
        let handled_request = async {
            let mut version = service.borrow().version.subscribe();
            // A version newer than the present one is from before discovery was restarted, so the full list
            // is sent.
            let Some(since) = since.filter(|since| *since <= *version.borrow()) else {
                return queue_request(
                    &service,
                    &wake,
                    relay,
                    (RequestKind::FullList, true),
                    0,
                    &is_abandoned,
                )
                .await;
            };
            let is_watch = *version.borrow() == since;
            if is_watch {
                // Registering the watch costs work, too.
                queue_request(&service, &wake, relay, (RequestKind::NoChanges, true), since, &is_abandoned)
                    .await?;
                let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > since)).await;
            }
            let has_changes = *service.borrow().version.borrow() > since;
            let kind = if has_changes { RequestKind::Changes } else { RequestKind::NoChanges };
            queue_request(&service, &wake, relay, (kind, !is_watch), since, &is_abandoned).await
        };
        let mut unread = [0u8; 1];
        let body = tokio::select! {
            biased;
            body = handled_request => body,
            // The relay closed the connection; its queued request is still handled.
            _ = stream.read(&mut unread) => {
                is_abandoned.set(true);
                None
            }
        };
        if is_abandoned.get() {
            return;
        }
        while service.borrow().is_mute {
            sleep(Duration::from_millis(100)).await;
        }
        let (status, body) = match body {
            Some(body) => ("200 OK", body),
            None => ("503 Service Unavailable", String::new()),
        };
        let response = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Queues a request and waits for its answer; returns `None` if it was rejected.
async fn queue_request(
    service: &Shared, wake: &Notify, relay: usize, (kind, is_first_pass): (RequestKind, bool), since: u64,
    is_abandoned: &Rc<Cell<bool>>,
) -> Option<String> {
    let (answer, answered) = oneshot::channel();
    {
        let queue = &mut service.borrow_mut().queue;
        let (received_at_us, queue_length) = (super::now(), queue.len());
        queue.push_back(QueuedRequest {
            relay,
            kind,
            since,
            received_at_us,
            queue_length,
            is_first_pass,
            is_abandoned: is_abandoned.clone(),
            answer,
        });
    }
    wake.notify_one();
    answered.await.ok().flatten()
}
