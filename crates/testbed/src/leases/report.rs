//! The report of a lease scenario: figures and checks computed from the records of the recording server.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::fleet::event_log::{Event, Record};

/// Figures of a run of a lease scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Number of lease servers.
    #[serde(rename = "keepers")]
    pub lease_servers: usize,
    /// Number of lease holders.
    #[serde(rename = "relays")]
    pub holders: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Number of operations that had at least one effect, accepted or rejected.
    #[serde(rename = "acts")]
    pub operations: usize,
    /// Number of effects that the recording server accepted.
    #[serde(rename = "effects")]
    pub accepted_effects: usize,
    /// Number of times that a task's effects came with a newer token than before.
    pub holder_changes: usize,
    /// Number of operations on unchecked tasks with an effect after one with a newer token.
    #[serde(rename = "overlapping_acts")]
    pub overlapping_operations: usize,
    /// Number of effects on checked tasks that were accepted though a newer token had been received.
    pub stale_writes_accepted: usize,
    /// Number of effects on checked tasks that were rejected because a newer token had been received.
    #[serde(rename = "stale_writes_turned_down")]
    pub stale_writes_rejected: usize,
    /// Number of tokens that were received for the first time after a newer one.
    #[serde(rename = "token_went_back")]
    pub token_regressions: usize,
    /// Longest time between two successive effects on a task, in seconds.
    pub longest_without_holder_s: f64,
    /// Lease duration in seconds.
    pub lease_s: f64,
    /// Processor time of all lease servers divided by the length of the run, in cores.
    #[serde(rename = "keeper_cpu")]
    pub lease_server_cpu_cores: f64,
    /// Highest resident memory of a lease server, measured before its process ended, in MiB.
    #[serde(rename = "keeper_rss_mb")]
    pub lease_server_rss_mb: f64,
    /// Number of faults that were injected.
    #[serde(rename = "faults")]
    pub injected_faults: usize,
    /// Longest scheduling lag of the recording server or the fault proxy, in milliseconds.
    pub lag_ms: u64,
    /// Whether the machine was overloaded, which makes the run invalid.
    #[serde(rename = "starved")]
    pub machine_overloaded: bool,
    /// One message for each check that failed.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// Adds the records of a run that ended at `ended_at`, in Unix microseconds, and the checks of their
    /// totals.
    pub fn add_records(&mut self, records: &[Record], ended_at: u64) {
        let mut tasks: BTreeMap<&str, TaskState> = BTreeMap::new();
        for record in records {
            match &record.event {
                Event::TaskEffect { task, token, operation: operation_id, is_accepted: accepted } => {
                    let checked = task.starts_with("checked");
                    let state = tasks.entry(task).or_default();
                    self.accepted_effects += usize::from(*accepted);
                    if state.tokens.insert(*token) && *token < state.newest_token {
                        self.token_regressions += 1;
                    }
                    if *token < state.newest_token {
                        match (checked, accepted) {
                            (true, true) => self.stale_writes_accepted += 1,
                            (true, false) => self.stale_writes_rejected += 1,
                            (false, _) => drop(state.overlapping_operations.insert(operation_id)),
                        }
                    }
                    if state.operations.insert(operation_id) {
                        self.operations += 1;
                    }
                    if *token > state.newest_token {
                        self.holder_changes += usize::from(state.newest_token > 0);
                        state.newest_token = *token;
                    }
                    if state.last_effect_us > 0 {
                        let gap_s = record.time_us.saturating_sub(state.last_effect_us) as f64 / 1e6;
                        self.longest_without_holder_s = self.longest_without_holder_s.max(gap_s);
                    }
                    state.last_effect_us = record.time_us;
                }
                Event::SchedulingLag { lag_us } => self.lag_ms = self.lag_ms.max(lag_us / 1_000),
                _ => {}
            }
        }
        self.overlapping_operations = tasks.values().map(|state| state.overlapping_operations.len()).sum();
        self.machine_overloaded = self.lag_ms > 500;
        if self.overlapping_operations > 0 {
            self.violations.push(format!(
                "{} operations overlapped one with a newer token",
                self.overlapping_operations
            ));
        }
        if self.stale_writes_accepted > 0 {
            self.violations
                .push(format!("{} effects with an older token were accepted", self.stale_writes_accepted));
        }
        if self.token_regressions > 0 {
            self.violations
                .push(format!("{} tokens first appeared after a newer token", self.token_regressions));
        }
        if self.operations == 0 {
            self.violations.push("no operation had an effect".into());
        }
        for (name, state) in tasks {
            let idle_s = (ended_at.saturating_sub(state.last_effect_us)) as f64 / 1e6;
            if idle_s > 4.0 * self.lease_s {
                self.violations
                    .push(format!("no effect on task {name} in the last {idle_s:.1} s of the run"));
            }
        }
    }
}

/// The records of one task so far.
#[derive(Default)]
struct TaskState<'a> {
    newest_token: u64,
    last_effect_us: u64,
    tokens: BTreeSet<u64>,
    operations: BTreeSet<&'a str>,
    /// Operations with an effect after one with a newer token.
    overlapping_operations: BTreeSet<&'a str>,
}
