//! Discovery as a process: one worker that handles queued requests in turn, watches, and rejection of requests queued too long.

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
/// Cost of a watch at its beginning, and again at its end without changes, as a part of a full list's.
const WATCH_COST: f64 = 0.05;

/// Returns the cost of sending `new` changed endpoints of `endpoints`, as a part of a full list's.
pub fn changes_cost(new: usize, endpoints: usize) -> f64 {
    (2.0 * WATCH_COST + new as f64 / endpoints.max(1) as f64).min(1.0)
}

/// An endpoint in the list.
#[derive(Clone, Debug)]
struct Entry {
    state: &'static str,
    /// Version of the list in which the entry last changed.
    changed: u64,
    started_ms: u64,
}

/// A request in the queue.
struct QueuedRequest {
    relay: usize,
    kind: RequestKind,
    /// Version of the list that the relay has.
    since: u64,
    received_at_us: u64,
    queue_length: usize,
    is_first_pass: bool,
    /// Set when the relay has closed the connection.
    is_abandoned: Rc<Cell<bool>>,
    answer: oneshot::Sender<Option<String>>,
}

struct Service {
    plan: Plan,
    event_log: EventLog,
    entries: BTreeMap<usize, Entry>,
    version: watch::Sender<u64>,
    queue: VecDeque<QueuedRequest>,
    /// Work of a full list, in microseconds.
    full_list_us: u64,
    /// Whether answers are held back.
    is_mute: bool,
    /// Whether requests are never rejected, however long they were queued.
    is_patient: bool,
}

type Shared = Rc<RefCell<Service>>;

/// Returns whether a relay's initial list lacks an endpoint.
pub fn is_missing(initial_list: InitialList, endpoint: usize) -> bool {
    match initial_list {
        InitialList::Old => endpoint % 4 == 3,
        InitialList::Absent => true,
        InitialList::Stale => endpoint.is_multiple_of(2),
    }
}

/// Encodes a list entry as one relay receives it.
fn entry_json(plan: &Plan, relay: usize, s: usize, entry: &Entry) -> serde_json::Value {
    json!({"id": format!("s-{s}"), "addr": plan.endpoint_address_for(relay, s).to_string(), "zone": "z", "kind": "m", "cell": 0,
        "state": entry.state, "weight": 1.0, "started_ms": entry.started_ms})
}

/// Returns the list that a relay's configuration holds at its start.
pub fn initial_list(plan: &Plan, relay: usize) -> serde_json::Value {
    if plan.initial_list == InitialList::Absent {
        return serde_json::Value::Null;
    }
    let old = Entry { state: "active", changed: 0, started_ms: 0 };
    let mut servers: Vec<_> = (0..plan.endpoints)
        .filter(|s| !is_missing(plan.initial_list, *s))
        .map(|s| entry_json(plan, relay, s, &old))
        .collect();
    if plan.initial_list == InitialList::Stale {
        for s in (0..plan.endpoints).filter(|s| is_missing(plan.initial_list, *s)) {
            // An endpoint that was removed long ago: nobody listens at its address.
            let mut dead = entry_json(plan, relay, s, &old);
            dead["id"] = json!(format!("dead-{s}"));
            let mut address = plan.endpoint_address(s);
            address.set_port(6001);
            dead["addr"] = json!(address.to_string());
            servers.push(dead);
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
        for s in 0..plan.endpoints {
            let changed = if is_missing(plan.initial_list, s) || plan.cold_endpoints {
                CURRENT_LIST_VERSION - 5
            } else {
                1
            };
            entries.insert(s, Entry { state: "active", changed, started_ms });
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
        let at = plan.discovery_address(relay);
        let listener = TcpListener::bind(at).await.map_err(|e| format!("list service at {at}: {e}"))?;
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
    if let Some(fill) = plan.fill_ms {
        let service = service.clone();
        spawn_local(async move {
            let step = Duration::from_millis(fill) / plan.endpoints.max(1) as u32;
            for s in 0..plan.endpoints {
                sleep(step).await;
                change_endpoint(&service, s, "active", started_ms);
            }
        });
    }
    Ok(move |line: &str| match line.split(' ').collect::<Vec<_>>()[..] {
        ["cost", ms] => service.borrow_mut().full_list_us = ms.parse::<u64>().unwrap_or(20) * 1_000,
        ["patient", how] => service.borrow_mut().is_patient = how == "on",
        ["mute", how] => service.borrow_mut().is_mute = how == "on",
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
        _ => eprintln!("list service: unknown: {line}"),
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
    service.entries.insert(endpoint, Entry { state, changed: version, started_ms });
    service.event_log.record(Event::ListVersion { version, endpoint, state: state.to_owned() });
    service.version.send_replace(version);
}

/// Handles queued requests one after the other.
async fn run_worker(service: Shared, wake: Rc<Notify>) {
    let mut idle_at = Instant::now();
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
            let new = service.entries.values().filter(|e| e.changed > request.since).count();
            let part = match request.kind {
                RequestKind::FullList => 1.0,
                RequestKind::Changes => changes_cost(new, service.plan.endpoints),
                RequestKind::NoChanges => WATCH_COST,
            };
            let work_us =
                if is_rejected { REJECTION_WORK_US } else { (service.full_list_us as f64 * part) as u64 };
            (work_us, request.kind == RequestKind::FullList)
        };
        idle_at = idle_at.max(Instant::now()) + Duration::from_micros(work_us);
        if idle_at > Instant::now() + Duration::from_millis(1) {
            sleep_until(idle_at).await;
        }
        let service = service.borrow();
        let version = *service.version.borrow();
        let answer = (!is_rejected).then(|| {
            let shown = service
                .entries
                .iter()
                .filter(|(_, e)| is_full && e.state != "left" || !is_full && e.changed > request.since);
            let servers: Vec<_> =
                shown.map(|(s, e)| entry_json(&service.plan, request.relay, *s, e)).collect();
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
        let ask = async {
            let mut version = service.borrow().version.subscribe();
            // A version that it never had comes from before its last start, so it sends the full list.
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
                // Registering the watch is work as well.
                queue_request(&service, &wake, relay, (RequestKind::NoChanges, true), since, &is_abandoned)
                    .await?;
                let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > since)).await;
            }
            let news = *service.borrow().version.borrow() > since;
            let kind = if news { RequestKind::Changes } else { RequestKind::NoChanges };
            queue_request(&service, &wake, relay, (kind, !is_watch), since, &is_abandoned).await
        };
        let mut more = [0u8; 1];
        let body = tokio::select! {
            biased;
            body = ask => body,
            // The relay closed the connection: a queued request is handled all the same.
            _ = stream.read(&mut more) => {
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
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Queues a request and is_watch for its answer; returns `None` if it was rejected.
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
