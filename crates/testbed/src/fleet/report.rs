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
    pub starts: u64,
    /// Number of times that discovery started with an empty list: it sends its full list then, and again once it is complete.
    pub list_starts: u64,
    /// Requests that discovery finished; refused connections are not recorded.
    pub list_calls: u64,
    /// Requests for the full list.
    pub whole_list_calls: u64,
    /// Requests rejected because they were queued too long.
    pub late_calls: u64,
    /// Work at discovery, in seconds.
    pub list_work_s: f64,
    /// Work for requests that were rejected or abandoned, in seconds.
    pub list_work_wasted_s: f64,
    /// Longest queue that a request found at discovery.
    pub longest_queue: usize,
    /// Highest number of requests in one second of the run.
    pub peak_calls_per_s: u64,
    /// Requests in each second of the run.
    pub calls_by_second: Vec<u64>,
    /// Work of the cheapest sufficient request of every relay, plus the time for which discovery could not answer, in seconds.
    pub ideal_s: f64,
    /// Median time to the current list, from a relay's last start or from the last start of discovery with an empty list.
    pub list_p50_s: f64,
    /// 99th percentile of the same time.
    pub list_p99_s: f64,
    /// Maximum of the same time; none if a relay never had the list.
    pub list_last_s: Option<f64>,
    /// Time after which every relay had served a client; none if one never did.
    pub served_by_s: Option<f64>,
    /// Requests of clients.
    pub clients_asked: u64,
    /// Requests answered `UP`.
    pub served: u64,
    /// Requests answered `BUSY`.
    pub refused: u64,
    /// Requests answered otherwise, or unanswered by a relay that was acted on.
    pub failed: u64,
    /// Requests not answered by a relay that ran all the time.
    pub unanswered: u64,
    /// Lines received after a final answer.
    pub double_answers: u64,
    /// Established connections that ended without `MOVE` while their relay ran.
    pub cut_off: u64,
    /// Attempts of a connection that overlapped another of the same connection.
    pub overlapping_attempts: u64,
    /// Attempts sent to an endpoint after the relay knew that it drains.
    pub late_sends_to_draining: u64,
    /// Highest load sent to an endpoint, divided by its capacity at that time.
    pub worst_cold_multiple: f64,
    /// Records of endpoints that have failed from overload.
    pub fallen: usize,
    /// Highest number of connections that one endpoint accepted within a second.
    pub worst_connects_per_s: u64,
    /// Highest number of health checks that one endpoint answered within a second.
    pub worst_probes_per_s: u64,
    /// Highest number of connections that one endpoint had open.
    pub worst_open_connections: usize,
    /// Longest scheduling lag of a part, in milliseconds.
    pub lag_ms: u64,
    /// Whether the machine was overloaded, which makes the run invalid.
    pub starved: bool,
    /// Expectations that were not met.
    pub broken: Vec<String>,
}

/// What a scenario expects of discovery, beside the rules that hold for all.
#[derive(Clone, Copy, Debug)]
pub struct Expectations {
    /// Time for which discovery could not answer, in seconds.
    pub down_s: f64,
    /// Seconds beyond 1.5 times the ideal within which the last relay must have the list; none where that is not checked.
    pub slack_s: Option<f64>,
    /// Whether discovery starts empty and fills its list.
    pub fills: bool,
}

/// Adds a message to `broken` for each expectation that was not met.
pub(super) fn check_expectations(
    r: &mut Report, plan: &Plan, expectations: Expectations, expected_alive: usize,
) {
    let mut broken = std::mem::take(&mut r.broken);
    let mut expect = |is_met: bool, what: String| {
        if !is_met {
            broken.push(what);
        }
    };
    expect(r.alive == expected_alive, format!("{} of {expected_alive} relays are alive", r.alive));
    expect(r.unanswered == 0, format!("{} requests without an answer", r.unanswered));
    expect(r.double_answers == 0, format!("{} second answers", r.double_answers));
    expect(r.cut_off == 0, format!("{} sessions cut off without MOVE", r.cut_off));
    expect(r.overlapping_attempts == 0, format!("{} overlapping attempts", r.overlapping_attempts));
    expect(
        r.late_sends_to_draining == 0,
        format!("{} late sends to draining card servers", r.late_sends_to_draining),
    );
    expect(r.fallen == 0, "a card server fell over".into());
    if plan.cold_cards {
        let worst = r.worst_cold_multiple;
        expect(worst <= MAX_OVERLOAD, format!("{worst:.2} times a cold card server's capacity"));
    }
    if let Some(slack) = expectations.slack_s {
        let limit = IDEAL_TIME_FACTOR * r.ideal_s + slack;
        let last = r.list_last_s;
        expect(
            last.is_some_and(|last| last <= limit),
            format!("the last list came at {last:?} s, {limit:.1} s wanted"),
        );
    }
    let wasted = r.list_work_wasted_s / r.list_work_s.max(1e-9);
    expect(
        wasted <= MAX_WASTED_WORK,
        format!("{:.1}% of the list service's work was for nothing", wasted * 100.0),
    );
    let starts = r.starts + 2 * r.list_starts * plan.relays as u64;
    let whole = r.whole_list_calls as f64 / starts.max(1) as f64;
    expect(whole <= MAX_FULL_LISTS_PER_START, format!("{whole:.2} whole lists a relay and start"));
    r.broken = broken;
}
