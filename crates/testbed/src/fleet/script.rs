//! Fault scripts: which fault begins at which time and where, one directive per line, in the syntax of the
//! operators' files.
//!
//! ```text
//! length 40s
//! at 0s start relays * within 400ms   # all; also 0-99, 7, 30% (chosen by the seed), dead (not running)
//! at 5s kill relays 30%
//! at 5s stop relays 0-9               # cont, term
//! at 6s loop relays 10% 1s 10s        # kill and start them each second for 10 s
//! at 0s list down                     # the process of discovery: down, up, stop, cont
//! at 0s list fresh 10s                # restart discovery with an empty list, which it fills over 10 s
//! at 0s list cost 400ms               # work for a request for the full list
//! at 0s list mute on                  # off; while on, discovery sends no answers
//! at 0s list patient on               # off; while on, discovery rejects no request queued too long
//! at 3s list state 4 leaving          # active, left: the state of an endpoint in the list
//! at 3s card 4 drain                  # undrain: the endpoint itself
//! at 3s cards 1 down                  # a process of endpoints: down, up, stop, cont
//! at 2s link list/0-99 hole           # cards/GROUP/CARD, front/RELAY; see `fault_proxy`
//! ```

use std::ops::RangeInclusive;
use std::time::Duration;

use honeyknot_operator_config::{Directive, parse, units};

use super::fault_proxy::LinkFaults;
use super::link::{link_kind, number_range};

/// Maximum length of a run.
pub const MAX_LENGTH: Duration = Duration::from_secs(600);

/// A set of relays.
#[derive(Clone, Debug, PartialEq)]
pub enum RelaySet {
    /// All relays.
    All,
    /// The relays of a range of numbers.
    Range(RangeInclusive<usize>),
    /// A fraction of all relays, chosen by the run's seed.
    Fraction(f64),
    /// Relays that do not run.
    NotRunning,
}

/// A step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Start relays at times that are distributed uniformly over a period.
    Start(RelaySet, Duration),
    /// `kill`, `stop`, `cont` or `term` relays.
    Signal(&'static str, RelaySet),
    /// Kill and start relays repeatedly: interval and total duration.
    Loop(RelaySet, Duration, Duration),
    /// Act on discovery's process: `down`, `up`, `stop` or `cont`.
    DiscoveryProcess(&'static str),
    /// Restart discovery with an empty list that it fills over this time.
    RestartEmptyList(Duration),
    /// A command to discovery.
    ListCommand(String),
    /// Act on the process of endpoints of this index: `down`, `up`, `stop` or `cont`.
    EndpointProcess(usize, &'static str),
    /// A command to the endpoints.
    EndpointCommand(String),
    /// A command to the fault proxy.
    LinkCommand(String),
}

/// A parsed fault script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Length of the run.
    pub length: Duration,
    /// Steps in order of time; times count from the start of the run.
    pub steps: Vec<(Duration, Step)>,
    /// Kinds of links that the script injects faults into.
    pub links: Vec<String>,
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    units::duration(Duration::ZERO..=MAX_LENGTH)(text).map_err(|e| e.to_string())
}

fn parse_relay_set(text: &str) -> Result<RelaySet, String> {
    let result = match text {
        "*" => Some(RelaySet::All),
        "dead" => Some(RelaySet::NotRunning),
        _ if text.ends_with('%') => {
            let percentage = text.trim_end_matches('%').parse::<f64>().ok();
            percentage
                .filter(|percentage| (0.0..=100.0).contains(percentage))
                .map(|percentage| RelaySet::Fraction(percentage / 100.0))
        }
        _ => number_range(text).map(RelaySet::Range),
    };
    result.ok_or_else(|| {
        format!(
            "{text}: not a set of relays; valid are `*`, `dead`, a number, a range such as 0-9, or a \
             percentage such as 30%"
        )
    })
}

fn one_of(text: &str, valid: &[&'static str]) -> Result<&'static str, String> {
    let result = valid.iter().find(|word| **word == text).copied();
    result.ok_or_else(|| format!("{text}: unknown; valid are {}", valid.join(", ")))
}

fn parse_step(words: &[&str]) -> Result<Step, String> {
    const PROCESS_ACTIONS: [&str; 4] = ["down", "up", "stop", "cont"];
    Ok(match words {
        ["start", "relays", set] => Step::Start(parse_relay_set(set)?, Duration::ZERO),
        ["start", "relays", set, "within", period] => {
            Step::Start(parse_relay_set(set)?, parse_duration(period)?)
        }
        ["loop", "relays", set, interval, length] => {
            let interval = parse_duration(interval)?;
            if interval < Duration::from_millis(100) {
                return Err("`loop`: the interval must be at least 100ms".into());
            }
            Step::Loop(parse_relay_set(set)?, interval, parse_duration(length)?)
        }
        [action, "relays", set] => {
            Step::Signal(one_of(action, &["kill", "stop", "cont", "term"])?, parse_relay_set(set)?)
        }
        ["list", "fresh", fill] => Step::RestartEmptyList(parse_duration(fill)?),
        ["list", "cost", time] => Step::ListCommand(format!("cost {}", parse_duration(time)?.as_millis())),
        ["list", command @ ("mute" | "patient"), switch] => {
            Step::ListCommand(format!("{command} {}", one_of(switch, &["on", "off"])?))
        }
        ["list", "state", endpoint, state] => {
            let endpoint: usize =
                endpoint.parse().map_err(|_| format!("{endpoint}: expected the number of an endpoint"))?;
            Step::ListCommand(format!("state {endpoint} {}", one_of(state, &["active", "leaving", "left"])?))
        }
        ["list", action] => Step::DiscoveryProcess(one_of(action, &PROCESS_ACTIONS)?),
        ["card", endpoint, action] => {
            let endpoint: usize =
                endpoint.parse().map_err(|_| format!("{endpoint}: expected the number of an endpoint"))?;
            Step::EndpointCommand(format!("{} {endpoint}", one_of(action, &["drain", "undrain"])?))
        }
        ["cards", index, action] => {
            let index = index
                .parse()
                .map_err(|_| format!("{index}: expected the number of a process of endpoints"))?;
            Step::EndpointProcess(index, one_of(action, &PROCESS_ACTIONS)?)
        }
        ["link", pattern, fault @ ..] => {
            link_kind(pattern)
                .ok_or_else(|| {
                format!(
                    "{pattern}: not a link; valid are list/N, front/N, cards/GROUP/CARD, with a number, a range \
                     or `*` in each place"
                )
            })?;
            LinkFaults::default().apply(fault)?;
            Step::LinkCommand(format!("{pattern} {}", fault.join(" ")))
        }
        _ => {
            return Err(format!(
                "{}: unknown step; the page on cold starts describes the syntax",
                words.join(" ")
            ));
        }
    })
}

/// Parses a script.
///
/// # Errors
///
/// All errors of the script, one per line, each with file and line number.
pub fn parse_script(file: &str, text: &str) -> Result<Script, String> {
    let tree = parse(file, text).map_err(|errors| errors.to_string())?;
    let (mut steps, mut links, mut length, mut errors) = (Vec::new(), Vec::new(), None, Vec::new());
    for directive in &tree {
        let words: Vec<&str> = directive.words.iter().map(|w| w.text.as_str()).collect();
        let mut add_error =
            |message: String| errors.push(format!("{file}:{}: {message}", directive.name.line));
        match (directive.name.text.as_str(), &words[..]) {
            _ if directive.block.is_some() => add_error("a fault script has no blocks `{ ... }`".into()),
            ("length", [text]) => match parse_duration(text) {
                Ok(_) if length.is_some() => add_error("`length` is set twice".into()),
                Ok(value) => length = Some(value),
                Err(message) => add_error(message),
            },
            ("at", [time, words @ ..]) => {
                match parse_duration(time).and_then(|time| Ok((time, parse_step(words)?))) {
                    Ok(timed_step) => {
                        links.extend(link_kind_of(directive));
                        steps.push(timed_step);
                    }
                    Err(message) => add_error(message),
                }
            }
            (name, _) => {
                add_error(format!("`{name}`: unknown; a line begins with `length DURATION` or `at DURATION`"))
            }
        }
    }
    if length.is_none() {
        errors.push(format!("{file}: `length` is missing; add a line such as `length 40s`"));
    }
    if !errors.is_empty() {
        return Err(errors.join("\n"));
    }
    steps.sort_by_key(|(time, _)| *time);
    links.sort();
    links.dedup();
    Ok(Script { length: length.unwrap_or_default(), steps, links })
}

fn link_kind_of(directive: &Directive) -> Option<String> {
    let words = &directive.words;
    let is_link = words.get(1).is_some_and(|w| w.text == "link");
    words.get(2).filter(|_| is_link).and_then(|w| link_kind(&w.text)).map(str::to_owned)
}
