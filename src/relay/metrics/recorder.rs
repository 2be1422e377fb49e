//! What the relay counts: plain calls from where things happen into its [`Book`], if there is one.

use std::io;
use std::path::{Path, PathBuf};

use honeyknot_metrics::{Book, Family, Plan, Reading};
use serde_json::json;
use tracing::{info, warn};

use super::persistent_counters::Folder;
use crate::relay::connections::protocol::OpenRequest;
use crate::relay::{Relay, SharedRelay};
use crate::settings::NameTable;
use honeyknot_balancer::*;

/// The tag's value of an outcome.
fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}

/// Values of an open tag where no operator file says how many there may be.
const CAP: usize = 256;
/// The families whose tag is the class.
const BY_CLASS: [Family; 4] = [Family::Succeeded, Family::Declined, Family::Aborted, Family::Forwards];

/// A relay's book, in which all classes stand from the start.
pub fn open(plan: &Option<Plan>, names: &NameTable) -> Book {
    let mut book = Book::new(plan.as_ref().map_or(CAP, |plan| plan.cap));
    for class in names.classes() {
        BY_CLASS.iter().for_each(|family| book.open(*family, class));
    }
    book
}

/// How a connection that asked for a session was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The card server's `UP`.
    Up,
    /// `BUSY`.
    Busy,
    /// Anything else, or nothing as the client left first.
    Failed,
}

/// What keeps the counts over the relay's lives.
pub struct Lasting {
    folder: Folder,
    relay: String,
    lives: u64,
    /// All that was counted up to here is on disk.
    saved: Micros,
    trouble: bool,
}

/// Has all that was counted up to a time on disk before it returns; true if it is, or if nothing is to last.
pub async fn save(relay: &SharedRelay, upto: Micros) -> bool {
    let (write, at) = {
        let mut relay = relay.borrow_mut();
        let now = relay.timers.clock.now();
        let Relay { metrics: book, persistent_counters: lasting, .. } = &mut *relay;
        let Some(lasting) = lasting else { return true };
        if lasting.saved >= upto {
            return true;
        }
        let bytes = book.state(&lasting.relay, now, lasting.lives).encode();
        (bytes.map(|bytes| lasting.folder.write(bytes)).map_err(io::Error::other), now)
    };
    let wrote = match write {
        Ok(write) => tokio::task::spawn_blocking(write).await.map_err(io::Error::other).flatten(),
        Err(e) => Err(e),
    };
    let mut relay = relay.borrow_mut();
    let Some(lasting) = &mut relay.persistent_counters else { return true };
    match &wrote {
        Ok(()) => {
            lasting.saved = lasting.saved.max(at);
            if std::mem::take(&mut lasting.trouble) {
                info!(target: "metrics", "counts can be kept again");
            }
        }
        // Told once: a disk that is full stays so for long.
        Err(why) => {
            if !std::mem::replace(&mut lasting.trouble, true) {
                warn!(target: "metrics", %why, "counts cannot be kept: sinks get nothing until they can");
            }
        }
    }
    wrote.is_ok()
}

impl Relay {
    /// Takes up what earlier lives of this relay have counted. A folder that cannot be used is told of, and the counts
    /// of this life then die with it.
    pub(in crate::relay) fn restore_counters(&mut self, path: &Path, name: &str) {
        match Folder::open(path, name) {
            Ok((folder, state)) => {
                let lives = state.as_ref().map_or(1, |s| s.lives + 1);
                let unknown = state.map_or(0, |s| self.metrics.restore(&s));
                info!(target: "metrics", lives, unknown, "counts are kept");
                let relay = name.to_owned();
                self.persistent_counters = Some(Lasting { folder, relay, lives, saved: 0, trouble: false });
            }
            Err(why) => warn!(target: "metrics", why, "counts will not outlast this relay"),
        }
    }

    /// Where a sink's spool is, if anything lasts.
    pub fn spool_directory(&self, sink: &str) -> Option<PathBuf> {
        self.persistent_counters.as_ref().map(|lasting| lasting.folder.spool(sink))
    }

    /// Whether totals last over the relay's lives.
    pub fn counters_persist(&self) -> bool {
        self.persistent_counters.is_some()
    }

    /// Counts something.
    pub(in crate::relay) fn update_metrics(&mut self, count: impl FnOnce(&mut Book)) {
        count(&mut self.metrics);
    }

    /// The one answer to a connection whose class is known.
    pub(in crate::relay) fn record_answer(&mut self, class: Option<ClassId>, answer: Answer) {
        let family = match answer {
            Answer::Up => Family::Succeeded,
            Answer::Busy => Family::Declined,
            Answer::Failed => Family::Aborted,
        };
        self.record_class(class, family);
    }

    /// The one answer to a connection that never took a seat.
    pub fn record_unregistered_answer(&mut self, head: &OpenRequest, answer: Answer) {
        self.record_answer(self.class(head), answer);
    }

    /// A head was written whole to a card server.
    pub fn record_forwarded(&mut self, head: &OpenRequest) {
        self.record_class(self.class(head), Family::Forwards);
    }

    fn class(&self, head: &OpenRequest) -> Option<ClassId> {
        self.names.class(head.class()?)
    }

    fn record_class(&mut self, class: Option<ClassId>, family: Family) {
        if let Some(name) = class.and_then(|class| self.names.classes().get(class.0)) {
            self.metrics.add_open(family, name, 1);
        }
    }

    /// A request was answered `BUSY`, for one of the reasons in the table of names.
    pub fn record_rejected(&mut self, reason: &'static str, took: Option<Micros>) {
        self.update_metrics(|book| {
            book.count(Family::Refused, reason);
            took.iter().for_each(|us| book.record(Family::Refusal, *us));
        });
    }

    /// A request was answered `ERR`, for one of the causes in the table of names.
    pub fn record_failed(&mut self, cause: &'static str) {
        self.update_metrics(|book| book.count(Family::Failed, cause));
    }

    pub(in crate::relay) fn record_attempt_started(&mut self, attempt: AttemptId, server: &EndpointId) {
        let site = self.endpoints.zone(server).and_then(|zone| self.names.zones().get(zone.0));
        self.metrics.add(Family::Retries, 0, u64::from(attempt.0 > 0));
        self.metrics.add_open(Family::Placed, site.map_or("none", String::as_str), 1);
    }

    pub(in crate::relay) fn record_established(&mut self, took: Micros) {
        self.update_metrics(|book| {
            book.count(Family::Attempts, "up");
            book.add(Family::Served, 0, 1);
            book.record(Family::Setup, took);
        });
    }

    /// An attempt has ended without a session.
    pub(in crate::relay) fn record_attempt_ended(&mut self, outcome: Outcome) {
        self.update_metrics(|book| book.count(Family::Attempts, outcome_word(outcome)));
    }

    /// A session that stood has ended, in one of the ways in the table of names.
    pub fn record_connection_ended(&mut self, how: &'static str) {
        self.update_metrics(|book| book.count(Family::Ended, how));
    }

    /// Bytes of a session were passed on, to its client or to its card server.
    pub fn record_bytes(&mut self, to_client: bool, count: usize) {
        self.update_metrics(|book| book.add(Family::Bytes, usize::from(!to_client), count as u64));
    }

    /// A session was moved as its card server said nothing any more.
    pub fn record_silent_migration(&mut self) {
        self.update_metrics(|book| book.count(Family::Moves, "silent"));
    }

    pub(in crate::relay) fn record_health_check(&mut self, outcome: Outcome, took: Micros) {
        let word = if outcome == Outcome::Ok { "ok" } else { outcome_word(outcome) };
        self.update_metrics(|book| {
            book.count(Family::Probes, word);
            book.record(Family::Probe, took);
        });
    }

    /// The figures that operators ask for, as one line of JSON.
    pub fn figures(&self) -> String {
        let count = |family, class: &String| self.metrics.own_total(family, class);
        let of_class = |class: &String| {
            let [succeeded, declined, aborted, forwards] = BY_CLASS.map(|family| count(family, class));
            let held = json!({"succeeded": succeeded, "declined": declined, "aborted": aborted, "forwards": forwards});
            (class.clone(), held)
        };
        let classes = self.names.classes();
        let results: serde_json::Map<_, _> = classes.iter().map(of_class).collect();
        json!({
            "results": results,
            "forwards": classes.iter().map(|class| count(Family::Forwards, class)).sum::<u64>(),
            "outstanding": self.open_ids.count(),
            "discovered": self.maintenance.endpoint_count(),
            "ejected": self.maintenance.count_excluded(self.balancer.ejected_endpoints()),
            "list": {
                "state": self.list_state.as_str(),
                "version": self.endpoint_list_version,
                "answered": self.has_discovery_answered(),
                "heard_ms_ago": self.timers.clock.now().saturating_sub(self.discovery_answered_at) / 1_000,
            },
        })
        .to_string()
    }

    /// What the book holds now, with the gauges of this moment.
    pub fn metrics_snapshot(&mut self) -> Reading {
        let now = self.timers.clock.now();
        let (standing, asking) = self.open_connections();
        let (descriptors, crowd, version) =
            (self.descriptors_in_use.get(), self.idle_connections.len(), self.endpoint_list_version);
        let (started, heard) = (self.started_at, self.discovery_answered_at);
        let book = &mut self.metrics;
        let mut set = |family, value: f64| book.set(family, value);
        set(Family::Sessions, standing.len() as f64);
        set(Family::Asking, asking as f64);
        set(Family::Descriptors, descriptors as f64);
        set(Family::Crowd, crowd as f64);
        set(Family::RollVersion, version as f64);
        set(Family::RollAge, now.saturating_sub(heard) as f64 / 1e6);
        set(Family::Started, (started / 1_000_000) as f64);
        book.read(now)
    }
}
