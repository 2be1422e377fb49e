//! A discovery service and its relays on a simulated clock. A single worker serves queued requests in
//! order, holds watches, and rejects requests that waited too long in the queue.
#![allow(dead_code)] // no test file uses all of this module

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use honeyknot_balancer::{CellId, Endpoint, EndpointId, EndpointState, Micros};
use honeyknot_discovery::{
    DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, EndpointList, Poll,
};

/// Time in the queue after which a request is rejected, in microseconds.
const MAX_QUEUE_TIME: Micros = 2_000_000;
/// Time that the service needs to reject a request, in microseconds.
const REJECTION_COST: Micros = 200;
/// Cost of starting a watch, and again of ending it, as a share of the cost of a full list.
const WATCH_COST_SHARE: f64 = 0.05;
/// Share of the endpoints that have changed since the list that relays have at the start.
const CHANGED_SHARE: f64 = 0.33;

/// A second, in microseconds.
pub const S: Micros = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The request of the relay with this index is due.
    PollDue(usize),
    /// The request of this relay with this ID has timed out.
    RequestTimeout(usize, u64),
    /// The worker has finished a request.
    ServeFinished,
    /// The wait of this relay's watch with this request ID is over.
    WatchEnds(usize, u64),
    /// The change with this index in [`Scenario::changes`] happens.
    Change(usize),
}

/// A change of the service's or the relays' condition during a scenario.
#[derive(Clone, Copy, Debug)]
pub enum ServiceChange {
    Down,
    Up,
    /// The service needs this long for a full list from now on, in microseconds.
    FullListCost(Micros),
    /// An endpoint changes, so the list gets a new version.
    EndpointChange,
    /// All relays are paused until this time.
    StopRelays(Micros),
    /// Whether requests are rejected after [`MAX_QUEUE_TIME`] in the queue. If not, abandoned requests are
    /// served as well.
    RejectLate(bool),
}

/// Counters of the service.
#[derive(Clone, Debug, Default)]
pub struct ServiceStats {
    pub requests: u64,
    pub full_list_requests: u64,
    pub failed: u64,
    pub refused: u64,
    /// Work of the service, in seconds.
    pub work_s: f64,
    /// Work for requests that were abandoned or rejected, in seconds.
    pub wasted_work_s: f64,
    pub longest_queue: usize,
    /// Number of requests in each second, including refused connections.
    pub requests_by_second: Vec<u64>,
    /// When each relay first had the current list; `None` if it never did.
    pub listed_at: Vec<Option<Micros>>,
}

impl ServiceStats {
    /// Returns when the last relay first had the current list, in seconds; `None` if some relay never did.
    pub fn last_listed(&self) -> Option<f64> {
        self.listed_at.iter().copied().try_fold(0, |last, at| Some(last.max(at?))).map(|at| at as f64 / 1e6)
    }
}

pub struct Scenario {
    pub relays: usize,
    /// Fleet size that each relay is configured with; 0 for unknown.
    pub configured_fleet_size: u32,
    /// Version of the list that relays have at the start; 0 if they start without a list.
    pub initial_version: u64,
    pub full_list_cost: Micros,
    pub max_list_age: Micros,
    pub seed: u64,
    /// Time over which the starts of the relays are spread evenly, in microseconds.
    pub start_spread: Micros,
    pub changes: Vec<(Micros, ServiceChange)>,
    pub length: Micros,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            relays: 300,
            configured_fleet_size: 300,
            initial_version: 3,
            full_list_cost: 20_000,
            max_list_age: 10 * S,
            seed: 1,
            start_spread: 0,
            changes: Vec::new(),
            length: 60 * S,
        }
    }
}

/// A request in flight.
#[derive(Clone, Copy)]
struct InFlight {
    id: u64,
    request: DiscoveryRequest,
}

struct SimulatedRelay {
    poller: DiscoveryPoller,
    in_flight: Option<InFlight>,
}

/// A request at the service.
#[derive(Clone, Copy)]
struct QueuedRequest {
    relay: usize,
    id: u64,
    request: DiscoveryRequest,
    /// When the request arrived or, for a watch, when its wait ended.
    queued_at: Micros,
    /// Whether this is a watch whose wait is over.
    wait_over: bool,
}

/// The request that the worker is serving.
struct Serving {
    queued: QueuedRequest,
    rejected: bool,
}

pub struct Service {
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence_number: u64,
    relays: Vec<SimulatedRelay>,
    queue: VecDeque<QueuedRequest>,
    watches: Vec<QueuedRequest>,
    serving: Option<Serving>,
    up: bool,
    rejects_late: bool,
    relays_stopped_until: Micros,
    version: u64,
    full_list_cost: Micros,
    pub stats: ServiceStats,
}

pub fn endpoint(id: &str, state: EndpointState, started_at: Micros) -> Endpoint {
    Endpoint {
        id: EndpointId(id.into()),
        machine_type: None,
        weight: 1.0,
        started_at,
        zone: None,
        cell: CellId(0),
        state,
    }
}

pub fn endpoint_list(version: u64, full: bool, ids: &[&str]) -> EndpointList {
    let endpoints = ids.iter().map(|id| endpoint(id, EndpointState::Ready, 0)).collect();
    EndpointList { version, full, endpoints }
}

/// Runs a scenario and returns the service's counters.
pub fn simulate(scenario: &Scenario) -> ServiceStats {
    let initial = match scenario.initial_version {
        0 => EndpointList::default(),
        version => endpoint_list(version, true, &["s-1"]),
    };
    let relays = (0..scenario.relays).map(|index| {
        let config = DiscoveryConfig {
            fleet_size: scenario.configured_fleet_size,
            max_list_age: scenario.max_list_age,
            agent_drain_grace: None,
            seed: scenario.seed ^ (index as u64) << 20,
        };
        let started_at = index as Micros * scenario.start_spread / scenario.relays as Micros;
        SimulatedRelay { poller: DiscoveryPoller::new(config, &initial, started_at), in_flight: None }
    });
    let mut service = Service {
        now: 0,
        events: BinaryHeap::new(),
        sequence_number: 0,
        relays: relays.collect(),
        queue: VecDeque::new(),
        watches: Vec::new(),
        serving: None,
        up: true,
        rejects_late: true,
        relays_stopped_until: 0,
        version: 7,
        full_list_cost: scenario.full_list_cost,
        stats: ServiceStats { listed_at: vec![None; scenario.relays], ..ServiceStats::default() },
    };
    for index in 0..scenario.relays {
        service.schedule_poll(index);
    }
    for (i, (at, _)) in scenario.changes.iter().enumerate() {
        service.schedule(*at, Event::Change(i));
    }
    while let Some(Reverse((at, _, event))) = service.events.pop() {
        if at > scenario.length {
            break;
        }
        service.now = at;
        service.handle_event(event, &scenario.changes);
    }
    service.stats
}

impl Service {
    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence_number += 1;
        self.events.push(Reverse((at, self.sequence_number, event)));
    }

    /// Schedules a relay's next request.
    fn schedule_poll(&mut self, index: usize) {
        if let Some(due) = self.relays[index].poller.next_poll_at() {
            self.schedule(due.max(self.now).max(self.relays_stopped_until), Event::PollDue(index));
        }
    }

    fn handle_event(&mut self, event: Event, changes: &[(Micros, ServiceChange)]) {
        match event {
            Event::PollDue(index) => self.poll_due(index),
            Event::RequestTimeout(index, id) => {
                if self.now < self.relays_stopped_until {
                    return self.schedule(self.relays_stopped_until, event);
                }
                if self.relays[index].in_flight.is_some_and(|in_flight| in_flight.id == id) {
                    self.finish(index, Err(DiscoveryErrorKind::Timeout));
                }
            }
            Event::ServeFinished => self.serve_finished(),
            Event::WatchEnds(index, id) => {
                if let Some(at) = self.watches.iter().position(|w| (w.relay, w.id) == (index, id)) {
                    let queued = self.watches.swap_remove(at);
                    self.queue.push_back(QueuedRequest { queued_at: self.now, wait_over: true, ..queued });
                    self.serve_next();
                }
            }
            Event::Change(i) => self.apply(changes[i].1),
        }
    }

    fn apply(&mut self, change: ServiceChange) {
        match change {
            ServiceChange::Down => self.go_down(),
            ServiceChange::Up => self.up = true,
            ServiceChange::FullListCost(cost) => self.full_list_cost = cost,
            ServiceChange::EndpointChange => {
                self.version += 1;
                let now = self.now;
                let ended = self.watches.drain(..).map(|w| QueuedRequest { queued_at: now, ..w });
                self.queue.extend(ended);
                self.serve_next();
            }
            ServiceChange::RejectLate(on) => self.rejects_late = on,
            ServiceChange::StopRelays(until) => self.relays_stopped_until = until,
        }
    }

    fn go_down(&mut self) {
        self.up = false;
        let mut all: Vec<QueuedRequest> = self.queue.drain(..).collect();
        all.append(&mut self.watches);
        all.extend(self.serving.take().map(|serving| serving.queued));
        for queued in all.into_iter().filter(|w| self.is_awaited(w)).collect::<Vec<_>>() {
            self.finish(queued.relay, Err(DiscoveryErrorKind::ConnectionBroken));
        }
    }

    fn poll_due(&mut self, index: usize) {
        if self.now < self.relays_stopped_until {
            return self.schedule(self.relays_stopped_until, Event::PollDue(index));
        }
        if self.relays[index].poller.next_poll_at().is_none_or(|due| due > self.now) {
            return;
        }
        let Poll { request, timeout } = self.relays[index].poller.start_poll(self.now);
        self.sequence_number += 1;
        let id = self.sequence_number;
        self.relays[index].in_flight = Some(InFlight { id, request });
        let second = (self.now / S) as usize;
        if self.stats.requests_by_second.len() <= second {
            self.stats.requests_by_second.resize(second + 1, 0);
        }
        self.stats.requests_by_second[second] += 1;
        self.stats.requests += 1;
        self.stats.full_list_requests += u64::from(request == DiscoveryRequest::FullList);
        if !self.up {
            self.stats.refused += 1;
            return self.finish(index, Err(DiscoveryErrorKind::ConnectionRefused));
        }
        self.schedule(self.now + timeout, Event::RequestTimeout(index, id));
        self.queue.push_back(QueuedRequest {
            relay: index,
            id,
            request,
            queued_at: self.now,
            wait_over: false,
        });
        self.stats.longest_queue = self.stats.longest_queue.max(self.queue.len());
        self.serve_next();
    }

    fn is_awaited(&self, queued: &QueuedRequest) -> bool {
        self.relays[queued.relay].in_flight.is_some_and(|in_flight| in_flight.id == queued.id)
    }

    fn serve_next(&mut self) {
        if self.serving.is_some() {
            return;
        }
        let Some(queued) = self.queue.pop_front() else { return };
        let rejected = self.now - queued.queued_at > MAX_QUEUE_TIME && self.rejects_late;
        let share = match queued.request {
            DiscoveryRequest::FullList => 1.0,
            DiscoveryRequest::Watch { since_version, .. } if since_version < self.version => {
                WATCH_COST_SHARE + CHANGED_SHARE
            }
            DiscoveryRequest::Watch { .. } => WATCH_COST_SHARE,
        };
        let cost = if rejected { REJECTION_COST as f64 } else { self.full_list_cost as f64 * share };
        self.stats.work_s += cost / 1e6;
        if rejected || !self.is_awaited(&queued) {
            self.stats.wasted_work_s += cost / 1e6;
        }
        self.serving = Some(Serving { queued, rejected });
        self.schedule(self.now + (cost as Micros).max(1), Event::ServeFinished);
    }

    fn serve_finished(&mut self) {
        // There is no request if the service went down meanwhile.
        let Some(Serving { queued, rejected }) = self.serving.take() else { return };
        let (index, version) = (queued.relay, self.version);
        match queued.request {
            _ if !self.is_awaited(&queued) => {}
            _ if rejected => self.finish(index, Err(DiscoveryErrorKind::Overloaded { retry_after: None })),
            DiscoveryRequest::Watch { since_version, max_wait }
                if since_version >= version && !queued.wait_over =>
            {
                self.watches.push(queued);
                self.schedule(self.now + max_wait, Event::WatchEnds(index, queued.id));
            }
            DiscoveryRequest::Watch { since_version, .. } if since_version >= version => {
                self.finish(index, Ok(EndpointList { version, full: false, endpoints: Vec::new() }));
            }
            DiscoveryRequest::FullList => {
                self.finish(index, Ok(endpoint_list(version, true, &["s-1", "s-2"])))
            }
            DiscoveryRequest::Watch { .. } => self.finish(index, Ok(endpoint_list(version, false, &["s-2"]))),
        }
        self.serve_next();
    }

    fn finish(&mut self, index: usize, response: Result<EndpointList, DiscoveryErrorKind>) {
        self.relays[index].in_flight = None;
        match response {
            Ok(list) => {
                if list.version == self.version {
                    self.stats.listed_at[index].get_or_insert(self.now);
                }
                let _ = self.relays[index].poller.poll_succeeded(self.now, list);
            }
            Err(error) => {
                self.stats.failed += 1;
                self.relays[index].poller.poll_failed(self.now, error);
            }
        }
        self.schedule_poll(index);
    }
}
