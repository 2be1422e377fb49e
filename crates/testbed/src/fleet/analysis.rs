//! Computes the report of a scenario run from its event logs.

use std::collections::{BTreeMap, BTreeSet};

use super::event_log::{Answer, Event, Record, RequestKind, RequestOutcome};
use super::relay_history::RelayHistory;
use super::report::{Expectations, Report, check_expectations};
use super::{CURRENT_LIST_VERSION, InitialList, Plan, discovery};

/// Time after a relay learns that an endpoint drains within which an attempt may still arrive there, in
/// microseconds: the 0.5 s that relays are allowed, and the delay of sockets.
const DRAIN_GRACE_US: u64 = 550_000;
/// Maximum delay with which an endpoint sees the end of an attempt, in microseconds; attempts that overlap
/// for longer count.
const MAX_ATTEMPT_END_DELAY_US: u64 = 150_000;
/// Scheduling lag above which the machine was overloaded and the run is invalid, in microseconds.
const MAX_LAG_US: u64 = 500_000;
/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Computes the report of a run that started at `run_started_at`, in Unix microseconds.
pub fn analyze(
    plan: &Plan, scenario: &str, run_started_at: u64, records: &[Record], expectations: Expectations,
) -> Report {
    let mut analysis = Analysis::new(plan, scenario, run_started_at, expectations);
    analysis.collect_process_actions(records);
    let mut records: Vec<&Record> =
        records.iter().filter(|record| record.time_us >= run_started_at).collect();
    records.sort_by_key(|record| record.time_us);
    for record in records {
        analysis.add(record);
    }
    analysis.finish(expectations)
}

/// An attempt at an endpoint that has not ended.
struct Attempt {
    endpoint: usize,
    started_at: u64,
}

/// State of an analysis; the keys of maps are relays or endpoints, times are Unix microseconds.
struct Analysis<'a> {
    plan: &'a Plan,
    report: Report,
    run_started_at: u64,
    /// Version of the list that relays must get.
    target_version: u64,
    histories: BTreeMap<usize, RelayHistory>,
    exited: BTreeSet<usize>,
    /// Time from its last start until a relay had the target version.
    time_to_list: BTreeMap<usize, u64>,
    /// Time from the start of the run until a relay first served a client.
    time_to_serve: BTreeMap<usize, u64>,
    accepted_at: BTreeMap<usize, Vec<u64>>,
    health_checked_at: BTreeMap<usize, Vec<u64>>,
    open_attempts: BTreeMap<&'a str, Vec<Attempt>>,
    requested_at: BTreeMap<&'a str, u64>,
    /// Version of the list since which an endpoint drains.
    draining_since_version: BTreeMap<usize, u64>,
    /// Time at which a relay learned that an endpoint drains, by relay and endpoint.
    drain_known_at: BTreeMap<(usize, usize), u64>,
    discovery_requested_at: Vec<u64>,
    /// Time of discovery's last start with an empty list.
    list_emptied_at: u64,
}

impl<'a> Analysis<'a> {
    fn new(plan: &'a Plan, scenario: &str, run_started_at: u64, expectations: Expectations) -> Self {
        let full_list_s = plan.full_list_ms as f64 / 1e3;
        let report = Report {
            scenario: scenario.to_owned(),
            seed: plan.seed,
            relays: plan.relays,
            ideal_s: plan.relays as f64 * full_list_s * cheapest_request(plan) + expectations.outage_s,
            ..Report::default()
        };
        Analysis {
            plan,
            report,
            run_started_at,
            target_version: if expectations.refills_list {
                plan.endpoints as u64 + 1
            } else {
                CURRENT_LIST_VERSION
            },
            histories: BTreeMap::new(),
            exited: BTreeSet::new(),
            time_to_list: BTreeMap::new(),
            time_to_serve: BTreeMap::new(),
            accepted_at: BTreeMap::new(),
            health_checked_at: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            requested_at: BTreeMap::new(),
            draining_since_version: BTreeMap::new(),
            drain_known_at: BTreeMap::new(),
            discovery_requested_at: Vec::new(),
            list_emptied_at: 0,
        }
    }

    /// Collects actions on processes and exits of relays, including those before the start of the run.
    fn collect_process_actions(&mut self, records: &[Record]) {
        for record in records {
            match &record.event {
                Event::ProcessAction { action, relay: Some(relay) } => {
                    self.histories.entry(*relay).or_default().push(record.time_us, action);
                    self.report.relay_starts += u64::from(action == "start");
                }
                Event::ProcessAction { action, relay: None } => {
                    self.report.empty_discovery_starts += u64::from(action == "list fresh");
                }
                Event::RelayExited { relay, reason } => {
                    self.exited.insert(*relay);
                    self.report.violations.push(format!("relay n{relay} exited unexpectedly: {reason}"));
                }
                _ => {}
            }
        }
    }

    fn add(&mut self, record: &'a Record) {
        let now = record.time_us;
        match &record.event {
            Event::DiscoveryRequest { .. } => self.add_discovery_request(now, &record.event),
            Event::ListVersion { version, endpoint, state } => {
                self.add_list_version(*version, *endpoint, state);
            }
            Event::ConnectionAccepted { endpoint } => {
                self.accepted_at.entry(*endpoint).or_default().push(now);
            }
            Event::HealthCheck { endpoint } => {
                self.health_checked_at.entry(*endpoint).or_default().push(now);
            }
            Event::AttemptStarted { endpoint, id } => self.add_attempt_start(now, *endpoint, id),
            Event::AttemptEnded { endpoint, id, .. } => self.add_attempt_end(now, *endpoint, id),
            Event::EndpointState { open_connections, max_overload, has_failed, .. } => {
                let report = &mut self.report;
                report.max_open_connections = report.max_open_connections.max(*open_connections);
                report.max_overload = report.max_overload.max(*max_overload);
                report.failed_endpoint_records += usize::from(*has_failed);
            }
            Event::ClientRequest { id, .. } => {
                self.report.client_requests += 1;
                self.requested_at.insert(id, now);
            }
            Event::ClientAnswer { relay, id, answer } => self.add_answer(now, *relay, id, *answer),
            Event::DuplicateAnswer { .. } => self.report.duplicate_answers += 1,
            Event::ConnectionEnded { relay, is_expected: false } => {
                self.report.unexpected_disconnects += u64::from(!self.is_excused(*relay, now, now));
            }
            Event::ProcessAction { action, relay: None } if action == "list fresh" => {
                // Discovery has lost the list, so all relays must get it again.
                self.list_emptied_at = now;
                self.time_to_list.clear();
            }
            Event::SchedulingLag { lag_us } => self.report.lag_ms = self.report.lag_ms.max(lag_us / 1_000),
            Event::ConnectionEnded { .. }
            | Event::RelayUnreachable { .. }
            | Event::ProcessAction { .. }
            | Event::RelayExited { .. }
            | Event::TaskEffect { .. } => {}
        }
    }

    fn add_discovery_request(&mut self, now: u64, event: &Event) {
        let Event::DiscoveryRequest {
            relay,
            kind,
            received_at_us,
            work_us,
            outcome,
            version,
            queue_length,
            is_first_pass,
        } = event
        else {
            return;
        };
        let is_answered = *outcome == RequestOutcome::Answered;
        let work_s = *work_us as f64 / 1e6;
        let report = &mut self.report;
        report.discovery_requests += u64::from(*is_first_pass);
        report.full_list_requests += u64::from(*kind == RequestKind::FullList);
        report.rejected_discovery_requests += u64::from(*outcome == RequestOutcome::Rejected);
        report.discovery_work_s += work_s;
        report.wasted_discovery_work_s += if is_answered { 0.0 } else { work_s };
        report.max_queue_length = report.max_queue_length.max(*queue_length);
        self.discovery_requested_at.extend(is_first_pass.then_some(*received_at_us));
        if is_answered {
            self.add_received_version(now, *relay, *version);
        }
    }

    fn add_received_version(&mut self, now: u64, relay: usize, version: u64) {
        let last_start = self.histories.get(&relay).and_then(RelayHistory::last_start);
        let start = last_start.unwrap_or(self.run_started_at).max(self.list_emptied_at);
        if version >= self.target_version && now >= start {
            self.time_to_list.entry(relay).or_insert(now - start);
        }
        for (endpoint, draining_since) in &self.draining_since_version {
            if version >= *draining_since {
                self.drain_known_at.entry((relay, *endpoint)).or_insert(now);
            }
        }
    }

    fn add_list_version(&mut self, version: u64, endpoint: usize, state: &str) {
        if state == "active" {
            self.draining_since_version.remove(&endpoint);
            self.drain_known_at.retain(|(_, draining), _| *draining != endpoint);
        } else {
            self.draining_since_version.entry(endpoint).or_insert(version);
        }
    }

    fn add_attempt_start(&mut self, now: u64, endpoint: usize, id: &'a str) {
        self.open_attempts.entry(id).or_default().push(Attempt { endpoint, started_at: now });
        let known_at = relay_of(id).and_then(|relay| self.drain_known_at.get(&(relay, endpoint)));
        let is_late = known_at.is_some_and(|known_at| now > known_at + DRAIN_GRACE_US);
        self.report.late_attempts_to_draining += u64::from(is_late);
    }

    fn add_attempt_end(&mut self, now: u64, endpoint: usize, id: &str) {
        let Some(attempts) = self.open_attempts.get_mut(id) else { return };
        let Some(index) = attempts.iter().position(|attempt| attempt.endpoint == endpoint) else { return };
        let ended = attempts.remove(index);
        let overlaps = attempts.iter().any(|other| {
            other.started_at > ended.started_at && now > other.started_at + MAX_ATTEMPT_END_DELAY_US
        });
        self.report.overlapping_attempts += u64::from(overlaps);
    }

    fn add_answer(&mut self, now: u64, relay: usize, id: &str, answer: Answer) {
        match answer {
            Answer::Established => {
                self.report.served += 1;
                self.time_to_serve.entry(relay).or_insert(now - self.run_started_at);
            }
            Answer::Rejected => self.report.rejected += 1,
            Answer::Failed => self.report.failed += 1,
            Answer::TimedOut => {
                let since = self.requested_at.get(id).copied().unwrap_or(now);
                if self.is_excused(relay, since, now) {
                    self.report.failed += 1;
                } else {
                    self.report.unanswered += 1;
                }
            }
        }
    }

    fn is_excused(&self, relay: usize, since: u64, until: u64) -> bool {
        self.histories.get(&relay).is_none_or(|history| history.excuses_failure(since, until))
    }

    fn finish(mut self, expectations: Expectations) -> Report {
        let still_open = self.open_attempts.values().filter(|attempts| attempts.len() > 1).count();
        self.report.overlapping_attempts += still_open as u64;
        self.count_requests_by_second();
        self.report.max_connections_accepted_per_s = max_per_second(&self.accepted_at);
        self.report.max_health_checks_per_s = max_per_second(&self.health_checked_at);
        let should_run = |(relay, history): (&usize, &RelayHistory)| history.should_run().then_some(*relay);
        let expected: Vec<usize> = self.histories.iter().filter_map(should_run).collect();
        self.report.alive = expected.iter().filter(|relay| !self.exited.contains(relay)).count();
        self.add_times(&expected);
        self.report.machine_overloaded = self.report.lag_ms * 1_000 > MAX_LAG_US;
        check_expectations(&mut self.report, self.plan, expectations, expected.len());
        self.report
    }

    fn count_requests_by_second(&mut self) {
        self.discovery_requested_at.sort_unstable();
        let by_second = &mut self.report.discovery_requests_by_second;
        for requested_at in &self.discovery_requested_at {
            let second = (requested_at.saturating_sub(self.run_started_at) / SECOND_US) as usize;
            if by_second.len() <= second {
                by_second.resize(second + 1, 0);
            }
            by_second[second] += 1;
        }
        self.report.peak_discovery_requests_per_s = by_second.iter().copied().max().unwrap_or(0);
    }

    /// Fills in the times after which the expected relays had the list and served a client.
    fn add_times(&mut self, expected: &[usize]) {
        let mut times: Vec<u64> =
            expected.iter().filter_map(|relay| self.time_to_list.get(relay).copied()).collect();
        times.sort_unstable();
        let quantile_s = |fraction: f64| {
            let index = (times.len() as f64 * fraction) as usize;
            times.get(index).or(times.last()).copied().unwrap_or(0) as f64 / 1e6
        };
        self.report.time_to_list_p50_s = quantile_s(0.5);
        self.report.time_to_list_p99_s = quantile_s(0.99);
        self.report.time_to_list_max_s = (times.len() == expected.len()).then(|| quantile_s(1.0));
        let served: Option<Vec<u64>> =
            expected.iter().map(|relay| self.time_to_serve.get(relay).copied()).collect();
        self.report.time_to_serve_max_s =
            served.and_then(|times| times.into_iter().max()).map(|time| time as f64 / 1e6);
    }
}

/// Returns the cost of the cheapest request that brings a relay the current list, as a fraction of a full
/// list's cost.
fn cheapest_request(plan: &Plan) -> f64 {
    if plan.initial_list == InitialList::Absent || plan.cold_endpoints {
        return 1.0;
    }
    let new =
        (0..plan.endpoints).filter(|endpoint| discovery::is_missing(plan.initial_list, *endpoint)).count();
    discovery::changes_cost(new, plan.endpoints)
}

/// Returns the highest number of times within one second among all endpoints.
fn max_per_second(times_by_endpoint: &BTreeMap<usize, Vec<u64>>) -> u64 {
    times_by_endpoint.values().map(|times| max_in_one_second(times)).max().unwrap_or(0)
}

fn max_in_one_second(times: &[u64]) -> u64 {
    let mut first = 0;
    let mut max = 0;
    for last in 0..times.len() {
        while times[last] - times[first] > SECOND_US {
            first += 1;
        }
        max = max.max((last + 1 - first) as u64);
    }
    max
}

/// Returns the relay whose number ends a client's connection id.
fn relay_of(id: &str) -> Option<usize> {
    id.rsplit('-').next()?.parse().ok()
}
