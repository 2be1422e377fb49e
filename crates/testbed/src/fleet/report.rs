//! The report of a run and the check of its expectations.

use serde::Serialize;

use super::Plan;

/// Maximum load that may be sent to an endpoint in slow start, divided by its capacity at that time.
const MAX_OVERLOAD: f64 = 3.0;
/// Maximum fraction of discovery's work that may go to rejected and abandoned requests.
const MAX_WASTED_WORK: f64 = 0.05;
/// Maximum number of requests for the full list per start of a relay.
const MAX_FULL_LISTS_PER_START: f64 = 1.1;
/// Factor by which the time until the last relay has the list may exceed the ideal time, before the slack.
const IDEAL_TIME_FACTOR: f64 = 1.5;

/// Figures of a run, all of them computed from the event logs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Number of relays.
    pub relays: usize,
    /// Number of relays that should run at the end and whose process has not exited by itself.
    pub alive: usize,
    /// Number of relay processes started.
    #[serde(rename = "starts")]
    pub relay_starts: u64,
    /// Number of times that discovery started with an empty list; each time relays may request the full list
    /// twice, at that start and once the list is complete.
    #[serde(rename = "list_starts")]
    pub empty_discovery_starts: u64,
    /// Number of requests that discovery finished; refused connections are not recorded.
    #[serde(rename = "list_calls")]
    pub discovery_requests: u64,
    /// Number of requests for the full list.
    #[serde(rename = "whole_list_calls")]
    pub full_list_requests: u64,
    /// Number of requests that discovery rejected because they were queued too long.
    #[serde(rename = "late_calls")]
    pub rejected_discovery_requests: u64,
    /// Time that discovery worked on requests, in seconds.
    #[serde(rename = "list_work_s")]
    pub discovery_work_s: f64,
    /// Time that discovery worked on requests that it rejected or that the relay abandoned, in seconds.
    #[serde(rename = "list_work_wasted_s")]
    pub wasted_discovery_work_s: f64,
    /// Highest number of requests queued at discovery when another arrived.
    #[serde(rename = "longest_queue")]
    pub max_queue_length: usize,
    /// Highest number of requests to discovery in one second of the run.
    #[serde(rename = "peak_calls_per_s")]
    pub peak_discovery_requests_per_s: u64,
    /// Number of requests to discovery in each second of the run.
    #[serde(rename = "calls_by_second")]
    pub discovery_requests_by_second: Vec<u64>,
    /// Time in which discovery could give every relay the list by its cheapest sufficient request, plus the
    /// time for which discovery could not answer, in seconds.
    pub ideal_s: f64,
    /// Median time until a relay had the current list, in seconds, from its last start or from the last start
    /// of discovery with an empty list.
    #[serde(rename = "list_p50_s")]
    pub time_to_list_p50_s: f64,
    /// 99th percentile of the same time.
    #[serde(rename = "list_p99_s")]
    pub time_to_list_p99_s: f64,
    /// Maximum of the same time; `None` if a relay never had the list.
    #[serde(rename = "list_last_s")]
    pub time_to_list_max_s: Option<f64>,
    /// Time from the start of the run until every relay had served a client, in seconds; `None` if one never
    /// did.
    #[serde(rename = "served_by_s")]
    pub time_to_serve_max_s: Option<f64>,
    /// Number of requests of clients.
    #[serde(rename = "clients_asked")]
    pub client_requests: u64,
    /// Number of requests answered `UP`.
    pub served: u64,
    /// Number of requests answered `BUSY`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests answered otherwise, or not answered by a relay whose process the harness acted on.
    pub failed: u64,
    /// Number of requests not answered by a relay whose process ran all the time.
    pub unanswered: u64,
    /// Number of requests for which a client received a further line after the final answer.
    #[serde(rename = "double_answers")]
    pub duplicate_answers: u64,
    /// Number of established connections that ended without `MOVE` while their relay ran.
    #[serde(rename = "cut_off")]
    pub unexpected_disconnects: u64,
    /// Number of attempts that overlapped another attempt of the same connection.
    pub overlapping_attempts: u64,
    /// Number of attempts sent to an endpoint after the relay knew that it drains.
    #[serde(rename = "late_sends_to_draining")]
    pub late_attempts_to_draining: u64,
    /// Highest load sent to an endpoint, divided by its capacity at that time.
    #[serde(rename = "worst_cold_multiple")]
    pub max_overload: f64,
    /// Number of state records of endpoints that have failed from overload.
    #[serde(rename = "fallen")]
    pub failed_endpoint_records: usize,
    /// Highest number of connections that one endpoint accepted within a second.
    #[serde(rename = "worst_connects_per_s")]
    pub max_connections_accepted_per_s: u64,
    /// Highest number of health checks that one endpoint answered within a second.
    #[serde(rename = "worst_probes_per_s")]
    pub max_health_checks_per_s: u64,
    /// Highest number of connections that one endpoint had open.
    #[serde(rename = "worst_open_connections")]
    pub max_open_connections: usize,
    /// Longest scheduling lag of a process, in milliseconds.
    pub lag_ms: u64,
    /// Whether the machine was overloaded, which makes the run invalid.
    #[serde(rename = "starved")]
    pub machine_overloaded: bool,
    /// One message for each expectation that was not met.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// What a run must meet in addition to the checks that apply to every run.
#[derive(Clone, Copy, Debug)]
pub struct Expectations {
    /// Time for which discovery could not answer, in seconds.
    pub outage_s: f64,
    /// Time beyond 1.5 times the ideal time within which the last relay must have the list, in seconds;
    /// `None` if the time is not checked.
    pub slack_s: Option<f64>,
    /// Whether discovery restarts with an empty list and fills it during the run.
    pub refills_list: bool,
}

/// Adds a message to the report's violations for each expectation that was not met.
pub(super) fn check_expectations(
    report: &mut Report, plan: &Plan, expectations: Expectations, expected_alive: usize,
) {
    let mut violations = std::mem::take(&mut report.violations);
    let mut expect = |is_met: bool, message: String| {
        if !is_met {
            violations.push(message);
        }
    };
    expect(
        report.alive == expected_alive,
        format!("{} of {expected_alive} relays run at the end", report.alive),
    );
    expect(report.unanswered == 0, format!("{} requests without an answer", report.unanswered));
    expect(report.duplicate_answers == 0, format!("{} duplicate answers", report.duplicate_answers));
    expect(
        report.unexpected_disconnects == 0,
        format!("{} connections ended without MOVE while their relay ran", report.unexpected_disconnects),
    );
    expect(report.overlapping_attempts == 0, format!("{} overlapping attempts", report.overlapping_attempts));
    expect(
        report.late_attempts_to_draining == 0,
        format!("{} attempts at endpoints that the relay knew to drain", report.late_attempts_to_draining),
    );
    expect(report.failed_endpoint_records == 0, "an endpoint failed from overload".into());
    if plan.cold_endpoints {
        let worst = report.max_overload;
        expect(
            worst <= MAX_OVERLOAD,
            format!("an endpoint in slow start was sent {worst:.2} times its capacity"),
        );
    }
    if let Some(slack) = expectations.slack_s {
        let limit = IDEAL_TIME_FACTOR * report.ideal_s + slack;
        let last = report.time_to_list_max_s;
        expect(
            last.is_some_and(|last| last <= limit),
            format!("the last relay had the list after {last:?} s; the limit is {limit:.1} s"),
        );
    }
    let wasted_fraction = report.wasted_discovery_work_s / report.discovery_work_s.max(1e-9);
    expect(
        wasted_fraction <= MAX_WASTED_WORK,
        format!("{:.1}% of discovery's work went to rejected or abandoned requests", wasted_fraction * 100.0),
    );
    let starts = report.relay_starts + 2 * report.empty_discovery_starts * plan.relays as u64;
    let full_lists = report.full_list_requests as f64 / starts.max(1) as f64;
    expect(
        full_lists <= MAX_FULL_LISTS_PER_START,
        format!("{full_lists:.2} requests for the full list per start of a relay"),
    );
    report.violations = violations;
}
