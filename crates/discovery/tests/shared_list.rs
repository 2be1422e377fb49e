//! The endpoint list that the two processes of a relay share during a hot restart.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use honeyknot_balancer::{Endpoint, EndpointId, EndpointState, Micros};
use honeyknot_discovery::{
    DiscoveryConfig, DiscoveryErrorKind, DiscoveryPoller, DiscoveryRequest, EndpointList, ListOrigin,
    ListReport, ListScope, Peer,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One second in microseconds.
const S: Micros = 1_000_000;
const ENDPOINTS: usize = 4;

fn service(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(id: &str, state: EndpointState, started_at: Micros) -> Endpoint {
    Endpoint { id: EndpointId(id.into()), state, started_at, weight: 1.0, ..Endpoint::default() }
}

fn ready(id: &str) -> Endpoint {
    endpoint(id, EndpointState::Ready, 0)
}

fn draining(id: &str) -> Endpoint {
    endpoint(id, EndpointState::Draining, 0)
}

fn list(version: u64, full: bool, endpoints: &[Endpoint]) -> EndpointList {
    EndpointList { version, full, endpoints: endpoints.to_vec() }
}

/// One process: its poller, and the endpoints that it knows after all that the poller has accepted.
struct Process {
    poller: DiscoveryPoller,
    peer: Peer,
    view: BTreeMap<EndpointId, Endpoint>,
    /// Reports that the peer has sent and this process has not received yet.
    inbox: VecDeque<ListReport>,
    /// The request in flight, and the response once the service has written it.
    request: Option<(DiscoveryRequest, Option<EndpointList>)>,
    now: Micros,
}

impl Process {
    fn new(peer: Peer, known: &EndpointList, polled: SocketAddr) -> Process {
        let config =
            DiscoveryConfig { fleet_size: 1, max_list_age: 10 * S, agent_drain_grace: None, seed: 5 };
        let mut poller = DiscoveryPoller::new(config, known, 0);
        poller.set_service(polled);
        let mut process =
            Process { poller, peer, view: BTreeMap::new(), inbox: VecDeque::new(), request: None, now: 0 };
        process.apply(known);
        process
    }

    fn apply(&mut self, accepted: &EndpointList) {
        if accepted.full {
            self.view.clear();
        }
        for endpoint in &accepted.endpoints {
            self.view.insert(endpoint.id.clone(), endpoint.clone());
        }
    }

    fn start_request(&mut self) {
        if self.request.is_none() {
            self.now = self.poller.next_poll_at().expect("no request is in flight").max(self.now);
            self.request = Some((self.poller.start_poll(self.now).request, None));
        }
    }

    /// Handles a response to the request in flight. Returns what the peer must be sent.
    fn receive_response(&mut self, response: EndpointList) -> Option<ListReport> {
        self.request = None;
        let accepted = self.poller.poll_succeeded(self.now, response);
        self.apply(&accepted);
        let origin = match self.poller.response_scope() {
            ListScope::Unchanged => return None,
            ListScope::Merged => None,
            ListScope::Origin(origin) => Some(origin),
        };
        Some(ListReport { origin, full: accepted.full, endpoints: accepted.endpoints })
    }

    /// Requests a list and handles this response.
    fn hear(&mut self, response: EndpointList) -> Option<ListReport> {
        self.start_request();
        self.receive_response(response)
    }

    fn receive(&mut self, report: ListReport) {
        let accepted = self.poller.receive_report(self.peer, report);
        self.apply(&accepted);
    }

    /// Receives a report, and asserts that there is one.
    fn receive_some(&mut self, report: Option<ListReport>) {
        self.receive(report.expect("the other process reports its list"));
    }

    fn change_service(&mut self, polled: SocketAddr) {
        self.request = None;
        self.poller.set_service(polled);
        self.poller.change_service(self.now);
    }

    fn state(&self, id: &str) -> Option<EndpointState> {
        self.view.get(&EndpointId(id.into())).map(|endpoint| endpoint.state)
    }

    /// Returns what a successor is sent when it connects.
    fn full_report(&self) -> ListReport {
        let endpoints = self.view.values().cloned().collect();
        ListReport { origin: Some(self.poller.origin()), full: true, endpoints }
    }

    /// Returns the endpoints that are not removed.
    fn listed(&self) -> BTreeMap<EndpointId, Endpoint> {
        let listed = self.view.iter().filter(|(_, endpoint)| endpoint.state != EndpointState::Removed);
        listed.map(|(id, endpoint)| (id.clone(), endpoint.clone())).collect()
    }
}

/// Returns a predecessor and a successor that know version 3 of the service at port 1.
fn pair() -> (Process, Process) {
    let known = list(3, true, &[ready("s-1"), ready("s-2")]);
    let predecessor = Process::new(Peer::Successor, &known, service(1));
    let mut successor = Process::new(Peer::Predecessor, &known, service(1));
    successor.change_service(service(1));
    successor.receive(predecessor.full_report());
    (predecessor, successor)
}

/// Guards against a process that sends to an endpoint of which only the other one has heard that it drains.
#[test]
fn drain_return_restart_and_removal_heard_by_either_process_apply_to_both() {
    for predecessor_hears in [true, false] {
        let (old, new) = pair();
        let (mut hearing, mut other) = if predecessor_hears { (old, new) } else { (new, old) };
        hearing.hear(list(3, true, &[ready("s-1"), ready("s-2")]));
        let steps = [
            (draining("s-1"), Some(EndpointState::Draining)),
            (ready("s-1"), Some(EndpointState::Ready)),
            (endpoint("s-1", EndpointState::Ready, 9 * S), Some(EndpointState::Ready)),
            (endpoint("s-1", EndpointState::Removed, 9 * S), Some(EndpointState::Removed)),
        ];
        for (version, (changed, expected)) in (4..).zip(steps) {
            let report = hearing.hear(list(version, false, std::slice::from_ref(&changed)));
            other.receive_some(report);
            assert_eq!(other.state("s-1"), expected, "version {version}");
            assert_eq!(other.view, hearing.view);
            assert_eq!(other.poller.version(), version, "changes are requested since the newest list");
        }
        let report = hearing.hear(list(9, true, &[ready("s-3")]));
        other.receive_some(report);
        assert_eq!(other.view.keys().map(|id| &*id.0).collect::<Vec<_>>(), ["s-3"]);
    }
}

#[test]
fn older_report_changes_nothing_in_a_process_that_knows_a_newer_list() {
    let (mut predecessor, mut successor) = pair();
    let older = predecessor.hear(list(4, false, &[draining("s-1")]));
    let newer = successor.hear(list(5, true, &[ready("s-1"), draining("s-2")]));
    successor.receive_some(older);
    assert_eq!(successor.state("s-1"), Some(EndpointState::Ready));
    predecessor.receive_some(newer);
    assert_eq!(predecessor.view, successor.view);
}

/// Guards against a response that was on its way when the other process reported a newer list, and that undoes it.
#[test]
fn response_that_was_overtaken_by_a_newer_report_changes_nothing() {
    for full in [true, false] {
        let (mut predecessor, mut successor) = pair();
        successor.start_request();
        let report = predecessor.hear(list(5, false, &[draining("s-1")]));
        successor.receive_some(report);
        let overtaken = list(4, full, &[ready("s-1"), ready("s-2"), ready("s-9")]);
        assert_eq!(successor.receive_response(overtaken), None);
        assert_eq!(successor.view, predecessor.view);
        successor.start_request();
        let request = successor.request.as_ref().map(|(request, _)| *request);
        assert!(matches!(request, Some(DiscoveryRequest::Watch { since_version: 5, .. })), "{request:?}");
    }
}

/// Guards against the first list of a successor, which replaces its list whatever the version, where a replica that
/// is behind answers.
#[test]
fn first_list_of_a_successor_does_not_undo_the_newer_list_of_its_predecessor() {
    let (mut predecessor, mut successor) = pair();
    let report = predecessor.hear(list(5, false, &[draining("s-1")]));
    successor.receive_some(report);
    let report = successor.hear(list(4, true, &[ready("s-1"), ready("s-2"), draining("s-2")]));
    assert_eq!(successor.state("s-1"), Some(EndpointState::Draining));
    // A drain that the replica lists binds nevertheless, in both processes.
    predecessor.receive_some(report);
    assert_eq!(predecessor.state("s-2"), Some(EndpointState::Draining));
    assert_eq!(predecessor.state("s-1"), Some(EndpointState::Draining));
}

#[test]
fn list_of_another_service_at_one_process_replaces_the_list_of_both() {
    for predecessor_changes in [true, false] {
        let (old, new) = pair();
        let (mut changing, mut other) = if predecessor_changes { (old, new) } else { (new, old) };
        other.hear(list(3, true, &[ready("s-1"), ready("s-2")]));
        changing.change_service(service(2));
        let report = changing.hear(list(1, true, &[ready("s-1"), ready("s-3")]));
        other.receive_some(report);
        assert_eq!(other.view, changing.view);
        let report = changing.hear(list(2, false, &[draining("s-3")]));
        other.receive_some(report);
        assert_eq!(other.state("s-3"), Some(EndpointState::Draining));
        // What the first service says is still heard, but makes no endpoint ready again.
        let report = other.hear(list(4, false, &[draining("s-1"), ready("s-3")]));
        changing.receive_some(report);
        assert_eq!(changing.state("s-1"), Some(EndpointState::Draining));
        assert_eq!(changing.state("s-3"), Some(EndpointState::Draining));
        assert_eq!(other.view, changing.view);
        // Once the other process has gone, each process's own service counts alone.
        assert!(changing.poller.depends_on_peer() && other.poller.depends_on_peer());
        for (process, version) in [(&mut changing, 2), (&mut other, 4)] {
            process.poller.change_service(process.now);
            process.hear(list(version, true, &[ready("s-1")]));
            assert_eq!(process.state("s-1"), Some(EndpointState::Ready));
            assert!(!process.poller.depends_on_peer());
        }
    }
}

/// Guards against a successor with another service that sends to an endpoint which is gone, as its configuration still
/// names it.
#[test]
fn list_of_the_predecessor_replaces_the_configured_list_of_a_successor_with_another_service() {
    let known = list(3, true, &[ready("s-1"), ready("s-2")]);
    let mut predecessor = Process::new(Peer::Successor, &known, service(1));
    predecessor.hear(list(4, true, &[ready("s-2")]));
    let mut successor = Process::new(Peer::Predecessor, &known, service(2));
    successor.change_service(service(2));
    successor.receive(predecessor.full_report());
    assert_eq!(successor.view, predecessor.view);
    let report = predecessor.hear(list(5, false, &[draining("s-2")]));
    successor.receive_some(report);
    assert_eq!(successor.state("s-2"), Some(EndpointState::Draining));
    // The successor's own service then counts in both.
    let report = successor.hear(list(1, true, &[ready("s-2"), ready("s-3")]));
    predecessor.receive_some(report);
    assert_eq!(successor.state("s-2"), Some(EndpointState::Ready));
    assert_eq!(successor.view, predecessor.view);
}

#[test]
fn of_two_new_services_the_one_of_the_successor_counts_in_both_processes() {
    let (mut predecessor, mut successor) = pair();
    predecessor.change_service(service(2));
    successor.change_service(service(3));
    let from_predecessor = predecessor.hear(list(70, true, &[ready("s-1"), ready("s-4")]));
    let from_successor = successor.hear(list(1, true, &[ready("s-1"), ready("s-5")]));
    predecessor.receive_some(from_successor);
    successor.receive_some(from_predecessor);
    for process in [&predecessor, &successor] {
        assert_eq!(process.poller.origin().service, Some(service(3)));
        assert_eq!(process.state("s-5"), Some(EndpointState::Ready));
    }
}

/// Guards against changes that are taken for the whole list of their generation, whose full list was lost.
#[test]
fn changes_of_a_generation_that_is_not_known_are_merged() {
    let (_, mut successor) = pair();
    let origin = Some(ListOrigin { generation: 4, service: Some(service(1)), version: 9 });
    successor.receive(ListReport { origin, full: false, endpoints: vec![draining("s-2"), ready("s-7")] });
    assert_eq!(successor.state("s-1"), Some(EndpointState::Ready));
    assert_eq!(successor.state("s-2"), Some(EndpointState::Draining));
    assert_eq!(successor.state("s-7"), Some(EndpointState::Ready));
    assert_eq!(successor.poller.origin().generation, 0);
    assert!(successor.poller.depends_on_peer());
}

#[test]
fn list_of_a_restarted_service_that_one_process_accepts_in_full_applies_to_both() {
    let (mut predecessor, mut successor) = pair();
    successor.hear(list(3, true, &[ready("s-1"), ready("s-2")]));
    let report = predecessor.hear(list(1, true, &[ready("s-1"), ready("s-3")]));
    successor.receive_some(report);
    assert_eq!(
        successor.state("s-2"),
        Some(EndpointState::Ready),
        "the service has not had time to fill its list"
    );
    assert_eq!(successor.state("s-3"), Some(EndpointState::Ready));
    predecessor.now += 60 * S;
    let report = predecessor.hear(list(1, true, &[ready("s-1"), ready("s-3")]));
    successor.receive_some(report);
    assert_eq!(successor.view, predecessor.view);
    assert_eq!(successor.poller.version(), 1, "changes are requested since the service's present version");
}

/// What happens in a generated run. Each event names the process that it happens to: 0 or 1.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The service changes an endpoint's state; a restart changes its start time, too.
    Change { endpoint: usize, state: EndpointState, restart: bool },
    /// A process makes a request.
    Request(usize),
    /// The service writes its response.
    Write(usize),
    /// A process reads the response.
    Read(usize),
    /// A request fails.
    Fail(usize),
    /// A process receives the next report.
    Receive(usize),
    /// A process reads its configuration again, which still names the same service.
    Reload(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let state =
        prop_oneof![Just(EndpointState::Ready), Just(EndpointState::Draining), Just(EndpointState::Removed)];
    prop_oneof![
        3 => (0..ENDPOINTS, state, any::<bool>())
            .prop_map(|(endpoint, state, restart)| Step::Change { endpoint, state, restart }),
        4 => (0..2usize).prop_map(Step::Request),
        3 => (0..2usize).prop_map(Step::Write),
        3 => (0..2usize).prop_map(Step::Read),
        1 => (0..2usize).prop_map(Step::Fail),
        3 => (0..2usize).prop_map(Step::Receive),
        1 => (0..2usize).prop_map(Step::Reload),
    ]
}

/// A service that keeps all versions of its list.
struct Service {
    versions: Vec<BTreeMap<EndpointId, Endpoint>>,
    changes: Vec<Endpoint>,
}

impl Service {
    const FIRST_VERSION: u64 = 3;

    fn new() -> Service {
        let endpoints = (0..ENDPOINTS).map(|index| ready(&format!("s-{index}")));
        Service { versions: vec![endpoints.map(|e| (e.id.clone(), e)).collect()], changes: Vec::new() }
    }

    fn version(&self) -> u64 {
        Service::FIRST_VERSION + self.changes.len() as u64
    }

    fn at(&self, version: u64) -> &BTreeMap<EndpointId, Endpoint> {
        &self.versions[(version - Service::FIRST_VERSION) as usize]
    }

    fn change(&mut self, index: usize, state: EndpointState, restart: bool) {
        let id = EndpointId(format!("s-{index}").as_str().into());
        let mut endpoints = self.at(self.version()).clone();
        let started_at = endpoints.get(&id).map_or(0, |endpoint| endpoint.started_at);
        let started_at = if restart { self.version() * S } else { started_at };
        let changed = Endpoint { state, started_at, ..ready(&id.0) };
        match state {
            EndpointState::Removed => drop(endpoints.remove(&id)),
            _ => drop(endpoints.insert(id, changed.clone())),
        }
        self.changes.push(changed);
        self.versions.push(endpoints);
    }

    fn response(&self, request: DiscoveryRequest) -> EndpointList {
        match request {
            DiscoveryRequest::FullList => {
                let endpoints = self.at(self.version()).values().cloned().collect();
                EndpointList { version: self.version(), full: true, endpoints }
            }
            DiscoveryRequest::Watch { since_version, .. } => {
                let known = since_version.saturating_sub(Service::FIRST_VERSION) as usize;
                let newest: BTreeMap<_, _> = self
                    .changes
                    .iter()
                    .skip(known)
                    .map(|changed| (changed.id.clone(), changed.clone()))
                    .collect();
                EndpointList {
                    version: self.version(),
                    full: false,
                    endpoints: newest.into_values().collect(),
                }
            }
        }
    }
}

fn run_step(step: Step, service_state: &mut Service, processes: &mut [Process; 2]) {
    match step {
        Step::Change { endpoint, state, restart } => service_state.change(endpoint, state, restart),
        Step::Request(index) => processes[index].start_request(),
        Step::Write(index) => {
            if let Some((request, response @ None)) = &mut processes[index].request {
                *response = Some(service_state.response(*request));
            }
        }
        Step::Read(index) => {
            if let Some((_, Some(response))) = processes[index].request.clone() {
                let report = processes[index].receive_response(response);
                processes[1 - index].inbox.extend(report);
            }
        }
        Step::Fail(index) => {
            let process = &mut processes[index];
            if process.request.take().is_some() {
                process.poller.poll_failed(process.now, DiscoveryErrorKind::ConnectionBroken);
            }
        }
        Step::Receive(index) => {
            if let Some(report) = processes[index].inbox.pop_front() {
                processes[index].receive(report);
            }
        }
        Step::Reload(index) => processes[index].change_service(service(1)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_207),
        ..ProptestConfig::default()
    })]

    /// Whatever the order of changes, responses, failures and reports: a process's list is always one of the service's
    /// versions and never goes back, and once all reports are delivered, both processes have the newest list that
    /// either has read.
    #[test]
    fn both_processes_end_with_the_newest_list_that_either_has_read(
        steps in prop::collection::vec(any_step(), 1..120)
    ) {
        let mut service_state = Service::new();
        let known = service_state.response(DiscoveryRequest::FullList);
        let predecessor = Process::new(Peer::Successor, &known, service(1));
        let mut successor = Process::new(Peer::Predecessor, &known, service(1));
        successor.change_service(service(1));
        let mut processes = [predecessor, successor];
        let mut versions = [known.version; 2];
        for step in steps {
            run_step(step, &mut service_state, &mut processes);
            for (process, version) in processes.iter().zip(&mut versions) {
                prop_assert!(process.poller.version() >= *version, "went back to {}", process.poller.version());
                *version = process.poller.version();
                prop_assert_eq!(&process.listed(), service_state.at(*version));
            }
        }
        for process in &mut processes {
            while let Some(report) = process.inbox.pop_front() {
                process.receive(report);
            }
        }
        let newest = versions[0].max(versions[1]);
        for process in &processes {
            prop_assert_eq!(process.poller.version(), newest);
            prop_assert_eq!(&process.listed(), service_state.at(newest));
            prop_assert!(!process.poller.depends_on_peer());
        }
    }
}
