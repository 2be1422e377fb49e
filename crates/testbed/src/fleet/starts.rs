//! The days of a cold start: scripts that are built in, and what each promises.

use std::fmt::Write;

use super::Held;
use super::drawn;
use super::report::Expectations;
use super::script::{Script, read};

/// What goes wrong while the relays start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ColdStart {
    /// Nothing: all relays start within 0.4 s with an old list.
    Healthy,
    /// They hold no list.
    NoList,
    /// Half of the card servers in their list are dead.
    Stale,
    /// The list service is down for the first 20 s.
    Down,
    /// A list takes 400 ms for the first 20 s, and calls are worked on however long they have waited.
    Slow,
    /// The list service is silent to a third, resets another, and its answers to the last are lost, for 10 s.
    Deaf,
    /// The list service starts again with an empty list and fills it over 10 s.
    Empty,
    /// All relays are restarted, a tenth at a time; another tenth dies and starts each second meanwhile.
    Rolling,
    /// All relays are stopped for 8 s and go on together.
    Stopped,
    /// Three to six faults drawn from the seed; a day that breaks a promise tells the script that replays it.
    Drawn,
}

impl ColdStart {
    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            ColdStart::Healthy => "healthy",
            ColdStart::NoList => "no-list",
            ColdStart::Stale => "stale",
            ColdStart::Down => "down",
            ColdStart::Slow => "slow",
            ColdStart::Deaf => "deaf",
            ColdStart::Empty => "empty",
            ColdStart::Rolling => "rolling",
            ColdStart::Stopped => "stopped",
            ColdStart::Drawn => "drawn",
        }
    }

    /// What relays hold at their start.
    pub fn held(self) -> Held {
        match self {
            ColdStart::NoList => Held::Nothing,
            ColdStart::Stale => Held::Stale,
            _ => Held::Old,
        }
    }

    /// The script for so many relays, a whole list taking so many milliseconds.
    pub fn script(self, relays: usize, call_ms: u64, seed: u64) -> Result<Script, String> {
        read(&format!("the day `{}`", self.name()), &self.text(relays, call_ms, seed))
    }

    /// The text of that script.
    pub fn text(self, relays: usize, call_ms: u64, seed: u64) -> String {
        let work = relays as u64 * call_ms / 1_000;
        let (third, last) = (relays / 3, relays.saturating_sub(1));
        let start = "at 0s start relays * within 400ms";
        let drain =
            |at: u64| format!("at {at}s list state 0 leaving\nat {}ms card 0 drain", at * 1_000 + 800);
        let settled = 14 + 2 * work;
        match self {
            ColdStart::Drawn => drawn::draw(seed, relays, call_ms),
            ColdStart::Healthy | ColdStart::NoList | ColdStart::Stale => {
                format!("length {}s\n{start}\n{}", settled + 10, drain(settled))
            }
            ColdStart::Down => {
                format!("length {}s\nat 0s list down\n{start}\nat 20s list up", 40 + 2 * work)
            }
            ColdStart::Slow => format!(
                "length {}s\nat 0s list patient on\nat 0s list cost 400ms\n{start}\nat 20s list cost {call_ms}ms\n{}",
                60 + 2 * work,
                drain(50 + 2 * work)
            ),
            ColdStart::Deaf => format!(
                "length {}s\n{start}\nat 0s link list/0-{} hole\nat 0s link list/{third}-{} reset 60B\n\
                 at 0s link list/{}-{last} cut back\nat 10s link list/* clear",
                45 + 2 * work,
                third.saturating_sub(1),
                (2 * third).saturating_sub(1).max(third),
                2 * third
            ),
            ColdStart::Empty => format!("length {}s\n{start}\nat {settled}s list fresh 10s", settled + 30),
            ColdStart::Rolling => {
                let mut text = format!("length {}s\n{start}\n", settled + 40);
                let tenth = relays.div_ceil(10);
                let first = relays.saturating_sub(tenth);
                let _ = writeln!(text, "at {settled}s loop relays {first}-{last} 1s 20s");
                for i in 0..9 {
                    let (from, to) = (i * tenth, ((i + 1) * tenth).min(first).saturating_sub(1));
                    if from <= to && from < first {
                        let at = settled * 1_000 + i as u64 * 2_500;
                        let _ = writeln!(text, "at {at}ms term relays {from}-{to}");
                        let _ = writeln!(text, "at {}ms start relays {from}-{to} within 400ms", at + 2_300);
                    }
                }
                text
            }
            ColdStart::Stopped => format!(
                "length {}s\n{start}\nat {settled}s stop relays *\nat {}s cont relays *\n{}",
                settled + 26,
                settled + 8,
                drain(settled + 16)
            ),
        }
    }

    /// Returns what a run of the scenario must meet.
    pub fn expectations(self) -> Expectations {
        let down_s = match self {
            ColdStart::Down | ColdStart::Slow => 20.0,
            ColdStart::Deaf | ColdStart::Empty => 10.0,
            _ => 0.0,
        };
        // Where relays start again and again, each start has its own window; where the list fills, the day before counts.
        let judged = !matches!(self, ColdStart::Empty | ColdStart::Rolling | ColdStart::Drawn);
        Expectations { down_s, slack_s: judged.then_some(2.0), fills: self == ColdStart::Empty }
    }
}
