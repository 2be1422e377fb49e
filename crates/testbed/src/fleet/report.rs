//! The report of a scenario run and the checks of what the run must meet.

use serde::Serialize;

use super::Plan;

/// Maximum load sent to an endpoint in slow start, divided by its capacity at that time.
const MAX_OVERLOAD: f64 = 3.0;
/// Maximum part of discovery's work that may go to rejected and abandoned requests.
const MAX_WASTED_WORK: f64 = 0.05;
/// Maximum number of full lists per relay and start.
const MAX_FULL_LISTS_PER_START: f64 = 1.1;
/// Factor of the ideal time within which the last relay must have the list, beside the slack.
const IDEAL_TIME_FACTOR: f64 = 1.5;

/// Figures of a scenario run, all of them from the event logs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Number of relays.
    pub relays: usize,
    /// Relays that should run at the end and whose process has not exited by itself.
    pub alive: usize,
    /// Number of relay processes started.
    #[serde(rename = "starts")]
    pub relay_starts: u64,
    /// Number of times that discovery started with an empty list: it sends its full list then, and again once it is complete.
    #[serde(rename = "list_starts")]
    pub empty_discovery_starts: u64,
    /// Requests that discovery finished; refused connections are not recorded.
    #[serde(rename = "list_calls")]
    pub discovery_requests: u64,
    /// Requests for the full list.
    #[serde(rename = "whole_list_calls")]
    pub full_list_requests: u64,
    /// Requests rejected because they were queued too long.
    #[serde(rename = "late_calls")]
    pub rejected_discovery_requests: u64,
    /// Work at discovery, in seconds.
    #[serde(rename = "list_work_s")]
    pub discovery_work_s: f64,
    /// Work for requests that were rejected or abandoned, in seconds.
    #[serde(rename = "list_work_wasted_s")]
    pub wasted_discovery_work_s: f64,
    /// Longest queue that a request found at discovery.
    #[serde(rename = "longest_queue")]
    pub max_queue_length: usize,
    /// Highest number of requests in one second of the run.
    #[serde(rename = "peak_calls_per_s")]
    pub peak_discovery_requests_per_s: u64,
    /// Requests in each second of the run.
    #[serde(rename = "calls_by_second")]
    pub discovery_requests_by_second: Vec<u64>,
    /// Work of the cheapest sufficient request of every relay, plus the time for which discovery could not answer, in seconds.
    pub ideal_s: f64,
    /// Median time to the current list, from a relay's last start or from the last start of discovery with an empty list.
    #[serde(rename = "list_p50_s")]
    pub time_to_list_p50_s: f64,
    /// 99th percentile of the same time.
    #[serde(rename = "list_p99_s")]
    pub time_to_list_p99_s: f64,
    /// Maximum of the same time; none if a relay never had the list.
    #[serde(rename = "list_last_s")]
    pub time_to_list_max_s: Option<f64>,
    /// Time after which every relay had served a client; none if one never did.
    #[serde(rename = "served_by_s")]
    pub time_to_serve_max_s: Option<f64>,
    /// Requests of clients.
    #[serde(rename = "clients_asked")]
    pub client_requests: u64,
    /// Requests answered `UP`.
    pub served: u64,
    /// Requests answered `BUSY`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests answered otherwise, or unanswered by a relay that was acted on.
    pub failed: u64,
    /// Requests not answered by a relay that ran all the time.
    pub unanswered: u64,
    /// Lines received after a final answer.
    #[serde(rename = "double_answers")]
    pub duplicate_answers: u64,
    /// Established connections that ended without `MOVE` while their relay ran.
    #[serde(rename = "cut_off")]
    pub unexpected_disconnects: u64,
    /// Attempts of a connection that overlapped another of the same connection.
    pub overlapping_attempts: u64,
    /// Attempts sent to an endpoint after the relay knew that it drains.
    #[serde(rename = "late_sends_to_draining")]
    pub late_attempts_to_draining: u64,
    /// Highest load sent to an endpoint, divided by its capacity at that time.
    #[serde(rename = "worst_cold_multiple")]
    pub max_overload: f64,
    /// Records of endpoints that have failed from overload.
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
    /// Longest scheduling lag of a part, in milliseconds.
    pub lag_ms: u64,
    /// Whether the machine was overloaded, which makes the run invalid.
    #[serde(rename = "starved")]
    pub machine_overloaded: bool,
    /// Expectations that were not met.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// What a scenario expects of discovery, beside the rules that hold for all.
#[derive(Clone, Copy, Debug)]
pub struct Expectations {
    /// Time for which discovery could not answer, in seconds.
    pub outage_s: f64,
    /// Seconds beyond 1.5 times the ideal within which the last relay must have the list; none where that is not checked.
    pub slack_s: Option<f64>,
    /// Whether discovery starts empty and fills its list.
    pub refills_list: bool,
}

/// Adds a message to `broken` for each expectation that was not met.
pub(super) fn check_expectations(
    r: &mut Report, plan: &Plan, expectations: Expectations, expected_alive: usize,
) {
    let mut broken = std::mem::take(&mut r.violations);
    let mut expect = |is_met: bool, what: String| {
        if !is_met {
            broken.push(what);
        }
    };
    expect(r.alive == expected_alive, format!("{} of {expected_alive} relays are alive", r.alive));
    expect(r.unanswered == 0, format!("{} requests without an answer", r.unanswered));
    expect(r.duplicate_answers == 0, format!("{} second answers", r.duplicate_answers));
    expect(
        r.unexpected_disconnects == 0,
        format!("{} sessions cut off without MOVE", r.unexpected_disconnects),
    );
    expect(r.overlapping_attempts == 0, format!("{} overlapping attempts", r.overlapping_attempts));
    expect(
        r.late_attempts_to_draining == 0,
        format!("{} late sends to draining card servers", r.late_attempts_to_draining),
    );
    expect(r.failed_endpoint_records == 0, "a card server fell over".into());
    if plan.cold_endpoints {
        let worst = r.max_overload;
        expect(worst <= MAX_OVERLOAD, format!("{worst:.2} times a cold card server's capacity"));
    }
    if let Some(slack) = expectations.slack_s {
        let limit = IDEAL_TIME_FACTOR * r.ideal_s + slack;
        let last = r.time_to_list_max_s;
        expect(
            last.is_some_and(|last| last <= limit),
            format!("the last list came at {last:?} s, {limit:.1} s wanted"),
        );
    }
    let wasted = r.wasted_discovery_work_s / r.discovery_work_s.max(1e-9);
    expect(
        wasted <= MAX_WASTED_WORK,
        format!("{:.1}% of the list service's work was for nothing", wasted * 100.0),
    );
    let starts = r.relay_starts + 2 * r.empty_discovery_starts * plan.relays as u64;
    let whole = r.full_list_requests as f64 / starts.max(1) as f64;
    expect(whole <= MAX_FULL_LISTS_PER_START, format!("{whole:.2} whole lists a relay and start"));
    r.violations = broken;
}
