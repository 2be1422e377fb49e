//! Event logs: each process of the testbed appends what it observes to its own file, one JSON object per
//! line. All processes use the same clock.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

/// Suffix of event log files.
const FILE_EXTENSION: &str = "book";
/// Interval at which a process measures how late its timers fire.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Scheduling lag above which an event is recorded, in microseconds.
const MIN_RECORDED_LAG_US: u64 = 100_000;

/// An event and the time at which it was observed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event in Unix microseconds.
    #[serde(rename = "t")]
    pub time_us: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event that a process of the testbed observes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "k", rename_all = "kebab-case")]
pub enum Event {
    /// Discovery finished a request of a relay.
    #[serde(rename = "call")]
    DiscoveryRequest {
        /// Relay that sent the request.
        #[serde(rename = "r")]
        relay: usize,
        /// What was requested.
        kind: RequestKind,
        /// Time at which the request was queued, in Unix microseconds.
        #[serde(rename = "came")]
        received_at_us: u64,
        /// Work spent on the request, in microseconds.
        #[serde(rename = "work")]
        work_us: u64,
        /// How the request ended.
        #[serde(rename = "end")]
        outcome: RequestOutcome,
        /// Version of the endpoint list at that time.
        #[serde(rename = "v")]
        version: u64,
        /// Number of requests that were queued when it arrived.
        #[serde(rename = "queue")]
        queue_length: usize,
        /// Whether this is the request's first pass through the queue; a watch has a second one at its end.
        #[serde(rename = "first")]
        is_first_pass: bool,
    },
    /// Discovery published a new version of the endpoint list, which changes the state of one endpoint.
    #[serde(rename = "version")]
    ListVersion {
        /// The new version.
        #[serde(rename = "v")]
        version: u64,
        /// Endpoint that changed.
        #[serde(rename = "s")]
        endpoint: usize,
        /// Its new state.
        state: String,
    },
    /// An endpoint accepted a connection.
    #[serde(rename = "connect")]
    ConnectionAccepted {
        /// The endpoint.
        #[serde(rename = "s")]
        endpoint: usize,
    },
    /// An endpoint answered a health check.
    #[serde(rename = "probe")]
    HealthCheck {
        /// The endpoint.
        #[serde(rename = "s")]
        endpoint: usize,
    },
    /// An endpoint received the first line of a connection, which begins an attempt.
    #[serde(rename = "first")]
    AttemptStarted {
        /// The endpoint.
        #[serde(rename = "s")]
        endpoint: usize,
        /// Connection id.
        id: String,
    },
    /// An attempt ended at an endpoint.
    #[serde(rename = "answer")]
    AttemptEnded {
        /// The endpoint.
        #[serde(rename = "s")]
        endpoint: usize,
        /// Connection id.
        id: String,
        /// Whether the connection was established.
        #[serde(rename = "up")]
        is_established: bool,
    },
    /// Periodic state of an endpoint.
    #[serde(rename = "card")]
    EndpointState {
        /// The endpoint.
        #[serde(rename = "s")]
        endpoint: usize,
        /// Number of open connections.
        #[serde(rename = "open")]
        open_connections: usize,
        /// Load divided by present capacity.
        #[serde(rename = "x0")]
        utilization: f64,
        /// Highest load sent to the endpoint, divided by its capacity at that time.
        #[serde(rename = "worst")]
        max_overload: f64,
        /// Whether the endpoint has failed from overload.
        #[serde(rename = "fallen")]
        has_failed: bool,
    },
    /// A client wrote its first line to a relay.
    #[serde(rename = "ask")]
    ClientRequest {
        /// The relay.
        #[serde(rename = "r")]
        relay: usize,
        /// Connection id.
        id: String,
    },
    /// A client's request was answered, or not within its deadline.
    #[serde(rename = "word")]
    ClientAnswer {
        /// The relay.
        #[serde(rename = "r")]
        relay: usize,
        /// Connection id.
        id: String,
        /// The answer.
        #[serde(rename = "word")]
        answer: Answer,
    },
    /// A client received a further line after a final answer.
    #[serde(rename = "twice")]
    DuplicateAnswer {
        /// Connection id.
        id: String,
    },
    /// An established connection ended at the client.
    #[serde(rename = "ended")]
    ConnectionEnded {
        /// The relay.
        #[serde(rename = "r")]
        relay: usize,
        /// Whether it was migrated or closed by the client.
        #[serde(rename = "well")]
        is_expected: bool,
    },
    /// A client could not connect to a relay.
    #[serde(rename = "unreached")]
    RelayUnreachable {
        /// The relay.
        #[serde(rename = "r")]
        relay: usize,
    },
    /// The harness acted on a process.
    #[serde(rename = "act")]
    ProcessAction {
        /// The action, such as `start` or `kill`.
        #[serde(rename = "verb")]
        action: String,
        /// The relay acted on; `None` for a process that is not a relay.
        #[serde(rename = "r")]
        relay: Option<usize>,
    },
    /// A relay's process ended by itself or could not be started.
    #[serde(rename = "gone")]
    RelayExited {
        /// The relay.
        #[serde(rename = "r")]
        relay: usize,
        /// Exit status or error.
        #[serde(rename = "how")]
        reason: String,
    },
    /// The recording server received an effect of a task.
    #[serde(rename = "effect")]
    TaskEffect {
        /// The task.
        task: String,
        /// Fencing token that the effect carries.
        token: u64,
        /// Operation that the effect belongs to, unique to its holder's process.
        #[serde(rename = "act")]
        operation: String,
        /// Whether it was accepted; an effect is rejected if its token is older than one received before.
        #[serde(rename = "taken")]
        is_accepted: bool,
    },
    /// A process was scheduled late, which means that the machine is overloaded.
    #[serde(rename = "lag")]
    SchedulingLag {
        /// Lag in microseconds.
        #[serde(rename = "us")]
        lag_us: u64,
    },
}

/// Kind of a request to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// The whole list.
    #[serde(rename = "whole")]
    FullList,
    /// A watch that was answered with changes.
    Changes,
    /// A watch that ended without changes.
    #[serde(rename = "quiet")]
    NoChanges,
}

/// How a request to discovery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The answer was written.
    #[serde(rename = "told")]
    Answered,
    /// It was rejected because it had been queued too long.
    #[serde(rename = "late")]
    Rejected,
    /// The relay had closed the connection.
    #[serde(rename = "unawaited")]
    Abandoned,
}

/// A client's answer from a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// `UP`.
    #[serde(rename = "up")]
    Established,
    /// `BUSY`.
    #[serde(rename = "busy")]
    Rejected,
    /// Any other line, or a close.
    Failed,
    /// No answer within the deadline.
    #[serde(rename = "nothing")]
    TimedOut,
}

/// The event log that a process writes.
#[derive(Clone)]
pub struct EventLog(Rc<RefCell<File>>);

impl EventLog {
    /// Opens the event log of a process for appending.
    ///
    /// # Errors
    ///
    /// A message with the path if the file cannot be opened.
    pub fn open(folder: &Path, name: &str) -> Result<EventLog, String> {
        let path = folder.join(format!("{name}.{FILE_EXTENSION}"));
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = file.map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(EventLog(Rc::new(RefCell::new(file))))
    }

    /// Records an event with the present time.
    pub fn record(&self, event: Event) {
        let record = Record { time_us: super::now(), event };
        if let Ok(mut text) = serde_json::to_string(&record) {
            text.push('\n');
            // A run whose event log cannot be written is invalid; a write error is not reported here.
            let _ = self.0.borrow_mut().write_all(text.as_bytes());
        }
    }

    /// Starts a task that records each scheduling lag of this process above 100 ms.
    pub fn record_scheduling_lag(&self) {
        let event_log = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let due = Instant::now() + LAG_CHECK_INTERVAL;
                sleep_until(due).await;
                let lag_us = due.elapsed().as_micros() as u64;
                if lag_us > MIN_RECORDED_LAG_US {
                    event_log.record(Event::SchedulingLag { lag_us });
                }
            }
        });
    }
}

/// Reads all event logs of a folder in order of time.
///
/// # Errors
///
/// A message with the folder if it or a file in it cannot be read.
pub fn read_all(folder: &Path) -> Result<Vec<Record>, String> {
    let read_error = |e: std::io::Error| format!("{}: {e}", folder.display());
    let mut records = Vec::new();
    for file in std::fs::read_dir(folder).map_err(read_error)? {
        let path = file.map_err(read_error)?.path();
        if path.extension().is_none_or(|extension| extension != FILE_EXTENSION) {
            continue;
        }
        let text = BufReader::new(File::open(&path).map_err(read_error)?);
        for line in text.lines() {
            let line = line.map_err(read_error)?;
            // A process that was killed during a write leaves an incomplete line, which is skipped.
            records.extend(serde_json::from_str::<Record>(&line).ok());
        }
    }
    records.sort_by_key(|record| record.time_us);
    Ok(records)
}
