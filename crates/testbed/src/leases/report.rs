//! What a day of leases came to, by the far side's book alone.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::fleet::event_log::{Event, Record};

/// The figures of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// What was played.
    pub scenario: String,
    /// Keepers.
    #[serde(rename = "keepers")]
    pub lease_servers: usize,
    /// Holders.
    #[serde(rename = "relays")]
    pub holders: usize,
    /// Of everything that is drawn.
    pub seed: u64,
    /// Acts that had an effect.
    #[serde(rename = "acts")]
    pub operations: usize,
    /// Effects that the far side took.
    #[serde(rename = "effects")]
    pub accepted_effects: usize,
    /// Times that a task came to another token.
    pub holder_changes: usize,
    /// Acts with an effect after one of a later token's act, where the far side does not check.
    #[serde(rename = "overlapping_acts")]
    pub overlapping_operations: usize,
    /// Effects with an older token that a far side which checks took.
    pub stale_writes_accepted: usize,
    /// Those that it turned down.
    #[serde(rename = "stale_writes_turned_down")]
    pub stale_writes_rejected: usize,
    /// New tokens that were lower than one seen before.
    #[serde(rename = "token_went_back")]
    pub token_regressions: usize,
    /// The longest that nobody acted on a task, after its first act.
    pub longest_without_holder_s: f64,
    /// The lease.
    pub lease_s: f64,
    /// Processor time of all keepers over the day's length, in cores.
    #[serde(rename = "keeper_cpu")]
    pub lease_server_cpu_cores: f64,
    /// The largest keeper's memory.
    #[serde(rename = "keeper_rss_mb")]
    pub lease_server_rss_mb: f64,
    /// Faults that were injected.
    #[serde(rename = "faults")]
    pub injected_faults: usize,
    /// The far side or the links ran late by this much at the most.
    pub lag_ms: u64,
    /// The machine was the limit: the day does not count.
    #[serde(rename = "starved")]
    pub machine_overloaded: bool,
    /// Promises that were broken.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// Counts a book's lines up to the day's end.
    pub fn add_records(&mut self, records: &[Record], ended: u64) {
        let mut tasks: BTreeMap<&str, Task> = BTreeMap::new();
        for record in records {
            match &record.event {
                Event::TaskEffect { task, token, operation: act, is_accepted: taken } => {
                    let checked = task.starts_with("checked");
                    let seen = tasks.entry(task).or_default();
                    self.accepted_effects += usize::from(*taken);
                    if seen.tokens.insert(*token) && *token < seen.newest {
                        self.token_regressions += 1;
                    }
                    if *token < seen.newest {
                        match (checked, taken) {
                            (true, true) => self.stale_writes_accepted += 1,
                            (true, false) => self.stale_writes_rejected += 1,
                            (false, _) => drop(seen.late.insert(act)),
                        }
                    }
                    if seen.acts.insert(act) {
                        self.operations += 1;
                    }
                    if *token > seen.newest {
                        self.holder_changes += usize::from(seen.newest > 0);
                        seen.newest = *token;
                    }
                    if seen.last > 0 {
                        let gap = record.time_us.saturating_sub(seen.last) as f64 / 1e6;
                        self.longest_without_holder_s = self.longest_without_holder_s.max(gap);
                    }
                    seen.last = record.time_us;
                }
                Event::SchedulingLag { lag_us } => self.lag_ms = self.lag_ms.max(lag_us / 1_000),
                _ => {}
            }
        }
        self.overlapping_operations = tasks.values().map(|task| task.late.len()).sum();
        self.machine_overloaded = self.lag_ms > 500;
        if self.overlapping_operations > 0 {
            self.violations
                .push(format!("{} acts overlapped one of a later token", self.overlapping_operations));
        }
        if self.stale_writes_accepted > 0 {
            self.violations
                .push(format!("{} writes of an older token were accepted", self.stale_writes_accepted));
        }
        if self.token_regressions > 0 {
            self.violations.push(format!("{} new tokens were lower than one before", self.token_regressions));
        }
        if self.operations == 0 {
            self.violations.push("nobody ever acted".into());
        }
        for (name, task) in tasks {
            let still = (ended.saturating_sub(task.last)) as f64 / 1e6;
            if still > 4.0 * self.lease_s {
                self.violations.push(format!("nobody acted on {name} in the last {still:.1} s"));
            }
        }
    }
}

#[derive(Default)]
struct Task<'a> {
    newest: u64,
    last: u64,
    tokens: BTreeSet<u64>,
    acts: BTreeSet<&'a str>,
    late: BTreeSet<&'a str>,
}
