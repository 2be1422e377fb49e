//! Cold-start scenarios: their fault scripts and what a run of each must meet.

use std::fmt::Write;

use super::InitialList;
use super::generated_script::generate;
use super::report::Expectations;
use super::script::{Script, parse_script};

/// A scenario of faults while all relays start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ColdStart {
    /// No faults: all relays start within 0.4 s with an old list.
    Healthy,
    /// Relays start without a list.
    NoList,
    /// Relays start with a list of which half of the endpoints no longer exist.
    Stale,
    /// Discovery is down for the first 20 s.
    Down,
    /// A full list takes 400 ms for the first 20 s, and requests are never rejected.
    Slow,
    /// For 10 s discovery is silent to a third of the relays, resets the connections of another third, and
    /// its answers to the rest are lost.
    #[value(name = "deaf")]
    Unresponsive,
    /// Discovery restarts with an empty list and fills it over 10 s.
    Empty,
    /// A rolling restart of all relays, a tenth at a time, while another tenth is killed and started each
    /// second.
    Rolling,
    /// All relays are stopped for 8 s and continue together.
    Stopped,
    /// Three to six faults generated from the seed; a failed run prints the script that replays it.
    #[value(name = "drawn")]
    Generated,
}

impl ColdStart {
    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            ColdStart::Healthy => "healthy",
            ColdStart::NoList => "no-list",
            ColdStart::Stale => "stale",
            ColdStart::Down => "down",
            ColdStart::Slow => "slow",
            ColdStart::Unresponsive => "deaf",
            ColdStart::Empty => "empty",
            ColdStart::Rolling => "rolling",
            ColdStart::Stopped => "stopped",
            ColdStart::Generated => "drawn",
        }
    }

    /// Returns the endpoint list that relays start with.
    pub fn initial_list(self) -> InitialList {
        match self {
            ColdStart::NoList => InitialList::Absent,
            ColdStart::Stale => InitialList::Stale,
            _ => InitialList::Old,
        }
    }

    /// Returns the parsed script for a number of relays and the time for a full list in milliseconds.
    ///
    /// # Errors
    ///
    /// The errors of the script; the scripts of the scenarios have none.
    pub fn script(self, relays: usize, full_list_ms: u64, seed: u64) -> Result<Script, String> {
        parse_script(
            &format!("the scenario `{}`", self.name()),
            &self.script_text(relays, full_list_ms, seed),
        )
    }

    /// Returns the text of the script for a number of relays and the time for a full list in milliseconds.
    pub fn script_text(self, relays: usize, full_list_ms: u64, seed: u64) -> String {
        let work_s = relays as u64 * full_list_ms / 1_000;
        let (third, last) = (relays / 3, relays.saturating_sub(1));
        let start = "at 0s start relays * within 400ms";
        let drain =
            |at_s: u64| format!("at {at_s}s list state 0 leaving\nat {}ms card 0 drain", at_s * 1_000 + 800);
        let settled_s = 14 + 2 * work_s;
        match self {
            ColdStart::Generated => generate(seed, relays, full_list_ms),
            ColdStart::Healthy | ColdStart::NoList | ColdStart::Stale => {
                format!("length {}s\n{start}\n{}", settled_s + 10, drain(settled_s))
            }
            ColdStart::Down => {
                format!("length {}s\nat 0s list down\n{start}\nat 20s list up", 40 + 2 * work_s)
            }
            ColdStart::Slow => format!(
                "length {}s\nat 0s list patient on\nat 0s list cost 400ms\n{start}\n\
                 at 20s list cost {full_list_ms}ms\n{}",
                60 + 2 * work_s,
                drain(50 + 2 * work_s)
            ),
            ColdStart::Unresponsive => format!(
                "length {}s\n{start}\nat 0s link list/0-{} hole\nat 0s link list/{third}-{} reset 60B\n\
                 at 0s link list/{}-{last} cut back\nat 10s link list/* clear",
                45 + 2 * work_s,
                third.saturating_sub(1),
                (2 * third).saturating_sub(1).max(third),
                2 * third
            ),
            ColdStart::Empty => {
                format!("length {}s\n{start}\nat {settled_s}s list fresh 10s", settled_s + 30)
            }
            ColdStart::Rolling => {
                let mut text = format!("length {}s\n{start}\n", settled_s + 40);
                let tenth = relays.div_ceil(10);
                let first = relays.saturating_sub(tenth);
                let _ = writeln!(text, "at {settled_s}s loop relays {first}-{last} 1s 20s");
                for i in 0..9 {
                    let (from, to) = (i * tenth, ((i + 1) * tenth).min(first).saturating_sub(1));
                    if from <= to && from < first {
                        let at_ms = settled_s * 1_000 + i as u64 * 2_500;
                        let _ = writeln!(text, "at {at_ms}ms term relays {from}-{to}");
                        let _ =
                            writeln!(text, "at {}ms start relays {from}-{to} within 400ms", at_ms + 2_300);
                    }
                }
                text
            }
            ColdStart::Stopped => format!(
                "length {}s\n{start}\nat {settled_s}s stop relays *\nat {}s cont relays *\n{}",
                settled_s + 26,
                settled_s + 8,
                drain(settled_s + 16)
            ),
        }
    }

    /// Returns what a run of the scenario must meet.
    pub fn expectations(self) -> Expectations {
        let outage_s = match self {
            ColdStart::Down | ColdStart::Slow => 20.0,
            ColdStart::Unresponsive | ColdStart::Empty => 10.0,
            _ => 0.0,
        };
        // Where relays start repeatedly or the list fills during the run, relays have no single time to the
        // list.
        let is_time_checked = !matches!(self, ColdStart::Empty | ColdStart::Rolling | ColdStart::Generated);
        Expectations {
            outage_s,
            slack_s: is_time_checked.then_some(2.0),
            refills_list: self == ColdStart::Empty,
        }
    }
}
